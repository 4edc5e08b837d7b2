//! A journal of entries that expire, with group commit, in its own segment files in the data folder.
//!
//! Whole segments are deleted once all their entries have expired. `okaywal` is not used here because its checkpoints
//! require a snapshot of everything that is still needed.

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
    /// Size from which on a segment takes no more batches, in bytes.
    pub segment_bytes: u64,
    /// Age from which on a segment takes no more batches, in seconds.
    pub segment_seconds: f64,
    /// Maximum size of all segments together, in bytes.
    pub max_bytes: u64,
}

/// The content of a journal when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replayed {
    /// Entries and heads, in the order in which they were passed to the journal. A head may occur several times. The
    /// list may contain expired entries, and entries that were never reported as saved.
    pub entries: Vec<Vec<u8>>,
    /// Whether entries that were reported as saved can't be read.
    pub damaged: bool,
}

/// A journal and the channels on which it reports.
pub struct OpenedJournal {
    /// The handle of the journal.
    pub journal: Journal,
    /// The content of the journal, once it has been read.
    pub replayed: oneshot::Receiver<Replayed>,
    /// Numbers up to which, inclusively, all entries are on disk.
    pub saved: UnboundedReceiver<u64>,
}

/// The handle of the writing thread. Dropping it makes one attempt to write the waiting entries and ends the thread.
pub struct Journal {
    queue: Arc<Queue>,
}

impl Journal {
    /// Starts a thread that reads the existing segments and then accepts entries. The journal accesses only its own files
    /// in the folder. A disk that can't be read is retried until it can be.
    pub fn open(folder: PathBuf, bounds: JournalBounds) -> eyre::Result<OpenedJournal> {
        Self::open_on(DataDir(folder), bounds)
    }

    /// Like [`Journal::open`], for any kind of folder. Fails if the thread can't be started.
    pub fn open_on(
        folder: impl Folder + Clone + Send + 'static,
        bounds: JournalBounds,
    ) -> eyre::Result<OpenedJournal> {
        let (send_replayed, replayed) = oneshot::channel();
        let (send_saved, saved) = unbounded_channel();
        let queue = Arc::new(Queue::new(bounds.max_bytes));
        let journal = Journal { queue: queue.clone() };
        let run = move || writer::run(folder, bounds, &queue, send_replayed, send_saved);
        std::thread::Builder::new().name("journal".into()).stack_size(256 << 10).spawn(run)?;
        Ok(OpenedJournal { journal, replayed, saved })
    }

    /// Appends an entry. The first number after opening is 1, and numbers increase by one.
    ///
    /// `keep_s`: the seconds for which the entry is needed; `None`: until a head that is set later is on disk. An urgent
    /// entry is written and synced at once, together with all waiting entries; other entries within 250 ms.
    ///
    /// Returns false if the entry was not accepted because the journal is full, the disk is too slow or not read yet, or
    /// the number is not the next one. The caller keeps the entry and appends it again later, under the same number and
    /// before any other entry. Until it is accepted, neither its number nor a later one is accepted or reported as saved.
    /// An accepted entry must not be appended again: the journal itself retries until it is on disk. An entry larger than
    /// 8 MB is never accepted.
    pub fn append(&self, number: u64, entry: Vec<u8>, keep_s: Option<f64>, urgent: bool) -> bool {
        self.queue.append(number, &entry, keep_s, urgent)
    }

    /// Sets the entries that each new segment begins with; they replace the previous head. Segments begin with them once
    /// all entries that were accepted before this call are on disk. From then on, those entries without `keep_s` may be
    /// deleted, and so may all earlier heads, also those of previous starts. Without a new head they are kept forever.
    pub fn set_head(&self, entries: Vec<Vec<u8>>) {
        self.queue.set_head(&entries);
    }

    /// Current size of all segments on disk, in bytes.
    pub fn bytes(&self) -> u64 {
        self.queue.bytes_on_disk()
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.queue.close();
    }
}
