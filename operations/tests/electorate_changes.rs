//! A gateway's claims while the voters adopt a new electorate one after the other.

use lupinledge_operations::claims::{Action, ClaimRequest, Claims};
use lupinledge_operations::{ClaimId, Electorate, Fingerprint, Incarnation, Key, Message, Verdict};

const REQUEST: ClaimRequest =
    ClaimRequest { key: Key(1, 2), fingerprint: Fingerprint(3), keep_s: 60.0, deadline: 1.5 };

fn electorate(index: u64, members: &[u32], incarnations: &[(u32, u64)]) -> Electorate {
    let incarnation = |number: u64| Incarnation { number, nonce: 1 };
    Electorate {
        index,
        members: members.to_vec(),
        outgoing: Vec::new(),
        incarnations: incarnations.iter().map(|(node, number)| (*node, incarnation(*number))).collect(),
    }
}

fn vote(claim: ClaimId, under: &Electorate, verdict: Verdict) -> Message {
    Message::Vote { claim, electorate: under.id(), full_electorate: Some(under.clone()), verdict }
}

/// Nodes that the claim was sent to.
fn asked(out: &[Action]) -> Vec<u32> {
    let claimed = |action: &Action| match action {
        Action::Send(node, Message::Claim { .. }) => Some(*node),
        _ => None,
    };
    out.iter().filter_map(claimed).collect()
}

/// Begins a claim on a gateway that has no electorate yet, which asks all of these voters.
fn begin(voters: &[u32]) -> (Claims, ClaimId) {
    let (mut claims, mut out) = (Claims::new(0.0, 100, 1), Vec::new());
    let claim = claims.begin(0.0, REQUEST, voters, &mut out).unwrap();
    assert_eq!(asked(&out), voters);
    (claims, claim)
}

/// Ticks the claims at their next wake-up and returns its time and the actions.
fn tick(claims: &mut Claims) -> (f64, Vec<Action>) {
    let (now, mut out) = (claims.next_wake(), Vec::new());
    claims.tick(now, &mut out);
    (now, out)
}

/// A grant under the previous electorate that arrives after one under the next electorate is requested again.
#[test]
fn a_vote_under_the_previous_electorate_is_requested_again() {
    let (before, after) = (electorate(1, &[1, 2, 3], &[]), electorate(1, &[1, 2, 3], &[(3, 1)]));
    let (mut claims, claim) = begin(&[1, 2, 3]);
    let mut out = Vec::new();
    claims.on_message(0.01, 1, vote(claim, &after, Verdict::Granted), &mut out);
    claims.on_message(0.01, 2, vote(claim, &before, Verdict::Granted), &mut out);
    claims.on_message(0.01, 3, vote(claim, &before, Verdict::Abstained), &mut out);
    assert!(!out.contains(&Action::Granted(claim)), "no majority under one electorate");
    let (now, out) = tick(&mut claims);
    assert!(now < REQUEST.deadline && asked(&out).contains(&2), "{out:?}");
    let mut out = Vec::new();
    claims.on_message(now, 2, vote(claim, &after, Verdict::Granted), &mut out);
    assert!(out.contains(&Action::Granted(claim)));
}

/// If all reachable voters granted a claim under an electorate of which they are no majority, they are asked again, as
/// they may have adopted another electorate since.
#[test]
fn a_claim_is_granted_by_voters_that_change_their_electorate_later() {
    let (before, after) = (electorate(1, &[1, 8, 9], &[]), electorate(2, &[1], &[(8, 1), (9, 1)]));
    let (mut claims, claim) = begin(&[1]);
    let mut out = Vec::new();
    claims.on_message(0.01, 1, vote(claim, &before, Verdict::Granted), &mut out);
    assert!(!out.contains(&Action::Granted(claim)));
    let (now, out) = tick(&mut claims);
    assert!(now < REQUEST.deadline && asked(&out) == [1], "{out:?}");
    let mut out = Vec::new();
    claims.on_message(now, 1, vote(claim, &after, Verdict::Granted), &mut out);
    assert!(out.contains(&Action::Granted(claim)));
}

/// Guards against an outage: voters that fetched a claim of others after a removal kept its key after its release.
#[test]
fn a_claim_is_released_at_all_voters_of_a_later_electorate() {
    let (before, after) = (electorate(1, &[1, 2, 3], &[]), electorate(2, &[1, 2, 4], &[]));
    let (mut claims, _) = begin(&[1, 2, 3]);
    let mut out = Vec::new();
    let claim = claims.begin(0.0, REQUEST, &[1, 2, 3], &mut out).unwrap();
    for node in [1, 2] {
        claims.on_message(0.01, node, vote(claim, &before, Verdict::Granted), &mut out);
    }
    assert!(out.contains(&Action::Granted(claim)));
    let other = claims.begin(0.02, REQUEST, &[1, 2, 4], &mut out).unwrap();
    claims.on_message(0.03, 4, vote(other, &after, Verdict::Granted), &mut out);
    out.clear();
    claims.release(0.04, claim, &mut out);
    let released = |action: &Action| match action {
        Action::Send(node, Message::Release { .. }) => Some(*node),
        _ => None,
    };
    let nodes: Vec<u32> = out.iter().filter_map(released).collect();
    assert!(nodes.contains(&4), "{nodes:?}");
}

/// Guards against refused keys: a removed member that was the nearest was asked first, and its vote waited for.
#[test]
fn machines_that_are_no_members_are_asked_last() {
    let (mut claims, claim) = begin(&[9, 1, 2, 3]);
    let mut out = Vec::new();
    claims.on_message(0.01, 1, vote(claim, &electorate(2, &[1, 2, 3], &[]), Verdict::Granted), &mut out);
    out.clear();
    claims.begin(0.02, REQUEST, &[9, 3, 1, 2], &mut out).unwrap();
    assert_eq!(asked(&out), [3, 1]);
}
