//! A member that starts with a saved state asks the other members before it votes: its folder may be an older copy,
//! restored from a backup, or its disk may have lost its last writes.
//!
//! Whatever a majority accepted or promised with this member's vote is on the disks of the other members of that
//! majority too. So once all others have answered, the newest promise and value among the answers cover everything that
//! this member may have lost; taking them over has the same effect as a late `Accept` or `Prepare`. The member waits at
//! most [`RESUME_TIMEOUT`] for silent members: by then they count as lost, and an outdated state together with the
//! largest tolerated number of lost members is one loss more than is tolerated.
//!
//! A member that is told of a vote missing from its state, or of an incarnation later than that of its state, or that
//! finds a majority of its members in another cluster, learns the state anew like a member with an empty disk.

use crate::learn::{merge_incarnations, Learner};
use crate::{next_random, Ballot, Msg, Node, Output, PersistentState, Replica, Role, Value};
use std::rc::Rc;

/// Longest wait for the other members, seconds: after a power loss of all machines, all are back within one second.
const RESUME_TIMEOUT: f64 = 1.2;
/// Time after which the request is sent again, seconds.
const RESEND_INTERVAL: f64 = 0.1;

/// A check whether the saved state is the newest, in progress.
pub(crate) struct Resuming {
    nonce: u64,
    started_at: f64,
    next_send: f64,
    answered: Vec<Node>,
    /// Nodes that answered with a state of another cluster.
    other_cluster_nodes: Vec<Node>,
}

impl Resuming {
    pub(crate) fn new(now: f64, nonce: u64) -> Resuming {
        Resuming {
            nonce,
            started_at: now,
            next_send: now,
            answered: Vec::new(),
            other_cluster_nodes: Vec::new(),
        }
    }
}

impl Replica {
    /// Whether this node is still checking that its saved state is the newest.
    pub fn is_resuming(&self) -> bool {
        self.resuming.is_some()
    }

    pub(crate) fn resume_tick(&mut self, out: &mut Vec<Output>) {
        self.finish_resume_if_complete();
        let others = self.newest_value().others(self.me);
        let (have, cluster) = (self.disk.state.ballot, self.disk.state.value.cluster);
        let Some(resuming) = self.resuming.as_mut().filter(|resuming| self.now >= resuming.next_send) else {
            return;
        };
        resuming.next_send = self.now + RESEND_INTERVAL;
        let nonce = resuming.nonce;
        for node in others {
            // Members rank themselves for an election by the messages they received lately, so all are sent something.
            let answered = resuming.answered.contains(&node);
            let msg = if answered { Msg::Alive } else { Msg::Resume { nonce, have, cluster } };
            out.push(Output::Send(node, msg));
        }
    }

    pub(crate) fn resume_wake(&self) -> f64 {
        let wake = |resuming: &Resuming| resuming.next_send.min(resuming.started_at + RESUME_TIMEOUT);
        self.resuming.as_ref().map_or(f64::INFINITY, wake)
    }

    /// Another node has started: replies with this node's state once that is on disk.
    pub(crate) fn on_resume(
        &mut self,
        from: Node,
        nonce: u64,
        have: Ballot,
        cluster: u64,
        out: &mut Vec<Output>,
    ) {
        let forgotten = self.reported_votes.get(&from).is_some_and(|reported| *reported > have);
        let other_cluster = self.is_other_cluster(cluster);
        let PersistentState { promised, ballot, value, incarnations, .. } = &self.disk.state;
        let value = (*ballot > have || other_cluster).then(|| value.clone());
        let (promised, ballot, incarnations) = (*promised, *ballot, incarnations.clone());
        self.disk.send_when_durable(
            from,
            Msg::ResumeReply { nonce, promised, ballot, value, incarnations, forgotten },
            out,
        );
    }

    /// Handles an answer; `held` has the promise, ballot and incarnations of the answering node.
    pub(crate) fn on_resume_reply(
        &mut self,
        from: Node,
        nonce: u64,
        held: PersistentState,
        value: Option<Rc<Value>>,
        forgotten: bool,
        out: &mut Vec<Output>,
    ) {
        let other_cluster = value.as_ref().is_some_and(|value| self.is_other_cluster(value.cluster));
        let Some(resuming) = self.resuming.as_mut().filter(|resuming| resuming.nonce == nonce) else {
            return;
        };
        if other_cluster {
            if !resuming.other_cluster_nodes.contains(&from) {
                resuming.other_cluster_nodes.push(from);
            }
            let other_cluster_nodes = resuming.other_cluster_nodes.clone();
            if self.disk.state.value.has_quorum(|m| other_cluster_nodes.contains(&m)) {
                self.discard_state(self.disk.state.incarnation, out);
            }
            return;
        }
        if !resuming.answered.contains(&from) {
            resuming.answered.push(from);
        }
        let own =
            held.incarnations.iter().find(|recorded| recorded.0 == self.me).map_or(0, |recorded| recorded.1);
        if forgotten || own > self.disk.state.incarnation {
            return self.discard_state(own.max(self.disk.state.incarnation), out);
        }
        self.adopt(held, value);
        self.finish_resume_if_complete();
    }

    /// Takes over what another node has beyond the own state.
    fn adopt(&mut self, held: PersistentState, value: Option<Rc<Value>>) {
        let me = self.me;
        self.highest_epoch = self.highest_epoch.max(held.promised);
        let state = &mut self.disk.state;
        let before = (state.promised, state.ballot, state.incarnations.clone());
        state.promised = state.promised.max(held.promised);
        if let Some(value) = value.filter(|_| held.ballot > state.ballot) {
            (state.ballot, state.value, state.proposer_incarnation) = (held.ballot, value, 0);
        }
        merge_incarnations(&mut state.incarnations, held.incarnations, me);
        if before != (state.promised, state.ballot, state.incarnations.clone()) {
            self.disk.changed();
        }
    }

    /// Ends the check once all members have answered or the timeout has passed.
    fn finish_resume_if_complete(&mut self) {
        let others = self.newest_value().others(self.me);
        let Some(resuming) = &self.resuming else { return };
        let all = others.iter().all(|node| resuming.answered.contains(node));
        if !all && self.now < resuming.started_at + RESUME_TIMEOUT {
            return;
        }
        self.silent_at_resume = others.into_iter().filter(|node| !resuming.answered.contains(node)).collect();
        self.resuming = None;
        // From here on, only the rank among the members delays a candidacy.
        self.require_rank_delay();
    }

    /// Additional time for which `node` is known to have been silent before this node became the leader: it answered
    /// nothing while this node was resuming and has sent nothing since.
    pub(crate) fn silence_before_leading(&self, node: Node) -> f64 {
        let silent = self.silent_at_resume.contains(&node) && !self.last_heard.contains_key(&node);
        if silent {
            RESUME_TIMEOUT
        } else {
            0.0
        }
    }

    /// The state is not the newest that this node had: discards it and learns it anew in an incarnation after this one.
    pub(crate) fn discard_state(&mut self, incarnation: u64, out: &mut Vec<Output>) {
        self.end_leadership(out);
        self.hints = self.newest_value().others(self.me);
        self.learner = Some(Learner::after(self.now, next_random(&mut self.random), incarnation));
        self.resuming = None;
        self.committed = None;
        self.role = Role::Follower;
        self.disk.state = PersistentState { stale: true, owner: self.me, ..PersistentState::default() };
        self.disk.changed();
    }
}
