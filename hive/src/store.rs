//! The disk: what this member of the core must never forget, kept by a thread of its own, so that a disk that
//! stalls stops neither probes nor answers.
//!
//! Each entry is a whole state with a serial number; the newest whole one wins. Entries go to an `okaywal` log.
//! Its own checkpoints stay unused: it renames used segments for new entries and syncs only their content, so
//! that a loss of power may leave a synced entry under the name of a segment that counts as done; and a sync
//! that failed blocks every later one. Here the log is begun anew instead, when it has grown or after a fault:
//! a snapshot is written whole (new file, sync, rename, sync of the folder), and only then the segments go.
//! A state larger than the log's buffer becomes a snapshot at once: `okaywal` panics where such a write fails.

use eyre::WrapErr;
use okaywal::{Configuration, Entry, EntryId, LogManager, ReadChunkResult, SegmentReader, WriteAheadLog};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// So much of the log at most is kept before it is begun anew.
const LOG_MOST: u64 = 1 << 20;
const BUFFER: usize = 64 << 10;
const ENTRY_MOST: usize = BUFFER - 256;
/// No state is larger; a torn length must not ask for more memory than there is.
const STATE_MOST: u32 = 48 << 20;
const MAGIC: &[u8; 8] = b"LPHIVE01";
const SNAPSHOT: &str = "snapshot";
const FRESH: &str = "snapshot.new";

/// A number and the state it stands for.
type Numbered = (u64, Vec<u8>);

struct Job {
    ticket: u64,
    state: Vec<u8>,
}

/// The handle of the thread that writes.
pub struct Store {
    jobs: Sender<Job>,
}

/// A save that has come to its end: its ticket, and whether the state is on the disk.
pub type Saved = (u64, bool);

/// A store with what it has to tell.
pub struct Opened {
    pub store: Store,
    /// What was on the disk; `None` on an empty one.
    pub found: oneshot::Receiver<Option<Vec<u8>>>,
    pub ends: UnboundedReceiver<Saved>,
}

impl Store {
    /// Reads what is there and begins to take states. A disk that can't be read is tried again until it can:
    /// what it holds may count.
    pub fn open(folder: PathBuf) -> eyre::Result<Opened> {
        let (jobs, work) = channel();
        let (first, found) = oneshot::channel();
        let (done, ends) = unbounded_channel();
        let run = move || Disk::begin(folder, first).run(&work, &done);
        std::thread::Builder::new().name("disk".into()).stack_size(256 << 10).spawn(run)?;
        Ok(Opened { store: Store { jobs }, found, ends })
    }

    /// Hands a state over. Its end is told on the channel of ends.
    pub fn save(&self, ticket: u64, state: Vec<u8>) {
        let _ = self.jobs.send(Job { ticket, state });
    }
}

struct Disk {
    folder: PathBuf,
    serial: u64,
    log: Option<WriteAheadLog>,
    /// Bytes in the log.
    written: u64,
}

