//! A node whose rules change in memory drops out by itself, its clients are served by the others, and it comes back.

use crate::fleet::{config, document, req, row, until, Fleet};
use crate::ms;
use crate::srv::{Srv, GOOD};
use lupinledge_example::http::Client;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;

/// What a client met: its request's id, seconds to its answer, and how often it was sent elsewhere.
type Met = (String, Duration, u32);

/// A client that asks one node and, when that says later, the others in turn; each request under one id.
fn client(fronts: Vec<SocketAddr>, mut at: usize, stop: Arc<AtomicBool>) -> Vec<Met> {
    let (mut met, mut link) = (Vec::new(), None);
    while !stop.load(Ordering::SeqCst) {
        let (id, text) = req("POST /pay/x", "key", "", "sum");
        let (began, mut moved) = (Instant::now(), 0);
        loop {
            let mut c = link.take().unwrap_or_else(|| Client::to(fronts[at]).expect("a connection"));
            let answer = c.ask(text.as_bytes()).expect("no break").expect("an answer");
            if answer.header("connection") != Some("close") {
                link = Some(c);
            }
            match answer.status() {
                200 => break,
                503 => {
                    assert!(answer.header("retry-after").is_some(), "a promise says when");
                    (at, moved, link) = ((at + 1) % fronts.len(), moved + 1, None);
                    assert!(moved < 10, "nobody takes it");
                }
                other => panic!("{other}"),
            }
        }
        met.push((id, began.elapsed(), moved));
        sleep(ms(5));
    }
    met
}

/// The rules of one of three nodes change in memory under load. Guards: audit, dropping out, return.
#[test_case("service", "routes"; "another service")]
#[test_case("retry", "routes"; "more tries")]
#[test_case("key", "tenants"; "a key that was taken away")]
fn one_of_three_drifts(how: &str, part: &str) {
    let (a, b) = (Srv::start("i-a", "mead-1", GOOD), Srv::start("i-b", "mead-1", GOOD));
    let f = Fleet::start(vec![row(&a, "a"), row(&b, "b")]);
    let (two, three) = (f.beside(), f.beside());
    let fronts = vec![f.front, two.front, three.front];
    let stop: Arc<AtomicBool> = Arc::default();
    let clients = (0..4).map(|i| (i % 3, fronts.clone(), stop.clone()));
    let clients: Vec<_> = clients.map(|(i, f, s)| spawn(move || client(f, i, s))).collect();
    // by then the three know each other: one that knows of no other would stay, and be mended in place
    sleep(ms(1500));
    assert!(a.got().len() > 40, "load");
    f.drift(how);
    let drifted = Instant::now();
    until("it is out", || f.readiness() == Some(503));
    let out = Instant::now();
    assert!(out - drifted < ms(1500), "{:?}", out - drifted);
    assert_eq!(f.ask(&req("POST /pay/x", "key", "", "").1).status(), 503);
    assert_eq!((two.readiness(), three.readiness()), (Some(200), Some(200)));
    until("it is back", || f.readiness() == Some(200));
    assert!(out.elapsed() > ms(800), "not at once");
    assert_eq!(f.statuses(20, "POST /pay/x", "key"), [200; 20]);
    assert_eq!(f.statuses(1, "POST /pay/x", "revoked"), [401]);
    stop.store(true, Ordering::SeqCst);
    let met: Vec<Met> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    // each was run once, wherever, and in time; those of the node that went out by the others
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    let ran = a.got().into_iter().chain(b.got());
    ran.for_each(|m| *runs.entry(m.header("lupinledge-attempt-id").unwrap().into()).or_default() += 1);
    assert!(met.iter().all(|m| runs.get(&m.0) == Some(&1)), "once each");
    assert!(met.iter().all(|m| m.1 < ms(1000)), "in time: {:?}", met.iter().map(|m| m.1).max());
    assert!(met.iter().any(|m| m.2 > 0), "somebody was sent elsewhere");
    assert!(b.times().iter().all(|t| *t < out), "nothing by other rules once it is out");
    let log = f.log();
    let says = |what: &[&str]| log.lines().any(|l| what.iter().all(|w| l.contains(w)));
    assert!(says(&["event=drift", &format!("part={part}"), "judge=own"]), "{log}");
    assert!(says(&["event=out"]) && says(&["event=back"]), "{log}");
}

/// An older document is said to be the newest one. The only node stays, and takes the true one from the core.
#[test]
fn a_forged_stamp_is_mended() {
    let a = Srv::start("i-a", "mead-1", GOOD);
    let f = Fleet::start(vec![row(&a, "a")]);
    f.hive.say(f.ip.into(), (1, 2), document(1, &config(), &[]));
    sleep(ms(200));
    let mut next = config();
    next["listeners"][0]["rules"][0]["action"]["timeout_s"] = json!(4);
    f.follow(document(2, &next, &[]));
    assert_eq!(f.statuses(1, "GET /read/x", "key"), [200]);
    assert!(!f.log().contains("event=out"), "nobody else could serve");
}
