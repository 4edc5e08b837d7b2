//! A folder that remembers what of it would outlive a loss of power, and tells at each step what might be left.
//!
//! What isn't synced is kept or lost by itself: each file that was made, renamed or removed, and each block that was
//! written (a torn one is in part of what it was and in part of what it was to be). Of `okaywal`, which works on
//! the folder by itself, this trusts that an entry's segment is synced when `commit` comes back, and the folder with
//! the first one of a segment; between those two syncs the power is cut as well.

use fastrand::Rng;
use lupinledge_storage::{DataDir, Folder, LogStep};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Seek, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::rc::Rc;

const BLOCK: usize = 512;

/// What is left out of a program on purpose, or done twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    #[default]
    None,
    /// The snapshot is not synced before it is renamed.
    SnapshotUnsynced,
    /// The folder is not synced, neither behind a snapshot nor behind a log that went.
    FolderUnsynced,
    /// The snapshot is written in its place.
    InPlace,
    /// Entries of the log are not synced.
    EntryUnsynced,
    /// Batches of the journal are not synced.
    BatchUnsynced,
    /// A removal comes to the disk only with a later sync of the folder.
    RemovalUnsynced,
}

#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Bytes that a sync that failed has dropped: they are read, and no later sync brings them to the disk.
    dropped: Vec<bool>,
}

#[derive(Clone)]
enum Change {
    Make(String, usize),
    Rename(String, String, usize),
    Remove(String),
}

/// Whole folders by name.
pub type Image = BTreeMap<String, Vec<u8>>;

#[derive(Default)]
struct State {
    files: Vec<Content>,
    /// The folder as it is on the disk, and as programs see it.
    synced: BTreeMap<String, usize>,
    now: BTreeMap<String, usize>,
    changes: Vec<Change>,
    /// The program ends after so many operations; none: it goes on.
    ends_after: Option<u32>,
    /// Something was removed since the last sync of the folder.
    removed: bool,
}

/// What is done at each step, with what is known of the disk then.
pub type Look = Rc<RefCell<dyn FnMut(&mut dyn FnMut(&mut Rng) -> Image)>>;

/// See the module.
#[derive(Clone)]
pub struct Shadow {
    path: PathBuf,
    pub flaw: Flaw,
    state: Rc<RefCell<State>>,
    look: Look,
    /// One of so many operations fails, before or after it did anything; 0: none.
    pub refuses: u32,
    /// Now and then the program ends where a sync fails.
    pub ends_on_failed_sync: bool,
    dice: Rc<RefCell<Rng>>,
}

/// The files of a folder.
pub fn image(path: &Path) -> Image {
    let files = fs::read_dir(path).unwrap().map(|entry| entry.unwrap());
    files.map(|file| (file.file_name().into_string().unwrap(), fs::read(file.path()).unwrap())).collect()
}

/// Makes a folder of these files alone.
pub fn lay(path: &Path, image: &Image) {
    let _ = fs::remove_dir_all(path);
    fs::create_dir_all(path).unwrap();
    image.iter().for_each(|(name, bytes)| fs::write(path.join(name), bytes).unwrap());
}

impl State {
    /// What might be left if the power went now.
    fn left(&self, rng: &mut Rng) -> Image {
        let mut names = self.synced.clone();
        for change in &self.changes {
            // by far most mixes of many changes are neither all nor nothing: both get their part
            if rng.bool() {
                continue;
            }
            match change {
                Change::Make(name, file) => drop(names.insert(name.clone(), *file)),
                Change::Remove(name) => drop(names.remove(name)),
                Change::Rename(from, to, file) => {
                    names.insert(to.clone(), *file);
                    if rng.bool() {
                        names.remove(from);
                    }
                }
            }
        }
        names.into_iter().map(|(name, file)| (name, self.files[file].left(rng))).collect()
    }
}

impl Content {
    /// These bytes were written.
    fn wrote(&mut self, range: Range<usize>) {
        self.dropped.resize(self.now.len(), false);
        self.dropped[range].fill(false);
    }

