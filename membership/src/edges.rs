//! How many edge nodes there were.

use std::collections::VecDeque;

/// So many changes are kept one by one; older ones are drawn together.
const MOST: usize = 128;
/// Seconds after which a count is of no more interest.
const LONG: f64 = 600.0;

/// The course of a count over time.
#[derive(Default)]
pub(crate) struct Edges {
    /// Each from its time until the next one's.
    marks: VecDeque<(f64, usize)>,
}

impl Edges {
    /// From now on it is this many.
    pub fn note(&mut self, now: f64, count: usize) {
        if self.marks.back().is_some_and(|m| m.1 == count) {
            return;
        }
        self.marks.push_back((now, count));
        while self.marks.len() > 1 && self.marks[1].0 < now - LONG {
            self.marks.pop_front();
        }
        if self.marks.len() > MOST {
            let oldest = self.marks.pop_front().map_or(0, |m| m.1);
            self.marks[0].1 = self.marks[0].1.max(oldest);
        }
    }

    /// The most over the last `span` seconds.
    pub fn most(&self, now: f64, span: f64) -> usize {
        let from = now - span;
        let mut most = 0;
        for (at, count) in self.marks.iter().rev() {
            most = most.max(*count);
            if *at <= from {
                break;
            }
        }
        most
    }
}
