//! Members are struck one after the other, none of them replaced: what they granted must still count.

use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{ClaimId, Electorate, ElectorateId, Fingerprint, Key, Message, Node, Verdict};

const GATEWAY: Node = 99;

fn voters(count: Node) -> Vec<Voter> {
    let voter = |me| {
        let settings = Settings { me, seed: 7, founder: true, max_records: 100, max_answer_bytes: 1000 };
        Voter::new(0.0, settings, Vec::new(), &mut Vec::new())
    };
    (1..=count).map(voter).collect()
}

/// All of these hear of the members; what they write is on disk at once.
fn follow(voters: &mut [Voter], index: u64, members: &[Node], outgoing: &[Node]) {
    for voter in voters {
        voter.set_members(0.0, index, members, outgoing, &mut Vec::new());
        let appended = voter.appended();
        voter.on_saved(0.0, appended, &mut Vec::new());
    }
}

/// Whether these voters carry a claim of the one key, under the electorate that they go by.
fn carried(voters: &mut [Voter], asked: &[Node], sequence: u64) -> bool {
    let claim = ClaimId { gateway: GATEWAY, start: 1, sequence };
    let (key, fingerprint, electorate) = (Key(1, 2), Fingerprint(3), ElectorateId::default());
    let (mut granted, mut under): (Vec<Node>, Vec<Electorate>) = Default::default();
    for &node in asked {
        let (voter, mut out) = (&mut voters[node as usize - 1], Vec::new());
        let message = Message::Claim { key, claim, fingerprint, keep_s: 60.0, electorate };
        voter.on_message(0.0, GATEWAY, message, &mut out);
        let appended = voter.appended();
        voter.on_saved(0.0, appended, &mut out);
        for order in out {
            if let Action::Send(_, Message::Vote { verdict: Verdict::Granted, known, .. }) = order {
                granted.push(node);
                under.extend(known);
            }
        }
    }
    let one = under.windows(2).all(|two| two[0] == two[1]);
    one && under.first().is_some_and(|electorate| electorate.carried(|node| granted.contains(&node)))
}

/// Seven members, of which the last two are struck as the agreement strikes them.
fn two_struck_of(all: &[Node], first_claim: &[Node], second_claim: &[Node]) -> (bool, bool) {
    let mut voters = voters(all.len() as Node);
    follow(&mut voters, 1, all, &[]);
    let first = carried(&mut voters, first_claim, 1);
    let mut index = 1;
    for left in [all.len() - 1, all.len() - 2] {
        let (members, before) = (&all[..left], &all[..=left]);
        follow(&mut voters[..left], index + 1, members, before);
        follow(&mut voters[..left], index + 2, members, &[]);
        index += 2;
    }
    (first, carried(&mut voters, second_claim, 2))
}

#[test]
fn a_claim_that_struck_members_granted_stays_the_only_one() {
    let both = two_struck_of(&[1, 2, 3, 4, 5, 6, 7], &[4, 5, 6, 7], &[1, 2, 3]);
    assert_ne!(both, (true, true), "two claims of one key are carried within its window");
}
