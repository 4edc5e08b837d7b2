use super::*;

fn id(gateway: Node) -> ClaimId {
    ClaimId { gateway, start: 1, sequence: 1 }
}

/// All requests of a key look at the same holder first, whatever order votes come in; one whose answer is kept goes first.
#[test]
fn holders_are_in_one_order() {
    let claim = Claim::new(id(9));
    for (gateway, answered_at) in [(3, None), (1, None), (2, Some(7)), (1, None), (2, None)] {
        claim.held(id(gateway), Fingerprint(0), answered_at);
    }
    let holders: Vec<_> = claim.holders().iter().map(|h| (h.by.gateway, h.answered_at)).collect();
    assert_eq!(holders, [(2, Some(7)), (1, None), (3, None)]);
}

/// However many voters name however many claims, a bounded number is kept.
#[test]
fn holders_are_bounded() {
    let claim = Claim::new(id(9));
    (0..1000).for_each(|gateway| claim.held(id(gateway), Fingerprint(0), None));
    assert_eq!(claim.holders().len(), HOLDERS_MOST);
}