impl Disk {
    fn begin(folder: PathBuf, found: oneshot::Sender<Option<Vec<u8>>>) -> Disk {
        let mut disk = Disk { folder, serial: 0, log: None, written: 0 };
        let mut told = false;
        let newest = loop {
            match read_all(&disk.folder) {
                Ok(newest) => break newest,
                Err(e) => {
                    if !std::mem::replace(&mut told, true) {
                        tracing::error!(event = "disk_unread", fault = %format!("{e:#}"));
                    }
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        };
        disk.serial = newest.as_ref().map_or(0, |n| n.0);
        let _ = found.send(newest.map(|n| n.1));
        disk
    }

    fn run(mut self, work: &Receiver<Job>, done: &UnboundedSender<Saved>) {
        while let Ok(first) = work.recv() {
            // each state stands for all before it: of those that wait, the last is enough
            let mut tickets = vec![first.ticket];
            let mut state = first.state;
            for job in work.try_iter() {
                tickets.push(job.ticket);
                state = job.state;
            }
            let written = catch_unwind(AssertUnwindSafe(|| self.write(&state)));
            let ok = match written {
                Ok(Ok(())) => true,
                Ok(Err(e)) => {
                    tracing::warn!(event = "save_failed", fault = %format!("{e:#}"));
                    false
                }
                Err(_) => {
                    tracing::warn!(event = "save_failed", fault = "the log panicked");
                    false
                }
            };
            if !ok {
                self.log = None;
            }
            for ticket in tickets {
                if done.send((ticket, ok)).is_err() {
                    return;
                }
            }
        }
    }

    fn write(&mut self, state: &[u8]) -> eyre::Result<()> {
        self.serial += 1;
        let room = self.written < LOG_MOST && state.len() <= ENTRY_MOST;
        let Some(log) = self.log.as_ref().filter(|_| room) else { return self.renew(state) };
        let mut entry = log.begin_entry()?;
        entry.write_chunk(&self.serial.to_le_bytes())?;
        entry.write_chunk(state)?;
        entry.commit()?;
        self.written += state.len() as u64 + 64;
        Ok(())
    }

    /// The state as a snapshot, and an empty log behind it.
    fn renew(&mut self, state: &[u8]) -> eyre::Result<()> {
        self.log = None;
        let fresh = self.folder.join(FRESH);
        let mut file = File::create(&fresh).wrap_err("snapshot")?;
        let mut head = MAGIC.to_vec();
        head.extend_from_slice(&self.serial.to_le_bytes());
        head.extend_from_slice(&(state.len() as u32).to_le_bytes());
        head.extend_from_slice(&checksum(self.serial, state).to_le_bytes());
        file.write_all(&head)?;
        file.write_all(state)?;
        file.sync_all().wrap_err("snapshot: sync")?;
        drop(file);
        fs::rename(&fresh, self.folder.join(SNAPSHOT)).wrap_err("snapshot: rename")?;
        sync_folder(&self.folder)?;
        // from here on the state is safe; a log that can't be begun only makes the next save a snapshot too
        if let Err(e) = self.new_log() {
            tracing::warn!(event = "log_not_begun", fault = %format!("{e:#}"));
        }
        Ok(())
    }

    fn new_log(&mut self) -> eyre::Result<()> {
        let mut gone = false;
        for segment in segments(&self.folder)? {
            fs::remove_file(segment)?;
            gone = true;
        }
        if gone {
            sync_folder(&self.folder)?;
        }
        self.written = 0;
        self.log = Some(configuration(&self.folder).open(Newest::default())?);
        Ok(())
    }
}

fn configuration(folder: &Path) -> Configuration {
    Configuration::default_for(folder)
        .preallocate_bytes(64 << 10)
        .checkpoint_after_bytes(u64::MAX)
        .buffer_bytes(BUFFER)
}

fn sync_folder(folder: &Path) -> eyre::Result<()> {
    File::open(folder).and_then(|f| f.sync_all()).wrap_err("sync of the folder")
}

fn segments(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.file_name().to_str().is_some_and(|n| n.starts_with("wal-")) {
            found.push(entry.path());
        }
    }
    Ok(found)
}

fn checksum(serial: u64, state: &[u8]) -> u64 {
    let bytes = serial.to_le_bytes();
    bytes
        .iter()
        .chain(state)
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// The newest state, from the snapshot and the log.
fn read_all(folder: &Path) -> eyre::Result<Option<Numbered>> {
    let mut newest = read_snapshot(&folder.join(SNAPSHOT))?;
    // a segment without its head was never synced: nothing that counts is in it, and `okaywal` chokes on it
    for segment in segments(folder)? {
        let mut head = Vec::new();
        File::open(&segment)?.take(5).read_to_end(&mut head)?;
        if head.len() < 5 || &head[..4] != b"okw\0" {
            fs::remove_file(&segment)?;
        }
    }
    if segments(folder)?.is_empty() {
        return Ok(newest);
    }
    let heard = Newest::default();
    let read = catch_unwind(AssertUnwindSafe(|| configuration(folder).open(heard.clone()).map(drop)));
    match read {
        Ok(Ok(())) => {}
        Ok(Err(e)) if !torn(&e) => return Err(e).wrap_err("log"),
        // past what was read whole the bytes make no sense to it
        Ok(Err(_)) | Err(_) => tracing::warn!(event = "torn_tail"),
    }
    let logged = heard.0.lock().unwrap_or_else(|e| e.into_inner()).take();
    if logged.as_ref().map(|l| l.0) > newest.as_ref().map(|n| n.0) {
        newest = logged;
    }
    Ok(newest)
}

/// Whether the bytes are at fault, not the disk.
fn torn(e: &io::Error) -> bool {
    e.raw_os_error().is_none()
}

fn read_snapshot(path: &Path) -> eyre::Result<Option<Numbered>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e).wrap_err("snapshot"),
    };
    let number = |at: usize| bytes.get(at..at + 8).and_then(|b| b.try_into().ok()).map(u64::from_le_bytes);
    let state = bytes.get(28..).unwrap_or_default();
    let length = bytes.get(16..20).and_then(|b| b.try_into().ok()).map(u32::from_le_bytes);
    let whole = bytes.starts_with(MAGIC) && length == Some(state.len() as u32);
    match (number(8), number(20)) {
        (Some(serial), Some(sum)) if whole && sum == checksum(serial, state) => {
            Ok(Some((serial, state.to_vec())))
        }
        // it was whole before it got its name: this is no torn write but a spoilt disk
        _ => Err(eyre::eyre!("snapshot: spoilt")),
    }
}

