//! The set of voters whose votes count, and the incarnation of each.

use crate::Node;
use serde::{Deserialize, Serialize};

/// Identifies one lifetime of a voter's records, which ends when its disk is lost or it is no longer a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// 0 for the voters that founded the system.
    pub number: u64,
    /// Distinguishes two incarnations with the same number.
    pub nonce: u64,
}

/// A hash of an electorate. Votes are counted together only if their electorate ids are equal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ElectorateId(pub u64);

/// The voters, as one node last learned them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Electorate {
    /// Index of the committed consensus value that lists the members.
    pub index: u64,
    /// The members, sorted.
    pub members: Vec<Node>,
    /// The previous members while the membership changes; a majority of both sets is needed then.
    pub outgoing: Vec<Node>,
    /// Incarnations with a number above 0, sorted by node.
    pub incarnations: Vec<(Node, Incarnation)>,
}

impl Electorate {
    /// The FNV-1a hash of the index, the members, and the incarnations of members.
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
            if self.is_voter(*node) {
                add(u64::from(*node));
                add(incarnation.number);
                add(incarnation.nonce);
            }
        }
        ElectorateId(hash)
    }

    /// A version that grows with each change; merging another electorate never lowers it.
    pub fn version(&self) -> (u64, u64) {
        let incarnations = self.incarnations.iter().map(|(_, incarnation)| incarnation.number);
        (self.index, incarnations.sum())
    }

    /// Whether the node's votes count.
    pub fn is_voter(&self, node: Node) -> bool {
        self.members.contains(&node) || self.outgoing.contains(&node)
    }

    /// All nodes whose votes count, except `me`.
    pub fn others(&self, me: Node) -> Vec<Node> {
        let mut all: Vec<Node> =
            self.members.iter().chain(&self.outgoing).copied().filter(|&node| node != me).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Whether the nodes for which `has` is true are a majority of the members, and of the previous members during a
    /// change.
    pub fn has_majority(&self, has: impl Fn(Node) -> bool) -> bool {
        majority(&self.members, &has) && (self.outgoing.is_empty() || majority(&self.outgoing, &has))
    }

    /// Whether the nodes for which `has` is true, except `me`, share a node other than `me` with every majority.
    pub fn covers_every_majority(&self, me: Node, has: impl Fn(Node) -> bool) -> bool {
        let at_least_half =
            |group: &[Node]| 2 * group.iter().filter(|&&node| node != me && has(node)).count() >= group.len();
        !self.members.is_empty() && at_least_half(&self.members) && at_least_half(&self.outgoing)
    }

    /// The known incarnation of a node.
    pub fn incarnation(&self, node: Node) -> Incarnation {
        let position = self.incarnations.binary_search_by_key(&node, |known| known.0);
        position.map_or(Incarnation::default(), |at| self.incarnations[at].1)
    }

    /// Records an incarnation if it is later than the known one; returns whether it was.
    pub fn raise_incarnation(&mut self, node: Node, incarnation: Incarnation) -> bool {
        if incarnation <= self.incarnation(node) {
            return false;
        }
        match self.incarnations.binary_search_by_key(&node, |known| known.0) {
            Ok(at) => self.incarnations[at].1 = incarnation,
            Err(at) => self.incarnations.insert(at, (node, incarnation)),
        }
        true
    }

    /// Takes over everything that is newer in `other`; returns whether anything changed.
    pub fn merge(&mut self, other: &Electorate) -> bool {
        let mut changed = self.adopt_members(other.index, &other.members, &other.outgoing);
        for (node, incarnation) in &other.incarnations {
            changed |= self.raise_incarnation(*node, *incarnation);
        }
        changed
    }

    /// Adopts the members of a later consensus value; returns whether it was later. Ends the incarnation of each node
    /// that is no longer a member, so that it has to fetch the records again before its votes count again.
    pub fn adopt_members(&mut self, index: u64, members: &[Node], outgoing: &[Node]) -> bool {
        // the founding value has index 0, and so has an electorate without members
        let later = index > self.index || self.members.is_empty();
        if !later || members.is_empty() {
            return false;
        }
        let before = self.others(0);
        self.index = index;
        (self.members, self.outgoing) = (members.to_vec(), outgoing.to_vec());
        for node in before.into_iter().filter(|&node| !self.is_voter(node)).collect::<Vec<_>>() {
            let ended = Incarnation { number: self.incarnation(node).number + 1, nonce: 0 };
            self.raise_incarnation(node, ended);
        }
        true
    }
}

/// Whether the nodes for which `has` is true are a majority of the group.
fn majority(group: &[Node], has: impl Fn(Node) -> bool) -> bool {
    !group.is_empty() && group.iter().filter(|&&node| has(node)).count() > group.len() / 2
}
