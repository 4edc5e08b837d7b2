//! Tests of requests with an operation key: each key runs once over all gateways, and repeats get the first
//! request's answer.

use crate::cluster::{config, document, new_request, server_row, wait_until, Cluster};
use crate::test_server::{Behavior, TestServer, FULL, WELL_BEHAVED};
use crate::{ms, near_server};
use lupinledge_example::http::{Client, Message};
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::thread::{spawn, JoinHandle};
use test_case::test_case;

/// The default configuration with a keyed route in addition.
fn keyed_config() -> Value {
    let mut config = config();
    let rules = config["listeners"][0]["rules"].as_array_mut().expect("rules");
    let mut rule = rules[1].clone();
    (rule["name"], rule["route_kind"]) = (json!("charge"), json!("keyed"));
    rule["match"]["path_prefix"] = json!("/charge/");
    rules.push(rule);
    config
}

/// Starts a cluster with the keyed route.
fn start(server: &TestServer) -> Cluster {
    Cluster::with_config(vec![server_row(server, "a")], &keyed_config(), json!({}))
}

/// The attempt id and text of a request with this operation key and this deadline.
fn request_with_deadline(milliseconds: u64, key: &str) -> (String, String) {
    let more = format!("Lupinledge-Operation-Key: {key}\r\nLupinledge-Deadline-Ms: {milliseconds}\r\n");
    new_request("POST /charge/x?y=1", "key", &more, "sum")
}

/// The attempt id and text of a request with this operation key.
fn request(key: &str) -> (String, String) {
    request_with_deadline(5000, key)
}

/// Sends a request from a thread of its own.
fn send_in_thread(client_address: SocketAddr, text: String) -> JoinHandle<Message> {
    spawn(move || {
        Client::connect(client_address).unwrap().send_request(text.as_bytes()).unwrap().expect("an answer")
    })
}

/// Asserts that the answer is the first request's, under the repeat's own attempt id.
fn assert_repeats(first: &str, second: &str, answer: &Message) {
    assert_eq!((answer.status(), answer.text()), (200, format!("i-1 for {first}")));
    assert_eq!(answer.header("lupinledge-server-stamp"), Some("st"));
    assert_eq!(answer.header("lupinledge-attempt-id"), Some(second));
    assert_eq!(answer.header("x-app"), Some("kept"));
}

/// TWICE, MIXED: a key runs once over two gateways; repeats at either get status, stamp and body of the first
/// request. Another key runs, and so does the same key of another tenant.
#[test]
fn a_key_runs_once_over_two_gateways() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    let (first, text) = request("k-1");
    assert_repeats(&first, &first, &cluster.ask(&text));
    for _ in 0..2 {
        let (repeat, text) = request("k-1");
        assert_repeats(&first, &repeat, &other_gateway.ask(&text));
        let (repeat, text) = request("k-1");
        assert_repeats(&first, &repeat, &cluster.ask(&text));
    }
    assert_eq!(server.received().len(), 1);
    let (other, text) = request("k-2");
    assert_repeats(&other, &other, &other_gateway.ask(&text));
    let (tenant, text) = request("k-1");
    assert_repeats(&tenant, &tenant, &cluster.ask(&text.replace("Token key", "Token small-key")));
    assert_eq!(server.received().len(), 3);
    assert_eq!(cluster.metric("operations.claims_granted"), Some(2));
    assert_eq!(cluster.metric("operations.repeats_answered"), Some(2));
}

/// TWICE, MIXED: repeats that arrive while the first request runs, at the same or another gateway, wait and
/// get its answer.
#[test]
fn repeats_wait_for_the_first_request() {
    let server = near_server("i-1", Behavior::Answer(ms(500)));
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    let (first, text) = request("k-1");
    let ran = send_in_thread(cluster.client_address, text);
    wait_until("the request runs", || server.received().len() == 1);
    let (repeat_here, text) = request("k-1");
    let pending_repeat = send_in_thread(cluster.client_address, text);
    let (repeat_elsewhere, text) = request("k-1");
    assert_repeats(&first, &repeat_elsewhere, &other_gateway.ask(&text));
    assert_repeats(&first, &repeat_here, &pending_repeat.join().unwrap());
    assert_repeats(&first, &first, &ran.join().unwrap());
    assert_eq!(server.received().len(), 1);
}

