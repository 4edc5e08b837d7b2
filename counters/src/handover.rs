//! How a new holder's counters become whole: gateways tell what they had told the one before.
//!
//! Each tells, of each name, its own sum now, the last total that it was told, and what its sum was in that total.
//! The largest total less the sums within it is what gateways had added that do not tell: it stays counted as
//! lost, and those that are known to be there somewhere are presumed to go on with that part ([`crate::silence`]).

use crate::silence::NODES_MOST;
use crate::store::Reading;
use crate::{customer, of_use, Counters, Incarnation, Node};
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

/// What one gateway tells of one name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandoverEntry {
    pub name: u64,
    /// All that it ever added, units.
    pub sum: f64,
    /// What of that was in the last total that it was told.
    pub within: f64,
    /// That total; 0 before the first.
    pub total: f64,
    /// Seconds that the name is kept after its last use.
    pub life: f64,
    /// What was left in the customer's store with that total, if it was told.
    pub store: Option<Reading>,
}

/// What one gateway tells comes in parts where it is more than this many names: a message then holds some ten kilobytes.
pub const PART_MOST: usize = 512;
/// Most parts: as many as a set of 64 bits holds.
const PARTS_MOST: usize = 64;

/// One part of what a gateway tells: that of the names whose customers fall to it.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverPart {
    /// Which one it is, of how many.
    pub index: u8,
    pub count: u8,
    pub entries: Vec<HandoverEntry>,
}

impl HandoverPart {
    /// All of it.
    pub fn single(told: Vec<HandoverEntry>) -> HandoverPart {
        HandoverPart { index: 0, count: 1, entries: told }
    }

    /// Cuts what is told into parts. A name falls to the same one each time it is told, whatever else is.
    pub fn split(told: Vec<HandoverEntry>) -> Vec<HandoverPart> {
        let of = told.len().div_ceil(PART_MOST).next_power_of_two().min(PARTS_MOST);
        let empty = |nth| HandoverPart { index: nth as u8, count: of as u8, entries: Vec::new() };
        let mut parts: Vec<HandoverPart> = (0..of).map(empty).collect();
        for told in told {
            // customers are numbers of a hash: their lowest bits are as good as any
            parts[customer(told.name) as usize % of].entries.push(told);
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
    /// By customer, the newest reading of its store that was told, until the counters are whole.
    readings: HashMap<u64, Read>,
    whole: bool,
}

/// Of one name: the largest total, the sums within the totals, and the largest of these sums.
#[derive(Clone, Copy, Debug, Default)]
struct Before {
    total: f64,
    within: f64,
    most: f64,
}

/// When a gateway read a store, what it read, and of which name with what total.
#[derive(Clone, Copy, Debug)]
struct Read {
    at: f64,
    level: f64,
    name: u64,
    total: f64,
}

impl Gathering {
    /// Takes a reading of a store, where it is newer than those before.
    fn read(&mut self, now: f64, told: &HandoverEntry) {
        let Some(Reading { level, age }) = told.store.filter(|r| r.level.is_finite() && r.age >= 0.0) else {
            return;
        };
        let read = Read { at: now - age, level, name: told.name, total: told.total };
        let newest = self.readings.entry(customer(told.name)).or_insert(read);
        if read.at > newest.at {
            *newest = read;
        }
    }

    /// Notes that the gateway told this part; whether it did so for the first time. One that cuts what it tells into
    /// another number of parts than before begins anew, and what was within its totals is not taken again.
    fn first(&mut self, node: Node, part: &HandoverPart) -> bool {
        let sound = part.index < part.count && usize::from(part.count) <= PARTS_MOST;
        let room = self.told.len() + self.partly.len() < NODES_MOST || self.partly.contains_key(&node);
        if !sound || !room || self.told.contains(&node) {
            return false;
        }
        let heard = self.partly.entry(node).or_insert(Heard { of: part.count, parts: 0 });
        let again = heard.of != part.count || heard.parts >> part.index & 1 == 1;
        if heard.of != part.count {
            *heard = Heard { of: part.count, parts: 0 };
        }
        heard.parts |= 1 << part.index;
        if heard.parts.count_ones() == u32::from(heard.of) {
            self.partly.remove(&node);
            self.told.insert(node);
        }
        !again
    }
}

impl Counters {
    /// Whether totals are those of all, and not of those alone that were heard so far.
    pub fn is_complete(&self) -> bool {
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
    pub fn tell(&mut self, now: f64, from: Incarnation, part: &HandoverPart) {
        self.record_contact(now, from.0);
        let first = self.gathering.first(from.0, part);
        let sound =
            |t: &HandoverEntry| first && of_use(t.name) && t.total.is_finite() && t.within.is_finite();
        for t in &part.entries {
            let more = self.add(now, from, t.name, t.sum, t.life);
            let found = if sound(t) { self.found(t) } else { 0.0 };
            self.take(from.0, t.name, more - found);
        }
    }

    /// What of the lost part of a name's total is this gateway's, which tells it now: it is counted no more. Until the
    /// counters are whole nothing is taken for lost yet.
    fn found(&mut self, told: &HandoverEntry) -> f64 {
        match (self.gathering.whole, self.names.get_mut(&told.name)) {
            (true, Some(kept)) => {
                let found = told.within.clamp(0.0, kept.lost);
                (kept.lost, kept.total) = (kept.lost - found, kept.total - found);
                found
            }
            _ => {
                let b = self.gathering.before.entry(told.name).or_default();
                (b.total, b.within, b.most) =
                    (b.total.max(told.total), b.within + told.within, b.most.max(told.within));
                self.gathering.read(self.now, told);
                0.0
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
        let now = self.now;
        missing.iter().for_each(|node| self.record_contact(now, *node));
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
        self.resume_stores();
    }

    /// The stores go on from the newest readings that were told. What was counted since is the use of the name that was
    /// read beyond the total with it, and all use of later names.
    fn resume_stores(&mut self) {
        let (now, readings) = (self.now, std::mem::take(&mut self.gathering.readings));
        let mut used: HashMap<u64, f64> = HashMap::new();
        for (name, kept) in self.names.iter().filter(|(name, _)| of_use(**name)) {
            let read = readings.get(&customer(*name));
            let before = match read.map(|r| r.name.cmp(name)) {
                Some(Ordering::Greater) => kept.total,
                Some(Ordering::Equal) => read.map_or(0.0, |r| r.total),
                _ => 0.0,
            };
            *used.entry(customer(*name)).or_default() += kept.total - before;
        }
        self.stores.resume(now, |customer| {
            let reading = readings.get(&customer).map(|r| Reading { level: r.level, age: now - r.at });
            (reading, used.get(&customer).copied().unwrap_or(0.0))
        });
    }
}
