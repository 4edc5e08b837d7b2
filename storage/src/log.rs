//! The log of small states, by `okaywal`.
//!
//! Its own checkpoints stay unused: it renames used segments for new entries and syncs only their content, so that a
//! loss of power may leave a synced entry under the name of a segment that counts as done; and a sync that failed
//! blocks every later one. A log is begun anew instead, behind a snapshot. An entry stays within the log's buffer:
//! `okaywal` panics where a write past it fails. Nothing is ever appended to a log that was read: behind a torn end
//! there is no entry that counts.

use crate::{Folder, LogStep, Numbered, MAX_STATE_BYTES};
use eyre::WrapErr;
use okaywal::{Configuration, Entry, EntryId, LogManager, ReadChunkResult, SegmentReader, WriteAheadLog};
use std::fs::{self, File};
use std::io::{self, Read};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::{Arc, Mutex};

const BUFFER: usize = 64 << 10;
/// Larger states don't fit.
pub(crate) const ENTRY_MOST: usize = BUFFER - 256;
/// What an entry takes beside its state.
const ENTRY_HEAD: u64 = 64;

pub(crate) struct Log {
    log: WriteAheadLog,
    /// Bytes appended.
    pub(crate) written: u64,
}

impl Log {
    /// An empty log in place of the one that is there, which nothing needs any more.
    pub(crate) fn begin(folder: &impl Folder) -> eyre::Result<Log> {
        clear(folder)?;
        let path = folder.path();
        let log = folder.log(LogStep::Begin, || configuration(path).open(Newest::default()))?;
        Ok(Log { log, written: 0 })
    }

    /// Appends and syncs. After an error the log is done for.
    pub(crate) fn append(&mut self, folder: &impl Folder, serial: u64, state: &[u8]) -> eyre::Result<()> {
        folder.log(LogStep::Append, || {
            let mut entry = self.log.begin_entry()?;
            entry.write_chunk(&serial.to_le_bytes())?;
            entry.write_chunk(state)?;
            entry.commit()
        })?;
        self.written += state.len() as u64 + ENTRY_HEAD;
        Ok(())
    }
}

/// Removes the log, for good.
pub(crate) fn clear(folder: &impl Folder) -> eyre::Result<()> {
    let names = segments(folder.path())?;
    for name in &names {
        folder.remove(name)?;
    }
    if !names.is_empty() {
        folder.sync_folder().wrap_err("sync of the folder")?;
    }
    Ok(())
}

/// The newest whole entry. Errors are the disk's.
pub(crate) fn read(folder: &impl Folder) -> eyre::Result<Option<Numbered>> {
    let path = folder.path();
    // a segment without its head was never synced: nothing that counts is in it, and `okaywal` chokes on it
    for name in segments(path)? {
        let mut head = Vec::new();
        File::open(path.join(&name))?.take(5).read_to_end(&mut head)?;
        if head.len() < 5 || &head[..4] != b"okw\0" {
            folder.remove(&name)?;
        }
    }
    if segments(path)?.is_empty() {
        return Ok(None);
    }
    let heard = Newest::default();
    let open = || catch_unwind(AssertUnwindSafe(|| configuration(path).open(heard.clone()).map(drop)));
    match folder.log(LogStep::Read, open) {
        Ok(Ok(())) => {}
        Ok(Err(e)) if !torn(&e) => return Err(e).wrap_err("log"),
        // past what was read whole the bytes make no sense to it
        Ok(Err(_)) | Err(_) => tracing::warn!(event = "torn_tail"),
    }
    let newest = heard.0.lock().unwrap_or_else(|e| e.into_inner()).take();
    Ok(newest)
}

fn configuration(folder: &Path) -> Configuration {
    Configuration::default_for(folder)
        .preallocate_bytes(64 << 10)
        .checkpoint_after_bytes(u64::MAX)
        .buffer_bytes(BUFFER)
}

/// Names of the files that the log consists of.
pub(crate) fn segments(folder: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        if let Some(name) = entry?.file_name().to_str().filter(|name| name.starts_with("wal-")) {
            found.push(name.to_string());
        }
    }
    Ok(found)
}

/// Whether the bytes are at fault, not the disk.
fn torn(e: &io::Error) -> bool {
    e.raw_os_error().is_none()
}

/// Keeps the newest whole entry of what is read.
#[derive(Debug, Default, Clone)]
struct Newest(Arc<Mutex<Option<Numbered>>>);

impl Newest {
    fn chunk(entry: &mut Entry<'_>) -> io::Result<Option<Vec<u8>>> {
        let ReadChunkResult::Chunk(mut chunk) = entry.read_chunk()? else { return Ok(None) };
        // a torn length must not ask for more memory than there is
        if chunk.bytes_remaining() as usize > MAX_STATE_BYTES {
            return Ok(None);
        }
        let bytes = chunk.read_all()?;
        Ok(chunk.check_crc()?.then_some(bytes))
    }

    fn entry(entry: &mut Entry<'_>) -> io::Result<Option<Numbered>> {
        let (serial, state) = (Self::chunk(entry)?, Self::chunk(entry)?);
        let ended = matches!(entry.read_chunk()?, ReadChunkResult::EndOfEntry);
        let serial = serial.and_then(|serial| serial.try_into().ok()).map(u64::from_le_bytes);
        Ok(serial.zip(state).filter(|_| ended))
    }
}

impl LogManager for Newest {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        match Self::entry(entry) {
            Ok(Some(found)) => {
                let mut newest = self.0.lock().unwrap_or_else(|e| e.into_inner());
                if newest.as_ref().is_none_or(|newest| newest.0 < found.0) {
                    *newest = Some(found);
                }
                Ok(())
            }
            Err(e) if !torn(&e) => Err(e),
            Ok(None) | Err(_) => Ok(()),
        }
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> io::Result<()> {
        Err(io::Error::other("segments are removed whole, behind a snapshot"))
    }
}
