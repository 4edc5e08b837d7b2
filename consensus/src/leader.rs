//! The leader of an epoch: heartbeats, proposals, read barriers.

use crate::cluster;
use crate::{
    next_random, Ballot, Msg, Node, Outcome, Output, Replica, Role, Value, VoteTally, LIVENESS_TIMEOUT,
    REDIRECT_TIMEOUT,
};
use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
};

/// Time between two heartbeats, seconds.
const HEARTBEAT_INTERVAL: f64 = 0.15;
/// Shortest time between heartbeats that are sent for read barriers, seconds.
const MIN_HEARTBEAT_INTERVAL: f64 = 0.02;
/// Time after which a proposal is sent again to members that didn't vote, seconds.
const RESEND_INTERVAL: f64 = 0.25;
/// The leader steps down if its own save takes longer than this, seconds.
const SAVE_TIMEOUT: f64 = 1.2;
/// The leader steps down if no majority answers for this long, seconds.
const QUORUM_TIMEOUT: f64 = 2.0;
/// A read barrier fails if it isn't confirmed within this time, seconds.
const BARRIER_TIMEOUT: f64 = 2.0;
/// Most read barriers that wait at the same time.
const MAX_BARRIERS: usize = 256;
/// Most heartbeats whose sending times are recorded.
const MAX_SENT_HEARTBEATS: usize = 128;

/// A proposal in progress.
struct Proposal {
    ticket: Option<u64>,
    ballot: Ballot,
    value: Rc<Value>,
    tally: VoteTally,
    next_send: f64,
    /// The proposal is sent only once it is on the leader's own disk.
    awaits_own_save: bool,
}

/// A read barrier in progress.
struct Barrier {
    ticket: u64,
    /// The first heartbeat that was sent after the call.
    min_nonce: u64,
    started_at: f64,
}

/// The state of a leader.
pub(crate) struct Leading {
    pub(crate) epoch: u64,
    /// Whether the value that this leader took over is committed.
    pub(crate) established: bool,
    /// Silence of other members is measured from this time at the earliest.
    pub(crate) silence_from: f64,
    nonce: u64,
    last_heartbeat: f64,
    next_heartbeat: f64,
    /// Nonces and sending times of the latest heartbeats.
    sent: VecDeque<(u64, f64)>,
    /// The latest heartbeat that each member answered: its nonce and sending time.
    answered: BTreeMap<Node, (u64, f64)>,
    proposal: Option<Proposal>,
    /// The proposal to start next: ticket and document.
    queued: Option<(u64, Vec<u8>)>,
    barriers: VecDeque<Barrier>,
}

impl Leading {
    /// Whether a majority answered heartbeats sent within `timeout`.
    pub(crate) fn has_quorum_contact(&self, value: &Value, me: Node, now: f64, timeout: f64) -> bool {
        let from = (now - timeout).max(self.silence_from);
        value.has_quorum(|m| m == me || self.answered(m) >= from)
    }

    /// The sending time of the latest heartbeat that the node answered.
    pub(crate) fn answered(&self, node: Node) -> f64 {
        self.answered.get(&node).map_or(f64::NEG_INFINITY, |(_, sent)| *sent)
    }

    /// Restarts the measurement of silence after a pause of this process.
    pub(crate) fn discount_pause(&mut self, now: f64) {
        self.silence_from = now;
    }

    /// Whether a proposal is in progress.
    pub(crate) fn has_proposal(&self) -> bool {
        self.proposal.is_some()
    }

    pub(crate) fn wake(&self) -> f64 {
        let resend = self.proposal.as_ref().map_or(f64::INFINITY, |proposal| proposal.next_send);
        self.next_heartbeat.min(resend)
    }
}

impl Replica {
    /// The epoch that this node leads, if the value it took over is committed and a majority answered lately.
    pub fn leading_epoch(&self, now: f64) -> Option<u64> {
        match &self.role {
            Role::Leading(leading) if leading.established => leading
                .has_quorum_contact(&self.disk.state.value, self.me, now, LIVENESS_TIMEOUT)
                .then_some(leading.epoch),
            _ => None,
        }
    }

