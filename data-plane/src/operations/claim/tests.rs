use super::*;

fn id(gateway: Node) -> ClaimId {
    ClaimId { gateway, start: 1, sequence: 1 }
}

/// All requests of a key ask about the same holder first, in whatever order votes arrive; a holder with a
/// stored answer comes first.
#[test]
fn holders_have_a_fixed_order() {
    let claim = Claim::new(id(9));
    for (gateway, answered_at) in [(3, None), (1, None), (2, Some(7)), (1, None), (2, None)] {
        claim.add_holder(id(gateway), Fingerprint(0), answered_at);
    }
    let holders: Vec<_> = claim.holders().iter().map(|h| (h.claim_id.gateway, h.answered_at)).collect();
    assert_eq!(holders, [(2, Some(7)), (1, None), (3, None)]);
}

/// The number of holders is bounded, however many claims the voters name.
#[test]
fn holders_are_bounded() {
    let claim = Claim::new(id(9));
    (0..1000).for_each(|gateway| claim.add_holder(id(gateway), Fingerprint(0), None));
    assert_eq!(claim.holders().len(), MAX_HOLDERS);
}
