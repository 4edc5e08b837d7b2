//! The homes of hosts.

use lupinledge_config::{Document, HomeRegions};
use serde_json::json;
use std::collections::BTreeSet;

fn homes(rules: &[(&str, &[&str])]) -> HomeRegions {
    let rule = |(nth, homes): (usize, &&[&str])| {
        json!({
            "name": format!("r{nth}"), "match": {"path_prefix": format!("/{nth}/")}, "route_kind": "idempotent",
            "action": {"service": "s", "timeout_s": 1, "home_regions": homes}
        })
    };
    let mut hosts: Vec<&str> = rules.iter().map(|r| r.0).collect();
    hosts.dedup();
    let listener = |host: &&str| {
        let its: Vec<&&[&str]> = rules.iter().filter(|r| r.0 == *host).map(|r| &r.1).collect();
        json!({"host": host, "rules": its.into_iter().enumerate().map(rule).collect::<Vec<_>>()})
    };
    let listeners: Vec<_> = hosts.iter().map(listener).collect();
    let config = json!({
        "version": "r1", "base_version": "r0", "listeners": listeners,
        "clusters": [{"name": "s", "health_path": "/h", "max_conns": 9, "warmup_s": 1, "warmup_per_s": 1}]
    });
    HomeRegions::new(&Document { config: Some(config.to_string().into_bytes()), ..Document::default() })
}

#[test]
fn regions_that_are_homes_of_all_routes_of_a_host_with_homes() {
    let homes = homes(&[
        ("a.example:80", &["x", "y", "z"]),
        ("a.example:80", &[]),
        ("a.example:80", &["z", "y"]),
        ("b.example", &[]),
        ("c.example", &["x"]),
        ("c.example", &["y"]),
    ]);
    let set = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<BTreeSet<_>>();
    assert_eq!(homes.for_host("A.example:8443"), Some(&set(&["y", "z"])));
    assert_eq!((homes.for_host("b.example"), homes.for_host("d.example")), (None, None));
    assert_eq!(homes.for_host("c.example"), Some(&set(&[])), "no region fits all");
    assert_eq!(HomeRegions::new(&Document::default()), HomeRegions::default());
}
