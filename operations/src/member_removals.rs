//! Pauses votes after members were removed without a replacement.
//!
//! If one member of a majority of an odd number of members is removed, the rest of that majority is only half of the
//! remaining members. After one more change of the members, a new majority may share no voter with the majority that
//! granted an earlier claim. After such a change, this voter does not vote until the claims of that time have expired.

use crate::electorate::Electorate;

/// Tracks removals of members and whether votes are paused because of them.
#[derive(Debug)]
pub(crate) struct MemberRemovals {
    /// When a removal last left an even number of members.
    became_even_at: Option<f64>,
    paused_until: f64,
}

impl MemberRemovals {
    /// The state at the start of a voter. If the number of members is even, a removal may have happened just before.
    pub(crate) fn new(now: f64, electorate: &Electorate) -> MemberRemovals {
        let even_members = !electorate.members.is_empty() && electorate.members.len().is_multiple_of(2);
        MemberRemovals { became_even_at: even_members.then_some(now), paused_until: f64::NEG_INFINITY }
    }

    /// Records a change of the electorate. `keep_s`: the longest time for which claims are kept, in seconds.
    pub(crate) fn on_change(&mut self, now: f64, keep_s: f64, before: &Electorate, after: &Electorate) {
        if before.members == after.members || before.members.is_empty() {
            return;
        }
        let removed = before.members.iter().filter(|node| !after.members.contains(node)).count();
        let recent = self.became_even_at.is_some_and(|at| now - at < keep_s);
        if removed > 1 || recent {
            self.paused_until = now + keep_s;
        }
        if removed > 0 && after.members.len() < before.members.len() && after.members.len().is_multiple_of(2)
        {
            self.became_even_at = Some(now);
        }
    }

    /// Whether no claim may be granted now.
    pub(crate) fn votes_paused(&self, now: f64) -> bool {
        now < self.paused_until
    }
}
