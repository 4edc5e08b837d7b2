//! Consensus of the core machines on one state document, with numbered epochs; this crate does no I/O.
//!
//! The document and the list of voting members form one value, which is replaced as a whole. The leader of an epoch
//! proposes values; a value is committed once a majority has it on disk. A new leader first collects promises from a
//! majority and proposes the newest value among them again, so no committed value is lost. A member that lost its disk
//! learns the state from a majority of the others before it votes; it does so under a new incarnation, which
//! invalidates its earlier votes.

mod acceptor;
mod cluster;
mod disk;
mod election;
mod leader;
mod learn;
mod leave;
mod membership;
mod new_cluster;
mod resume;
mod types;

use disk::Disk;
use election::{PreVoting, Preparing};
use leader::Leading;
use learn::Learner;
pub use new_cluster::{NewClusterError, ReplicaStatus, SILENCE_TIMEOUT};
use resume::Resuming;
use std::{collections::BTreeMap, rc::Rc};
pub use types::*;

/// A longer gap between two calls, seconds, means that the process was paused.
const PAUSE_THRESHOLD: f64 = 0.5;
/// A node counts as live for this long after its last message, seconds.
const LIVENESS_TIMEOUT: f64 = 1.0;
/// Callers are redirected to a leader for this long after its last message, seconds: three heartbeats.
const REDIRECT_TIMEOUT: f64 = 0.5;
/// Most nodes that [`Replica::set_hints`] keeps.
const MAX_HINTS: usize = 16;
/// Shortest time between two requests for the newest committed value, seconds.
const FETCH_INTERVAL: f64 = 0.2;

/// The leader that this node last received a message from.
#[derive(Clone, Copy)]
pub(crate) struct KnownLeader {
    node: Node,
    epoch: u64,
    heard_at: f64,
}

/// What this node does in an election or in an epoch.
pub(crate) enum Role {
    Follower,
    /// Asks the members whether they would promise it an epoch.
    PreVoting(PreVoting),
    /// Asks the members to promise it an epoch.
    Preparing(Preparing),
    Leading(Leading),
}

/// The state machine of one core machine: it takes messages, ticks and finished saves, and returns [`Output`]s.
pub struct Replica {
    me: Node,
    seeds: Vec<Node>,
    hints: Vec<Node>,
    now: f64,
    random: u64,
    disk: Disk,
    committed: Option<(Ballot, Rc<Value>)>,
    /// Highest epoch in any message or in the own state.
    highest_epoch: u64,
    /// Highest epoch whose leader stepped down.
    resigned_epoch: u64,
    /// When this process began.
    started_at: f64,
    /// Nodes whose last message showed that they have no state and learn it.
    learning_nodes: Vec<Node>,
    /// When the last message of each member and joiner arrived.
    last_heard: BTreeMap<Node, f64>,
    known_leader: Option<KnownLeader>,
    /// Since when there has been neither a leader nor a candidate; shifted to bring a candidacy forward or put it off.
    quiet_since: f64,
    /// The candidate that was promised an epoch, and until when other candidates are rejected.
    pending_candidate: Option<(Node, f64)>,
    /// `Some` while this node has no valid state: it learns one from the others and takes part in no vote.
    learner: Option<Learner>,
    /// `Some` after a start with a saved state: this node asks the others whether that is the newest before it votes.
    resuming: Option<Resuming>,
    /// Members that did not answer while this process was resuming.
    silent_at_resume: Vec<Node>,
    /// The last ballot that each other member reported to this process as accepted.
    reported_votes: BTreeMap<Node, Ballot>,
    role: Role,
    /// Nodes that ask to be admitted: time of the first and of the last request.
    joiners: BTreeMap<Node, (f64, f64)>,
    /// When a node that is not a member last asked to be admitted.
    last_join_request: f64,
    /// Nodes that announced that they leave, and the time of the last message from them on it.
    departing_nodes: BTreeMap<Node, f64>,
    /// `Some` while this node leaves: since when, and when it announces that next.
    leaving: Option<(f64, f64)>,
    /// When the host first and last asked to put off removals without a replacement.
    removals_deferred: Option<(f64, f64)>,
    /// Smallest number of members that still has a majority after as many losses as the settings tolerate.
    min_members: usize,
    next_alive: f64,
    next_join: f64,
    next_fetch: f64,
}

