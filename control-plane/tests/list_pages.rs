//! The pages of the platform carry no number: a page that is received twice must not be taken for the next page.

mod common;

use common::{wait_for, Cluster};
use lupinledge_example::http;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// Number of reads in which a page is sent twice.
const DUPLICATED_READS: usize = 3;

/// The HTTP answer with this page, of two.
fn page(number: u8) -> String {
    let row = json!({"id": format!("i-{number}"), "service": "huvo11a", "address": "127.0.0.1:9", "slots": 3,
                     "zone": "harju-kadaka", "state": "ready"});
    let mut page = json!({ "instances": [row] });
    if number == 1 {
        page["next_token"] = json!("second");
    }
    let body = page.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Starts a platform with two servers on two pages.
fn platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let second_page_requests = requests.clone();
            spawn(move || {
                let mut from = BufReader::new(stream);
                while let Ok(Some(request)) = http::read_message(&mut from) {
                    let second = request.start_line.contains("page_token");
                    // a late duplicate of the first page is sent ahead of the second page
                    let duplicated =
                        second && second_page_requests.fetch_add(1, Ordering::Relaxed) < DUPLICATED_READS;
                    let pages: &[u8] = if duplicated { &[1, 2] } else { &[1 + u8::from(second)] };
                    let answers: String = pages.iter().copied().map(page).collect();
                    if from.get_mut().write_all(answers.as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn a_duplicate_page_is_not_taken_for_the_next_one() {
    let core = Cluster::start_founders(Some(platform()));
    let servers_listed = |i: usize| {
        let call = ("GET", "/lupinledge/metrics");
        let figures = core.request(core.control_address(i), call, b"", Duration::from_secs(5))?;
        let text = String::from_utf8(figures.body).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("servers.listed "))?;
        line.trim().parse::<u64>().ok()
    };
    wait_for("a list of both servers", || {
        let max_listed = (0..3).filter_map(servers_listed).max()?;
        assert_ne!(max_listed, 1, "an incomplete list was published");
        (max_listed == 2).then_some(())
    });
}
