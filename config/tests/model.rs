//! Compares the tables with simple models over random configurations, and parses random bytes.

mod common;

use common::{bytes, document, example, zones};
use lupinledge_config::config::RouteKind;
use lupinledge_config::reference::{route_by_scan, RoutingInput};
use lupinledge_config::{check, Config, Document, PutResult, Settings, Tables};
use serde_json::{json, Value};

/// Path segments that share prefixes or differ only in case.
const SEGMENTS: [&str; 6] = ["a", "b", "ab", "A", "a%2F", "c"];
/// Hosts as written in listeners; the last two are the same host.
const HOSTS: [&str; 3] = ["one.example", "two.example", "TWO.example:80"];

fn random_path(rng: &mut fastrand::Rng) -> String {
    let segments: Vec<&str> = (0..rng.usize(0..4)).map(|_| SEGMENTS[rng.usize(0..SEGMENTS.len())]).collect();
    let tail = ["", "/", "?a/b", "/?x", "//"][rng.usize(0..5)];
    format!("/{}{tail}", segments.join("/"))
}

/// Random listeners without two routes of the same host and prefix, and the routes as (host, prefix, name).
fn random_listeners(rng: &mut fastrand::Rng) -> (Value, Vec<(String, String, String)>) {
    let (mut routes, mut listeners) = (Vec::new(), Vec::new());
    for _ in 0..rng.usize(0..5) {
        let host = HOSTS[rng.usize(0..HOSTS.len())];
        let normalized = host.to_lowercase().replace(":80", "");
        let mut rules = Vec::new();
        for _ in 0..rng.usize(0..6) {
            let mut prefix = random_path(rng).replace(['?', 'x'], "");
            prefix += if prefix.ends_with('/') { "" } else { "/" };
            if routes.iter().any(|(h, p, _)| (h, p) == (&normalized, &prefix)) {
                continue;
            }
            let name = format!("r{}", routes.len());
            rules.push(json!({"name": name, "route_kind": "idempotent", "match": {"path_prefix": prefix},
                              "action": {"service": "kafi81c", "timeout_s": 1}}));
            routes.push((normalized.clone(), prefix, name));
        }
        listeners.push(json!({"host": host, "rules": rules}));
    }
    (json!(listeners), routes)
}

/// The documented rule: of the host's routes, the one with the longest prefix that matches the path.
fn scan(routes: &[(String, String, String)], host: &str, path: &str) -> Option<String> {
    let path: String = path.chars().take_while(|c| *c != '?').collect();
    let matching = routes.iter().filter(|(h, p, _)| h == host && path.starts_with(p.as_str()));
    matching.max_by_key(|(_, p, _)| p.len()).map(|(_, _, name)| name.clone())
}

#[test]
fn routes_match_those_of_a_plain_scan() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let (listeners, routes) = random_listeners(&mut rng);
        let mut config = example();
        config["listeners"] = listeners;
        let tables = Tables::new(&document(&config), &zones()).unwrap();
        assert_eq!(tables.routes().len(), routes.len());
        for _ in 0..40 {
            let (host, path) =
                (["one.example", "two.example", "no.example"][rng.usize(0..3)], random_path(&mut rng));
            let header = if rng.bool() { host.to_uppercase() + ":8389" } else { host.to_string() };
            let found = tables.route(&header, &path).map(|x| x.name.clone());
            assert_eq!(found, scan(&routes, host, &path), "{header} {path}");
        }
    });
}

#[test]
fn a_prefix_without_its_last_slash_is_another_path() {
    let tables = Tables::new(&document(&example()), &zones()).unwrap();
    let name = |path| tables.route("jepu9.example", path).map(|r| r.name.as_str());
    assert_eq!((name("/lepu270"), name("/lepu270?a=/"), name("/lepu270/")), (None, None, Some("r-a")));
    assert_eq!((name("/lepu270/x?y"), name("/LEPU270/"), name("")), (Some("r-a"), None, None));
}

