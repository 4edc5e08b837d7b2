//! Configurations that call for a 4xx, each with the field that is named, and the place among versions.

mod common;

use common::{bytes, example, numbered};
use lupinledge_config::{check, Config, Document, ErrorKind, Verdict};
use serde_json::{json, Value};
use test_case::test_case;

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

const RULE: &str = "/listeners/0/rules/0";

fn second(prefix: &str) -> Value {
    with("/listeners/1/rules/1", with("/x", json!(prefix)).pointer("/listeners/1/rules/0").cloned().unwrap())
}

#[test_case(with("/version", json!("7")), "version" ; "odd_version")]
#[test_case(with("/version", json!("r")), "version" ; "no_number")]
#[test_case(with("/version", json!("r99999999999999999999999")), "version" ; "vast_version")]
#[test_case(with("/version", Value::Null), "version" ; "null_version")]
#[test_case(with("/version", json!("r5")), "version" ; "old_version")]
#[test_case(with("/version", json!("r4")), "version" ; "older_version")]
#[test_case(with("/clusters/0/name", json!("other")), "listeners[0].rules[0].action.split[0].service" ; "unknown_service")]
#[test_case(with(&format!("{RULE}/action"), json!({"service": "odd", "timeout_s": 1})), "listeners[0].rules[0].action.service" ; "unknown_single")]
#[test_case(with(&format!("{RULE}/action"), json!({"timeout_s": 1})), "listeners[0].rules[0].action.service" ; "no_service")]
#[test_case(second("x"), "listeners[1].rules[1].match.path_prefix" ; "same_place")]
#[test_case(with("/listeners/2", json!({"host": "JEPU9.example:80", "rules": [example().pointer(RULE)]})), "listeners[2].rules[0].match.path_prefix" ; "same_place_apart")]
#[test_case(with(&format!("{RULE}/route_kind"), json!("sometimes")), "listeners[0].rules[0].route_kind" ; "odd_kind")]
#[test_case(with(&format!("{RULE}/route_kind"), json!("Keyed")), "listeners[0].rules[0].route_kind" ; "kind_in_capitals")]
#[test_case(with(&format!("{RULE}/route_kind"), json!("keyed ")), "listeners[0].rules[0].route_kind" ; "kind_with_a_space")]
#[test_case(with(&format!("{RULE}/route_kind"), Value::Null), "listeners[0].rules[0].route_kind" ; "null_kind")]
#[test_case(with(&format!("{RULE}/match/path_prefix"), json!("lepu270/")), "listeners[0].rules[0].match.path_prefix" ; "bare_prefix")]
#[test_case(with(&format!("{RULE}/match/path_prefix"), json!("/lepu270")), "listeners[0].rules[0].match.path_prefix" ; "open_prefix")]
#[test_case(with(&format!("{RULE}/match/path_prefix"), json!("")), "listeners[0].rules[0].match.path_prefix" ; "empty_prefix")]
#[test_case(with(&format!("{RULE}/action/timeout_s"), json!(0)), "listeners[0].rules[0].action.timeout_s" ; "no_timeout")]
#[test_case(with(&format!("{RULE}/action/timeout_s"), json!(-0.5)), "listeners[0].rules[0].action.timeout_s" ; "timeout_below")]
#[test_case(with(&format!("{RULE}/action"), json!({"service": "huvo11a"})), "listeners[0].rules[0].action.timeout_s" ; "timeout_missing")]
#[test_case(with(&format!("{RULE}/action/split/1/weight"), json!(-1)), "listeners[0].rules[0].action.split[1].weight" ; "below_zero")]
#[test_case(with(&format!("{RULE}/action/split/1/weight"), json!(1e300)), "listeners[0].rules[0].action.split[1].weight" ; "vast_weight")]
#[test_case(with("/tenants/1/api_keys", json!(["k3", "qasnmgkcuyj8pjbvk9m6"])), "tenants[1].api_keys[1]" ; "shared_key")]
#[test_case(with("/tenants/1/api_keys", json!([""])), "tenants[1].api_keys[0]" ; "empty_key")]
#[test_case(with("/tenants/1/name", json!("yefi830")), "tenants[1].name" ; "same_tenant")]
#[test_case(with("/tenants/1/name", json!("a\r\nb")), "tenants[1].name" ; "split_header")]
#[test_case(with("/clusters/1/name", json!("huvo11a")), "clusters[1].name" ; "same_service")]
#[test_case(with("/clusters/1/health_path", json!("health")), "clusters[1].health_path" ; "bare_health")]
#[test_case(with("/limits/max_header_bytes", json!(0)), "limits.max_header_bytes" ; "no_header")]
#[test_case(with("/listeners/0/host", json!("")), "listeners[0].host" ; "no_host")]
#[test_case(json!({"version": "r9", "base_version": "r5", "listeners": []}), "clusters" ; "no_clusters")]
#[test_case(json!([]), "" ; "no_object")]
fn names_the_field(config: Value, field: &str) {
    let fault = check(&bytes(&config), Some(5)).expect_err("has to be refused");
    assert_eq!((fault.kind.status(), fault.field.as_str()), (400, field), "{fault}");
}

