//! Tracks whether a voter holds enough records to vote after members were removed.
//!
//! A claim is granted by a majority of the members of its time. Once members have been removed, a majority of the
//! remaining members may share no voter with that majority, so that a second claim of the same key could be granted.
//!
//! A voter is complete for an electorate if it holds each unexpired claim that was granted under an earlier one. Since
//! then it counts the most voters that any electorate had. From that number follows whether a majority of the present
//! members still includes one that holds each claim, and how many voters' records make it complete again. All of this
//! can be restored from the journal.

use crate::electorate::Electorate;
use crate::record::Entry;

/// Number of removals that are assumed to have happened before a journal that does not tell.
const ASSUMED_REMOVALS: usize = 2;
/// Seconds for which other voters may still grant claims under an electorate after this one has adopted the next.
const ADOPTION_S: f64 = 5.0;

/// The electorates since the last one for which a voter is complete.
#[derive(Debug, Default)]
pub(crate) struct RecordCoverage {
    /// Number of members now.
    members: usize,
    /// The most voters of an electorate since this voter was complete.
    most_voters: usize,
    /// The first and the last electorate of the change with the most voters, unless it is the one that was complete.
    widest_change: Option<(Electorate, Electorate)>,
    /// When the members last changed.
    changed_at: f64,
}

impl RecordCoverage {
    /// Records that this voter is complete for the electorate.
    pub(crate) fn complete(&mut self, electorate: &Electorate) {
        self.members = electorate.members.len();
        self.most_voters = self.members;
        self.widest_change = None;
    }

    /// Records a change of the electorate.
    pub(crate) fn on_change(&mut self, now: f64, before: &Electorate, after: &Electorate) {
        if before.members == after.members && before.outgoing == after.outgoing {
            return;
        }
        self.members = after.members.len();
        self.changed_at = now;
        let voters = most_voters(before, after);
        if voters > self.most_voters {
            self.most_voters = voters;
            self.widest_change = Some((before.clone(), after.clone()));
        }
    }

    /// Assumes that members were removed before the electorate, as the journal does not tell.
    pub(crate) fn assume_removals(&mut self, now: f64, electorate: &Electorate) {
        self.members = electorate.members.len();
        self.most_voters = self.most_voters.max(self.members + ASSUMED_REMOVALS);
        self.changed_at = now;
    }

    /// Whether all claims granted before the last change have expired. `keep_s`: the longest time for which claims are
    /// kept, in seconds.
    pub(crate) fn earlier_claims_expired(&self, now: f64, keep_s: f64) -> bool {
        now - self.changed_at >= keep_s + ADOPTION_S
    }

    /// Whether each majority of the members includes a voter that holds each earlier claim, so that votes are safe.
    pub(crate) fn majority_holds_all(&self) -> bool {
        majority(self.members) >= covering(self.most_voters)
    }

    /// Whether half of the members include a voter that holds each earlier claim. A voter that learns relies on that.
    pub(crate) fn half_holds_all(&self) -> bool {
        covering(self.members) >= covering(self.most_voters)
    }

    /// Number of voters, including this one, whose records together include each earlier claim.
    pub(crate) fn voters_needed(&self) -> usize {
        covering(self.most_voters)
    }

    /// The journal entries from which this state is restored, up to the newest electorate. `ready` is the entry of this
    /// voter's incarnation.
    pub(crate) fn journal_entries(&self, ready: Entry, newest: &Electorate) -> Vec<Entry> {
        let entry = |electorate: &Electorate| Entry::Electorate(electorate.clone());
        match &self.widest_change {
            None => vec![entry(newest), Entry::COMPLETE, ready],
            Some((first, last)) => {
                vec![entry(first), Entry::COMPLETE, ready, entry(last), entry(newest)]
            }
        }
    }
}

/// The most voters that an electorate may have had during a change. Members change by one at a time; if more of them
/// differ, electorates in between were missed.
fn most_voters(before: &Electorate, after: &Electorate) -> usize {
    let single_change = after.outgoing == before.members || after.members == before.members;
    if single_change {
        return before.members.len().max(after.members.len());
    }
    let mut voters = before.others(0);
    voters.extend(after.others(0));
    voters.sort_unstable();
    voters.dedup();
    voters.len()
}

/// The smallest majority of `voters` voters.
fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// The smallest number of voters that always shares one with each majority of `voters` voters.
fn covering(voters: usize) -> usize {
    voters.div_ceil(2)
}
