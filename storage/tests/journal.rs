//! The journal as its users see it: order, numbers, bounds, disks that stall and refuse, and damage.

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
/// Who waits longer waits in vain.
const ENDLESS: Duration = Duration::from_secs(60);
const HOUR: Option<f64> = Some(3600.0);

/// A folder of its own, removed when dropped.
struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Place {
        let place = std::env::temp_dir().join(format!("lupinledge-journal-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&place);
        fs::create_dir_all(&place).unwrap();
        Place(place)
    }

    fn dir(&self) -> DataDir {
        DataDir(self.0.clone())
    }

    fn open(&self, bounds: JournalBounds) -> (Journal, Replayed, UnboundedReceiver<u64>) {
        opened(Journal::open(self.0.clone(), bounds).unwrap())
    }

    fn segments(&self, bounds: JournalBounds, now: f64) -> (Segments<DataDir>, Replayed) {
        Segments::open(self.dir(), bounds, now).unwrap()
    }

    /// What an opening finds.
    fn found(&self) -> Replayed {
        let folder = Faulty::new(self);
        folder.set(|faults| faults.unsynced = true);
        Segments::open(folder, BOUNDS, 0.0).unwrap().1
    }

    /// The journal's files, oldest first.
    fn files(&self) -> Vec<PathBuf> {
        let files = fs::read_dir(&self.0).unwrap().map(|file| file.unwrap().path());
        let mut files: Vec<PathBuf> = files.filter(|file| file.extension().is_some()).collect();
        files.sort();
        files
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn opened(opened: OpenedJournal) -> (Journal, Replayed, UnboundedReceiver<u64>) {
    let OpenedJournal { journal, replayed, saved } = opened;
    (journal, replayed.blocking_recv().unwrap(), saved)
}

/// Waits until this number is told; returns the numbers that were told on the way.
fn wait_saved(saved: &mut UnboundedReceiver<u64>, number: u64) -> Vec<u64> {
    let mut told = Vec::new();
    let since = Instant::now();
    while told.last() != Some(&number) {
        match saved.try_recv() {
            Ok(number) => told.push(number),
            Err(TryRecvError::Disconnected) => panic!("the thread has ended"),
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
        assert!(since.elapsed() < ENDLESS, "{number} is not told, {told:?} were");
    }
    told
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

/// What is about to be done to the folder.
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
    stalled: bool,
    /// These operations fail, half done.
    refuses: Vec<Operation>,
    /// Nothing is synced, and all is well.
    unsynced: bool,
    /// Operations that were asked for, those that stall or fail too.
    asked: Vec<Operation>,
}

/// A folder that stalls or refuses when it is told to.
#[derive(Clone)]
struct Faulty(DataDir, Arc<(Mutex<Faults>, Condvar)>);

impl Faulty {
    fn new(place: &Place) -> Faulty {
        Faulty(place.dir(), Arc::default())
    }

    fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.1 .0.lock().unwrap());
        self.1 .1.notify_all();
    }

    /// Waits until this operation was asked for so often since the last change.
    fn wait_asked(&self, operation: Operation, times: usize) {
        let few =
            |faults: &mut Faults| faults.asked.iter().filter(|asked| **asked == operation).count() < times;
        let waited = self.1 .1.wait_timeout_while(self.1 .0.lock().unwrap(), ENDLESS, few).unwrap();
        assert!(!waited.1.timed_out(), "{operation:?} is not asked for {times} times");
    }

    fn pass(&self, operation: Operation) -> io::Result<()> {
        let mut faults = self.1 .0.lock().unwrap();
        faults.asked.push(operation);
        self.1 .1.notify_all();
        let faults = self.1 .1.wait_while(faults, |faults| faults.stalled).unwrap();
        if faults.refuses.contains(&operation) {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(())
    }

    /// As [`Faulty::pass`], and then syncs.
    fn synced(&self, operation: Operation, sync: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        self.pass(operation)?;
        let unsynced = self.1 .0.lock().unwrap().unsynced;
        if unsynced {
            return Ok(());
        }
        sync()
    }
}

impl Folder for Faulty {
    fn path(&self) -> &Path {
        self.0.path()
    }
    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        let passed = self.pass(Operation::Create);
        let whole = if passed.is_ok() { parts } else { [parts[0], &parts[1][..parts[1].len() / 2]] };
        passed.and(self.0.create(name, whole))
    }
    fn append(&self, file: &File, name: &str, bytes: &[u8]) -> io::Result<()> {
        let passed = self.pass(Operation::Append);
        let whole = if passed.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        passed.and(self.0.append(file, name, whole))
    }
    fn sync(&self, file: &File, name: &str) -> io::Result<()> {
        self.synced(Operation::Sync, || self.0.sync(file, name))
    }
    fn sync_data(&self, file: &File, name: &str) -> io::Result<()> {
        self.synced(Operation::SyncData, || self.0.sync_data(file, name))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&self) -> io::Result<()> {
        self.synced(Operation::SyncFolder, || self.0.sync_folder())
    }
    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T {
        self.0.log(step, run)
    }
}

#[test]
fn saved_entries_are_found_in_order() {
    let place = Place::new("order");
    fs::write(place.0.join("snapshot"), "another's").unwrap();
    for start in 0..3 {
        let (journal, found, mut saved) = place.open(BOUNDS);
        let expected = entries((0..start).flat_map(|_| 1..=100));
        assert_eq!(found, Replayed { entries: expected, damaged: false });
        for number in 1..=100 {
            assert!(journal.append(number, entry(number), HOUR, number % 3 == 0));
        }
        let told = wait_saved(&mut saved, 100);
        assert!(told.is_sorted(), "{told:?}");
        assert!(journal.bytes() > 0);
        drop(journal);
        assert_eq!(saved.blocking_recv(), None, "the thread ends with its handle");
    }
    assert_eq!(place.files().len(), 3, "no start appends to a segment of another");
    assert_eq!(fs::read(place.0.join("snapshot")).unwrap(), b"another's");
}

#[test]
fn what_waits_is_written_when_the_handle_goes() {
    let place = Place::new("end");
    let (journal, _, mut saved) = place.open(BOUNDS);
    assert!(journal.append(1, entry(1), HOUR, false));
    drop(journal);
    assert_eq!(wait_saved(&mut saved, 1), [1]);
    assert_eq!(place.found().entries, entries([1]));
}

#[test]
fn only_the_next_number_is_taken() {
    let place = Place::new("numbers");
    let (journal, _, mut saved) = place.open(BOUNDS);
    assert!(!journal.append(2, entry(2), HOUR, true));
    assert!(journal.append(1, entry(1), HOUR, true));
    assert!(!journal.append(1, entry(1), HOUR, true));
    assert!(!journal.append(3, entry(3), HOUR, true));
    assert!(journal.append(2, entry(2), HOUR, true));
    wait_saved(&mut saved, 2);
    assert_eq!(place.found().entries, entries([1, 2]));
}

#[test]
fn all_that_come_during_a_sync_share_the_next_one() {
    let place = Place::new("group");
    let folder = Faulty::new(&place);
    let (journal, _, mut saved) = opened(Journal::open_on(folder.clone(), BOUNDS).unwrap());
    assert!(journal.append(1, entry(1), HOUR, true));
    wait_saved(&mut saved, 1);
    folder.set(|faults| *faults = Faults { stalled: true, ..Faults::default() });
    assert!(journal.append(2, entry(2), HOUR, true));
    folder.wait_asked(Operation::Append, 1);
    (3..=100).for_each(|number| assert!(journal.append(number, entry(number), HOUR, true)));
    assert!(saved.try_recv().is_err(), "nothing is told before it is synced");
    folder.set(|faults| faults.stalled = false);
    assert_eq!(wait_saved(&mut saved, 100), [2, 100]);
    let asked = folder.1 .0.lock().unwrap().asked.clone();
    assert_eq!(asked, [Operation::Append, Operation::SyncData].repeat(2));
}

/// What is found after a loss of power is always what was handed over up to some moment.
#[test]
fn a_head_is_on_disk_no_sooner_than_the_entries_before_it() {
    let place = Place::new("head-waits");
    let folder = Faulty::new(&place);
    let bounds = JournalBounds { segment_bytes: 1, ..BOUNDS };
    let (journal, _, mut saved) = opened(Journal::open_on(folder.clone(), bounds).unwrap());
    folder.set(|faults| *faults = Faults { stalled: true, ..Faults::default() });
    assert!(journal.append(1, entry(1), HOUR, true));
    folder.wait_asked(Operation::Create, 1);
    assert!(journal.append(2, entry(2), HOUR, true));
    journal.set_head(vec![b"head".to_vec()]);
    folder.set(|faults| faults.stalled = false);
    wait_saved(&mut saved, 2);
    assert!(journal.append(3, entry(3), HOUR, true));
    wait_saved(&mut saved, 3);
    let heads = |file: PathBuf| fs::read(file).unwrap().windows(4).any(|bytes| bytes == b"head");
    let heads: Vec<bool> = place.files().into_iter().map(heads).collect();
    assert_eq!(heads, [false, false, true]);
    let expected = [entry(1), entry(2), b"head".to_vec(), entry(3)];
    assert_eq!(place.found().entries, expected);
}

#[test]
fn what_waits_for_a_stalled_disk_is_bounded() {
    const ENTRY: usize = 1 << 20;
    let place = Place::new("stalled");
    let folder = Faulty::new(&place);
    let (journal, _, mut saved) = opened(Journal::open_on(folder.clone(), BOUNDS).unwrap());
    folder.set(|faults| faults.stalled = true);
    let taken = (1..100).take_while(|number| journal.append(*number, vec![0; ENTRY], HOUR, true)).count();
    assert_eq!(taken, 7, "8 MB with what is added to each");
    let next = taken as u64 + 1;
    assert!(!journal.append(next + 1, entry(0), HOUR, true), "none past one that was refused");
    folder.set(|faults| faults.stalled = false);
    wait_saved(&mut saved, next - 1);
    assert!(journal.append(next, entry(0), HOUR, true));
    wait_saved(&mut saved, next);
    assert_eq!(place.found().entries.len(), taken + 1);
}

/// At each operation, with an entry before that was saved.
#[test]
fn a_batch_that_failed_is_written_again_until_it_is_on_disk() {
    use Operation::{Append, Create, Sync, SyncData, SyncFolder};
    for (begun, refuses) in
        [(true, Append), (true, SyncData), (false, Create), (false, Sync), (false, SyncFolder)]
    {
        let place = Place::new(&format!("refuses-{refuses:?}"));
        let folder = Faulty::new(&place);
        let (journal, _, mut saved) = opened(Journal::open_on(folder.clone(), BOUNDS).unwrap());
        journal.set_head(vec![b"head".to_vec()]);
        let last = if begun { 2 } else { 1 };
        if begun {
            assert!(journal.append(1, entry(1), HOUR, true));
            wait_saved(&mut saved, 1);
        }
        // the segment that is begun after that fails twice as well
        let all = if begun { vec![refuses, Sync] } else { vec![refuses] };
        folder.set(|faults| *faults = Faults { refuses: all.clone(), ..Faults::default() });
        assert!(journal.append(last, entry(last), HOUR, true));
        folder.wait_asked(*all.last().unwrap(), 2);
        assert!(saved.try_recv().is_err(), "{refuses:?}: told before it is on disk");
        folder.set(|faults| faults.refuses.clear());
        assert_eq!(wait_saved(&mut saved, last), [last]);
        let Replayed { mut entries, damaged } = place.found();
        assert!(!damaged, "{refuses:?}");
        entries.retain(|entry| entry != b"head");
        assert_eq!(entries, self::entries(1..=last), "{refuses:?}");
        drop(journal);
        assert_eq!(saved.blocking_recv(), None);
    }
}

#[test]
fn a_folder_that_can_not_be_read_is_tried_again() {
    let place = Place::new("unread");
    fs::remove_dir_all(&place.0).unwrap();
    let OpenedJournal { journal, mut replayed, mut saved } = Journal::open(place.0.clone(), BOUNDS).unwrap();
    assert!(!journal.append(1, entry(1), HOUR, true), "not before it is known what there is");
    assert!(replayed.try_recv().is_err());
    fs::create_dir_all(&place.0).unwrap();
    assert_eq!(replayed.blocking_recv().unwrap(), Replayed::default());
    assert!(journal.append(1, entry(1), HOUR, true));
    wait_saved(&mut saved, 1);
}

#[test]
fn a_full_journal_takes_entries_again_once_old_ones_expire() {
    let bounds = JournalBounds { segment_bytes: 4_000, segment_seconds: 0.1, max_bytes: 20_000 };
    let place = Place::new("full");
    let (journal, _, mut saved) = place.open(bounds);
    journal.set_head(vec![vec![1; 100]]);
    let mut refused = 0;
    for number in 1..=60 {
        while !journal.append(number, vec![number as u8; 1_000], Some(0.05), true) {
            refused += 1;
            assert!(refused < 12_000, "it stays full");
            std::thread::sleep(Duration::from_millis(5));
        }
        let files: u64 = place.files().iter().filter_map(|file| Some(fs::metadata(file).ok()?.len())).sum();
        assert!(files <= bounds.max_bytes && journal.bytes() <= bounds.max_bytes, "{files}");
    }
    wait_saved(&mut saved, 60);
    assert!(refused > 0, "it was never full");
    // nor is one that is full when it is opened full for ever
    drop(journal);
    assert_eq!(saved.blocking_recv(), None);
    let (journal, _, mut saved) = place.open(JournalBounds { max_bytes: 1_700, ..bounds });
    journal.set_head(vec![vec![2; 100]]);
    assert!(!journal.append(1, entry(1), HOUR, true));
    while !journal.append(1, entry(1), HOUR, true) {
        refused += 1;
        assert!(refused < 24_000, "it stays full");
        std::thread::sleep(Duration::from_millis(5));
    }
    wait_saved(&mut saved, 1);
}

#[test]
fn segments_begin_with_the_head_and_go_once_all_in_them_has_expired() {
    let bounds = JournalBounds { segment_bytes: 400, segment_seconds: 10.0, max_bytes: u64::MAX };
    let place = Place::new("rotation");
    let (mut segments, _) = place.segments(bounds, 0.0);
    let size = |file: PathBuf| fs::metadata(file).unwrap().len();
    let head = Head::new(0, &[b"the head".to_vec()]);
    let mut write = |now: f64, number: u64, keep_s: f64| {
        segments.write(now, &batch(now, number, &[number as u8; 150], Some(keep_s)), &head).unwrap();
        segments.maintain(now, &head).unwrap();
        assert_eq!(segments.bytes(), place.files().into_iter().map(size).sum::<u64>());
        for file in place.files() {
            let bytes = fs::read(file).unwrap();
            assert_eq!(&bytes[76..84], b"the head", "behind the header and the head of its frame");
        }
        place.files().len()
    };
    assert_eq!(write(0.0, 1, 100.0), 1);
    assert_eq!(write(1.0, 2, 5.0), 2, "full");
    assert_eq!(write(12.0, 3, 1.0), 3, "old; and the first one is still needed");
    assert_eq!(write(100.0, 4, 50.0), 1, "all before have expired");
    assert_eq!(write(101.0, 5, 50.0), 2);
    assert_eq!(place.found().entries, [&b"the head"[..], b"the head", &[4; 150], &[5; 150]]);
}

#[test]
fn entries_without_a_time_stay_until_a_later_head_is_on_disk() {
    let bounds = JournalBounds { segment_seconds: 1.0, ..BOUNDS };
    let place = Place::new("until-head");
    let (mut segments, _) = place.segments(bounds, 0.0);
    let first = Head::new(0, &[b"first".to_vec()]);
    segments.write(0.0, &batch(0.0, 1, b"one", None), &first).unwrap();
    segments.maintain(5.0, &first).unwrap();
    segments.maintain(10.0, &first).unwrap();
    assert!(place.found().entries.contains(&b"one".to_vec()));
    let second = Head::new(1, &[b"second".to_vec()]);
    segments.maintain(20.0, &second).unwrap();
    assert_eq!(place.found().entries, [b"second"]);

    // neither does the head of an earlier start go before another one is on disk
    let (mut segments, _) = place.segments(bounds, 0.0);
    let none = Head::default();
    segments.write(0.0, &batch(0.0, 1, b"two", Some(0.5)), &none).unwrap();
    segments.maintain(5.0, &none).unwrap();
    segments.maintain(10.0, &none).unwrap();
    assert_eq!(place.found().entries, [&b"second"[..], b"two"]);
    let third = Head::new(1, &[b"third".to_vec()]);
    segments.maintain(20.0, &third).unwrap();
    segments.maintain(40.0, &third).unwrap();
    assert_eq!(place.found().entries, [b"third"]);
}

#[test]
fn a_head_is_found_where_it_was_set() {
    let bounds = JournalBounds { segment_seconds: 1.0, ..BOUNDS };
    let place = Place::new("head-order");
    let (mut segments, _) = place.segments(bounds, 0.0);
    segments.write(0.0, &batch(0.0, 1, b"one", HOUR), &Head::default()).unwrap();
    let head = Head::new(1, &[b"head".to_vec(), b"more of it".to_vec()]);
    segments.write(0.5, &batch(0.5, 2, b"two", HOUR), &head).unwrap();
    segments.write(2.0, &batch(2.0, 3, b"three", HOUR), &head).unwrap();
    assert_eq!(place.files().len(), 2);
    assert_eq!(place.found().entries, [&b"one"[..], b"head", b"more of it", b"two", b"three"]);
}

#[test]
fn entries_of_earlier_starts_are_kept_anew() {
    let place = Place::new("anew");
    let (mut segments, _) = place.segments(BOUNDS, 0.0);
    segments.write(0.0, &batch(0.0, 1, b"one", Some(10.0)), &Head::default()).unwrap();
    let (mut segments, _) = place.segments(BOUNDS, 1_000.0);
    segments.write(1_000.0, &batch(1_000.0, 1, b"two", HOUR), &Head::default()).unwrap();
    segments.maintain(1_009.0, &Head::default()).unwrap();
    assert_eq!(place.files().len(), 2);
    segments.maintain(1_010.0, &Head::default()).unwrap();
    assert_eq!(place.found().entries, [b"two"]);
}

/// Three segments of three entries each.
fn three_segments(place: &Place) -> Vec<(PathBuf, Vec<u8>)> {
    let bounds = JournalBounds { segment_seconds: 1.0, ..BOUNDS };
    let (mut segments, _) = place.segments(bounds, 0.0);
    let head = Head::new(0, &[b"head".to_vec()]);
    for number in 1..=9 {
        let now = ((number - 1) / 3 * 2) as f64;
        segments.write(now, &batch(now, number, &entry(number), HOUR), &head).unwrap();
    }
    let files = place.files();
    assert_eq!(files.len(), 3);
    files.into_iter().map(|file| (file.clone(), fs::read(file).unwrap())).collect()
}

fn lay(files: &[(PathBuf, Vec<u8>)]) {
    files.iter().for_each(|(path, bytes)| fs::write(path, bytes).unwrap());
}

#[test]
fn damage_is_told_apart_from_a_torn_tail() {
    let place = Place::new("damage");
    let files = three_segments(&place);
    let all = place.found();
    assert!(!all.damaged);
    for (index, (path, bytes)) in files.iter().enumerate() {
        let last = index == 2;
        for at in 0..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 1;
            let cut = &bytes[..at];
            for content in [&spoilt[..], cut] {
                fs::write(path, content).unwrap();
                let found = place.found();
                assert_eq!(found.damaged, !last, "byte {at} of file {index}");
                if last {
                    assert!(found.entries.len() >= 8, "byte {at}: the files before are whole");
                    let kept = found.entries.iter().filter(|entry| *entry != b"head").cloned();
                    assert!(entries(1..=9).starts_with(&kept.collect::<Vec<_>>()), "byte {at}");
                }
                lay(&files);
            }
        }
    }
    // a tail that the next segment does not rely on
    for tail in [&[0; 4096][..], &[0xff; 100], b"torn"] {
        for (path, bytes) in &files {
            fs::write(path, [bytes, tail].concat()).unwrap();
        }
        assert_eq!(place.found(), all);
        lay(&files);
    }
    let missing = |index: usize| {
        fs::remove_file(&files[index].0).unwrap();
        let found = place.found();
        lay(&files);
        found
    };
    assert!(missing(1).damaged, "a gap");
    assert!(!missing(0).damaged, "the oldest one was deleted");
    assert!(!missing(2).damaged, "the newest one was never begun");
}

#[test]
fn a_damaged_journal_goes_on_and_stays_damaged_until_the_old_part_goes() {
    let place = Place::new("goes-on");
    let files = three_segments(&place);
    let (middle, bytes) = &files[1];
    fs::write(middle, &bytes[..bytes.len() - 1]).unwrap();
    let (mut segments, found) = place.segments(BOUNDS, 0.0);
    assert!(found.damaged);
    let none = Head::default();
    segments.write(1.0, &batch(1.0, 1, b"new", HOUR), &none).unwrap();
    segments.maintain(10_000.0, &none).unwrap();
    let found = place.found();
    assert!(found.damaged, "nothing goes without a head");
    assert_eq!(found.entries.last().unwrap(), b"new");
    let head = Head::new(1, &[b"learnt".to_vec()]);
    segments.maintain(20_000.0, &head).unwrap();
    assert_eq!(place.found(), Replayed { entries: vec![b"learnt".to_vec()], damaged: false });
}
