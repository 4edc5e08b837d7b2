//! The head of a voter's journal replaces entries, so it must say all that they said.

use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{Electorate, Entry, Incarnation, Message, Node};

const MEMBERS: [Node; 3] = [1, 2, 3];

fn settings(founder: bool) -> Settings {
    Settings { me: 1, seed: 7, founder, max_records: 10, max_answer_bytes: 1_000 }
}

/// Who was asked to teach, and for which incarnation.
fn learns(out: &[Action]) -> Vec<(Node, Incarnation)> {
    let asked = out.iter().filter_map(|out| match out {
        Action::Send(node, Message::RequestRecords { incarnation, .. }) => Some((*node, *incarnation)),
        _ => None,
    });
    asked.collect()
}

/// The number of the last entry that was appended.
fn appended(out: &[Action]) -> u64 {
    let numbers = out.iter().filter_map(|out| match out {
        Action::Append { number, .. } => Some(*number),
        _ => None,
    });
    numbers.max().expect("entries")
}

/// A start from the head alone, as if all before it were deleted.
fn votes_from(head: Vec<Entry>) -> bool {
    let mut out = Vec::new();
    Voter::new(0.0, settings(false), head, &mut out).can_vote()
}

#[test]
fn a_voter_that_learnt_gives_no_head_before_its_readiness_is_on_disk() {
    let mut out = Vec::new();
    let mut voter = Voter::new(0.0, settings(false), Vec::new(), &mut out);
    voter.set_members(0.0, 1, &MEMBERS, &[], &mut out);
    assert!(!votes_from(voter.head().expect("a learner's head")));
    voter.tick(1.0, &mut out);
    let asked = learns(&out);
    assert_eq!(asked.iter().map(|asked| asked.0).collect::<Vec<_>>(), [2, 3]);
    let incarnation = asked[0].1;
    let mut electorate = Electorate::default();
    electorate.follow(1, &MEMBERS, &[]);
    electorate.note(1, incarnation);
    for node in [2, 3] {
        let electorate = electorate.clone();
        let lesson =
            Message::Records { incarnation, electorate, transfer: 1, part: 0, parts: 1, records: Vec::new() };
        voter.on_message(1.0, node, lesson, &mut out);
    }
    assert_eq!(voter.head(), None, "it would replace the entry that says that it is ready");
    voter.on_saved(1.0, appended(&out), &mut out);
    assert!(voter.can_vote());
    assert!(votes_from(voter.head().expect("a voter's head")));
}

#[test]
fn a_founder_votes_again_from_its_head() {
    let mut out = Vec::new();
    let mut voter = Voter::new(0.0, settings(true), Vec::new(), &mut out);
    voter.set_members(0.0, 1, &MEMBERS, &[], &mut out);
    assert!(votes_from(voter.head().expect("a founder's head")));
}
