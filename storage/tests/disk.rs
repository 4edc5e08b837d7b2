//! What a disk holds after each way to write, after bytes went wrong, and after saves that failed.

use lupinledge_storage::{DataDir, Disk, OpenedStore, Store, Stored, MAX_LOG_BYTES, MAX_STATE_BYTES};
use std::fs;
use std::path::{Path, PathBuf};

/// A folder of its own, removed when dropped.
struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Place {
        let place = std::env::temp_dir().join(format!("lupinledge-storage-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&place);
        fs::create_dir_all(&place).unwrap();
        Place(place)
    }

    fn open(&self) -> (Disk<DataDir>, Stored) {
        Disk::open(DataDir(self.0.clone()), MAX_LOG_BYTES).unwrap()
    }

    fn disk(&self) -> Disk<DataDir> {
        self.open().0
    }

    fn found(&self) -> Held {
        brief(self.open().1)
    }

    fn snapshot(&self) -> PathBuf {
        self.0.join("snapshot")
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    files.filter(|file| file.file_name().unwrap().to_str().unwrap().starts_with("wal-")).collect()
}

fn state(n: u8, len: usize) -> Vec<u8> {
    vec![n; len]
}

/// A state's bytes, all alike, and their number; or why there is none.
type Held = Result<(u8, usize), Stored>;

fn brief(found: Stored) -> Held {
    match found {
        Stored::State(state) => {
            let n = state.first().copied().unwrap_or(0);
            assert!(state.iter().all(|byte| *byte == n), "no state that was saved");
            Ok((n, state.len()))
        }
        other => Err(other),
    }
}

fn holds(n: u8, len: usize) -> Held {
    Ok((if len == 0 { 0 } else { n }, len))
}

#[test]
fn newest_whole_state_wins_after_each_way_to_write() {
    let place = Place::new("ways");
    assert_eq!(place.found(), Err(Stored::Empty));
    // a snapshot, log entries, a state past the buffer, a log past its size
    let lens = [[10, 2_000, 0, 70_000, 10].as_slice(), &[40_000; 40]].concat();
    for (n, len) in lens.into_iter().enumerate() {
        let mut disk = place.disk();
        disk.write(&state(n as u8, len)).unwrap();
        disk.write(&state(n as u8 + 100, len)).unwrap();
        drop(disk);
        assert_eq!(place.found(), holds(n as u8 + 100, len));
    }
    let mut disk = place.disk();
    (0..100).for_each(|n| disk.write(&state(n, 40_000)).unwrap());
    assert_eq!(place.found(), holds(99, 40_000));
    let bytes: u64 = fs::read_dir(&place.0).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
    assert!(bytes < 2 * MAX_LOG_BYTES, "{bytes}");
}

/// A state past the log's buffer between two that fit.
#[test]
fn small_and_large_states_take_turns() {
    let place = Place::new("turns");
    let mut disk = place.disk();
    for n in 0..60 {
        let len = [700, 100_000, 65_280, 65_281][usize::from(n) % 4];
        disk.write(&state(n, len)).unwrap();
        assert_eq!(place.found(), holds(n, len));
    }
}

#[test]
fn a_torn_tail_costs_only_what_was_never_synced() {
    let place = Place::new("torn");
    let folder = &place.0;
    let mut disk = place.disk();
    (1..=3).for_each(|n| disk.write(&state(n, 700)).unwrap());
    drop(disk);
    let [log] = &segments(folder)[..] else { panic!("one segment") };
    let whole = fs::read(log).unwrap();
    let end = whole.iter().rposition(|b| *b != 0).unwrap() + 1;
    for cut in (end - 735..end).step_by(49) {
        for tail in [Vec::new(), vec![0; 4096], vec![0xff; 4096], vec![2; 4096]] {
            let torn = [&whole[..cut], &tail].concat();
            fs::write(log, torn).unwrap();
            let kept = place.found();
            assert!(kept == holds(2, 700) || kept == holds(3, 700), "cut at {cut}");
            // and what comes after it stands
            let mut disk = place.disk();
            disk.write(&state(9, 700)).unwrap();
            drop(disk);
            assert_eq!(place.found(), holds(9, 700));
            segments(folder).iter().for_each(|s| fs::remove_file(s).unwrap());
            fs::remove_file(place.snapshot()).unwrap();
            let mut disk = place.disk();
            (1..=1).for_each(|n| disk.write(&state(n, 700)).unwrap());
        }
    }
}

#[test]
fn a_segment_that_was_never_synced_is_no_fault() {
    let place = Place::new("headless");
    place.disk().write(&state(1, 10)).unwrap();
    for head in [&b""[..], b"ok", &[0; 9000]] {
        fs::write(place.0.join("wal-1"), head).unwrap();
        assert_eq!(place.found(), holds(1, 10));
    }
}

/// One that can't be trusted is no empty disk: who takes it for one might found anew. It takes states again, and what
/// it was is kept for whoever looks into it.
#[test]
fn a_spoilt_snapshot_is_no_empty_disk() {
    let place = Place::new("spoilt");
    place.disk().write(&state(1, 10)).unwrap();
    let at = place.snapshot();
    let whole = fs::read(&at).unwrap();
    for byte in 0..whole.len() {
        let mut spoilt = whole.clone();
        spoilt[byte] ^= 1;
        fs::write(&at, &spoilt).unwrap();
        assert_eq!(place.found(), Err(Stored::Corrupt), "byte {byte}");
        fs::write(&at, &whole[..byte]).unwrap();
        assert_eq!(place.found(), Err(Stored::Corrupt), "cut at {byte}");
    }
    // nor one that has grown past all bounds
    fs::File::create(&at).unwrap().set_len(8 * MAX_STATE_BYTES as u64).unwrap();
    assert_eq!(place.found(), Err(Stored::Corrupt));
    fs::write(&at, &whole).unwrap();
    assert_eq!(place.found(), holds(1, 10));

    fs::write(&at, &whole[..20]).unwrap();
    place.disk().write(&state(2, 10)).unwrap();
    assert_eq!(place.found(), holds(2, 10));
    assert_eq!(fs::read(place.0.join("snapshot.spoilt")).unwrap(), whole[..20]);
}

/// A log without the snapshot that it was begun behind: its entries may be old.
#[test]
fn a_log_alone_is_no_state() {
    let place = Place::new("alone");
    let mut disk = place.disk();
    (1..=3).for_each(|n| disk.write(&state(n, 700)).unwrap());
    drop(disk);
    fs::remove_file(place.snapshot()).unwrap();
    assert_eq!(place.found(), Err(Stored::Corrupt));
    place.disk().write(&state(4, 10)).unwrap();
    assert_eq!(place.found(), holds(4, 10));
}

/// Entries older than the snapshot (the log's removal got lost with the power), and newer ones, by a copy of the log.
#[test]
fn the_newer_of_snapshot_and_log_counts() {
    let place = Place::new("newer");
    let mut disk = place.disk();
    (1..=3).for_each(|n| disk.write(&state(n, 700)).unwrap());
    let [log] = &segments(&place.0)[..] else { panic!("one segment") };
    let (log, old) = (log.clone(), fs::read(log).unwrap());
    assert_eq!(place.found(), holds(3, 700), "newer in the log");
    disk.write(&state(4, 70_000)).unwrap();
    disk.write(&state(5, 10)).unwrap();
    disk.write(&state(6, 70_000)).unwrap();
    drop(disk);
    fs::write(log, old).unwrap();
    assert_eq!(place.found(), holds(6, 70_000), "older in the log");
}

#[test]
fn a_save_that_failed_is_told_and_a_later_one_stands() {
    let place = Place::new("refuses");
    place.disk().write(&state(1, 10)).unwrap();
    let OpenedStore { store, content, mut results } = Store::open(DataDir(place.0.clone())).unwrap();
    assert_eq!(brief(content.blocking_recv().unwrap()), holds(1, 10));
    fs::remove_dir_all(&place.0).unwrap();
    store.save(7, state(2, 10));
    assert_eq!(results.blocking_recv(), Some((7, false)));
    fs::create_dir_all(&place.0).unwrap();
    store.save(8, state(3, 10));
    assert_eq!(results.blocking_recv(), Some((8, true)));
    drop(store);
    assert_eq!(results.blocking_recv(), None, "the thread ends with its handle");
    assert_eq!(place.found(), holds(3, 10));
}

#[test]
fn a_state_past_the_bound_is_refused_and_the_one_before_stands() {
    let place = Place::new("bound");
    let mut disk = place.disk();
    disk.write(&state(1, 10)).unwrap();
    assert!(disk.write(&vec![2; MAX_STATE_BYTES + 1]).is_err());
    assert_eq!(place.found(), holds(1, 10));
    disk.write(&state(3, 10)).unwrap();
    assert_eq!(place.found(), holds(3, 10));
}