    fn sync(&mut self) {
        self.dropped.resize(self.now.len(), false);
        let was = std::mem::take(&mut self.synced);
        let old = was.into_iter().chain(std::iter::repeat(0));
        let bytes = self.now.iter().zip(&self.dropped).zip(old);
        self.synced = bytes.map(|((now, dropped), old)| if *dropped { old } else { *now }).collect();
    }

    /// A sync failed: what it was to write may count as written.
    fn sync_failed(&mut self) {
        self.dropped.resize(self.now.len(), false);
        for (at, dropped) in self.dropped.iter_mut().enumerate() {
            *dropped |= self.synced.get(at) != Some(&self.now[at]);
        }
    }

    fn left(&self, rng: &mut Rng) -> Vec<u8> {
        match rng.u8(..4) {
            0 => return self.now.clone(),
            1 => return self.synced.clone(),
            _ => {}
        }
        let (old, new) = (&self.synced, &self.now);
        let mut left = if rng.bool() { new.clone() } else { old.clone() };
        for at in (0..left.len()).step_by(BLOCK) {
            let end = left.len().min(at + BLOCK);
            let was = |bytes: &[u8], place: usize| bytes.get(place).copied();
            let mut rng_cut = || rng.usize(at..=end);
            let cut = [at, end, rng_cut()][rng.usize(..3)];
            for (place, byte) in left.iter_mut().enumerate().take(end).skip(at) {
                let (first, second) = (was(new, place), was(old, place));
                // what was never written may be zero
                *byte = if place < cut { first.or(second) } else { second.or(Some(0)) }.unwrap_or(0);
            }
        }
        left
    }
}

impl Shadow {
    /// What is on the disk is what `synced` says; the folder may hold what is not synced.
    pub fn new(path: PathBuf, synced: &Image, flaw: Flaw, look: Look) -> Shadow {
        let mut state = State::default();
        for (name, bytes) in synced {
            state.now.insert(name.clone(), state.files.len());
            state.files.push(Content { synced: bytes.clone(), now: bytes.clone(), dropped: Vec::new() });
        }
        state.synced = state.now.clone();
        let dice = Rc::new(RefCell::new(Rng::with_seed(synced.len() as u64)));
        Shadow {
            path,
            flaw,
            state: Rc::new(RefCell::new(state)),
            look,
            refuses: 0,
            ends_on_failed_sync: false,
            dice,
        }
    }

    /// The program ends after so many operations, while the machine goes on: all that follow fail, until this is
    /// called with none.
    pub fn end_after(&self, operations: Option<u32>) {
        self.state.borrow_mut().ends_after = operations;
    }

    fn ended(&self) -> bool {
        self.state.borrow().ends_after == Some(0)
    }

    /// Whether an operation is to fail here.
    fn refuse(&self) -> io::Result<()> {
        if let Some(left) = &mut self.state.borrow_mut().ends_after {
            *left = left.saturating_sub(1);
        }
        if self.ended() {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let refuses = self.refuses > 0 && self.dice.borrow_mut().u32(..2 * self.refuses) == 0;
        if refuses {
            Err(io::Error::from_raw_os_error(5))
        } else {
            Ok(())
        }
    }

    fn look(&self) {
        let state = self.state.borrow();
        (self.look.borrow_mut())(&mut |rng| state.left(rng));
    }

    /// Takes over what the folder holds by now.
    fn follow(&self) {
        let now = image(&self.path);
        let mut state = self.state.borrow_mut();
        let gone: Vec<String> = state.now.keys().filter(|name| !now.contains_key(*name)).cloned().collect();
        for name in gone {
            state.now.remove(&name);
            state.changes.push(Change::Remove(name));
        }
        for (name, bytes) in now {
            match state.now.get(&name).copied() {
                Some(file) => {
                    state.files[file].dropped.truncate(bytes.len());
                    state.files[file].now = bytes;
                }
                None => {
                    let file = state.files.len();
                    state.files.push(Content { now: bytes, ..Content::default() });
                    state.now.insert(name.clone(), file);
                    state.changes.push(Change::Make(name, file));
                }
            }
        }
    }

    fn synced(&self, names: &[&str]) {
        let mut state = self.state.borrow_mut();
        for file in names.iter().filter_map(|name| state.now.get(*name).copied()).collect::<Vec<_>>() {
            state.files[file].sync();
        }
    }

    fn sync_failed(&self, name: &str) {
        let mut state = self.state.borrow_mut();
        if let Some(file) = state.now.get(name).copied() {
            state.files[file].sync_failed();
        }
    }

    fn wrote(&self, name: &str, range: Range<usize>) {
        let mut state = self.state.borrow_mut();
        if let Some(file) = state.now.get(name).copied() {
            state.files[file].wrote(range);
        }
    }

    fn folder_synced(&self) {
        let mut state = self.state.borrow_mut();
        state.synced = state.now.clone();
        state.changes.clear();
    }
}

impl Folder for Shadow {
    fn path(&self) -> &Path {
        &self.path
    }

    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        self.refuse()?;
        let name = if self.flaw == Flaw::InPlace { "snapshot" } else { name };
        let mut file = File::create(self.path.join(name))?;
        self.follow();
        self.look();
        for part in parts {
            file.write_all(part)?;
            let end = file.stream_position()? as usize;
            self.follow();
            self.wrote(name, end - part.len()..end);
            self.look();
        }
        self.refuse()?;
        Ok(file)
    }

