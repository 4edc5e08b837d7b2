//! The behaviour of the journal: order, numbers, bounds, stalled and failing disks, and damage.

use lupinledge_storage::journal::{Batch, Head, Segments};
use lupinledge_storage::{DataDir, Folder, Journal, JournalBounds, LogStep, OpenedJournal, Replayed};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::mpsc::UnboundedReceiver;

const BOUNDS: JournalBounds =
    JournalBounds { segment_bytes: 1 << 20, segment_seconds: 3600.0, max_bytes: 64 << 20 };
/// A test that waits longer than this fails.
const TIMEOUT: Duration = Duration::from_secs(60);
const HOUR: Option<f64> = Some(3600.0);

/// A temporary folder that is removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("lupinledge-journal-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    fn dir(&self) -> DataDir {
        DataDir(self.0.clone())
    }

    fn open(&self, bounds: JournalBounds) -> (Journal, Replayed, UnboundedReceiver<u64>) {
        wait_opened(Journal::open(self.0.clone(), bounds).unwrap())
    }

    fn segments(&self, bounds: JournalBounds, now: f64) -> (Segments<DataDir>, Replayed) {
        Segments::open(self.dir(), bounds, now).unwrap()
    }

    /// Reads the journal without syncing it.
    fn read(&self) -> Replayed {
        let faulty = FaultyFolder::new(self);
        faulty.set(|faults| faults.unsynced = true);
        Segments::open(faulty, BOUNDS, 0.0).unwrap().1
    }

    /// The journal's files, oldest first.
    fn files(&self) -> Vec<PathBuf> {
        let files = fs::read_dir(&self.0).unwrap().map(|file| file.unwrap().path());
        let mut files: Vec<PathBuf> = files.filter(|file| file.extension().is_some()).collect();
        files.sort();
        files
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Waits until the journal has been read.
fn wait_opened(opened: OpenedJournal) -> (Journal, Replayed, UnboundedReceiver<u64>) {
    let OpenedJournal { journal, replayed, saved } = opened;
    (journal, replayed.blocking_recv().unwrap(), saved)
}

/// Waits until this number is reported as saved; returns all numbers that were reported.
fn wait_saved(saved: &mut UnboundedReceiver<u64>, number: u64) -> Vec<u64> {
    let mut reported = Vec::new();
    let start = Instant::now();
    while reported.last() != Some(&number) {
        match saved.try_recv() {
            Ok(number) => reported.push(number),
            Err(TryRecvError::Disconnected) => panic!("the thread has ended"),
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
        assert!(start.elapsed() < TIMEOUT, "{number} was not reported as saved, but {reported:?} were");
    }
    reported
}

fn entry(number: u64) -> Vec<u8> {
    format!("entry {number}").into_bytes()
}

fn entries(numbers: impl IntoIterator<Item = u64>) -> Vec<Vec<u8>> {
    numbers.into_iter().map(entry).collect()
}

fn batch(now: f64, number: u64, entry: &[u8], keep_s: Option<f64>) -> Batch {
    let mut batch = Batch::default();
    batch.push(now, number, entry, keep_s);
    batch
}

/// An operation on the folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Create,
    Append,
    Sync,
    SyncData,
    SyncFolder,
}

#[derive(Default)]
struct Faults {
    /// All operations wait.
    stalled: bool,
    /// These operations fail after half of their work.
    failing: Vec<Operation>,
    /// Syncs succeed without doing anything.
    unsynced: bool,
    /// All operations that were requested, including those that stall or fail.
    requested: Vec<Operation>,
}

/// A folder whose operations can be made to stall or fail.
#[derive(Clone)]
struct FaultyFolder(DataDir, Arc<(Mutex<Faults>, Condvar)>);

impl FaultyFolder {
    fn new(temp: &TempFolder) -> FaultyFolder {
        FaultyFolder(temp.dir(), Arc::default())
    }

    fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.1 .0.lock().unwrap());
        self.1 .1.notify_all();
    }

    /// Waits until this operation was requested `times` times since the faults were last reset.
    fn wait_requested(&self, operation: Operation, times: usize) {
        let too_few = |faults: &mut Faults| {
            faults.requested.iter().filter(|requested| **requested == operation).count() < times
        };
        let waited = self.1 .1.wait_timeout_while(self.1 .0.lock().unwrap(), TIMEOUT, too_few).unwrap();
        assert!(!waited.1.timed_out(), "{operation:?} was not requested {times} times");
    }

    /// Records an operation, waits while the folder is stalled, and fails if the operation is to fail.
    fn begin_operation(&self, operation: Operation) -> io::Result<()> {
        let mut faults = self.1 .0.lock().unwrap();
        faults.requested.push(operation);
        self.1 .1.notify_all();
        let faults = self.1 .1.wait_while(faults, |faults| faults.stalled).unwrap();
        if faults.failing.contains(&operation) {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(())
    }

    /// Like [`FaultyFolder::begin_operation`], and then runs the sync.
    fn run_sync(&self, operation: Operation, sync: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        self.begin_operation(operation)?;
        let unsynced = self.1 .0.lock().unwrap().unsynced;
        if unsynced {
            return Ok(());
        }
        sync()
    }
}

