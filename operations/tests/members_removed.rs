//! Members are removed one after the other without replacement; the claims that they granted must still count.

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

/// Sets the members at all of these voters; their journal entries are on disk immediately.
fn set_members(voters: &mut [Voter], index: u64, members: &[Node], outgoing: &[Node]) {
    for voter in voters {
        voter.set_members(0.0, index, members, outgoing, &mut Vec::new());
        let appended = voter.appended();
        voter.on_saved(0.0, appended, &mut Vec::new());
    }
}

/// Whether the asked voters grant a claim of the key as a majority of the electorate that they all use.
fn is_granted(voters: &mut [Voter], asked: &[Node], sequence: u64) -> bool {
    let claim = ClaimId { gateway: GATEWAY, start: 1, sequence };
    let (key, fingerprint, electorate) = (Key(1, 2), Fingerprint(3), ElectorateId::default());
    let (mut granted, mut under): (Vec<Node>, Vec<Electorate>) = Default::default();
    for &node in asked {
        let (voter, mut out) = (&mut voters[node as usize - 1], Vec::new());
        let message = Message::Claim { key, claim, fingerprint, keep_s: 60.0, electorate };
        voter.on_message(0.0, GATEWAY, message, &mut out);
        let appended = voter.appended();
        voter.on_saved(0.0, appended, &mut out);
        for action in out {
            if let Action::Send(_, Message::Vote { verdict: Verdict::Granted, full_electorate, .. }) = action
            {
                granted.push(node);
                under.extend(full_electorate);
            }
        }
    }
    let same_electorate = under.windows(2).all(|two| two[0] == two[1]);
    same_electorate
        && under.first().is_some_and(|electorate| electorate.has_majority(|node| granted.contains(&node)))
}

/// Removes the last two members in the way that consensus does; returns whether a claim before the removals and one
/// after them were granted.
fn grants_around_two_removals(all: &[Node], first_claim: &[Node], second_claim: &[Node]) -> (bool, bool) {
    let mut voters = voters(all.len() as Node);
    set_members(&mut voters, 1, all, &[]);
    let first = is_granted(&mut voters, first_claim, 1);
    let mut index = 1;
    for remaining in [all.len() - 1, all.len() - 2] {
        let (members, before) = (&all[..remaining], &all[..=remaining]);
        set_members(&mut voters[..remaining], index + 1, members, before);
        set_members(&mut voters[..remaining], index + 2, members, &[]);
        index += 2;
    }
    (first, is_granted(&mut voters, second_claim, 2))
}

#[test]
fn a_claim_granted_by_removed_members_stays_the_only_one() {
    let both = grants_around_two_removals(&[1, 2, 3, 4, 5, 6, 7], &[4, 5, 6, 7], &[1, 2, 3]);
    assert_ne!(both, (true, true), "two claims of one key are granted within its window");
}
