//! A learner accepts another voter's records only as a complete transfer.

use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{ClaimId, ElectorateId, Fingerprint, Key, Message, Node};

const LEARNER: Node = 1;
const TEACHER: Node = 2;
const GATEWAY: Node = 9;
/// More keys than fit into one part of a transfer.
const KEYS: u64 = 4000;
/// Number of keys, counted from the first, that expire between two transfers.
const SHORT_LIVED: u64 = 10;

fn voter(me: Node, founder: bool) -> Voter {
    let settings = Settings { me, seed: 7, founder, max_records: 10_000, max_answer_bytes: 1000 };
    let mut out = Vec::new();
    let mut voter = Voter::new(0.0, settings, Vec::new(), &mut out);
    voter.set_members(0.0, 1, &[LEARNER, TEACHER], &[], &mut out);
    save(&mut voter, 0.0);
    voter
}

/// Reports all journal entries as saved and returns the resulting actions.
fn save(voter: &mut Voter, now: f64) -> Vec<Action> {
    let mut out = Vec::new();
    let appended = voter.appended();
    voter.on_saved(now, appended, &mut out);
    out
}

/// A voter that has granted all keys.
fn teacher() -> Voter {
    let mut teacher = voter(TEACHER, true);
    for key in 0..KEYS {
        let claim = ClaimId { gateway: GATEWAY, start: 1, sequence: key };
        let keep_s = if key < SHORT_LIVED { 1.0 } else { 60.0 };
        let (key, fingerprint, electorate) = (Key(key, 0), Fingerprint(5), ElectorateId::default());
        let message = Message::Claim { key, claim, fingerprint, keep_s, electorate };
        teacher.on_message(0.0, GATEWAY, message, &mut Vec::new());
    }
    save(&mut teacher, 0.0);
    teacher
}

/// The parts that the teacher sends when the learner asks at this time.
fn request_transfer(learner: &mut Voter, teacher: &mut Voter, now: f64) -> Vec<Message> {
    let (mut requests, mut out) = (Vec::new(), Vec::new());
    learner.tick(now, &mut requests);
    for action in requests {
        if let Action::Send(TEACHER, message @ Message::RequestRecords { .. }) = action {
            teacher.on_message(now, LEARNER, message, &mut out);
        }
    }
    out.extend(save(teacher, now));
    let records_message = |action| match action {
        Action::Send(LEARNER, message @ Message::Records { .. }) => Some(message),
        _ => None,
    };
    out.into_iter().filter_map(records_message).collect()
}

#[test]
fn parts_of_two_transfers_are_not_combined() {
    let (mut learner, mut teacher) = (voter(LEARNER, false), teacher());
    let first = request_transfer(&mut learner, &mut teacher, 0.6);
    // the connection is reset after the first part, keys expire, and the first part of the next transfer is lost
    learner.on_message(0.6, TEACHER, first[0].clone(), &mut Vec::new());
    let second = request_transfer(&mut learner, &mut teacher, 2.0);
    assert_eq!((first.len(), second.len()), (2, 2));
    learner.on_message(2.0, TEACHER, second[1].clone(), &mut Vec::new());
    save(&mut learner, 2.0);
    let missing = (SHORT_LIVED..KEYS).filter(|key| learner.holder(Key(*key, 0)).is_none()).count();
    assert!(!learner.can_vote() || missing == 0, "it votes without {missing} keys that the teacher granted");
}

#[test]
fn a_complete_transfer_is_accepted() {
    let (mut learner, mut teacher) = (voter(LEARNER, false), teacher());
    for part in request_transfer(&mut learner, &mut teacher, 2.0) {
        learner.on_message(2.0, TEACHER, part, &mut Vec::new());
    }
    save(&mut learner, 2.0);
    assert!(learner.can_vote());
    assert_eq!(learner.records() as u64, KEYS - SHORT_LIVED);
}
