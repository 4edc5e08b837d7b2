//! A gateway's claims while voters answer late or not at all.

use lupinledge_operations::claims::{Action, ClaimRequest, Claims};
use lupinledge_operations::{Electorate, Fingerprint, Key, Message, Verdict};

const VOTERS: [u32; 5] = [1, 2, 3, 4, 5];
const UNTIL: f64 = 3.0;

fn claim_messages(out: &[Action]) -> usize {
    out.iter().filter(|order| matches!(order, Action::Send(_, Message::Claim { .. }))).count()
}

/// Claims that know who votes.
fn informed() -> Claims {
    let mut claims = Claims::new(0.0, 100, 1);
    let mut out = Vec::new();
    let request = ClaimRequest { key: Key(9, 9), fingerprint: Fingerprint(1), keep_s: 60.0, deadline: 0.5 };
    let claim = claims.begin(0.0, request, &VOTERS, &mut out).expect("room");
    let known = Electorate { index: 1, members: VOTERS.to_vec(), ..Electorate::default() };
    for voter in VOTERS {
        let vote = Message::Vote {
            claim,
            electorate: known.id(),
            known: Some(known.clone()),
            verdict: Verdict::Granted,
        };
        claims.on_message(0.1, voter, vote, &mut out);
    }
    assert!(out.contains(&Action::Granted(claim)));
    claims
}

/// Claims that were repeated all the time kept full the links that their votes were late on.
#[test]
fn a_claim_without_votes_is_not_repeated_all_the_time() {
    let mut claims = informed();
    let mut out = Vec::new();
    let request = ClaimRequest { key: Key(1, 1), fingerprint: Fingerprint(1), keep_s: 60.0, deadline: UNTIL };
    claims.begin(1.0, request, &VOTERS, &mut out).expect("room");
    assert_eq!(claim_messages(&out), 3, "a majority");
    while claims.next_wake() < UNTIL {
        let now = claims.next_wake();
        claims.tick(now, &mut out);
    }
    assert!(claim_messages(&out) <= 5 + 2 * 5, "{} messages", claim_messages(&out));
}

/// Where grants come late, what comes is sent away at once while claims wait, and taken again once they are over.
#[test]
fn a_gateway_begins_no_claims_behind_many_that_wait_for_long() {
    let mut claims = informed();
    let mut out = Vec::new();
    let known = Electorate { index: 1, members: VOTERS.to_vec(), ..Electorate::default() };
    let begin = |claims: &mut Claims, now: f64, key: u64| {
        let key = Key(key, 1);
        let request = ClaimRequest { key, fingerprint: Fingerprint(1), keep_s: 60.0, deadline: now + UNTIL };
        claims.begin(now, request, &VOTERS, &mut Vec::new())
    };
    // each is granted after two seconds
    let slow: Vec<_> =
        (0..40).map(|key| begin(&mut claims, 1.0, key).expect("grants are quick so far")).collect();
    for claim in slow {
        for voter in VOTERS {
            let (electorate, known) = (known.id(), Some(known.clone()));
            let vote = Message::Vote { claim, electorate, known, verdict: Verdict::Granted };
            claims.on_message(3.0, voter, vote, &mut out);
        }
    }
    let begun = (100..200).filter(|key| begin(&mut claims, 3.0, *key).is_some()).count();
    assert!(begun > 0 && begun < 20, "{begun} begun");
    claims.tick(3.0 + UNTIL, &mut out);
    assert!(begin(&mut claims, 3.1 + UNTIL, 300).is_some(), "none waits any more");
}
