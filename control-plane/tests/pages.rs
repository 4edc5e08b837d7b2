//! The platform's pages bear no number: one that comes twice must not be taken for the one after it.

mod common;

use common::{until, Members};
use lupinledge_example::http;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// In so many readings a page comes twice.
const DOUBLED: usize = 3;

/// The answer that bears that page, of two.
fn page(nth: u8) -> String {
    let row = json!({"id": format!("i-{nth}"), "service": "huvo11a", "address": "127.0.0.1:9", "slots": 3,
                     "zone": "harju-kadaka", "state": "ready"});
    let mut page = json!({ "instances": [row] });
    if nth == 1 {
        page["next_token"] = json!("second");
    }
    let body = page.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A platform with two servers on two pages.
fn platform() -> SocketAddr {
    let gate = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = gate.local_addr().unwrap();
    let asked = Arc::new(AtomicUsize::new(0));
    spawn(move || {
        for stream in gate.incoming().map_while(Result::ok) {
            let count = asked.clone();
            spawn(move || {
                let mut from = BufReader::new(stream);
                while let Ok(Some(asked)) = http::read_message(&mut from) {
                    let second = asked.start_line.contains("page_token");
                    // the first page comes once more ahead of the second one, late on its way
                    let doubled = second && count.fetch_add(1, Ordering::Relaxed) < DOUBLED;
                    let pages: &[u8] = if doubled { &[1, 2] } else { &[1 + u8::from(second)] };
                    let answers: String = pages.iter().copied().map(page).collect();
                    if from.get_mut().write_all(answers.as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
    addr
}

#[test]
fn a_page_that_comes_twice_is_not_the_next_one() {
    let core = Members::found(Some(platform()));
    let listed = |i: usize| {
        let call = ("GET", "/lupinledge/metrics");
        let figures = core.ask(core.at(i), call, b"", Duration::from_secs(5))?;
        let text = String::from_utf8(figures.body).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("servers.listed "))?;
        line.trim().parse::<u64>().ok()
    };
    until("both servers are listed", || {
        let most = (0..3).filter_map(listed).max()?;
        assert_ne!(most, 1, "a part of the list is taken for the whole");
        (most == 2).then_some(())
    });
}
