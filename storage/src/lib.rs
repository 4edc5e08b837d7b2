//! Durable storage of a member of the core: one state that is replaced as a whole, and a journal of entries.
//!
//! Each save of the state has a serial number, and the newest intact one counts. Small states are appended to a log
//! ([`Disk`]); a state larger than the log's buffer, the first state of a process, and a state that finds the log full
//! are written as a snapshot. A disk with a corrupt snapshot is distinguished from an empty one ([`Stored::Corrupt`]):
//! its member has lost its state and must learn as after the loss of its disk, but it must not found a new system.
//!
//! A [`Journal`] in the same folder holds many small entries that are each needed for some time.
//!
//! [`FolderLock`] prevents a second process from using the folder. [`Store`] runs a [`Disk`] on a separate thread, so
//! that a stalled disk delays neither probes nor replies.

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

/// A state with its serial number.
pub(crate) type NumberedState = (u64, Vec<u8>);
