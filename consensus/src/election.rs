//! Elections: a candidate first asks for non-binding pre-votes, then for binding promises of a new epoch.

use crate::{next_random, Ballot, Msg, Node, Output, Replica, Role, Value, VoteTally};
use std::rc::Rc;

/// Time without a sign of a leader after which the first member in rank becomes a candidate, seconds. The rank is the
/// position by address among the live members.
const ELECTION_TIMEOUT: f64 = 0.9;
/// The part of it that a member which just started does not wait: it could not receive heartbeats before, and there is
/// no leader if all members were killed. The rest is enough for two heartbeats of a live leader and their transmission.
pub(crate) const STARTUP_CREDIT: f64 = ELECTION_TIMEOUT - 0.4;
/// Additional wait per rank, seconds.
const RANK_DELAY: f64 = 0.25;
/// Members send each other `Alive` once the leader was silent for this long, seconds.
const ALIVE_AFTER: f64 = 0.45;
/// Time between two `Alive` messages, seconds.
const ALIVE_INTERVAL: f64 = 0.2;
/// Members whose last message is not older than this, seconds, are counted for the rank.
const RANK_LIVENESS: f64 = 0.7;
/// Time after which unanswered requests are sent again, seconds.
const RESEND_INTERVAL: f64 = 0.25;
/// Longest time to collect pre-votes, seconds.
const PRE_VOTE_TIMEOUT: f64 = 0.6;
/// Longest time to collect promises, seconds.
const PREPARE_TIMEOUT: f64 = 1.5;
/// Longest time for the candidate's own promise to be saved, seconds.
const SAVE_TIMEOUT: f64 = 1.2;
/// Wait before the next attempt after a failed one, seconds.
const RETRY_DELAY: f64 = 0.3;

/// A request for pre-votes in progress.
pub(crate) struct PreVoting {
    nonce: u64,
    started_at: f64,
    next_send: f64,
    grants: Vec<Node>,
}

impl PreVoting {
    pub(crate) fn wake(&self) -> f64 {
        self.next_send.min(self.started_at + PRE_VOTE_TIMEOUT)
    }
}

/// A candidacy for an epoch in progress.
pub(crate) struct Preparing {
    pub(crate) epoch: u64,
    started_at: f64,
    next_send: f64,
    /// Whether the own promise is on disk. Nothing is sent before it is.
    durable: bool,
    tally: VoteTally,
    /// The newest value among the promises.
    newest: (Ballot, Rc<Value>),
}

impl Preparing {
    pub(crate) fn wake(&self) -> f64 {
        self.ends().min(if self.durable { self.next_send } else { f64::INFINITY })
    }

    fn ends(&self) -> f64 {
        self.started_at + if self.durable { PREPARE_TIMEOUT } else { SAVE_TIMEOUT }
    }
}

impl Replica {
    /// There is no leader to wait for: after `delay` only the rank delays a candidacy.
    pub(crate) fn shorten_wait(&mut self, delay: f64) {
        self.quiet_since = self.quiet_since.min(self.now - ELECTION_TIMEOUT + delay);
    }

    /// Delays a candidacy by at least the rank delay from now on.
    pub(crate) fn require_rank_delay(&mut self) {
        self.quiet_since = self.quiet_since.max(self.now - ELECTION_TIMEOUT);
    }

    /// Waits for `delay` and some jitter, in addition to the rank delay, before the next attempt.
    fn back_off(&mut self, delay: f64) {
        let jitter = (next_random(&mut self.random) % 100) as f64 / 500.0;
        self.quiet_since = self.now - ELECTION_TIMEOUT + delay + jitter;
    }

    /// When this node becomes a candidate if there is no sign of a leader.
    fn candidacy_time(&self) -> f64 {
        let live_before = self
            .newest_value()
            .members
            .iter()
            .filter(|&&m| m < self.me && self.is_live(m, RANK_LIVENESS))
            .count();
        self.quiet_since + ELECTION_TIMEOUT + live_before as f64 * RANK_DELAY
    }

