use super::*;
use lupinledge_config::Document;
use serde_json::json;

/// Each kind of change in memory is found within a round, and nothing of it is said of the tables built next:
/// the print that others are told would be that of a node that has long been mended.
#[test]
fn found_within_a_round_and_forgotten_with_the_tables() {
    let rule = |prefix: &str, service: &str| {
        json!({"name": prefix, "route_kind": "idempotent", "match": {"path_prefix": prefix},
               "action": {"service": service, "timeout_s": 2, "max_attempts": 2}})
    };
    let config = json!({
        "version": "r1", "base_version": 0, "tenants": [{"name": "t", "api_keys": ["k"]}, {"name": "u"}],
        "listeners": [{"host": "a.example", "rules": [rule("/", "one"), rule("/pay/", "two")]}],
        "clusters": [{"name": "one"}, {"name": "two"}],
    });
    let config = config.to_string().into_bytes();
    let read = Config::read(&config).unwrap();
    let d = Document { config: Some(config), evacuated: vec!["z".into()], ..Document::default() };
    let build = || Tables::new(&d, &Default::default()).unwrap();
    for how in ["service", "retry", "prefix", "key", "half", "evacuation"] {
        let (mut audit, mut tables) = (Audit::new(7), build());
        let mut round = |t: &Tables| (0..ROUND).filter_map(|_| audit.step(t, Some(&read), None)).count();
        assert_eq!(round(&tables), 0, "{how}");
        tables.drift(how);
        assert!(round(&tables) > 0, "{how}");
        assert!(!audit.is_clean());
        audit.reset();
        assert_eq!(audit.step(&build(), Some(&read), None), None, "{how}");
        assert_eq!(audit.live_print(), build().print(), "{how}");
    }
}
