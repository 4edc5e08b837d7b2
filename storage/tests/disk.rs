//! The content of a disk after each way to write, after corruption, and after failed saves.

use lupinledge_storage::{DataDir, Disk, OpenedStore, Store, Stored, MAX_LOG_BYTES, MAX_STATE_BYTES};
use std::fs;
use std::path::{Path, PathBuf};

/// A temporary folder that is removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("lupinledge-storage-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    fn open(&self) -> (Disk<DataDir>, Stored) {
        Disk::open(DataDir(self.0.clone()), MAX_LOG_BYTES).unwrap()
    }

    fn disk(&self) -> Disk<DataDir> {
        self.open().0
    }

    fn read(&self) -> Content {
        content_of(self.open().1)
    }

    fn snapshot(&self) -> PathBuf {
        self.0.join("snapshot")
    }
}

impl Drop for TempFolder {
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

/// The byte that a state consists of and its length, or why there is no state.
type Content = Result<(u8, usize), Stored>;

fn content_of(read: Stored) -> Content {
    match read {
        Stored::State(state) => {
            let n = state.first().copied().unwrap_or(0);
            assert!(state.iter().all(|byte| *byte == n), "a state that was never saved");
            Ok((n, state.len()))
        }
        other => Err(other),
    }
}

fn expected_state(n: u8, len: usize) -> Content {
    Ok((if len == 0 { 0 } else { n }, len))
}

#[test]
fn the_newest_intact_state_is_read_after_each_way_to_write() {
    let temp = TempFolder::new("ways");
    assert_eq!(temp.read(), Err(Stored::Empty));
    // a snapshot, log entries, a state larger than the log's buffer, and a full log
    let lengths = [[10, 2_000, 0, 70_000, 10].as_slice(), &[40_000; 40]].concat();
    for (n, len) in lengths.into_iter().enumerate() {
        let mut disk = temp.disk();
        disk.write(&state(n as u8, len)).unwrap();
        disk.write(&state(n as u8 + 100, len)).unwrap();
        drop(disk);
        assert_eq!(temp.read(), expected_state(n as u8 + 100, len));
    }
    let mut disk = temp.disk();
    (0..100).for_each(|n| disk.write(&state(n, 40_000)).unwrap());
    assert_eq!(temp.read(), expected_state(99, 40_000));
    let bytes: u64 = fs::read_dir(&temp.0).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
    assert!(bytes < 2 * MAX_LOG_BYTES, "{bytes}");
}

/// A state larger than the log's buffer between two that fit.
#[test]
fn small_and_large_states_alternate() {
    let temp = TempFolder::new("turns");
    let mut disk = temp.disk();
    for n in 0..60 {
        let len = [700, 100_000, 65_280, 65_281][usize::from(n) % 4];
        disk.write(&state(n, len)).unwrap();
        assert_eq!(temp.read(), expected_state(n, len));
    }
}

#[test]
fn a_torn_tail_loses_only_unsynced_states() {
    let temp = TempFolder::new("torn");
    let path = &temp.0;
    let mut disk = temp.disk();
    (1..=3).for_each(|n| disk.write(&state(n, 700)).unwrap());
    drop(disk);
    let [log] = &segments(path)[..] else { panic!("one segment") };
    let intact = fs::read(log).unwrap();
    let end = intact.iter().rposition(|b| *b != 0).unwrap() + 1;
    for cut in (end - 735..end).step_by(49) {
        for tail in [Vec::new(), vec![0; 4096], vec![0xff; 4096], vec![2; 4096]] {
            let torn = [&intact[..cut], &tail].concat();
            fs::write(log, torn).unwrap();
            let content = temp.read();
            assert!(content == expected_state(2, 700) || content == expected_state(3, 700), "cut at {cut}");
            // a state that is saved after that is kept
            let mut disk = temp.disk();
            disk.write(&state(9, 700)).unwrap();
            drop(disk);
            assert_eq!(temp.read(), expected_state(9, 700));
            segments(path).iter().for_each(|s| fs::remove_file(s).unwrap());
            fs::remove_file(temp.snapshot()).unwrap();
            let mut disk = temp.disk();
            (1..=1).for_each(|n| disk.write(&state(n, 700)).unwrap());
        }
    }
}

#[test]
fn an_unsynced_segment_is_ignored() {
    let temp = TempFolder::new("headless");
    temp.disk().write(&state(1, 10)).unwrap();
    for head in [&b""[..], b"ok", &[0; 9000]] {
        fs::write(temp.0.join("wal-1"), head).unwrap();
        assert_eq!(temp.read(), expected_state(1, 10));
    }
}

/// A corrupt snapshot must not count as an empty disk, since the member might found a new system. The disk accepts states
/// again, and the corrupt snapshot is kept for analysis.
#[test]
fn a_corrupt_snapshot_is_not_an_empty_disk() {
    let temp = TempFolder::new("corrupt");
    temp.disk().write(&state(1, 10)).unwrap();
    let path = temp.snapshot();
    let intact = fs::read(&path).unwrap();
    for byte in 0..intact.len() {
        let mut corrupt = intact.clone();
        corrupt[byte] ^= 1;
        fs::write(&path, &corrupt).unwrap();
        assert_eq!(temp.read(), Err(Stored::Corrupt), "byte {byte}");
        fs::write(&path, &intact[..byte]).unwrap();
        assert_eq!(temp.read(), Err(Stored::Corrupt), "cut at {byte}");
    }
    // a snapshot that is larger than the bound is corrupt too
    fs::File::create(&path).unwrap().set_len(8 * MAX_STATE_BYTES as u64).unwrap();
    assert_eq!(temp.read(), Err(Stored::Corrupt));
    fs::write(&path, &intact).unwrap();
    assert_eq!(temp.read(), expected_state(1, 10));

    fs::write(&path, &intact[..20]).unwrap();
    temp.disk().write(&state(2, 10)).unwrap();
    assert_eq!(temp.read(), expected_state(2, 10));
    assert_eq!(fs::read(temp.0.join("snapshot.spoilt")).unwrap(), intact[..20]);
}

/// The entries of a log without its snapshot may be old.
#[test]
fn a_log_without_a_snapshot_is_corrupt() {
    let temp = TempFolder::new("alone");
    let mut disk = temp.disk();
    (1..=3).for_each(|n| disk.write(&state(n, 700)).unwrap());
    drop(disk);
    fs::remove_file(temp.snapshot()).unwrap();
    assert_eq!(temp.read(), Err(Stored::Corrupt));
    temp.disk().write(&state(4, 10)).unwrap();
    assert_eq!(temp.read(), expected_state(4, 10));
}

/// Log entries that are older than the snapshot, as after a loss of power that undid the log's removal, and newer ones.
#[test]
fn the_newer_of_snapshot_and_log_is_read() {
    let temp = TempFolder::new("newer");
    let mut disk = temp.disk();
    (1..=3).for_each(|n| disk.write(&state(n, 700)).unwrap());
    let [log] = &segments(&temp.0)[..] else { panic!("one segment") };
    let (log, old) = (log.clone(), fs::read(log).unwrap());
    assert_eq!(temp.read(), expected_state(3, 700), "newer in the log");
    disk.write(&state(4, 70_000)).unwrap();
    disk.write(&state(5, 10)).unwrap();
    disk.write(&state(6, 70_000)).unwrap();
    drop(disk);
    fs::write(log, old).unwrap();
    assert_eq!(temp.read(), expected_state(6, 70_000), "older in the log");
}

#[test]
fn a_failed_save_is_reported_and_a_later_one_succeeds() {
    let temp = TempFolder::new("refuses");
    temp.disk().write(&state(1, 10)).unwrap();
    let OpenedStore { store, content, mut results } = Store::open(DataDir(temp.0.clone())).unwrap();
    assert_eq!(content_of(content.blocking_recv().unwrap()), expected_state(1, 10));
    fs::remove_dir_all(&temp.0).unwrap();
    store.save(7, state(2, 10));
    assert_eq!(results.blocking_recv(), Some((7, false)));
    fs::create_dir_all(&temp.0).unwrap();
    store.save(8, state(3, 10));
    assert_eq!(results.blocking_recv(), Some((8, true)));
    drop(store);
    assert_eq!(results.blocking_recv(), None, "the thread ends with its handle");
    assert_eq!(temp.read(), expected_state(3, 10));
}

#[test]
fn a_state_larger_than_the_bound_is_refused_and_the_previous_one_is_kept() {
    let temp = TempFolder::new("bound");
    let mut disk = temp.disk();
    disk.write(&state(1, 10)).unwrap();
    assert!(disk.write(&vec![2; MAX_STATE_BYTES + 1]).is_err());
    assert_eq!(temp.read(), expected_state(1, 10));
    disk.write(&state(3, 10)).unwrap();
    assert_eq!(temp.read(), expected_state(3, 10));
}
