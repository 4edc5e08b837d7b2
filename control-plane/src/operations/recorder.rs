//! Passes the voter's entries to the journal in order, and queues them while the journal accepts none.

use lupinledge_operations::Entry;
use lupinledge_storage::Journal;
use std::cell::RefCell;
use std::collections::VecDeque;

/// With this share of the journal in use, no further claims are accepted; the rest is reserved for the entries that
/// follow from accepted claims.
const FULL_SHARE: f64 = 7.0 / 8.0;

/// An entry that the journal has not accepted yet.
struct QueuedEntry {
    number: u64,
    entry: Vec<u8>,
    keep_s: Option<f64>,
    urgent: bool,
}

/// The journal, and the entries that it has not accepted yet.
pub(super) struct Recorder {
    journal: Journal,
    full_bytes: u64,
    /// Bounded by the voter, which without room appends only entries for its existing records and for the members.
    queue: RefCell<VecDeque<QueuedEntry>>,
}

impl Recorder {
    /// A recorder for a journal that is limited to `max_bytes`.
    pub(super) fn new(journal: Journal, max_bytes: u64) -> Recorder {
        let full_bytes = (max_bytes as f64 * FULL_SHARE) as u64;
        Recorder { journal, full_bytes, queue: RefCell::default() }
    }

    /// Appends an entry; numbers increase by one.
    pub(super) fn append(&self, number: u64, entry: &Entry, keep_s: Option<f64>, urgent: bool) {
        let entry = encode(entry);
        let mut queue = self.queue.borrow_mut();
        if !queue.is_empty() || !self.journal.append(number, entry.clone(), keep_s, urgent) {
            queue.push_back(QueuedEntry { number, entry, keep_s, urgent });
        }
    }

    /// Offers the queued entries to the journal again.
    pub(super) fn retry(&self) {
        let mut queue = self.queue.borrow_mut();
        while let Some(first) = queue.front() {
            if !self.journal.append(first.number, first.entry.clone(), first.keep_s, first.urgent) {
                break;
            }
            queue.pop_front();
        }
    }

    /// Whether there are entries that the journal has not accepted yet.
    pub(super) fn has_backlog(&self) -> bool {
        !self.queue.borrow().is_empty()
    }

    /// Whether further claims may be accepted.
    pub(super) fn has_room(&self) -> bool {
        !self.has_backlog() && self.journal.bytes() < self.full_bytes
    }

    /// Sets the entries that each new segment of the journal begins with.
    pub(super) fn set_head(&self, entries: &[Entry]) {
        self.journal.set_head(entries.iter().map(encode).collect());
    }

    /// Size of the journal on disk, bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.journal.bytes()
    }
}

/// Encodes an entry. Encoding into memory does not fail; an entry that can not be decoded makes the voter learn at the
/// next start.
fn encode(entry: &Entry) -> Vec<u8> {
    rmp_serde::to_vec(entry).unwrap_or_default()
}
