//! Tests that a client gets its own answer and that non-idempotent requests run at most once, with
//! misbehaving servers and clients. The gateway runs on loopback between them with hundreds of requests per
//! seed, and the result is judged by what clients and servers saw.

use crate::cluster::{new_request, server_row, wait_until, Cluster};
use crate::faulty_servers::{self, behavior_of, FaultyBehavior, RunLog};
use crate::test_core::Answers;
use crate::test_server::{Behavior, TestServer, FULL, WELL_BEHAVED};
use crate::{ms, near_server};
use lupinledge_example::http::{Client, Message};
use lupinledge_example::listener::Listener;
use lupinledge_messaging::list::ListedServer;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use test_case::test_case;

/// Clients that send at the same time.
const CLIENTS: u64 = 8;
/// Requests that each client sends.
const REQUESTS_PER_CLIENT: usize = 100;

/// A request as its client saw it.
struct ObservedRequest {
    id: String,
    repeatable: bool,
    /// The status of its answer, if one came.
    status: Option<u16>,
    /// What is wrong with the answer, if anything.
    answer_fault: Option<&'static str>,
}

/// How a client sends next: the number of pipelined requests, and whether it leaves without waiting for
/// answers.
fn next_step(rng: &mut fastrand::Rng) -> (usize, bool) {
    let pipelined = [1, 1, 1, 2, 3][rng.usize(..5)];
    (pipelined, rng.u8(..12) == 0)
}

/// What is wrong with an answer to this request, if anything.
fn answer_fault(id: &str, answer: &Message) -> Option<&'static str> {
    match answer.status() {
        200..300 if answer.text() != faulty_servers::body(id) => {
            Some("a body of another request, or a part of one")
        }
        200..300 if answer.header("lupinledge-attempt-id") != Some(id) => Some("another request's id"),
        200..600 => None,
        _ => Some("no valid status"),
    }
}

/// Sends `REQUESTS_PER_CLIENT` requests and returns what was observed of them.
fn client(client_address: SocketAddr, behaviors: u64, seed: u64) -> Vec<ObservedRequest> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut observed, mut link) = (Vec::<ObservedRequest>::new(), None);
    while observed.len() < REQUESTS_PER_CLIENT {
        let mut connection =
            link.take().unwrap_or_else(|| Client::connect(client_address).expect("a connection"));
        let (pipelined, leaves) = next_step(&mut rng);
        let (mut requests, from) = (String::new(), observed.len());
        for _ in 0..pipelined {
            let repeatable = rng.u8(..4) == 0;
            let line = if repeatable { "GET /read/x" } else { "POST /pay/x" };
            let (old, request) = new_request(line, "key", "", if repeatable { "" } else { "sum" });
            let id = format!("of{seed:02x}-{:04}", observed.len()); // distinct from the ids of concurrent tests
            let request = request.replace(&old, &id);
            // a request that is never answered gets a short deadline
            let deadline_ms = if behavior_of(behaviors, &id) == FaultyBehavior::Silent { 300 } else { 5000 };
            requests += &request.replace("Host:", &format!("Lupinledge-Deadline-Ms: {deadline_ms}\r\nHost:"));
            observed.push(ObservedRequest { id, repeatable, status: None, answer_fault: None });
        }
        if connection.write(requests.as_bytes()).is_err() || leaves {
            continue; // the connection is closed when `connection` is dropped
        }
        let mut open = true;
        for request in &mut observed[from..] {
            let Ok(Some(answer)) = connection.read_response() else {
                open = false;
                break;
            };
            (request.status, request.answer_fault) =
                (Some(answer.status()), answer_fault(&request.id, &answer));
            open = answer.header("connection") != Some("close") && request.answer_fault.is_none();
            if !open {
                break;
            }
        }
        link = Some(connection).filter(|_| open);
    }
    observed
}

