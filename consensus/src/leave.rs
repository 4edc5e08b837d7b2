//! Leaving in order: who is told to end says so, and goes once it doesn't count any more.
//!
//! A restart looks the same from here as leaving for good. So a member is struck at its word only where the members
//! are more than the losses to be borne ask for, or a newcomer waits; else it goes at once, and its disk counts on.

use crate::membership::{JOIN, JOINER};
use crate::{Msg, Node, Output, Replica, Role, Value, MAX_MEMBERS};
use std::rc::Rc;

/// Said again so often, by datagrams.
const SAY: f64 = 0.25;
/// Who asked to be admitted and leaves stays for so long after it asked last: till then it may be admitted, and has to be
/// struck then.
const FORGOTTEN: f64 = JOINER + 0.3;
/// Who is heard so long after its last word on leaving is back.
const BACK: f64 = 1.0;

impl Replica {
    /// From here on this node tells that it leaves, stands for no epoch, and asks for no admission.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.enter(now);
        self.leaving.get_or_insert((self.now, self.now));
        self.leave_tick(out);
        self.disk.flush(self.now, out);
    }

    /// May this process end, as far as the agreement goes? It may if it doesn't count, or isn't to be struck now.
    pub fn can_stop(&self) -> bool {
        if self.learner.is_some() {
            return true;
        }
        // what was taken but isn't known to be committed says nothing yet
        let newest = self.newest();
        let Some((_, committed)) = &self.committed else { return false };
        let settled = committed.members == newest.members && committed.outgoing == newest.outgoing;
        let changing = !settled || !newest.outgoing.is_empty();
        let counts = newest.members.contains(&self.me) || committed.members.contains(&self.me);
        let kept = newest.members.len() <= self.least && !self.awaited();
        let asks = self.now - self.next_join < FORGOTTEN - JOIN;
        !changing && if counts { kept } else { !asks && !matches!(self.role, Role::Leading(_)) }
    }

    pub(crate) fn leave_wake(&self) -> f64 {
        self.leaving.map_or(f64::INFINITY, |(_, at)| at)
    }

    pub(crate) fn leave_tick(&mut self, out: &mut Vec<Output>) {
        let Some((_, at)) = self.leaving.as_mut().filter(|(_, at)| self.now >= *at) else { return };
        *at = self.now + SAY;
        // a leader tells the others too: one of them holds next
        for node in self.known() {
            out.push(Output::Send(node, Msg::Leave));
        }
        self.leavers.insert(self.me, self.now);
        self.change_members(out);
    }

    /// Noted by all, as each may be the leader next; who doesn't count any more is told so.
    pub(crate) fn on_leave(&mut self, from: Node, out: &mut Vec<Output>) {
        let value = self.newest();
        if value.members.contains(&from) || value.outgoing.contains(&from) {
            if self.leavers.len() < 2 * MAX_MEMBERS || self.leavers.contains_key(&from) {
                self.leavers.insert(from, self.now);
            }
            return self.change_members(out);
        }
        let struck = |(_, value): &(_, Rc<Value>)| !value.members.contains(&from);
        if self.committed.as_ref().is_some_and(struck) {
            let (promised, commit) = (self.disk.mem.promised, self.commit_ballot());
            out.push(Output::Send(from, Msg::PreVoteRefused { n: 0, promised, leader: 0, commit }));
        }
    }

    /// Any other word of a node that said it leaves: heard long after, it is there again.
    pub(crate) fn back_if_late(&mut self, from: Node, msg: &Msg) {
        let back = |at: &f64| matches!(msg, Msg::Join | Msg::Learn { .. }) || self.now - at > BACK;
        if !matches!(msg, Msg::Leave) && self.leavers.get(&from).is_some_and(back) {
            self.leavers.remove(&from);
        }
    }

    /// Did this node say that it leaves, and nothing since?
    pub(crate) fn leaves(&self, node: Node) -> bool {
        self.leavers.contains_key(&node)
    }
}
