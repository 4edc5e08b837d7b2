//! The plain model of the counters: what was added, what holders were told, and what totals may be.

use lupinledge_counters::handover::HandoverEntry;
use lupinledge_counters::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

/// Sums of floats that should be the same differ by less.
const NEAR: f64 = 1e-9;

/// What a holder knows of one counter.
#[derive(Default)]
struct Count {
    /// The newest sum of each gateway's process.
    sums: BTreeMap<Incarnation, f64>,
    /// The largest total that gateways told of the holders before.
    before: f64,
    /// The largest total told.
    told: f64,
    /// Which gateways' processes told what they had told before.
    tellers: BTreeSet<Incarnation>,
}

/// All counters.
#[derive(Default)]
pub struct Sums {
    /// By name, all that was ever added, and what of it holders may count twice.
    added: BTreeMap<u64, (f64, f64)>,
    /// By name, what some total had beyond that while a gateway that counted had not told yet.
    over: BTreeMap<u64, f64>,
    /// By epoch and name.
    counts: BTreeMap<(u64, u64), Count>,
    /// Gateways' processes that ended: one that had not told a new holder will not any more.
    ended: BTreeSet<Incarnation>,
}

impl Sums {
    /// A gateway adds.
    pub fn added(&mut self, name: u64, amount: f64) {
        self.added.entry(name).or_default().0 += amount;
    }

    /// A gateway's process ends.
    pub fn ended(&mut self, incarnation: Incarnation) {
        self.ended.insert(incarnation);
    }

    /// A holder takes a gateway's sum.
    pub fn put(&mut self, epoch: u64, from: Incarnation, name: u64, sum: f64) {
        self.counts.entry((epoch, name)).or_default().sums.insert(from, sum);
    }

    /// A holder hears what a gateway had told before; `before` its totals are whole. What the gateway added since the
    /// last total that it was told may be in the totals of others already, and is taken for others' then: so much may
    /// be counted twice from here on. So is what was counted twice for a while, if that total is told to the next holder.
    pub fn gathered(&mut self, epoch: u64, from: Incarnation, told: HandoverEntry, before: bool) {
        let count = self.counts.entry((epoch, told.name)).or_default();
        let twice = &mut self.added.entry(told.name).or_default().1;
        if before {
            count.before = count.before.max(told.total);
            *twice += self.over.remove(&told.name).unwrap_or(0.0);
        }
        if count.tellers.insert(from) {
            *twice += (told.sum - told.counted_in_total).max(0.0);
        }
    }

    /// A total has at least what the holder was told, and at most what was ever added and may be counted twice. One
    /// that counts and has not told yet is counted twice too, but once it is `calm` only if it ended before.
    pub fn total(&mut self, epoch: u64, name: u64, total: f64, calm: bool) -> Result<(), String> {
        let count = self.counts.entry((epoch, name)).or_default();
        count.told = count.told.max(total);
        let least = count.sums.values().sum::<f64>().max(count.before);
        let late = |incarnation: &Incarnation| {
            (!calm || self.ended.contains(incarnation)) && !count.tellers.contains(incarnation)
        };
        let untold = count.sums.iter().filter(|(incarnation, _)| late(incarnation));
        let untold: f64 = untold.map(|(_, sum)| *sum).sum();
        let (added, twice) = self.added.get(&name).copied().unwrap_or_default();
        let over = self.over.entry(name).or_default();
        *over = over.max(total - added - twice);
        let twice = twice + untold;
        if total >= least - NEAR && total <= added + twice + NEAR {
            return Ok(());
        }
        let text = format!("not {least} to {added} and {twice} that may count twice");
        Err(format!("tells {total} of counter {name} in epoch {epoch}, {text}"))
    }

    /// Did some holder tell a total as large as this under the epoch?
    pub fn told(&self, epoch: u64, name: u64, total: f64) -> bool {
        self.counts.get(&(epoch, name)).is_some_and(|count| count.told >= total)
    }
}
