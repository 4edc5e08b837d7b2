//! What a voter that became incomplete by removals of members has received from the other voters.

use super::transfers::{TransferPart, Transfers};
use crate::electorate::Electorate;
use crate::record::{ClaimId, Record};
use crate::Node;
use std::collections::BTreeSet;

/// Most claims whose release is remembered.
const MAX_RELEASED: usize = 4096;

/// The state of a voter that fetches the records of others while it keeps its own.
pub(super) struct CatchUp {
    /// The electorate for which the voter becomes complete.
    target: Electorate,
    /// When records are requested next.
    pub(super) next_request: f64,
    /// Whether records were requested before.
    requested: bool,
    transfers: Transfers,
    /// Claims released meanwhile, whose records may still be on their way.
    released: BTreeSet<ClaimId>,
}

impl CatchUp {
    pub(super) fn new(target: Electorate, next_request: f64) -> CatchUp {
        CatchUp {
            target,
            next_request,
            requested: false,
            transfers: Transfers::default(),
            released: BTreeSet::new(),
        }
    }

    /// Whether the members are still those for which the voter becomes complete.
    pub(super) fn has_target(&self, electorate: &Electorate) -> bool {
        self.target.members == electorate.members && self.target.outgoing == electorate.outgoing
    }

    /// Adds one part of the records of another voter.
    pub(super) fn add_part(&mut self, from: Node, part: TransferPart) {
        self.transfers.add_part(from, part);
    }

    /// Records that a claim was released.
    pub(super) fn on_release(&mut self, claim: ClaimId) {
        if self.released.len() < MAX_RELEASED {
            self.released.insert(claim);
        }
    }

    /// Whether a voter has sent all its records since it adopted the target, after which it grants nothing under an
    /// earlier electorate.
    fn has_all_of(&self, node: Node) -> bool {
        self.transfers.has_all_of(node, |under| under.index >= self.target.index)
    }

    /// Whether the records of `me` and of members that sent all of theirs are those of `voters` members at least.
    pub(super) fn covers(&self, me: Node, voters: usize) -> bool {
        let sent = |&&node: &&Node| node == me || self.has_all_of(node);
        self.target.members.iter().filter(sent).count() >= voters
    }

    /// The members to request records from now: at first as few as are needed, then all that have not sent theirs.
    pub(super) fn members_to_ask(&mut self, me: Node, voters: usize) -> Vec<Node> {
        let members = &self.target.members;
        let start = members.partition_point(|&node| node <= me);
        let in_turn = members[start..].iter().chain(&members[..start]).copied();
        let missing = in_turn.filter(|&node| node != me && !self.has_all_of(node));
        let most = if self.requested { usize::MAX } else { voters.saturating_sub(1) };
        let asked = missing.take(most).collect();
        self.requested = true;
        asked
    }

    /// All records received of claims that were not released, in the order of the voters.
    pub(super) fn into_records(self) -> impl Iterator<Item = Record> {
        let released = self.released;
        self.transfers.into_records().filter(move |record| !released.contains(&record.claim))
    }
}
