//! A learner takes what one voter tells it as a whole, or not at all.

use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{ClaimId, ElectorateId, Fingerprint, Key, Message, Node};

const LEARNER: Node = 1;
const TEACHER: Node = 2;
const GATEWAY: Node = 9;
/// More than are told in one part.
const KEYS: u64 = 4000;
/// The first of these keys expire between two tellings.
const SHORT_LIVED: u64 = 10;

fn voter(me: Node, founder: bool) -> Voter {
    let settings = Settings { me, seed: 7, founder, max_records: 10_000, max_answer_bytes: 1000 };
    let mut out = Vec::new();
    let mut voter = Voter::new(0.0, settings, Vec::new(), &mut out);
    voter.set_members(0.0, 1, &[LEARNER, TEACHER], &[], &mut out);
    save(&mut voter, 0.0);
    voter
}

fn save(voter: &mut Voter, now: f64) -> Vec<Action> {
    let mut out = Vec::new();
    let appended = voter.appended();
    voter.on_saved(now, appended, &mut out);
    out
}

/// A voter that granted all keys.
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

/// What the learner is told when it asks at this time.
fn told(learner: &mut Voter, teacher: &mut Voter, now: f64) -> Vec<Message> {
    let (mut asked, mut out) = (Vec::new(), Vec::new());
    learner.tick(now, &mut asked);
    for order in asked {
        if let Action::Send(TEACHER, message @ Message::RequestRecords { .. }) = order {
            teacher.on_message(now, LEARNER, message, &mut out);
        }
    }
    out.extend(save(teacher, now));
    let lesson = |order| match order {
        Action::Send(LEARNER, message @ Message::Records { .. }) => Some(message),
        _ => None,
    };
    out.into_iter().filter_map(lesson).collect()
}

#[test]
fn parts_of_two_tellings_are_not_taken_for_one() {
    let (mut learner, mut teacher) = (voter(LEARNER, false), teacher());
    let first = told(&mut learner, &mut teacher, 0.6);
    // the connection is reset behind the first part; keys expire; the first part of the next telling is lost
    learner.on_message(0.6, TEACHER, first[0].clone(), &mut Vec::new());
    let second = told(&mut learner, &mut teacher, 2.0);
    assert_eq!((first.len(), second.len()), (2, 2));
    learner.on_message(2.0, TEACHER, second[1].clone(), &mut Vec::new());
    save(&mut learner, 2.0);
    let missing = (SHORT_LIVED..KEYS).filter(|key| learner.holder(Key(*key, 0)).is_none()).count();
    assert!(!learner.can_vote() || missing == 0, "it votes without {missing} keys that its teacher granted");
}

#[test]
fn a_whole_telling_is_taken() {
    let (mut learner, mut teacher) = (voter(LEARNER, false), teacher());
    for part in told(&mut learner, &mut teacher, 2.0) {
        learner.on_message(2.0, TEACHER, part, &mut Vec::new());
    }
    save(&mut learner, 2.0);
    assert!(learner.can_vote());
    assert_eq!(learner.records() as u64, KEYS - SHORT_LIVED);
}
