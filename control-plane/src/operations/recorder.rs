//! Hands the voter's entries to the journal, in order, also when it takes none for a while.

use lupinledge_operations::Entry;
use lupinledge_storage::Journal;
use std::cell::RefCell;
use std::collections::VecDeque;

/// With this share of the journal in use no further claims are taken; the rest is for what follows from those taken.
const FULL_SHARE: f64 = 7.0 / 8.0;

struct Waiting {
    number: u64,
    entry: Vec<u8>,
    keep_s: Option<f64>,
    urgent: bool,
}

/// The journal, and the entries that it did not take yet.
pub(super) struct Recorder {
    journal: Journal,
    full_bytes: u64,
    /// Bounded by the voter, which without room appends only what its records and the members give rise to.
    waiting: RefCell<VecDeque<Waiting>>,
}

impl Recorder {
    /// `bytes_most`: the bound of the journal.
    pub(super) fn new(journal: Journal, max_bytes: u64) -> Recorder {
        let full_bytes = (max_bytes as f64 * FULL_SHARE) as u64;
        Recorder { journal, full_bytes, waiting: RefCell::default() }
    }

    /// Journals an entry; numbers rise by one.
    pub(super) fn append(&self, number: u64, entry: &Entry, keep_s: Option<f64>, urgent: bool) {
        let entry = encode(entry);
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.is_empty() || !self.journal.append(number, entry.clone(), keep_s, urgent) {
            waiting.push_back(Waiting { number, entry, keep_s, urgent });
        }
    }

    /// Offers the journal again what it did not take.
    pub(super) fn retry(&self) {
        let mut waiting = self.waiting.borrow_mut();
        while let Some(first) = waiting.front() {
            if !self.journal.append(first.number, first.entry.clone(), first.keep_s, first.urgent) {
                break;
            }
            waiting.pop_front();
        }
    }

    /// Whether there are entries that the journal did not take yet.
    pub(super) fn has_backlog(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    /// Whether further claims may be taken.
    pub(super) fn has_room(&self) -> bool {
        !self.has_backlog() && self.journal.bytes() < self.full_bytes
    }

    /// What each new segment of the journal begins with.
    pub(super) fn set_head(&self, entries: &[Entry]) {
        self.journal.set_head(entries.iter().map(encode).collect());
    }

    /// Bytes on disk.
    pub(super) fn bytes(&self) -> u64 {
        self.journal.bytes()
    }
}

/// Writing into memory does not fail; what can't be read back makes the voter learn at the next start.
fn encode(entry: &Entry) -> Vec<u8> {
    rmp_serde::to_vec(entry).unwrap_or_default()
}
