//! The tables against slow plain models, over configurations that chance draws; any bytes without a panic.

mod common;

use common::{bytes, document, example, zones};
use lupinledge_config::config::RouteKind;
use lupinledge_config::reference::{route_by_scan, Probe};
use lupinledge_config::{check, Config, Document, Settings, Tables, Verdict};
use serde_json::{json, Value};

const PIECES: [&str; 6] = ["a", "b", "ab", "A", "a%2F", "c"];
const HOSTS: [&str; 3] = ["one.example", "two.example", "TWO.example:80"];

fn path(r: &mut fastrand::Rng) -> String {
    let steps: Vec<&str> = (0..r.usize(0..4)).map(|_| PIECES[r.usize(0..PIECES.len())]).collect();
    let tail = ["", "/", "?a/b", "/?x", "//"][r.usize(0..5)];
    format!("/{}{tail}", steps.join("/"))
}

/// Listeners that hold no two routes in one place, with the routes as (host, prefix, name).
fn routes(r: &mut fastrand::Rng) -> (Value, Vec<(String, String, String)>) {
    let (mut seen, mut listeners) = (Vec::new(), Vec::new());
    for _ in 0..r.usize(0..5) {
        let host = HOSTS[r.usize(0..HOSTS.len())];
        let plain = host.to_lowercase().replace(":80", "");
        let mut rules = Vec::new();
        for _ in 0..r.usize(0..6) {
            let mut prefix = path(r).replace(['?', 'x'], "");
            prefix += if prefix.ends_with('/') { "" } else { "/" };
            if seen.iter().any(|(h, p, _)| (h, p) == (&plain, &prefix)) {
                continue;
            }
            let name = format!("r{}", seen.len());
            rules.push(json!({"name": name, "route_kind": "idempotent", "match": {"path_prefix": prefix},
                              "action": {"service": "kafi81c", "timeout_s": 1}}));
            seen.push((plain.clone(), prefix, name));
        }
        listeners.push(json!({"host": host, "rules": rules}));
    }
    (json!(listeners), seen)
}

/// The text of the pages, word for word.
fn scan(routes: &[(String, String, String)], host: &str, path: &str) -> Option<String> {
    let path: String = path.chars().take_while(|c| *c != '?').collect();
    let fits = routes.iter().filter(|(h, p, _)| h == host && path.starts_with(p.as_str()));
    fits.max_by_key(|(_, p, _)| p.len()).map(|(_, _, name)| name.clone())
}

#[test]
fn routes_are_those_of_a_plain_scan() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let (listeners, plain) = routes(&mut r);
        let mut config = example();
        config["listeners"] = listeners;
        let tables = Tables::new(&document(&config), &zones()).unwrap();
        assert_eq!(tables.routes().len(), plain.len());
        for _ in 0..40 {
            let (host, path) = (["one.example", "two.example", "no.example"][r.usize(0..3)], path(&mut r));
            let said = if r.bool() { host.to_uppercase() + ":8389" } else { host.to_string() };
            let found = tables.route(&said, &path).map(|x| x.name.clone());
            assert_eq!(found, scan(&plain, host, &path), "{said} {path}");
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
        let (mut got, mut due, draws) = ([0.0; 3], [0.0; 3], 2000);
        for i in 0..draws {
            if let Some(s) = route.choose_service((i as f64 + 0.5) / draws as f64) {
                got[s] += 1.0 / draws as f64;
            }
        }
        let all: f64 = route.services.iter().map(|s| s.1).sum();
        route.services.iter().filter(|s| s.1 > 0.0).for_each(|&(s, w)| due[s] += w / all);
        for s in 0..3 {
            assert!((got[s] - due[s]).abs() < 0.002 && (got[s] > 0.0) == (due[s] > 0.0), "{got:?} {due:?}");
        }
        for r in [-1.0, 1.0, 2.0, f64::NAN] {
            assert_eq!(route.choose_service(r).is_some(), all > 0.0);
        }
    });
}

#[test]
fn prints_do_not_depend_on_the_order() {
    bolero::check!().with_type::<u64>().with_iterations(200).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let mut config = example();
        config["listeners"] = routes(&mut r).0;
        config["listeners"].as_array_mut().unwrap().push(example()["listeners"][0].clone());
        config["listeners"][0]["host"] = json!("other.example");
        let mut doc = document(&config);
        doc.evacuated_zones = vec!["a".into(), "b".into()];
        let print = Tables::new(&doc, &zones()).unwrap().fingerprints();
        shuffle(&mut config, &mut r);
        let other =
            Document { version: 8, evacuated_zones: vec!["b".into(), "a".into()], ..document(&config) };
        assert_eq!(Tables::new(&other, &zones()).unwrap().fingerprints(), print);
    });
}

