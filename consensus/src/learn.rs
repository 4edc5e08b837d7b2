//! A member whose disk is empty learns from others before it takes part in anything.
//!
//! It takes a new incarnation first, which those it asks keep on disk and tell with each of their votes. So a vote of
//! the incarnation before is counted only where none of them voted after its answer, and their answers tell the rest.

use crate::cluster::{relation, Relation};
use crate::{dice, Ballot, Msg, Node, Output, PersistentState, Replica, Value};
use std::rc::Rc;

const RESEND: f64 = 0.3;
const INCARNATIONS_MOST: usize = 32;

pub(crate) struct Learner {
    incarnation: u64,
    nonce: u64,
    next_send: f64,
    answered: Vec<Node>,
    promised: u64,
    best: (Ballot, Rc<Value>),
    /// Of the best, as in [`PersistentState`].
    proposer: u64,
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
            best: Default::default(),
            proposer: 0,
            incarnations: Vec::new(),
        }
    }

    /// After an incarnation that is known to have been.
    pub(crate) fn after(now: f64, nonce: u64, incarnation: u64) -> Learner {
        Learner { incarnation: incarnation.saturating_add(1), ..Learner::new(now, nonce) }
    }

    /// Did as many answer as make sure that one of them holds all that was acknowledged, and that none of the votes of
    /// the incarnations before counts without one of them? Of any majority the part without this member meets half of
    /// them: both others of three, three of five, two of four, the other one of two.
    fn complete(&self, me: Node) -> bool {
        let half = |members: &[Node]| {
            let answered = members.iter().filter(|m| **m != me && self.answered.contains(m)).count();
            2 * answered >= members.len()
        };
        let value = &self.best.1;
        let outgoing = half(&value.outgoing) || self.own_change(me);
        !value.members.is_empty() && half(&value.members) && outgoing
    }

    /// Is the best the change of the members that this node itself proposed, in the incarnation right before this one?
    ///
    /// It had that change on its disk before anybody was told of it. So whoever held an epoch after that one with its
    /// promise had met the change, and needed a majority of the new members, of which one has answered here: none
    /// did, as nobody promised a later epoch. And without its promise it would have needed a majority of the old
    /// members that leaves out all who answered, or a majority with one that didn't know the change any more, of an
    /// incarnation in between: there is neither if those that answered are a majority of the old members with this
    /// node, as each incarnation has learnt from half of the others.
    fn own_change(&self, me: Node) -> bool {
        let (ballot, value) = &self.best;
        let answered = value.outgoing.iter().filter(|m| **m != me && self.answered.contains(m)).count();
        ballot.epoch as Node == me
            && self.proposer == self.incarnation
            && self.promised <= ballot.epoch
            && value.outgoing.contains(&me)
            && 2 * (answered + 1) > value.outgoing.len()
    }
}

impl Replica {
    /// All that might be members or know of them.
    pub(crate) fn known(&self) -> Vec<Node> {
        let mut all = self.newest().others(self.me);
        if let Some(learner) = &self.learner {
            all.extend(learner.best.1.others(self.me));
            // who speaks to this node may be of those that the members are being changed to
            all.extend(self.heard.keys());
        }
        all.extend(self.seen.map(|seen| seen.node));
        all.extend(self.seeds.iter().chain(&self.hints));
        all.sort_unstable();
        all.dedup();
        all.retain(|&node| node != self.me);
        all
    }

    pub(crate) fn learn_tick(&mut self, out: &mut Vec<Output>) {
        let known = self.known();
        let Some(learner) = &mut self.learner else { return };
        if self.now < learner.next_send {
            return;
        }
        learner.next_send = self.now + RESEND;
        // those that answered too: of what they hold since, fewer may be enough (the members were being changed)
        for node in known {
            let (incarnation, nonce, have) = (learner.incarnation, learner.nonce, learner.best.0);
            let cluster = learner.best.1.cluster;
            out.push(Output::Send(node, Msg::Learn { incarnation, nonce, have, cluster }));
        }
    }

    pub(crate) fn learn_wake(&self) -> f64 {
        self.learner.as_ref().map_or(f64::INFINITY, |learner| learner.next_send)
    }

