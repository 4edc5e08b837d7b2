//! How the counters of a new holder become complete: gateways send what they had reported to the previous holder.
//!
//! For each name, a gateway sends its own sum now, the last total that it received, and which part of its sum was in
//! that total. The largest total minus the sums within it was added by gateways that have not taken part: it stays
//! counted as lost, and the known gateways that are missing are presumed to continue that share ([`crate::silence`]).

use crate::silence::MAX_NODES;
use crate::store::Reading;
use crate::{customer, is_usage, Counters, Incarnation, Node};
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};

/// What one gateway hands over for one name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandoverEntry {
    /// The counter's name.
    pub name: u64,
    /// Everything that the gateway ever added, in units.
    pub sum: f64,
    /// The part of `sum` that was in the last total that the gateway received.
    pub counted_in_total: f64,
    /// The last total that the gateway received; 0 before the first.
    pub total: f64,
    /// Seconds that the name is kept after its last use.
    pub life: f64,
    /// What was left in the customer's store with that total, if it was sent.
    pub store: Option<Reading>,
}

/// With more names than this, a gateway's handover is split; the message of a part is then about ten kilobytes.
pub const NAMES_PER_PART: usize = 512;
/// Maximum number of parts: the bits of a 64-bit set.
const MAX_PARTS: usize = 64;

/// One part of a gateway's handover: the names whose customers are assigned to it.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverPart {
    /// Position of this part, from 0.
    pub index: u8,
    /// Number of parts in the handover.
    pub count: u8,
    /// The names in this part.
    pub entries: Vec<HandoverEntry>,
}

impl HandoverPart {
    /// The whole handover in one part.
    pub fn single(entries: Vec<HandoverEntry>) -> HandoverPart {
        HandoverPart { index: 0, count: 1, entries }
    }

    /// Splits a handover into parts. For a given number of parts, a name is always in the same part, whatever other
    /// names there are.
    pub fn split(entries: Vec<HandoverEntry>) -> Vec<HandoverPart> {
        let count = entries.len().div_ceil(NAMES_PER_PART).next_power_of_two().min(MAX_PARTS);
        let empty = |index| HandoverPart { index: index as u8, count: count as u8, entries: Vec::new() };
        let mut parts: Vec<HandoverPart> = (0..count).map(empty).collect();
        for entry in entries {
            // customer numbers are hashes, so their lowest bits are evenly distributed
            parts[customer(entry.name) as usize % count].entries.push(entry);
        }
        parts
    }
}

/// Which parts of a gateway's handover were received.
#[derive(Clone, Copy, Debug)]
struct ReceivedParts {
    count: u8,
    bits: u64,
}

/// What has been received of the handovers.
#[derive(Clone, Debug, Default)]
pub(crate) struct HandoverProgress {
    finished: BTreeSet<Node>,
    /// Gateways of which some parts are missing.
    partial: HashMap<Node, ReceivedParts>,
    /// By usage name, until the counters are complete.
    previous: HashMap<u64, PreviousTotal>,
    /// By customer, the newest reading of its store, until the counters are complete.
    readings: HashMap<u64, TimedReading>,
    complete: bool,
}

/// For one name: the largest total received, the sums within the totals, and the largest of these sums.
#[derive(Clone, Copy, Debug, Default)]
struct PreviousTotal {
    total: f64,
    counted_in_total: f64,
    largest: f64,
}

/// When a gateway received the level of a store, the level, and the name and total that came with it.
#[derive(Clone, Copy, Debug)]
struct TimedReading {
    at: f64,
    level: f64,
    name: u64,
    total: f64,
}

impl HandoverProgress {
    /// Keeps the reading of a store if it is newer than the one kept.
    fn record_reading(&mut self, now: f64, entry: &HandoverEntry) {
        let Some(Reading { level, age }) = entry.store.filter(|r| r.level.is_finite() && r.age >= 0.0) else {
            return;
        };
        let reading = TimedReading { at: now - age, level, name: entry.name, total: entry.total };
        let newest = self.readings.entry(customer(entry.name)).or_insert(reading);
        if reading.at > newest.at {
            *newest = reading;
        }
    }

    /// Records that a part was received; returns whether it came for the first time. A gateway that splits its handover
    /// into a different number of parts than before starts over, and the amounts within its totals are not added
    /// again.
    fn record_part(&mut self, node: Node, part: &HandoverPart) -> bool {
        let valid = part.index < part.count && usize::from(part.count) <= MAX_PARTS;
        let has_room =
            self.finished.len() + self.partial.len() < MAX_NODES || self.partial.contains_key(&node);
        if !valid || !has_room || self.finished.contains(&node) {
            return false;
        }
        let received = self.partial.entry(node).or_insert(ReceivedParts { count: part.count, bits: 0 });
        let repeated = received.count != part.count || received.bits >> part.index & 1 == 1;
        if received.count != part.count {
            *received = ReceivedParts { count: part.count, bits: 0 };
        }
        received.bits |= 1 << part.index;
        if received.bits.count_ones() == u32::from(received.count) {
            self.partial.remove(&node);
            self.finished.insert(node);
        }
        !repeated
    }
}

