//! Reference model of the counters: what gateways added, what holders received, and the range that a reported total
//! must lie in.

use lupinledge_counters::handover::HandoverEntry;
use lupinledge_counters::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance when floating-point sums are compared.
const TOLERANCE: f64 = 1e-9;

/// What the holder of an epoch has received of one counter.
#[derive(Default)]
struct HolderCounter {
    /// The newest sum of each gateway process.
    sums: BTreeMap<Incarnation, f64>,
    /// The largest total of earlier holders that gateways handed over.
    previous_total: f64,
    /// The largest total that the holder reported.
    reported: f64,
    /// The gateway processes that have handed over.
    handed_over: BTreeSet<Incarnation>,
}

/// The model of all counters.
#[derive(Default)]
pub struct CounterModel {
    /// By name: the sum of everything added, and how much of it holders may count twice.
    added: BTreeMap<u64, (f64, f64)>,
    /// By name: the largest excess of a reported total over both, which occurs while a gateway has called the holder
    /// but has not handed over yet.
    excess: BTreeMap<u64, f64>,
    /// By epoch and name.
    counters: BTreeMap<(u64, u64), HolderCounter>,
    /// Gateway processes that have ended. One that has not handed over to a new holder by then never will.
    ended: BTreeSet<Incarnation>,
}

impl CounterModel {
    /// A gateway adds to a counter.
    pub fn added(&mut self, name: u64, amount: f64) {
        self.added.entry(name).or_default().0 += amount;
    }

    /// A gateway process ends.
    pub fn ended(&mut self, incarnation: Incarnation) {
        self.ended.insert(incarnation);
    }

    /// A holder receives a gateway's sum.
    pub fn sum_received(&mut self, epoch: u64, from: Incarnation, name: u64, sum: f64) {
        self.counters.entry((epoch, name)).or_default().sums.insert(from, sum);
    }

    /// A holder receives a gateway's handover; `incomplete` is true if the holder's totals were still incomplete. What
    /// the gateway added since the last total that it received may already be part of the totals that other gateways
    /// hand over, where it is taken for the sums of others. So this amount may be counted twice from here on. The same
    /// holds for what was counted twice temporarily, if the total with it is handed over to the next holder.
    pub fn handover_received(
        &mut self,
        epoch: u64,
        from: Incarnation,
        entry: HandoverEntry,
        incomplete: bool,
    ) {
        let counter = self.counters.entry((epoch, entry.name)).or_default();
        let counted_twice = &mut self.added.entry(entry.name).or_default().1;
        if incomplete {
            counter.previous_total = counter.previous_total.max(entry.total);
            *counted_twice += self.excess.remove(&entry.name).unwrap_or(0.0);
        }
        if counter.handed_over.insert(from) {
            *counted_twice += (entry.sum - entry.counted_in_total).max(0.0);
        }
    }

    /// A holder reports a total. The total must be at least what the holder has received, and at most everything
    /// added plus what may be counted twice. The sum of a gateway that has not handed over yet may be counted twice as
    /// well, but if the cluster is `calm` only if that gateway has ended.
    pub fn check_total(&mut self, epoch: u64, name: u64, total: f64, calm: bool) -> Result<(), String> {
        let counter = self.counters.entry((epoch, name)).or_default();
        counter.reported = counter.reported.max(total);
        let least = counter.sums.values().sum::<f64>().max(counter.previous_total);
        let missing = |incarnation: &Incarnation| {
            (!calm || self.ended.contains(incarnation)) && !counter.handed_over.contains(incarnation)
        };
        let not_handed_over = counter.sums.iter().filter(|(incarnation, _)| missing(incarnation));
        let not_handed_over: f64 = not_handed_over.map(|(_, sum)| *sum).sum();
        let (added, counted_twice) = self.added.get(&name).copied().unwrap_or_default();
        let excess = self.excess.entry(name).or_default();
        *excess = excess.max(total - added - counted_twice);
        let counted_twice = counted_twice + not_handed_over;
        if total >= least - TOLERANCE && total <= added + counted_twice + TOLERANCE {
            return Ok(());
        }
        let text = format!("expected {least} to {added} plus {counted_twice} that may be counted twice");
        Err(format!("reports a total of {total} for counter {name} in epoch {epoch}; {text}"))
    }

    /// Whether the holder of the epoch has reported a total of at least `total`.
    pub fn was_reported(&self, epoch: u64, name: u64, total: f64) -> bool {
        self.counters.get(&(epoch, name)).is_some_and(|counter| counter.reported >= total)
    }
}
