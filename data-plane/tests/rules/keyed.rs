//! Requests with an operation key: each key runs once over all gateways, and repeats get the first one's answer.

use crate::fleet::{config, document, req, row, until, Fleet};
use crate::srv::{Manner, Srv, FULL, GOOD};
use crate::{ms, srv};
use lupinledge_example::http::{Client, Message};
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::Ordering;
use std::thread::{spawn, JoinHandle};
use test_case::test_case;

/// The plain configuration, with a keyed route.
fn keyed() -> Value {
    let mut config = config();
    let rules = config["listeners"][0]["rules"].as_array_mut().expect("rules");
    let mut rule = rules[1].clone();
    (rule["name"], rule["route_kind"]) = (json!("charge"), json!("keyed"));
    rule["match"]["path_prefix"] = json!("/charge/");
    rules.push(rule);
    config
}

fn start(s: &Srv) -> Fleet {
    Fleet::with(vec![row(s, "a")], &keyed(), json!({}))
}

/// A request of that operation with this time left, and its attempt id.
fn within(milliseconds: u64, key: &str) -> (String, String) {
    let more = format!("Lupinledge-Operation-Key: {key}\r\nLupinledge-Deadline-Ms: {milliseconds}\r\n");
    req("POST /charge/x?y=1", "key", &more, "sum")
}

/// A request of that operation, and its attempt id.
fn request(key: &str) -> (String, String) {
    within(5000, key)
}

fn ask_apart(front: SocketAddr, text: String) -> JoinHandle<Message> {
    spawn(move || Client::to(front).unwrap().ask(text.as_bytes()).unwrap().expect("an answer"))
}

/// The first one's answer under the repeat's own id.
fn assert_repeats(first: &str, second: &str, answer: &Message) {
    assert_eq!((answer.status(), answer.text()), (200, format!("i-1 for {first}")));
    assert_eq!(answer.header("lupinledge-server-stamp"), Some("st"));
    assert_eq!(answer.header("lupinledge-attempt-id"), Some(second));
    assert_eq!(answer.header("x-app"), Some("kept"));
}

/// TWICE, MIXED: a key runs once over two gateways; repeats at either get status, stamp and body of the first. Another
/// key runs, and so does the same one of another tenant.
#[test]
fn a_key_runs_once_over_two_gateways() {
    let s = srv("i-1", GOOD);
    let f = start(&s);
    let beside = f.beside();
    let (first, text) = request("k-1");
    assert_repeats(&first, &first, &f.ask(&text));
    for _ in 0..2 {
        let (again, text) = request("k-1");
        assert_repeats(&first, &again, &beside.ask(&text));
        let (again, text) = request("k-1");
        assert_repeats(&first, &again, &f.ask(&text));
    }
    assert_eq!(s.got().len(), 1);
    let (other, text) = request("k-2");
    assert_repeats(&other, &other, &beside.ask(&text));
    let (tenant, text) = request("k-1");
    assert_repeats(&tenant, &tenant, &f.ask(&text.replace("Token key", "Token small-key")));
    assert_eq!(s.got().len(), 3);
    assert_eq!(f.metric("operations.claims_granted"), Some(2));
    assert_eq!(f.metric("operations.repeats_answered"), Some(2));
}

/// TWICE, MIXED: repeats that come while the first is at work, here and at another gateway, wait and get its answer.
#[test]
fn repeats_wait_for_the_first() {
    let s = srv("i-1", Manner::Answer(ms(500)));
    let f = start(&s);
    let beside = f.beside();
    let (first, text) = request("k-1");
    let ran = ask_apart(f.front, text);
    until("it runs", || s.got().len() == 1);
    let (here, text) = request("k-1");
    let waits_here = ask_apart(f.front, text);
    let (there, text) = request("k-1");
    assert_repeats(&first, &there, &beside.ask(&text));
    assert_repeats(&first, &here, &waits_here.join().unwrap());
    assert_repeats(&first, &first, &ran.join().unwrap());
    assert_eq!(s.got().len(), 1);
}

