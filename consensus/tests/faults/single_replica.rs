//! Single steps of one replica; the tests play the other members.

use crate::common::resume;
use lupinledge_consensus::{Ballot, Msg, Node, Outcome, Output, PersistentState, Replica, Settings, Value};
use std::rc::Rc;

const THREE: [Node; 3] = [10, 20, 30];

fn epoch(round: u64, node: Node) -> u64 {
    round << 32 | u64::from(node)
}

fn state_with_members(members: &[Node]) -> PersistentState {
    PersistentState {
        value: Rc::new(Value { members: members.to_vec(), ..Value::default() }),
        ..PersistentState::default()
    }
}

/// One replica, with its outputs; a save ends only when the test finishes it.
struct Harness {
    replica: Replica,
    now: f64,
    save_in_progress: Option<u64>,
    sent: Vec<(Node, Msg)>,
    done: Vec<Outcome>,
    won_epoch: Option<u64>,
}

impl Harness {
    fn new(me: Node, saved: Option<PersistentState>) -> Harness {
        let settings = Settings { me, seeds: THREE.to_vec(), bootstrap: false, seed: 1, tolerate: 1 };
        let has_state = saved.is_some();
        let mut replica = Replica::new(0.0, settings, saved);
        if has_state {
            resume(&mut replica, 0.0);
        }
        Harness {
            replica,
            now: 0.0,
            save_in_progress: None,
            sent: Vec::new(),
            done: Vec::new(),
            won_epoch: None,
        }
    }

    /// Makes one call; returns the messages that it sent.
    fn call(&mut self, call: impl FnOnce(&mut Replica, f64, &mut Vec<Output>)) -> Vec<(Node, Msg)> {
        let mut out = Vec::new();
        self.sent.clear();
        call(&mut self.replica, self.now, &mut out);
        for output in out {
            match output {
                Output::Send(to, msg) => self.sent.push((to, msg)),
                Output::Save(ticket, _) => self.save_in_progress = Some(ticket),
                Output::Done { outcome, .. } => self.done.push(outcome),
                Output::BecameLeader(epoch) => self.won_epoch = Some(epoch),
                Output::Committed(..) | Output::LostLeadership => {}
            }
        }
        std::mem::take(&mut self.sent)
    }

    fn receive(&mut self, from: Node, msg: Msg) -> Vec<(Node, Msg)> {
        self.call(|replica, now, out| replica.handle_message(now, from, msg, out))
    }

    fn finish_save(&mut self) -> Vec<(Node, Msg)> {
        let ticket = self.save_in_progress.take().expect("a save is in progress");
        self.call(|replica, now, out| replica.save_finished(now, ticket, true, out))
    }

    /// Ticks for `duration` without answering any message.
    fn tick_for(&mut self, duration: f64) -> Vec<(Node, Msg)> {
        let (end, mut sent) = (self.now + duration, Vec::new());
        while self.now < end {
            self.now += 0.05;
            sent.extend(self.call(|replica, now, out| replica.tick(now, out)));
        }
        sent
    }

    /// Becomes a candidate with pre-votes of `others`; its own promise is then being saved.
    fn become_candidate(&mut self, others: &[Node]) -> Vec<(Node, Msg)> {
        let asked = self.tick_for(1.0);
        let pre_vote = asked.iter().rev().find_map(|(_, msg)| match msg {
            Msg::PreVote { nonce, .. } => Some(*nonce),
            _ => None,
        });
        let nonce = pre_vote.expect("it asks for pre-votes");
        others
            .iter()
            .flat_map(|&node| self.receive(node, Msg::PreVoteGranted { nonce, promised: 0 }))
            .collect()
    }

