//! A gateway's side of the counters: the sum of what it added to each name, sent in full with each call.

use crate::handover::HandoverEntry;
use crate::store::Reading;
use crate::Total;
use std::collections::HashMap;

/// Maximum number of names kept: enough for the current and the previous usage window of 18,000 customers, and for
/// their requests in flight. When it is reached, a new name is refused until another one expires. Evicting a name whose
/// sum was already sent would restart its sum at 0, and the holder's total would fall by the old sum.
pub const MAX_NAMES: usize = 65_536;

/// Seconds between two removals of expired names.
const CLEANUP_INTERVAL: f64 = 1.0;

/// What this process added, by name.
#[derive(Debug, Default)]
pub struct LocalSums {
    names: HashMap<u64, LocalSum>,
    next_cleanup: f64,
}

#[derive(Clone, Copy, Debug)]
struct LocalSum {
    entry: HandoverEntry,
    expires_at: f64,
    /// What was left in the customer's store with the last total, and when that total arrived.
    store: Option<(f64, f64)>,
}

impl LocalSums {
    /// Adds to a name that is kept for `life` seconds from now; returns the sum to send. `None` if there is no room
    /// for a new name; then nothing is added.
    pub fn add(&mut self, now: f64, name: u64, amount: f64, life: f64) -> Option<f64> {
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL;
            self.names.retain(|_, s| s.expires_at >= now);
        }
        if self.names.len() >= MAX_NAMES && !self.names.contains_key(&name) {
            return None;
        }
        let entry = HandoverEntry { name, sum: 0.0, counted_in_total: 0.0, total: 0.0, life, store: None };
        let empty = LocalSum { entry, expires_at: now, store: None };
        let s = self.names.entry(name).or_insert(empty);
        s.entry.sum += amount;
        (s.entry.life, s.expires_at) = (life, now + life);
        Some(s.entry.sum)
    }

    /// Subtracts an amount that the holder has not counted; the caller adds it again later.
    pub fn undo(&mut self, name: u64, amount: f64) {
        if let Some(s) = self.names.get_mut(&name) {
            s.entry.sum -= amount;
        }
    }

    /// Records a total that arrived now; `counted_in_total` is the sum that was sent for it.
    pub fn record_total(&mut self, now: f64, name: u64, counted_in_total: f64, total: Total) {
        if let Some(s) = self.names.get_mut(&name) {
            (s.entry.counted_in_total, s.entry.total) = (counted_in_total, total.counted);
            s.store = total.level.map(|level| (level, now));
        }
    }

    /// Everything that a new holder needs, sorted by name.
    pub fn handover(&self, now: f64) -> Vec<HandoverEntry> {
        let live = self
            .names
            .values()
            .filter(|s| s.expires_at >= now && (s.entry.sum != 0.0 || s.entry.total != 0.0));
        let reading = |s: &LocalSum| s.store.map(|(level, at)| Reading { level, age: now - at });
        let mut entries: Vec<HandoverEntry> =
            live.map(|s| HandoverEntry { store: reading(s), ..s.entry }).collect();
        entries.sort_unstable_by_key(|e| e.name);
        entries
    }
}