/// MIXED: a repeat whose time ends before the first is over hears that its key is in work.
#[test]
fn in_work_until_the_repeats_time_is_over() {
    let s = srv("i-1", Manner::Answer(ms(1500)));
    let f = start(&s);
    let beside = f.beside();
    let (first, text) = request("k-1");
    let ran = ask_apart(f.front, text);
    until("it runs", || s.got().len() == 1);
    let here = ask_apart(f.front, within(400, "k-1").1);
    assert_eq!(beside.ask(&within(400, "k-1").1).status(), 409);
    assert_eq!(here.join().unwrap().status(), 409);
    assert_repeats(&first, &first, &ran.join().unwrap());
    assert_eq!(s.got().len(), 1);
}

/// TWICE: the same key with another body, path or query is refused by every gateway, and nothing of it runs.
#[test]
fn a_key_is_of_one_request() {
    let s = srv("i-1", GOOD);
    let f = start(&s);
    let beside = f.beside();
    assert_eq!(f.ask(&request("k-1").1).status(), 200);
    let text = request("k-1").1;
    for other in
        [text.replace("sum", "mus"), text.replace("/charge/x", "/charge/z"), text.replace("y=1", "y=2")]
    {
        assert_eq!([f.ask(&other).status(), beside.ask(&other).status()], [422, 422]);
    }
    assert_eq!(s.got().len(), 1);
}

/// What bears no proper operation key is refused, with the header named; other routes ask for none.
#[test_case(""; "none")]
#[test_case("Lupinledge-Operation-Key:\r\n"; "empty")]
#[test_case("Lupinledge-Operation-Key: a\r\nLupinledge-Operation-Key: a\r\n"; "two")]
#[test_case("Lupinledge-Operation-Key: a b\r\n"; "a space")]
#[test_case("Lupinledge-Operation-Key: \u{e4}\r\n"; "no ASCII")]
#[test_case(&format!("Lupinledge-Operation-Key: {}\r\n", "x".repeat(257)); "long")]
fn improper_keys(more: &str) {
    let s = srv("i-1", GOOD);
    let f = start(&s);
    let answer = f.ask(&req("POST /charge/x", "key", more, "sum").1);
    assert_eq!(answer.status(), 400);
    assert!(answer.text().starts_with("Lupinledge-Operation-Key: "), "{}", answer.text());
    assert!(s.got().is_empty());
    assert_eq!(f.ask(&req("POST /pay/x", "key", more, "sum").1).status(), 200);
}

/// REFUSED, TWICE: what a server says that it has not run frees its key: a further try runs, wherever it comes.
#[test]
fn a_refusal_frees_the_key() {
    let s = srv("i-1", FULL);
    let f = start(&s);
    let beside = f.beside();
    assert_eq!(f.ask(&request("k-1").1).status(), 429);
    until("the key is free", || f.hive.votes.held.load(Ordering::SeqCst) == 0);
    let refused = s.got().len();
    s.now(GOOD);
    until("a server is trusted again", || f.statuses(1, "GET /read/x", "key") == [200]);
    let tried = s.got().len();
    let (id, text) = request("k-1");
    assert_repeats(&id, &id, &beside.ask(&text));
    assert!(refused > 0 && s.got().len() == tried + 1);
}

/// TWICE, MIXED: after the gateway that ran it is gone, a repeat gets the copy of the answer that a voter keeps.
#[test]
fn a_voter_keeps_the_answer() {
    let s = srv("i-1", GOOD);
    let f = start(&s);
    let beside = f.beside();
    let (first, text) = request("k-1");
    assert_eq!(beside.ask(&text).status(), 200);
    until("the voter keeps it", || f.hive.votes.answer_bytes.load(Ordering::SeqCst) > 0);
    drop(beside);
    let (again, text) = request("k-1");
    assert_repeats(&first, &again, &f.ask(&text));
    assert_eq!(f.metric("operations.claims_waiting"), Some(0), "its own claim is given up");
    assert_eq!(s.got().len(), 1);
}