impl Replica {
    /// Creates the state machine; `saved` is the state read from disk, `None` if the disk was empty.
    pub fn new(now: f64, settings: Settings, saved: Option<PersistentState>) -> Replica {
        let Settings { me, mut seeds, bootstrap, seed, tolerate } = settings;
        let min_members =
            tolerate.saturating_mul(2).saturating_add(1).clamp(membership::MIN_MEMBERS, MAX_MEMBERS);
        seeds.sort_unstable();
        seeds.dedup();
        // A node that once had a state never bootstraps a cluster, even if that state is no longer valid.
        let bootstraps = saved.is_none() && bootstrap && seeds.contains(&me);
        let saved = saved.filter(|saved| !saved.stale && (saved.owner == me || saved.owner == 0));
        let mut random = seed ^ (u64::from(me) << 32);
        let learner = (saved.is_none() && !bootstraps).then(|| Learner::new(now, next_random(&mut random)));
        let resuming = saved.is_some().then(|| Resuming::new(now, next_random(&mut random)));
        let mut disk = Disk::new(saved.unwrap_or_default());
        disk.state.owner = me;
        if bootstraps {
            disk.state.value = Rc::new(Value { members: seeds.clone(), ..Value::default() });
            disk.changed();
        }
        Replica {
            me,
            seeds,
            hints: Vec::new(),
            now,
            random,
            highest_epoch: disk.state.promised,
            resigned_epoch: 0,
            disk,
            committed: None,
            started_at: now,
            learning_nodes: Vec::new(),
            last_heard: BTreeMap::new(),
            known_leader: None,
            // A live leader sends a heartbeat within two intervals; there is nothing else to wait for.
            quiet_since: now - election::STARTUP_CREDIT,
            pending_candidate: None,
            learner,
            resuming,
            silent_at_resume: Vec::new(),
            reported_votes: BTreeMap::new(),
            role: Role::Follower,
            joiners: BTreeMap::new(),
            last_join_request: f64::NEG_INFINITY,
            departing_nodes: BTreeMap::new(),
            leaving: None,
            removals_deferred: None,
            min_members,
            next_alive: now,
            next_join: now,
            next_fetch: now,
        }
    }

    /// Does what is due by time. Must be called right after `new`, and then no later than [`Replica::next_wake`].
    pub fn tick(&mut self, now: f64, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.resume_tick(out);
        if self.learner.is_some() {
            self.learn_tick(out);
        } else if self.resuming.is_none() {
            match self.role {
                Role::Follower => self.follower_tick(out),
                Role::PreVoting(_) => self.pre_voting_tick(out),
                Role::Preparing(_) => self.preparing_tick(out),
                Role::Leading(_) => self.leading_tick(out),
            }
            self.join_tick(out);
        }
        self.leave_tick(out);
        self.disk.flush(self.now, out);
    }

    /// The latest time at which [`Replica::tick`] must be called.
    pub fn next_wake(&self) -> f64 {
        let role = match &self.role {
            _ if self.learner.is_some() => self.learn_wake(),
            _ if self.resuming.is_some() => self.resume_wake(),
            Role::Follower => self.follower_wake(),
            Role::PreVoting(pre_voting) => pre_voting.wake(),
            Role::Preparing(preparing) => preparing.wake(),
            Role::Leading(leading) => leading.wake(),
        };
        let settled = self.learner.is_none() && self.resuming.is_none();
        let joins = settled && self.leaving.is_none() && !self.is_member() && self.disk.is_synced();
        let join = if joins { self.next_join } else { f64::INFINITY };
        role.min(join).min(self.leave_wake()).min(self.disk.wake().unwrap_or(f64::INFINITY)).max(self.now)
    }

