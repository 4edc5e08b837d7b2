//! The disk of a member of the core: what it must never forget, as one state that is replaced as a whole.
//!
//! Each save has a serial number, and the newest whole one counts. Small states go to a log ([`Disk`]); a state
//! past the log's buffer, the first one of a process, and one that finds the log full become a snapshot. A disk
//! whose snapshot was spoilt is told apart from an empty one ([`Stored::Corrupt`]): its member has lost its memory
//! and must learn as after the loss of its disk, but it may not found anything.
//!
//! A [`Journal`] beside it holds many small entries that are each needed for some time.
//!
//! [`FolderLock`] keeps a second process off the folder. [`Store`] runs a [`Disk`] on a thread of its own, so that a disk that stalls stops neither probes nor answers.

mod disk;
mod folder;
pub mod journal;
mod lock;
mod log;
mod snapshot;
mod store;

pub use disk::{Disk, Stored, MAX_LOG_BYTES, MAX_STATE_BYTES};
pub use folder::{DataDir, Folder, LogStep};
pub use journal::{Journal, JournalBounds, OpenedJournal, Replayed};
pub use lock::{FolderInUse, FolderLock};
pub use store::{OpenedStore, SaveResult, Store};

/// A serial number and the state that was saved under it.
pub(crate) type Numbered = (u64, Vec<u8>);
