//! The words that the protocol's pages name for a field are read, and each as what it is.

mod common;

use common::{bytes, example};
use lupinledge_config::config::RouteKind;
use lupinledge_config::{check, Settings};
use serde_json::json;

/// The kind that a route is read with.
fn read_kind(word: &str) -> Result<RouteKind, String> {
    let mut config = example();
    config["listeners"][0]["rules"][0]["route_kind"] = json!(word);
    let config = check(&bytes(&config), Some(5)).map_err(|fault| fault.to_string())?;
    Ok(config.listeners[0].rules[0].route_kind)
}

#[test]
fn kinds_that_concern_one_try_are_read() {
    assert_eq!(read_kind("idempotent"), Ok(RouteKind::Idempotent));
    assert_eq!(read_kind("non_idempotent"), Ok(RouteKind::NonIdempotent));
}

/// Read as another kind, its keys would run as often as they are sent.
#[test]
fn a_keyed_route_is_read_as_a_kind_of_its_own() {
    let kind = read_kind("keyed").expect("a kind that the pages name");
    assert!(![RouteKind::Idempotent, RouteKind::NonIdempotent].contains(&kind), "{kind:?}");
}

#[test]
fn a_kind_that_no_page_names_is_refused() {
    for word in ["", "Keyed", "KEYED", " keyed", "keyed ", "key", "sometimes", "idempotent,keyed"] {
        let fault = read_kind(word).expect_err(word);
        assert!(fault.starts_with("listeners[0].rules[0].route_kind: "), "{fault}");
    }
}

/// What the settings say of other parts than this process stops no process, whichever words come next.
#[test]
fn words_that_decide_nothing_are_taken() {
    let settings = json!({
        "ip": "10.1.0.22", "zone": "z", "region": "r", "port_range": [7460, 7475],
        "role": "new", "machine_class": "new", "serves": ["edge", "new"],
        "discovery": "new", "entry": "new", "contracts": ["base", "keys", "new"],
        "bounds": {"key_window_s": 60, "fenced": true, "new_s": "word"},
        "cloud_api": {"address": "10.200.0.136:8382", "duties": ["new"]},
    });
    Settings::parse(&bytes(&settings)).expect("settings with words of other releases");
    let mut config = example();
    config["clusters"][0]["dedupes"] = json!(true);
    config["clusters"][0]["new"] = json!("word");
    check(&bytes(&config), Some(5)).expect("a configuration with words of other releases");
}
