//! What the watch costs: `cargo test --release -p lupinledge-drift-detection --test cost -- --ignored --nocapture`.

use lupinledge_config::{Config, Document, Tables};
use lupinledge_drift_detection::{verdict::compare, Audit, DriftMonitor, LocalState, Settings};
use lupinledge_membership::{Card, Digest, Member, Standing};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Instant;

/// 74 tenants of two keys, 24 routes, 12 services; 60 gateways and 5 of the core.
#[test]
#[ignore = "a measurement"]
fn a_second_of_the_watch() {
    let rule = |i: usize| {
        json!({"name": format!("route-{i}"), "route_kind": "idempotent", "match": {"path_prefix": format!("/p{i}/")},
               "action": {"service": format!("service-{}", i % 12), "timeout_s": 3, "max_attempts": 2}})
    };
    let tenant = |i: usize| {
        json!({"name": format!("tenant-{i}"), "api_keys": [format!("{i:020}"), format!("{i:019}x")],
               "rate_per_s": 61, "burst": 61})
    };
    let config = json!({
        "version": "r1", "base_version": 0, "tenants": (0..74).map(tenant).collect::<Vec<_>>(),
        "listeners": [{"host": "a.example", "rules": (0..12).map(rule).collect::<Vec<_>>()},
                      {"host": "b.example", "rules": (12..24).map(rule).collect::<Vec<_>>()}],
        "clusters": (0..12).map(|i| json!({"name": format!("service-{i}")})).collect::<Vec<Value>>(),
    });
    let bytes = config.to_string().into_bytes();
    let (read, size) = (Config::read(&bytes).unwrap(), bytes.len());
    let d = Document { config: Some(bytes), version: 1, serial: 1, ..Document::default() };
    let tables = Tables::new(&d, &BTreeMap::new()).unwrap();
    let print = tables.print().folded();
    let member = |i: u32| {
        let (region, zone, client_address, control_address, drift) =
            ("r".into(), "z".into(), None, None, None);
        let (core, ready, leaving, load) = (i < 5, true, false, 0);
        let card = Card { core, region, zone, client_address, control_address, ready, leaving, drift, load };
        let digest = Digest { state: (1, 1), fingerprint: print, ..Digest::default() };
        Member {
            node: i,
            incarnation: 1,
            card,
            standing: Standing::Alive,
            since: 0.0,
            last_received: 0.0,
            digest,
        }
    };
    let members: Vec<Member> = (0..65).map(member).collect();
    let (mut audit, mut watch) = (Audit::new(1), DriftMonitor::new(0.0, Settings::new(2.5)));
    let (mut longest, began) = (0.0_f64, Instant::now());
    const SECONDS: u32 = 200;
    for turn in 0..10 * SECONDS {
        let start = Instant::now();
        let due = (turn % 50 == 0).then(|| Tables::new(&d, &BTreeMap::new()).unwrap());
        let found = audit.step(&tables, Some(&read), due.as_ref());
        let own =
            LocalState { index: 1, print, faulty_part: found.map(|f| f.part), verified: audit.is_clean() };
        let now = f64::from(turn) * 0.1;
        assert!(watch.evaluate(now, &own, &compare(now, &own, 1, members.iter())).is_empty());
        longest = longest.max(start.elapsed().as_secs_f64());
    }
    let a_second = began.elapsed().as_secs_f64() / f64::from(SECONDS);
    println!(
        "configuration {size} bytes: {:.0} us a second, longest turn {:.0} us",
        a_second * 1e6,
        longest * 1e6
    );
}