/// Keeps the newest whole entry of what is read.
#[derive(Debug, Default, Clone)]
struct Newest(Arc<Mutex<Option<Numbered>>>);

impl Newest {
    fn chunk(entry: &mut Entry<'_>) -> io::Result<Option<Vec<u8>>> {
        let ReadChunkResult::Chunk(mut chunk) = entry.read_chunk()? else { return Ok(None) };
        if chunk.bytes_remaining() > STATE_MOST {
            return Ok(None);
        }
        let bytes = chunk.read_all()?;
        Ok(chunk.check_crc()?.then_some(bytes))
    }
}

impl LogManager for Newest {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        let read =
            (|| Ok::<_, io::Error>((Self::chunk(entry)?, Self::chunk(entry)?, entry.read_chunk()?.ended())))(
            );
        let (serial, state) = match read {
            Ok((Some(serial), Some(state), true)) => (serial, state),
            Ok(_) => return Ok(()),
            Err(e) if torn(&e) => return Ok(()),
            Err(e) => return Err(e),
        };
        let Ok(serial) = serial.try_into().map(u64::from_le_bytes) else { return Ok(()) };
        let mut newest = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if newest.as_ref().is_none_or(|n| n.0 < serial) {
            *newest = Some((serial, state));
        }
        Ok(())
    }

    fn checkpoint_to(&mut self, _: EntryId, _: &mut SegmentReader, _: &WriteAheadLog) -> io::Result<()> {
        Err(io::Error::other("segments are removed whole, behind a snapshot"))
    }
}

trait Ended {
    fn ended(&self) -> bool;
}