/// MIXED: a repeat whose deadline ends before the first request does is told that its key is in use.
#[test]
fn a_repeat_is_refused_when_its_deadline_ends_first() {
    let server = near_server("i-1", Behavior::Answer(ms(1500)));
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    let (first, text) = request("k-1");
    let ran = send_in_thread(cluster.client_address, text);
    wait_until("the request runs", || server.received().len() == 1);
    let pending_repeat = send_in_thread(cluster.client_address, request_with_deadline(400, "k-1").1);
    assert_eq!(other_gateway.ask(&request_with_deadline(400, "k-1").1).status(), 409);
    assert_eq!(pending_repeat.join().unwrap().status(), 409);
    assert_repeats(&first, &first, &ran.join().unwrap());
    assert_eq!(server.received().len(), 1);
}

/// TWICE: the same key with another body, path or query is refused by every gateway, and none of these
/// requests runs.
#[test]
fn a_key_belongs_to_one_request() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    assert_eq!(cluster.ask(&request("k-1").1).status(), 200);
    let text = request("k-1").1;
    for other in
        [text.replace("sum", "mus"), text.replace("/charge/x", "/charge/z"), text.replace("y=1", "y=2")]
    {
        assert_eq!([cluster.ask(&other).status(), other_gateway.ask(&other).status()], [422, 422]);
    }
    assert_eq!(server.received().len(), 1);
}

/// A request without a valid operation key is refused with the name of the header; other routes need no key.
#[test_case(""; "no key")]
#[test_case("Lupinledge-Operation-Key:\r\n"; "empty")]
#[test_case("Lupinledge-Operation-Key: a\r\nLupinledge-Operation-Key: a\r\n"; "two")]
#[test_case("Lupinledge-Operation-Key: a b\r\n"; "a space")]
#[test_case("Lupinledge-Operation-Key: \u{e4}\r\n"; "no ASCII")]
#[test_case(&format!("Lupinledge-Operation-Key: {}\r\n", "x".repeat(257)); "long")]
fn invalid_operation_keys_are_refused(more: &str) {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    let answer = cluster.ask(&new_request("POST /charge/x", "key", more, "sum").1);
    assert_eq!(answer.status(), 400);
    assert!(answer.text().starts_with("Lupinledge-Operation-Key: "), "{}", answer.text());
    assert!(server.received().is_empty());
    assert_eq!(cluster.ask(&new_request("POST /pay/x", "key", more, "sum").1).status(), 200);
}

/// REFUSED, TWICE: if a server states that it has not run a request, the key is released, and a further try
/// at any gateway runs.
#[test]
fn a_refusal_releases_the_key() {
    let server = near_server("i-1", FULL);
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    assert_eq!(cluster.ask(&request("k-1").1).status(), 429);
    wait_until("the key is free", || cluster.core.votes.held.load(Ordering::SeqCst) == 0);
    let refused = server.received().len();
    server.set_behavior(WELL_BEHAVED);
    wait_until("the server is used again", || cluster.statuses(1, "GET /read/x", "key") == [200]);
    let tried = server.received().len();
    let (id, text) = request("k-1");
    assert_repeats(&id, &id, &other_gateway.ask(&text));
    assert!(refused > 0 && server.received().len() == tried + 1);
}

/// TWICE, MIXED: once the gateway that ran the request is gone, a repeat gets the copy of the answer that a
/// voter stores.
#[test]
fn a_voter_stores_the_answer() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    let (first, text) = request("k-1");
    assert_eq!(other_gateway.ask(&text).status(), 200);
    wait_until("the voter stores the answer", || cluster.core.votes.answer_bytes.load(Ordering::SeqCst) > 0);
    drop(other_gateway);
    let (repeat, text) = request("k-1");
    assert_repeats(&first, &repeat, &cluster.ask(&text));
    assert_eq!(cluster.metric("operations.claims_waiting"), Some(0), "its own claim is released");
    assert_eq!(server.received().len(), 1);
}

