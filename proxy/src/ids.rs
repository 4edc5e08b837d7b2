//! The ids of reqs that came lately, kept as hashes: as many bytes for a long one as for a short.

use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;

/// So many at most are kept beside those of the span before, whatever comes.
pub const MAX_IDS: usize = 16 * 1024;

/// Two sets, the older one forgotten as the newer one is full or its span over.
#[derive(Default)]
pub struct RecentIds {
    hasher: RandomState,
    sets: [HashSet<u64>; 2],
    since: f64,
}

impl RecentIds {
    /// Whether an id is new. It is remembered for one to two spans (seconds, as `now`).
    pub fn insert(&mut self, id: &[u8], now: f64, span: f64) -> bool {
        if now - self.since >= span || self.sets[0].len() >= MAX_IDS {
            self.sets.swap(0, 1);
            // with its room: what one busy spell needed is not kept for good
            self.sets[0] = HashSet::new();
            self.since = now;
        }
        let id = self.hasher.hash_one(id);
        !self.sets[1].contains(&id) && self.sets[0].insert(id)
    }

    /// How many are kept: twice [`MAX_IDS`] at most.
    pub fn len(&self) -> usize {
        self.sets.iter().map(HashSet::len).sum()
    }

    /// An id is new again: what came under it has not run.
    pub fn remove(&mut self, id: &[u8]) {
        let id = self.hasher.hash_one(id);
        for set in &mut self.sets {
            set.remove(&id);
        }
    }
}
