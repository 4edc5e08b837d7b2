//! One claim as its request sees it: whether it is granted, and which other claims hold the key.

use lupinledge_messaging::Node;
use lupinledge_operations::record::{ClaimId, Fingerprint};
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// Largest number of other claims that are kept; there are no more than voters.
const MAX_HOLDERS: usize = 16;

/// Another claim that holds the key at some voter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// The claim that holds the key.
    pub claim_id: ClaimId,
    /// The fingerprint of that claim's request.
    pub fingerprint: Fingerprint,
    /// A voter that stores the answer, if any.
    pub answered_at: Option<Node>,
}

/// The state of one claim, shared by its request and the handling of votes.
pub struct Claim {
    /// The claim's id.
    pub id: ClaimId,
    granted: Cell<bool>,
    withdrawn: Cell<bool>,
    holders: RefCell<Vec<Holder>>,
    /// Wakes the request that made the claim; there is only one.
    changed: Notify,
}

impl Claim {
    /// Creates a claim without votes.
    pub fn new(id: ClaimId) -> Claim {
        let (granted, withdrawn) = (Cell::new(false), Cell::new(false));
        Claim { id, granted, withdrawn, holders: RefCell::default(), changed: Notify::new() }
    }

    /// Marks the claim as granted by a majority.
    pub fn mark_granted(&self) {
        self.granted.set(true);
        self.changed.notify_one();
    }

    /// Marks the claim as given up; it will not be granted.
    pub fn mark_withdrawn(&self) {
        self.withdrawn.set(true);
        self.changed.notify_one();
    }

    /// Records that a voter has granted the key to another claim.
    pub fn add_holder(&self, claim_id: ClaimId, fingerprint: Fingerprint, answered_at: Option<Node>) {
        let mut holders = self.holders.borrow_mut();
        let has_room = holders.len() < MAX_HOLDERS;
        match holders.iter_mut().find(|holder| holder.claim_id == claim_id) {
            Some(holder) => holder.answered_at = answered_at.or(holder.answered_at),
            None if has_room => holders.push(Holder { claim_id, fingerprint, answered_at }),
            None => {}
        }
        drop(holders);
        self.changed.notify_one();
    }

    /// Whether a majority has granted the claim.
    pub fn is_granted(&self) -> bool {
        self.granted.get()
    }

    /// Whether the claim was given up.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.get()
    }

    /// The other claims that hold the key: those with a stored answer first, then by claim id, so that all
    /// requests of a key ask about the same claim first.
    pub fn holders(&self) -> Vec<Holder> {
        let mut holders = self.holders.borrow().clone();
        holders.sort_unstable_by_key(|holder| (holder.answered_at.is_none(), holder.claim_id));
        holders
    }

    /// Waits until the claim may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Waits until the claim is granted, which may never happen.
    pub async fn until_granted(&self) {
        while !self.granted.get() {
            self.changed.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
