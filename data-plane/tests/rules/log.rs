//! Tests of the log: it reports failed requests, and the service continues whatever happens to the reader of
//! the log.

use crate::cluster::{config, document, new_request, server_row, wait_until, Cluster, ExtraGateway};
use crate::test_server::{Behavior, TestServer, WELL_BEHAVED};
use lupinledge_example::http::Client;
use std::io::{pipe, Write};
use std::process::Stdio;

/// Sends one request on a new connection; `None` if no complete answer came.
fn status(node: &ExtraGateway, line: &str, key: &str) -> Option<u16> {
    let text = new_request(line, key, "", "").1;
    Some(Client::connect(node.client_address).ok()?.send_request(text.as_bytes()).ok()??.status())
}

/// Makes a node write to its log by refused requests and a change of the configuration. Each request must get
/// an answer, and the change must come into force.
fn assert_service_continues(cluster: &Cluster, node: &ExtraGateway) {
    let statuses: Vec<_> = (0..12).map(|_| status(node, "GET /read/x", "small-key")).collect();
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
    assert!(statuses.contains(&Some(429)), "{statuses:?}");
    let mut changed = config();
    changed["listeners"][0]["rules"].as_array_mut().expect("rules").pop();
    assert_eq!(status(node, "GET /other/x", "key"), Some(429), "the service has no server");
    cluster.apply_document(document(2, &changed, &[]));
    wait_until("the change is in force at the other node", || {
        status(node, "GET /other/x", "key") == Some(404)
    });
}

/// A log collector that exits closes the read end of the pipe.
#[test]
fn the_service_continues_when_the_log_reader_has_ended() {
    let server = TestServer::start("i-1", "mead-1", WELL_BEHAVED);
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    let (reader, writer) = pipe().expect("a pipe");
    let node = cluster.start_gateway_logging_to(Stdio::from(writer));
    drop(reader);
    assert_service_continues(&cluster, &node);
}

/// A log collector that stops reading leaves the pipe full.
#[test]
fn the_service_continues_when_the_log_reader_is_stopped() {
    let server = TestServer::start("i-1", "mead-1", WELL_BEHAVED);
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    let (_reader, writer) = pipe().expect("a pipe");
    let mut pipe_filler = writer.try_clone().expect("its other handle");
    // blocks forever once the pipe is full
    std::thread::spawn(move || pipe_filler.write_all(&vec![b'x'; 1 << 22]));
    let node = cluster.start_gateway_logging_to(Stdio::from(writer));
    assert_service_continues(&cluster, &node);
}

/// A failed request is logged with the outcome of each of its dispatches, and counted.
#[test]
fn failed_requests_are_logged() {
    let server = TestServer::start("i-1", "mead-1", Behavior::RespondAndClose(""));
    let cluster = Cluster::start(vec![server_row(&server, "a")]);
    let (id, text) = new_request("POST /pay/x", "key", "", "");
    assert_eq!(cluster.ask(&text).status(), 502);
    let line = |log: &str| log.lines().find(|l| l.contains("event=request_failed")).map(str::to_string);
    wait_until("the failure is logged", || line(&cluster.log()).is_some());
    let line = line(&cluster.log()).expect("the line");
    for part in [&format!("id={id}")[..], "status=502", "route=/pay/", "tenant=own", "attempts=i-1:Reset:"] {
        assert!(line.contains(part), "{part} in {line}");
    }
    assert_eq!(cluster.metric("aborted"), Some(1));
    assert_eq!(cluster.metric("invariant_violations.run_once"), Some(0));
}

/// A panic ends the process, so that it is restarted. Otherwise the process would stay ready with one of its
/// tasks missing.
#[test]
fn a_panic_ends_the_process() {
    let server = TestServer::start("i-1", "mead-1", WELL_BEHAVED);
    let mut cluster = Cluster::start(vec![server_row(&server, "a")]);
    cluster.drift("panic");
    assert!(!cluster.wait_for_exit().success());
    wait_until("the log says why", || cluster.log().contains("level=error event=panicked fault="));
    cluster.restart();
    assert_eq!(cluster.statuses(2, "POST /pay/x", "key"), [200, 200]);
}
