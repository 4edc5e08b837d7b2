//! Operator orders to core processes on loopback: which are accepted, and how refused ones are logged and counted.

mod common;

use common::{config, wait_for, Cluster, CONFIG_PATH};
use serde_json::{json, Value};
use std::fs;
use std::time::Duration;

/// Time limit for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound on the length of a log line.
const MAX_LINE_BYTES: usize = 700;

/// The first configuration, with this kind for one route.
fn config_with_route_kind(kind: &str) -> Vec<u8> {
    let mut config_value: Value = serde_json::from_slice(&config::numbered(7, 0)).unwrap();
    config_value["listeners"][1]["rules"][0]["route_kind"] = json!(kind);
    config::bytes(&config_value)
}

/// Puts a configuration; returns the status and body of the answer, and the member that sent it.
fn put(core: &Cluster, body: &[u8]) -> (u16, String, usize) {
    let (status, body, member) = wait_for("an answer of the leader", || {
        core.request_following(0, ("PUT", CONFIG_PATH), body, ANSWER_TIMEOUT)
    });
    (status, String::from_utf8_lossy(&body).into_owned(), member)
}

/// A metric of a member.
fn metric(core: &Cluster, member: usize, name: &str) -> Option<u64> {
    let answer =
        core.request(core.control_address(member), ("GET", "/lupinledge/metrics"), b"", ANSWER_TIMEOUT)?;
    let metrics = answer.text();
    metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.trim().parse().ok())
}

/// A fault of an earlier version: a route kind that only one side supported left a whole fleet without a configuration.
#[test]
fn a_first_configuration_with_a_keyed_route_is_acknowledged() {
    let core = Cluster::start_founders(None);
    let keyed_config = config_with_route_kind("keyed");
    let (status, body, _) = put(&core, &keyed_config);
    assert_eq!(status, 200, "{body}");
    let answer = wait_for("a read of the configuration", || {
        core.request_following(1, ("GET", CONFIG_PATH), b"", ANSWER_TIMEOUT)
    });
    assert_eq!((answer.0, answer.1), (200, keyed_config));
}

#[test]
fn a_refused_order_is_logged_with_its_reason() {
    let core = Cluster::start_founders(None);
    let (status, body, member) = put(&core, &config_with_route_kind(&"odd".repeat(10_000)));
    assert_eq!(status, 400, "{body}");
    core.wait_for_log(member, "event=refused order=configuration kind=invalid");
    let log = fs::read_to_string(core.log_path(member)).unwrap();
    let line = log.lines().find(|line| line.contains("event=refused")).unwrap();
    assert!(line.contains("listeners[1].rules[0].route_kind"), "{line}");
    assert!(line.contains(" in_force=0 ") && line.len() < MAX_LINE_BYTES, "{line}");
    assert_eq!(metric(&core, member, "orders.refused"), Some(1));
    assert_eq!(metric(&core, member, "configuration.version"), Some(0));

    // a repeated order and a read are not counted as refused orders
    assert_eq!(put(&core, &config::numbered(7, 0)).0, 200);
    let evacuation = ("POST", "/lupinledge/evacuation/nowhere");
    let (status, _, second_member) =
        wait_for("an answer of the leader", || core.request_following(0, evacuation, b"", ANSWER_TIMEOUT));
    assert_eq!((status, second_member), (404, member));
    core.wait_for_log(member, "event=refused order=evacuation kind=unknown_zone");
    assert_eq!(metric(&core, member, "orders.refused"), Some(2));
}
