//! Single steps of one member, the others played by hand.

use crate::common::resume;
use lupinledge_consensus::{Ballot, Msg, Node, Outcome, Output, PersistentState, Replica, Settings, Value};
use std::rc::Rc;

const THREE: [Node; 3] = [10, 20, 30];

fn epoch(round: u64, node: Node) -> u64 {
    round << 32 | u64::from(node)
}

fn kept(members: &[Node]) -> PersistentState {
    PersistentState {
        value: Rc::new(Value { members: members.to_vec(), ..Value::default() }),
        ..PersistentState::default()
    }
}

/// One member, with its orders as they come; saves end when told.
struct One {
    queen: Replica,
    now: f64,
    saving: Option<u64>,
    sent: Vec<(Node, Msg)>,
    done: Vec<Outcome>,
    won: Option<u64>,
}

impl One {
    fn new(me: Node, kept: Option<PersistentState>) -> One {
        let settings = Settings { me, seeds: THREE.to_vec(), bootstrap: false, seed: 1, tolerate: 1 };
        let starts = kept.is_some();
        let mut queen = Replica::new(0.0, settings, kept);
        if starts {
            resume(&mut queen, 0.0);
        }
        One { queen, now: 0.0, saving: None, sent: Vec::new(), done: Vec::new(), won: None }
    }

    /// One call; returns what it sent.
    fn call(&mut self, call: impl FnOnce(&mut Replica, f64, &mut Vec<Output>)) -> Vec<(Node, Msg)> {
        let mut out = Vec::new();
        self.sent.clear();
        call(&mut self.queen, self.now, &mut out);
        for order in out {
            match order {
                Output::Send(to, msg) => self.sent.push((to, msg)),
                Output::Save(ticket, _) => self.saving = Some(ticket),
                Output::Done { outcome, .. } => self.done.push(outcome),
                Output::BecameLeader(epoch) => self.won = Some(epoch),
                Output::Committed(..) | Output::LostLeadership => {}
            }
        }
        std::mem::take(&mut self.sent)
    }

    fn heard(&mut self, from: Node, msg: Msg) -> Vec<(Node, Msg)> {
        self.call(|queen, now, out| queen.handle_message(now, from, msg, out))
    }

    fn saved(&mut self) -> Vec<(Node, Msg)> {
        let ticket = self.saving.take().expect("a save is under way");
        self.call(|queen, now, out| queen.save_finished(now, ticket, true, out))
    }

    /// Ticks for so long, answering nothing.
    fn wait(&mut self, span: f64) -> Vec<(Node, Msg)> {
        let (end, mut sent) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += 0.05;
            sent.extend(self.call(|queen, now, out| queen.tick(now, out)));
        }
        sent
    }

    /// Stands, with the consent of `others`; the own promise is on its way to disk then.
    fn stand(&mut self, others: &[Node]) -> Vec<(Node, Msg)> {
        let asked = self.wait(1.0);
        let ask = asked.iter().rev().find_map(|(_, msg)| match msg {
            Msg::PreVote { n, .. } => Some(*n),
            _ => None,
        });
        let n = ask.expect("it stands");
        others.iter().flat_map(|&node| self.heard(node, Msg::PreVoteGranted { n, promised: 0 })).collect()
    }

    /// Holds epoch 1 of its own with the promises of `others`; what it found is not settled yet.
    fn hold(&mut self, me: Node, others: &[Node]) {
        self.stand(others);
        self.saved();
        for &node in others {
            self.heard(node, promise(epoch(1, me), Ballot::default(), None));
        }
    }
}

fn promise(epoch: u64, ballot: Ballot, value: Option<Rc<Value>>) -> Msg {
    Msg::Promise { epoch, ballot, value, incarnation: 0, incarnations: Vec::new() }
}

fn accepted(ballot: Ballot, incarnation: u64, incarnations: &[(Node, u64)]) -> Msg {
    Msg::Accepted { ballot, incarnation, incarnations: incarnations.to_vec() }
}

fn ballot(epoch: u64, index: u64) -> Ballot {
    Ballot { epoch, index }
}

