//! Membership: the leader admits and removes members, one change at a time, each agreed by a majority of the old and of
//! the new members.

use crate::{Msg, Node, Output, Replica, Role, Value, LIVENESS_TIMEOUT, MAX_MEMBERS};
use std::cmp::Ordering;

/// A member that sent nothing for this long, seconds, is considered lost.
const REMOVAL_TIMEOUT: f64 = 5.0;
/// The same timeout when a replacement is already waiting. The silent member may be gone for good, and then it counts
/// as a loss only until the replacement has had its time to catch up, which is at least 4 s.
const REPLACEMENT_TIMEOUT: f64 = 1.2;
/// Removals without a replacement are put off for this long, seconds, after the host last asked for it: other members may
/// need a little longer than this one, see [`Replica::defer_removals`].
const DEFERRAL_MARGIN: f64 = 0.5;
/// Longest time for which such removals are put off, seconds. A process that is told to end waits no longer for it.
const MAX_REMOVAL_DEFERRAL: f64 = 3.0;
/// Time between two requests to be admitted, seconds.
pub(crate) const JOIN_INTERVAL: f64 = 0.4;
/// Most nodes that wait to be admitted at the same time.
const MAX_JOINERS: usize = 8;
/// A node that didn't repeat its request for this long, seconds, no longer waits to be admitted.
pub(crate) const JOINER_TIMEOUT: f64 = 1.5;
/// The membership is never reduced below this number.
pub(crate) const MIN_MEMBERS: usize = 3;

impl Replica {
    /// Asks to be admitted while this node is not a member, once the state it has learnt is on disk.
    pub(crate) fn join_tick(&mut self, out: &mut Vec<Output>) {
        if self.is_member() || self.leaving.is_some() || self.now < self.next_join || !self.disk.is_synced() {
            return;
        }
        self.next_join = self.now + JOIN_INTERVAL;
        for node in self.known_nodes() {
            out.push(Output::Send(node, Msg::Join));
        }
    }

    /// The leader records the joining node; other nodes reply with the leader and the newest committed ballot, from
    /// which the joining node finds the members.
    pub(crate) fn on_join(&mut self, from: Node, out: &mut Vec<Output>) {
        if !self.newest_value().members.contains(&from) {
            self.last_join_request = self.now;
        }
        if !matches!(self.role, Role::Leading(_)) {
            let leader = self.leader(self.now).map_or(0, |(node, _)| node);
            let (promised, commit) = (self.disk.state.promised, self.commit_ballot());
            out.push(Output::Send(from, Msg::PreVoteRefused { nonce: 0, promised, leader, commit }));
        } else if self.joiners.contains_key(&from) || self.joiners.len() < MAX_JOINERS {
            self.joiners.entry(from).or_insert((self.now, self.now)).1 = self.now;
        }
    }

    /// Puts off removals without a replacement while `deferred` is set, for a bounded time: the host still fetches what the
    /// member removed before held.
    pub fn defer_removals(&mut self, now: f64, deferred: bool) {
        self.advance_clock(now);
        if deferred {
            self.removals_deferred.get_or_insert((self.now, self.now)).1 = self.now;
        } else {
            self.removals_deferred.take_if(|(_, last)| self.now - *last >= DEFERRAL_MARGIN);
        }
    }

    /// Whether the next removal without a replacement has to wait.
    fn removal_must_wait(&self) -> bool {
        let still_deferred =
            |(first, last)| self.now - last < DEFERRAL_MARGIN && self.now - first < MAX_REMOVAL_DEFERRAL;
        self.removals_deferred.is_some_and(still_deferred)
    }

    /// Whether a node waits to be admitted.
    pub(crate) fn has_waiting_joiner(&self) -> bool {
        self.now - self.last_join_request <= JOINER_TIMEOUT
    }

    /// Starts or completes a membership change if no proposal is in progress.
    pub(crate) fn change_members(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        let (now, silence_from) = (self.now, leading.silence_from);
        let value = self.disk.state.value.clone();
        self.joiners.retain(|node, (_, at)| now - *at <= JOINER_TIMEOUT && !value.members.contains(node));
        let Role::Leading(leading) = &self.role else { return };
        if !leading.established || leading.has_proposal() {
            return;
        }
        if !value.outgoing.is_empty() {
            let done = Value { outgoing: Vec::new(), ..Value::clone(&value) };
            return self.propose_next(None, done, out);
        }
        let silence = |node: Node| match self.last_heard.get(&node) {
            _ if node == self.me => 0.0,
            Some(at) => now - at.max(silence_from),
            None => now - silence_from + self.silence_before_leading(node),
        };
        // Members that announced their departure are removed first, the leader last among them, then the member that is
        // silent for longest. The leader is not removed while another member may be lost, i.e. has answered no
        // heartbeat sent since the leader began to leave: the next leader would measure that member's silence from
        // zero.
        let leave_requested_at = self.leaving.map_or(now, |(since, _)| since);
        let contact_confirmed = |m: Node| {
            m == self.me || leading.answered(m) >= leave_requested_at || silence(m) > REPLACEMENT_TIMEOUT
        };
        let all_confirmed = value.members.iter().all(|&m| contact_confirmed(m));
        let departed = |timeout: f64| {
            let gone =
                |&m: &Node| silence(m) > timeout || self.is_leaving(m) && (m != self.me || all_confirmed);
            let priority = |m: Node| (self.is_leaving(m), m != self.me, silence(m));
            let all = value.members.iter().copied().filter(gone);
            all.max_by(|a, b| priority(*a).partial_cmp(&priority(*b)).unwrap_or(Ordering::Equal))
        };
        let (joiner, asked_at) =
            self.joiners.iter().next().map_or((None, now), |(node, at)| (Some(*node), at.0));
        // Every member has answered a heartbeat sent after the joining node's first request: a lost member must be
        // replaced by the joining node, not kept beside it.
        let answered_since = |m: Node| m == self.me || leading.answered(m) >= asked_at;
        let all_live = value.members.iter().all(|&m| answered_since(m) && silence(m) <= LIVENESS_TIMEOUT);
        let mut members = value.members.clone();
        match (joiner, departed(REPLACEMENT_TIMEOUT)) {
            (Some(joiner), Some(departed)) => {
                members.retain(|&m| m != departed);
                members.push(joiner);
            }
            (Some(joiner), None) if all_live && members.len() < MAX_MEMBERS => members.push(joiner),
            // There are more members than needed: a lost one only increases the number of votes that a majority needs.
            (None, Some(departed)) if members.len() > self.min_members => members.retain(|&m| m != departed),
            // An even number of members tolerates no more losses than one member less.
            (None, _)
                if members.len().is_multiple_of(2) && members.len() > self.seeds.len().max(MIN_MEMBERS) =>
            {
                let lost = members.iter().copied().filter(|&m| silence(m) > REMOVAL_TIMEOUT);
                let Some(lost) = lost.max_by(|a, b| silence(*a).total_cmp(&silence(*b))) else { return };
                members.retain(|&m| m != lost);
            }
            _ => return,
        }
        if members.len() < value.members.len() && self.removal_must_wait() {
            return;
        }
        members.sort_unstable();
        let next = Value { members, outgoing: value.members.clone(), ..Value::clone(&value) };
        if next.has_quorum(|m| Some(m) == joiner || silence(m) <= LIVENESS_TIMEOUT) {
            self.propose_next(None, next, out);
        }
    }
}