    /// Handles a message from another node.
    pub fn handle_message(&mut self, now: f64, from: Node, msg: Msg, out: &mut Vec<Output>) {
        self.advance_clock(now);
        if from == self.me {
            return;
        }
        if self.last_heard.contains_key(&from) || self.last_heard.len() < 4 * MAX_MEMBERS {
            self.last_heard.insert(from, self.now);
        }
        self.update_learning_nodes(from, &msg);
        self.clear_departure(from, &msg);
        if self.rejects_cluster(from, &msg, out) {
            return self.disk.flush(self.now, out);
        }
        if self.resuming.is_some() && is_deferred_while_resuming(&msg) {
            return;
        }
        match msg {
            Msg::Alive => {}
            Msg::PreVote { nonce, .. } => self.on_pre_vote(from, nonce, out),
            Msg::PreVoteGranted { nonce, promised } => self.on_pre_vote_granted(from, nonce, promised, out),
            Msg::PreVoteRefused { promised, leader, commit, .. } => {
                self.on_pre_vote_refused(from, promised, leader, commit, out)
            }
            Msg::Prepare { epoch, have, .. } => self.on_prepare(from, epoch, have, out),
            Msg::Promise { epoch, ballot, value, incarnation, incarnations } => {
                self.on_promise(from, epoch, ballot, value, (incarnation, incarnations), out);
            }
            Msg::Accept { ballot, value, incarnation } => {
                self.on_accept(from, ballot, value, incarnation, out)
            }
            Msg::Accepted { ballot, incarnation, incarnations } => {
                self.on_accepted(from, ballot, incarnation, incarnations, out)
            }
            Msg::Refused { epoch, promised, commit } => {
                self.on_commit_report(from, commit, out);
                self.on_refused(epoch, promised, out);
            }
            Msg::Heartbeat { epoch, commit, nonce, .. } => self.on_heartbeat(from, epoch, commit, nonce, out),
            Msg::HeartbeatOk { epoch, nonce } => self.on_heartbeat_ok(from, epoch, nonce, out),
            Msg::StepDown { epoch, next } => self.on_step_down(from, epoch, next),
            Msg::Fetch { have } => self.on_fetch(from, have, out),
            Msg::CommittedValue { ballot, value } => self.on_committed_value(ballot, value, out),
            Msg::Learn { incarnation, nonce, have, cluster } => {
                self.on_learn(from, (incarnation, nonce), have, cluster, out)
            }
            Msg::LearnReply {
                incarnation,
                nonce,
                promised,
                ballot,
                value,
                incarnations,
                proposer_incarnation,
            } => {
                let held = PersistentState {
                    promised,
                    ballot,
                    incarnations,
                    proposer_incarnation,
                    ..PersistentState::default()
                };
                self.on_learn_reply(from, (incarnation, nonce), held, value);
            }
            Msg::NewerIncarnation { incarnation } => self.on_newer_incarnation(incarnation),
            Msg::Resume { nonce, have, cluster } => self.on_resume(from, nonce, have, cluster, out),
            Msg::ResumeReply { nonce, promised, ballot, value, incarnations, forgotten } => {
                let held = PersistentState { promised, ballot, incarnations, ..PersistentState::default() };
                self.on_resume_reply(from, nonce, held, value, forgotten, out);
            }
            Msg::Superseded { .. } => {}
            Msg::Join => self.on_join(from, out),
            Msg::Leave => self.on_leave(from, out),
        }
        self.disk.flush(self.now, out);
    }

    /// Must be called when the save with this ticket has ended. After a failure the newest state is saved again later.
    pub fn save_finished(&mut self, now: f64, ticket: u64, ok: bool, out: &mut Vec<Output>) {
        self.advance_clock(now);
        if self.disk.saved(self.now, ticket, ok, out) {
            self.prepare_if_durable(out);
            self.vote_if_durable(out);
        }
        self.disk.flush(self.now, out);
    }

    /// Sets further core machines, found by other means. They are contacted as well while this node is not a member or
    /// knows no leader.
    pub fn set_hints(&mut self, nodes: &[Node]) {
        self.hints = nodes.iter().copied().take(MAX_HINTS).collect();
    }

    /// The leader as far as this node knows, and its epoch.
    pub fn leader(&self, now: f64) -> Option<(Node, u64)> {
        match &self.role {
            Role::Leading(leading) => Some((self.me, leading.epoch)),
            _ => self
                .known_leader
                .filter(|leader| now - leader.heard_at <= LIVENESS_TIMEOUT)
                .map(|leader| (leader.node, leader.epoch)),
        }
    }

    /// The node to redirect callers to: the leader, if it is another node and sent a message within three heartbeats.
    pub fn redirect_target(&self, now: f64) -> Option<Node> {
        let leader = self.known_leader.filter(|leader| {
            !matches!(self.role, Role::Leading(_)) && now - leader.heard_at <= REDIRECT_TIMEOUT
        });
        leader.map(|leader| leader.node)
    }

    /// Whether this node is cut off rather than without a leader: it has recently received messages neither from
    /// `node` nor from enough members to form a majority with itself.
    pub fn is_isolated_from(&self, now: f64, node: Node) -> bool {
        let has_sent_lately =
            |m: Node| self.last_heard.get(&m).is_some_and(|at| now - at <= LIVENESS_TIMEOUT);
        !has_sent_lately(node) && !self.newest_value().has_quorum(|m| m == self.me || has_sent_lately(m))
    }

    /// The newest value known to be committed. Its body is empty until the first proposal.
    pub fn committed(&self) -> Option<(Ballot, &Rc<Value>)> {
        self.committed.as_ref().map(|(ballot, value)| (*ballot, value))
    }

