//! The part that every member plays: promises, votes, and passing on what is committed.

use crate::{Ballot, Msg, Node, Output, Replica, Role, Seen, Value};
use std::rc::Rc;

/// No epoch is promised while a leader was heard this lately.
const LOYAL: f64 = 0.6;
/// So long the one that was named to hold next has for its first words, before others stand.
const HANDED: f64 = 0.5;
/// So long others are put off once a candidate was promised an epoch.
const PATIENCE: f64 = 0.8;

impl Replica {
    /// Is there a leader, or a candidate under way, that `candidate` has to leave alone?
    pub(crate) fn bound(&self, candidate: Node) -> bool {
        let seen = self.seen.is_some_and(|seen| seen.node != candidate && self.now - seen.at < LOYAL);
        let patient = self.patience.is_some_and(|(node, until)| node != candidate && self.now < until);
        let own = match &self.role {
            Role::Leading(leading) => leading.backed(&self.disk.mem.value, self.me, self.now, LOYAL),
            Role::Preparing(_) => candidate > self.me,
            _ => false,
        };
        seen || patient || own
    }

    pub(crate) fn on_ask(&mut self, from: Node, n: u64, out: &mut Vec<Output>) {
        if self.learner.is_some() {
            return;
        }
        let promised = self.disk.mem.promised;
        let answer = if self.bound(from) {
            let leader = self.leader(self.now).map_or(0, |(node, _)| node);
            Msg::PreVoteRefused { n, promised, leader, commit: self.commit_ballot() }
        } else {
            Msg::PreVoteGranted { n, promised }
        };
        out.push(Output::Send(from, answer));
    }

    pub(crate) fn on_prepare(&mut self, from: Node, epoch: u64, have: Ballot, out: &mut Vec<Output>) {
        if self.learner.is_some() || epoch as Node != from {
            return;
        }
        self.floor = self.floor.max(epoch);
        let promised = self.disk.mem.promised;
        if epoch < promised || (epoch > promised && self.bound(from)) {
            out.push(Output::Send(from, Msg::Refused { epoch, promised, commit: self.commit_ballot() }));
            return;
        }
        if epoch > promised {
            self.yield_to(epoch, out);
            self.disk.mem.promised = epoch;
            self.disk.changed();
            self.patience = Some((from, self.now + PATIENCE));
            self.calm = self.now;
        }
        let mem = &self.disk.mem;
        let (ballot, incarnation) = (mem.ballot, mem.incarnation);
        let value = (ballot > have).then(|| mem.value.clone());
        let incarnations = self.incarnations();
        self.disk.tell(from, Msg::Promise { epoch, ballot, value, incarnation, incarnations }, out);
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
        let promised = self.disk.mem.promised;
        if ballot.epoch < promised {
            let (epoch, commit) = (ballot.epoch, self.commit_ballot());
            out.push(Output::Send(from, Msg::Refused { epoch, promised, commit }));
            return;
        }
        self.follow(from, ballot.epoch, out);
        if ballot > self.disk.mem.ballot {
            self.take(ballot, value, incarnation.saturating_add(1));
        }
        if ballot == self.disk.mem.ballot {
            let (incarnation, incarnations) = (self.disk.mem.incarnation, self.incarnations());
            self.disk.tell(from, Msg::Accepted { ballot, incarnation, incarnations }, out);
        }
    }

    /// Makes the value the one to be saved; `proposer` as in [`crate::PersistentState`].
    pub(crate) fn take(&mut self, ballot: Ballot, value: Rc<Value>, proposer: u64) {
        let mem = &mut self.disk.mem;
        mem.promised = mem.promised.max(ballot.epoch);
        mem.ballot = ballot;
        mem.value = value;
        mem.proposer = proposer;
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
            if self.seen.is_none_or(|seen| seen.epoch <= epoch) {
                self.seen = Some(Seen { node: from, epoch, at: self.now });
            }
            out.push(Output::Send(from, Msg::Alive));
            return;
        }
        let promised = self.disk.mem.promised;
        if epoch < promised {
            out.push(Output::Send(from, Msg::Refused { epoch, promised, commit: self.commit_ballot() }));
            return;
        }
        self.follow(from, epoch, out);
        out.push(Output::Send(from, Msg::HeartbeatOk { epoch, nonce }));
        self.told_commit(from, commit, out);
    }

    /// Takes the node for the leader of an epoch not below the promised one.
    fn follow(&mut self, node: Node, epoch: u64, out: &mut Vec<Output>) {
        self.yield_to(epoch, out);
        self.floor = self.floor.max(epoch);
        if epoch <= self.over {
            return;
        }
        self.patience = None;
        self.calm = self.now;
        if self.seen.is_none_or(|seen| seen.epoch <= epoch) {
            self.seen = Some(Seen { node, epoch, at: self.now });
        }
    }

    /// Another node has, or is to have, a higher epoch: gives up the own one or the try for it.
    fn yield_to(&mut self, epoch: u64, out: &mut Vec<Output>) {
        match &self.role {
            Role::Follower => {}
            Role::Asking(_) => self.role = Role::Follower,
            Role::Preparing(preparing) if preparing.epoch < epoch => self.role = Role::Follower,
            Role::Leading(leading) if leading.epoch < epoch => self.lose(out),
            _ => {}
        }
    }

    pub(crate) fn on_quit(&mut self, from: Node, epoch: u64, next: Node) {
        if epoch as Node != from {
            return;
        }
        // a heartbeat that was sent before may come after
        self.over = self.over.max(epoch);
        if self.seen.is_some_and(|seen| seen.node == from && seen.epoch == epoch) {
            self.seen = None;
            self.hurry(if next == 0 || next == self.me { 0.0 } else { HANDED });
        }
    }

    pub(crate) fn on_fetch(&mut self, from: Node, have: Ballot, out: &mut Vec<Output>) {
        if let Some((ballot, value)) = &self.committed {
            if *ballot > have {
                out.push(Output::Send(from, Msg::CommittedValue { ballot: *ballot, value: value.clone() }));
            }
        }
    }

    pub(crate) fn on_news(&mut self, ballot: Ballot, value: Rc<Value>, out: &mut Vec<Output>) {
        self.floor = self.floor.max(ballot.epoch);
        let mem = &self.disk.mem;
        if self.learner.is_none() && ballot > mem.ballot && ballot.epoch >= mem.promised {
            self.yield_to(ballot.epoch, out);
            self.take(ballot, value.clone(), 0);
        }
        self.commit(ballot, value, out);
        if matches!(self.role, Role::Preparing(_)) && !self.member() {
            self.role = Role::Follower;
        }
    }
}
