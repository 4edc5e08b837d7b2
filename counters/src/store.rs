//! The token buckets of customers' quotas, called stores, as the holder of the counters keeps them: each fills at its
//! rate up to its size, and every increase of a usage name of the customer is taken out. The holder answers gateways with the
//! level that is left, so that no gateway has to compute it from totals read at different times.

use crate::silence::SILENCE_TIMEOUT;
use crate::Node;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of stores kept; further customers get no level.
pub const MAX_STORES: usize = crate::silence::MAX_CUSTOMERS;

/// A quota: `rate` units a second, and no more than `size` at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units added per second.
    pub rate: f64,
    /// Capacity in units.
    pub size: f64,
}

impl Quota {
    /// Whether this is a limit at all.
    fn is_limit(self) -> bool {
        self.rate > 0.0 && self.rate.is_finite() && self.size.is_finite()
    }
}

/// The level of a store as a gateway received it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// What was left, in units; negative if the store was overdrawn.
    pub level: f64,
    /// How long ago it was received, in seconds.
    pub age: f64,
}

/// The store of one customer.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    quota: Quota,
    level: f64,
    at: f64,
    /// What silent gateways are presumed to have used, as far as it has been taken out.
    presumed: f64,
    /// For gateways that were silent: what was taken out in advance, to be offset against their later reports.
    prepaid: BTreeMap<Node, Prepaid>,
}

/// What was taken out for a gateway while it was silent, offset against what it reports once it is back.
#[derive(Clone, Copy, Debug)]
enum Prepaid {
    /// The gateway has reported nothing since it is back.
    Pending { presumed: f64, back_at: f64 },
    /// The amount of its first report that had been taken out before. Charges of rejected requests are refunded by
    /// negative amounts: up to this amount such a refund puts nothing back, because the charge took nothing out.
    Settled(f64),
}

impl Prepaid {
    /// Offsets a reported amount; returns what is to be taken out for it.
    fn offset(&mut self, now: f64, amount: f64) -> f64 {
        match *self {
            Prepaid::Pending { presumed, back_at } => {
                // what it reports later was not used during the silence
                let paid = if now - back_at <= SILENCE_TIMEOUT { presumed.min(amount.max(0.0)) } else { 0.0 };
                *self = Prepaid::Settled(paid);
                amount - paid
            }
            Prepaid::Settled(paid) => {
                let retained = paid.min((-amount).max(0.0));
                *self = Prepaid::Settled(paid - retained);
                amount + retained
            }
        }
    }

    /// Whether it no longer affects any report.
    fn is_used_up(self) -> bool {
        matches!(self, Prepaid::Settled(paid) if paid <= 0.0)
    }
}

impl Store {
    fn full(quota: Quota, now: f64) -> Store {
        Store { quota, level: quota.size, at: now, presumed: 0.0, prepaid: BTreeMap::new() }
    }

    /// What is left at `now`, after taking out what silent gateways are presumed to have used by then. If the
    /// presumption decreases, nothing is put back: whether it was used shows in [`Store::charge`].
    pub(crate) fn level(&mut self, now: f64, presumed: f64) -> f64 {
        let filled = self.quota.rate * (now - self.at).max(0.0);
        let used = (presumed - self.presumed).max(0.0);
        self.level = (self.level + filled).min(self.quota.size) - used;
        (self.at, self.presumed) = (self.at.max(now), presumed);
        self.level
    }

    /// Takes out what a gateway added since its last report, or puts back what it refunded. `presumed` is as for
    /// [`Store::level`].
    pub(crate) fn charge(&mut self, now: f64, presumed: f64, node: Node, amount: f64) {
        self.level(now, presumed);
        let due = match self.prepaid.get_mut(&node) {
            Some(prepaid) => prepaid.offset(now, amount),
            None => amount,
        };
        if self.prepaid.get(&node).is_some_and(|prepaid| prepaid.is_used_up()) {
            self.prepaid.remove(&node);
        }
        self.level = (self.level - due).min(self.quota.size);
    }

    /// A silent gateway is back, for which `presumed` units had been taken out.
    pub(crate) fn end_silence(&mut self, now: f64, node: Node, presumed: f64) {
        self.presumed -= presumed;
        self.prepaid.insert(node, Prepaid::Pending { presumed, back_at: now });
    }

    /// Changes the quota from now on.
    fn set_quota(&mut self, quota: Quota, now: f64, presumed: f64) {
        self.level(now, presumed);
        self.quota = quota;
        self.level = self.level.min(quota.size);
    }

    /// Continues from a gateway's reading, minus what was used since. Whether the store was full in between and when
    /// the usage came is unknown, so this is the lowest level that it may have.
    fn resume(&mut self, now: f64, reading: Reading, used_since: f64) {
        let filled = self.quota.rate * reading.age.max(0.0);
        self.level = (reading.level + filled).min(self.quota.size) - used_since;
        self.at = now;
    }
}

/// The stores of all customers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stores(HashMap<u64, Store>);

impl Stores {
    /// Sets a customer's quota. A new store starts full; a quota without a limit removes the store.
    pub(crate) fn set_quota(&mut self, now: f64, customer: u64, quota: Quota, presumed: f64) {
        let has_room = self.0.len() < MAX_STORES || self.0.contains_key(&customer);
        if !quota.is_limit() {
            self.0.remove(&customer);
        } else if has_room {
            let store = self.0.entry(customer).or_insert_with(|| Store::full(quota, now));
            store.set_quota(quota, now, presumed);
        }
    }

    pub(crate) fn get_mut(&mut self, customer: u64) -> Option<&mut Store> {
        self.0.get_mut(&customer)
    }

    /// Continues from the levels that gateways received from the previous holder; `lookup` returns the newest reading
    /// of a customer and what was used since. Without a reading the store was full, except for what is counted.
    pub(crate) fn resume(&mut self, now: f64, lookup: impl Fn(u64) -> (Option<Reading>, f64)) {
        for (customer, store) in &mut self.0 {
            let (reading, used) = lookup(*customer);
            let full = Reading { level: store.quota.size, age: 0.0 };
            store.resume(now, reading.unwrap_or(full), used);
        }
    }
}
