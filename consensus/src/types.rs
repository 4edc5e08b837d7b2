//! What crosses the crate's border: values, ballots, kept state, messages, orders to the driver.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc};

/// The IPv4 address of a machine as number.
pub type Node = u32;

/// Most members that may count.
pub const MAX_MEMBERS: usize = 7;

/// Place of a value: the epoch it was proposed under, and how many values came before it.
///
/// A new leader proposes the value it found again: the epoch grows and the index stays.
/// Two committed values never share an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub epoch: u64,
    pub index: u64,
}

/// What is agreed on: who counts, and the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The members that count, sorted.
    pub members: Vec<Node>,
    /// While the members changes: those that counted before; both memberships must carry every step then.
    pub outgoing: Vec<Node>,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Which cluster this is of, see the module `cluster`; 0 before its first change.
    #[serde(default)]
    pub cluster: u64,
}

/// State of a member that must outlive power loss. The driver writes it whole and atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Nothing below this epoch is accepted.
    pub promised: u64,
    pub ballot: Ballot,
    pub value: Rc<Value>,
    /// What was held is known to be out of date: a state read back with true counts as no disk.
    pub stale: bool,
    /// How often this node lost its disk. Votes of an earlier incarnation don't count.
    pub incarnation: u64,
    /// Lives of others whose disks were lost, as they told: node, incarnation, nonce.
    pub incarnations: Vec<(Node, u64, u64)>,
    /// Whose state this is; 0 in states of older builds.
    #[serde(default)]
    pub owner: Node,
    /// The incarnation, plus one, of the leader that proposed the value under this ballot; 0: not known.
    #[serde(default)]
    pub proposer: u64,
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: Node,
    /// The founding members; sorted by `Replica::new`.
    pub seeds: Vec<Node>,
    /// True at the first start of the whole system only.
    pub bootstrap: bool,
    /// Must differ from start to start.
    pub seed: u64,
    /// How many members may be lost at once.
    pub tolerate: usize,
}

/// Messages between members. Lost, repeated, late and reordered ones do no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// I live.
    Alive,
    /// Would you promise me an epoch? Binds nobody.
    #[serde(rename = "Ask")]
    PreVote {
        n: u64,
        cluster: u64,
    },
    #[serde(rename = "AskOk")]
    PreVoteGranted {
        n: u64,
        promised: u64,
    },
    /// There is a leader: who, its epoch, and what I know to be committed.
    #[serde(rename = "AskNo")]
    PreVoteRefused {
        n: u64,
        promised: u64,
        leader: Node,
        commit: Ballot,
    },
    /// Promise me this epoch; `have` is what I hold already.
    Prepare {
        epoch: u64,
        have: Ballot,
        cluster: u64,
    },
    /// Promised; `value` is there if `ballot` is above what the candidate had.
    Promise {
        epoch: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        incarnation: u64,
        incarnations: Vec<(Node, u64)>,
    },
    Accept {
        ballot: Ballot,
        value: Rc<Value>,
        /// The sender's incarnation.
        incarnation: u64,
    },
    Accepted {
        ballot: Ballot,
        incarnation: u64,
        incarnations: Vec<(Node, u64)>,
    },
    /// The asked epoch is below what I promised (or I won't promise it now, if `promised` is below it).
    Refused {
        epoch: u64,
        promised: u64,
        /// Newest committed ballot that I know of: who was struck without knowing it learns so.
        commit: Ballot,
    },
    /// The leader is alive; `commit` is the newest committed ballot (zero: none yet).
    Heartbeat {
        epoch: u64,
        commit: Ballot,
        nonce: u64,
        cluster: u64,
    },
    HeartbeatOk {
        epoch: u64,
        nonce: u64,
    },
    /// The leader gives its epoch up; `next` is to stand at once (0: whoever comes first).
    #[serde(rename = "Quit")]
    StepDown {
        epoch: u64,
        next: Node,
    },
    /// Tell me what is committed, if newer.
    Fetch {
        have: Ballot,
    },
    #[serde(rename = "News")]
    CommittedValue {
        ballot: Ballot,
        value: Rc<Value>,
    },
    /// My disk is empty: what do you hold? `incarnation` and `nonce` name this new incarnation.
    Learn {
        incarnation: u64,
        nonce: u64,
        have: Ballot,
        cluster: u64,
    },
    #[serde(rename = "Learnt")]
    LearnReply {
        incarnation: u64,
        nonce: u64,
        promised: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        incarnations: Vec<(Node, u64, u64)>,
        proposer: u64,
    },
    /// That incarnation was there before; take a higher one.
    NewerIncarnation {
        incarnation: u64,
    },
    /// I start with a state that ends at `have`: do you hold newer?
    Resume {
        nonce: u64,
        have: Ballot,
        cluster: u64,
    },
    /// What is held here; `value` is there if `ballot` is above what was told, or of another cluster.
    #[serde(rename = "Resumed")]
    ResumeReply {
        nonce: u64,
        promised: u64,
        ballot: Ballot,
        value: Option<Rc<Value>>,
        incarnations: Vec<(Node, u64, u64)>,
        /// The asking node voted for more than it holds now.
        forgotten: bool,
    },
    /// Your cluster was founded anew, as this one: what you hold counts no more.
    Superseded {
        cluster: u64,
    },
    /// Admit me.
    Join,
    /// I am told to end: strike me, if the others are enough.
    Leave,
}