    /// Proposes a new document. A second proposal waits for the first; a third is rejected as busy.
    pub fn propose(&mut self, now: f64, ticket: u64, body: Vec<u8>, out: &mut Vec<Output>) {
        self.advance_clock(now);
        let is_leading = self.leading_epoch(self.now).is_some();
        match &mut self.role {
            Role::Leading(leading) if is_leading => {
                if leading.queued.is_some() {
                    out.push(Output::Done { ticket, outcome: Outcome::Busy });
                } else {
                    leading.queued = Some((ticket, body));
                    self.start_queued_proposal(out);
                }
            }
            _ => out.push(Output::Done { ticket, outcome: Outcome::NotLeader }),
        }
        self.disk.flush(self.now, out);
    }

    /// Starts a read barrier: it ends as `Confirmed` once a majority has confirmed this epoch after the call.
    pub fn read_barrier(&mut self, now: f64, ticket: u64, out: &mut Vec<Output>) {
        self.advance_clock(now);
        match &mut self.role {
            Role::Leading(leading) if leading.established => {
                if leading.barriers.len() >= MAX_BARRIERS {
                    return out.push(Output::Done { ticket, outcome: Outcome::Busy });
                }
                let (min_nonce, started_at) = (leading.nonce + 1, self.now);
                leading.barriers.push_back(Barrier { ticket, min_nonce, started_at });
                leading.next_heartbeat =
                    leading.next_heartbeat.min(self.now.max(leading.last_heartbeat + MIN_HEARTBEAT_INTERVAL));
                if leading.next_heartbeat <= self.now {
                    self.heartbeat(out);
                }
            }
            _ => out.push(Output::Done { ticket, outcome: Outcome::NotLeader }),
        }
    }

    /// A majority promised the epoch: proposes the newest value among the promises again.
    pub(crate) fn become_leader(&mut self, epoch: u64, index: u64, value: Rc<Value>, out: &mut Vec<Output>) {
        self.known_leader = None;
        self.pending_candidate = None;
        self.joiners.clear();
        self.role = Role::Leading(Leading {
            epoch,
            established: false,
            silence_from: self.now,
            nonce: next_random(&mut self.random) >> 1,
            last_heartbeat: self.now,
            next_heartbeat: self.now,
            sent: VecDeque::new(),
            answered: BTreeMap::new(),
            proposal: None,
            queued: None,
            barriers: VecDeque::new(),
        });
        self.start_proposal(None, Ballot { epoch, index }, value, out);
        self.heartbeat(out);
    }

    /// Starts a proposal: votes for the value and sends it to all members.
    fn start_proposal(
        &mut self,
        ticket: Option<u64>,
        ballot: Ballot,
        value: Rc<Value>,
        out: &mut Vec<Output>,
    ) {
        self.store_value(ballot, value.clone(), self.disk.state.incarnation.saturating_add(1));
        if let Role::Leading(leading) = &mut self.role {
            let tally = VoteTally::default();
            // No other node may have a membership change before it is on this node's disk, see
            // `Learner::is_own_change`.
            let awaits_own_save = !value.outgoing.is_empty();
            leading.proposal =
                Some(Proposal { ticket, ballot, value, tally, next_send: self.now, awaits_own_save });
            self.send_proposal(out);
        }
    }

    /// Proposes the next value; no other proposal may be in progress.
    pub(crate) fn propose_next(&mut self, ticket: Option<u64>, mut value: Value, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        value.cluster = cluster::next_number(value.cluster, next_random(&mut self.random));
        let ballot = Ballot { epoch: leading.epoch, index: self.disk.state.ballot.index.saturating_add(1) };
        self.start_proposal(ticket, ballot, Rc::new(value), out);
    }

    fn start_queued_proposal(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &mut self.role else { return };
        if leading.proposal.is_some() {
            return;
        }
        if let Some((ticket, body)) = leading.queued.take() {
            let Value { members, outgoing, cluster, .. } = &*self.disk.state.value;
            let (members, outgoing) = (members.clone(), outgoing.clone());
            let value = Value { members, outgoing, body, cluster: *cluster };
            self.propose_next(Some(ticket), value, out);
        }
    }

