//! One state in a folder, replaced as a whole: snapshots, with a log of later states after each.
//!
//! A snapshot is written completely under a temporary name, synced and renamed, and then the folder is synced. Only then
//! may the previous log be removed, and it is removed (with a sync of the folder) before a new one is begun. So the state
//! that was saved last is always in the snapshot or in a newer log.

use crate::log::{self, Log, MAX_ENTRY_STATE};
use crate::snapshot::{self, Snapshot};
use crate::Folder;
use eyre::{ensure, eyre, WrapErr};
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Size of the log in bytes at which it is replaced by a snapshot and a new log.
pub const MAX_LOG_BYTES: u64 = 1 << 20;
/// Maximum size of a state, in bytes.
pub const MAX_STATE_BYTES: usize = 48 << 20;
const SNAPSHOT: &str = "snapshot";
const NEW_SNAPSHOT: &str = "snapshot.new";
const CORRUPT_SNAPSHOT: &str = "snapshot.spoilt";

/// The content of a disk when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stored {
    /// No state was ever saved.
    Empty,
    /// The newest intact state: the last one that was saved successfully, or one whose save began after it.
    State(Vec<u8>),
    /// A state was saved but can't be read. This must not be treated as an empty disk: the member might found a new
    /// core, or vote a second time on something that it no longer remembers.
    Corrupt,
}

/// The state in a folder. All operations block.
pub struct Disk<F> {
    folder: F,
    max_log_bytes: u64,
    serial: u64,
    /// Whether the snapshot was written by this process; a log is begun only after such a snapshot.
    has_own_snapshot: bool,
    log: Option<Log>,
    corrupt: bool,
}

impl<F: Folder> Disk<F> {
    /// Reads the folder. `max_log_bytes`: see [`MAX_LOG_BYTES`]. An error means that the disk could not be read; the call
    /// may be repeated.
    pub fn open(folder: F, max_log_bytes: u64) -> eyre::Result<(Disk<F>, Stored)> {
        let snapshot = snapshot::read(&folder.path().join(SNAPSHOT))?;
        let (serial, stored) = match snapshot {
            Snapshot::Intact(snapshot) => {
                let logged = log::read(&folder)?.filter(|logged| logged.0 > snapshot.0);
                let (serial, state) = logged.unwrap_or(snapshot);
                (serial, Stored::State(state))
            }
            Snapshot::None if log::segments(folder.path())?.is_empty() => (0, Stored::Empty),
            // a log is begun only after a snapshot, so a log alone is corrupt
            Snapshot::None | Snapshot::Corrupt => (0, Stored::Corrupt),
        };
        let corrupt = stored == Stored::Corrupt;
        Ok((Disk { folder, max_log_bytes, serial, has_own_snapshot: false, log: None, corrupt }, stored))
    }

    /// Saves a state. After an error it is unknown whether the state was saved, but the previous one is still intact.
    pub fn write(&mut self, state: &[u8]) -> eyre::Result<()> {
        let result = catch_unwind(AssertUnwindSafe(|| self.save(state)));
        let result = result.unwrap_or_else(|_| Err(eyre!("the log panicked")));
        if result.is_err() {
            (self.log, self.has_own_snapshot) = (None, false);
        }
        result
    }

    fn save(&mut self, state: &[u8]) -> eyre::Result<()> {
        ensure!(state.len() <= MAX_STATE_BYTES, "the state is too large: {} bytes", state.len());
        self.serial += 1;
        let log_is_full = self.log.as_ref().is_some_and(|log| log.bytes_written >= self.max_log_bytes);
        if state.len() > MAX_ENTRY_STATE || log_is_full || !self.has_own_snapshot {
            return self.write_snapshot(state);
        }
        if self.log.is_none() {
            match Log::begin(&self.folder) {
                Ok(log) => self.log = Some(log),
                Err(e) => tracing::warn!(event = "log_not_begun", fault = %format!("{e:#}")),
            }
        }
        match &mut self.log {
            Some(log) => log.append(&self.folder, self.serial, state),
            None => self.write_snapshot(state),
        }
    }

    /// Writes the state as a snapshot.
    fn write_snapshot(&mut self, state: &[u8]) -> eyre::Result<()> {
        self.log = None;
        if self.corrupt {
            self.clear_corrupt().wrap_err("clear the corrupt disk")?;
        }
        if let Err(e) = self.create_snapshot(state) {
            // on a full disk the partial file would take up the remaining space
            let _ = self.folder.remove(NEW_SNAPSHOT);
            return Err(e);
        }
        self.folder.rename(NEW_SNAPSHOT, SNAPSHOT).wrap_err("rename the snapshot")?;
        self.folder.sync_folder().wrap_err("sync the folder of the snapshot")?;
        (self.has_own_snapshot, self.corrupt) = (true, false);
        Ok(())
    }

    /// Removes the log of a corrupt disk. Its serial numbers are unknown, so no entry of the log may count as newer than
    /// the next state. The disk stays corrupt until a state is saved, so a missing snapshot is replaced by an empty one.
    fn clear_corrupt(&mut self) -> eyre::Result<()> {
        let path = self.folder.path();
        if !fs::exists(path.join(SNAPSHOT))? {
            let file = self.folder.create(SNAPSHOT, [b"", b""])?;
            self.folder.sync(&file, SNAPSHOT)?;
            self.folder.sync_folder()?;
        }
        log::clear(&self.folder)?;
        // keeps the corrupt snapshot for analysis; the file may exist from an earlier attempt
        let _ = fs::hard_link(path.join(SNAPSHOT), path.join(CORRUPT_SNAPSHOT));
        Ok(())
    }

    /// Writes and syncs a snapshot under its temporary name.
    fn create_snapshot(&mut self, state: &[u8]) -> eyre::Result<()> {
        let header = snapshot::header(self.serial, state);
        let file = self.folder.create(NEW_SNAPSHOT, [&header, state]).wrap_err("write the snapshot")?;
        self.folder.sync(&file, NEW_SNAPSHOT).wrap_err("sync the snapshot")
    }
}
