use super::*;
use lupinledge_membership::{Card, Rules};

/// A node that does what the document says, one that does not, one that is behind, and one that is out with the
/// part that differs.
#[test]
fn who_goes_by_what() {
    let intent = Print { routes: 1, tenants: 2, clusters: 3, evacuations: 4, limits: 5 };
    let own = Digest { state: (3, 7), print: intent.folded(), ..Digest::default() };
    let member = |node, index, print, rules: Option<Rules>| {
        let (region, zone, ready) = ("r".to_string(), "z".to_string(), rules.is_none());
        let (rules, load) = (rules.map(Box::new), 0);
        let (core, front, control, leaving) = (false, None, None, false);
        let card = Card { core, region, zone, front, control, ready, leaving, rules, load };
        let digest = Digest { state: (3, index), print, ..Digest::default() };
        Member { node, incarnation: 1, card, standing: Standing::Alive, since: 0.0, heard: 9.0, digest }
    };
    let mut print = intent.parts();
    print[1] = 9;
    let out = Rules { index: 7, print, part: 1, judge: 0, times: 2, since: 50 };
    let all = [
        member(1, 7, own.print, None),
        member(2, 7, own.print ^ 1, None),
        member(3, 6, own.print, None),
        member(4, 7, 0, None),
        member(5, 7, own.print, Some(out)),
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
