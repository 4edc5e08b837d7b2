//! The types of the public interface: values, ballots, persistent state, messages, and outputs for the driver.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc};

/// A node, identified by the IPv4 address of its machine as a number.
pub type Node = u32;

/// Largest number of voting members.
pub const MAX_MEMBERS: usize = 7;

/// Position of a value: the epoch in which it was proposed, and the number of values before it.
///
/// A new leader proposes the newest value it finds again: the epoch increases and the index stays the same.
/// Two committed values never share an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Epoch of the proposal; its low 32 bits are the leader's node.
    pub epoch: u64,
    /// Number of values before this one.
    pub index: u64,
}

/// The value that the cluster agrees on: the voting members and the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The voting members, sorted.
    pub members: Vec<Node>,
    /// During a membership change: the previous members. Every step then needs a majority of both memberships.
    pub outgoing: Vec<Node>,
    /// The document, opaque to this crate.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Number of the cluster, see the module `cluster`; 0 before the first change.
    #[serde(default)]
    pub cluster: u64,
}

/// State of a member that must survive a power loss. The driver writes it as a whole and atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Nothing below this epoch is accepted.
    pub promised: u64,
    /// Position of `value`.
    pub ballot: Ballot,
    /// The newest value that this member accepted.
    pub value: Rc<Value>,
    /// The previous state is known to be out of date: a state read back with `true` is treated like an empty disk.
    pub stale: bool,
    /// Number of times this node lost its disk. Votes of an earlier incarnation are void.
    pub incarnation: u64,
    /// Incarnations reported by other nodes that lost their disks: node, incarnation, nonce.
    pub incarnations: Vec<(Node, u64, u64)>,
    /// The node that this state belongs to; 0 in states written by older builds.
    #[serde(default)]
    pub owner: Node,
    /// The incarnation, plus one, of the leader that proposed the value under this ballot; 0 if unknown.
    #[serde(default)]
    pub proposer_incarnation: u64,
}

/// Settings of a [`Replica`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node itself.
    pub me: Node,
    /// The initial members; `Replica::new` sorts them.
    pub seeds: Vec<Node>,
    /// True only at the first start of the whole system: the seeds then form a new cluster.
    pub bootstrap: bool,
    /// Seed of the pseudo-random numbers. Must differ from start to start.
    pub seed: u64,
    /// Number of members that may be lost at once.
    pub tolerate: usize,
}

/// Messages between nodes. They may be lost, repeated, delayed or reordered without harm.
///
/// Variants are written by name on the wire, their fields by position.
///
/// Fields have the same meaning in all variants, except where noted:
/// - `epoch`: the epoch that the message is about; `promised`: the highest epoch that the sender has promised;
/// - `ballot`: the position of `value`; `have`: the position of the sender's newest value; `commit`: the newest position
///   that the sender knows to be committed;
/// - `nonce`: identifies a request and is repeated in the reply to it;
/// - `cluster`: the sender's cluster number;
/// - `incarnation`: the sender's incarnation (in the messages about learning, the learner's); `incarnations`: those of
///   other nodes that the sender has recorded, as pairs of node and incarnation or triples with the nonce;
/// - `proposer_incarnation`: as in [`PersistentState`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// The sender is running.
    Alive,
    /// Asks whether the receiver would promise an epoch; binding for neither side. `nonce` identifies the request.
    #[serde(rename = "Ask")]
    PreVote { nonce: u64, cluster: u64 },
    /// The sender would promise an epoch to the receiver.
    #[serde(rename = "AskOk")]
    PreVoteGranted { nonce: u64, promised: u64 },
    /// The sender would not promise an epoch: reports the leader (0 if unknown) and the newest ballot that the sender
    /// knows to be committed. Also sent, with `nonce` 0, to nodes that ask to join or leave.
    #[serde(rename = "AskNo")]
    PreVoteRefused { nonce: u64, promised: u64, leader: Node, commit: Ballot },
    /// Asks for a promise of this epoch; `have` is the ballot of the sender's newest value.
    Prepare { epoch: u64, have: Ballot, cluster: u64 },
    /// Promises the epoch; contains `value` if `ballot` is above the candidate's `have`.
    Promise {
        epoch: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        incarnation: u64,
        incarnations: Vec<(Node, u64)>,
    },
    /// The leader asks for a vote for this value.
    Accept {
        ballot: Ballot,
        value: Rc<Value>,
        /// The sender's incarnation.
        incarnation: u64,
    },
    /// The sender has the value of this ballot on disk.
    Accepted { ballot: Ballot, incarnation: u64, incarnations: Vec<(Node, u64)> },
    /// Refuses a request: its epoch is below `promised`, or it is higher and the sender can't promise it now.
    Refused {
        epoch: u64,
        promised: u64,
        /// Newest ballot that the sender knows to be committed. By this ballot a removed node notices that it was
        /// removed.
        commit: Ballot,
    },
    /// The leader is alive; `commit` is the newest committed ballot (zero if there is none yet).
    Heartbeat { epoch: u64, commit: Ballot, nonce: u64, cluster: u64 },
    /// Answers the heartbeat with this nonce.
    HeartbeatOk { epoch: u64, nonce: u64 },
    /// The leader gives up its epoch; `next` is to become a candidate at once (0: any member).
    #[serde(rename = "Quit")]
    StepDown { epoch: u64, next: Node },
    /// Asks for the newest committed value if it is newer than `have`.
    Fetch { have: Ballot },
    /// Answers `Fetch`.
    #[serde(rename = "News")]
    CommittedValue { ballot: Ballot, value: Rc<Value> },
    /// The sender's disk is empty: asks for the receiver's state. `incarnation` and `nonce` identify the sender's new
    /// incarnation.
    Learn { incarnation: u64, nonce: u64, have: Ballot, cluster: u64 },
    /// Answers `Learn`; contains `value` if the learner needs it.
    #[serde(rename = "Learnt")]
    LearnReply {
        incarnation: u64,
        nonce: u64,
        promised: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        incarnations: Vec<(Node, u64, u64)>,
        proposer_incarnation: u64,
    },
    /// The incarnation in a `Learn` was used before: the receiver must take one above this.
    NewerIncarnation { incarnation: u64 },
    /// The sender starts with a saved state whose newest ballot is `have`: asks for anything newer.
    Resume { nonce: u64, have: Ballot, cluster: u64 },
    /// Answers `Resume`; contains `value` if `ballot` is above `have`, or if it is of another cluster.
    #[serde(rename = "Resumed")]
    ResumeReply {
        nonce: u64,
        promised: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        incarnations: Vec<(Node, u64, u64)>,
        /// The receiver once voted for a ballot above its `have`: its state is not its newest.
        forgotten: bool,
    },
    /// The receiver's cluster was replaced by this new one, and its state is void.
    Superseded { cluster: u64 },
    /// Asks to be admitted as a member.
    Join,
    /// The sender is shutting down: asks to be removed if enough members remain.
    Leave,
}

