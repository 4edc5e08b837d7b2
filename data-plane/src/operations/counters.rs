//! Counts of what became of keyed requests.

use lupinledge_gossip::metrics::MetricSink;
use std::cell::Cell;

/// See the module.
#[derive(Default)]
pub struct OperationCounters {
    /// Claims that a majority granted.
    pub granted: Cell<u64>,
    /// Claims of keys that another claim held.
    pub held: Cell<u64>,
    /// Repeats that got the first one's answer.
    pub repeated: Cell<u64>,
    /// Claims without a majority in time.
    pub unavailable: Cell<u64>,
    /// Operations and repeats of which it is not known whether they ran.
    pub lost: Cell<u64>,
}

impl OperationCounters {
    /// All of them.
    pub fn each(&self, line: &mut MetricSink) {
        line("operations.claims_granted", self.granted.get());
        line("operations.claims_held_by_others", self.held.get());
        line("operations.repeats_answered", self.repeated.get());
        line("operations.claims_unavailable", self.unavailable.get());
        line("operations.lost", self.lost.get());
    }
}

/// Counts one more.
pub fn up(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