    fn send_proposal(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(Leading { proposal: Some(proposal), .. }) = &mut self.role else { return };
        proposal.next_send = self.now + RESEND_INTERVAL.max(proposal.value.transfer_time());
        if proposal.awaits_own_save {
            return;
        }
        let incarnation = self.disk.state.incarnation;
        for node in proposal.value.others(self.me) {
            if !proposal.tally.has_vote(node) {
                let (ballot, value) = (proposal.ballot, proposal.value.clone());
                out.push(Output::Send(node, Msg::Accept { ballot, value, incarnation }));
            }
        }
    }

    /// Counts the leader's own vote once the value is on its disk.
    pub(crate) fn vote_if_durable(&mut self, out: &mut Vec<Output>) {
        let (durable, incarnation) = (self.disk.durable.ballot, self.disk.state.incarnation);
        let Role::Leading(Leading { proposal: Some(proposal), .. }) = &mut self.role else { return };
        if proposal.ballot == durable {
            proposal.tally.add_vote(self.me, incarnation, &[]);
            if std::mem::take(&mut proposal.awaits_own_save) {
                self.send_proposal(out);
            }
            self.commit_if_accepted(out);
        }
    }

    pub(crate) fn on_accepted(
        &mut self,
        from: Node,
        ballot: Ballot,
        incarnation: u64,
        incarnations: Vec<(Node, u64)>,
        out: &mut Vec<Output>,
    ) {
        let Role::Leading(Leading { proposal: Some(proposal), .. }) = &mut self.role else { return };
        if proposal.ballot == ballot {
            proposal.tally.add_vote(from, incarnation, &incarnations);
            self.reported_votes.insert(from, ballot);
            self.commit_if_accepted(out);
        }
    }

    /// Commits the value of the proposal once a majority has accepted it.
    fn commit_if_accepted(&mut self, out: &mut Vec<Output>) {
        let incarnations = self.vote_incarnations();
        let Role::Leading(leading) = &mut self.role else { return };
        let Some(mut proposal) = leading.proposal.take() else { return };
        proposal.tally.update_incarnations(&incarnations);
        if !proposal.value.has_quorum(|m| proposal.tally.has_vote(m)) {
            leading.proposal = Some(proposal);
            return;
        }
        let first_commit = !std::mem::replace(&mut leading.established, true);
        let epoch = leading.epoch;
        self.commit(proposal.ballot, proposal.value, out);
        if first_commit {
            out.push(Output::BecameLeader(epoch));
        }
        if let Some(ticket) = proposal.ticket {
            out.push(Output::Done { ticket, outcome: Outcome::Committed(proposal.ballot) });
        }
        self.heartbeat(out);
        self.start_queued_proposal(out);
        self.change_members(out);
        self.step_down_if_removed(out);
    }

    /// A leader that is no longer a member steps down as soon as it has no proposal in progress.
    fn step_down_if_removed(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        if leading.established
            && leading.proposal.is_none()
            && !self.is_member()
            && self.newest_value().outgoing.is_empty()
        {
            self.step_down(out);
        }
    }

    /// Sends a heartbeat to all members.
    fn heartbeat(&mut self, out: &mut Vec<Output>) {
        let commit = self.commit_ballot();
        let Role::Leading(leading) = &mut self.role else { return };
        leading.nonce += 1;
        leading.last_heartbeat = self.now;
        leading.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        if leading.sent.len() == MAX_SENT_HEARTBEATS {
            leading.sent.pop_front();
        }
        leading.sent.push_back((leading.nonce, self.now));
        let (epoch, nonce) = (leading.epoch, leading.nonce);
        let cluster = self.disk.state.value.cluster;
        for node in self.disk.state.value.others(self.me) {
            out.push(Output::Send(node, Msg::Heartbeat { epoch, commit, nonce, cluster }));
        }
        self.complete_barriers(out);
    }

