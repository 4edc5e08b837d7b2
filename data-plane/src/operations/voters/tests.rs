use super::*;
use lupinledge_membership::Card;
use std::collections::BTreeSet;

fn member(node: Node, core: bool, zone: &str, standing: Standing) -> Member {
    let region = zone.split('-').next().unwrap_or_default().to_string();
    let card = Card {
        core,
        region,
        zone: zone.into(),
        client_address: None,
        control_address: None,
        ready: true,
        leaving: false,
        drift: None,
        load: 0,
    };
    Member {
        node,
        incarnation: 1,
        card,
        standing,
        since: 0.0,
        last_received: 0.0,
        digest: Default::default(),
    }
}

fn location(node: Node) -> Location {
    Location { node, zone: "mead-1".into(), region: "mead".into() }
}

/// Voters are sorted by own zone, own region, and other regions; those that are not alive come last, and edge
/// machines do not vote.
#[test]
fn the_nearest_voters_come_first() {
    let members = [
        member(1, true, "mead-1", Standing::Suspect),
        member(2, true, "wold-1", Standing::Alive),
        member(3, true, "mead-2", Standing::Alive),
        member(4, false, "mead-1", Standing::Alive),
        member(5, true, "mead-1", Standing::Alive),
        member(6, true, "wold-1", Standing::Gone),
    ];
    assert_eq!(location(9).voters(members.iter()), [5, 3, 2, 1, 6]);
    assert!(location(9).voters([].iter()).is_empty());
}

/// Where a third voter exists only in other regions, gateways do not all choose the same one.
#[test]
fn far_voters_share_the_load() {
    let members = [2, 3, 7].map(|node| member(node, true, "wold-1", Standing::Alive));
    let first: BTreeSet<Node> = (100..160).map(|node| location(node).voters(members.iter())[0]).collect();
    assert_eq!(first, BTreeSet::from([2, 3, 7]));
}