/// How a proposal or a barrier ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal is committed: synced on a majority.
    Committed(Ballot),
    /// What `committed()` says now held everything acknowledged anywhere before the call.
    Confirmed,
    /// The epoch was lost midway: the proposal may or may not come into force.
    Unknown,
    /// Nothing was done: not the leader, or no majority in time.
    NotLeader,
    /// Nothing was done: another proposal is on its way, or too many wait.
    Busy,
}

/// Orders and news to the driver, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send(Node, Msg),
    /// Sync this to disk, then call `saved` with the ticket. One at a time.
    Save(u64, PersistentState),
    /// News to apply. The same index may come again under a later epoch: the same value.
    Committed(Ballot, Rc<Value>),
    /// This node holds that epoch, and all older doubts are settled.
    BecameLeader(u64),
    /// The epoch told by `BecameLeader` is over.
    LostLeadership,
    Done {
        ticket: u64,
        outcome: Outcome,
    },
}

/// No value is sent, or asked for, again before it can be through at this pace, bytes a second: copies of it would
/// queue on a slow link ahead of all that comes after.
const PACE: f64 = 256e3;

impl Value {
    /// Seconds that it may take on its way.
    pub(crate) fn span(&self) -> f64 {
        self.body.len() as f64 / PACE
    }

    /// Is the set told by `has` a majority of the members, and of the old one while it changes?
    pub(crate) fn carried(&self, has: impl Fn(Node) -> bool) -> bool {
        majority(&self.members, &has) && (self.outgoing.is_empty() || majority(&self.outgoing, &has))
    }

    /// All that count, now or before, without `me`.
    pub(crate) fn others(&self, me: Node) -> Vec<Node> {
        let mut all: Vec<Node> =
            self.members.iter().chain(&self.outgoing).copied().filter(|&m| m != me).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

fn majority(members: &[Node], has: impl Fn(Node) -> bool) -> bool {
    !members.is_empty() && members.iter().filter(|&&m| has(m)).count() > members.len() / 2
}

/// Votes of nodes, each given in one of its incarnations; a vote falls when a later incarnation is heard of.
#[derive(Default)]
pub(crate) struct Tally {
    votes: BTreeMap<Node, u64>,
    incarnations: BTreeMap<Node, u64>,
}

impl Tally {
    pub(crate) fn vote(&mut self, node: Node, incarnation: u64, incarnations: &[(Node, u64)]) {
        self.know(incarnations);
        let vote = self.votes.entry(node).or_default();
        *vote = incarnation.max(*vote);
    }

    pub(crate) fn know(&mut self, incarnations: &[(Node, u64)]) {
        for &(node, incarnation) in incarnations {
            let known = self.incarnations.entry(node).or_default();
            *known = incarnation.max(*known);
        }
    }

    pub(crate) fn has(&self, node: Node) -> bool {
        self.votes
            .get(&node)
            .is_some_and(|incarnation| self.incarnations.get(&node).is_none_or(|known| incarnation >= known))
    }
}
