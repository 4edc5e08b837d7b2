//! The ids of reqs that came lately, kept as hashes: as many bytes for a long one as for a short.

use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;

/// So many at most are kept beside those of the span before, whatever comes.
const MOST: usize = 16 * 1024;

/// Two sets, the older one forgotten as the newer one is full or its span over.
#[derive(Default)]
pub struct Ids {
    hasher: RandomState,
    sets: [HashSet<u64>; 2],
    since: f64,
}

impl Ids {
    /// Whether an id is new. It is remembered for one to two spans.
    pub fn enter(&mut self, id: &[u8], now: f64, span: f64) -> bool {
        if now - self.since >= span || self.sets[0].len() >= MOST {
            self.sets.swap(0, 1);
            // with its room: what one busy spell needed is not kept for good
            self.sets[0] = HashSet::new();
            self.since = now;
        }
        let id = self.hasher.hash_one(id);
        !self.sets[1].contains(&id) && self.sets[0].insert(id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn forgotten_after_two_spans_at_most() {
        let mut ids = Ids::default();
        assert!(ids.enter(b"a", 10.0, 4.0) && !ids.enter(b"a", 13.0, 4.0));
        assert!(!ids.enter(b"a", 15.0, 4.0), "still in the older set");
        assert!(ids.enter(b"b", 19.5, 4.0) && ids.enter(b"a", 19.6, 4.0));
        let many = (0..10 * MOST as u64).filter(|i| ids.enter(&i.to_le_bytes(), 20.0, 4.0));
        assert_eq!(many.count(), 10 * MOST);
        assert!(ids.sets.iter().all(|s| s.len() <= MOST));
    }
}