impl Ended for ReadChunkResult<'_, '_> {
    fn ended(&self) -> bool {
        matches!(self, ReadChunkResult::EndOfEntry)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("lupinledge-hive-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn disk(folder: &Path) -> Disk {
        Disk::begin(folder.to_path_buf(), oneshot::channel().0)
    }

    fn state(n: u8, len: usize) -> Vec<u8> {
        vec![n; len]
    }

    #[test]
    fn newest_whole_state_wins_after_each_way_to_write() {
        let folder = folder("ways");
        assert_eq!(read_all(&folder).unwrap(), None);
        // a snapshot, log entries, a state past the buffer, a log past its size
        let lens = [[10, 2_000, 0, 70_000, 10].as_slice(), &[40_000; 40]].concat();
        for (n, len) in lens.into_iter().enumerate() {
            let mut disk = disk(&folder);
            disk.write(&state(n as u8, len)).unwrap();
            disk.write(&state(n as u8 + 100, len)).unwrap();
            drop(disk);
            assert_eq!(read_all(&folder).unwrap().unwrap().1, state(n as u8 + 100, len));
        }
        let mut disk = disk(&folder);
        (0..100).for_each(|n| disk.write(&state(n, 40_000)).unwrap());
        assert_eq!(read_all(&folder).unwrap().unwrap().1, state(99, 40_000));
        let bytes: u64 = fs::read_dir(&folder).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(bytes < 2 * LOG_MOST, "{bytes}");
    }

    #[test]
    fn a_torn_tail_costs_only_what_was_never_synced() {
        let folder = folder("torn");
        let mut disk = disk(&folder);
        (1..=3).for_each(|n| disk.write(&state(n, 700)).unwrap());
        drop(disk);
        let [log] = &segments(&folder).unwrap()[..] else { panic!("one segment") };
        let whole = fs::read(log).unwrap();
        let end = whole.iter().rposition(|b| *b != 0).unwrap() + 1;
        for cut in (end - 735..end).step_by(49) {
            for tail in [Vec::new(), vec![0; 4096], vec![0xff; 4096], vec![2; 4096]] {
                let torn = [&whole[..cut], &tail].concat();
                fs::write(log, torn).unwrap();
                let kept = read_all(&folder).unwrap().unwrap();
                assert!(kept == (2, state(2, 700)) || kept == (3, state(3, 700)), "cut at {cut}: {}", kept.0);
                // and what comes after it stands
                let mut disk = self::disk(&folder);
                disk.write(&state(9, 700)).unwrap();
                drop(disk);
                assert_eq!(read_all(&folder).unwrap().unwrap().1, state(9, 700));
                segments(&folder).unwrap().iter().for_each(|s| fs::remove_file(s).unwrap());
                fs::remove_file(folder.join(SNAPSHOT)).unwrap();
                let mut disk = self::disk(&folder);
                (1..=1).for_each(|n| disk.write(&state(n, 700)).unwrap());
            }
        }
    }

    #[test]
    fn a_segment_that_was_never_synced_is_no_fault() {
        let folder = folder("headless");
        let mut disk = disk(&folder);
        disk.write(&state(1, 10)).unwrap();
        drop(disk);
        for head in [&b""[..], b"ok", &[0; 9000]] {
            fs::write(folder.join("wal-1"), head).unwrap();
            assert_eq!(read_all(&folder).unwrap(), Some((1, state(1, 10))));
        }
    }

    /// One that can't be trusted is no empty disk: who takes it for one might vote again on what it has forgotten.
    #[test]
    fn a_spoilt_snapshot_is_no_empty_disk() {
        let folder = folder("spoilt");
        disk(&folder).write(&state(1, 10)).unwrap();
        let at = folder.join(SNAPSHOT);
        let whole = fs::read(&at).unwrap();
        for byte in 0..whole.len() {
            let mut spoilt = whole.clone();
            spoilt[byte] ^= 1;
            fs::write(&at, &spoilt).unwrap();
            assert!(read_all(&folder).is_err(), "byte {byte}");
            fs::write(&at, &whole[..byte]).unwrap();
            assert!(read_all(&folder).is_err(), "cut at {byte}");
        }
        fs::write(&at, &whole).unwrap();
        assert_eq!(read_all(&folder).unwrap(), Some((1, state(1, 10))));
    }

    #[test]
    fn a_save_that_failed_is_told_and_a_later_one_stands() {
        let folder = folder("refuses");
        let mut disk = disk(&folder);
        disk.write(&state(1, 10)).unwrap();
        fs::remove_dir_all(&folder).unwrap();
        disk.log = None;
        let ((jobs, work), (done, mut ends)) = (channel(), unbounded_channel());
        let writer = std::thread::spawn(move || disk.run(&work, &done));
        jobs.send(Job { ticket: 7, state: state(2, 10) }).unwrap();
        assert_eq!(ends.blocking_recv(), Some((7, false)));
        fs::create_dir_all(&folder).unwrap();
        jobs.send(Job { ticket: 8, state: state(3, 10) }).unwrap();
        assert_eq!(ends.blocking_recv(), Some((8, true)));
        drop(jobs);
        writer.join().unwrap();
        assert_eq!(read_all(&folder).unwrap().unwrap().1, state(3, 10));
    }
}
