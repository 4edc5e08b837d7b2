//! Counters of customers' usage: totals by counter name, kept by one node, the holder. No I/O, no clock, no randomness.
//!
//! The holder is the core process that leads the current epoch. A counter name is a number: the customer above the
//! lowest 24 bits, then the time window, then one bit that is 0 for usage bounded by the quota and 1 for requests in
//! flight. A gateway that has become unreachable may go on using its share of a customer's quota unseen; the totals of
//! usage names include what it is presumed to use ([`silence`]).
//!
//! Each gateway sends the sum of everything it ever added to a name, so a lost or repeated message is corrected by the
//! next one. A new holder starts empty and gateways send it what they had reported to the previous holder
//! ([`handover`]); until that is complete it answers no totals. All times are seconds of one monotonic clock; sizes are
//! bounded by the constants.

pub mod handover;
pub mod holder;
pub mod local_sums;
pub mod pending_calls;
pub mod silence;
pub mod store;

use handover::HandoverProgress;
use silence::SilenceTracker;
use std::collections::{BTreeMap, HashMap};
use store::{Quota, Stores};

/// A node of this system: its address as a number.
pub type Node = u32;

/// Maximum number of names kept; beyond it, the names that expire soonest are evicted.
pub const MAX_NAMES: usize = 100_000;

/// Longest lifetime of a name after its last use, in seconds.
pub const MAX_LIFETIME: f64 = 40.0 * 3600.0;

/// Seconds between two removals of expired names. An expired name that is not removed yet also counts as new.
const CLEANUP_INTERVAL: f64 = 1.0;

/// What a gateway receives as the answer for one name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// The sum counted for the name, of all gateways.
    pub counted: f64,
    /// What is left in the customer's store, see [`Counters::level`].
    pub level: Option<f64>,
}

/// Totals by name under one epoch of the holder.
#[derive(Clone, Debug)]
pub struct Counters {
    epoch: u64,
    now: f64,
    names: HashMap<u64, NameState>,
    silence: SilenceTracker,
    stores: Stores,
    next_cleanup: f64,
    handover: HandoverProgress,
}

/// One process of a gateway: its address, and a random number chosen at its start. Two starts have the same number with
/// a probability of 2^-32.
pub type Incarnation = (Node, u32);

#[derive(Clone, Debug)]
struct NameState {
    sums: BTreeMap<Incarnation, f64>,
    /// What was counted under the previous holder by gateways that have not taken part in the handover.
    lost: f64,
    total: f64,
    created_at: f64,
    expires_at: f64,
}

impl NameState {
    fn new(now: f64) -> NameState {
        NameState { sums: BTreeMap::new(), lost: 0.0, total: 0.0, created_at: now, expires_at: now }
    }
}

/// The customer of a name.
pub fn customer(name: u64) -> u64 {
    name >> 24
}

/// Whether the name counts usage that the quota bounds; otherwise it counts requests in flight.
pub fn is_usage(name: u64) -> bool {
    name & 1 == 0
}

impl Counters {
    /// Empty counters of one epoch; the handover from the previous epoch is still to come.
    pub fn new(epoch: u64) -> Counters {
        let silence = SilenceTracker::default();
        Counters {
            epoch,
            now: f64::NEG_INFINITY,
            names: HashMap::new(),
            silence,
            stores: Stores::default(),
            next_cleanup: f64::NEG_INFINITY,
            handover: HandoverProgress::default(),
        }
    }

    /// The epoch that answers carry.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Number of names kept.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is kept.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Sets the quota of a customer; a rate of 0 removes it (also for a deleted customer). Without a quota no usage is
    /// presumed and there is no store.
    pub fn set_quota(&mut self, customer: u64, quota: Quota) {
        self.silence.set_quota(customer, quota.rate);
        let presumed = self.silence.presumed_of_customer(self.now, customer);
        self.stores.set_quota(self.now, customer, quota, presumed);
    }

    /// What is left in the store of a name's customer, in units; negative if it is overdrawn. `None` for a name of
    /// requests in flight and for a customer without a quota.
    pub fn level(&mut self, name: u64) -> Option<f64> {
        let customer = customer(name);
        let presumed = self.silence.presumed_of_customer(self.now, customer);
        let store = self.stores.get_mut(customer).filter(|_| is_usage(name))?;
        Some(store.level(self.now, presumed))
    }

