//! Replies that a voter defers or refuses while its journal is behind or full, and the electorate of the founders.

use lupinledge_operations::voter::{Action, Settings, Voter};
use lupinledge_operations::{ClaimId, Electorate, ElectorateId, Entry, Fingerprint, Incarnation, Key};
use lupinledge_operations::{Message, Node, Verdict};

const ME: Node = 1;
const GATEWAY: Node = 9;

fn settings() -> Settings {
    Settings { me: ME, seed: 7, founder: true, max_records: 100, max_answer_bytes: 1000 }
}

fn claim_id(sequence: u64) -> ClaimId {
    ClaimId { gateway: GATEWAY, start: 1, sequence }
}

fn claim(key: u64, sequence: u64) -> Message {
    let (key, claim, fingerprint) = (Key(key, 0), claim_id(sequence), Fingerprint(5));
    Message::Claim { key, claim, fingerprint, keep_s: 60.0, electorate: ElectorateId::default() }
}

/// One of three voters that founded the system, with all its journal entries on disk.
fn founder() -> Voter {
    let mut out = Vec::new();
    let mut voter = Voter::new(0.0, settings(), Vec::new(), &mut out);
    voter.set_members(0.0, 1, &[1, 2, 3], &[], &mut out);
    let appended = voter.appended();
    voter.on_saved(0.0, appended, &mut out);
    voter
}

/// Delivers a message and returns the resulting actions.
fn deliver(voter: &mut Voter, from: Node, message: Message) -> Vec<Action> {
    let mut out = Vec::new();
    voter.on_message(1.0, from, message, &mut out);
    out
}

/// Reports all journal entries as saved and returns the resulting actions.
fn save_all(voter: &mut Voter) -> Vec<Action> {
    let mut out = Vec::new();
    let appended = voter.appended();
    voter.on_saved(1.0, appended, &mut out);
    out
}

fn verdicts(out: &[Action]) -> Vec<Verdict> {
    let verdict = |action: &Action| match action {
        Action::Send(_, Message::Vote { verdict, .. }) => Some(*verdict),
        _ => None,
    };
    out.iter().filter_map(verdict).collect()
}

#[test]
fn the_founding_value_at_index_0_sets_the_members() {
    let mut electorate = Electorate::default();
    assert!(!electorate.adopt_members(0, &[], &[]), "an empty list of members");
    assert!(electorate.adopt_members(0, &[1, 2, 3], &[]));
    assert!(!electorate.adopt_members(0, &[1, 2, 3], &[]), "the same value under a later epoch");
    assert!(electorate.adopt_members(1, &[1, 2], &[]));
    assert!(!electorate.adopt_members(0, &[1, 2, 3], &[]), "an older value");
    assert_eq!(electorate.members, [1, 2]);
}

#[test]
fn a_claim_that_is_repeated_before_the_sync_gets_one_vote() {
    let mut voter = founder();
    (0..50).for_each(|_| assert_eq!(verdicts(&deliver(&mut voter, GATEWAY, claim(1, 1))), []));
    assert_eq!(verdicts(&save_all(&mut voter)), [Verdict::Granted]);
}

#[test]
fn a_learner_that_asks_again_before_the_sync_gets_one_reply() {
    let mut voter = founder();
    deliver(&mut voter, GATEWAY, claim(1, 1));
    let incarnation = Incarnation { number: 1, nonce: 1 };
    let request = Message::RequestRecords { incarnation, electorate: Electorate::default() };
    (0..50).for_each(|_| drop(deliver(&mut voter, 2, request.clone())));
    let out = save_all(&mut voter);
    let replies =
        out.iter().filter(|action| matches!(action, Action::Send(2, Message::Records { .. }))).count();
    assert_eq!((replies, verdicts(&out)), (1, vec![Verdict::Granted]));
}

#[test]
fn without_room_in_the_journal_no_claim_is_granted_and_no_answer_stored_but_held_keys_are_reported() {
    let mut voter = founder();
    deliver(&mut voter, GATEWAY, claim(1, 1));
    save_all(&mut voter);
    voter.set_room(false);
    let out = deliver(&mut voter, GATEWAY, claim(2, 2));
    assert_eq!(verdicts(&out), [Verdict::Abstained]);
    assert!(!out.iter().any(|action| matches!(action, Action::Append { .. })));
    assert_eq!(verdicts(&deliver(&mut voter, GATEWAY, claim(1, 1))), [Verdict::Granted]);
    let held = verdicts(&deliver(&mut voter, GATEWAY, claim(1, 3)));
    assert!(matches!(held[..], [Verdict::Held { by, .. }] if by == claim_id(1)), "{held:?}");
    let answer = serde_bytes::ByteBuf::from(vec![0; 10]);
    let store = Message::Store { key: Key(1, 0), claim: claim_id(1), answer };
    assert_eq!(deliver(&mut voter, GATEWAY, store.clone()), []);
    voter.set_room(true);
    let kept = deliver(&mut voter, GATEWAY, store);
    assert!(matches!(kept[..], [Action::Append { entry: Entry::Answer { .. }, .. }]), "{kept:?}");
    assert_eq!(verdicts(&deliver(&mut voter, GATEWAY, claim(2, 2))), []);
    assert_eq!(verdicts(&save_all(&mut voter)), [Verdict::Granted]);
}
