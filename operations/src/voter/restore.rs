//! A voter's journal: what it is restored from at a start, and what each new file of it begins with.

use super::{Action, Role, Voter};
use crate::electorate::Incarnation;
use crate::record::Entry;

impl Voter {
    /// Applies the journal's entries; returns whether this voter may vote.
    pub(super) fn replay(&mut self, entries: Vec<Entry>) -> bool {
        let (mut ready, mut completeness_known, mut follows_complete) = (false, true, false);
        // heads may be older than the entries before them
        let mut entry_index = 0;
        for entry in entries {
            let is_complete = entry == Entry::COMPLETE;
            match entry {
                Entry::Granted(record) => self.held.insert(self.now, record, 0),
                Entry::COMPLETE if entry_index == self.electorate.index => {
                    completeness_known = true;
                    self.coverage.complete(&self.electorate);
                }
                Entry::Released { key, claim } => {
                    if self.held.get(key).is_some_and(|held| held.record.claim == claim) {
                        self.held.remove(key);
                    }
                }
                Entry::Answer { key, claim, answer } => self.held.store_answer(key, claim, answer.into()),
                Entry::Electorate(electorate) => {
                    entry_index = electorate.index;
                    let before = self.electorate.clone();
                    self.electorate.merge(&electorate);
                    self.coverage.on_change(self.now, &before, &self.electorate);
                }
                Entry::Ready { incarnation: number, nonce } => {
                    ready = true;
                    self.incarnation = Incarnation { number, nonce };
                    self.electorate.raise_incarnation(self.settings.me, self.incarnation);
                    // earlier builds did not journal which claims the voter holds; founders hold all
                    completeness_known &= follows_complete || self.electorate.members.is_empty();
                }
            }
            follows_complete = is_complete;
        }
        if !completeness_known {
            self.coverage.assume_removals(self.now, &self.electorate);
        }
        ready && self.electorate.incarnation(self.settings.me) == self.incarnation
    }

    /// The entries that each new file of the journal begins with; they replace all earlier entries without an expiry.
    /// Returns `None` while the [`Entry::Ready`] of this voter is not yet on disk, since no head may replace it before.
    pub fn head(&self) -> Option<Vec<Entry>> {
        if matches!(self.role, Role::Recording(_)) {
            return None;
        }
        if matches!(self.role, Role::Learning(_)) {
            return Some(vec![Entry::Electorate(self.electorate.clone())]);
        }
        Some(self.coverage.journal_entries(self.ready_entry(), &self.electorate))
    }

    /// The entry of this voter's incarnation.
    pub(super) fn ready_entry(&self) -> Entry {
        let Incarnation { number, nonce } = self.incarnation;
        Entry::Ready { incarnation: number, nonce }
    }

    /// Records that this voter holds each claim granted under an earlier electorate.
    pub(super) fn append_complete(&mut self, out: &mut Vec<Action>) {
        self.coverage.complete(&self.electorate);
        self.append(Entry::COMPLETE, None, true, out);
    }
}
