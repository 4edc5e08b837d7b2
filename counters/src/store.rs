//! The stores of customers' quotas, as the holder of the counters keeps them: each fills at its rate up to its size, and
//! whatever is added to a name of the customer's use is taken out. A gateway that asks is told what is left, so none
//! has to reckon it from totals that it read at times of its own.

use crate::silence::SILENT;
use crate::Node;
use std::collections::{BTreeMap, HashMap};

/// Most stores kept; of another customer nothing is told.
pub const STORES_MOST: usize = crate::silence::CUSTOMERS_MOST;

/// A quota: `rate` units a second, and no more than `size` at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    pub rate: f64,
    pub size: f64,
}

impl Quota {
    /// Whether it bounds anything.
    fn bounds(self) -> bool {
        self.rate > 0.0 && self.rate.is_finite() && self.size.is_finite()
    }
}

/// What a gateway read of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// What was left, units; below zero it was overdrawn.
    pub level: f64,
    /// How long ago, seconds.
    pub age: f64,
}

/// One customer's.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    quota: Quota,
    level: f64,
    at: f64,
    /// What silent gateways are presumed to have used, as far as it is taken out.
    presumed: f64,
    /// Of gateways that were silent: what was taken out for them, against what they tell since.
    prepaid: BTreeMap<Node, Prepaid>,
}

/// What was taken out for a gateway while it was silent, against what it tells when it is heard again.
#[derive(Clone, Copy, Debug)]
enum Prepaid {
    /// It has told nothing since it is back.
    Untold { presumed: f64, back: f64 },
    /// So much of what it told first had been taken out before. Charges of refused requests are taken off again: within
    /// this nothing comes back for them, as nothing was taken out.
    Told(f64),
}

impl Prepaid {
    /// Notes an amount that is told; returns how much of it is to be taken out.
    fn tell(&mut self, now: f64, amount: f64) -> f64 {
        match *self {
            Prepaid::Untold { presumed, back } => {
                // what it tells later was not used in the silence
                let paid = if now - back <= SILENT { presumed.min(amount.max(0.0)) } else { 0.0 };
                *self = Prepaid::Told(paid);
                amount - paid
            }
            Prepaid::Told(paid) => {
                let kept = paid.min((-amount).max(0.0));
                *self = Prepaid::Told(paid - kept);
                amount + kept
            }
        }
    }

    /// Whether it changes nothing any more.
    fn spent(self) -> bool {
        matches!(self, Prepaid::Told(paid) if paid <= 0.0)
    }
}

impl Store {
    fn full(quota: Quota, now: f64) -> Store {
        Store { quota, level: quota.size, at: now, presumed: 0.0, prepaid: BTreeMap::new() }
    }

    /// What is left at `now`, with what silent gateways are presumed to have used by then taken out. Of a presumption
    /// that falls nothing comes back: whether it was used is told by [`Store::take`].
    pub(crate) fn level(&mut self, now: f64, presumed: f64) -> f64 {
        let filled = self.quota.rate * (now - self.at).max(0.0);
        let used = (presumed - self.presumed).max(0.0);
        self.level = (self.level + filled).min(self.quota.size) - used;
        (self.at, self.presumed) = (self.at.max(now), presumed);
        self.level
    }

    /// Takes out what a gateway added since it was heard last, or puts back what it took off again. `presumed` as
    /// above.
    pub(crate) fn take(&mut self, now: f64, presumed: f64, node: Node, amount: f64) {
        self.level(now, presumed);
        let due = match self.prepaid.get_mut(&node) {
            Some(prepaid) => prepaid.tell(now, amount),
            None => amount,
        };
        if self.prepaid.get(&node).is_some_and(|prepaid| prepaid.spent()) {
            self.prepaid.remove(&node);
        }
        self.level = (self.level - due).min(self.quota.size);
    }

    /// A gateway is silent no more, for which so much was presumed.
    pub(crate) fn returned(&mut self, now: f64, node: Node, presumed: f64) {
        self.presumed -= presumed;
        self.prepaid.insert(node, Prepaid::Untold { presumed, back: now });
    }

    /// Another quota from now on.
    fn follow(&mut self, quota: Quota, now: f64, presumed: f64) {
        self.level(now, presumed);
        self.quota = quota;
        self.level = self.level.min(quota.size);
    }

    /// As a gateway read it, with what was used since taken out. Where it was full in between and when its use came is
    /// not known: the least that it may hold.
    fn resume(&mut self, now: f64, reading: Reading, used_since: f64) {
        let filled = self.quota.rate * reading.age.max(0.0);
        self.level = (reading.level + filled).min(self.quota.size) - used_since;
        self.at = now;
    }
}

/// All of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stores(HashMap<u64, Store>);

impl Stores {
    /// Sets a customer's quota. One that is met is full; one without a bound has no store.
    pub(crate) fn quota(&mut self, now: f64, customer: u64, quota: Quota, presumed: f64) {
        let room = self.0.len() < STORES_MOST || self.0.contains_key(&customer);
        if !quota.bounds() {
            self.0.remove(&customer);
        } else if room {
            let store = self.0.entry(customer).or_insert_with(|| Store::full(quota, now));
            store.follow(quota, now, presumed);
        }
    }

    pub(crate) fn of(&mut self, customer: u64) -> Option<&mut Store> {
        self.0.get_mut(&customer)
    }

    /// Goes on from where gateways saw the stores of the holder before; `read` gives the newest reading of a customer and
    /// what was used since. A store that nobody read was full, but for what is counted.
    pub(crate) fn resume(&mut self, now: f64, read: impl Fn(u64) -> (Option<Reading>, f64)) {
        for (customer, store) in &mut self.0 {
            let (reading, used) = read(*customer);
            let full = Reading { level: store.quota.size, age: 0.0 };
            store.resume(now, reading.unwrap_or(full), used);
        }
    }
}
