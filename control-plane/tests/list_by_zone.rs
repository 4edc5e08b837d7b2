//! A long list on a platform that is far away: the leader reads all zones at the same time.

mod common;

use common::{wait_for, Cluster};
use lupinledge_example::http::{self, Message};
use lupinledge_example::listener::Listener;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const ZONES: [&str; 3] = ["harju-kadaka", "parnu-raba", "tartu-ropka"];
/// Servers in each zone; a page of the whole list has one row.
const SERVERS_PER_ZONE: usize = 4;
/// Time to a page of the whole list and back.
const ROUND_TRIP: Duration = Duration::from_millis(60);

/// How the stand-in answers requests for the list of one zone.
#[derive(Clone, Copy, PartialEq)]
enum ZoneAnswers {
    /// Once such requests for all zones are open at the same time, with one server more in each zone.
    WhenAllAreOpen,
    /// With the first page of the whole list.
    WholeList,
}

/// Zones whose lists are being requested, by the number of the round.
#[derive(Default)]
struct OpenRequests {
    zones: Vec<String>,
    rounds: usize,
}

type Shared = Arc<(Mutex<OpenRequests>, Condvar)>;

fn row(zone: usize, nth: usize) -> serde_json::Value {
    json!({"id": format!("i-{zone}-{nth}"), "service": "huvo11a", "address": "127.0.0.1:9", "slots": 3,
           "zone": ZONES[zone], "state": "ready"})
}

/// The page of the whole list that begins with this row.
fn whole_page(number: usize) -> serde_json::Value {
    let next = (number + 1 < ZONES.len() * SERVERS_PER_ZONE).then(|| format!("p-{}", number + 1));
    json!({"instances": [row(number / SERVERS_PER_ZONE, number % SERVERS_PER_ZONE)], "next_token": next})
}

/// The list of a zone, once the lists of all zones are requested.
fn zone_page(zone: &str, shared: &Shared) -> serde_json::Value {
    let (open, changed) = &**shared;
    let mut open_requests = open.lock().unwrap();
    open_requests.zones.push(zone.to_string());
    let round = open_requests.rounds;
    if ZONES.iter().all(|zone| open_requests.zones.iter().any(|open| open == zone)) {
        (open_requests.zones, open_requests.rounds) = (Vec::new(), round + 1);
        changed.notify_all();
    }
    let _done = changed.wait_while(open_requests, |open_requests| open_requests.rounds == round).unwrap();
    let index = ZONES.iter().position(|known| *known == zone).unwrap();
    let rows: Vec<_> = (0..=SERVERS_PER_ZONE).map(|nth| row(index, nth)).collect();
    json!({"instances": rows, "next_token": null})
}

/// The value of a parameter of the query.
fn parameter<'a>(request: &'a Message, name: &str) -> Option<&'a str> {
    let query = request.start_line.split(' ').nth(1)?.split_once('?')?.1;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn serve(stream: TcpStream, answers: ZoneAnswers, shared: &Shared) {
    let mut from = BufReader::new(stream);
    while let Ok(Some(request)) = http::read_message(&mut from) {
        let token =
            parameter(&request, "page_token").and_then(|token| token.strip_prefix("p-")?.parse().ok());
        let page = match parameter(&request, "zone") {
            Some(zone) if answers == ZoneAnswers::WhenAllAreOpen => zone_page(zone, shared),
            _ => {
                std::thread::sleep(ROUND_TRIP);
                whole_page(token.unwrap_or(0))
            }
        };
        let body = page.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if from.get_mut().write_all(answer.as_bytes()).is_err() {
            break;
        }
    }
}

/// Starts a platform and a core that reads its list; returns how many servers are listed at the most.
fn start(answers: ZoneAnswers) -> (Listener, Cluster) {
    let shared = Shared::default();
    let platform = Listener::start("127.0.0.1:0", move |stream| serve(stream, answers, &shared)).unwrap();
    let address: SocketAddr = platform.addr;
    (platform, Cluster::start_founders(Some(address)))
}

/// The largest value of a metric at the founders.
fn metric(core: &Cluster, name: &str) -> Option<u64> {
    let value = |i: usize| {
        let call = ("GET", "/lupinledge/metrics");
        let metrics = core.request(core.control_address(i), call, b"", Duration::from_secs(5))?;
        let text = String::from_utf8(metrics.body).ok()?;
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse::<u64>().ok())
    };
    (0..3).filter_map(value).max()
}

/// Guards against DRAIN: with a round trip for each page, a list of 17 pages took longer to arrive than servers that leave may
/// still get requests.
#[test]
fn the_zones_of_a_long_list_are_read_at_the_same_time() {
    let (_platform, core) = start(ZoneAnswers::WhenAllAreOpen);
    let all = (ZONES.len() * (SERVERS_PER_ZONE + 1)) as u64;
    wait_for("the servers that only lists of zones have", || {
        (metric(&core, "servers.listed ") == Some(all)).then_some(())
    });
}

/// A platform that does not select by zone is read page by page, as a whole.
#[test]
fn the_whole_list_is_read_where_zones_cannot_be_selected() {
    let (_platform, core) = start(ZoneAnswers::WholeList);
    let all = (ZONES.len() * SERVERS_PER_ZONE) as u64;
    wait_for("the whole list", || (metric(&core, "servers.listed ") == Some(all)).then_some(()));
    let pages = || metric(&core, "servers.read_pages ") == Some(all);
    wait_for("a read of all its pages", || pages().then_some(()));
    assert_eq!(metric(&core, "servers.listed "), Some(all));
}
