//! Who counts: the leader admits and strikes, one change at a time, carried by the old and the new members.

use crate::{Msg, Node, Output, Replica, Role, Value, FRESH, MAX_MEMBERS};
use std::cmp::Ordering;

/// A member unheard for so long is lost.
const SILENT: f64 = 5.0;
/// The same where a successor is there already: it may have been taken away for good, and then it counts only until
/// the successor has had its time to catch up, 4 s at the least.
const SUCCEEDED: f64 = 1.2;
pub(crate) const JOIN: f64 = 0.4;
const JOINERS_MOST: usize = 8;
/// A joiner unheard for so long is forgotten.
pub(crate) const JOINER: f64 = 1.5;
/// No members of so few is made smaller.
pub(crate) const MIN_MEMBERS: usize = 3;

impl Replica {
    /// Asks to be admitted while not in the members, with what was learnt on disk.
    pub(crate) fn join_tick(&mut self, out: &mut Vec<Output>) {
        if self.member() || self.leaving.is_some() || self.now < self.next_join || !self.disk.idle() {
            return;
        }
        self.next_join = self.now + JOIN;
        for node in self.known() {
            out.push(Output::Send(node, Msg::Join));
        }
    }

    /// The leader notes the joiner; others tell it what is committed, so that it learns whom to ask.
    pub(crate) fn on_join(&mut self, from: Node, out: &mut Vec<Output>) {
        if !self.newest().members.contains(&from) {
            self.join_heard = self.now;
        }
        if !matches!(self.role, Role::Leading(_)) {
            let leader = self.leader(self.now).map_or(0, |(node, _)| node);
            let (promised, commit) = (self.disk.mem.promised, self.commit_ballot());
            out.push(Output::Send(from, Msg::PreVoteRefused { n: 0, promised, leader, commit }));
        } else if self.joiners.contains_key(&from) || self.joiners.len() < JOINERS_MOST {
            self.joiners.entry(from).or_insert((self.now, self.now)).1 = self.now;
        }
    }

    /// Does somebody wait to be admitted?
    pub(crate) fn awaited(&self) -> bool {
        self.now - self.join_heard <= JOINER
    }

    /// Begins or ends a change of the members, if nothing is on its way.
    pub(crate) fn change_members(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        let (now, since) = (self.now, leading.since);
        let value = self.disk.mem.value.clone();
        self.joiners.retain(|node, (_, at)| now - *at <= JOINER && !value.members.contains(node));
        let Role::Leading(leading) = &self.role else { return };
        if !leading.won || leading.in_flight() {
            return;
        }
        if !value.outgoing.is_empty() {
            let done = Value { outgoing: Vec::new(), ..Value::clone(&value) };
            return self.launch_next(None, done, out);
        }
        let quiet = |node: Node| match self.heard.get(&node) {
            _ if node == self.me => 0.0,
            Some(at) => now - at.max(since),
            None => now - since + self.silent_before(node),
        };
        // First those that said so, the leader itself after others, then who is silent for longest. The leader itself
        // not while another may be gone, who answered nothing that was sent since: the next leader would judge its
        // silence from the beginning.
        let after = self.leaving.map_or(now, |(since, _)| since);
        let sure = |m: Node| m == self.me || leading.answered(m) >= after || quiet(m) > SUCCEEDED;
        let clear = value.members.iter().all(|&m| sure(m));
        let departed = |span: f64| {
            let gone = |&m: &Node| quiet(m) > span || self.leaves(m) && (m != self.me || clear);
            let first = |m: Node| (self.leaves(m), m != self.me, quiet(m));
            let all = value.members.iter().copied().filter(gone);
            all.max_by(|a, b| first(*a).partial_cmp(&first(*b)).unwrap_or(Ordering::Equal))
        };
        let (joiner, asks) = self.joiners.iter().next().map_or((None, now), |(node, at)| (Some(*node), at.0));
        // each answered what was sent after the newcomer had asked: who is gone is to make room for it, not to stay
        // beside it
        let there = |m: Node| m == self.me || leading.answered(m) >= asks;
        let calm = value.members.iter().all(|&m| there(m) && quiet(m) <= FRESH);
        let mut members = value.members.clone();
        match (joiner, departed(SUCCEEDED)) {
            (Some(joiner), Some(departed)) => {
                members.retain(|&m| m != departed);
                members.push(joiner);
            }
            (Some(joiner), None) if calm && members.len() < MAX_MEMBERS => members.push(joiner),
            // More than are needed: each one that is gone only makes the majority larger.
            (None, Some(departed)) if members.len() > self.least => members.retain(|&m| m != departed),
            // An even number bears no more losses than one member less.
            (None, _)
                if members.len().is_multiple_of(2) && members.len() > self.seeds.len().max(MIN_MEMBERS) =>
            {
                let silent = members.iter().copied().filter(|&m| quiet(m) > SILENT);
                let Some(silent) = silent.max_by(|a, b| quiet(*a).total_cmp(&quiet(*b))) else { return };
                members.retain(|&m| m != silent);
            }
            _ => return,
        }
        members.sort_unstable();
        let next = Value { members, outgoing: value.members.clone(), ..Value::clone(&value) };
        if next.carried(|m| Some(m) == joiner || quiet(m) <= FRESH) {
            self.launch_next(None, next, out);
        }
    }
}
