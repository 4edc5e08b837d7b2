//! A counter that restarted at zero, seen from one name: its total falls below what this gateway alone has added
//! to the name within the name's life. The gateway then adds back what it holds itself, once for that restart.
//! Each gateway adds back only its own part, so the parts are not counted twice.
//!
//! The counter gives a name its life from the name's creation, which may be another gateway's add before this
//! one's, not from each add. A name that ended its life looks just like a restart. So the caller says, with each
//! answer, whether the name is surely alive at the counter (the module knows when its names roll). Where it is
//! not, the answer teaches nothing, and no units are added back that were never lost.

use lupinledge::time::{Point, Span};
use std::collections::VecDeque;

/// Totals are exact to seven digits (the counter keeps `f32`-like precision): a shortfall smaller than this share
/// of what is held, plus a thousandth of a unit, is rounding, not a restart.
const ROUNDING: f64 = 1e-6;
/// Most own adds remembered for one name; older ones are folded into one. Bounds memory per name.
const MOST_ADDS: usize = 64;

/// What one answer of the counter says about this name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// The total holds at least what this gateway put there.
    Whole,
    /// The counter lost this gateway's part: add `add_back` units once, in a call of its own.
    Restarted { add_back: f64 },
}

/// One name's own adds within its life.
#[derive(Clone, Debug)]
pub struct Epoch {
    /// Each add: when it was answered and the amount (negative for a lease given back).
    adds: VecDeque<(Point, f64)>,
    life: Span,
    /// Restarts seen so far on this name.
    pub restarts: u32,
}

impl Epoch {
    /// `life`: the life the gateway gives the name in its calls (the counter forgets a name after it).
    pub fn new(life: Span) -> Epoch {
        Epoch { adds: VecDeque::new(), life, restarts: 0 }
    }

    /// What this gateway holds in the name at `now`: its adds within the life.
    pub fn own(&self, now: Point) -> f64 {
        self.adds.iter().filter(|(at, _)| now - *at < self.life).map(|(_, a)| a).sum()
    }

    /// An add of `amount` answered with `total` at `now`; `alive`: whether the name is surely within the life the
    /// counter gave it. A total under what this gateway holds in a live name means the counter restarted; what it
    /// lost of this gateway's part is to be added back, and is then counted as held.
    pub fn answered(&mut self, now: Point, amount: f64, total: f64, alive: bool) -> Seen {
        while self.adds.front().is_some_and(|(at, _)| now - *at >= self.life) {
            self.adds.pop_front();
        }
        if self.adds.len() >= MOST_ADDS {
            // Fold the two oldest into the newer of them: its time keeps the pair alive a little longer, which
            // only makes the restart test more cautious.
            let (_, a) = self.adds.pop_front().expect("full");
            self.adds.front_mut().expect("full").1 += a;
        }
        self.adds.push_back((now, amount));
        let own = self.own(now);
        let short = own - total;
        if alive && own > 0.0 && short > own * ROUNDING + 1e-3 {
            self.restarts += 1;
            Seen::Restarted { add_back: short }
        } else {
            Seen::Whole
        }
    }
}

#[cfg(test)]
mod tests;
