//! A folder that tracks which changes would survive a loss of power, and inspects at each step what may remain.
//!
//! Each unsynced change is kept or lost independently: each creation, renaming or removal of a file, and each written
//! block (a torn block has old and new bytes). `okaywal` accesses the folder itself; the simulation assumes that it has
//! synced an entry's segment when `commit` returns, and the folder after the first entry of a segment. Losses of power
//! between those two syncs are simulated as well.

use fastrand::Rng;
use lupinledge_storage::{DataDir, Folder, LogStep};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Seek, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Size of the blocks that are kept or lost independently.
const BLOCK: usize = 512;

/// A fault planted on purpose, which the tests have to detect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    #[default]
    None,
    /// The snapshot is not synced before it is renamed.
    SnapshotUnsynced,
    /// The folder is not synced, neither after a snapshot nor after the removal of a log.
    FolderUnsynced,
    /// The snapshot is written under its final name instead of being renamed.
    InPlace,
    /// Entries of the log are not synced.
    EntryUnsynced,
    /// Batches of the journal are not synced.
    BatchUnsynced,
    /// The first sync of the folder after a removal does nothing.
    RemovalUnsynced,
}

/// The content of a file.
#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    current: Vec<u8>,
    /// Bytes that were lost in a failed sync: they can be read, but no later sync writes them to the disk.
    dropped: Vec<bool>,
}

