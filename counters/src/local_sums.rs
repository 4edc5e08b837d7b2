//! A gateway's side of the counters: the sums of what it added to each name, told whole at each call.

use crate::handover::HandoverEntry;
use crate::store::Reading;
use crate::Total;
use std::collections::HashMap;

/// Most names kept: a customer's windows of use, now and before, for 18,000 customers, and what is in flight beside.
/// Past it a new name has no room until another one ends: one whose sum was told and forgotten would begin at 0, and
/// the holder's total would fall by what it was.
pub const NAMES_MOST: usize = 65_536;

/// Seconds between two clearings of names that nobody counts any more.
const CLEAR: f64 = 1.0;

/// What this process added, by name.
#[derive(Debug, Default)]
pub struct LocalSums {
    names: HashMap<u64, Sum>,
    clear_at: f64,
}

#[derive(Clone, Copy, Debug)]
struct Sum {
    told: HandoverEntry,
    until: f64,
    /// What was left in the customer's store with the last total, and when that came.
    store: Option<(f64, f64)>,
}

impl LocalSums {
    /// Adds to a name that is kept for `life` seconds from now; returns the sum to tell. None: no room for a new name,
    /// and nothing is added.
    pub fn add(&mut self, now: f64, name: u64, amount: f64, life: f64) -> Option<f64> {
        if now >= self.clear_at {
            self.clear_at = now + CLEAR;
            self.names.retain(|_, s| s.until >= now);
        }
        if self.names.len() >= NAMES_MOST && !self.names.contains_key(&name) {
            return None;
        }
        let told = HandoverEntry { name, sum: 0.0, within: 0.0, total: 0.0, life, store: None };
        let none = Sum { told, until: now, store: None };
        let s = self.names.entry(name).or_insert(none);
        s.told.sum += amount;
        (s.told.life, s.until) = (life, now + life);
        Some(s.told.sum)
    }

    /// An amount was not counted, and is going to be added again.
    pub fn undo(&mut self, name: u64, amount: f64) {
        if let Some(s) = self.names.get_mut(&name) {
            s.told.sum -= amount;
        }
    }

    /// A total that came now, with the sum that was told for it.
    pub fn record_total(&mut self, now: f64, name: u64, within: f64, total: Total) {
        if let Some(s) = self.names.get_mut(&name) {
            (s.told.within, s.told.total) = (within, total.counted);
            s.store = total.level.map(|level| (level, now));
        }
    }

    /// All that a new holder has to know, by name.
    pub fn handover(&self, now: f64) -> Vec<HandoverEntry> {
        let live =
            self.names.values().filter(|s| s.until >= now && (s.told.sum != 0.0 || s.told.total != 0.0));
        let reading = |s: &Sum| s.store.map(|(level, at)| Reading { level, age: now - at });
        let mut told: Vec<HandoverEntry> =
            live.map(|s| HandoverEntry { store: reading(s), ..s.told }).collect();
        told.sort_unstable_by_key(|t| t.name);
        told
    }
}