#[test]
fn splits_follow_the_weights() {
    bolero::check!().with_type::<[u8; 4]>().with_iterations(200).for_each(|weights| {
        let mut config = example();
        let split: Vec<Value> = weights
            .iter()
            .zip(["huvo11a", "wuno96b", "kafi81c", "huvo11a"])
            .map(|(w, s)| json!({"service": s, "weight": (*w as f64 - 100.0).max(0.0)}))
            .collect();
        config["listeners"][0]["rules"][0]["action"]["split"] = json!(split);
        let tables = Tables::new(&document(&config), &zones()).unwrap();
        let route = tables.route("jepu9.example", "/lepu270/").unwrap();
        let (mut actual, mut expected, draws) = ([0.0; 3], [0.0; 3], 2000);
        for i in 0..draws {
            if let Some(s) = route.choose_service((i as f64 + 0.5) / draws as f64) {
                actual[s] += 1.0 / draws as f64;
            }
        }
        let total: f64 = route.services.iter().map(|s| s.1).sum();
        route.services.iter().filter(|s| s.1 > 0.0).for_each(|&(s, w)| expected[s] += w / total);
        for s in 0..3 {
            assert!(
                (actual[s] - expected[s]).abs() < 0.002 && (actual[s] > 0.0) == (expected[s] > 0.0),
                "{actual:?} {expected:?}"
            );
        }
        for fraction in [-1.0, 1.0, 2.0, f64::NAN] {
            assert_eq!(route.choose_service(fraction).is_some(), total > 0.0);
        }
    });
}

#[test]
fn fingerprints_do_not_depend_on_the_order() {
    bolero::check!().with_type::<u64>().with_iterations(200).for_each(|seed| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut config = example();
        config["listeners"] = random_listeners(&mut rng).0;
        config["listeners"].as_array_mut().unwrap().push(example()["listeners"][0].clone());
        config["listeners"][0]["host"] = json!("other.example");
        let mut doc = document(&config);
        doc.evacuated_zones = vec!["a".into(), "b".into()];
        let fingerprints = Tables::new(&doc, &zones()).unwrap().fingerprints();
        shuffle(&mut config, &mut rng);
        let other =
            Document { version: 8, evacuated_zones: vec!["b".into(), "a".into()], ..document(&config) };
        assert_eq!(Tables::new(&other, &zones()).unwrap().fingerprints(), fingerprints);
    });
}

/// Shuffles every list, at all levels.
fn shuffle(v: &mut Value, rng: &mut fastrand::Rng) {
    match v {
        Value::Array(list) => {
            rng.shuffle(list);
            list.iter_mut().for_each(|x| shuffle(x, rng));
        }
        Value::Object(map) => map.iter_mut().for_each(|(_, x)| shuffle(x, rng)),
        _ => {}
    }
}

#[test]
fn a_change_alters_the_fingerprint_of_its_part_only() {
    let original = Tables::new(&document(&example()), &zones()).unwrap().fingerprints();
    let changed = |pointer: &str, value: Value| {
        let mut v = example();
        *v.pointer_mut(pointer).unwrap() = value;
        let p = Tables::new(&document(&v), &zones()).unwrap().fingerprints();
        let parts =
            [(p.routes, original.routes), (p.tenants, original.tenants), (p.clusters, original.clusters)];
        parts.map(|(a, b)| a != b).into_iter().chain([p.limits != original.limits]).collect::<Vec<_>>()
    };
    let action = "/listeners/0/rules/0/action";
    assert_eq!(changed(&format!("{action}/split/0/weight"), json!(91)), [true, false, false, false]);
    assert_eq!(changed(&format!("{action}/timeout_s"), json!(3.5)), [true, false, false, false]);
    let kind = "/listeners/1/rules/0/route_kind";
    assert_eq!(changed(kind, json!("idempotent")), [true, false, false, false]);
    assert_eq!(changed(kind, json!("keyed")), [true, false, false, false]);
    assert_eq!(changed("/listeners/0/host", json!("x")), [true, false, false, false]);
    assert_eq!(changed("/tenants/0/api_keys/0", json!("x")), [false, true, false, false]);
    assert_eq!(changed("/tenants/0/rate_per_s", json!(62)), [false, true, false, false]);
    assert_eq!(changed("/tenants", Value::Null), [false, true, false, false]);
    assert_eq!(changed("/clusters/0/warmup_per_s", json!(4)), [false, false, true, false]);
    assert_eq!(changed("/limits/idle_timeout_s", json!(4)), [false, false, false, true]);
    let evacuated = document(&example()).evacuate("tartu-ropka").unwrap();
    let fingerprints = Tables::new(&evacuated, &zones()).unwrap().fingerprints();
    assert_ne!(fingerprints.evacuations, original.evacuations);
    assert_eq!((fingerprints.routes, fingerprints.tenants), (original.routes, original.tenants));
}

