//! The slow plain model: what was committed, acknowledged and confirmed, by whom.

use lupinledge_consensus::{Ballot, Node, Value};
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Check {
    /// Every committed value, by its index: members, old members and document.
    pub log: BTreeMap<u64, Value>,
    /// Newest index that was acknowledged.
    pub acked: u64,
    pub acks: u64,
    pub confirms: u64,
    epochs: BTreeMap<u64, (Node, u64)>,
}

impl Check {
    /// A node takes a value for committed.
    pub fn committed(&mut self, ballot: Ballot, value: &Value) {
        let known = self.log.entry(ballot.index).or_insert_with(|| value.clone());
        assert_eq!(known, value, "two values are committed at {ballot:?}");
        let before = self.log.range(..ballot.index).next_back();
        let after = self.log.range(ballot.index + 1..).next();
        let bodies = [before.map(|(_, v)| &v.body), Some(&value.body), after.map(|(_, v)| &v.body)];
        let bodies: Vec<&Vec<u8>> = bodies.into_iter().flatten().collect();
        assert!(
            bodies.windows(2).all(|pair| pair[1].starts_with(pair[0])),
            "lost or reordered at {ballot:?}"
        );
    }

    /// A client was told that its document is committed.
    pub fn acknowledged(&mut self, ballot: Ballot, body: &[u8]) {
        let known = self.log.get(&ballot.index).expect("told before the client");
        assert_eq!(known.body, body, "another document is in force at {ballot:?}");
        self.acked = self.acked.max(ballot.index);
        self.acks += 1;
    }

    /// A client was told that `index` is the newest; `acked` was so when it asked.
    pub fn confirmed(&mut self, index: u64, acked: u64) {
        assert!(index >= acked, "{index} confirmed though {acked} was acknowledged before");
        self.confirms += 1;
    }

    /// A run of a node won an epoch.
    pub fn won(&mut self, node: Node, run: u64, epoch: u64) {
        assert!(self.epochs.insert(epoch, (node, run)).is_none(), "epoch {epoch} held twice");
    }
}
