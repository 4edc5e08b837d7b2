//! The ids of recent requests, kept as hashes so that the size does not depend on the length of an id.

use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;

/// The most ids that each of the two sets keeps.
pub const MAX_IDS: usize = 16 * 1024;

/// Two sets of ids. When the newer one is full or its span has passed, it becomes the older one, and the former older
/// one is dropped.
#[derive(Default)]
pub struct RecentIds {
    hasher: RandomState,
    sets: [HashSet<u64>; 2],
    newer_since: f64,
}

impl RecentIds {
    /// Adds an id and returns whether it is new. It is remembered for one to two spans; `span` and `now` are in
    /// seconds.
    pub fn insert(&mut self, id: &[u8], now: f64, span: f64) -> bool {
        if now - self.newer_since >= span || self.sets[0].len() >= MAX_IDS {
            self.sets.swap(0, 1);
            // a new set, so that the memory of a busy period is freed
            self.sets[0] = HashSet::new();
            self.newer_since = now;
        }
        let hash = self.hasher.hash_one(id);
        !self.sets[1].contains(&hash) && self.sets[0].insert(hash)
    }

    /// The number of ids that are kept; at most twice [`MAX_IDS`].
    pub fn id_count(&self) -> usize {
        self.sets.iter().map(HashSet::len).sum()
    }

    /// Removes an id, so that it counts as new again; for a request that has not run.
    pub fn remove(&mut self, id: &[u8]) {
        let hash = self.hasher.hash_one(id);
        for set in &mut self.sets {
            set.remove(&hash);
        }
    }
}
