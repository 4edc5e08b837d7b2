//! A member whose disk is empty learns the state from others before it takes part in anything.
//!
//! It first takes a new incarnation, which the nodes it asks save to disk and send along with each of their votes. So a
//! vote of an earlier incarnation is counted only if none of these nodes voted after its answer; the votes that they
//! cast before are covered by their answers.

use crate::cluster::{relation, Relation};
use crate::{next_random, Ballot, Msg, Node, Output, PersistentState, Replica, Value};
use std::rc::Rc;

/// Time after which the request is sent again, seconds.
const RESEND_INTERVAL: f64 = 0.3;
/// Most incarnations of other nodes that a node records.
const MAX_INCARNATIONS: usize = 32;

/// A node that learns the state, with the answers so far.
pub(crate) struct Learner {
    incarnation: u64,
    nonce: u64,
    next_send: f64,
    answered: Vec<Node>,
    promised: u64,
    /// The newest value among the answers.
    newest: (Ballot, Rc<Value>),
    /// The proposer of `newest`, as in [`PersistentState`].
    proposer_incarnation: u64,
    incarnations: Vec<(Node, u64, u64)>,
}

impl Learner {
    pub(crate) fn new(now: f64, nonce: u64) -> Learner {
        Learner {
            incarnation: 1,
            nonce,
            next_send: now,
            answered: Vec::new(),
            promised: 0,
            newest: Default::default(),
            proposer_incarnation: 0,
            incarnations: Vec::new(),
        }
    }

    /// A learner in the incarnation after one that is known to have existed.
    pub(crate) fn after(now: f64, nonce: u64, incarnation: u64) -> Learner {
        Learner { incarnation: incarnation.saturating_add(1), ..Learner::new(now, nonce) }
    }

    /// Whether enough members have answered: one of them must have everything that was acknowledged, and no vote of an
    /// earlier incarnation may be counted without a vote of one of them. Half of the members is enough, since every
    /// majority, even without this member, includes one of any such half: two of three, three of five, two of four, one
    /// of two.
    fn complete(&self, me: Node) -> bool {
        let half_answered = |members: &[Node]| {
            let answered = members.iter().filter(|m| **m != me && self.answered.contains(m)).count();
            2 * answered >= members.len()
        };
        let value = &self.newest.1;
        let outgoing = half_answered(&value.outgoing) || self.is_own_change(me);
        !value.members.is_empty() && half_answered(&value.members) && outgoing
    }

    /// Whether `newest` is a membership change that this node proposed itself, in the incarnation right before this.
    ///
    /// This node had the change on its disk before it sent it to any other node. So a leader of a later epoch that had
    /// this node's promise also had the change, and needed a majority of the new members, one of which has answered
    /// here. There was no such leader, as no answering member promised a later epoch. A leader without this node's
    /// promise would have needed a majority of the old members that includes none of those that answered, or a majority
    /// with a member of an intermediate incarnation that no longer had the change. Neither exists if those that
    /// answered form, together with this node, a majority of the old members, as each incarnation has learnt from half
    /// of the others.
    fn is_own_change(&self, me: Node) -> bool {
        let (ballot, value) = &self.newest;
        let answered = value.outgoing.iter().filter(|m| **m != me && self.answered.contains(m)).count();
        ballot.epoch as Node == me
            && self.proposer_incarnation == self.incarnation
            && self.promised <= ballot.epoch
            && value.outgoing.contains(&me)
            && 2 * (answered + 1) > value.outgoing.len()
    }
}

impl Replica {
    /// All nodes that might be members or know the members.
    pub(crate) fn known_nodes(&self) -> Vec<Node> {
        let mut all = self.newest_value().others(self.me);
        if let Some(learner) = &self.learner {
            all.extend(learner.newest.1.others(self.me));
            // A node that sent a message may be one of the new members of a change in progress.
            all.extend(self.last_heard.keys());
        }
        all.extend(self.known_leader.map(|leader| leader.node));
        all.extend(self.seeds.iter().chain(&self.hints));
        all.sort_unstable();
        all.dedup();
        all.retain(|&node| node != self.me);
        all
    }

    /// Sends the request to learn the state when it is due.
    pub(crate) fn learn_tick(&mut self, out: &mut Vec<Output>) {
        let known = self.known_nodes();
        let Some(learner) = &mut self.learner else { return };
        if self.now < learner.next_send {
            return;
        }
        learner.next_send = self.now + RESEND_INTERVAL;
        // Nodes that answered are asked again too: with their state of now, fewer answers may be enough (if a
        // membership change was in progress).
        for node in known {
            let (incarnation, nonce, have) = (learner.incarnation, learner.nonce, learner.newest.0);
            let cluster = learner.newest.1.cluster;
            out.push(Output::Send(node, Msg::Learn { incarnation, nonce, have, cluster }));
        }
    }

    pub(crate) fn learn_wake(&self) -> f64 {
        self.learner.as_ref().map_or(f64::INFINITY, |learner| learner.next_send)
    }