/// TWICE: where the gateway is gone while its request runs, repeats are told that the outcome is not known, and nothing
/// runs again.
#[test]
fn the_owner_ends_while_it_runs() {
    let s = srv("i-1", Manner::Answer(ms(700)));
    let f = start(&s);
    let beside = f.beside();
    let first = spawn({
        let (front, text) = (beside.front, request("k-1").1);
        move || Client::to(front).unwrap().ask(text.as_bytes()).ok().flatten()
    });
    until("it runs", || s.got().len() == 1);
    drop(beside);
    assert!(first.join().unwrap().is_none());
    for _ in 0..2 {
        assert_eq!(f.ask(&within(1500, "k-1").1).status(), 502);
    }
    assert_eq!(s.got().len(), 1);
    assert_eq!(f.metric("operations.lost"), Some(2));
    assert!(f.log().contains("event=operation_lost"));
}

/// TWICE: a server that breaks off may have run it: every repeat at every gateway is told so.
#[test]
fn an_unknown_outcome_stays_unknown() {
    let s = srv("i-1", Manner::Close(""));
    let f = start(&s);
    let beside = f.beside();
    assert_eq!(f.ask(&request("k-1").1).status(), 502);
    s.now(GOOD);
    assert_eq!([f.ask(&request("k-1").1).status(), beside.ask(&request("k-1").1).status()], [502, 502]);
    assert_eq!(s.got().len(), 1);
}

/// REFUSED, TWICE: without a majority of the voters nothing runs, and the client is told when to come back; its key is
/// free once they are there.
#[test]
fn no_majority() {
    let s = srv("i-1", GOOD);
    let f = start(&s);
    f.alone_among(2);
    let answer = f.ask(&within(1000, "k-1").1);
    assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.300")));
    assert!(f.hive.votes.claims.load(Ordering::SeqCst) > 0 && s.got().is_empty());
    assert_eq!(f.metric("operations.claims_unavailable"), Some(1));
    until("the claim is withdrawn", || f.hive.votes.held.load(Ordering::SeqCst) == 0);
    f.alone_among(1);
    let (id, text) = request("k-1");
    assert_repeats(&id, &id, &f.ask(&text));
}

/// TWICE, MIXED: a client that leaves does not stop its operation; the answer is there for the repeat.
#[test]
fn a_client_that_leaves() {
    let s = srv("i-1", Manner::Answer(ms(400)));
    let f = start(&s);
    let (first, text) = request("k-1");
    let mut client = Client::to(f.front).unwrap();
    client.write(text.as_bytes()).unwrap();
    until("it runs", || s.got().len() == 1);
    drop(client);
    let (again, text) = request("k-1");
    assert_repeats(&first, &again, &f.ask(&text));
    assert_eq!(s.got().len(), 1);
}

/// TWICE, MIXED: at SIGTERM an operation whose client has left is seen to its end, and a voter is given the answer.
#[test]
fn an_operation_ends_before_its_gateway_does() {
    // longer than connections are taken for, and well within the grace
    let s = srv("i-1", Manner::Answer(ms(2700)));
    let mut f = Fleet::with(vec![row(&s, "a")], &keyed(), json!({"grace_s": 4}));
    let beside = f.beside();
    let (first, text) = request("k-1");
    let mut client = Client::to(f.front).unwrap();
    client.write(text.as_bytes()).unwrap();
    until("it runs", || s.got().len() == 1);
    drop(client);
    f.signal("TERM");
    assert!(f.end().success());
    until("the voter keeps it", || f.hive.votes.answer_bytes.load(Ordering::SeqCst) > 0);
    let (again, text) = request("k-1");
    assert_repeats(&first, &again, &beside.ask(&text));
    assert_eq!(s.got().len(), 1);
}