    /// Records the sum of everything that a gateway's process ever added to the name; the name expires `lifetime`
    /// seconds after its last use. Returns the new total, including what silent gateways are presumed to have used
    /// since their last message. A sum that is not finite changes nothing.
    pub fn record_sum(&mut self, now: f64, from: Incarnation, name: u64, sum: f64, lifetime: f64) -> f64 {
        let increase = self.apply_sum(now, from, name, sum, lifetime);
        self.charge_store(from.0, name, increase);
        self.total(name)
    }

    /// Takes an increase of a name's total out of the store of its customer.
    fn charge_store(&mut self, node: Node, name: u64, amount: f64) {
        let customer = customer(name);
        let presumed = self.silence.presumed_of_customer(self.now, customer);
        if let Some(store) = self.stores.get_mut(customer).filter(|_| is_usage(name)) {
            store.charge(self.now, presumed, node, amount);
        }
    }

    /// Records a sum; returns by how much the total increased.
    fn apply_sum(&mut self, now: f64, from: Incarnation, name: u64, sum: f64, lifetime: f64) -> f64 {
        self.record_contact(now, from.0);
        let now = self.now;
        if self.names.len() >= MAX_NAMES && !self.names.contains_key(&name) {
            self.evict();
        }
        let state = self.names.entry(name).or_insert_with(|| NameState::new(now));
        if state.expires_at < now {
            *state = NameState::new(now);
        }
        let has_room = state.sums.len() < silence::MAX_NODES || state.sums.contains_key(&from);
        let mut increase = 0.0;
        if sum.is_finite() && has_room {
            increase = sum - state.sums.insert(from, sum).unwrap_or(0.0);
            state.total += increase;
        }
        state.expires_at = now + if lifetime.is_finite() { lifetime.clamp(0.0, MAX_LIFETIME) } else { 0.0 };
        if is_usage(name) {
            self.silence.record_usage(now, from.0, customer(name), increase);
        }
        increase
    }

    /// The answer to a gateway for one name, as of the last call.
    pub fn answer(&mut self, name: u64) -> Total {
        Total { counted: self.total(name), level: self.level(name) }
    }

    /// The total of a name as of the last call; 0 for an unknown name.
    pub fn total(&self, name: u64) -> f64 {
        self.names.get(&name).map_or(0.0, |state| state.total) + self.presumed(name)
    }

    /// What silent gateways are presumed to have used of the name so far, in units.
    pub fn presumed(&self, name: u64) -> f64 {
        match self.names.get(&name) {
            Some(state) if is_usage(name) => {
                self.silence.presumed(self.now, customer(name), state.created_at)
            }
            _ => 0.0,
        }
    }

    /// Records any message from a gateway, not only counts: a gateway without requests is not silent.
    pub fn record_contact(&mut self, now: f64, from: Node) {
        self.tick(now);
        for (customer, presumed) in self.silence.record_contact(self.now, from) {
            if let Some(store) = self.stores.get_mut(customer) {
                store.end_silence(self.now, from, presumed);
            }
        }
    }

    /// Drops what is presumed of a gateway that has left or is gone for good.
    pub fn remove_gateway(&mut self, node: Node) {
        self.silence.remove(node);
    }

    /// Must be called several times a second, so that pauses of this process are not taken for silence of the gateways.
    pub fn tick(&mut self, now: f64) {
        if now.is_nan() || now <= self.now {
            return;
        }
        self.now = now;
        self.silence.tick(now);
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.names.retain(|_, state| state.expires_at >= now);
        }
    }

    /// Evicts the sixteenth of the names that expires soonest, so that a full table is scanned rarely whichever gateway
    /// fills it.
    fn evict(&mut self) {
        let mut expiries: Vec<f64> = self.names.values().map(|state| state.expires_at).collect();
        let (_, threshold, _) = expiries.select_nth_unstable_by(MAX_NAMES / 16, f64::total_cmp);
        let threshold = *threshold;
        let mut remaining = MAX_NAMES / 16;
        self.names.retain(|_, state| {
            let evicted = remaining > 0 && state.expires_at <= threshold;
            remaining -= evicted as usize;
            !evicted
        });
    }
}