#[test]
fn nothing_is_promised_or_accepted_before_it_is_on_disk() {
    let mut one = One::new(10, Some(kept(&THREE)));
    let asked = epoch(1, 20);
    assert_eq!(one.heard(20, Msg::Prepare { epoch: asked, have: Ballot::default(), cluster: 0 }), []);
    assert!(matches!(one.saved()[..], [(20, Msg::Promise { .. })]));
    let value = kept(&THREE).value;
    assert_eq!(one.heard(20, Msg::Accept { ballot: ballot(asked, 1), value, incarnation: 0 }), []);
    assert!(matches!(one.saved()[..], [(20, Msg::Accepted { .. })]));
}

#[test]
fn below_the_promise_all_is_refused() {
    let mut one = One::new(10, Some(PersistentState { promised: epoch(5, 20), ..kept(&THREE) }));
    let low = epoch(4, 30);
    let refused = vec![(30, Msg::Refused { epoch: low, promised: epoch(5, 20), commit: Ballot::default() })];
    let value = kept(&THREE).value;
    assert_eq!(one.heard(30, Msg::Prepare { epoch: low, have: Ballot::default(), cluster: 0 }), refused);
    assert_eq!(one.heard(30, Msg::Accept { ballot: ballot(low, 9), value, incarnation: 0 }), refused);
    assert_eq!(
        one.heard(30, Msg::Heartbeat { epoch: low, commit: Ballot::default(), nonce: 1, cluster: 0 }),
        refused
    );
    assert_eq!(one.saving, None);
}

#[test]
fn a_candidate_asks_for_promises_only_with_its_own_on_disk() {
    let mut one = One::new(10, Some(kept(&THREE)));
    assert_eq!(one.stand(&[20]), []);
    let sent = one.saved();
    assert!(sent.iter().all(|(_, msg)| matches!(msg, Msg::Prepare { .. })) && sent.len() == 2);
}

#[test]
fn the_own_vote_counts_only_from_the_disk() {
    let mut one = One::new(10, Some(kept(&THREE)));
    one.hold(10, &[20]);
    let found = ballot(epoch(1, 10), 0);
    one.heard(20, accepted(found, 0, &[]));
    assert_eq!(one.won, None);
    one.saved();
    assert_eq!(one.won, Some(epoch(1, 10)));
}

#[test]
fn a_save_begun_before_the_vote_is_none() {
    let mut one = One::new(10, Some(kept(&THREE)));
    one.stand(&[20]);
    one.saved();
    one.heard(30, Msg::Learn { incarnation: 1, nonce: 7, have: Ballot::default(), cluster: 0 });
    one.heard(20, promise(epoch(1, 10), Ballot::default(), None));
    one.heard(20, accepted(ballot(epoch(1, 10), 0), 0, &[]));
    one.saved();
    assert_eq!(one.won, None);
    one.saved();
    assert_eq!(one.won, Some(epoch(1, 10)));
}

#[test]
fn the_vote_of_a_lost_disk_falls() {
    let members = [10, 20, 30, 40, 50];
    let mut one = One::new(10, Some(kept(&members)));
    one.hold(10, &[20, 30]);
    one.saved();
    let found = ballot(epoch(1, 10), 0);
    one.heard(20, accepted(found, 0, &[]));
    // 30 knows that 20 lost its disk since.
    one.heard(30, accepted(found, 0, &[(20, 1)]));
    assert_eq!(one.won, None);
    one.heard(20, accepted(found, 1, &[]));
    assert_eq!(one.won, Some(epoch(1, 10)));
}

#[test]
fn the_vote_of_a_lost_disk_falls_by_the_own_knowledge_too() {
    let mut one = One::new(10, Some(kept(&THREE)));
    one.hold(10, &[20]);
    let found = ballot(epoch(1, 10), 0);
    one.heard(20, accepted(found, 0, &[]));
    one.heard(20, Msg::Learn { incarnation: 1, nonce: 7, have: Ballot::default(), cluster: 0 });
    one.saved();
    one.saved();
    assert_eq!(one.won, None);
    one.heard(30, accepted(found, 0, &[]));
    assert_eq!(one.won, Some(epoch(1, 10)));
}

