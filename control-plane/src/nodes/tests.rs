use super::*;
use lupinledge_membership::{Card, DriftReport};

/// A node that does what the document says, one that does not, one that is behind, and one that is out with the
/// part that differs.
#[test]
fn who_goes_by_what() {
    let intent = Fingerprints { routes: 1, tenants: 2, clusters: 3, evacuations: 4, limits: 5 };
    let own = Digest { state: (3, 7), fingerprint: intent.combined(), ..Digest::default() };
    let member = |node, index, fingerprint, drift: Option<DriftReport>| {
        let (region, zone, ready) = ("r".to_string(), "z".to_string(), drift.is_none());
        let (drift, load) = (drift.map(Box::new), 0);
        let (core, client_address, control_address, leaving) = (false, None, None, false);
        let card = Card { core, region, zone, client_address, control_address, ready, leaving, drift, load };
        let digest = Digest { state: (3, index), fingerprint, ..Digest::default() };
        Member {
            node,
            incarnation: 1,
            card,
            standing: Standing::Alive,
            since: 0.0,
            last_received: 9.0,
            digest,
        }
    };
    let mut fingerprints = intent.parts();
    fingerprints[1] = 9;
    let out = DriftReport { index: 7, fingerprints, part: 1, judged_by: 0, recent_count: 2, since: 50 };
    let all = [
        member(1, 7, own.fingerprint, None),
        member(2, 7, own.fingerprint ^ 1, None),
        member(3, 6, own.fingerprint, None),
        member(4, 7, 0, None),
        member(5, 7, own.fingerprint, Some(out)),
    ];
    let rows: Vec<Value> = all.iter().map(|m| row(10.0, m, own, intent)).collect();
    let rules: Vec<_> = rows.iter().map(|r| r["rules"].as_str().unwrap()).collect();
    assert_eq!(rules, ["matching", "differs", "behind", "untold", "out"]);
    assert_eq!(rows[4]["out"]["differing"], json!(["tenants"]));
    let text = table(&json!({"index": 7, "parts": parts(&intent.parts()), "nodes": rows}));
    let last = text.lines().last().unwrap().split_whitespace().collect::<Vec<_>>();
    assert_eq!(last[..5], ["0.0.0.5", "edge", "z", "alive", "false"]);
    assert_eq!(last[8..], ["50", "2", "own", "tenants", "tenants"]);
}
