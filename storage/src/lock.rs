//! Allows only one process at a time to use a data folder: an advisory lock on a file in it, held while the process
//! runs.
//!
//! The file contains a description of the process that holds the lock, for the log of a process that finds it locked.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Name of the lock file.
const FILE_NAME: &str = "lock";
/// Pause between two attempts to lock.
const RETRY: Duration = Duration::from_millis(50);
/// Maximum length of the description that is read, in bytes.
const MAX_OWNER_BYTES: u64 = 256;

/// The lock on a folder. It is released on drop, and by the operating system when the process ends.
#[derive(Debug)]
pub struct FolderLock {
    _file: File,
}

/// The folder was still locked by another process after the longest wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderInUse {
    /// The locked folder.
    pub folder: PathBuf,
    /// The description that the other process wrote to the lock file.
    pub owner: String,
}

impl std::fmt::Display for FolderInUse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is in use by {}", self.folder.display(), self.owner)
    }
}

impl std::error::Error for FolderInUse {}

impl FolderLock {
    /// Acquires the lock, and waits for at most `wait` while another process holds it, since the previous process may
    /// still be ending during a restart. `owner` describes this process. A folder that can't be opened is retried without
    /// limit, since it may hold a state that counts. Runs on a separate thread, as disks may stall.
    pub async fn acquire(folder: PathBuf, owner: String, wait: Duration) -> eyre::Result<FolderLock> {
        let (send_result, result) = oneshot::channel();
        let run = move || drop(send_result.send(acquire_blocking(&folder, &owner, wait)));
        std::thread::Builder::new().name("lock".into()).stack_size(128 << 10).spawn(run)?;
        Ok(result.await??)
    }

    /// Makes one attempt; an error of kind `WouldBlock` means that another process holds the lock.
    fn try_acquire(folder: &Path, owner: &str) -> Result<FolderLock, TryLockError> {
        let path = folder.join(FILE_NAME);
        let file_result = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let mut file = file_result.map_err(TryLockError::Error)?;
        file.try_lock()?;
        // the description is only informative: a disk that refuses writes must not prevent locking
        let _ = file.set_len(0).and_then(|()| file.write_all(owner.as_bytes()));
        Ok(FolderLock { _file: file })
    }
}

/// Retries until the lock is acquired, or another process has held it for longer than `wait`.
fn acquire_blocking(folder: &Path, owner: &str, wait: Duration) -> Result<FolderLock, FolderInUse> {
    let start = Instant::now();
    let (mut logged_use, mut logged_fault) = (false, false);
    loop {
        match FolderLock::try_acquire(folder, owner) {
            Ok(lock) => return Ok(lock),
            Err(TryLockError::WouldBlock) => {
                let in_use = FolderInUse { folder: folder.to_path_buf(), owner: read_owner(folder) };
                if start.elapsed() >= wait {
                    return Err(in_use);
                }
                if !std::mem::replace(&mut logged_use, true) {
                    tracing::warn!(event = "folder_in_use", fault = %in_use);
                }
            }
            Err(TryLockError::Error(e)) => {
                if !std::mem::replace(&mut logged_fault, true) {
                    tracing::error!(event = "folder_unlocked", fault = %e);
                }
            }
        }
        std::thread::sleep(RETRY);
    }
}

/// Reads the description of the process that holds the lock.
fn read_owner(folder: &Path) -> String {
    let mut text = String::new();
    let read = |text: &mut String| -> io::Result<usize> {
        File::open(folder.join(FILE_NAME))?.take(MAX_OWNER_BYTES).read_to_string(text)
    };
    match read(&mut text) {
        Ok(length) if length > 0 => text,
        _ => "another process".into(),
    }
}
