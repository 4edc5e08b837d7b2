//! The file operations on a folder as single steps, so that a test can simulate a loss of power between any two.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A step in which the log accesses the folder itself, and not through [`Folder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStep {
    /// Reads the log and pads a torn end.
    Read,
    /// Creates a segment; syncs nothing.
    Begin,
    /// Writes an entry and syncs its segment; after the first entry of a segment, also syncs the folder.
    Append,
}

/// A folder of files. Changes that were not synced may be lost with the power, each independently of the others: the
/// creation, renaming or removal of a file until the folder is synced, and each written byte until its file is synced.
pub trait Folder {
    /// The path of the folder.
    fn path(&self) -> &Path;
    /// Creates a file, or truncates an existing one, and writes these parts to it.
    fn create(&self, name: &str, parts: [&[u8]; 2]) -> io::Result<File>;
    /// Appends to an open file.
    fn append(&self, mut file: &File, _name: &str, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
    /// Truncates a file to this length.
    fn truncate(&self, file: &File, _name: &str, length: u64) -> io::Result<()> {
        file.set_len(length)
    }
    /// Syncs the content and the metadata of a file.
    fn sync(&self, file: &File, name: &str) -> io::Result<()>;
    /// Syncs the content and the length of a file, but not its other metadata.
    fn sync_data(&self, file: &File, name: &str) -> io::Result<()> {
        self.sync(file, name)
    }
    /// Renames a file, replacing an existing file with the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the folder.
    fn sync_folder(&self) -> io::Result<()>;
    /// Runs a step of the log that accesses the folder itself.
    fn log<T>(&self, step: LogStep, run: impl FnOnce() -> T) -> T;
}

/// A real folder on the disk of the machine.
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
