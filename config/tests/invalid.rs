//! Configurations that are refused with a 4xx status and the name of the field, and the order of versions.

mod common;

use common::{bytes, example, numbered};
use lupinledge_config::{check, Config, Document, ErrorKind, PutResult};
use serde_json::{json, Value};
use test_case::test_case;

/// The example with a value set (in an object) or inserted (into a list) at the pointer.
fn with(pointer: &str, value: Value) -> Value {
    let mut v = example();
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    match v.pointer_mut(parent).unwrap() {
        Value::Object(map) => drop(map.insert(name.into(), value)),
        Value::Array(list) => list.insert(name.parse().unwrap(), value),
        other => panic!("{other}"),
    }
    v
}

/// The first rule of the example.
const FIRST_RULE: &str = "/listeners/0/rules/0";

/// The example with the only rule of the second host repeated. The value is set as an unknown field, which is ignored.
fn with_duplicate_rule(unknown_field: &str) -> Value {
    with(
        "/listeners/1/rules/1",
        with("/x", json!(unknown_field)).pointer("/listeners/1/rules/0").cloned().unwrap(),
    )
}

#[test_case(with("/version", json!("7")), "version" ; "version_without_r")]
#[test_case(with("/version", json!("r")), "version" ; "version_without_number")]
#[test_case(with("/version", json!("r99999999999999999999999")), "version" ; "version_too_large")]
#[test_case(with("/version", Value::Null), "version" ; "version_null")]
#[test_case(with("/version", json!("r5")), "version" ; "version_same_as_current")]
#[test_case(with("/version", json!("r4")), "version" ; "version_below_current")]
#[test_case(with("/clusters/0/name", json!("other")), "listeners[0].rules[0].action.split[0].service" ; "unknown_service_in_split")]
#[test_case(with(&format!("{FIRST_RULE}/action"), json!({"service": "odd", "timeout_s": 1})), "listeners[0].rules[0].action.service" ; "unknown_single_service")]
#[test_case(with(&format!("{FIRST_RULE}/action"), json!({"timeout_s": 1})), "listeners[0].rules[0].action.service" ; "no_service")]
#[test_case(with_duplicate_rule("x"), "listeners[1].rules[1].match.path_prefix" ; "same_host_and_prefix")]
#[test_case(with("/listeners/2", json!({"host": "JEPU9.example:80", "rules": [example().pointer(FIRST_RULE)]})), "listeners[2].rules[0].match.path_prefix" ; "same_host_and_prefix_in_another_listener")]
#[test_case(with(&format!("{FIRST_RULE}/route_kind"), json!("sometimes")), "listeners[0].rules[0].route_kind" ; "unknown_kind")]
#[test_case(with(&format!("{FIRST_RULE}/route_kind"), json!("Keyed")), "listeners[0].rules[0].route_kind" ; "kind_in_capitals")]
#[test_case(with(&format!("{FIRST_RULE}/route_kind"), json!("keyed ")), "listeners[0].rules[0].route_kind" ; "kind_with_a_space")]
#[test_case(with(&format!("{FIRST_RULE}/route_kind"), Value::Null), "listeners[0].rules[0].route_kind" ; "null_kind")]
#[test_case(with(&format!("{FIRST_RULE}/match/path_prefix"), json!("lepu270/")), "listeners[0].rules[0].match.path_prefix" ; "prefix_without_first_slash")]
#[test_case(with(&format!("{FIRST_RULE}/match/path_prefix"), json!("/lepu270")), "listeners[0].rules[0].match.path_prefix" ; "prefix_without_last_slash")]
#[test_case(with(&format!("{FIRST_RULE}/match/path_prefix"), json!("")), "listeners[0].rules[0].match.path_prefix" ; "empty_prefix")]
#[test_case(with(&format!("{FIRST_RULE}/action/timeout_s"), json!(0)), "listeners[0].rules[0].action.timeout_s" ; "zero_timeout")]
#[test_case(with(&format!("{FIRST_RULE}/action/timeout_s"), json!(-0.5)), "listeners[0].rules[0].action.timeout_s" ; "negative_timeout")]
#[test_case(with(&format!("{FIRST_RULE}/action"), json!({"service": "huvo11a"})), "listeners[0].rules[0].action.timeout_s" ; "timeout_missing")]
#[test_case(with(&format!("{FIRST_RULE}/action/split/1/weight"), json!(-1)), "listeners[0].rules[0].action.split[1].weight" ; "negative_weight")]
#[test_case(with(&format!("{FIRST_RULE}/action/split/1/weight"), json!(1e300)), "listeners[0].rules[0].action.split[1].weight" ; "weight_too_large")]
#[test_case(with("/tenants/1/api_keys", json!(["k3", "qasnmgkcuyj8pjbvk9m6"])), "tenants[1].api_keys[1]" ; "shared_key")]
#[test_case(with("/tenants/1/api_keys", json!([""])), "tenants[1].api_keys[0]" ; "empty_key")]
#[test_case(with("/tenants/1/name", json!("yefi830")), "tenants[1].name" ; "same_tenant_name")]
#[test_case(with("/tenants/1/name", json!("a\r\nb")), "tenants[1].name" ; "control_characters_in_tenant_name")]
#[test_case(with("/clusters/1/name", json!("huvo11a")), "clusters[1].name" ; "same_cluster_name")]
#[test_case(with("/clusters/1/health_path", json!("health")), "clusters[1].health_path" ; "health_path_without_slash")]
#[test_case(with("/limits/max_header_bytes", json!(0)), "limits.max_header_bytes" ; "zero_header_bytes")]
#[test_case(with("/listeners/0/host", json!("")), "listeners[0].host" ; "empty_host")]
#[test_case(json!({"version": "r9", "base_version": "r5", "listeners": []}), "clusters" ; "no_clusters")]
#[test_case(json!([]), "" ; "not_an_object")]
fn an_invalid_configuration_is_refused_with_the_field(config: Value, field: &str) {
    let error = check(&bytes(&config), Some(5)).expect_err("must be refused");
    assert_eq!((error.kind.status(), error.field.as_str()), (400, field), "{error}");
}