impl Folder for FaultyFolder {
    fn path(&self) -> &Path {
        self.0.path()
    }
    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        let result = self.begin_operation(Operation::Create);
        let written = if result.is_ok() { parts } else { [parts[0], &parts[1][..parts[1].len() / 2]] };
        result.and(self.0.create(name, written))
    }
    fn append(&self, file: &File, name: &str, bytes: &[u8]) -> io::Result<()> {
        let result = self.begin_operation(Operation::Append);
        let written = if result.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        result.and(self.0.append(file, name, written))
    }
    fn sync(&self, file: &File, name: &str) -> io::Result<()> {
        self.run_sync(Operation::Sync, || self.0.sync(file, name))
    }
    fn sync_data(&self, file: &File, name: &str) -> io::Result<()> {
        self.run_sync(Operation::SyncData, || self.0.sync_data(file, name))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&self) -> io::Result<()> {
        self.run_sync(Operation::SyncFolder, || self.0.sync_folder())
    }
    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T {
        self.0.log(step, run)
    }
}

#[test]
fn saved_entries_are_read_in_order() {
    let temp = TempFolder::new("order");
    fs::write(temp.0.join("snapshot"), "other data").unwrap();
    for start in 0..3 {
        let (journal, read, mut saved) = temp.open(BOUNDS);
        let expected = entries((0..start).flat_map(|_| 1..=100));
        assert_eq!(read, Replayed { entries: expected, damaged: false });
        for number in 1..=100 {
            assert!(journal.append(number, entry(number), HOUR, number % 3 == 0));
        }
        let reported = wait_saved(&mut saved, 100);
        assert!(reported.is_sorted(), "{reported:?}");
        assert!(journal.bytes() > 0);
        drop(journal);
        assert_eq!(saved.blocking_recv(), None, "the thread ends with its handle");
    }
    assert_eq!(temp.files().len(), 3, "no start appends to a segment of another start");
    assert_eq!(fs::read(temp.0.join("snapshot")).unwrap(), b"other data");
}

#[test]
fn waiting_entries_are_written_when_the_handle_is_dropped() {
    let temp = TempFolder::new("end");
    let (journal, _, mut saved) = temp.open(BOUNDS);
    assert!(journal.append(1, entry(1), HOUR, false));
    drop(journal);
    assert_eq!(wait_saved(&mut saved, 1), [1]);
    assert_eq!(temp.read().entries, entries([1]));
}

#[test]
fn only_the_next_number_is_accepted() {
    let temp = TempFolder::new("numbers");
    let (journal, _, mut saved) = temp.open(BOUNDS);
    assert!(!journal.append(2, entry(2), HOUR, true));
    assert!(journal.append(1, entry(1), HOUR, true));
    assert!(!journal.append(1, entry(1), HOUR, true));
    assert!(!journal.append(3, entry(3), HOUR, true));
    assert!(journal.append(2, entry(2), HOUR, true));
    wait_saved(&mut saved, 2);
    assert_eq!(temp.read().entries, entries([1, 2]));
}