    /// Becomes the leader of its epoch 1 with promises of `others`; the value it took over is not committed yet.
    fn become_leader(&mut self, me: Node, others: &[Node]) {
        self.become_candidate(others);
        self.finish_save();
        for &node in others {
            self.receive(node, promise(epoch(1, me), Ballot::default(), None));
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
    let mut harness = Harness::new(10, Some(state_with_members(&THREE)));
    let asked = epoch(1, 20);
    assert_eq!(harness.receive(20, Msg::Prepare { epoch: asked, have: Ballot::default(), cluster: 0 }), []);
    assert!(matches!(harness.finish_save()[..], [(20, Msg::Promise { .. })]));
    let value = state_with_members(&THREE).value;
    assert_eq!(harness.receive(20, Msg::Accept { ballot: ballot(asked, 1), value, incarnation: 0 }), []);
    assert!(matches!(harness.finish_save()[..], [(20, Msg::Accepted { .. })]));
}

#[test]
fn everything_below_the_promised_epoch_is_refused() {
    let mut harness =
        Harness::new(10, Some(PersistentState { promised: epoch(5, 20), ..state_with_members(&THREE) }));
    let low = epoch(4, 30);
    let refused = vec![(30, Msg::Refused { epoch: low, promised: epoch(5, 20), commit: Ballot::default() })];
    let value = state_with_members(&THREE).value;
    assert_eq!(
        harness.receive(30, Msg::Prepare { epoch: low, have: Ballot::default(), cluster: 0 }),
        refused
    );
    assert_eq!(harness.receive(30, Msg::Accept { ballot: ballot(low, 9), value, incarnation: 0 }), refused);
    assert_eq!(
        harness.receive(30, Msg::Heartbeat { epoch: low, commit: Ballot::default(), nonce: 1, cluster: 0 }),
        refused
    );
    assert_eq!(harness.save_in_progress, None);
}

#[test]
fn candidate_asks_for_promises_only_after_its_own_is_on_disk() {
    let mut harness = Harness::new(10, Some(state_with_members(&THREE)));
    assert_eq!(harness.become_candidate(&[20]), []);
    let sent = harness.finish_save();
    assert!(sent.iter().all(|(_, msg)| matches!(msg, Msg::Prepare { .. })) && sent.len() == 2);
}

#[test]
fn own_vote_counts_only_once_on_disk() {
    let mut harness = Harness::new(10, Some(state_with_members(&THREE)));
    harness.become_leader(10, &[20]);
    let found_ballot = ballot(epoch(1, 10), 0);
    harness.receive(20, accepted(found_ballot, 0, &[]));
    assert_eq!(harness.won_epoch, None);
    harness.finish_save();
    assert_eq!(harness.won_epoch, Some(epoch(1, 10)));
}

#[test]
fn save_started_before_the_vote_does_not_count() {
    let mut harness = Harness::new(10, Some(state_with_members(&THREE)));
    harness.become_candidate(&[20]);
    harness.finish_save();
    harness.receive(30, Msg::Learn { incarnation: 1, nonce: 7, have: Ballot::default(), cluster: 0 });
    harness.receive(20, promise(epoch(1, 10), Ballot::default(), None));
    harness.receive(20, accepted(ballot(epoch(1, 10), 0), 0, &[]));
    harness.finish_save();
    assert_eq!(harness.won_epoch, None);
    harness.finish_save();
    assert_eq!(harness.won_epoch, Some(epoch(1, 10)));
}

#[test]
fn vote_of_a_lost_disk_is_void() {
    let members = [10, 20, 30, 40, 50];
    let mut harness = Harness::new(10, Some(state_with_members(&members)));
    harness.become_leader(10, &[20, 30]);
    harness.finish_save();
    let found_ballot = ballot(epoch(1, 10), 0);
    harness.receive(20, accepted(found_ballot, 0, &[]));
    // 30 reports that 20 has lost its disk since then.
    harness.receive(30, accepted(found_ballot, 0, &[(20, 1)]));
    assert_eq!(harness.won_epoch, None);
    harness.receive(20, accepted(found_ballot, 1, &[]));
    assert_eq!(harness.won_epoch, Some(epoch(1, 10)));
}

#[test]
fn vote_of_a_disk_known_to_be_lost_is_void() {
    let mut harness = Harness::new(10, Some(state_with_members(&THREE)));
    harness.become_leader(10, &[20]);
    let found_ballot = ballot(epoch(1, 10), 0);
    harness.receive(20, accepted(found_ballot, 0, &[]));
    harness.receive(20, Msg::Learn { incarnation: 1, nonce: 7, have: Ballot::default(), cluster: 0 });
    harness.finish_save();
    harness.finish_save();
    assert_eq!(harness.won_epoch, None);
    harness.receive(30, accepted(found_ballot, 0, &[]));
    assert_eq!(harness.won_epoch, Some(epoch(1, 10)));
}

#[test]
fn membership_change_needs_both_majorities() {
    let change = Value { members: vec![10, 20, 40], outgoing: THREE.to_vec(), ..Value::default() };
    let start = PersistentState {
        value: Rc::new(change),
        ballot: ballot(epoch(0, 10), 3),
        ..PersistentState::default()
    };
    let mut harness = Harness::new(10, Some(start));
    // 10 and 40 are a majority of the new members only: not enough to win the epoch or to commit the value.
    harness.become_candidate(&[20]);
    harness.finish_save();
    let own_epoch = epoch(1, 10);
    let promised = |value| promise(own_epoch, ballot(epoch(0, 10), 3), value);
    assert_eq!(harness.receive(40, promised(None)), []);
    assert!(!harness.receive(20, promised(None)).is_empty());
    harness.finish_save();
    harness.receive(40, accepted(ballot(own_epoch, 3), 0, &[]));
    assert_eq!(harness.won_epoch, None);
    harness.receive(30, accepted(ballot(own_epoch, 3), 0, &[]));
    assert_eq!(harness.won_epoch, Some(own_epoch));
}

#[test]
fn newer_membership_in_a_promise_adds_its_members_to_the_election() {
    let mut harness = Harness::new(10, Some(state_with_members(&THREE)));
    harness.become_candidate(&[20]);
    harness.finish_save();
    let newer = Rc::new(Value { members: vec![20, 40, 50], ..Value::default() });
    let sent = harness.receive(20, promise(epoch(1, 10), ballot(epoch(0, 20), 9), Some(newer)));
    let asked: Vec<Node> = sent.iter().map(|(node, _)| *node).collect();
    assert_eq!(asked, [40, 50]);
    assert!(harness.receive(30, promise(epoch(1, 10), Ballot::default(), None)).is_empty());
    let sent = harness.receive(40, promise(epoch(1, 10), Ballot::default(), None));
    assert!(sent.iter().any(|(_, msg)| matches!(msg, Msg::Accept { ballot, .. } if ballot.index == 9)));
}

#[test]
fn member_with_an_empty_disk_does_not_vote_and_learns_the_highest_promise() {
    let mut harness = Harness::new(10, None);
    let asked = harness.tick_for(0.1);
    let (incarnation, nonce) = match &asked[0].1 {
        Msg::Learn { incarnation, nonce, .. } => (*incarnation, *nonce),
        other => panic!("{other:?}"),
    };
    let value = state_with_members(&THREE).value;
    let prepare = |round| Msg::Prepare { epoch: epoch(round, 20), have: Ballot::default(), cluster: 0 };
    assert_eq!(harness.receive(20, prepare(1)), []);
    assert_eq!(
        harness.receive(
            20,
            Msg::Accept { ballot: ballot(epoch(1, 20), 1), value: value.clone(), incarnation: 0 }
        ),
        []
    );
    assert_eq!(harness.receive(20, Msg::PreVote { nonce: 1, cluster: 0 }), []);
    let beat = Msg::Heartbeat { epoch: epoch(1, 20), commit: Ballot::default(), nonce: 1, cluster: 0 };
    assert_eq!(harness.receive(20, beat), [(20, Msg::Alive)]);
    let learnt = |promised, ballot| {
        let (value, incarnations) = (Some(value.clone()), Vec::new());
        Msg::LearnReply { incarnation, nonce, promised, ballot, value, incarnations, proposer_incarnation: 0 }
    };
    harness.receive(20, learnt(epoch(7, 30), Ballot::default()));
    assert!(harness.replica.is_learning() && harness.save_in_progress.is_none());
    harness.receive(30, learnt(epoch(2, 20), ballot(epoch(2, 20), 4)));
    assert!(!harness.replica.is_learning());
    harness.finish_save();
    assert!(matches!(harness.receive(20, prepare(6))[..], [(20, Msg::Refused { .. })]));
}

#[test]
fn proposals_to_a_replica_that_does_not_lead_are_rejected() {
    let mut harness = Harness::new(10, Some(state_with_members(&THREE)));
    harness.call(|replica, now, out| replica.propose(now, 1, vec![1], out));
    harness.call(|replica, now, out| replica.read_barrier(now, 2, out));
    harness.become_leader(10, &[20]);
    harness.call(|replica, now, out| replica.propose(now, 3, vec![1], out));
    harness.call(|replica, now, out| replica.read_barrier(now, 4, out));
    assert_eq!(harness.done, [Outcome::NotLeader; 4]);
}
