//! The head of a voter's journal replaces earlier entries, so it must contain all that they contain.

use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{Electorate, Entry, Incarnation, Message, Node};

const MEMBERS: [Node; 3] = [1, 2, 3];

fn settings(founder: bool) -> Settings {
    Settings { me: 1, seed: 7, founder, max_records: 10, max_answer_bytes: 1_000 }
}

/// Nodes that records were requested from, and for which incarnation.
fn record_requests(out: &[Action]) -> Vec<(Node, Incarnation)> {
    let requests = out.iter().filter_map(|action| match action {
        Action::Send(node, Message::RequestRecords { incarnation, .. }) => Some((*node, *incarnation)),
        _ => None,
    });
    requests.collect()
}

/// The number of the last entry that was appended.
fn last_appended(out: &[Action]) -> u64 {
    let numbers = out.iter().filter_map(|action| match action {
        Action::Append { number, .. } => Some(*number),
        _ => None,
    });
    numbers.max().expect("entries")
}

/// Whether a voter that starts from the head alone, with all earlier entries deleted, can vote.
fn can_vote_from(head: Vec<Entry>) -> bool {
    let mut out = Vec::new();
    Voter::new(0.0, settings(false), head, &mut out).can_vote()
}

#[test]
fn a_voter_that_learned_has_no_head_before_its_ready_entry_is_on_disk() {
    let mut out = Vec::new();
    let mut voter = Voter::new(0.0, settings(false), Vec::new(), &mut out);
    voter.set_members(0.0, 1, &MEMBERS, &[], &mut out);
    assert!(!can_vote_from(voter.head().expect("the head of a learner")));
    voter.tick(1.0, &mut out);
    let requests = record_requests(&out);
    assert_eq!(requests.iter().map(|request| request.0).collect::<Vec<_>>(), [2, 3]);
    let incarnation = requests[0].1;
    let mut electorate = Electorate::default();
    electorate.adopt_members(1, &MEMBERS, &[]);
    electorate.raise_incarnation(1, incarnation);
    for node in [2, 3] {
        let electorate = electorate.clone();
        let records_message =
            Message::Records { incarnation, electorate, transfer: 1, part: 0, parts: 1, records: Vec::new() };
        voter.on_message(1.0, node, records_message, &mut out);
    }
    assert_eq!(voter.head(), None, "it would replace the ready entry");
    voter.on_saved(1.0, last_appended(&out), &mut out);
    assert!(voter.can_vote());
    assert!(can_vote_from(voter.head().expect("the head of a voter")));
}

#[test]
fn a_founder_votes_again_from_its_head() {
    let mut out = Vec::new();
    let mut voter = Voter::new(0.0, settings(true), Vec::new(), &mut out);
    voter.set_members(0.0, 1, &MEMBERS, &[], &mut out);
    assert!(can_vote_from(voter.head().expect("the head of a founder")));
}