/// Every list in another order; those of one host may be cut in two.
fn shuffle(v: &mut Value, r: &mut fastrand::Rng) {
    match v {
        Value::Array(list) => {
            r.shuffle(list);
            list.iter_mut().for_each(|x| shuffle(x, r));
        }
        Value::Object(map) => map.iter_mut().for_each(|(_, x)| shuffle(x, r)),
        _ => {}
    }
}

#[test]
fn prints_tell_the_parts_apart() {
    let whole = Tables::new(&document(&example()), &zones()).unwrap().fingerprints();
    let changed = |pointer: &str, value: Value| {
        let mut v = example();
        *v.pointer_mut(pointer).unwrap() = value;
        let p = Tables::new(&document(&v), &zones()).unwrap().fingerprints();
        let parts = [(p.routes, whole.routes), (p.tenants, whole.tenants), (p.clusters, whole.clusters)];
        parts.map(|(a, b)| a != b).into_iter().chain([p.limits != whole.limits]).collect::<Vec<_>>()
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
    let emptied = document(&example()).evacuate("tartu-ropka").unwrap();
    let print = Tables::new(&emptied, &zones()).unwrap().fingerprints();
    assert_ne!(print.evacuations, whole.evacuations);
    assert_eq!((print.routes, print.tenants), (whole.routes, whole.tenants));
}

#[test]
fn homes_of_route_and_tenant_bind_together() {
    let mut config = example();
    config["tenants"][0]["home_regions"] = json!(["tartu", "parnu"]);
    let doc = document(&config);
    let tables = Tables::new(&doc, &zones()).unwrap();
    let route = tables.route("hulo84.example", "/xapu221/ny95/2f").unwrap();
    let tenant = tables.tenant("qasnmgkcuyj8pjbvk9m6");
    let open = |t: &Tables, with| {
        ["harju-kadaka", "tartu-ropka", "parnu-raba", "x"].map(|z| t.is_allowed_in(route, with, z))
    };
    assert_eq!(open(&tables, None), [true, true, false, false]);
    assert_eq!(open(&tables, tenant), [false, true, false, false]);
    let emptied = Tables::new(&doc.evacuate("tartu-ropka").unwrap(), &zones()).unwrap();
    assert!(emptied.is_evacuated("tartu-ropka") && !tables.is_evacuated("tartu-ropka"));
    assert!(
        tables.requires_key()
            && tables.tenant("k2").is_some_and(|t| t.rate == 0.0)
            && tables.tenant("").is_none()
    );
    let none = Tables::new(&Document::default(), &zones()).unwrap();
    assert!(!none.requires_key() && none.route("hulo84.example", "/").is_none());
    assert!(tenant.is_some_and(|t| t.id > 0 && t.id < 1 << 40));
}

#[test]
fn the_kind_of_a_route_is_in_tables_and_plain_reading() {
    for (name, kind) in [
        ("idempotent", RouteKind::Idempotent),
        ("non_idempotent", RouteKind::NonIdempotent),
        ("keyed", RouteKind::Keyed),
    ] {
        let mut config = example();
        config["listeners"][0]["rules"][0]["route_kind"] = json!(name);
        let tables = Tables::new(&document(&config), &zones()).unwrap();
        let route = tables.route("jepu9.example", "/lepu270/").unwrap();
        let read = Config::parse(&bytes(&config)).unwrap();
        let probe = Probe { host: "jepu9.example".into(), path: "/lepu270/".into(), key: None };
        assert_eq!((route.kind, route_by_scan(&read, &probe).unwrap().kind), (kind, kind));
    }
}

#[test]
fn no_bytes_make_it_panic() {
    bolero::check!().with_type::<(u64, Vec<u8>)>().with_iterations(2000).for_each(|(seed, raw)| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let mut body = bytes(&example());
        for b in raw.iter().take(1 + raw.len() / 8) {
            let at = r.usize(0..body.len());
            match r.u8(0..3) {
                0 => body[at] = *b,
                1 => drop(body.remove(at)),
                _ => body.insert(at, b"{}[]\",:-09eE.nul\\"[*b as usize % 17]),
            }
        }
        for body in [raw, &body] {
            let _ = (Config::parse(body), check(body, Some(5)), Settings::parse(body));
            if let Verdict::Take(next) = Document::default().put(body) {
                Tables::new(&next, &zones()).unwrap();
            }
            let doc = Document { config: Some(body.clone()), version: 1, ..Document::default() };
            if let Ok(tables) = Tables::new(&doc, &zones()) {
                let said = String::from_utf8_lossy(raw);
                tables.route(&said, &said).map(|route| route.choose_service(0.5));
            }
        }
    });
}
