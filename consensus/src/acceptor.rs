//! The acceptor part of every member: promises, votes, and passing on committed values.

use crate::{Ballot, KnownLeader, Msg, Node, Output, Replica, Role, Value};
use std::rc::Rc;

/// No epoch is promised to another node for this long after a message of the leader, seconds.
const LEADER_STICKINESS: f64 = 0.6;
/// Time that the successor named by a leader has to send its first messages before others become candidates, seconds.
const HANDOVER_TIMEOUT: f64 = 0.5;
/// Other candidates are rejected for this long after an epoch was promised to one, seconds.
const CANDIDATE_TIMEOUT: f64 = 0.8;

impl Replica {
    /// Whether `candidate` must be rejected because there is a leader or another candidate.
    pub(crate) fn must_reject(&self, candidate: Node) -> bool {
        let leader_heard = self
            .known_leader
            .is_some_and(|leader| leader.node != candidate && self.now - leader.heard_at < LEADER_STICKINESS);
        let other_candidate =
            self.pending_candidate.is_some_and(|(node, until)| node != candidate && self.now < until);
        let own_role = match &self.role {
            Role::Leading(leading) => {
                leading.has_quorum_contact(&self.disk.state.value, self.me, self.now, LEADER_STICKINESS)
            }
            Role::Preparing(_) => candidate > self.me,
            _ => false,
        };
        leader_heard || other_candidate || own_role
    }

    pub(crate) fn on_pre_vote(&mut self, from: Node, nonce: u64, out: &mut Vec<Output>) {
        if self.learner.is_some() {
            return;
        }
        let promised = self.disk.state.promised;
        let answer = if self.must_reject(from) {
            let leader = self.leader(self.now).map_or(0, |(node, _)| node);
            Msg::PreVoteRefused { nonce, promised, leader, commit: self.commit_ballot() }
        } else {
            Msg::PreVoteGranted { nonce, promised }
        };
        out.push(Output::Send(from, answer));
    }

    pub(crate) fn on_prepare(&mut self, from: Node, epoch: u64, have: Ballot, out: &mut Vec<Output>) {
        if self.learner.is_some() || epoch as Node != from {
            return;
        }
        self.highest_epoch = self.highest_epoch.max(epoch);
        let promised = self.disk.state.promised;
        if epoch < promised || (epoch > promised && self.must_reject(from)) {
            out.push(Output::Send(from, Msg::Refused { epoch, promised, commit: self.commit_ballot() }));
            return;
        }
        if epoch > promised {
            self.give_way_to(epoch, out);
            self.disk.state.promised = epoch;
            self.disk.changed();
            self.pending_candidate = Some((from, self.now + CANDIDATE_TIMEOUT));
            self.quiet_since = self.now;
        }
        let state = &self.disk.state;
        let (ballot, incarnation) = (state.ballot, state.incarnation);
        let value = (ballot > have).then(|| state.value.clone());
        let incarnations = self.vote_incarnations();
        self.disk.send_when_durable(
            from,
            Msg::Promise { epoch, ballot, value, incarnation, incarnations },
            out,
        );
    }

    pub(crate) fn on_accept(
        &mut self,
        from: Node,
        ballot: Ballot,
        value: Rc<Value>,
        incarnation: u64,
        out: &mut Vec<Output>,
    ) {
        if self.learner.is_some() || ballot.epoch as Node != from {
            return;
        }
        let promised = self.disk.state.promised;
        if ballot.epoch < promised {
            let (epoch, commit) = (ballot.epoch, self.commit_ballot());
            out.push(Output::Send(from, Msg::Refused { epoch, promised, commit }));
            return;
        }
        self.accept_leader(from, ballot.epoch, out);
        if ballot > self.disk.state.ballot {
            self.store_value(ballot, value, incarnation.saturating_add(1));
        }
        if ballot == self.disk.state.ballot {
            let (incarnation, incarnations) = (self.disk.state.incarnation, self.vote_incarnations());
            self.disk.send_when_durable(from, Msg::Accepted { ballot, incarnation, incarnations }, out);
        }
    }