#[test]
fn a_truncated_body_is_malformed_wherever_it_ends() {
    let whole = bytes(&example());
    check(&whole, Some(5)).unwrap();
    for end in 0..whole.len() {
        assert_eq!(check(&whole[..end], Some(5)).unwrap_err().kind, ErrorKind::Malformed, "cut at {end}");
    }
    let mut with_surplus = whole;
    with_surplus.push(b'}');
    assert_eq!(check(&with_surplus, Some(5)).unwrap_err().kind, ErrorKind::Malformed);
}

#[test]
fn optional_and_unknown_fields_are_accepted() {
    let minimal = json!({"version": "r1", "base_version": 0, "clusters": [{"name": "s", "new": {}}], "news": [1],
        "tenants": [{"name": "t"}, {"name": "u", "api_keys": ["a", "a"], "rate_per_s": null}],
        "listeners": [{"host": "h", "rules": [{"route_kind": "idempotent", "match": {"path_prefix": "/"},
            "action": {"service": "s", "split": null, "timeout_s": 0.25, "max_attempts": 2.0}}]}]});
    check(&bytes(&minimal), None).unwrap();
    let zero_weight = with(&format!("{FIRST_RULE}/action/split/0/weight"), json!(0));
    check(&bytes(&zero_weight), Some(5)).unwrap();
    for kind in ["idempotent", "non_idempotent", "keyed"] {
        check(&bytes(&with(&format!("{FIRST_RULE}/route_kind"), json!(kind))), Some(5)).unwrap();
    }
    let unknown_cluster_field = with("/clusters/0/dedupes", json!(true));
    check(&bytes(&unknown_cluster_field), Some(5)).unwrap();
    for prefix in ["/lepu270/a/", "/", "/LEPU270/"] {
        check(&bytes(&with(&format!("{FIRST_RULE}/match/path_prefix"), json!(prefix))), Some(5)).unwrap();
    }
}