/// MIXED, TWICE, REFUSED: no client gets another request's answer or a part of one, non-idempotent requests
/// run at most once over all servers, and no request that ran gets a promise that it has not.
#[test_case(1, &[])]
#[test_case(2, &[])]
#[test_case(3, &[])]
#[test_case(4, &[3000, 20, 50, 20, 300]; "paused now and then")]
fn every_client_gets_its_own_answer(seed: u64, pauses_ms: &[u64]) {
    let run_log: Arc<RunLog> = Arc::default();
    let cluster = Cluster::start((0..8).map(|nth| faulty_servers::start(nth, seed, &run_log)).collect());
    let client_address = cluster.client_address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| std::thread::spawn(move || client(client_address, seed, seed << 4 | c)))
        .collect();
    // after each pause the gateway sees everything at once that servers and clients did meanwhile
    for pause_ms in pauses_ms {
        let next_pause_at = run_log.whole() + 40;
        wait_until("the gateway continues", || {
            run_log.whole() >= next_pause_at || clients.iter().all(|c| c.is_finished())
        });
        cluster.signal("STOP");
        sleep(ms(*pause_ms));
        cluster.signal("CONT");
    }
    let observed: Vec<ObservedRequest> =
        clients.into_iter().flat_map(|c| c.join().expect("a client")).collect();
    drop(cluster);
    wait_until("all server connections are closed", || run_log.open() == 0);
    let (mut faults, mut statuses) = (BTreeMap::<_, usize>::new(), BTreeMap::<_, usize>::new());
    for request in &observed {
        *statuses.entry(request.status).or_default() += 1;
        let (behavior, ran) = (behavior_of(seed, &request.id), run_log.ran(&request.id));
        let promised = matches!(request.status, Some(408 | 421 | 429 | 503));
        let wrong = match request {
            ObservedRequest { answer_fault: Some(answer_fault), .. } => Some(*answer_fault),
            ObservedRequest { repeatable: false, .. } if ran > 1 => Some("ran twice"),
            ObservedRequest { repeatable: false, .. } if promised && ran > 0 => {
                Some("promised not to have run, but ran")
            }
            ObservedRequest { status: Some(200..300), .. } if ran == 0 => Some("a success without a run"),
            _ => None,
        };
        wrong.into_iter().for_each(|w| *faults.entry((behavior, w)).or_default() += 1);
    }
    assert!(faults.is_empty(), "{faults:?}, of {statuses:?}");
    assert!(statuses.get(&Some(200)).is_some_and(|n| *n >= REQUESTS_PER_CLIENT), "{statuses:?}");
    let bad = run_log.behaviors().iter().filter(|d| *d.0 != FaultyBehavior::Good).map(|d| d.1).sum::<u32>();
    assert!(bad >= 100 && run_log.behaviors().len() > 20, "{:?}", run_log.behaviors());
}

/// TWICE: an attempt id that a client uses again, on any connection, is refused, unless the earlier request
/// was promised not to have run. Idempotent requests may reuse an id.
#[test]
fn an_attempt_id_is_used_once() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    let (_, text) = new_request("POST /pay/x", "key", "", "sum");
    let mut client = Client::connect(cluster.client_address).unwrap();
    client.write((text.clone() + &text).as_bytes()).unwrap();
    let mut status =
        || client.read_response().unwrap().map(|a| (a.status(), a.header("connection").is_some()));
    assert_eq!((status(), status()), (Some((200, false)), Some((409, true))), "pipelined");
    assert_eq!((cluster.ask(&text).status(), server.received().len()), (409, 1));
    assert_eq!(
        cluster.ask(&text.replace("Token key", "Token wold-key")).status(),
        429,
        "the id of another tenant is distinct"
    );
    let (_, read) = new_request("GET /read/x", "key", "", "");
    assert_eq!([cluster.ask(&read).status(), cluster.ask(&read).status()], [200, 200]);
    let (_, text) = new_request("POST /pay/x", "key", "", "sum");
    server.set_behavior(FULL);
    assert_eq!(cluster.ask(&text).status(), 429);
    server.set_behavior(Behavior::RespondAndClose(""));
    assert_eq!([cluster.ask(&text).status(), cluster.ask(&text).status()], [502, 409], "it may have run");
}

/// QUOTA: answers of the counters to an earlier start of this process at the same address do not count for
/// this start, whose call tags begin anew.
#[test]
fn totals_for_an_earlier_start_are_ignored() {
    let server = near_server("i-1", WELL_BEHAVED);
    let mut cluster = Cluster::start(vec![server_row(&server, "a")]);
    cluster.core.set_answers(Answers::Withheld);
    assert_eq!(cluster.statuses(1, "GET /read/x", "small-key"), [200], "by its own share of the quota");
    cluster.restart();
    cluster.core.set_answers(Answers::Late);
    assert_eq!(cluster.statuses(1, "GET /read/x", "small-key"), [200], "again by its own share");
    assert!(cluster.core.counts.stale.load(Ordering::SeqCst) > 0);
}

