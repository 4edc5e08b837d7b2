//! What crosses the crate's border: values, stamps, kept state, messages, orders to the driver.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc};

/// The IPv4 address of a machine as number.
pub type Node = u32;

/// Most members a roll may have.
pub const ROLL_MOST: usize = 7;

/// Place of a value: the epoch it was proposed under, and how many values came before it.
///
/// A new holder proposes the value it found again: the epoch grows and the index stays.
/// Two committed values never share an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u64,
    pub index: u64,
}

/// What is agreed on: who counts, and the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The members that count, sorted.
    pub roll: Vec<Node>,
    /// While the roll changes: those that counted before; both rolls must carry every step then.
    pub old: Vec<Node>,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// State of a member that must outlive power loss. The driver writes it whole and atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Nothing below this epoch is accepted.
    pub promised: u64,
    pub stamp: Stamp,
    pub value: Rc<Value>,
    /// Never true in a state handed out to be saved; one read back with true counts as no disk.
    pub blank: bool,
    /// How often this node lost its disk. Votes of an earlier life don't count.
    pub life: u64,
    /// Lives of others whose disks were lost, as they told: node, life, nonce.
    pub lives: Vec<(Node, u64, u64)>,
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: Node,
    /// The founding members; sorted by `Queen::new`.
    pub seeds: Vec<Node>,
    /// True at the first start of the whole system only.
    pub bootstrap: bool,
    /// Must differ from start to start.
    pub seed: u64,
}

/// Messages between members. Lost, repeated, late and reordered ones do no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// I live.
    Alive,
    /// Would you promise me an epoch? Binds nobody.
    Ask {
        n: u64,
    },
    AskOk {
        n: u64,
        promised: u64,
    },
    /// There is a holder: who, its epoch, and what I know to be committed.
    AskNo {
        n: u64,
        promised: u64,
        holder: Node,
        commit: Stamp,
    },
    /// Promise me this epoch; `have` is what I hold already.
    Prepare {
        epoch: u64,
        have: Stamp,
    },
    /// Promised; `value` is there if `stamp` is above what the candidate had.
    Promise {
        epoch: u64,
        stamp: Stamp,
        value: Option<Rc<Value>>,
        life: u64,
        lives: Vec<(Node, u64)>,
    },
    Accept {
        stamp: Stamp,
        value: Rc<Value>,
    },
    Accepted {
        stamp: Stamp,
        life: u64,
        lives: Vec<(Node, u64)>,
    },
    /// The asked epoch is below what I promised (or I won't promise it now, if `promised` is below it).
    Refused {
        epoch: u64,
        promised: u64,
    },
    /// The holder lives; `commit` is the newest committed stamp (zero: none yet).
    Beat {
        epoch: u64,
        commit: Stamp,
        nonce: u64,
    },
    BeatOk {
        epoch: u64,
        nonce: u64,
    },
    /// The holder gives its epoch up.
    Quit {
        epoch: u64,
    },
    /// Tell me what is committed, if newer.
    Fetch {
        have: Stamp,
    },
    News {
        stamp: Stamp,
        value: Rc<Value>,
    },
    /// My disk is empty: what do you hold? `life` and `nonce` name this new life.
    Learn {
        life: u64,
        nonce: u64,
        have: Stamp,
    },
    Learnt {
        life: u64,
        nonce: u64,
        promised: u64,
        stamp: Stamp,
        value: Option<Rc<Value>>,
        lives: Vec<(Node, u64, u64)>,
    },
    /// That life was there before; take a higher one.
    Relive {
        life: u64,
    },
    /// Admit me.
    Join,
}

/// How a proposal or a barrier ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal is committed: synced on a majority.
    Committed(Stamp),
    /// What `committed()` says now held everything acknowledged anywhere before the call.
    Confirmed,
    /// The epoch was lost midway: the proposal may or may not come into force.
    Unknown,
    /// Nothing was done: not the holder, or no majority in time.
    NotHolder,
    /// Nothing was done: another proposal is on its way, or too many wait.
    Busy,
}

/// Orders and news to the driver, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send(Node, Msg),
    /// Sync this to disk, then call `saved` with the ticket. One at a time.
    Save(u64, Kept),
    /// News to apply. The same index may come again under a later epoch: the same value.
    Committed(Stamp, Rc<Value>),
    /// This node holds that epoch, and all older doubts are settled.
    Won(u64),
    /// The epoch told by `Won` is over.
    Lost,
    Done {
        ticket: u64,
        how: Outcome,
    },
}

impl Value {
    /// Is the set told by `has` a majority of the roll, and of the old one while it changes?
    pub(crate) fn carried(&self, has: impl Fn(Node) -> bool) -> bool {
        majority(&self.roll, &has) && (self.old.is_empty() || majority(&self.old, &has))
    }

    /// All that count, now or before, without `me`.
    pub(crate) fn others(&self, me: Node) -> Vec<Node> {
        let mut all: Vec<Node> = self.roll.iter().chain(&self.old).copied().filter(|&m| m != me).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

fn majority(roll: &[Node], has: impl Fn(Node) -> bool) -> bool {
    !roll.is_empty() && roll.iter().filter(|&&m| has(m)).count() > roll.len() / 2
}

/// Votes of nodes, each given in one of its lives; a vote falls when a later life is heard of.
#[derive(Default)]
pub(crate) struct Tally {
    votes: BTreeMap<Node, u64>,
    lives: BTreeMap<Node, u64>,
}

impl Tally {
    pub(crate) fn vote(&mut self, node: Node, life: u64, lives: &[(Node, u64)]) {
        self.know(lives);
        let vote = self.votes.entry(node).or_default();
        *vote = life.max(*vote);
    }

    pub(crate) fn know(&mut self, lives: &[(Node, u64)]) {
        for &(node, life) in lives {
            let known = self.lives.entry(node).or_default();
            *known = life.max(*known);
        }
    }

    pub(crate) fn has(&self, node: Node) -> bool {
        self.votes.get(&node).is_some_and(|life| self.lives.get(&node).is_none_or(|known| life >= known))
    }
}
