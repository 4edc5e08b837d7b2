//! The number of edge nodes over time.

use std::collections::VecDeque;

/// Maximum number of recorded changes; the oldest ones are merged into their maximum.
const MAX_CHANGES: usize = 128;
/// Seconds for which counts are kept.
const HISTORY_SECONDS: f64 = 600.0;

/// The changes of a count over time.
#[derive(Default)]
pub(crate) struct EdgeCounts {
    /// Each count holds from its time until the time of the next entry.
    changes: VecDeque<(f64, usize)>,
}

impl EdgeCounts {
    /// Records the count that holds from now on.
    pub fn record(&mut self, now: f64, count: usize) {
        if self.changes.back().is_some_and(|c| c.1 == count) {
            return;
        }
        self.changes.push_back((now, count));
        while self.changes.len() > 1 && self.changes[1].0 < now - HISTORY_SECONDS {
            self.changes.pop_front();
        }
        if self.changes.len() > MAX_CHANGES {
            let oldest = self.changes.pop_front().map_or(0, |c| c.1);
            self.changes[0].1 = self.changes[0].1.max(oldest);
        }
    }

    /// Returns the largest count during the last `span` seconds.
    pub fn max_over(&self, now: f64, span: f64) -> usize {
        let from = now - span;
        let mut max = 0;
        for (at, count) in self.changes.iter().rev() {
            max = max.max(*count);
            if *at <= from {
                break;
            }
        }
        max
    }
}