#[test]
fn cut_short_is_malformed_wherever_it_ends() {
    let whole = bytes(&example());
    check(&whole, Some(5)).unwrap();
    for end in 0..whole.len() {
        assert_eq!(check(&whole[..end], Some(5)).unwrap_err().kind, ErrorKind::Malformed, "cut at {end}");
    }
    let mut more = whole;
    more.push(b'}');
    assert_eq!(check(&more, Some(5)).unwrap_err().kind, ErrorKind::Malformed);
}

#[test]
fn what_the_pages_do_not_refuse_is_taken() {
    let lean = json!({"version": "r1", "base_version": 0, "clusters": [{"name": "s", "new": {}}], "news": [1],
        "tenants": [{"name": "t"}, {"name": "u", "api_keys": ["a", "a"], "rate_per_s": null}],
        "listeners": [{"host": "h", "rules": [{"route_kind": "idempotent", "match": {"path_prefix": "/"},
            "action": {"service": "s", "split": null, "timeout_s": 0.25, "max_attempts": 2.0}}]}]});
    check(&bytes(&lean), None).unwrap();
    let zero = with(&format!("{RULE}/action/split/0/weight"), json!(0));
    check(&bytes(&zero), Some(5)).unwrap();
    for kind in ["idempotent", "non_idempotent", "keyed"] {
        check(&bytes(&with(&format!("{RULE}/route_kind"), json!(kind))), Some(5)).unwrap();
    }
    let deduplicating = with("/clusters/0/dedupes", json!(true));
    check(&bytes(&deduplicating), Some(5)).unwrap();
    for other in ["/lepu270/a/", "/", "/LEPU270/"] {
        check(&bytes(&with(&format!("{RULE}/match/path_prefix"), json!(other))), Some(5)).unwrap();
    }
}

fn taken(doc: &Document, body: &[u8]) -> Document {
    match doc.put(body) {
        Verdict::Take(next) => next,
        other => panic!("{other:?}"),
    }
}

fn refused(doc: &Document, body: &[u8]) -> ErrorKind {
    match doc.put(body) {
        Verdict::Refuse { kind, .. } => kind,
        other => panic!("{other:?}"),
    }
}

#[test]
fn versions_follow_each_other_and_the_same_body_is_taken_once() {
    let empty = Document::default();
    assert_eq!(refused(&empty, &numbered(7, 5)), ErrorKind::Stale);
    assert_eq!(refused(&empty, &numbered(0, 0)), ErrorKind::Invalid);
    let first = taken(&empty, &numbered(3, 0));
    assert_eq!((first.version, first.serial), (3, 1));
    assert_eq!(first.config, Some(numbered(3, 0)));
    assert_eq!(first.put(&numbered(3, 0)), Verdict::Already);
    assert_eq!(refused(&first, &numbered(4, 0)), ErrorKind::Stale); // lost its race
    assert_eq!(refused(&first, &numbered(2, 0)), ErrorKind::Stale);
    assert_eq!(refused(&first, &numbered(3, 3)), ErrorKind::Invalid); // another body under its number
    let mut other = example();
    (other["version"], other["base_version"]) = (json!("r3"), json!(0));
    other["clusters"][0]["max_conns"] = json!(9);
    assert_eq!(refused(&first, &bytes(&other)), ErrorKind::Stale); // as above, on top of the same version
    let second = taken(&first, &numbered(8, 3));
    assert_eq!(second.put(&numbered(3, 0)), Verdict::Already); // sent again though another followed
    assert_eq!(second.put(&numbered(8, 3)), Verdict::Already);
    assert_eq!(refused(&second, &numbered(9, 3)), ErrorKind::Stale);
    assert_eq!(refused(&second, b"{"), ErrorKind::Malformed);
    assert_eq!(refused(&second, &vec![b' '; 4 << 20]), ErrorKind::TooLarge);
    let read: Document = rmp_serde::from_slice(&rmp_serde::to_vec(&second).unwrap()).unwrap();
    assert_eq!(read, second);
    Config::parse(second.config.as_deref().unwrap()).unwrap();
}

#[test]
fn zones_are_evacuated_and_taken_back_once() {
    let doc = taken(&Document::default(), &numbered(1, 0));
    let one = doc.evacuate("b").unwrap().evacuate("a").unwrap();
    assert_eq!((one.evacuated_zones.clone(), one.serial), (vec!["a".to_string(), "b".into()], 3));
    assert_eq!((one.evacuate("a"), one.restore("c")), (None, None));
    let back = taken(&one, &numbered(2, 1)).restore("a").unwrap();
    assert_eq!((back.evacuated_zones, back.version, back.serial), (vec!["b".to_string()], 2, 5));
}

#[test]
fn kinds_have_their_statuses() {
    let statuses: Vec<u16> = ErrorKind::all().map(ErrorKind::status).collect();
    assert_eq!(statuses, [400, 400, 412, 404, 413, 503, 503, 404, 405, 503]);
    let places: Vec<usize> = ErrorKind::all().map(|k| k as usize).collect();
    assert_eq!(places, (0..10).collect::<Vec<_>>());
    assert_eq!((ErrorKind::NotHolder.name(), ErrorKind::Overloaded.status()), ("not_holder", 503));
}
