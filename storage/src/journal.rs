//! A journal of entries that expire, with group commit, in segments of its own on the data folder.
//!
//! Whole segments are deleted once all their entries have expired; `okaywal` does not fit, since its checkpoint wants a
//! snapshot of everything that is still needed.

mod batch;
mod format;
mod queue;
mod replay;
mod segments;
mod writer;

pub use batch::{Batch, Head};
pub use segments::Segments;

use crate::{DataDir, Folder};
use queue::Queue;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::oneshot;

/// Bounds of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalBounds {
    /// Size past which a segment takes no more batches, bytes.
    pub segment_bytes: u64,
    /// Age past which a segment takes no more batches, seconds.
    pub segment_seconds: f64,
    /// Size of all segments together, bytes.
    pub max_bytes: u64,
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
    pub replayed: oneshot::Receiver<Replayed>,
    /// Numbers: every entry up to and including it is on disk.
    pub saved: UnboundedReceiver<u64>,
}

/// The handle of the thread that writes. Dropping it writes what waits, once, and ends the thread.
pub struct Journal {
    queue: Arc<Queue>,
}

impl Journal {
    /// Reads what is there and begins to take entries, on a thread of its own. The journal touches no files of the
    /// folder but its own. A disk that can't be read is tried again until it can.
    pub fn open(folder: PathBuf, bounds: JournalBounds) -> eyre::Result<OpenedJournal> {
        Self::open_on(DataDir(folder), bounds)
    }

    /// As [`Journal::open`], on any folder. Errors: no thread.
    pub fn open_on(
        folder: impl Folder + Clone + Send + 'static,
        bounds: JournalBounds,
    ) -> eyre::Result<OpenedJournal> {
        let (tell_found, replayed) = oneshot::channel();
        let (tell_saved, saved) = unbounded_channel();
        let queue = Arc::new(Queue::new(bounds.max_bytes));
        let journal = Journal { queue: queue.clone() };
        let run = move || writer::run(folder, bounds, &queue, tell_found, tell_saved);
        std::thread::Builder::new().name("journal".into()).stack_size(256 << 10).spawn(run)?;
        Ok(OpenedJournal { journal, replayed, saved })
    }

    /// Hands an entry over. The first number after open is 1, and numbers rise by one.
    ///
    /// `keep_s`: for how many seconds the entry is needed; none: until a head that is set later is on disk. An urgent
    /// entry is written and synced at once, together with all that waits; others within 250 ms.
    ///
    /// False: the entry was not taken, because the journal is full, the disk is behind or not read yet, or the number
    /// is not the next one. The caller keeps the entry and hands it over again later, under the same number and before
    /// any other one. Until it is taken, no number from it on is taken or told as saved. An entry that was taken is
    /// never handed over again: the journal retries by itself until it is on disk. An entry past 8 MB is never taken.
    pub fn append(&self, number: u64, entry: Vec<u8>, keep_s: Option<f64>, urgent: bool) -> bool {
        self.queue.append(number, &entry, keep_s, urgent)
    }

    /// The entries that each new segment begins with; they replace the last head. A segment begins with them once all
    /// entries that were taken before this call are on disk. From then on those of them without `keep_s` may be deleted,
    /// and so may all heads before, those of earlier starts too: without a head they stay for ever.
    pub fn set_head(&self, entries: Vec<Vec<u8>>) {
        self.queue.set_head(&entries);
    }

    /// Bytes on disk now.
    pub fn bytes(&self) -> u64 {
        self.queue.bytes_on_disk()
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.queue.close();
    }
}
