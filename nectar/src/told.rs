//! How a new holder's counters become whole: gateways tell what they had told the one before.
//!
//! Each tells, of each name, its own sum now, the last total that it was told, and what its sum was in that total.
//! The largest total less the sums within it is what gateways had added that do not tell: it stays counted as
//! lost, and those that are known to be there somewhere are presumed to go on with that part ([`crate::silence`]).

use crate::silence::NODES_MOST;
use crate::{customer, of_use, Counters, Incarnation, Node};
use std::collections::{BTreeSet, HashMap};

/// What one gateway tells of one name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    pub name: u64,
    /// All that it ever added, units.
    pub sum: f64,
    /// What of that was in the last total that it was told.
    pub within: f64,
    /// That total; 0 before the first.
    pub total: f64,
    /// Seconds that the name is kept after its last use.
    pub life: f64,
}

/// What one gateway tells comes in parts where it is more than this many names: a message then holds some ten kilobytes.
pub const PART_MOST: usize = 512;
/// Most parts: as many as a set of 64 bits holds.
const PARTS_MOST: usize = 64;

/// One part of what a gateway tells: that of the names whose customers fall to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Which one it is, of how many.
    pub nth: u8,
    pub of: u8,
    pub told: Vec<Told>,
}

impl Part {
    /// All of it.
    pub fn whole(told: Vec<Told>) -> Part {
        Part { nth: 0, of: 1, told }
    }

    /// Cuts what is told into parts. A name falls to the same one each time it is told, whatever else is.
    pub fn cut(told: Vec<Told>) -> Vec<Part> {
        let of = told.len().div_ceil(PART_MOST).next_power_of_two().min(PARTS_MOST);
        let empty = |nth| Part { nth: nth as u8, of: of as u8, told: Vec::new() };
        let mut parts: Vec<Part> = (0..of).map(empty).collect();
        for told in told {
            // customers are numbers of a hash: their lowest bits are as good as any
            parts[customer(told.name) as usize % of].told.push(told);
        }
        parts
    }
}

/// Which parts of a gateway's were heard.
#[derive(Clone, Copy, Debug)]
struct Heard {
    of: u8,
    parts: u64,
}

/// Who told what.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gathering {
    told: BTreeSet<Node>,
    /// Of those that have told a part alone.
    partly: HashMap<Node, Heard>,
    /// By name of use, until the counters are whole.
    before: HashMap<u64, Before>,
    whole: bool,
}

/// Of one name: the largest total, the sums within the totals, and the largest of these sums.
#[derive(Clone, Copy, Debug, Default)]
struct Before {
    total: f64,
    within: f64,
    most: f64,
}

impl Gathering {
    /// Notes that the gateway told this part; whether it did so for the first time. One that cuts what it tells into
    /// another number of parts than before begins anew, and what was within its totals is not taken again.
    fn first(&mut self, node: Node, part: &Part) -> bool {
        let sound = part.nth < part.of && usize::from(part.of) <= PARTS_MOST;
        let room = self.told.len() + self.partly.len() < NODES_MOST || self.partly.contains_key(&node);
        if !sound || !room || self.told.contains(&node) {
            return false;
        }
        let heard = self.partly.entry(node).or_insert(Heard { of: part.of, parts: 0 });
        let again = heard.of != part.of || heard.parts >> part.nth & 1 == 1;
        if heard.of != part.of {
            *heard = Heard { of: part.of, parts: 0 };
        }
        heard.parts |= 1 << part.nth;
        if heard.parts.count_ones() == u32::from(heard.of) {
            self.partly.remove(&node);
            self.told.insert(node);
        }
        !again
    }
}

impl Counters {
    /// Whether totals are those of all, and not of those alone that were heard so far.
    pub fn whole(&self) -> bool {
        self.gathering.whole
    }

    /// Whether a gateway has told what there was before.
    pub fn told(&self, node: Node) -> bool {
        self.gathering.told.contains(&node)
    }

    /// Whether any gateway has.
    pub fn any_told(&self) -> bool {
        !self.gathering.told.is_empty()
    }

    /// What a gateway had told the holder before, from itself: to be heard ahead of its first sum. Of one that tells
    /// late, what was taken for lost is counted no more.
    pub fn tell(&mut self, now: f64, from: Incarnation, part: &Part) {
        for t in &part.told {
            self.put(now, from, t.name, t.sum, t.life);
        }
        self.heard(now, from.0);
        let first = self.gathering.first(from.0, part);
        let sound = |t: &&Told| first && of_use(t.name) && t.total.is_finite() && t.within.is_finite();
        for t in part.told.iter().filter(sound) {
            match (self.gathering.whole, self.names.get_mut(&t.name)) {
                (true, Some(kept)) => {
                    let found = t.within.clamp(0.0, kept.lost);
                    (kept.lost, kept.total) = (kept.lost - found, kept.total - found);
                }
                _ => {
                    let b = self.gathering.before.entry(t.name).or_default();
                    (b.total, b.within, b.most) =
                        (b.total.max(t.total), b.within + t.within, b.most.max(t.within));
                }
            }
        }
    }

    /// From here on totals count. `missing`: gateways that are known and did not tell; they may go on out of sight.
    pub fn close(&mut self, now: f64, missing: &[Node]) {
        self.tick(now);
        if std::mem::replace(&mut self.gathering.whole, true) {
            return;
        }
        let missing: Vec<Node> = missing.iter().copied().filter(|n| !self.told(*n)).collect();
        missing.iter().for_each(|&n| self.silence.heard(self.now, n));
        for (name, b) in std::mem::take(&mut self.gathering.before) {
            let lost = (b.total - b.within).max(0.0);
            if let Some(kept) = self.names.get_mut(&name) {
                (kept.lost, kept.total) = (lost, kept.total + lost);
            }
            // what ended processes had used is lost too, and does not go on: no one that is missing has a larger part
            // than the largest that tells
            let each = (lost / missing.len().max(1) as f64).min(if b.most > 0.0 { b.most } else { lost });
            missing.iter().for_each(|&n| self.silence.used(self.now, n, customer(name), each));
        }
    }
}