fn accepted(doc: &Document, body: &[u8]) -> Document {
    match doc.put(body) {
        PutResult::Accepted(next) => next,
        other => panic!("{other:?}"),
    }
}

fn refused(doc: &Document, body: &[u8]) -> ErrorKind {
    match doc.put(body) {
        PutResult::Refused { kind, .. } => kind,
        other => panic!("{other:?}"),
    }
}

#[test]
fn versions_follow_each_other_and_the_same_body_is_accepted_once() {
    let empty = Document::default();
    assert_eq!(refused(&empty, &numbered(7, 5)), ErrorKind::Stale);
    assert_eq!(refused(&empty, &numbered(0, 0)), ErrorKind::Invalid);
    let first = accepted(&empty, &numbered(3, 0));
    assert_eq!((first.version, first.serial), (3, 1));
    assert_eq!(first.config, Some(numbered(3, 0)));
    assert_eq!(first.put(&numbered(3, 0)), PutResult::AlreadyAccepted);
    assert_eq!(refused(&first, &numbered(4, 0)), ErrorKind::Stale); // its base is not current any more
    assert_eq!(refused(&first, &numbered(2, 0)), ErrorKind::Stale);
    assert_eq!(refused(&first, &numbered(3, 3)), ErrorKind::Invalid); // the current version on top of itself
    let mut other = example();
    (other["version"], other["base_version"]) = (json!("r3"), json!(0));
    other["clusters"][0]["max_conns"] = json!(9);
    assert_eq!(refused(&first, &bytes(&other)), ErrorKind::Stale); // same version and base, another body
    let second = accepted(&first, &numbered(8, 3));
    assert_eq!(second.put(&numbered(3, 0)), PutResult::AlreadyAccepted); // sent again after a newer version
    assert_eq!(second.put(&numbered(8, 3)), PutResult::AlreadyAccepted);
    assert_eq!(refused(&second, &numbered(9, 3)), ErrorKind::Stale);
    assert_eq!(refused(&second, b"{"), ErrorKind::Malformed);
    assert_eq!(refused(&second, &vec![b' '; 4 << 20]), ErrorKind::TooLarge);
    let read: Document = rmp_serde::from_slice(&rmp_serde::to_vec(&second).unwrap()).unwrap();
    assert_eq!(read, second);
    Config::parse(second.config.as_deref().unwrap()).unwrap();
}

#[test]
fn zones_are_evacuated_and_restored_once() {
    let doc = accepted(&Document::default(), &numbered(1, 0));
    let evacuated = doc.evacuate("b").unwrap().evacuate("a").unwrap();
    assert_eq!((evacuated.evacuated_zones.clone(), evacuated.serial), (vec!["a".to_string(), "b".into()], 3));
    assert_eq!((evacuated.evacuate("a"), evacuated.restore("c")), (None, None));
    let restored = accepted(&evacuated, &numbered(2, 1)).restore("a").unwrap();
    assert_eq!((restored.evacuated_zones, restored.version, restored.serial), (vec!["b".to_string()], 2, 5));
}

#[test]
fn error_kinds_have_their_statuses() {
    let statuses: Vec<u16> = ErrorKind::all().map(ErrorKind::status).collect();
    assert_eq!(statuses, [400, 400, 412, 404, 413, 503, 503, 404, 405, 503]);
    let indexes: Vec<usize> = ErrorKind::all().map(|k| k as usize).collect();
    assert_eq!(indexes, (0..10).collect::<Vec<_>>());
    assert_eq!((ErrorKind::NotLeader.name(), ErrorKind::Overloaded.status()), ("not_holder", 503));
}
