//! Counters of the outcomes of keyed requests.

use lupinledge_gossip::metrics::MetricSink;
use std::cell::Cell;

/// Counts keyed requests by outcome.
#[derive(Default)]
pub struct OperationCounters {
    /// Claims that a majority granted.
    pub granted: Cell<u64>,
    /// Claims whose key was held by another claim.
    pub held: Cell<u64>,
    /// Repeated requests that got the first request's answer.
    pub repeated: Cell<u64>,
    /// Claims that no majority granted in time.
    pub unavailable: Cell<u64>,
    /// Requests of which it is not known whether their operation ran.
    pub lost: Cell<u64>,
}

impl OperationCounters {
    /// Writes all counters as metrics.
    pub fn write(&self, line: &mut MetricSink) {
        line("operations.claims_granted", self.granted.get());
        line("operations.claims_held_by_others", self.held.get());
        line("operations.repeats_answered", self.repeated.get());
        line("operations.claims_unavailable", self.unavailable.get());
        line("operations.lost", self.lost.get());
    }
}

/// Adds one to a counter.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
