//! What a voter that learns has received from the other voters.

use super::transfers::{TransferPart, Transfers};
use crate::electorate::{ElectorateId, Incarnation};
use crate::record::Record;
use crate::Node;

/// The state of a voter that learns: it fetches the records of the other voters.
pub(super) struct Learner {
    /// The incarnation under which it learns.
    pub(super) incarnation: Incarnation,
    /// When records are requested next.
    pub(super) next_request: f64,
    transfers: Transfers,
}

impl Learner {
    pub(super) fn new(incarnation: Incarnation, next_request: f64) -> Learner {
        Learner { incarnation, next_request, transfers: Transfers::default() }
    }

    /// Adds one part of the records of another voter.
    pub(super) fn add_part(&mut self, from: Node, part: TransferPart) {
        self.transfers.add_part(from, part);
    }

    /// Whether a voter has sent all its records under this electorate.
    pub(super) fn has_all_of(&self, node: Node, electorate: ElectorateId) -> bool {
        self.transfers.has_all_of(node, |under| under.id() == electorate)
    }

    /// All records received, in the order of the voters.
    pub(super) fn into_records(self) -> impl Iterator<Item = Record> {
        self.transfers.into_records()
    }
}
