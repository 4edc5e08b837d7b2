//! The counters of the customers: totals by name, held by the duty holder; no I/O, no clock, no chance.
//!
//! A name is a number: the customer above the lowest 24 bits, then the window, then one bit that is 0 for use
//! that the quota bounds and 1 for what is in flight. A gateway that fell silent may go on using its part of a
//! customer's quota unseen; the totals of names of use include what it is presumed to use ([`silence`]).
//!
//! Each gateway tells the sum of all that it ever added to a name, so a word that is lost, or told twice, mends
//! itself. A new holder begins with nothing and is told by the gateways what they had told the one before
//! ([`handover`]); until that is whole it has no totals. All times are seconds of one steady clock; bounds are given by
//! the constants.

pub mod handover;
pub mod holder;
pub mod local_sums;
pub mod pending_calls;
pub mod silence;
pub mod store;

use handover::Gathering;
use silence::Silence;
use std::collections::{BTreeMap, HashMap};
use store::{Quota, Stores};

/// A machine among the system's own: its address as a number.
pub type Node = u32;

/// Most names kept; past it, those nearest to their end go first.
pub const NAMES_MOST: usize = 100_000;

/// Longest life of a name after its last use, seconds.
pub const LIFE_MOST: f64 = 40.0 * 3600.0;

/// Seconds between two clearings of what has expired; an expired name counts as new before it is cleared too.
const CLEAR: f64 = 1.0;

/// What a gateway is answered of a name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// All that is counted.
    pub counted: f64,
    /// What is left in the customer's store, see [`Counters::level`].
    pub level: Option<f64>,
}

/// Totals by name under one epoch of the duty.
#[derive(Clone, Debug)]
pub struct Counters {
    epoch: u64,
    now: f64,
    names: HashMap<u64, Name>,
    silence: Silence,
    stores: Stores,
    clear_at: f64,
    gathering: Gathering,
}

/// One process of a gateway: its address, and a number that another start of it does not have but by a chance of one in
/// 2^32.
pub type Incarnation = (Node, u32);

#[derive(Clone, Debug)]
struct Name {
    sums: BTreeMap<Incarnation, f64>,
    /// What was counted under the holder before, by gateways that are not there to tell it.
    lost: f64,
    total: f64,
    born: f64,
    until: f64,
}

impl Name {
    fn new(now: f64) -> Name {
        Name { sums: BTreeMap::new(), lost: 0.0, total: 0.0, born: now, until: now }
    }
}

/// The customer of a name.
pub fn customer(name: u64) -> u64 {
    name >> 24
}

/// Whether the quota bounds what is counted under the name; else it is what is in flight.
pub fn of_use(name: u64) -> bool {
    name & 1 == 0
}

impl Counters {
    /// Counters of one epoch, which are to be told what was counted before it.
    pub fn new(epoch: u64) -> Counters {
        let silence = Silence::default();
        Counters {
            epoch,
            now: f64::NEG_INFINITY,
            names: HashMap::new(),
            silence,
            stores: Stores::default(),
            clear_at: f64::NEG_INFINITY,
            gathering: Gathering::default(),
        }
    }

    /// The epoch that answers carry.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// How many names are kept.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is kept.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Sets the quota of a customer; a rate of 0 for none (and for one that is gone). Without a quota nothing is
    /// presumed, and there is no store.
    pub fn set_quota(&mut self, customer: u64, quota: Quota) {
        self.silence.quota(customer, quota.rate);
        let presumed = self.silence.presumed_of(self.now, customer);
        self.stores.quota(self.now, customer, quota, presumed);
    }

    /// What is left in the store of a name's customer, units; none for a name of what is in flight, and without a
    /// quota. Below zero it is overdrawn.
    pub fn level(&mut self, name: u64) -> Option<f64> {
        let customer = customer(name);
        let presumed = self.silence.presumed_of(self.now, customer);
        let store = self.stores.of(customer).filter(|_| of_use(name))?;
        Some(store.level(self.now, presumed))
    }

