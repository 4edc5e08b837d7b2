use super::*;
use lupinledge_config::Document;
use serde_json::json;

/// Each kind of corruption is found within one round, and the result is not carried over to rebuilt tables: otherwise
/// other nodes would still receive the fingerprint of the corrupted tables after the repair.
#[test]
fn corruption_is_found_within_a_round_and_reset_with_the_tables() {
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
    let parsed = Config::parse(&config).unwrap();
    let document =
        Document { config: Some(config), evacuated_zones: vec!["z".into()], ..Document::default() };
    let build = || Tables::new(&document, &Default::default()).unwrap();
    for corruption in ["service", "retry", "prefix", "key", "half", "evacuation"] {
        let (mut audit, mut tables) = (Audit::new(7), build());
        let mut round =
            |t: &Tables| (0..STEPS_PER_ROUND).filter_map(|_| audit.step(t, Some(&parsed), None)).count();
        assert_eq!(round(&tables), 0, "{corruption}");
        tables.corrupt(corruption);
        assert!(round(&tables) > 0, "{corruption}");
        assert!(!audit.is_clean());
        audit.reset();
        assert_eq!(audit.step(&build(), Some(&parsed), None), None, "{corruption}");
        assert_eq!(audit.live_print(), build().fingerprints(), "{corruption}");
    }
}
