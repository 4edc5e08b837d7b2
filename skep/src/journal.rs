//! A journal of entries that expire, with group commit, in segments of its own on the data folder.
//!
//! Whole segments are deleted once all their entries have expired; `okaywal` does not fit, since its checkpoint wants a
//! snapshot of everything that is still needed.

use std::path::PathBuf;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

/// Bounds of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalBounds {
    /// Size past which a segment takes no more batches, bytes.
    pub segment_bytes: u64,
    /// Age past which a segment takes no more batches, seconds.
    pub segment_seconds: f64,
    /// Size of all segments together, bytes.
    pub bytes_most: u64,
}

/// What was on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    /// Entries and heads, in the order in which they were handed over; a head may come several times. Entries that
    /// expired may be among them, and entries that were never told as saved.
    pub entries: Vec<Vec<u8>>,
    /// Entries that were told as saved can't be read back.
    pub damaged: bool,
}

/// A journal with what it has to tell.
pub struct OpenedJournal {
    pub journal: Journal,
    /// What was on the disk.
    pub found: oneshot::Receiver<Replayed>,
    /// Numbers: every entry up to and including it is on disk.
    pub saved: UnboundedReceiver<u64>,
}

/// The handle of the thread that writes. Dropping it writes what waits, once, and ends the thread.
pub struct Journal {}

impl Journal {
    /// Reads what is there and begins to take entries, on a thread of its own. The journal touches no files of the
    /// folder but its own. A disk that can't be read is tried again until it can.
    pub fn open(folder: PathBuf, bounds: JournalBounds) -> eyre::Result<OpenedJournal> {
        let _ = (folder, bounds);
        eyre::bail!("not built")
    }

    /// Hands an entry over. The first number after open is 1, and numbers rise by one.
    ///
    /// `keep_s`: for how many seconds the entry is needed; none: until a head that is set later is on disk. An urgent
    /// entry is written and synced at once, together with all that waits; others within 250 ms.
    ///
    /// False: the entry was not taken, because the journal is full, the disk is behind, or the number is not the next
    /// one. The caller keeps the entry and hands it over again later, under the same number and before any other one.
    /// Until it is taken, no number from it on is taken or told as saved. Entries that were taken are never handed
    /// over again: the journal retries by itself until they are on disk.
    pub fn append(&self, number: u64, entry: Vec<u8>, keep_s: Option<f64>, urgent: bool) -> bool {
        let _ = (number, entry, keep_s, urgent);
        false
    }

    /// The entries that each new segment begins with; they replace the last head. Once they are on disk, entries without
    /// `keep_s` that were appended before this call may be deleted, and so may the heads of earlier starts.
    pub fn set_head(&self, entries: Vec<Vec<u8>>) {
        let _ = entries;
    }

    /// Bytes on disk now.
    pub fn bytes(&self) -> u64 {
        0
    }
}
