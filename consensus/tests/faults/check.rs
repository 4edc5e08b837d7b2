//! A simple reference model of what was committed, acknowledged and confirmed; it fails on any contradiction.

use lupinledge_consensus::{Ballot, Node, Value};
use std::collections::BTreeMap;

/// The history of all nodes.
#[derive(Default)]
pub struct Check {
    /// All committed values by index: members, previous members and document.
    pub log: BTreeMap<u64, Value>,
    /// Newest acknowledged index.
    pub acked: u64,
    /// Number of acknowledged proposals.
    pub acknowledgements: u64,
    /// Number of confirmed read barriers.
    pub confirmations: u64,
    /// Leader of each epoch: node and run of its process.
    epochs: BTreeMap<u64, (Node, u64)>,
}

impl Check {
    /// A node reports a value as committed.
    pub fn committed(&mut self, ballot: Ballot, value: &Value) {
        let recorded = self.log.entry(ballot.index).or_insert_with(|| value.clone());
        assert_eq!(recorded, value, "two different values are committed at {ballot:?}");
        let before = self.log.range(..ballot.index).next_back();
        let after = self.log.range(ballot.index + 1..).next();
        let bodies = [before.map(|(_, v)| &v.body), Some(&value.body), after.map(|(_, v)| &v.body)];
        let bodies: Vec<&Vec<u8>> = bodies.into_iter().flatten().collect();
        assert!(
            bodies.windows(2).all(|pair| pair[1].starts_with(pair[0])),
            "an entry was lost or reordered at {ballot:?}"
        );
    }

    /// A client was notified that its document is committed.
    pub fn acknowledged(&mut self, ballot: Ballot, body: &[u8]) {
        let recorded =
            self.log.get(&ballot.index).expect("the node reports the commit before it notifies the client");
        assert_eq!(recorded.body, body, "another document is committed at {ballot:?}");
        self.acked = self.acked.max(ballot.index);
        self.acknowledgements += 1;
    }

    /// A read barrier confirmed `index` as the newest; `acked` was the newest acknowledged index at its start.
    pub fn confirmed(&mut self, index: u64, acked: u64) {
        assert!(index >= acked, "{index} was confirmed although {acked} had been acknowledged before");
        self.confirmations += 1;
    }

    /// A run of a node became the leader of an epoch.
    pub fn won(&mut self, node: Node, run: u64, epoch: u64) {
        assert!(self.epochs.insert(epoch, (node, run)).is_none(), "epoch {epoch} has two leaders");
    }
}
