//! The operations on the folder, one by one, so that a test can cut the power between any two.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What the log does to the folder by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStep {
    /// What is there is read; a torn end is padded.
    Read,
    /// A segment is made; nothing is synced.
    Begin,
    /// An entry is written and its segment synced; with the first one of a segment, the folder after it.
    Append,
}

/// A folder. What isn't synced yet may be lost with the power: each file that was made, renamed or removed without
/// a sync of the folder by itself, and each byte that was written without a sync of its file.
pub trait Folder {
    /// Where it is.
    fn path(&self) -> &Path;
    /// Makes a file, or cuts it to nothing, and writes this to it.
    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File>;
    /// Writes at the end of what was written to an open file.
    fn append(&self, mut file: &File, _name: &str, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
    /// Cuts a file to this length.
    fn truncate(&self, file: &File, _name: &str, length: u64) -> io::Result<()> {
        file.set_len(length)
    }
    /// Syncs a file.
    fn sync(&self, file: &File, name: &str) -> io::Result<()>;
    /// Syncs the content and the length of a file.
    fn sync_data(&self, file: &File, name: &str) -> io::Result<()> {
        self.sync(file, name)
    }
    /// Renames a file, in place of one that has the name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the folder.
    fn sync_folder(&self) -> io::Result<()>;
    /// Runs a step of the log.
    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T;
}

/// A folder of the machine.
#[derive(Clone, Debug)]
pub struct DataDir(pub PathBuf);

impl Folder for DataDir {
    fn path(&self) -> &Path {
        &self.0
    }

    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File> {
        let mut file = File::create(self.0.join(name))?;
        parts.into_iter().try_for_each(|part| file.write_all(part))?;
        Ok(file)
    }

    fn sync(&self, file: &File, _: &str) -> io::Result<()> {
        file.sync_all()
    }

    fn sync_data(&self, file: &File, _: &str) -> io::Result<()> {
        file.sync_data()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.0.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.0).and_then(|folder| folder.sync_all())
    }

    fn log<T>(&self, _: LogStep, run: impl FnOnce() -> T) -> T {
        run()
    }
}
