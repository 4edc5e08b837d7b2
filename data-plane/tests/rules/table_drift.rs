//! Tests of rules that change in memory: the node withdraws by itself, the other nodes serve its clients, and
//! it returns.

use crate::cluster::{config, document, new_request, server_row, wait_until, Cluster};
use crate::ms;
use crate::test_server::{TestServer, WELL_BEHAVED};
use lupinledge_example::http::Client;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;

/// What a client saw of a request: its attempt id, the time to its answer, and how often it was sent to
/// another node.
type RequestResult = (String, Duration, u32);

/// Sends requests to one node and, when it answers 503, to the others in turn. All tries of a request have
/// the same attempt id.
fn client(client_addresses: Vec<SocketAddr>, mut at: usize, stop: Arc<AtomicBool>) -> Vec<RequestResult> {
    let (mut results, mut link) = (Vec::new(), None);
    while !stop.load(Ordering::SeqCst) {
        let (id, text) = new_request("POST /pay/x", "key", "", "sum");
        let (began, mut moved) = (Instant::now(), 0);
        loop {
            let mut connection =
                link.take().unwrap_or_else(|| Client::connect(client_addresses[at]).expect("a connection"));
            let answer = connection.send_request(text.as_bytes()).expect("no break").expect("an answer");
            if answer.header("connection") != Some("close") {
                link = Some(connection);
            }
            match answer.status() {
                200 => break,
                503 => {
                    assert!(answer.header("retry-after").is_some(), "a refusal says when to retry");
                    (at, moved, link) = ((at + 1) % client_addresses.len(), moved + 1, None);
                    assert!(moved < 10, "no node takes the request");
                }
                other => panic!("{other}"),
            }
        }
        results.push((id, began.elapsed(), moved));
        sleep(ms(5));
    }
    results
}

/// The rules of one of three nodes change in memory under load. Guards the audit, the withdrawal and the
/// return.
#[test_case("service", "routes"; "another service")]
#[test_case("retry", "routes"; "more retries")]
#[test_case("key", "tenants"; "a revoked key")]
fn one_of_three_nodes_drifts(drift_kind: &str, part: &str) {
    let (server_a, server_b) =
        (TestServer::start("i-a", "mead-1", WELL_BEHAVED), TestServer::start("i-b", "mead-1", WELL_BEHAVED));
    let cluster = Cluster::start(vec![server_row(&server_a, "a"), server_row(&server_b, "b")]);
    let (second, third) = (cluster.start_gateway(), cluster.start_gateway());
    let client_addresses = vec![cluster.client_address, second.client_address, third.client_address];
    let stop: Arc<AtomicBool> = Arc::default();
    let clients = (0..4).map(|i| (i % 3, client_addresses.clone(), stop.clone()));
    let clients: Vec<_> =
        clients.map(|(i, client_addresses, stop)| spawn(move || client(client_addresses, i, stop))).collect();
    // by then the three nodes have learned of each other; a node that is alone would not withdraw, but be
    // repaired in place
    sleep(ms(1500));
    assert!(server_a.received().len() > 40, "load");
    cluster.drift(drift_kind);
    let drifted_at = Instant::now();
    wait_until("the node has withdrawn", || cluster.readiness() == Some(503));
    let withdrawn_at = Instant::now();
    assert!(withdrawn_at - drifted_at < ms(1500), "{:?}", withdrawn_at - drifted_at);
    assert_eq!(cluster.ask(&new_request("POST /pay/x", "key", "", "").1).status(), 503);
    assert_eq!((second.readiness(), third.readiness()), (Some(200), Some(200)));
    wait_until("the node has returned", || cluster.readiness() == Some(200));
    assert!(withdrawn_at.elapsed() > ms(800), "it does not return at once");
    assert_eq!(cluster.statuses(20, "POST /pay/x", "key"), [200; 20]);
    assert_eq!(cluster.statuses(1, "POST /pay/x", "revoked"), [401]);
    stop.store(true, Ordering::SeqCst);
    let results: Vec<RequestResult> = clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    // each request ran exactly once on some server and in time; those sent to the withdrawn node were served
    // by the others
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    let received = server_a.received().into_iter().chain(server_b.received());
    received.for_each(|m| *runs.entry(m.header("lupinledge-attempt-id").unwrap().into()).or_default() += 1);
    assert!(results.iter().all(|m| runs.get(&m.0) == Some(&1)), "once each");
    assert!(results.iter().all(|m| m.1 < ms(1000)), "in time: {:?}", results.iter().map(|m| m.1).max());
    assert!(results.iter().any(|m| m.2 > 0), "some request was sent to another node");
    assert!(
        server_b.receive_times().iter().all(|t| *t < withdrawn_at),
        "nothing is sent by the changed rules after the withdrawal"
    );
    let log = cluster.log();
    let log_has = |words: &[&str]| log.lines().any(|l| words.iter().all(|w| l.contains(w)));
    assert!(log_has(&["event=drift", &format!("part={part}"), "judge=own"]), "{log}");
    assert!(log_has(&["event=out"]) && log_has(&["event=back"]), "{log}");
}

/// An older document is presented as the newest one. The only node does not withdraw, and fetches the true
/// document from the core.
#[test]
fn a_forged_ballot_is_repaired() {
    let server = TestServer::start("i-a", "mead-1", WELL_BEHAVED);
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    cluster.core.send_document(cluster.ip.into(), (1, 2), document(1, &config(), &[]));
    sleep(ms(200));
    let mut next = config();
    next["listeners"][0]["rules"][0]["action"]["timeout_s"] = json!(4);
    cluster.apply_document(document(2, &next, &[]));
    assert_eq!(cluster.statuses(1, "GET /read/x", "key"), [200]);
    assert!(!cluster.log().contains("event=out"), "no other node could serve");
}