#[test]
fn all_entries_appended_during_a_sync_share_the_next_one() {
    let temp = TempFolder::new("group");
    let faulty = FaultyFolder::new(&temp);
    let (journal, _, mut saved) = wait_opened(Journal::open_on(faulty.clone(), BOUNDS).unwrap());
    assert!(journal.append(1, entry(1), HOUR, true));
    wait_saved(&mut saved, 1);
    faulty.set(|faults| *faults = Faults { stalled: true, ..Faults::default() });
    assert!(journal.append(2, entry(2), HOUR, true));
    faulty.wait_requested(Operation::Append, 1);
    (3..=100).for_each(|number| assert!(journal.append(number, entry(number), HOUR, true)));
    assert!(saved.try_recv().is_err(), "nothing is reported before it is synced");
    faulty.set(|faults| faults.stalled = false);
    assert_eq!(wait_saved(&mut saved, 100), [2, 100]);
    let requested = faulty.1 .0.lock().unwrap().requested.clone();
    assert_eq!(requested, [Operation::Append, Operation::SyncData].repeat(2));
}

/// After a loss of power, the journal must contain exactly the entries appended up to some moment. A head that was written
/// before an earlier entry would break this.
#[test]
fn a_head_is_not_on_disk_before_earlier_entries() {
    let temp = TempFolder::new("head-waits");
    let faulty = FaultyFolder::new(&temp);
    let bounds = JournalBounds { segment_bytes: 1, ..BOUNDS };
    let (journal, _, mut saved) = wait_opened(Journal::open_on(faulty.clone(), bounds).unwrap());
    faulty.set(|faults| *faults = Faults { stalled: true, ..Faults::default() });
    assert!(journal.append(1, entry(1), HOUR, true));
    faulty.wait_requested(Operation::Create, 1);
    assert!(journal.append(2, entry(2), HOUR, true));
    journal.set_head(vec![b"head".to_vec()]);
    faulty.set(|faults| faults.stalled = false);
    wait_saved(&mut saved, 2);
    assert!(journal.append(3, entry(3), HOUR, true));
    wait_saved(&mut saved, 3);
    let heads = |file: PathBuf| fs::read(file).unwrap().windows(4).any(|bytes| bytes == b"head");
    let heads: Vec<bool> = temp.files().into_iter().map(heads).collect();
    assert_eq!(heads, [false, false, true]);
    let expected = [entry(1), entry(2), b"head".to_vec(), entry(3)];
    assert_eq!(temp.read().entries, expected);
}

#[test]
fn waiting_entries_of_a_stalled_disk_are_bounded() {
    const ENTRY_BYTES: usize = 1 << 20;
    let temp = TempFolder::new("stalled");
    let faulty = FaultyFolder::new(&temp);
    let (journal, _, mut saved) = wait_opened(Journal::open_on(faulty.clone(), BOUNDS).unwrap());
    faulty.set(|faults| faults.stalled = true);
    let accepted =
        (1..100).take_while(|number| journal.append(*number, vec![0; ENTRY_BYTES], HOUR, true)).count();
    assert_eq!(accepted, 7, "8 MB with the overhead of each entry");
    let next = accepted as u64 + 1;
    assert!(!journal.append(next + 1, entry(0), HOUR, true), "no entry is accepted after a refused one");
    faulty.set(|faults| faults.stalled = false);
    wait_saved(&mut saved, next - 1);
    assert!(journal.append(next, entry(0), HOUR, true));
    wait_saved(&mut saved, next);
    assert_eq!(temp.read().entries.len(), accepted + 1);
}