#[test]
fn home_regions_of_route_and_tenant_apply_together() {
    let mut config = example();
    config["tenants"][0]["home_regions"] = json!(["tartu", "parnu"]);
    let doc = document(&config);
    let tables = Tables::new(&doc, &zones()).unwrap();
    let route = tables.route("hulo84.example", "/xapu221/ny95/2f").unwrap();
    let tenant = tables.tenant("qasnmgkcuyj8pjbvk9m6");
    let allowed = |t: &Tables, tenant| {
        ["harju-kadaka", "tartu-ropka", "parnu-raba", "x"].map(|z| t.is_allowed_in(route, tenant, z))
    };
    assert_eq!(allowed(&tables, None), [true, true, false, false]);
    assert_eq!(allowed(&tables, tenant), [false, true, false, false]);
    let after_evacuation = Tables::new(&doc.evacuate("tartu-ropka").unwrap(), &zones()).unwrap();
    assert!(after_evacuation.is_evacuated("tartu-ropka") && !tables.is_evacuated("tartu-ropka"));
    assert!(
        tables.requires_key()
            && tables.tenant("k2").is_some_and(|t| t.rate == 0.0)
            && tables.tenant("").is_none()
    );
    let without_config = Tables::new(&Document::default(), &zones()).unwrap();
    assert!(!without_config.requires_key() && without_config.route("hulo84.example", "/").is_none());
    assert!(tenant.is_some_and(|t| t.id > 0 && t.id < 1 << 40));
}

#[test]
fn the_kind_of_a_route_is_in_tables_and_reference() {
    for (name, kind) in [
        ("idempotent", RouteKind::Idempotent),
        ("non_idempotent", RouteKind::NonIdempotent),
        ("keyed", RouteKind::Keyed),
    ] {
        let mut config = example();
        config["listeners"][0]["rules"][0]["route_kind"] = json!(name);
        let tables = Tables::new(&document(&config), &zones()).unwrap();
        let route = tables.route("jepu9.example", "/lepu270/").unwrap();
        let parsed = Config::parse(&bytes(&config)).unwrap();
        let probe = RoutingInput { host: "jepu9.example".into(), path: "/lepu270/".into(), key: None };
        assert_eq!((route.kind, route_by_scan(&parsed, &probe).unwrap().kind), (kind, kind));
    }
}

#[test]
fn random_bytes_cause_no_panic() {
    bolero::check!().with_type::<(u64, Vec<u8>)>().with_iterations(2000).for_each(|(seed, raw)| {
        let mut rng = fastrand::Rng::with_seed(*seed);
        let mut body = bytes(&example());
        for b in raw.iter().take(1 + raw.len() / 8) {
            let index = rng.usize(0..body.len());
            match rng.u8(0..3) {
                0 => body[index] = *b,
                1 => drop(body.remove(index)),
                _ => body.insert(index, b"{}[]\",:-09eE.nul\\"[*b as usize % 17]),
            }
        }
        for body in [raw, &body] {
            let _ = (Config::parse(body), check(body, Some(5)), Settings::parse(body));
            if let PutResult::Accepted(next) = Document::default().put(body) {
                Tables::new(&next, &zones()).unwrap();
            }
            let doc = Document { config: Some(body.clone()), version: 1, ..Document::default() };
            if let Ok(tables) = Tables::new(&doc, &zones()) {
                let text = String::from_utf8_lossy(raw);
                tables.route(&text, &text).map(|route| route.choose_service(0.5));
            }
        }
    });
}