/// TWICE, MIXED: of gateways that claim a key at once while only just enough voters are there, each of which has granted
/// it to another one, one gets to run it, and all answer alike: claims give way to each other.
#[test_case(2, 3, 2; "two gateways and two of three voters")]
#[test_case(4, 5, 3; "three gateways and four of five voters")]
fn several_gateways_claim_at_once(there: usize, all: usize, gateways: usize) {
    const KEYS: usize = 4;
    let s = srv("i-1", GOOD);
    let f = start(&s);
    let beside: Vec<_> = (1..gateways).map(|_| f.beside()).collect();
    let voters = f.voters(there, all);
    let fronts: Vec<_> = beside.iter().map(|b| b.front).chain([f.front]).collect();
    let ask = |front, key: &str| ask_apart(front, request(key).1);
    for (nth, front) in fronts.iter().enumerate() {
        // the voters are known once a claim is granted
        until("it reaches the voters", || {
            ask(*front, &format!("warm-{nth}")).join().unwrap().status() == 200
        });
    }
    let nodes: Vec<u32> = fronts
        .iter()
        .filter_map(|front| match front.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        })
        .collect();
    let all_voters = voters.iter().chain([&f.hive]);
    all_voters
        .zip(nodes.into_iter().cycle())
        .for_each(|(voter, node)| voter.votes.prefers.store(node, Ordering::SeqCst));
    let (before, mut at_once) = (s.got().len(), 0);
    for nth in 0..KEYS {
        let key = format!("k-{nth}");
        let asked: Vec<_> = fronts.iter().map(|front| ask(*front, &key)).collect();
        let answers: Vec<_> = asked.into_iter().map(|asked| asked.join().unwrap()).collect();
        let passed: Vec<_> = answers.iter().filter(|a| a.status() == 200).map(Message::text).collect();
        assert!(answers.iter().all(|a| matches!(a.status(), 200 | 409 | 503)), "a refusal or the answer");
        assert!(passed.windows(2).all(|pair| pair[0] == pair[1]), "{passed:?}");
        at_once += usize::from(passed.len() == gateways);
        until("the key has run", || ask(f.front, &key).join().unwrap().status() == 200);
    }
    assert_eq!(s.got().len() - before, KEYS);
    assert!(voters.iter().all(|voter| voter.votes.claims.load(Ordering::SeqCst) > 0));
    // the rest is for a machine that is busy beyond measure
    assert!(at_once >= KEYS / 2, "only {at_once} of {KEYS} were settled at once");
}

/// ROUTE, DENIED: a request whose key is granted late goes by the configuration in force then, and its key is free again
/// if it does not go.
#[test]
fn a_claim_goes_by_the_configuration_in_force_when_it_is_granted() {
    let s = srv("i-1", GOOD);
    let f = start(&s);
    f.hive.votes.silent.store(true, Ordering::SeqCst);
    let asked = ask_apart(f.front, request("k-1").1);
    until("it is claimed", || f.hive.votes.claims.load(Ordering::SeqCst) > 0);
    f.follow(document(2, &config(), &[]));
    f.hive.votes.silent.store(false, Ordering::SeqCst);
    assert_eq!(asked.join().unwrap().status(), 503);
    until("the key is free", || f.hive.votes.held.load(Ordering::SeqCst) == 0);
    assert!(s.got().is_empty());
}

/// HOME: a voter outside a tenant's home regions is given no answer to keep; the repeat is told that the outcome is not
/// known then.
#[test]
fn answers_are_kept_at_home() {
    let s = Srv::start("i-1", "wold-1", GOOD);
    let f = start(&s);
    let beside = f.beside();
    let homed = |text: String| text.replace("Token key", "Token wold-key");
    assert_eq!(beside.ask(&homed(request("k-1").1)).status(), 200);
    let (first, text) = request("k-1");
    assert_eq!(beside.ask(&text).status(), 200);
    until("the voter keeps one", || f.hive.votes.answer_bytes.load(Ordering::SeqCst) > 0);
    drop(beside);
    let (again, text) = request("k-1");
    assert_repeats(&first, &again, &f.ask(&text));
    assert_eq!(f.ask(&homed(within(1500, "k-1").1)).status(), 502);
    assert_eq!(s.got().len(), 2);
}

/// A claim that was given up without a run is told as such: a repeat that meets it is sent away, not told that the
/// outcome is unknown.
#[test]
fn a_withdrawn_claim_is_no_unknown_outcome() {
    let s = srv("i-1", GOOD);
    let f = start(&s);
    let beside = f.beside();
    f.alone_among(3);
    let answer = beside.ask(&within(700, "k-1").1);
    assert_eq!(answer.status(), 503);
    let answer = f.ask(&within(700, "k-1").1);
    assert_eq!((answer.status(), f.metric("operations.lost")), (503, Some(0)));
    assert!(s.got().is_empty());
}