    pub(crate) fn follower_tick(&mut self, out: &mut Vec<Output>) {
        if !self.is_member() {
            return;
        }
        if self.now >= (self.quiet_since + ALIVE_AFTER).max(self.next_alive) {
            self.next_alive = self.now + ALIVE_INTERVAL;
            for node in self.newest_value().others(self.me) {
                out.push(Output::Send(node, Msg::Alive));
            }
        }
        if self.now < self.candidacy_time() || self.leaving.is_some() {
            return;
        }
        if !self.disk.is_synced() {
            return self.back_off(RETRY_DELAY);
        }
        let nonce = next_random(&mut self.random);
        self.role = Role::PreVoting(PreVoting {
            nonce,
            started_at: self.now,
            next_send: self.now,
            grants: Vec::new(),
        });
        self.pre_voting_tick(out);
    }

    pub(crate) fn follower_wake(&self) -> f64 {
        if !self.is_member() {
            return self.now + RETRY_DELAY;
        }
        let candidacy = if self.leaving.is_some() { f64::INFINITY } else { self.candidacy_time() };
        (self.quiet_since + ALIVE_AFTER).max(self.next_alive).min(candidacy).min(self.now + RETRY_DELAY)
    }

    pub(crate) fn pre_voting_tick(&mut self, out: &mut Vec<Output>) {
        // Includes nodes that are not members as far as this node knows: it may have been cut off during a membership
        // change.
        let others = self.known_nodes();
        let cluster = self.newest_value().cluster;
        let Role::PreVoting(pre_voting) = &mut self.role else { return };
        if self.now >= pre_voting.started_at + PRE_VOTE_TIMEOUT {
            self.role = Role::Follower;
            return self.back_off(0.1);
        }
        if self.now >= pre_voting.next_send {
            pre_voting.next_send = self.now + RESEND_INTERVAL;
            for node in others {
                if !pre_voting.grants.contains(&node) {
                    out.push(Output::Send(node, Msg::PreVote { nonce: pre_voting.nonce, cluster }));
                }
            }
        }
        self.prepare_if_granted(out);
    }

    pub(crate) fn on_pre_vote_granted(
        &mut self,
        from: Node,
        nonce: u64,
        promised: u64,
        out: &mut Vec<Output>,
    ) {
        self.highest_epoch = self.highest_epoch.max(promised);
        let others = self.newest_value().others(self.me);
        let Role::PreVoting(pre_voting) = &mut self.role else { return };
        if pre_voting.nonce == nonce && others.contains(&from) && !pre_voting.grants.contains(&from) {
            pre_voting.grants.push(from);
            self.prepare_if_granted(out);
        }
    }

    pub(crate) fn on_pre_vote_refused(
        &mut self,
        from: Node,
        promised: u64,
        leader: Node,
        commit: Ballot,
        out: &mut Vec<Output>,
    ) {
        self.highest_epoch = self.highest_epoch.max(promised);
        self.on_commit_report(from, commit, out);
        if matches!(self.role, Role::PreVoting(_)) && leader == from {
            self.role = Role::Follower;
            self.back_off(RETRY_DELAY);
        }
    }

    /// Becomes a candidate for a new epoch once a majority has granted the pre-vote.
    fn prepare_if_granted(&mut self, out: &mut Vec<Output>) {
        let Role::PreVoting(pre_voting) = &self.role else { return };
        if !self.newest_value().has_quorum(|m| m == self.me || pre_voting.grants.contains(&m))
            || !self.disk.is_synced()
        {
            return;
        }
        let state = &mut self.disk.state;
        let round = (self.highest_epoch.max(state.promised) >> 32).saturating_add(1).min(u64::from(u32::MAX));
        let epoch = round << 32 | u64::from(self.me);
        if epoch <= state.promised {
            return;
        }
        state.promised = epoch;
        let newest = (state.ballot, state.value.clone());
        self.disk.changed();
        self.highest_epoch = self.highest_epoch.max(epoch);
        let (started_at, tally) = (self.now, VoteTally::default());
        self.role = Role::Preparing(Preparing {
            epoch,
            started_at,
            next_send: self.now,
            durable: false,
            tally,
            newest,
        });
        self.disk.flush(self.now, out);
    }