    fn sync(&self, _: &File, name: &str) -> io::Result<()> {
        if let Err(e) = self.refuse() {
            if !self.ended() {
                self.sync_failed(name);
                if self.ends_on_failed_sync && self.dice.borrow_mut().u8(..4) == 0 {
                    self.end_after(Some(0));
                }
            }
            return Err(e);
        }
        if self.flaw != Flaw::SnapshotUnsynced {
            self.synced(&[if self.flaw == Flaw::InPlace { "snapshot" } else { name }]);
        }
        self.look();
        self.refuse()
    }

    fn append(&self, mut file: &File, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.refuse()?;
        let (first, second) = bytes.split_at(self.dice.borrow_mut().usize(..=bytes.len()));
        for part in [first, second] {
            file.write_all(part)?;
            let end = file.stream_position()? as usize;
            self.follow();
            self.wrote(name, end - part.len()..end);
            self.look();
            self.refuse()?;
        }
        Ok(())
    }

    fn truncate(&self, file: &File, _: &str, length: u64) -> io::Result<()> {
        self.refuse()?;
        file.set_len(length)?;
        self.follow();
        self.look();
        self.refuse()
    }

    fn sync_data(&self, file: &File, name: &str) -> io::Result<()> {
        if self.flaw == Flaw::BatchUnsynced {
            self.look();
            return Ok(());
        }
        self.sync(file, name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.refuse()?;
        if self.flaw == Flaw::InPlace {
            return Ok(());
        }
        fs::rename(self.path.join(from), self.path.join(to))?;
        let mut state = self.state.borrow_mut();
        if let Some(file) = state.now.remove(from) {
            state.now.insert(to.into(), file);
            state.changes.push(Change::Rename(from.into(), to.into(), file));
        }
        drop(state);
        self.look();
        self.refuse()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.refuse()?;
        fs::remove_file(self.path.join(name))?;
        self.follow();
        self.state.borrow_mut().removed = true;
        self.look();
        self.refuse()
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.refuse()?;
        self.follow();
        let removed = std::mem::take(&mut self.state.borrow_mut().removed);
        if self.flaw != Flaw::FolderUnsynced && !(removed && self.flaw == Flaw::RemovalUnsynced) {
            self.folder_synced();
        }
        self.look();
        self.refuse()
    }

    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T {
        let result = run();
        self.follow();
        self.look();
        if step == LogStep::Append {
            let names: Vec<String> = self.state.borrow().now.keys().cloned().collect();
            let logs: Vec<&str> =
                names.iter().map(String::as_str).filter(|n| n.starts_with("wal-")).collect();
            if self.flaw != Flaw::EntryUnsynced {
                self.synced(&logs);
            }
            self.look();
            self.folder_synced();
            self.look();
        }
        result
    }
}

/// A folder whose syncs do nothing, for a look at what a disk holds.
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