impl Counters {
    /// Whether totals include all gateways, and not only those whose messages were received so far.
    pub fn is_complete(&self) -> bool {
        self.handover.complete
    }

    /// Whether the handover of a gateway was received in full.
    pub fn has_handover_from(&self, node: Node) -> bool {
        self.handover.finished.contains(&node)
    }

    /// Whether the handover of any gateway was received in full.
    pub fn has_any_handover(&self) -> bool {
        !self.handover.finished.is_empty()
    }

    /// Receives from a gateway what it had reported to the previous holder; must be called before its first sum is
    /// recorded. If the counters are complete already, what was counted as lost is reduced by what is found.
    pub fn receive_handover(&mut self, now: f64, from: Incarnation, part: &HandoverPart) {
        self.record_contact(now, from.0);
        let first = self.handover.record_part(from.0, part);
        let valid = |e: &HandoverEntry| {
            first && is_usage(e.name) && e.total.is_finite() && e.counted_in_total.is_finite()
        };
        for entry in &part.entries {
            let increase = self.apply_sum(now, from, entry.name, entry.sum, entry.life);
            let found = if valid(entry) { self.recover_lost(entry) } else { 0.0 };
            self.charge_store(from.0, entry.name, increase - found);
        }
    }

    /// Subtracts from the lost part of a name's total what this gateway now hands over. Until the counters are complete
    /// nothing is counted as lost, and the entry is only collected.
    fn recover_lost(&mut self, entry: &HandoverEntry) -> f64 {
        match (self.handover.complete, self.names.get_mut(&entry.name)) {
            (true, Some(state)) => {
                let found = entry.counted_in_total.clamp(0.0, state.lost);
                (state.lost, state.total) = (state.lost - found, state.total - found);
                found
            }
            _ => {
                let p = self.handover.previous.entry(entry.name).or_default();
                (p.total, p.counted_in_total, p.largest) = (
                    p.total.max(entry.total),
                    p.counted_in_total + entry.counted_in_total,
                    p.largest.max(entry.counted_in_total),
                );
                self.handover.record_reading(self.now, entry);
                0.0
            }
        }
    }

    /// Ends the handover: totals are valid from here on. `missing` are known gateways whose handover was not received;
    /// they may still be serving while unreachable.
    pub fn complete_handover(&mut self, now: f64, missing: &[Node]) {
        self.tick(now);
        if std::mem::replace(&mut self.handover.complete, true) {
            return;
        }
        let missing: Vec<Node> = missing.iter().copied().filter(|n| !self.has_handover_from(*n)).collect();
        let now = self.now;
        missing.iter().for_each(|node| self.record_contact(now, *node));
        for (name, p) in std::mem::take(&mut self.handover.previous) {
            let lost = (p.total - p.counted_in_total).max(0.0);
            if let Some(state) = self.names.get_mut(&name) {
                (state.lost, state.total) = (lost, state.total + lost);
            }
            // What ended processes had used is lost too but does not continue, so no missing gateway is given more
            // usage than the largest of the gateways that took part.
            let each =
                (lost / missing.len().max(1) as f64).min(if p.largest > 0.0 { p.largest } else { lost });
            missing.iter().for_each(|&n| self.silence.record_usage(self.now, n, customer(name), each));
        }
        self.resume_stores();
    }

    /// Continues the stores from the newest readings. What was counted since a reading is the usage of its name beyond
    /// the total that came with it, and all usage of later names.
    fn resume_stores(&mut self) {
        let (now, readings) = (self.now, std::mem::take(&mut self.handover.readings));
        let mut used: HashMap<u64, f64> = HashMap::new();
        for (name, state) in self.names.iter().filter(|(name, _)| is_usage(**name)) {
            let reading = readings.get(&customer(*name));
            let before = match reading.map(|r| r.name.cmp(name)) {
                Some(Ordering::Greater) => state.total,
                Some(Ordering::Equal) => reading.map_or(0.0, |r| r.total),
                _ => 0.0,
            };
            *used.entry(customer(*name)).or_default() += state.total - before;
        }
        self.stores.resume(now, |customer| {
            let reading = readings.get(&customer).map(|r| Reading { level: r.level, age: now - r.at });
            (reading, used.get(&customer).copied().unwrap_or(0.0))
        });
    }
}
