//! The log of small states, based on `okaywal`.
//!
//! The checkpoints of `okaywal` are not used. It renames used segments for new entries and syncs only their content, so
//! that a loss of power may leave a synced entry under the name of a segment that counts as done; and a failed sync
//! blocks every later one. Instead, a new log is begun after a snapshot. An entry must fit into the log's buffer, since
//! `okaywal` panics if a write beyond the buffer fails. Nothing is appended to a log that was read, because no entry
//! after a torn end counts.

use crate::{Folder, LogStep, NumberedState, MAX_STATE_BYTES};
use eyre::WrapErr;
use okaywal::{Configuration, Entry, EntryId, LogManager, ReadChunkResult, SegmentReader, WriteAheadLog};
use std::fs::{self, File};
use std::io::{self, Read};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::{Arc, Mutex};

const BUFFER_BYTES: usize = 64 << 10;
/// The largest state that fits into an entry, in bytes.
pub(crate) const MAX_ENTRY_STATE: usize = BUFFER_BYTES - 256;
/// Bytes that an entry takes in addition to its state.
const ENTRY_OVERHEAD: u64 = 64;

/// A log to which entries are appended.
pub(crate) struct Log {
    log: WriteAheadLog,
    /// Number of bytes appended.
    pub(crate) bytes_written: u64,
}

impl Log {
    /// Removes the existing log, which must no longer be needed, and begins an empty one.
    pub(crate) fn begin(folder: &impl Folder) -> eyre::Result<Log> {
        clear(folder)?;
        let path = folder.path();
        let log = folder.log(LogStep::Begin, || configuration(path).open(Newest::default()))?;
        Ok(Log { log, bytes_written: 0 })
    }

    /// Appends a state and syncs it. After an error the log must not be used any more.
    pub(crate) fn append(&mut self, folder: &impl Folder, serial: u64, state: &[u8]) -> eyre::Result<()> {
        folder.log(LogStep::Append, || {
            let mut entry = self.log.begin_entry()?;
            entry.write_chunk(&serial.to_le_bytes())?;
            entry.write_chunk(state)?;
            entry.commit()
        })?;
        self.bytes_written += state.len() as u64 + ENTRY_OVERHEAD;
        Ok(())
    }
}

/// Removes the log and syncs the folder.
pub(crate) fn clear(folder: &impl Folder) -> eyre::Result<()> {
    let names = segments(folder.path())?;
    for name in &names {
        folder.remove(name)?;
    }
    if !names.is_empty() {
        folder.sync_folder().wrap_err("sync the folder")?;
    }
    Ok(())
}

/// Reads the newest intact entry. An error means that the disk could not be read.
pub(crate) fn read(folder: &impl Folder) -> eyre::Result<Option<NumberedState>> {
    let path = folder.path();
    // a segment without its header was never synced: it holds no entry that counts, and `okaywal` can't open it
    for name in segments(path)? {
        let mut header = Vec::new();
        File::open(path.join(&name))?.take(5).read_to_end(&mut header)?;
        if header.len() < 5 || &header[..4] != b"okw\0" {
            folder.remove(&name)?;
        }
    }
    if segments(path)?.is_empty() {
        return Ok(None);
    }
    let newest_entry = Newest::default();
    let open = || catch_unwind(AssertUnwindSafe(|| configuration(path).open(newest_entry.clone()).map(drop)));
    match folder.log(LogStep::Read, open) {
        Ok(Ok(())) => {}
        Ok(Err(e)) if !is_torn(&e) => return Err(e).wrap_err("read the log"),
        // the bytes after the last intact entry could not be parsed
        Ok(Err(_)) | Err(_) => tracing::warn!(event = "torn_tail"),
    }
    let newest = newest_entry.0.lock().unwrap_or_else(|e| e.into_inner()).take();
    Ok(newest)
}

fn configuration(folder: &Path) -> Configuration {
    Configuration::default_for(folder)
        .preallocate_bytes(64 << 10)
        .checkpoint_after_bytes(u64::MAX)
        .buffer_bytes(BUFFER_BYTES)
}

/// Names of the files of the log.
pub(crate) fn segments(folder: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(folder)? {
        if let Some(name) = entry?.file_name().to_str().filter(|name| name.starts_with("wal-")) {
            names.push(name.to_string());
        }
    }
    Ok(names)
}

/// Whether an error is due to the bytes read and not to the disk.
fn is_torn(e: &io::Error) -> bool {
    e.raw_os_error().is_none()
}

/// Keeps the newest intact entry of a log that is read.
#[derive(Debug, Default, Clone)]
struct Newest(Arc<Mutex<Option<NumberedState>>>);

impl Newest {
    fn read_chunk(entry: &mut Entry<'_>) -> io::Result<Option<Vec<u8>>> {
        let ReadChunkResult::Chunk(mut chunk) = entry.read_chunk()? else { return Ok(None) };
        // a corrupt length must not cause a huge allocation
        if chunk.bytes_remaining() as usize > MAX_STATE_BYTES {
            return Ok(None);
        }
        let bytes = chunk.read_all()?;
        Ok(chunk.check_crc()?.then_some(bytes))
    }

    fn read_entry(entry: &mut Entry<'_>) -> io::Result<Option<NumberedState>> {
        let (serial, state) = (Self::read_chunk(entry)?, Self::read_chunk(entry)?);
        let is_complete = matches!(entry.read_chunk()?, ReadChunkResult::EndOfEntry);
        let serial = serial.and_then(|serial| serial.try_into().ok()).map(u64::from_le_bytes);
        Ok(serial.zip(state).filter(|_| is_complete))
    }
}

impl LogManager for Newest {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        match Self::read_entry(entry) {
            Ok(Some(parsed)) => {
                let mut newest = self.0.lock().unwrap_or_else(|e| e.into_inner());
                if newest.as_ref().is_none_or(|newest| newest.0 < parsed.0) {
                    *newest = Some(parsed);
                }
                Ok(())
            }
            Err(e) if !is_torn(&e) => Err(e),
            Ok(None) | Err(_) => Ok(()),
        }
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> io::Result<()> {
        Err(io::Error::other("checkpoints are not used: whole segments are removed after a snapshot"))
    }
}
