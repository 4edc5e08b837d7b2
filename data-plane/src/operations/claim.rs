//! One claim as its request sees it: whether it is granted, and which other claims hold the key.

use lupinledge_messaging::Node;
use lupinledge_operations::record::{ClaimId, Fingerprint};
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// Other claims that are told apart; there are no more than voters.
const HOLDERS_MOST: usize = 16;

/// Another claim that holds the key at some voter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    pub by: ClaimId,
    pub fingerprint: Fingerprint,
    /// A voter that keeps the answer.
    pub answered_at: Option<Node>,
}

/// See the module.
pub struct Claim {
    pub id: ClaimId,
    granted: Cell<bool>,
    withdrawn: Cell<bool>,
    holders: RefCell<Vec<Holder>>,
    /// For the one request that made the claim.
    changed: Notify,
}

impl Claim {
    /// One that nobody has voted on yet.
    pub fn new(id: ClaimId) -> Claim {
        let (granted, withdrawn) = (Cell::new(false), Cell::new(false));
        Claim { id, granted, withdrawn, holders: RefCell::default(), changed: Notify::new() }
    }

    /// A majority has granted it.
    pub fn grant(&self) {
        self.granted.set(true);
        self.changed.notify_one();
    }

    /// It is given up and will not be granted.
    pub fn withdraw(&self) {
        self.withdrawn.set(true);
        self.changed.notify_one();
    }

    /// A voter has the key under another claim.
    pub fn held(&self, by: ClaimId, fingerprint: Fingerprint, answered_at: Option<Node>) {
        let mut holders = self.holders.borrow_mut();
        let room = holders.len() < HOLDERS_MOST;
        match holders.iter_mut().find(|holder| holder.by == by) {
            Some(holder) => holder.answered_at = answered_at.or(holder.answered_at),
            None if room => holders.push(Holder { by, fingerprint, answered_at }),
            None => {}
        }
        drop(holders);
        self.changed.notify_one();
    }

    pub fn is_granted(&self) -> bool {
        self.granted.get()
    }

    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn.get()
    }

    /// Those that are answered first, then by their numbers: all requests of a key look at the same one first.
    pub fn holders(&self) -> Vec<Holder> {
        let mut holders = self.holders.borrow().clone();
        holders.sort_unstable_by_key(|holder| (holder.answered_at.is_none(), holder.by));
        holders
    }

    /// Until something of it may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Until it is granted, which may be never.
    pub async fn until_granted(&self) {
        while !self.granted.get() {
            self.changed.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