    /// Takes note of the sum of all that a gateway's process ever added to the name; the name expires `life` seconds
    /// after its last use. Returns the total with it, with what silent gateways are presumed to have used since they
    /// were heard last. A sum that is no number changes nothing.
    pub fn put(&mut self, now: f64, from: Incarnation, name: u64, sum: f64, life: f64) -> f64 {
        let more = self.add(now, from, name, sum, life);
        self.take(from.0, name, more);
        self.total(name)
    }

    /// Takes an amount that came to a name's total out of its customer's store.
    fn take(&mut self, node: Node, name: u64, amount: f64) {
        let customer = customer(name);
        let presumed = self.silence.presumed_of(self.now, customer);
        if let Some(store) = self.stores.of(customer).filter(|_| of_use(name)) {
            store.take(self.now, presumed, node, amount);
        }
    }

    /// Takes note of a sum; returns what it added to the total.
    fn add(&mut self, now: f64, from: Incarnation, name: u64, sum: f64, life: f64) -> f64 {
        self.record_contact(now, from.0);
        let now = self.now;
        if self.names.len() >= NAMES_MOST && !self.names.contains_key(&name) {
            self.make_room();
        }
        let kept = self.names.entry(name).or_insert_with(|| Name::new(now));
        if kept.until < now {
            *kept = Name::new(now);
        }
        let room = kept.sums.len() < silence::NODES_MOST || kept.sums.contains_key(&from);
        let mut more = 0.0;
        if sum.is_finite() && room {
            more = sum - kept.sums.insert(from, sum).unwrap_or(0.0);
            kept.total += more;
        }
        kept.until = now + if life.is_finite() { life.clamp(0.0, LIFE_MOST) } else { 0.0 };
        if of_use(name) {
            self.silence.used(now, from.0, customer(name), more);
        }
        more
    }

    /// What a gateway is answered of a name, as of the last call.
    pub fn answer(&mut self, name: u64) -> Total {
        Total { counted: self.total(name), level: self.level(name) }
    }

    /// The total of a name as of the last call; 0 if there is none.
    pub fn total(&self, name: u64) -> f64 {
        self.names.get(&name).map_or(0.0, |kept| kept.total) + self.presumed(name)
    }

    /// What silent gateways are presumed to have used of the name by now, units.
    pub fn presumed(&self, name: u64) -> f64 {
        match self.names.get(&name) {
            Some(kept) if of_use(name) => self.silence.presumed(self.now, customer(name), kept.born),
            _ => 0.0,
        }
    }

    /// Takes note of any word from a gateway, not a count alone: one without requests is not silent.
    pub fn record_contact(&mut self, now: f64, from: Node) {
        self.tick(now);
        for (customer, presumed) in self.silence.heard(self.now, from) {
            if let Some(store) = self.stores.of(customer) {
                store.returned(self.now, from, presumed);
            }
        }
    }

    /// A gateway that is gone for good or leaves: what it was presumed to use is dropped.
    pub fn forget(&mut self, node: Node) {
        self.silence.forget(node);
    }

    /// To be called some times a second, so that pauses of this process aren't taken for the others' silence.
    pub fn tick(&mut self, now: f64) {
        if now.is_nan() || now <= self.now {
            return;
        }
        self.now = now;
        self.silence.tick(now);
        if now >= self.clear_at {
            self.clear_at = now + CLEAR;
            self.names.retain(|_, kept| kept.until >= now);
        }
    }

    /// The sixteenth nearest to its end goes: a full table is cleared seldom, whoever fills it.
    fn make_room(&mut self) {
        let mut ends: Vec<f64> = self.names.values().map(|kept| kept.until).collect();
        let (_, end, _) = ends.select_nth_unstable_by(NAMES_MOST / 16, f64::total_cmp);
        let end = *end;
        let mut surplus = NAMES_MOST / 16;
        self.names.retain(|_, kept| {
            let goes = surplus > 0 && kept.until <= end;
            surplus -= goes as usize;
            !goes
        });
    }
}
