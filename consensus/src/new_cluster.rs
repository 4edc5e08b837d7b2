//! An operator founds the cluster anew from one member, after losses beyond what is borne.
//!
//! The member that holds the newest state goes on alone, under an epoch far above all that it knows and as a new
//! generation of its cluster. The others learn of that when they next speak to it: they forget what they hold, learn from
//! it, and are admitted as newcomers are. So are those that were taken for lost and come back later.

use crate::cluster::founded_anew;
use crate::{dice, Ballot, Node, Replica, Role, Value};
use std::fmt;
use std::rc::Rc;

/// Members unheard for so long, seconds, can't answer.
pub const SILENCE_TIMEOUT: f64 = 3.0;
/// So many rounds of epochs are left to a majority of the old members that may still be somewhere.
const ROUNDS: u64 = 1 << 16;

/// What a member holds, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    pub cluster: u64,
    pub incarnation: u64,
    pub promised: u64,
    /// The newest value that it voted for, and the newest that it knows to be committed.
    pub ballot: Ballot,
    pub committed: Ballot,
    pub members: Vec<Node>,
    /// The members before, while they change.
    pub outgoing: Vec<Node>,
    /// It holds nothing, or nothing that counts, and learns from others.
    pub learning: bool,
    /// It hears as many members that can vote as make a majority with it.
    pub majority_reachable: bool,
}

/// Why the cluster is not founded anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewClusterError {
    /// This member holds nothing that counts.
    NoState,
    /// It runs for less than [`SILENCE_TIMEOUT`]: who is silent is not known yet.
    TooSoon,
    /// A majority can still answer.
    MajorityReachable,
    /// Its newest state is this one, not the one that was named.
    StateMismatch(Ballot),
}

impl fmt::Display for NewClusterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NewClusterError::NoState => write!(f, "this member holds no state that counts"),
            NewClusterError::TooSoon => {
                write!(f, "this member runs for less than {SILENCE_TIMEOUT} s: ask again")
            }
            NewClusterError::MajorityReachable => write!(f, "a majority of the members can still answer"),
            NewClusterError::StateMismatch(held) => {
                write!(f, "newest: this member holds {}.{}", held.epoch, held.index)
            }
        }
    }
}

impl Replica {
    /// What this member holds.
    pub fn status(&self, now: f64) -> ReplicaStatus {
        let mem = &self.disk.mem;
        let newest = self.newest();
        ReplicaStatus {
            cluster: newest.cluster,
            incarnation: mem.incarnation,
            promised: mem.promised,
            ballot: mem.ballot,
            committed: self.commit_ballot(),
            members: newest.members.clone(),
            outgoing: newest.outgoing.clone(),
            learning: self.learner.is_some(),
            majority_reachable: self.hears_majority(now),
        }
    }

    fn hears_majority(&self, now: f64) -> bool {
        let answers = |m: Node| {
            let heard = self.heard.get(&m).is_some_and(|at| now - at <= SILENCE_TIMEOUT);
            m == self.me || heard && !self.learning.contains(&m)
        };
        self.learner.is_none() && self.newest().carried(answers)
    }

    /// Founds the cluster anew with this member alone. `newest`: the state that it is to begin from, as this member tells.
    pub fn force_new_cluster(&mut self, now: f64, newest: Ballot) -> Result<(), NewClusterError> {
        self.enter(now);
        if self.learner.is_some() {
            return Err(NewClusterError::NoState);
        }
        if self.now - self.started < SILENCE_TIMEOUT {
            return Err(NewClusterError::TooSoon);
        }
        if self.hears_majority(self.now) {
            return Err(NewClusterError::MajorityReachable);
        }
        let held = self.disk.mem.ballot;
        if held != newest {
            return Err(NewClusterError::StateMismatch(held));
        }
        let Value { body, cluster, .. } = Value::clone(&self.disk.mem.value);
        let cluster = founded_anew(cluster, dice(&mut self.random));
        let value = Value { members: vec![self.me], outgoing: Vec::new(), body, cluster };
        let round = (self.floor.max(self.disk.mem.promised) >> 32).saturating_add(ROUNDS);
        let epoch = round.min(u64::from(u32::MAX) - 1) << 32 | u64::from(self.me);
        self.role = Role::Follower;
        (self.seen, self.patience) = (None, None);
        self.joiners.clear();
        self.floor = self.floor.max(epoch);
        self.take(Ballot { epoch, index: held.index.saturating_add(1) }, Rc::new(value), 0);
        self.hurry(0.0);
        Ok(())
    }
}