/// TWICE: if the gateway is gone while its request runs, repeats are told that the outcome is not known, and
/// nothing runs again.
#[test]
fn the_gateway_ends_while_its_request_runs() {
    let server = near_server("i-1", Behavior::Answer(ms(700)));
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    let first = spawn({
        let (client_address, text) = (other_gateway.client_address, request("k-1").1);
        move || Client::connect(client_address).unwrap().send_request(text.as_bytes()).ok().flatten()
    });
    wait_until("the request runs", || server.received().len() == 1);
    drop(other_gateway);
    assert!(first.join().unwrap().is_none());
    for _ in 0..2 {
        assert_eq!(cluster.ask(&request_with_deadline(1500, "k-1").1).status(), 502);
    }
    assert_eq!(server.received().len(), 1);
    assert_eq!(cluster.metric("operations.lost"), Some(2));
    assert!(cluster.log().contains("event=operation_lost"));
}

/// TWICE: a server that closes the connection may have run the request, and every repeat at every gateway is
/// told so.
#[test]
fn an_unknown_outcome_stays_unknown() {
    let server = near_server("i-1", Behavior::RespondAndClose(""));
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    assert_eq!(cluster.ask(&request("k-1").1).status(), 502);
    server.set_behavior(WELL_BEHAVED);
    assert_eq!(
        [cluster.ask(&request("k-1").1).status(), other_gateway.ask(&request("k-1").1).status()],
        [502, 502]
    );
    assert_eq!(server.received().len(), 1);
}

/// REFUSED, TWICE: without a majority of the voters nothing runs, and the client is told when to retry. Once
/// enough voters are there the key is free.
#[test]
fn nothing_runs_without_a_majority() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    cluster.answer_alone_among(2);
    let answer = cluster.ask(&request_with_deadline(1000, "k-1").1);
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.300")));
    assert!(cluster.core.votes.claims.load(Ordering::SeqCst) > 0 && server.received().is_empty());
    assert_eq!(cluster.metric("operations.claims_unavailable"), Some(1));
    wait_until("the claim is withdrawn", || cluster.core.votes.held.load(Ordering::SeqCst) == 0);
    cluster.answer_alone_among(1);
    let (id, text) = request("k-1");
    assert_repeats(&id, &id, &cluster.ask(&text));
}

/// TWICE, MIXED: a client that disconnects does not stop its operation, and a repeat gets the answer.
#[test]
fn operations_continue_without_their_client() {
    let server = near_server("i-1", Behavior::Answer(ms(400)));
    let cluster = start(&server);
    let (first, text) = request("k-1");
    let mut client = Client::connect(cluster.client_address).unwrap();
    client.write(text.as_bytes()).unwrap();
    wait_until("the request runs", || server.received().len() == 1);
    drop(client);
    let (repeat, text) = request("k-1");
    assert_repeats(&first, &repeat, &cluster.ask(&text));
    assert_eq!(server.received().len(), 1);
}

/// TWICE, MIXED: after SIGTERM an operation whose client has left is completed, and its answer is stored by a
/// voter.
#[test]
fn operations_are_completed_before_the_gateway_ends() {
    // longer than new connections are accepted, and well within the grace time
    let server = near_server("i-1", Behavior::Answer(ms(2700)));
    let mut cluster =
        Cluster::with_config(vec![server_row(&server, "a")], &keyed_config(), json!({"grace_s": 4}));
    let other_gateway = cluster.start_gateway();
    let (first, text) = request("k-1");
    let mut client = Client::connect(cluster.client_address).unwrap();
    client.write(text.as_bytes()).unwrap();
    wait_until("the request runs", || server.received().len() == 1);
    drop(client);
    cluster.signal("TERM");
    assert!(cluster.wait_for_exit().success());
    wait_until("the voter stores the answer", || cluster.core.votes.answer_bytes.load(Ordering::SeqCst) > 0);
    let (repeat, text) = request("k-1");
    assert_repeats(&first, &repeat, &other_gateway.ask(&text));
    assert_eq!(server.received().len(), 1);
}