    /// Another one lost its disk: keeps its new incarnation, then tells what is held here.
    pub(crate) fn on_learn(
        &mut self,
        from: Node,
        (incarnation, nonce): (u64, u64),
        have: Ballot,
        cluster: u64,
        out: &mut Vec<Output>,
    ) {
        if self.learner.is_some() || !self.keep_incarnation(from, incarnation, nonce, out) {
            return;
        }
        // votes of the incarnation before bind it no more
        self.told.remove(&from);
        let newer = self.disk.mem.ballot > have || have == Ballot::default() || self.of_another(cluster);
        let mem = &self.disk.mem;
        let value = newer.then(|| mem.value.clone());
        let (promised, ballot, proposer) = (mem.promised, mem.ballot, mem.proposer);
        let incarnations = mem.incarnations.clone();
        let answer = Msg::LearnReply { incarnation, nonce, promised, ballot, value, incarnations, proposer };
        self.disk.tell(from, answer, out);
    }

    fn keep_incarnation(&mut self, node: Node, incarnation: u64, nonce: u64, out: &mut Vec<Output>) -> bool {
        let value = self.disk.mem.value.clone();
        let incarnations = &mut self.disk.mem.incarnations;
        if let Some(kept) = incarnations.iter_mut().find(|kept| kept.0 == node) {
            if incarnation < kept.1 || (incarnation == kept.1 && nonce != kept.2) {
                out.push(Output::Send(node, Msg::NewerIncarnation { incarnation: kept.1 }));
                return false;
            }
            if *kept != (node, incarnation, nonce) {
                *kept = (node, incarnation, nonce);
                self.disk.changed();
            }
            return true;
        }
        if incarnations.len() >= INCARNATIONS_MOST {
            let counts = |m: &Node| value.members.contains(m) || value.outgoing.contains(m);
            let Some(stranger) = incarnations.iter().position(|kept| !counts(&kept.0)) else { return false };
            incarnations.remove(stranger);
        }
        incarnations.push((node, incarnation, nonce));
        self.disk.changed();
        true
    }

    pub(crate) fn on_newer_incarnation(&mut self, incarnation: u64) {
        let Some(learner) = &mut self.learner else { return };
        if incarnation >= learner.incarnation {
            *learner = Learner::after(self.now, dice(&mut self.random), incarnation);
        }
    }

    pub(crate) fn on_learnt(
        &mut self,
        from: Node,
        incarnation: (u64, u64),
        held: PersistentState,
        value: Option<Rc<Value>>,
    ) {
        let PersistentState { promised, ballot, incarnations, proposer, .. } = held;
        let Some(learner) = &mut self.learner else { return };
        if incarnation != (learner.incarnation, learner.nonce) {
            return;
        }
        // what was learnt of one cluster and what of another don't make a whole
        match value.as_ref().map_or(Relation::Same, |v| relation(learner.best.1.cluster, v.cluster)) {
            Relation::Same => {}
            Relation::Newer => learner.answered.clear(),
            Relation::Older | Relation::Other => return,
        }
        match value {
            Some(value) if learner.answered.is_empty() || ballot > learner.best.0 => {
                (learner.best, learner.proposer) = ((ballot, value), proposer);
            }
            None if ballot > learner.best.0 => return,
            _ => {}
        }
        if !learner.answered.contains(&from) {
            learner.answered.push(from);
        }
        learner.promised = learner.promised.max(promised).max(ballot.epoch);
        merge_incarnations(&mut learner.incarnations, incarnations, self.me);
        if learner.complete(self.me) {
            self.rejoin();
        }
    }

    /// Enough is learnt: from now on this is a member like others, or asks to become one.
    fn rejoin(&mut self) {
        let Some(learner) = self.learner.take() else { return };
        let Learner { incarnation, promised, best: (ballot, value), incarnations, proposer, .. } = learner;
        let (owner, stale) = (self.me, false);
        self.disk.mem =
            PersistentState { promised, ballot, value, stale, incarnation, incarnations, owner, proposer };
        self.disk.changed();
        self.floor = self.floor.max(promised);
        self.calm = self.now;
        self.next_join = self.now;
    }
}

/// Takes the newer incarnations of others over.
pub(crate) fn merge_incarnations(own: &mut Vec<(Node, u64, u64)>, told: Vec<(Node, u64, u64)>, me: Node) {
    for (node, incarnation, nonce) in told {
        if let Some(kept) = own.iter_mut().find(|kept| kept.0 == node) {
            if kept.1 < incarnation {
                *kept = (node, incarnation, nonce);
            }
        } else if node != me && own.len() < INCARNATIONS_MOST {
            own.push((node, incarnation, nonce));
        }
    }
}