/// Result of a proposal or a read barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal is committed: a majority has it on disk.
    Committed(Ballot),
    /// The value that `committed()` returns now contains everything that was acknowledged anywhere before the call.
    Confirmed,
    /// The leader lost its epoch meanwhile: the proposal may or may not be committed later.
    Unknown,
    /// Nothing was done: this node is not the leader, or no majority answered in time.
    NotLeader,
    /// Nothing was done: another proposal or too many read barriers are waiting.
    Busy,
}

/// Requests and notifications for the driver, to be handled in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this message to the node.
    Send(Node, Msg),
    /// Write this to disk and sync it, then call `save_finished` with the ticket. There is one save at a time.
    Save(u64, PersistentState),
    /// A committed value to apply. The same index may be reported again under a later epoch, with the same value.
    Committed(Ballot, Rc<Value>),
    /// This node leads this epoch, and the value it took over is committed.
    BecameLeader(u64),
    /// The leadership reported by `BecameLeader` has ended.
    LostLeadership,
    /// The proposal or read barrier with this ticket has ended with this outcome.
    Done { ticket: u64, outcome: Outcome },
}

/// A value is not sent or fetched again before it can have been transferred at this rate, bytes per second: further
/// copies would queue on a slow link ahead of all later messages.
const TRANSFER_RATE: f64 = 256e3;

impl Value {
    /// Seconds that the transfer of this value may take.
    pub(crate) fn transfer_time(&self) -> f64 {
        self.body.len() as f64 / TRANSFER_RATE
    }

    /// Whether the nodes for which `includes` is true are a majority of the members and, during a membership change,
    /// also of the previous members.
    pub(crate) fn has_quorum(&self, includes: impl Fn(Node) -> bool) -> bool {
        is_majority(&self.members, &includes)
            && (self.outgoing.is_empty() || is_majority(&self.outgoing, &includes))
    }

    /// All members, during a change also the previous ones, except `me`.
    pub(crate) fn others(&self, me: Node) -> Vec<Node> {
        let mut all: Vec<Node> =
            self.members.iter().chain(&self.outgoing).copied().filter(|&m| m != me).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

fn is_majority(members: &[Node], includes: impl Fn(Node) -> bool) -> bool {
    !members.is_empty() && members.iter().filter(|&&m| includes(m)).count() > members.len() / 2
}

/// Votes by node, with the incarnation in which each was cast; a vote is void once a later incarnation of its node is
/// known.
#[derive(Default)]
pub(crate) struct VoteTally {
    votes: BTreeMap<Node, u64>,
    incarnations: BTreeMap<Node, u64>,
}

impl VoteTally {
    pub(crate) fn add_vote(&mut self, node: Node, incarnation: u64, incarnations: &[(Node, u64)]) {
        self.update_incarnations(incarnations);
        let vote = self.votes.entry(node).or_default();
        *vote = incarnation.max(*vote);
    }

    pub(crate) fn update_incarnations(&mut self, incarnations: &[(Node, u64)]) {
        for &(node, incarnation) in incarnations {
            let known = self.incarnations.entry(node).or_default();
            *known = incarnation.max(*known);
        }
    }

    pub(crate) fn has_vote(&self, node: Node) -> bool {
        self.votes
            .get(&node)
            .is_some_and(|incarnation| self.incarnations.get(&node).is_none_or(|known| incarnation >= known))
    }
}