/// Fails each kind of operation, with and without a saved entry before the batch.
#[test]
fn a_failed_batch_is_retried_until_it_is_on_disk() {
    use Operation::{Append, Create, Sync, SyncData, SyncFolder};
    for (segment_begun, failing) in
        [(true, Append), (true, SyncData), (false, Create), (false, Sync), (false, SyncFolder)]
    {
        let temp = TempFolder::new(&format!("refuses-{failing:?}"));
        let faulty = FaultyFolder::new(&temp);
        let (journal, _, mut saved) = wait_opened(Journal::open_on(faulty.clone(), BOUNDS).unwrap());
        journal.set_head(vec![b"head".to_vec()]);
        let last = if segment_begun { 2 } else { 1 };
        if segment_begun {
            assert!(journal.append(1, entry(1), HOUR, true));
            wait_saved(&mut saved, 1);
        }
        // the first two attempts to begin a new segment after that fail as well
        let all = if segment_begun { vec![failing, Sync] } else { vec![failing] };
        faulty.set(|faults| *faults = Faults { failing: all.clone(), ..Faults::default() });
        assert!(journal.append(last, entry(last), HOUR, true));
        faulty.wait_requested(*all.last().unwrap(), 2);
        assert!(saved.try_recv().is_err(), "{failing:?}: reported before it is on disk");
        faulty.set(|faults| faults.failing.clear());
        assert_eq!(wait_saved(&mut saved, last), [last]);
        let Replayed { mut entries, damaged } = temp.read();
        assert!(!damaged, "{failing:?}");
        entries.retain(|entry| entry != b"head");
        assert_eq!(entries, self::entries(1..=last), "{failing:?}");
        drop(journal);
        assert_eq!(saved.blocking_recv(), None);
    }
}

#[test]
fn reading_an_unreadable_folder_is_retried() {
    let temp = TempFolder::new("unread");
    fs::remove_dir_all(&temp.0).unwrap();
    let OpenedJournal { journal, mut replayed, mut saved } = Journal::open(temp.0.clone(), BOUNDS).unwrap();
    assert!(!journal.append(1, entry(1), HOUR, true), "not before the folder has been read");
    assert!(replayed.try_recv().is_err());
    fs::create_dir_all(&temp.0).unwrap();
    assert_eq!(replayed.blocking_recv().unwrap(), Replayed::default());
    assert!(journal.append(1, entry(1), HOUR, true));
    wait_saved(&mut saved, 1);
}

#[test]
fn a_full_journal_accepts_entries_again_once_old_ones_expire() {
    let bounds = JournalBounds { segment_bytes: 4_000, segment_seconds: 0.1, max_bytes: 20_000 };
    let temp = TempFolder::new("full");
    let (journal, _, mut saved) = temp.open(bounds);
    journal.set_head(vec![vec![1; 100]]);
    let mut refusals = 0;
    for number in 1..=60 {
        while !journal.append(number, vec![number as u8; 1_000], Some(0.05), true) {
            refusals += 1;
            assert!(refusals < 12_000, "the journal stays full");
            std::thread::sleep(Duration::from_millis(5));
        }
        let files: u64 = temp.files().iter().filter_map(|file| Some(fs::metadata(file).ok()?.len())).sum();
        assert!(files <= bounds.max_bytes && journal.bytes() <= bounds.max_bytes, "{files}");
    }
    wait_saved(&mut saved, 60);
    assert!(refusals > 0, "the journal was never full");
    // a journal that is full when it is opened accepts entries again as well
    drop(journal);
    assert_eq!(saved.blocking_recv(), None);
    let (journal, _, mut saved) = temp.open(JournalBounds { max_bytes: 1_700, ..bounds });
    journal.set_head(vec![vec![2; 100]]);
    assert!(!journal.append(1, entry(1), HOUR, true));
    while !journal.append(1, entry(1), HOUR, true) {
        refusals += 1;
        assert!(refusals < 24_000, "the journal stays full");
        std::thread::sleep(Duration::from_millis(5));
    }
    wait_saved(&mut saved, 1);
}