#[test]
fn a_change_of_the_roll_needs_both_majorities() {
    let change = Value { members: vec![10, 20, 40], outgoing: THREE.to_vec(), ..Value::default() };
    let start = PersistentState {
        value: Rc::new(change),
        ballot: ballot(epoch(0, 10), 3),
        ..PersistentState::default()
    };
    let mut one = One::new(10, Some(start));
    // 10 and 40 are a majority of the new members alone: neither to hold the epoch nor to settle the value.
    one.stand(&[20]);
    one.saved();
    let mine = epoch(1, 10);
    let promised = |value| promise(mine, ballot(epoch(0, 10), 3), value);
    assert_eq!(one.heard(40, promised(None)), []);
    assert!(!one.heard(20, promised(None)).is_empty());
    one.saved();
    one.heard(40, accepted(ballot(mine, 3), 0, &[]));
    assert_eq!(one.won, None);
    one.heard(30, accepted(ballot(mine, 3), 0, &[]));
    assert_eq!(one.won, Some(mine));
}

#[test]
fn a_promise_with_a_newer_roll_asks_its_members_too() {
    let mut one = One::new(10, Some(kept(&THREE)));
    one.stand(&[20]);
    one.saved();
    let newer = Rc::new(Value { members: vec![20, 40, 50], ..Value::default() });
    let sent = one.heard(20, promise(epoch(1, 10), ballot(epoch(0, 20), 9), Some(newer)));
    let asked: Vec<Node> = sent.iter().map(|(node, _)| *node).collect();
    assert_eq!(asked, [40, 50]);
    assert!(one.heard(30, promise(epoch(1, 10), Ballot::default(), None)).is_empty());
    let sent = one.heard(40, promise(epoch(1, 10), Ballot::default(), None));
    assert!(sent.iter().any(|(_, msg)| matches!(msg, Msg::Accept { ballot, .. } if ballot.index == 9)));
}

#[test]
fn an_empty_disk_takes_no_part_and_learns_the_highest_promise() {
    let mut one = One::new(10, None);
    let asked = one.wait(0.1);
    let (incarnation, nonce) = match &asked[0].1 {
        Msg::Learn { incarnation, nonce, .. } => (*incarnation, *nonce),
        other => panic!("{other:?}"),
    };
    let value = kept(&THREE).value;
    let prepare = |round| Msg::Prepare { epoch: epoch(round, 20), have: Ballot::default(), cluster: 0 };
    assert_eq!(one.heard(20, prepare(1)), []);
    assert_eq!(
        one.heard(20, Msg::Accept { ballot: ballot(epoch(1, 20), 1), value: value.clone(), incarnation: 0 }),
        []
    );
    assert_eq!(one.heard(20, Msg::PreVote { n: 1, cluster: 0 }), []);
    let beat = Msg::Heartbeat { epoch: epoch(1, 20), commit: Ballot::default(), nonce: 1, cluster: 0 };
    assert_eq!(one.heard(20, beat), [(20, Msg::Alive)]);
    let learnt = |promised, ballot| {
        let (value, incarnations) = (Some(value.clone()), Vec::new());
        Msg::LearnReply { incarnation, nonce, promised, ballot, value, incarnations, proposer: 0 }
    };
    one.heard(20, learnt(epoch(7, 30), Ballot::default()));
    assert!(one.queen.is_learning() && one.saving.is_none());
    one.heard(30, learnt(epoch(2, 20), ballot(epoch(2, 20), 4)));
    assert!(!one.queen.is_learning());
    one.saved();
    assert!(matches!(one.heard(20, prepare(6))[..], [(20, Msg::Refused { .. })]));
}

#[test]
fn a_proposal_elsewhere_does_nothing() {
    let mut one = One::new(10, Some(kept(&THREE)));
    one.call(|queen, now, out| queen.propose(now, 1, vec![1], out));
    one.call(|queen, now, out| queen.read_barrier(now, 2, out));
    one.hold(10, &[20]);
    one.call(|queen, now, out| queen.propose(now, 3, vec![1], out));
    one.call(|queen, now, out| queen.read_barrier(now, 4, out));
    assert_eq!(one.done, [Outcome::NotLeader; 4]);
}
