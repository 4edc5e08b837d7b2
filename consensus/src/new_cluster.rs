//! An operator forces a new cluster from one member after more losses than are tolerated.
//!
//! The member that has the newest state continues alone, in an epoch far above all that it knows and as a new
//! generation of its cluster. The other nodes learn of this from its answer to their next message: they discard their
//! state, learn it from this member, and are admitted like new nodes. The same goes for nodes that were considered lost
//! and come back later.

use crate::cluster::next_generation;
use crate::{next_random, Ballot, Node, Replica, Role, Value};
use std::fmt;
use std::rc::Rc;

/// Members that sent nothing for this long, seconds, are considered unable to answer.
pub const SILENCE_TIMEOUT: f64 = 3.0;
/// Number of epoch rounds left to a majority of the old members that may still be running unseen.
const RESERVED_ROUNDS: u64 = 1 << 16;

/// The state of a member, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Number of the cluster.
    pub cluster: u64,
    /// Number of times the member lost its disk.
    pub incarnation: u64,
    /// Highest epoch that the member promised.
    pub promised: u64,
    /// Ballot of the newest value that the member voted for.
    pub ballot: Ballot,
    /// Ballot of the newest value that the member knows to be committed.
    pub committed: Ballot,
    /// The voting members.
    pub members: Vec<Node>,
    /// The previous members during a membership change.
    pub outgoing: Vec<Node>,
    /// The member has no valid state and learns one from others.
    pub learning: bool,
    /// The member receives messages from enough members able to vote to form a majority with itself.
    pub majority_reachable: bool,
}

/// Why [`Replica::force_new_cluster`] refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewClusterError {
    /// This member has no valid state.
    NoState,
    /// This member has been running for less than [`SILENCE_TIMEOUT`], so it can't know yet which members are silent.
    TooSoon,
    /// A majority can still answer.
    MajorityReachable,
    /// The newest state of this member is the contained ballot, not the one that the operator named.
    StateMismatch(Ballot),
}

impl fmt::Display for NewClusterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NewClusterError::NoState => write!(f, "this member has no valid state"),
            NewClusterError::TooSoon => {
                write!(f, "this member has been running for less than {SILENCE_TIMEOUT} s: try again")
            }
            NewClusterError::MajorityReachable => write!(f, "a majority of the members can still answer"),
            NewClusterError::StateMismatch(held) => {
                write!(f, "newest: the newest state of this member is {}.{}", held.epoch, held.index)
            }
        }
    }
}

impl Replica {
    /// The state of this member, for operators.
    pub fn status(&self, now: f64) -> ReplicaStatus {
        let state = &self.disk.state;
        let newest_value = self.newest_value();
        ReplicaStatus {
            cluster: newest_value.cluster,
            incarnation: state.incarnation,
            promised: state.promised,
            ballot: state.ballot,
            committed: self.commit_ballot(),
            members: newest_value.members.clone(),
            outgoing: newest_value.outgoing.clone(),
            learning: self.learner.is_some(),
            majority_reachable: self.reaches_majority(now),
        }
    }

    /// Whether enough members that can vote sent a message lately to form a majority with this one.
    fn reaches_majority(&self, now: f64) -> bool {
        let answers = |m: Node| {
            let has_sent_lately = self.last_heard.get(&m).is_some_and(|at| now - at <= SILENCE_TIMEOUT);
            m == self.me || has_sent_lately && !self.learning_nodes.contains(&m)
        };
        self.learner.is_none() && self.newest_value().has_quorum(answers)
    }

    /// Forms a new cluster of this member alone. `newest` names the state to start from and must be the `ballot` in the
    /// [`ReplicaStatus`] of this member.
    pub fn force_new_cluster(&mut self, now: f64, newest: Ballot) -> Result<(), NewClusterError> {
        self.advance_clock(now);
        if self.learner.is_some() {
            return Err(NewClusterError::NoState);
        }
        if self.now - self.started_at < SILENCE_TIMEOUT {
            return Err(NewClusterError::TooSoon);
        }
        if self.reaches_majority(self.now) {
            return Err(NewClusterError::MajorityReachable);
        }
        let held = self.disk.state.ballot;
        if held != newest {
            return Err(NewClusterError::StateMismatch(held));
        }
        let Value { body, cluster, .. } = Value::clone(&self.disk.state.value);
        let cluster = next_generation(cluster, next_random(&mut self.random));
        let value = Value { members: vec![self.me], outgoing: Vec::new(), body, cluster };
        let round = (self.highest_epoch.max(self.disk.state.promised) >> 32).saturating_add(RESERVED_ROUNDS);
        let epoch = round.min(u64::from(u32::MAX) - 1) << 32 | u64::from(self.me);
        self.role = Role::Follower;
        (self.known_leader, self.pending_candidate) = (None, None);
        self.joiners.clear();
        self.highest_epoch = self.highest_epoch.max(epoch);
        self.store_value(Ballot { epoch, index: held.index.saturating_add(1) }, Rc::new(value), 0);
        self.shorten_wait(0.0);
        Ok(())
    }
}