/// An unsynced change of the folder; files are given by name and index.
#[derive(Clone)]
enum Change {
    Create(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

/// The content of all files of a folder, by name.
pub type Image = BTreeMap<String, Vec<u8>>;

#[derive(Default)]
struct State {
    files: Vec<Content>,
    /// The folder as it is on the disk: indexes into `files` by name.
    synced: BTreeMap<String, usize>,
    /// The folder as programs see it.
    current: BTreeMap<String, usize>,
    changes: Vec<Change>,
    /// Number of operations after which the program ends; `None`: it continues.
    ends_after: Option<u32>,
    /// Whether a file was removed since the last sync of the folder.
    removed: bool,
}

/// Called at each step with a function that returns a random image of what a loss of power may leave.
pub type Inspect = Rc<RefCell<dyn FnMut(&mut dyn FnMut(&mut Rng) -> Image)>>;

/// A folder in which losses of power and failures are simulated.
#[derive(Clone)]
pub struct SimulatedFolder {
    path: PathBuf,
    pub flaw: Flaw,
    state: Rc<RefCell<State>>,
    inspect: Inspect,
    /// One of this many operations fails on average, before or after it took effect; 0: no operation fails.
    pub fault_interval: u32,
    /// Whether the program sometimes ends when a sync fails.
    pub ends_on_failed_sync: bool,
    rng: Rc<RefCell<Rng>>,
}

/// Reads the files of a folder.
pub fn image(path: &Path) -> Image {
    let files = fs::read_dir(path).unwrap().map(|entry| entry.unwrap());
    files.map(|file| (file.file_name().into_string().unwrap(), fs::read(file.path()).unwrap())).collect()
}

/// Replaces a folder with these files.
pub fn write_image(path: &Path, image: &Image) {
    let _ = fs::remove_dir_all(path);
    fs::create_dir_all(path).unwrap();
    image.iter().for_each(|(name, bytes)| fs::write(path.join(name), bytes).unwrap());
}

impl State {
    /// A random image of what a loss of power may leave now.
    fn remaining(&self, rng: &mut Rng) -> Image {
        let mut names = self.synced.clone();
        for change in &self.changes {
            // each change is lost with a probability of one half, so that most images keep some of many changes and lose
            // others
            if rng.bool() {
                continue;
            }
            match change {
                Change::Create(name, file) => drop(names.insert(name.clone(), *file)),
                Change::Remove(name) => drop(names.remove(name)),
                Change::Rename(from, to, file) => {
                    names.insert(to.clone(), *file);
                    if rng.bool() {
                        names.remove(from);
                    }
                }
            }
        }
        names.into_iter().map(|(name, file)| (name, self.files[file].remaining(rng))).collect()
    }
}

impl Content {
    /// Records that these bytes were written.
    fn record_write(&mut self, range: Range<usize>) {
        self.dropped.resize(self.current.len(), false);
        self.dropped[range].fill(false);
    }

    fn sync(&mut self) {
        self.dropped.resize(self.current.len(), false);
        let previous = std::mem::take(&mut self.synced);
        let old = previous.into_iter().chain(std::iter::repeat(0));
        let bytes = self.current.iter().zip(&self.dropped).zip(old);
        self.synced = bytes.map(|((current, dropped), old)| if *dropped { old } else { *current }).collect();
    }

    /// Records a failed sync: the operating system may treat the unsynced bytes as written.
    fn sync_failed(&mut self) {
        self.dropped.resize(self.current.len(), false);
        for (at, dropped) in self.dropped.iter_mut().enumerate() {
            *dropped |= self.synced.get(at) != Some(&self.current[at]);
        }
    }

    fn remaining(&self, rng: &mut Rng) -> Vec<u8> {
        match rng.u8(..4) {
            0 => return self.current.clone(),
            1 => return self.synced.clone(),
            _ => {}
        }
        let (old, new) = (&self.synced, &self.current);
        let mut remaining = if rng.bool() { new.clone() } else { old.clone() };
        for at in (0..remaining.len()).step_by(BLOCK) {
            let end = remaining.len().min(at + BLOCK);
            let previous = |bytes: &[u8], position: usize| bytes.get(position).copied();
            let mut random_cut = || rng.usize(at..=end);
            let cut = [at, end, random_cut()][rng.usize(..3)];
            for (position, byte) in remaining.iter_mut().enumerate().take(end).skip(at) {
                let (first, second) = (previous(new, position), previous(old, position));
                // bytes that were never written may be zero
                *byte = if position < cut { first.or(second) } else { second.or(Some(0)) }.unwrap_or(0);
            }
        }
        remaining
    }
}

impl SimulatedFolder {
    /// Creates a folder whose synced content is `synced`.
    pub fn new(path: PathBuf, synced: &Image, flaw: Flaw, inspect: Inspect) -> SimulatedFolder {
        let mut state = State::default();
        for (name, bytes) in synced {
            state.current.insert(name.clone(), state.files.len());
            state.files.push(Content { synced: bytes.clone(), current: bytes.clone(), dropped: Vec::new() });
        }
        state.synced = state.current.clone();
        let rng = Rc::new(RefCell::new(Rng::with_seed(synced.len() as u64)));
        SimulatedFolder {
            path,
            flaw,
            state: Rc::new(RefCell::new(state)),
            inspect,
            fault_interval: 0,
            ends_on_failed_sync: false,
            rng,
        }
    }

    /// Ends the program after this many operations while the machine keeps running: all further operations fail until this
    /// is called with `None`.
    pub fn end_after(&self, operations: Option<u32>) {
        self.state.borrow_mut().ends_after = operations;
    }

    fn ended(&self) -> bool {
        self.state.borrow().ends_after == Some(0)
    }

    /// Fails if the program has ended, or at random.
    fn maybe_fail(&self) -> io::Result<()> {
        if let Some(remaining) = &mut self.state.borrow_mut().ends_after {
            *remaining = remaining.saturating_sub(1);
        }
        if self.ended() {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let fails = self.fault_interval > 0 && self.rng.borrow_mut().u32(..2 * self.fault_interval) == 0;
        if fails {
            Err(io::Error::from_raw_os_error(5))
        } else {
            Ok(())
        }
    }

    fn inspect(&self) {
        let state = self.state.borrow();
        (self.inspect.borrow_mut())(&mut |rng| state.remaining(rng));
    }

    /// Updates the state with all changes in the real folder.
    fn update_state(&self) {
        let current = image(&self.path);
        let mut state = self.state.borrow_mut();
        let removed: Vec<String> =
            state.current.keys().filter(|name| !current.contains_key(*name)).cloned().collect();
        for name in removed {
            state.current.remove(&name);
            state.changes.push(Change::Remove(name));
        }
        for (name, bytes) in current {
            match state.current.get(&name).copied() {
                Some(file) => {
                    state.files[file].dropped.truncate(bytes.len());
                    state.files[file].current = bytes;
                }
                None => {
                    let file = state.files.len();
                    state.files.push(Content { current: bytes, ..Content::default() });
                    state.current.insert(name.clone(), file);
                    state.changes.push(Change::Create(name, file));
                }
            }
        }
    }

    fn sync_files(&self, names: &[&str]) {
        let mut state = self.state.borrow_mut();
        for file in names.iter().filter_map(|name| state.current.get(*name).copied()).collect::<Vec<_>>() {
            state.files[file].sync();
        }
    }

    fn sync_failed(&self, name: &str) {
        let mut state = self.state.borrow_mut();
        if let Some(file) = state.current.get(name).copied() {
            state.files[file].sync_failed();
        }
    }

    fn record_write_to(&self, name: &str, range: Range<usize>) {
        let mut state = self.state.borrow_mut();
        if let Some(file) = state.current.get(name).copied() {
            state.files[file].record_write(range);
        }
    }

    fn record_folder_sync(&self) {
        let mut state = self.state.borrow_mut();
        state.synced = state.current.clone();
        state.changes.clear();
    }
}

impl Folder for SimulatedFolder {
    fn path(&self) -> &Path {
        &self.path
    }

    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        self.maybe_fail()?;
        let name = if self.flaw == Flaw::InPlace { "snapshot" } else { name };
        let mut file = File::create(self.path.join(name))?;
        self.update_state();
        self.inspect();
        for part in parts {
            file.write_all(part)?;
            let end = file.stream_position()? as usize;
            self.update_state();
            self.record_write_to(name, end - part.len()..end);
            self.inspect();
        }
        self.maybe_fail()?;
        Ok(file)
    }

    fn sync(&self, _: &File, name: &str) -> io::Result<()> {
        if let Err(e) = self.maybe_fail() {
            if !self.ended() {
                self.sync_failed(name);
                if self.ends_on_failed_sync && self.rng.borrow_mut().u8(..4) == 0 {
                    self.end_after(Some(0));
                }
            }
            return Err(e);
        }
        if self.flaw != Flaw::SnapshotUnsynced {
            self.sync_files(&[if self.flaw == Flaw::InPlace { "snapshot" } else { name }]);
        }
        self.inspect();
        self.maybe_fail()
    }

    fn append(&self, mut file: &File, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.maybe_fail()?;
        let (first, second) = bytes.split_at(self.rng.borrow_mut().usize(..=bytes.len()));
        for part in [first, second] {
            file.write_all(part)?;
            let end = file.stream_position()? as usize;
            self.update_state();
            self.record_write_to(name, end - part.len()..end);
            self.inspect();
            self.maybe_fail()?;
        }
        Ok(())
    }

    fn truncate(&self, file: &File, _: &str, length: u64) -> io::Result<()> {
        self.maybe_fail()?;
        file.set_len(length)?;
        self.update_state();
        self.inspect();
        self.maybe_fail()
    }

    fn sync_data(&self, file: &File, name: &str) -> io::Result<()> {
        if self.flaw == Flaw::BatchUnsynced {
            self.inspect();
            return Ok(());
        }
        self.sync(file, name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.maybe_fail()?;
        if self.flaw == Flaw::InPlace {
            return Ok(());
        }
        fs::rename(self.path.join(from), self.path.join(to))?;
        let mut state = self.state.borrow_mut();
        if let Some(file) = state.current.remove(from) {
            state.current.insert(to.into(), file);
            state.changes.push(Change::Rename(from.into(), to.into(), file));
        }
        drop(state);
        self.inspect();
        self.maybe_fail()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.maybe_fail()?;
        fs::remove_file(self.path.join(name))?;
        self.update_state();
        self.state.borrow_mut().removed = true;
        self.inspect();
        self.maybe_fail()
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.maybe_fail()?;
        self.update_state();
        let removed = std::mem::take(&mut self.state.borrow_mut().removed);
        if self.flaw != Flaw::FolderUnsynced && !(removed && self.flaw == Flaw::RemovalUnsynced) {
            self.record_folder_sync();
        }
        self.inspect();
        self.maybe_fail()
    }

    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T {
        let result = run();
        self.update_state();
        self.inspect();
        if step == LogStep::Append {
            let names: Vec<String> = self.state.borrow().current.keys().cloned().collect();
            let logs: Vec<&str> =
                names.iter().map(String::as_str).filter(|n| n.starts_with("wal-")).collect();
            if self.flaw != Flaw::EntryUnsynced {
                self.sync_files(&logs);
            }
            self.inspect();
            self.record_folder_sync();
            self.inspect();
        }
        result
    }
}

/// A folder whose syncs do nothing, for reading the content of a disk.
#[derive(Clone)]
pub struct Unsynced(pub DataDir);

impl Folder for Unsynced {
    fn path(&self) -> &Path {
        self.0.path()
    }
    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        self.0.create(name, parts)
    }
    fn sync(&self, _: &File, _: &str) -> io::Result<()> {
        Ok(())
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&self) -> io::Result<()> {
        Ok(())
    }
    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T {
        self.0.log(step, run)
    }
}
