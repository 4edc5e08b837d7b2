//! The log tells what failed, and whatever becomes of who reads it, the service goes on.

use crate::fleet::{config, document, req, row, until, Beside, Fleet};
use crate::srv::{Manner, Srv, GOOD};
use lupinledge_example::http::Client;
use std::io::{pipe, Write};
use std::process::Stdio;

/// One request on a connection of its own; none: no whole answer came.
fn status(node: &Beside, line: &str, key: &str) -> Option<u16> {
    let text = req(line, key, "", "").1;
    Some(Client::to(node.front).ok()?.ask(text.as_bytes()).ok()??.status())
}

/// A node is taken through what it logs: refused requests, and a change of the configuration. Each request has an
/// answer, and the change comes into force.
fn goes_on(fleet: &Fleet, node: &Beside) {
    let statuses: Vec<_> = (0..12).map(|_| status(node, "GET /read/x", "small-key")).collect();
    assert!(statuses.iter().all(Option::is_some), "{statuses:?}");
    assert!(statuses.contains(&Some(429)), "{statuses:?}");
    let mut changed = config();
    changed["listeners"][0]["rules"].as_array_mut().expect("rules").pop();
    assert_eq!(status(node, "GET /other/x", "key"), Some(429), "there is no server of it");
    fleet.follow(document(2, &changed, &[]));
    until("the change is in force at the other node", || status(node, "GET /other/x", "key") == Some(404));
}

/// A collector of logs that ends takes the read end with it.
#[test]
fn a_log_whose_reader_has_ended() {
    let server = Srv::start("i-1", "mead-1", GOOD);
    let fleet = Fleet::start(vec![row(&server, "a")]);
    let (reader, writer) = pipe().expect("a pipe");
    let node = fleet.beside_logging_to(Stdio::from(writer));
    drop(reader);
    goes_on(&fleet, &node);
}

/// A collector of logs that stands still leaves the pipe full.
#[test]
fn a_log_whose_reader_stands_still() {
    let server = Srv::start("i-1", "mead-1", GOOD);
    let fleet = Fleet::start(vec![row(&server, "a")]);
    let (_reader, writer) = pipe().expect("a pipe");
    let mut fills = writer.try_clone().expect("its other handle");
    // blocks for good once the pipe is full
    std::thread::spawn(move || fills.write_all(&vec![b'x'; 1 << 22]));
    let node = fleet.beside_logging_to(Stdio::from(writer));
    goes_on(&fleet, &node);
}

/// A request that failed is told with how each of its dispatches ended, and counted.
#[test]
fn a_failed_request_is_told() {
    let server = Srv::start("i-1", "mead-1", Manner::Close(""));
    let fleet = Fleet::start(vec![row(&server, "a")]);
    let (id, text) = req("POST /pay/x", "key", "", "");
    assert_eq!(fleet.ask(&text).status(), 502);
    let line = |log: &str| log.lines().find(|l| l.contains("event=request_failed")).map(str::to_string);
    until("it is told", || line(&fleet.log()).is_some());
    let line = line(&fleet.log()).expect("the line");
    for part in [&format!("id={id}")[..], "status=502", "route=/pay/", "tenant=own", "attempts=i-1:Reset:"] {
        assert!(line.contains(part), "{part} in {line}");
    }
    assert_eq!(fleet.metric("aborted"), Some(1));
    assert_eq!(fleet.metric("invariant_violations.run_once"), Some(0));
}

/// A fault in the program's own code ends it, so that it is started again: a process of which one task has ended goes
/// on as ready with a part of it missing.
#[test]
fn a_panic_ends_the_process() {
    let server = Srv::start("i-1", "mead-1", GOOD);
    let mut fleet = Fleet::start(vec![row(&server, "a")]);
    fleet.drift("panic");
    assert!(!fleet.end().success());
    until("the log says why", || fleet.log().contains("level=error event=panicked fault="));
    fleet.restart();
    assert_eq!(fleet.statuses(2, "POST /pay/x", "key"), [200, 200]);
}