#[test]
fn segments_begin_with_the_head_and_are_deleted_once_all_entries_have_expired() {
    let bounds = JournalBounds { segment_bytes: 400, segment_seconds: 10.0, max_bytes: u64::MAX };
    let temp = TempFolder::new("rotation");
    let (mut segments, _) = temp.segments(bounds, 0.0);
    let size = |file: PathBuf| fs::metadata(file).unwrap().len();
    let head = Head::new(0, &[b"the head".to_vec()]);
    let mut write = |now: f64, number: u64, keep_s: f64| {
        segments.write(now, &batch(now, number, &[number as u8; 150], Some(keep_s)), &head).unwrap();
        segments.maintain(now, &head).unwrap();
        assert_eq!(segments.bytes(), temp.files().into_iter().map(size).sum::<u64>());
        for file in temp.files() {
            let bytes = fs::read(file).unwrap();
            assert_eq!(&bytes[76..84], b"the head", "after the header and the frame header");
        }
        temp.files().len()
    };
    assert_eq!(write(0.0, 1, 100.0), 1);
    assert_eq!(write(1.0, 2, 5.0), 2, "the segment is full");
    assert_eq!(write(12.0, 3, 1.0), 3, "the segment is too old, and the first one is still needed");
    assert_eq!(write(100.0, 4, 50.0), 1, "all earlier segments have expired");
    assert_eq!(write(101.0, 5, 50.0), 2);
    assert_eq!(temp.read().entries, [&b"the head"[..], b"the head", &[4; 150], &[5; 150]]);
}

#[test]
fn entries_without_an_expiry_are_kept_until_a_later_head_is_on_disk() {
    let bounds = JournalBounds { segment_seconds: 1.0, ..BOUNDS };
    let temp = TempFolder::new("until-head");
    let (mut segments, _) = temp.segments(bounds, 0.0);
    let first = Head::new(0, &[b"first".to_vec()]);
    segments.write(0.0, &batch(0.0, 1, b"one", None), &first).unwrap();
    segments.maintain(5.0, &first).unwrap();
    segments.maintain(10.0, &first).unwrap();
    assert!(temp.read().entries.contains(&b"one".to_vec()));
    let second = Head::new(1, &[b"second".to_vec()]);
    segments.maintain(20.0, &second).unwrap();
    assert_eq!(temp.read().entries, [b"second"]);

    // the head of an earlier start is also kept until another one is on disk
    let (mut segments, _) = temp.segments(bounds, 0.0);
    let no_head = Head::default();
    segments.write(0.0, &batch(0.0, 1, b"two", Some(0.5)), &no_head).unwrap();
    segments.maintain(5.0, &no_head).unwrap();
    segments.maintain(10.0, &no_head).unwrap();
    assert_eq!(temp.read().entries, [&b"second"[..], b"two"]);
    let third = Head::new(1, &[b"third".to_vec()]);
    segments.maintain(20.0, &third).unwrap();
    segments.maintain(40.0, &third).unwrap();
    assert_eq!(temp.read().entries, [b"third"]);
}

#[test]
fn a_head_is_read_at_the_position_where_it_was_set() {
    let bounds = JournalBounds { segment_seconds: 1.0, ..BOUNDS };
    let temp = TempFolder::new("head-order");
    let (mut segments, _) = temp.segments(bounds, 0.0);
    segments.write(0.0, &batch(0.0, 1, b"one", HOUR), &Head::default()).unwrap();
    let head = Head::new(1, &[b"head".to_vec(), b"more of it".to_vec()]);
    segments.write(0.5, &batch(0.5, 2, b"two", HOUR), &head).unwrap();
    segments.write(2.0, &batch(2.0, 3, b"three", HOUR), &head).unwrap();
    assert_eq!(temp.files().len(), 2);
    assert_eq!(temp.read().entries, [&b"one"[..], b"head", b"more of it", b"two", b"three"]);
}

