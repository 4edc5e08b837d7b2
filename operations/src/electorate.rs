//! Whose votes count, and in which of their incarnations.

use crate::Node;
use serde::{Deserialize, Serialize};

/// One voter's state since its disk was empty last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// 0 for those that founded the system.
    pub number: u64,
    /// Tells two that took the same number apart.
    pub nonce: u64,
}

/// A hash of an electorate: votes count together only where it is the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ElectorateId(pub u64);

/// The voters as one of them knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Electorate {
    /// Index of the agreed value that names the members.
    pub index: u64,
    /// The members, sorted.
    pub members: Vec<Node>,
    /// While the members change, those that counted before; a majority of both is needed then.
    pub outgoing: Vec<Node>,
    /// Incarnations above the founders', sorted by node.
    pub incarnations: Vec<(Node, Incarnation)>,
}

impl Electorate {
    /// The hash of all that it says (FNV-1a).
    pub fn id(&self) -> ElectorateId {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let mut add = |number: u64| {
            for byte in number.to_le_bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        add(self.index);
        for group in [&self.members, &self.outgoing] {
            add(group.len() as u64);
            group.iter().for_each(|&node| add(u64::from(node)));
        }
        for (node, incarnation) in &self.incarnations {
            if self.has(*node) {
                add(u64::from(*node));
                add(incarnation.number);
                add(incarnation.nonce);
            }
        }
        ElectorateId(hash)
    }

    /// Grows with each change: what a voter takes over makes its electorate later, never earlier.
    pub fn age(&self) -> (u64, u64) {
        let incarnations = self.incarnations.iter().map(|(_, incarnation)| incarnation.number);
        (self.index, incarnations.sum())
    }

    /// Does that node count?
    pub fn has(&self, node: Node) -> bool {
        self.members.contains(&node) || self.outgoing.contains(&node)
    }

    /// All that count, without `me`.
    pub fn others(&self, me: Node) -> Vec<Node> {
        let mut all: Vec<Node> =
            self.members.iter().chain(&self.outgoing).copied().filter(|&node| node != me).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Are those a majority of the members, and of those before while they change?
    pub fn carried(&self, has: impl Fn(Node) -> bool) -> bool {
        majority(&self.members, &has) && (self.outgoing.is_empty() || majority(&self.outgoing, &has))
    }

    /// Do those, without `me`, meet each majority in somebody other than `me`?
    pub fn taught(&self, me: Node, has: impl Fn(Node) -> bool) -> bool {
        let half =
            |group: &[Node]| 2 * group.iter().filter(|&&node| node != me && has(node)).count() >= group.len();
        !self.members.is_empty() && half(&self.members) && half(&self.outgoing)
    }

    /// The known incarnation of a node.
    pub fn incarnation(&self, node: Node) -> Incarnation {
        let found = self.incarnations.binary_search_by_key(&node, |known| known.0);
        found.map_or(Incarnation::default(), |at| self.incarnations[at].1)
    }

    /// Notes an incarnation if it is later than the known one; returns whether it was.
    pub fn note(&mut self, node: Node, incarnation: Incarnation) -> bool {
        if incarnation <= self.incarnation(node) {
            return false;
        }
        match self.incarnations.binary_search_by_key(&node, |known| known.0) {
            Ok(at) => self.incarnations[at].1 = incarnation,
            Err(at) => self.incarnations.insert(at, (node, incarnation)),
        }
        true
    }

    /// Takes over what another one knows later; returns whether anything was.
    pub fn merge(&mut self, other: &Electorate) -> bool {
        let mut changed = self.follow(other.index, &other.members, &other.outgoing);
        for (node, incarnation) in &other.incarnations {
            changed |= self.note(*node, *incarnation);
        }
        changed
    }

    /// Goes by a later agreed value; returns whether it was later. Who doesn't count any more has to learn before it
    /// may count again: its incarnation ends.
    pub fn follow(&mut self, index: u64, members: &[Node], outgoing: &[Node]) -> bool {
        // the founders' value has index 0, as has an electorate that knows nobody yet
        let later = index > self.index || self.members.is_empty();
        if !later || members.is_empty() {
            return false;
        }
        let before = self.others(0);
        self.index = index;
        (self.members, self.outgoing) = (members.to_vec(), outgoing.to_vec());
        for node in before.into_iter().filter(|&node| !self.has(node)).collect::<Vec<_>>() {
            let ended = Incarnation { number: self.incarnation(node).number + 1, nonce: 0 };
            self.note(node, ended);
        }
        true
    }
}

fn majority(group: &[Node], has: impl Fn(Node) -> bool) -> bool {
    !group.is_empty() && group.iter().filter(|&&node| has(node)).count() > group.len() / 2
}
