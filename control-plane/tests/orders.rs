//! Orders of the operator at a core of real processes: which are taken, and what is to be seen of those that aren't.

mod common;

use common::{config, until, Members, CONFIG};
use serde_json::{json, Value};
use std::fs;
use std::time::Duration;

const CALL: Duration = Duration::from_secs(5);
/// Longer than any line of the log is to be.
const LINE_MOST: usize = 700;

/// The first configuration, with a route of this kind.
fn with_kind(word: &str) -> Vec<u8> {
    let mut v: Value = serde_json::from_slice(&config::numbered(7, 0)).unwrap();
    v["listeners"][1]["rules"][0]["route_kind"] = json!(word);
    config::bytes(&v)
}

/// Puts a configuration; the answer's status and text, and who gave it.
fn put(core: &Members, body: &[u8]) -> (u16, String, usize) {
    let (status, text, who) = until("a settled answer", || core.followed(0, ("PUT", CONFIG), body, CALL));
    (status, String::from_utf8_lossy(&text).into_owned(), who)
}

/// A figure that a process tells of itself.
fn figure(core: &Members, who: usize, name: &str) -> Option<u64> {
    let answer = core.ask(core.at(who), ("GET", "/lupinledge/metrics"), b"", CALL)?;
    let text = answer.text();
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.trim().parse().ok())
}

/// FAULT: a kind that one side does not know kept a whole fleet without a configuration.
#[test]
fn a_first_configuration_with_a_keyed_route_is_acknowledged() {
    let core = Members::found(None);
    let keyed = with_kind("keyed");
    let (status, text, _) = put(&core, &keyed);
    assert_eq!(status, 200, "{text}");
    let read = until("it is read back", || core.followed(1, ("GET", CONFIG), b"", CALL));
    assert_eq!((read.0, read.1), (200, keyed));
}

#[test]
fn a_refused_order_is_logged_with_its_reason() {
    let core = Members::found(None);
    let (status, text, who) = put(&core, &with_kind(&"odd".repeat(10_000)));
    assert_eq!(status, 400, "{text}");
    core.logged(who, "event=refused order=configuration kind=invalid");
    let log = fs::read_to_string(core.log(who)).unwrap();
    let line = log.lines().find(|line| line.contains("event=refused")).unwrap();
    assert!(line.contains("listeners[1].rules[0].route_kind"), "{line}");
    assert!(line.contains(" in_force=0 ") && line.len() < LINE_MOST, "{line}");
    assert_eq!(figure(&core, who, "orders.refused"), Some(1));
    assert_eq!(figure(&core, who, "configuration.version"), Some(0));

    // what is asked for again, and what is only asked, is no refused order
    assert_eq!(put(&core, &config::numbered(7, 0)).0, 200);
    let zone = ("POST", "/lupinledge/evacuation/nowhere");
    let (status, _, who_else) = until("a settled answer", || core.followed(0, zone, b"", CALL));
    assert_eq!((status, who_else), (404, who));
    core.logged(who, "event=refused order=evacuation kind=unknown_zone");
    assert_eq!(figure(&core, who, "orders.refused"), Some(2));
}