    /// Sends the `Prepare` messages once the own promise is on disk.
    pub(crate) fn prepare_if_durable(&mut self, out: &mut Vec<Output>) {
        let (durable, incarnation) = (self.disk.durable.promised, self.disk.state.incarnation);
        let Role::Preparing(preparing) = &mut self.role else { return };
        if !preparing.durable && durable >= preparing.epoch {
            preparing.durable = true;
            preparing.started_at = self.now;
            preparing.tally.add_vote(self.me, incarnation, &[]);
            self.send_prepares(out);
            self.lead_if_promised(out);
        }
    }

    pub(crate) fn preparing_tick(&mut self, out: &mut Vec<Output>) {
        let Role::Preparing(preparing) = &self.role else { return };
        if self.now >= preparing.ends() {
            self.role = Role::Follower;
            return self.back_off(RETRY_DELAY);
        }
        if preparing.durable && self.now >= preparing.next_send {
            self.send_prepares(out);
        }
    }

    fn send_prepares(&mut self, out: &mut Vec<Output>) {
        let Role::Preparing(preparing) = &mut self.role else { return };
        preparing.next_send = self.now + RESEND_INTERVAL;
        for node in preparing.newest.1.others(self.me) {
            if !preparing.tally.has_vote(node) {
                let (epoch, have) = (preparing.epoch, preparing.newest.0);
                let cluster = preparing.newest.1.cluster;
                out.push(Output::Send(node, Msg::Prepare { epoch, have, cluster }));
            }
        }
    }

    pub(crate) fn on_promise(
        &mut self,
        from: Node,
        epoch: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        (incarnation, incarnations): (u64, Vec<(Node, u64)>),
        out: &mut Vec<Output>,
    ) {
        let Role::Preparing(preparing) = &mut self.role else { return };
        if preparing.epoch != epoch || !preparing.durable {
            return;
        }
        let mut membership_changed = false;
        if ballot > preparing.newest.0 {
            let Some(value) = value else { return };
            membership_changed =
                value.members != preparing.newest.1.members || value.outgoing != preparing.newest.1.outgoing;
            preparing.newest = (ballot, value);
        }
        preparing.tally.add_vote(from, incarnation, &incarnations);
        if membership_changed {
            self.send_prepares(out);
        }
        self.lead_if_promised(out);
    }

    /// Becomes the leader once there are promises of a majority of the members in the newest value among them.
    fn lead_if_promised(&mut self, out: &mut Vec<Output>) {
        let incarnations = self.vote_incarnations();
        let Role::Preparing(preparing) = &mut self.role else { return };
        preparing.tally.update_incarnations(&incarnations);
        if preparing.newest.1.has_quorum(|m| preparing.tally.has_vote(m)) {
            let (epoch, (ballot, value)) = (preparing.epoch, preparing.newest.clone());
            self.become_leader(epoch, ballot.index, value, out);
        }
    }

    pub(crate) fn on_refused(&mut self, epoch: u64, promised: u64, out: &mut Vec<Output>) {
        self.highest_epoch = self.highest_epoch.max(promised);
        if promised <= epoch {
            return;
        }
        match &self.role {
            Role::Leading(leading) if leading.epoch == epoch => self.end_leadership(out),
            Role::Preparing(preparing) if preparing.epoch == epoch => self.role = Role::Follower,
            _ => return,
        }
        self.back_off(RETRY_DELAY);
    }
}
