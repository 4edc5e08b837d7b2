//! One state on a folder, replaced as a whole: snapshots, and a log between them.
//!
//! A snapshot is written whole under another name, synced, renamed, and the folder synced; only then the log behind
//! it may go, and it goes (with a sync of the folder) before a new one is begun. So at any moment what was saved
//! last is in the snapshot or in a log that is newer.

use crate::log::{self, Log, ENTRY_MOST};
use crate::snapshot::{self, Snapshot};
use crate::Folder;
use eyre::{ensure, eyre, WrapErr};
use std::fs;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// So many bytes of the log at most are kept before it is begun anew.
pub const MAX_LOG_BYTES: u64 = 1 << 20;
/// No state is larger, bytes.
pub const MAX_STATE_BYTES: usize = 48 << 20;
const SNAPSHOT: &str = "snapshot";
const FRESH: &str = "snapshot.new";
const ASIDE: &str = "snapshot.spoilt";

/// What a disk turned out to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stored {
    /// It was never saved to.
    Empty,
    /// The newest state that is whole: the last one whose save ended well, or one that was begun after it.
    State(Vec<u8>),
    /// It was saved to, and what it held can't be told. No empty disk: who takes it for one might found a new core,
    /// or vote again on what it has forgotten.
    Corrupt,
}

/// See the module. Blocks.
pub struct Disk<F> {
    folder: F,
    log_most: u64,
    serial: u64,
    /// Whether the snapshot is of this process: only behind such a one a log is begun.
    based: bool,
    log: Option<Log>,
    spoilt: bool,
}

impl<F: Folder> Disk<F> {
    /// Reads what is there. `log_most`: see [`MAX_LOG_BYTES`]. Errors are of the machine's disk, which may be asked again.
    pub fn open(folder: F, log_most: u64) -> eyre::Result<(Disk<F>, Stored)> {
        let snapshot = snapshot::read(&folder.path().join(SNAPSHOT))?;
        let (serial, found) = match snapshot {
            Snapshot::Whole(snapshot) => {
                let logged = log::read(&folder)?.filter(|logged| logged.0 > snapshot.0);
                let (serial, state) = logged.unwrap_or(snapshot);
                (serial, Stored::State(state))
            }
            Snapshot::None if log::segments(folder.path())?.is_empty() => (0, Stored::Empty),
            // no log is begun but behind a snapshot
            Snapshot::None | Snapshot::Corrupt => (0, Stored::Corrupt),
        };
        let spoilt = found == Stored::Corrupt;
        Ok((Disk { folder, log_most, serial, based: false, log: None, spoilt }, found))
    }

    /// Saves a state. After an error nothing is known of it but that the one before still stands.
    pub fn write(&mut self, state: &[u8]) -> eyre::Result<()> {
        let written = catch_unwind(AssertUnwindSafe(|| self.put(state)));
        let written = written.unwrap_or_else(|_| Err(eyre!("the log panicked")));
        if written.is_err() {
            (self.log, self.based) = (None, false);
        }
        written
    }

    fn put(&mut self, state: &[u8]) -> eyre::Result<()> {
        ensure!(state.len() <= MAX_STATE_BYTES, "a state of {} bytes", state.len());
        self.serial += 1;
        let full = self.log.as_ref().is_some_and(|log| log.written >= self.log_most);
        if state.len() > ENTRY_MOST || full || !self.based {
            return self.renew(state);
        }
        if self.log.is_none() {
            match Log::begin(&self.folder) {
                Ok(log) => self.log = Some(log),
                Err(e) => tracing::warn!(event = "log_not_begun", fault = %format!("{e:#}")),
            }
        }
        match &mut self.log {
            Some(log) => log.append(&self.folder, self.serial, state),
            None => self.renew(state),
        }
    }

    /// The state as a snapshot.
    fn renew(&mut self, state: &[u8]) -> eyre::Result<()> {
        self.log = None;
        if self.spoilt {
            self.clear_spoilt().wrap_err("spoilt disk")?;
        }
        if let Err(e) = self.fresh(state) {
            // of a full disk it would take what room there is
            let _ = self.folder.remove(FRESH);
            return Err(e);
        }
        self.folder.rename(FRESH, SNAPSHOT).wrap_err("snapshot: rename")?;
        self.folder.sync_folder().wrap_err("snapshot: sync of the folder")?;
        (self.based, self.spoilt) = (true, false);
        Ok(())
    }

    /// Its serials are not known: nothing of the log may be taken for newer than what comes. It stays spoilt as long
    /// as there is no state.
    fn clear_spoilt(&mut self) -> eyre::Result<()> {
        let path = self.folder.path();
        if !fs::exists(path.join(SNAPSHOT))? {
            let file = self.folder.create(SNAPSHOT, [b"", b""])?;
            self.folder.sync(&file, SNAPSHOT)?;
            self.folder.sync_folder()?;
        }
        log::clear(&self.folder)?;
        // for whoever looks into it later; it may be there from a try before
        let _ = fs::hard_link(path.join(SNAPSHOT), path.join(ASIDE));
        Ok(())
    }

    fn fresh(&mut self, state: &[u8]) -> eyre::Result<()> {
        let head = snapshot::head(self.serial, state);
        let file = self.folder.create(FRESH, [&head, state]).wrap_err("snapshot")?;
        self.folder.sync(&file, FRESH).wrap_err("snapshot: sync")
    }
}