/// TWICE, MIXED: several gateways claim a key at once while there are just enough voters, and each voter has
/// granted it to a different gateway. All claims but one are withdrawn, one gateway runs the request, and
/// all give the same answer.
#[test_case(2, 3, 2; "two gateways and two of three voters")]
#[test_case(4, 5, 3; "three gateways and four of five voters")]
fn several_gateways_claim_at_once(reachable: usize, all: usize, gateways: usize) {
    const KEYS: usize = 4;
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    let other_gateway: Vec<_> = (1..gateways).map(|_| cluster.start_gateway()).collect();
    let voters = cluster.start_voters(reachable, all);
    let client_addresses: Vec<_> =
        other_gateway.iter().map(|b| b.client_address).chain([cluster.client_address]).collect();
    let ask = |client_address, key: &str| send_in_thread(client_address, request(key).1);
    for (nth, client_address) in client_addresses.iter().enumerate() {
        // a granted claim shows that the gateway knows the voters
        wait_until("the gateway reaches the voters", || {
            ask(*client_address, &format!("warm-{nth}")).join().unwrap().status() == 200
        });
    }
    let nodes: Vec<u32> = client_addresses
        .iter()
        .filter_map(|client_address| match client_address.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        })
        .collect();
    let all_voters = voters.iter().chain([&cluster.core]);
    all_voters
        .zip(nodes.into_iter().cycle())
        .for_each(|(voter, node)| voter.votes.prefers.store(node, Ordering::SeqCst));
    let (before, mut decided_at_once) = (server.received().len(), 0);
    for nth in 0..KEYS {
        let key = format!("k-{nth}");
        let pending: Vec<_> =
            client_addresses.iter().map(|client_address| ask(*client_address, &key)).collect();
        let answers: Vec<_> = pending.into_iter().map(|pending| pending.join().unwrap()).collect();
        let passed: Vec<_> = answers.iter().filter(|a| a.status() == 200).map(Message::text).collect();
        assert!(answers.iter().all(|a| matches!(a.status(), 200 | 409 | 503)), "a refusal or the answer");
        assert!(passed.windows(2).all(|pair| pair[0] == pair[1]), "{passed:?}");
        decided_at_once += usize::from(passed.len() == gateways);
        wait_until("the key has run", || ask(cluster.client_address, &key).join().unwrap().status() == 200);
    }
    assert_eq!(server.received().len() - before, KEYS);
    assert!(voters.iter().all(|voter| voter.votes.claims.load(Ordering::SeqCst) > 0));
    // not all keys need to be decided in the first attempt, as the machine may be extremely busy
    assert!(decided_at_once >= KEYS / 2, "only {decided_at_once} of {KEYS} were decided at once");
}

/// ROUTE, DENIED: a request whose key is granted late is handled by the configuration in force then, and its
/// key is released if it is not sent.
#[test]
fn the_configuration_at_the_grant_applies() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    cluster.core.votes.silent.store(true, Ordering::SeqCst);
    let pending = send_in_thread(cluster.client_address, request("k-1").1);
    wait_until("the key is claimed", || cluster.core.votes.claims.load(Ordering::SeqCst) > 0);
    cluster.apply_document(document(2, &config(), &[]));
    cluster.core.votes.silent.store(false, Ordering::SeqCst);
    assert_eq!(pending.join().unwrap().status(), 503);
    wait_until("the key is free", || cluster.core.votes.held.load(Ordering::SeqCst) == 0);
    assert!(server.received().is_empty());
}

/// HOME: a voter outside a tenant's home regions gets no answer to store; a repeat is then told that the
/// outcome is not known.
#[test]
fn answers_are_stored_in_home_regions_only() {
    let server = TestServer::start("i-1", "wold-1", WELL_BEHAVED);
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    let homed = |text: String| text.replace("Token key", "Token wold-key");
    assert_eq!(other_gateway.ask(&homed(request("k-1").1)).status(), 200);
    let (first, text) = request("k-1");
    assert_eq!(other_gateway.ask(&text).status(), 200);
    wait_until("the voter stores an answer", || cluster.core.votes.answer_bytes.load(Ordering::SeqCst) > 0);
    drop(other_gateway);
    let (repeat, text) = request("k-1");
    assert_repeats(&first, &repeat, &cluster.ask(&text));
    assert_eq!(cluster.ask(&homed(request_with_deadline(1500, "k-1").1)).status(), 502);
    assert_eq!(server.received().len(), 2);
}

/// A claim that was given up without running is reported as such: a repeat that meets it is told to retry,
/// not that the outcome is unknown.
#[test]
fn a_withdrawn_claim_is_not_an_unknown_outcome() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = start(&server);
    let other_gateway = cluster.start_gateway();
    cluster.answer_alone_among(3);
    let answer = other_gateway.ask(&request_with_deadline(700, "k-1").1);
    assert_eq!(answer.status(), 503);
    let answer = cluster.ask(&request_with_deadline(700, "k-1").1);
    assert_eq!((answer.status(), cluster.metric("operations.lost")), (503, Some(0)));
    assert!(server.received().is_empty());
}