#[test]
fn keep_times_of_earlier_entries_start_again_at_each_start() {
    let temp = TempFolder::new("anew");
    let (mut segments, _) = temp.segments(BOUNDS, 0.0);
    segments.write(0.0, &batch(0.0, 1, b"one", Some(10.0)), &Head::default()).unwrap();
    let (mut segments, _) = temp.segments(BOUNDS, 1_000.0);
    segments.write(1_000.0, &batch(1_000.0, 1, b"two", HOUR), &Head::default()).unwrap();
    segments.maintain(1_009.0, &Head::default()).unwrap();
    assert_eq!(temp.files().len(), 2);
    segments.maintain(1_010.0, &Head::default()).unwrap();
    assert_eq!(temp.read().entries, [b"two"]);
}

/// Writes three segments of three entries each, and returns their files.
fn write_three_segments(temp: &TempFolder) -> Vec<(PathBuf, Vec<u8>)> {
    let bounds = JournalBounds { segment_seconds: 1.0, ..BOUNDS };
    let (mut segments, _) = temp.segments(bounds, 0.0);
    let head = Head::new(0, &[b"head".to_vec()]);
    for number in 1..=9 {
        let now = ((number - 1) / 3 * 2) as f64;
        segments.write(now, &batch(now, number, &entry(number), HOUR), &head).unwrap();
    }
    let files = temp.files();
    assert_eq!(files.len(), 3);
    files.into_iter().map(|file| (file.clone(), fs::read(file).unwrap())).collect()
}

/// Writes these files to the disk.
fn restore(files: &[(PathBuf, Vec<u8>)]) {
    files.iter().for_each(|(path, bytes)| fs::write(path, bytes).unwrap());
}

#[test]
fn damage_is_distinguished_from_a_torn_tail() {
    let temp = TempFolder::new("damage");
    let files = write_three_segments(&temp);
    let all = temp.read();
    assert!(!all.damaged);
    for (index, (path, bytes)) in files.iter().enumerate() {
        let last = index == 2;
        for at in 0..bytes.len() {
            let mut corrupt = bytes.clone();
            corrupt[at] ^= 1;
            let truncated = &bytes[..at];
            for content in [&corrupt[..], truncated] {
                fs::write(path, content).unwrap();
                let read = temp.read();
                assert_eq!(read.damaged, !last, "byte {at} of file {index}");
                if last {
                    assert!(read.entries.len() >= 8, "byte {at}: the earlier files are intact");
                    let entries_read = read.entries.iter().filter(|entry| *entry != b"head").cloned();
                    assert!(entries(1..=9).starts_with(&entries_read.collect::<Vec<_>>()), "byte {at}");
                }
                restore(&files);
            }
        }
    }
    // data after the end that the next segment refers to is ignored
    for tail in [&[0; 4096][..], &[0xff; 100], b"torn"] {
        for (path, bytes) in &files {
            fs::write(path, [bytes, tail].concat()).unwrap();
        }
        assert_eq!(temp.read(), all);
        restore(&files);
    }
    let missing = |index: usize| {
        fs::remove_file(&files[index].0).unwrap();
        let read = temp.read();
        restore(&files);
        read
    };
    assert!(missing(1).damaged, "a gap");
    assert!(!missing(0).damaged, "the oldest segment was deleted");
    assert!(!missing(2).damaged, "the newest segment was never begun");
}

#[test]
fn a_damaged_journal_keeps_working_and_stays_damaged_until_the_old_part_is_deleted() {
    let temp = TempFolder::new("goes-on");
    let files = write_three_segments(&temp);
    let (middle, bytes) = &files[1];
    fs::write(middle, &bytes[..bytes.len() - 1]).unwrap();
    let (mut segments, read) = temp.segments(BOUNDS, 0.0);
    assert!(read.damaged);
    let no_head = Head::default();
    segments.write(1.0, &batch(1.0, 1, b"new", HOUR), &no_head).unwrap();
    segments.maintain(10_000.0, &no_head).unwrap();
    let read = temp.read();
    assert!(read.damaged, "nothing is deleted without a head");
    assert_eq!(read.entries.last().unwrap(), b"new");
    let head = Head::new(1, &[b"learned".to_vec()]);
    segments.maintain(20_000.0, &head).unwrap();
    assert_eq!(temp.read(), Replayed { entries: vec![b"learned".to_vec()], damaged: false });
}
