//! Transfers of records from other voters, which arrive in parts.

use crate::electorate::Electorate;
use crate::record::Record;
use crate::Node;
use std::collections::BTreeMap;

/// One part of the records of a voter.
pub(super) struct TransferPart {
    /// The electorate of the sender.
    pub(super) electorate: Electorate,
    /// Distinguishes the transfers of the sender.
    pub(super) transfer: u64,
    /// Index of this part, and the number of parts.
    pub(super) part: u16,
    pub(super) parts: u16,
    pub(super) records: Vec<Record>,
}

/// The records received from one voter.
#[derive(Default)]
struct Received {
    electorate: Electorate,
    transfer: u64,
    parts: BTreeMap<u16, Vec<Record>>,
    complete: bool,
}

/// The newest transfer of each voter.
#[derive(Default)]
pub(super) struct Transfers {
    received: BTreeMap<Node, Received>,
}

impl Transfers {
    /// Adds one part; parts of an earlier transfer of the same voter are dropped.
    pub(super) fn add_part(&mut self, from: Node, part: TransferPart) {
        let received = self.received.entry(from).or_default();
        if received.electorate != part.electorate || received.transfer != part.transfer {
            *received =
                Received { electorate: part.electorate, transfer: part.transfer, ..Received::default() };
        }
        received.parts.insert(part.part, part.records);
        received.complete = received.parts.len() == usize::from(part.parts);
    }

    /// Whether a voter has sent all its records under an electorate for which the condition holds.
    pub(super) fn has_all_of(&self, node: Node, condition: impl Fn(&Electorate) -> bool) -> bool {
        self.received.get(&node).is_some_and(|from| from.complete && condition(&from.electorate))
    }

    /// All records received, in the order of the voters.
    pub(super) fn into_records(self) -> impl Iterator<Item = Record> {
        self.received.into_values().flat_map(|received| received.parts.into_values()).flatten()
    }
}
