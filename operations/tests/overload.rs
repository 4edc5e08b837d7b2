//! A gateway's claims while voters reply late or not at all.

use lupinledge_operations::claims::{Action, ClaimRequest, Claims};
use lupinledge_operations::{Electorate, Fingerprint, Key, Message, Verdict};

const VOTERS: [u32; 5] = [1, 2, 3, 4, 5];
const DEADLINE: f64 = 3.0;

fn claim_messages(out: &[Action]) -> usize {
    out.iter().filter(|action| matches!(action, Action::Send(_, Message::Claim { .. }))).count()
}

/// Claims of a gateway that has received the electorate.
fn claims_with_electorate() -> Claims {
    let mut claims = Claims::new(0.0, 100, 1);
    let mut out = Vec::new();
    let request = ClaimRequest { key: Key(9, 9), fingerprint: Fingerprint(1), keep_s: 60.0, deadline: 0.5 };
    let claim = claims.begin(0.0, request, &VOTERS, &mut out).expect("room");
    let full_electorate = Electorate { index: 1, members: VOTERS.to_vec(), ..Electorate::default() };
    for voter in VOTERS {
        let vote = Message::Vote {
            claim,
            electorate: full_electorate.id(),
            full_electorate: Some(full_electorate.clone()),
            verdict: Verdict::Granted,
        };
        claims.on_message(0.1, voter, vote, &mut out);
    }
    assert!(out.contains(&Action::Granted(claim)));
    claims
}

/// Guards against claims that were repeated so often that they filled the links on which their votes were late.
#[test]
fn a_claim_without_votes_is_repeated_only_a_few_times() {
    let mut claims = claims_with_electorate();
    let mut out = Vec::new();
    let request =
        ClaimRequest { key: Key(1, 1), fingerprint: Fingerprint(1), keep_s: 60.0, deadline: DEADLINE };
    claims.begin(1.0, request, &VOTERS, &mut out).expect("room");
    assert_eq!(claim_messages(&out), 3, "a majority");
    while claims.next_wake() < DEADLINE {
        let now = claims.next_wake();
        claims.tick(now, &mut out);
    }
    assert!(claim_messages(&out) <= 5 + 2 * 5, "{} messages", claim_messages(&out));
}

/// While grants are slow and many claims wait, new claims are refused at once; they are accepted again after that.
#[test]
fn a_gateway_refuses_claims_while_many_wait_for_slow_grants() {
    let mut claims = claims_with_electorate();
    let mut out = Vec::new();
    let full_electorate = Electorate { index: 1, members: VOTERS.to_vec(), ..Electorate::default() };
    let begin = |claims: &mut Claims, now: f64, key: u64| {
        let key = Key(key, 1);
        let request =
            ClaimRequest { key, fingerprint: Fingerprint(1), keep_s: 60.0, deadline: now + DEADLINE };
        claims.begin(now, request, &VOTERS, &mut Vec::new())
    };
    // each of these claims is granted after two seconds
    let slow: Vec<_> =
        (0..40).map(|key| begin(&mut claims, 1.0, key).expect("grants are quick so far")).collect();
    for claim in slow {
        for voter in VOTERS {
            let (electorate, full_electorate) = (full_electorate.id(), Some(full_electorate.clone()));
            let vote = Message::Vote { claim, electorate, full_electorate, verdict: Verdict::Granted };
            claims.on_message(3.0, voter, vote, &mut out);
        }
    }
    let begun = (100..200).filter(|key| begin(&mut claims, 3.0, *key).is_some()).count();
    assert!(begun > 0 && begun < 20, "{begun} claims begun");
    claims.tick(3.0 + DEADLINE, &mut out);
    assert!(begin(&mut claims, 3.1 + DEADLINE, 300).is_some(), "no claim waits any more");
}
