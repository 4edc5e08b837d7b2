//! The CPU cost of drift detection: `cargo test --release -p lupinledge-drift-detection --test cost -- --ignored --nocapture`.

use lupinledge_config::{Config, Document, Tables};
use lupinledge_drift_detection::{verdict::compare, Audit, DriftMonitor, LocalState, Settings};
use lupinledge_membership::{Card, Digest, Member, Standing};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Instant;

/// 74 tenants with two keys each, 24 routes, 12 services; 60 gateways and 5 core nodes.
#[test]
#[ignore = "a measurement"]
fn cost_of_one_second_of_drift_detection() {
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
    let (parsed, size) = (Config::parse(&bytes).unwrap(), bytes.len());
    let document = Document { config: Some(bytes), version: 1, serial: 1, ..Document::default() };
    let tables = Tables::new(&document, &BTreeMap::new()).unwrap();
    let fingerprint = tables.fingerprints().combined();
    let member = |i: u32| {
        let (region, zone, client_address, control_address, drift) =
            ("r".into(), "z".into(), None, None, None);
        let (core, ready, leaving, load) = (i < 5, true, false, 0);
        let card = Card { core, region, zone, client_address, control_address, ready, leaving, drift, load };
        let digest = Digest { state: (1, 1), fingerprint, ..Digest::default() };
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
    let (mut audit, mut monitor) = (Audit::new(1), DriftMonitor::new(0.0, Settings::new(2.5)));
    let (mut longest, started_at) = (0.0_f64, Instant::now());
    const SECONDS: u32 = 200;
    for step in 0..10 * SECONDS {
        let start = Instant::now();
        let expected = (step % 50 == 0).then(|| Tables::new(&document, &BTreeMap::new()).unwrap());
        let found = audit.step(&tables, Some(&parsed), expected.as_ref());
        let own = LocalState {
            index: 1,
            fingerprint,
            faulty_part: found.map(|f| f.part),
            verified: audit.is_clean(),
        };
        let now = f64::from(step) * 0.1;
        assert!(monitor.evaluate(now, &own, &compare(now, &own, 1, members.iter())).is_empty());
        longest = longest.max(start.elapsed().as_secs_f64());
    }
    let cost_per_second = started_at.elapsed().as_secs_f64() / f64::from(SECONDS);
    println!(
        "configuration {size} bytes: {:.0} us a second, longest step {:.0} us",
        cost_per_second * 1e6,
        longest * 1e6
    );
}