    pub(crate) fn on_heartbeat_ok(&mut self, from: Node, epoch: u64, nonce: u64, out: &mut Vec<Output>) {
        let is_voter = self.disk.state.value.others(self.me).contains(&from);
        let Role::Leading(leading) = &mut self.role else { return };
        if leading.epoch != epoch || !is_voter {
            return;
        }
        let Some(&(_, sent)) = leading.sent.iter().find(|(known, _)| *known == nonce) else { return };
        let answered = leading.answered.entry(from).or_insert((nonce, sent));
        if nonce > answered.0 {
            *answered = (nonce, sent);
        }
        self.complete_barriers(out);
    }

    /// Ends the read barriers whose heartbeat a majority has answered.
    fn complete_barriers(&mut self, out: &mut Vec<Output>) {
        let value = self.disk.state.value.clone();
        let Role::Leading(leading) = &mut self.role else { return };
        while let Some(barrier) = leading.barriers.front() {
            let min_nonce = barrier.min_nonce;
            let confirmed = |m: Node| leading.answered.get(&m).is_some_and(|(nonce, _)| *nonce >= min_nonce);
            if leading.nonce < min_nonce || !value.has_quorum(|m| m == self.me || confirmed(m)) {
                return;
            }
            out.push(Output::Done { ticket: barrier.ticket, outcome: Outcome::Confirmed });
            leading.barriers.pop_front();
        }
    }

    pub(crate) fn leading_tick(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &mut self.role else { return };
        let value = &self.disk.state.value;
        let isolated = self.now - leading.silence_from > QUORUM_TIMEOUT
            && !leading.has_quorum_contact(value, self.me, self.now, QUORUM_TIMEOUT);
        if isolated || self.disk.save_duration(self.now) > SAVE_TIMEOUT {
            return self.step_down(out);
        }
        while let Some(barrier) = leading.barriers.front() {
            if self.now - barrier.started_at <= BARRIER_TIMEOUT {
                break;
            }
            out.push(Output::Done { ticket: barrier.ticket, outcome: Outcome::NotLeader });
            leading.barriers.pop_front();
        }
        let heartbeat_due = self.now >= leading.next_heartbeat;
        let resend = leading.proposal.as_ref().is_some_and(|proposal| self.now >= proposal.next_send);
        if heartbeat_due {
            self.heartbeat(out);
        }
        if resend {
            self.send_proposal(out);
        }
        self.start_queued_proposal(out);
        self.change_members(out);
        self.step_down_if_removed(out);
    }

    /// Gives up the epoch and notifies the other members.
    fn step_down(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = &self.role else { return };
        let (epoch, next) = (leading.epoch, self.successor());
        for node in self.disk.state.value.others(self.me) {
            out.push(Output::Send(node, Msg::StepDown { epoch, next }));
        }
        self.end_leadership(out);
    }

    /// The node to become the next leader if this one steps down: the first member in rank that answered a heartbeat of
    /// the last three intervals and doesn't leave; 0 if there is none or this node is not the leader. Without a named
    /// successor several followers would become candidates at once, since they exchange no messages, and so don't know
    /// their ranks, while there is a leader.
    pub fn successor(&self) -> Node {
        let Role::Leading(leading) = &self.role else { return 0 };
        let responsive = |m: Node| self.now - leading.answered(m) <= REDIRECT_TIMEOUT;
        let eligible = |m: &Node| *m != self.me && responsive(*m) && !self.is_leaving(*m);
        self.newest_value().members.iter().copied().find(eligible).unwrap_or(0)
    }

    /// The epoch has ended: ends the proposals and read barriers of this leader.
    pub(crate) fn end_leadership(&mut self, out: &mut Vec<Output>) {
        let Role::Leading(leading) = std::mem::replace(&mut self.role, Role::Follower) else { return };
        self.quiet_since = self.now;
        if let Some(ticket) = leading.proposal.and_then(|proposal| proposal.ticket) {
            out.push(Output::Done { ticket, outcome: Outcome::Unknown });
        }
        let queued = leading.queued.map(|(ticket, _)| ticket);
        for ticket in queued.into_iter().chain(leading.barriers.into_iter().map(|barrier| barrier.ticket)) {
            out.push(Output::Done { ticket, outcome: Outcome::NotLeader });
        }
        if leading.established {
            out.push(Output::LostLeadership);
        }
    }
}