/// QUOTA: answers of the same machine from an epoch that it held earlier do not count either.
#[test]
fn totals_of_an_earlier_epoch_are_ignored() {
    let server = near_server("i-1", WELL_BEHAVED);
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    assert_eq!(cluster.statuses(1, "GET /read/x", "small-key"), [200]);
    cluster.core.start_round(2);
    wait_until("the new holder has the report", || cluster.core.counts.reported.load(Ordering::SeqCst) > 0);
    cluster.core.set_answers(Answers::Outdated);
    assert_eq!(cluster.statuses(1, "GET /read/x", "small-key"), [200]);
    assert!(cluster.core.counts.stale.load(Ordering::SeqCst) > 0);
}

/// The length of a request, once its head is complete.
fn request_length(received: &[u8]) -> Option<usize> {
    let head = received.windows(4).position(|w| w == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&received[..head]).to_ascii_lowercase();
    let body = text.split("content-length: ").nth(1).and_then(|l| l.split('\r').next()?.parse().ok());
    Some(head + 4 + body.unwrap_or(0))
}

/// Reads at most this many bytes of a request; returns whether it was read completely.
fn read_some(from: &mut TcpStream, most: usize) -> bool {
    let (mut front, mut have, mut buf) = (Vec::new(), 0, vec![0; 64 << 10]);
    loop {
        if request_length(&front).is_some_and(|l| have >= l) {
            return true;
        }
        let want = buf.len().min(most - have);
        let Ok(n @ 1..) = from.read(&mut buf[..want]) else { return false };
        have += n;
        if front.len() < 4096 {
            front.extend_from_slice(&buf[..n]);
        }
    }
}

/// TWICE: if a server resets the connection after some bytes of a request, another server gets the request
/// only if the first cannot have received all of it. If it may have, the client gets a 502.
#[test]
fn connections_reset_after_any_byte() {
    let (cut, tried, received_whole): (Arc<AtomicUsize>, Arc<AtomicBool>, Arc<AtomicBool>) =
        Default::default();
    let (byte_limit, has_tried, had_whole) = (cut.clone(), tried.clone(), received_whole.clone());
    let resetting_server = Listener::start("127.0.0.1:0", move |mut stream| {
        has_tried.store(true, Ordering::SeqCst);
        let received_whole = read_some(&mut stream, byte_limit.load(Ordering::SeqCst));
        had_whole.fetch_or(received_whole, Ordering::SeqCst);
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    });
    let (second_server, resetting_server) =
        (TestServer::start("i-2", "wold-1", WELL_BEHAVED), resetting_server.unwrap().addr);
    let cluster = Cluster::start(vec![server_row(&second_server, "a")]);
    let (mut rng, mut outcomes) = (fastrand::Rng::with_seed(5), BTreeMap::<_, usize>::new());
    for (nth, size) in [0, 3, 100, 20 << 10, 8 << 20, 32 << 20].repeat(5).into_iter().enumerate() {
        // uses a new server each time, as one that failed gets fewer requests
        let (id, zone) = (format!("i-broken-{nth}"), "mead-1".into());
        cluster.apply_list(vec![
            ListedServer { id, zone, address: resetting_server, ..server_row(&second_server, "a") },
            server_row(&second_server, "a"),
        ]);
        let (id, text) = new_request("POST /pay/x", "key", "", &"x".repeat(size));
        tried.store(false, Ordering::SeqCst);
        received_whole.store(false, Ordering::SeqCst);
        // most of the largest request exceeds the system's socket buffers
        let never_whole = size == 32 << 20;
        let after = if never_whole { rng.usize(2000..size / 4) } else { rng.usize(1..size * 3 / 2 + 600) };
        cut.store(after, Ordering::SeqCst);
        let before = second_server.received().len();
        let answer = cluster.ask(&text);
        let (received_by_second, [tried, received_whole]) = (
            second_server.received().len() - before,
            [&tried, &received_whole].map(|flag| flag.load(Ordering::SeqCst)),
        );
        assert!(tried, "the near server is tried first");
        assert!(
            matches!((answer.status(), received_by_second), (200, 1) | (502, 0)),
            "{}, {received_by_second} of {size}",
            answer.start_line
        );
        assert!(
            !never_whole || received_by_second == 1,
            "{}: the server can't have received the last byte",
            answer.start_line
        );
        assert!(received_by_second == 0 || answer.text() == format!("i-2 for {id}"));
        assert!(received_by_second == 0 || !received_whole, "{size}: both received it completely");
        *outcomes.entry((received_by_second, received_whole)).or_default() += 1;
    }
    assert_eq!(outcomes.len(), 3, "{outcomes:?}: all three cases are met: received completely, possibly received, and sent to the other server");
}
