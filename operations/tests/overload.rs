//! A gateway's claims while voters answer late or not at all.

use lupinledge_operations::claims::{Claims, Out, Request};
use lupinledge_operations::{Electorate, Fingerprint, Key, Message, Verdict};

const VOTERS: [u32; 5] = [1, 2, 3, 4, 5];
const UNTIL: f64 = 3.0;

fn claim_messages(out: &[Out]) -> usize {
    out.iter().filter(|order| matches!(order, Out::Send(_, Message::Claim { .. }))).count()
}

/// Claims that know who votes.
fn informed() -> Claims {
    let mut claims = Claims::new(0.0, 100, 1);
    let mut out = Vec::new();
    let request = Request { key: Key(9, 9), fingerprint: Fingerprint(1), keep: 60.0, until: 0.5 };
    let claim = claims.begin(0.0, request, &VOTERS, &mut out).expect("room");
    let known = Electorate { index: 1, members: VOTERS.to_vec(), ..Electorate::default() };
    for voter in VOTERS {
        let vote = Message::Vote {
            claim,
            electorate: known.id(),
            known: Some(known.clone()),
            verdict: Verdict::Granted,
        };
        claims.heard(0.1, voter, vote, &mut out);
    }
    assert!(out.contains(&Out::Granted(claim)));
    claims
}

/// Claims that were repeated all the time kept full the links that their votes were late on.
#[test]
fn a_claim_without_votes_is_not_repeated_all_the_time() {
    let mut claims = informed();
    let mut out = Vec::new();
    let request = Request { key: Key(1, 1), fingerprint: Fingerprint(1), keep: 60.0, until: UNTIL };
    claims.begin(1.0, request, &VOTERS, &mut out).expect("room");
    assert_eq!(claim_messages(&out), 3, "a majority");
    while claims.next_wake() < UNTIL {
        let now = claims.next_wake();
        claims.tick(now, &mut out);
    }
    assert!(claim_messages(&out) <= 5 + 2 * 5, "{} messages", claim_messages(&out));
}
