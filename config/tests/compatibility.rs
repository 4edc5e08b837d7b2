//! Every documented value of a field is read as what it means, and values and fields of other releases are ignored
//! where they decide nothing.

mod common;

use common::{bytes, example};
use lupinledge_config::config::RouteKind;
use lupinledge_config::{check, Settings};
use serde_json::json;

/// The kind that a route with this `route_kind` is read with.
fn parse_kind(value: &str) -> Result<RouteKind, String> {
    let mut config = example();
    config["listeners"][0]["rules"][0]["route_kind"] = json!(value);
    let config = check(&bytes(&config), Some(5)).map_err(|error| error.to_string())?;
    Ok(config.listeners[0].rules[0].route_kind)
}

#[test]
fn idempotent_and_non_idempotent_kinds_are_read() {
    assert_eq!(parse_kind("idempotent"), Ok(RouteKind::Idempotent));
    assert_eq!(parse_kind("non_idempotent"), Ok(RouteKind::NonIdempotent));
}

/// If `keyed` was read as another kind, a request would be executed each time its operation key is sent.
#[test]
fn a_keyed_route_has_its_own_kind() {
    let kind = parse_kind("keyed").expect("a documented kind");
    assert!(![RouteKind::Idempotent, RouteKind::NonIdempotent].contains(&kind), "{kind:?}");
}

#[test]
fn an_undocumented_kind_is_refused() {
    for value in ["", "Keyed", "KEYED", " keyed", "keyed ", "key", "sometimes", "idempotent,keyed"] {
        let error = parse_kind(value).expect_err(value);
        assert!(error.starts_with("listeners[0].rules[0].route_kind: "), "{error}");
    }
}

/// Settings that this process doesn't use must not stop it, whatever values later releases add.
#[test]
fn unknown_fields_and_unused_values_are_ignored() {
    let settings = json!({
        "ip": "10.1.0.22", "zone": "z", "region": "r", "port_range": [7460, 7475],
        "role": "new", "machine_class": "new", "serves": ["edge", "new"],
        "discovery": "new", "entry": "new", "contracts": ["base", "keys", "new"],
        "bounds": {"key_window_s": 60, "fenced": true, "new_s": "word"},
        "cloud_api": {"address": "10.200.0.136:8382", "duties": ["new"]},
    });
    Settings::parse(&bytes(&settings)).expect("settings with values of other releases");
    let mut config = example();
    config["clusters"][0]["dedupes"] = json!(true);
    config["clusters"][0]["new"] = json!("word");
    check(&bytes(&config), Some(5)).expect("a configuration with values of other releases");
}
