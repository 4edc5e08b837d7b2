//! Orderly shutdown: a node that is told to shut down announces it, and stops once it is no longer a member.
//!
//! This module can't distinguish a restart from leaving for good. So a leaving member is removed only if there are more
//! members than the tolerated losses require, or if a node waits to be admitted. Otherwise it stops at once and stays a
//! member with the state on its disk.

use crate::membership::{JOINER_TIMEOUT, JOIN_INTERVAL};
use crate::{Msg, Node, Output, Replica, Role, Value, MAX_MEMBERS};
use std::rc::Rc;

/// Time between two announcements, seconds; they are sent as datagrams and may be lost.
const LEAVE_INTERVAL: f64 = 0.25;
/// A leaving node keeps running this long, seconds, after its last request to be admitted: until then it may still be
/// admitted and would have to be removed again.
const JOIN_EXPIRY: f64 = JOINER_TIMEOUT + 0.3;
/// A node that sends another message this long, seconds, after its last announcement no longer leaves.
const RETURN_DELAY: f64 = 1.0;

impl Replica {
    /// Starts an orderly shutdown: from now on this node announces that it leaves, doesn't become a candidate, and
    /// doesn't ask to be admitted.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.leaving.get_or_insert((self.now, self.now));
        self.leave_tick(out);
        self.disk.flush(self.now, out);
    }

    /// Whether consensus allows this process to stop: it is not a member, or it is one that will not be removed now.
    pub fn can_stop(&self) -> bool {
        if self.learner.is_some() {
            return true;
        }
        // An accepted value that isn't known to be committed decides nothing yet.
        let newest_value = self.newest_value();
        let Some((_, committed)) = &self.committed else { return false };
        let settled =
            committed.members == newest_value.members && committed.outgoing == newest_value.outgoing;
        let changing = !settled || !newest_value.outgoing.is_empty();
        let is_voter = newest_value.members.contains(&self.me) || committed.members.contains(&self.me);
        let stays_member = newest_value.members.len() <= self.min_members && !self.has_waiting_joiner();
        let join_pending = self.now - self.next_join < JOIN_EXPIRY - JOIN_INTERVAL;
        !changing
            && if is_voter { stays_member } else { !join_pending && !matches!(self.role, Role::Leading(_)) }
    }

    pub(crate) fn leave_wake(&self) -> f64 {
        self.leaving.map_or(f64::INFINITY, |(_, next)| next)
    }

    pub(crate) fn leave_tick(&mut self, out: &mut Vec<Output>) {
        let Some((_, next)) = self.leaving.as_mut().filter(|(_, next)| self.now >= *next) else { return };
        *next = self.now + LEAVE_INTERVAL;
        // A leader announces it to the others too, since one of them is the next leader.
        for node in self.known_nodes() {
            out.push(Output::Send(node, Msg::Leave));
        }
        self.departing_nodes.insert(self.me, self.now);
        self.change_members(out);
    }

    /// Every member records the announcement, since each may be the next leader. A sender that is no longer a member is
    /// notified of that.
    pub(crate) fn on_leave(&mut self, from: Node, out: &mut Vec<Output>) {
        let value = self.newest_value();
        if value.members.contains(&from) || value.outgoing.contains(&from) {
            if self.departing_nodes.len() < 2 * MAX_MEMBERS || self.departing_nodes.contains_key(&from) {
                self.departing_nodes.insert(from, self.now);
            }
            return self.change_members(out);
        }
        let removed = |(_, value): &(_, Rc<Value>)| !value.members.contains(&from);
        if self.committed.as_ref().is_some_and(removed) {
            let (promised, commit) = (self.disk.state.promised, self.commit_ballot());
            out.push(Output::Send(from, Msg::PreVoteRefused { nonce: 0, promised, leader: 0, commit }));
        }
    }

    /// Forgets the announcement of a node that is back: it sends `Join` or `Learn`, or any message but `Leave` more than
    /// `RETURN_DELAY` after its announcement.
    pub(crate) fn clear_departure(&mut self, from: Node, msg: &Msg) {
        let returned =
            |at: &f64| matches!(msg, Msg::Join | Msg::Learn { .. }) || self.now - at > RETURN_DELAY;
        if !matches!(msg, Msg::Leave) && self.departing_nodes.get(&from).is_some_and(returned) {
            self.departing_nodes.remove(&from);
        }
    }

    /// Whether the node has announced that it leaves and has not come back since.
    pub(crate) fn is_leaving(&self, node: Node) -> bool {
        self.departing_nodes.contains_key(&node)
    }
}