    /// Puts the value into the state to be saved; `proposer_incarnation` as in [`crate::PersistentState`].
    pub(crate) fn store_value(&mut self, ballot: Ballot, value: Rc<Value>, proposer_incarnation: u64) {
        let state = &mut self.disk.state;
        state.promised = state.promised.max(ballot.epoch);
        state.ballot = ballot;
        state.value = value;
        state.proposer_incarnation = proposer_incarnation;
        self.disk.changed();
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        from: Node,
        epoch: u64,
        commit: Ballot,
        nonce: u64,
        out: &mut Vec<Output>,
    ) {
        if epoch as Node != from {
            return;
        }
        if self.learner.is_some() || self.resuming.is_some() {
            if self.known_leader.is_none_or(|leader| leader.epoch <= epoch) {
                self.known_leader = Some(KnownLeader { node: from, epoch, heard_at: self.now });
            }
            out.push(Output::Send(from, Msg::Alive));
            return;
        }
        let promised = self.disk.state.promised;
        if epoch < promised {
            out.push(Output::Send(from, Msg::Refused { epoch, promised, commit: self.commit_ballot() }));
            return;
        }
        self.accept_leader(from, epoch, out);
        out.push(Output::Send(from, Msg::HeartbeatOk { epoch, nonce }));
        self.on_commit_report(from, commit, out);
    }

    /// Records the node as the leader of an epoch not below the promised one.
    fn accept_leader(&mut self, node: Node, epoch: u64, out: &mut Vec<Output>) {
        self.give_way_to(epoch, out);
        self.highest_epoch = self.highest_epoch.max(epoch);
        if epoch <= self.resigned_epoch {
            return;
        }
        self.pending_candidate = None;
        self.quiet_since = self.now;
        if self.known_leader.is_none_or(|leader| leader.epoch <= epoch) {
            self.known_leader = Some(KnownLeader { node, epoch, heard_at: self.now });
        }
    }

    /// Another node leads, or is a candidate for, a higher epoch: gives up the own epoch or candidacy.
    fn give_way_to(&mut self, epoch: u64, out: &mut Vec<Output>) {
        match &self.role {
            Role::Follower => {}
            Role::PreVoting(_) => self.role = Role::Follower,
            Role::Preparing(preparing) if preparing.epoch < epoch => self.role = Role::Follower,
            Role::Leading(leading) if leading.epoch < epoch => self.end_leadership(out),
            _ => {}
        }
    }

    pub(crate) fn on_step_down(&mut self, from: Node, epoch: u64, next: Node) {
        if epoch as Node != from {
            return;
        }
        // A heartbeat of this epoch that was sent earlier may arrive later.
        self.resigned_epoch = self.resigned_epoch.max(epoch);
        if self.known_leader.is_some_and(|leader| leader.node == from && leader.epoch == epoch) {
            self.known_leader = None;
            self.shorten_wait(if next == 0 || next == self.me { 0.0 } else { HANDOVER_TIMEOUT });
        }
    }

    pub(crate) fn on_fetch(&mut self, from: Node, have: Ballot, out: &mut Vec<Output>) {
        if let Some((ballot, value)) = &self.committed {
            if *ballot > have {
                out.push(Output::Send(from, Msg::CommittedValue { ballot: *ballot, value: value.clone() }));
            }
        }
    }

    pub(crate) fn on_committed_value(&mut self, ballot: Ballot, value: Rc<Value>, out: &mut Vec<Output>) {
        self.highest_epoch = self.highest_epoch.max(ballot.epoch);
        let state = &self.disk.state;
        if self.learner.is_none() && ballot > state.ballot && ballot.epoch >= state.promised {
            self.give_way_to(ballot.epoch, out);
            self.store_value(ballot, value.clone(), 0);
        }
        self.commit(ballot, value, out);
        if matches!(self.role, Role::Preparing(_)) && !self.is_member() {
            self.role = Role::Follower;
        }
    }
}
