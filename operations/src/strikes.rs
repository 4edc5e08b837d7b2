//! Members that are struck without a successor.
//!
//! A majority of an odd number of members that loses one of them is only half of those left. One more change of the
//! members may then leave a majority that meets nobody who granted a claim before. Until the claims of that time have
//! expired, votes rest after such a change.

use crate::electorate::Electorate;

/// See the module.
#[derive(Debug)]
pub(crate) struct Strikes {
    /// When an odd number of members was made even by a strike.
    uneven: Option<f64>,
    rests_until: f64,
}

impl Strikes {
    /// Of a voter that starts with these members: an even number of them may come from a strike just before.
    pub(crate) fn at_start(now: f64, electorate: &Electorate) -> Strikes {
        let even = !electorate.members.is_empty() && electorate.members.len().is_multiple_of(2);
        Strikes { uneven: even.then_some(now), rests_until: f64::NEG_INFINITY }
    }

    /// The members changed; `keep_s`: the longest that claims are kept, seconds.
    pub(crate) fn changed(&mut self, now: f64, keep_s: f64, before: &Electorate, after: &Electorate) {
        if before.members == after.members || before.members.is_empty() {
            return;
        }
        let struck = before.members.iter().filter(|node| !after.members.contains(node)).count();
        let recent = self.uneven.is_some_and(|at| now - at < keep_s);
        if struck > 1 || recent {
            self.rests_until = now + keep_s;
        }
        if struck > 0 && after.members.len() < before.members.len() && after.members.len().is_multiple_of(2) {
            self.uneven = Some(now);
        }
    }

    /// Must no claim be granted now?
    pub(crate) fn rest(&self, now: f64) -> bool {
        now < self.rests_until
    }
}