    /// Another node lost its disk: records its new incarnation and replies with this node's state.
    pub(crate) fn on_learn(
        &mut self,
        from: Node,
        (incarnation, nonce): (u64, u64),
        have: Ballot,
        cluster: u64,
        out: &mut Vec<Output>,
    ) {
        if self.learner.is_some() || !self.record_incarnation(from, incarnation, nonce, out) {
            return;
        }
        // The votes of its previous incarnation are void.
        self.reported_votes.remove(&from);
        let newer =
            self.disk.state.ballot > have || have == Ballot::default() || self.is_other_cluster(cluster);
        let state = &self.disk.state;
        let value = newer.then(|| state.value.clone());
        let (promised, ballot, proposer_incarnation) =
            (state.promised, state.ballot, state.proposer_incarnation);
        let incarnations = state.incarnations.clone();
        let answer = Msg::LearnReply {
            incarnation,
            nonce,
            promised,
            ballot,
            value,
            incarnations,
            proposer_incarnation,
        };
        self.disk.send_when_durable(from, answer, out);
    }

    /// Records the incarnation of another node; returns false if it is outdated or can't be recorded.
    fn record_incarnation(
        &mut self,
        node: Node,
        incarnation: u64,
        nonce: u64,
        out: &mut Vec<Output>,
    ) -> bool {
        let value = self.disk.state.value.clone();
        let incarnations = &mut self.disk.state.incarnations;
        if let Some(recorded) = incarnations.iter_mut().find(|recorded| recorded.0 == node) {
            if incarnation < recorded.1 || (incarnation == recorded.1 && nonce != recorded.2) {
                out.push(Output::Send(node, Msg::NewerIncarnation { incarnation: recorded.1 }));
                return false;
            }
            if *recorded != (node, incarnation, nonce) {
                *recorded = (node, incarnation, nonce);
                self.disk.changed();
            }
            return true;
        }
        if incarnations.len() >= MAX_INCARNATIONS {
            let member = |m: &Node| value.members.contains(m) || value.outgoing.contains(m);
            let Some(extra) = incarnations.iter().position(|entry| !member(&entry.0)) else { return false };
            incarnations.remove(extra);
        }
        incarnations.push((node, incarnation, nonce));
        self.disk.changed();
        true
    }

    pub(crate) fn on_newer_incarnation(&mut self, incarnation: u64) {
        let Some(learner) = &mut self.learner else { return };
        if incarnation >= learner.incarnation {
            *learner = Learner::after(self.now, next_random(&mut self.random), incarnation);
        }
    }

    pub(crate) fn on_learn_reply(
        &mut self,
        from: Node,
        incarnation: (u64, u64),
        held: PersistentState,
        value: Option<Rc<Value>>,
    ) {
        let PersistentState { promised, ballot, incarnations, proposer_incarnation, .. } = held;
        let Some(learner) = &mut self.learner else { return };
        if incarnation != (learner.incarnation, learner.nonce) {
            return;
        }
        // Answers from different clusters must not be combined.
        match value.as_ref().map_or(Relation::Same, |v| relation(learner.newest.1.cluster, v.cluster)) {
            Relation::Same => {}
            Relation::Newer => learner.answered.clear(),
            Relation::Older | Relation::Unrelated => return,
        }
        match value {
            Some(value) if learner.answered.is_empty() || ballot > learner.newest.0 => {
                (learner.newest, learner.proposer_incarnation) = ((ballot, value), proposer_incarnation);
            }
            None if ballot > learner.newest.0 => return,
            _ => {}
        }
        if !learner.answered.contains(&from) {
            learner.answered.push(from);
        }
        learner.promised = learner.promised.max(promised).max(ballot.epoch);
        merge_incarnations(&mut learner.incarnations, incarnations, self.me);
        if learner.complete(self.me) {
            self.finish_learning();
        }
    }

    /// The learnt state is complete: from now on this node acts as a member, or asks to become one.
    fn finish_learning(&mut self) {
        let Some(learner) = self.learner.take() else { return };
        let Learner {
            incarnation,
            promised,
            newest: (ballot, value),
            incarnations,
            proposer_incarnation,
            ..
        } = learner;
        let (owner, stale) = (self.me, false);
        self.disk.state = PersistentState {
            promised,
            ballot,
            value,
            stale,
            incarnation,
            incarnations,
            owner,
            proposer_incarnation,
        };
        self.disk.changed();
        self.highest_epoch = self.highest_epoch.max(promised);
        self.quiet_since = self.now;
        self.next_join = self.now;
    }
}

/// Takes over newer incarnations of other nodes.
pub(crate) fn merge_incarnations(own: &mut Vec<(Node, u64, u64)>, reported: Vec<(Node, u64, u64)>, me: Node) {
    for (node, incarnation, nonce) in reported {
        if let Some(recorded) = own.iter_mut().find(|recorded| recorded.0 == node) {
            if recorded.1 < incarnation {
                *recorded = (node, incarnation, nonce);
            }
        } else if node != me && own.len() < MAX_INCARNATIONS {
            own.push((node, incarnation, nonce));
        }
    }
}
