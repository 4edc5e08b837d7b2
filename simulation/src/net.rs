//! The emulated network: which words arrive, and how late.

use crate::Node;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// A word that a link lost is sent again by it after this long, seconds, and half of that more by chance.
const AGAIN: f64 = 0.2;

/// What happens to words under way.
#[derive(Clone, Debug, Default)]
pub struct Net {
    /// Words from the first to the second are lost.
    pub cuts: BTreeSet<(Node, Node)>,
    /// Of 100 words so many are lost.
    pub loss: u32,
    /// Longest usual way, seconds.
    pub delay: f64,
    /// Of 100 words so many come up to three seconds late.
    pub late: u32,
    /// Words sent so far.
    pub words: u64,
    /// When the last word of each link arrives.
    links: BTreeMap<(Node, Node), f64>,
}

impl Net {
    /// Ways of up to `delay` seconds, which lose so many of 100 words.
    pub fn new(loss: u32, delay: f64) -> Net {
        Net { loss, delay, ..Net::default() }
    }

    /// When the copies of a word arrive. A link keeps the order and repeats what is lost, unless its way is cut; a
    /// datagram may be lost or come twice.
    pub fn trips(&mut self, rng: &mut Rng, now: f64, (from, to): (Node, Node), link: bool) -> Vec<f64> {
        self.words += 1;
        if self.cuts.contains(&(from, to)) {
            return Vec::new();
        }
        let copies = if !link && rng.u32(..100) < 2 { 2 } else { 1 };
        let mut trips = Vec::new();
        for _ in 0..copies {
            let lost = rng.u32(..100) < self.loss;
            if lost && !link {
                continue;
            }
            let again = if lost { AGAIN * (1.0 + 0.5 * rng.f64()) } else { 0.0 };
            let late = if rng.u32(..100) < self.late { 3.0 * rng.f64() } else { 0.0 };
            let mut at = now + self.delay * (0.2 + rng.f64() * 0.8) + late + again;
            if link {
                let last = self.links.entry((from, to)).or_insert(at);
                at = at.max(*last);
                *last = at;
            }
            trips.push(at);
        }
        trips
    }

    /// Cuts both ways between the one side and the other.
    pub fn cut(&mut self, these: &[Node], those: &[Node]) {
        for &a in these {
            self.cuts.extend(those.iter().flat_map(|&b| [(a, b), (b, a)]));
        }
    }
}