    /// The voting members as far as this node knows; the seeds while it has no member list.
    pub fn members(&self) -> &[Node] {
        let members = &self.newest_value().members;
        if members.is_empty() {
            &self.seeds
        } else {
            members
        }
    }

    /// Whether this node has no valid state and is still learning it from the others.
    pub fn is_learning(&self) -> bool {
        self.learner.is_some()
    }

    /// Sets the current time. Of a pause of this process, only the first [`PAUSE_THRESHOLD`] counts as silence of the
    /// other nodes.
    fn advance_clock(&mut self, now: f64) {
        let gap = now - self.now;
        if gap <= 0.0 {
            return;
        }
        self.now = now;
        if gap > PAUSE_THRESHOLD {
            let excess = gap - PAUSE_THRESHOLD;
            for at in self.last_heard.values_mut().chain(self.departing_nodes.values_mut()) {
                *at += excess;
            }
            if let Some(leader) = &mut self.known_leader {
                leader.heard_at += excess;
            }
            self.quiet_since += excess;
            self.disk.discount_pause(excess);
            if let Role::Leading(leading) = &mut self.role {
                leading.discount_pause(now);
            }
        }
    }

    /// Whether `cluster` is the number of a cluster other than this node's.
    fn is_other_cluster(&self, cluster: u64) -> bool {
        cluster::relation(self.newest_value().cluster, cluster) != cluster::Relation::Same
    }

    /// Records from the kind of message whether the sender is learning its state.
    fn update_learning_nodes(&mut self, node: Node, msg: &Msg) {
        match msg {
            // Nodes with and without a state both send this.
            Msg::Alive => {}
            Msg::Learn { .. }
                if self.learning_nodes.contains(&node) || self.learning_nodes.len() == MAX_MEMBERS => {}
            Msg::Learn { .. } => self.learning_nodes.push(node),
            _ => self.learning_nodes.retain(|&known| known != node),
        }
    }

    /// The newest value that this node has: the one in its state, or a committed one it received.
    fn newest_value(&self) -> &Value {
        match &self.committed {
            Some((ballot, value)) if *ballot > self.disk.state.ballot => value,
            _ => &self.disk.state.value,
        }
    }

    /// Whether the newest value that this node has is committed and no membership change is in progress. Until then the
    /// loss of one more disk may lose the change.
    pub fn is_settled(&self) -> bool {
        let committed = self.committed.as_ref().is_some_and(|(ballot, _)| *ballot >= self.disk.state.ballot);
        committed && self.newest_value().outgoing.is_empty()
    }

    fn is_member(&self) -> bool {
        self.newest_value().members.contains(&self.me)
    }

    /// Whether a message of `node` arrived within `timeout`.
    fn is_live(&self, node: Node, timeout: f64) -> bool {
        node == self.me || self.last_heard.get(&node).is_some_and(|at| self.now - at <= timeout)
    }

    fn commit_ballot(&self) -> Ballot {
        self.committed.as_ref().map_or(Ballot::default(), |(ballot, _)| *ballot)
    }

    /// Records a value known to be committed and reports it to the driver.
    fn commit(&mut self, ballot: Ballot, value: Rc<Value>, out: &mut Vec<Output>) {
        if ballot > self.commit_ballot() {
            self.committed = Some((ballot, value.clone()));
            out.push(Output::Committed(ballot, value));
        }
    }

    /// Another node reports that this ballot is committed: commits the value if it is here, or fetches it.
    fn on_commit_report(&mut self, from: Node, ballot: Ballot, out: &mut Vec<Output>) {
        if ballot <= self.commit_ballot() {
            return;
        }
        if self.disk.state.ballot == ballot {
            let value = self.disk.state.value.clone();
            self.commit(ballot, value, out);
        } else if self.now >= self.next_fetch {
            // The reply will be about as large as the value that this node has.
            self.next_fetch = self.now + FETCH_INTERVAL.max(self.newest_value().transfer_time());
            out.push(Output::Send(from, Msg::Fetch { have: self.commit_ballot() }));
        }
    }

    /// The incarnations of other nodes that this node sends along with each of its votes.
    fn vote_incarnations(&self) -> Vec<(Node, u64)> {
        self.disk.state.incarnations.iter().map(|&(node, incarnation, _)| (node, incarnation)).collect()
    }
}

/// Whether a node that is still resuming ignores this message.
fn is_deferred_while_resuming(msg: &Msg) -> bool {
    matches!(msg, Msg::PreVote { .. } | Msg::Prepare { .. } | Msg::Accept { .. } | Msg::Learn { .. })
}

/// Returns the next number of the pseudo-random sequence (splitmix64).
pub(crate) fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut x = *state;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
