//! One process at a time has a data folder: an advisory lock on a file in it, held as long as the process lives.
//!
//! The file says who holds the lock, for the log line of a process that finds the folder in use.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

const NAME: &str = "lock";
const RETRY: Duration = Duration::from_millis(50);
/// The description of a holder is no longer, bytes.
const OWNER_MOST: u64 = 256;

/// The lock on a folder; given back when dropped, and by the machine when the process ends.
#[derive(Debug)]
pub struct FolderLock {
    _file: File,
}

/// The folder stayed another process's for as long as could be waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderInUse {
    pub folder: PathBuf,
    /// What that process says of itself.
    pub owner: String,
}

impl std::fmt::Display for FolderInUse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} is in use by {}", self.folder.display(), self.owner)
    }
}

impl std::error::Error for FolderInUse {}

impl FolderLock {
    /// Takes the lock, waiting for at most `wait` while another process has it, since a restart may overlap with the
    /// end of the process before. `owner` describes this process. A folder that can't be opened is tried again for as
    /// long as it takes: what it holds may count. Runs on a thread of its own, as disks may stall.
    pub async fn acquire(folder: PathBuf, owner: String, wait: Duration) -> eyre::Result<FolderLock> {
        let (done, taken) = oneshot::channel();
        let run = move || drop(done.send(take(&folder, &owner, wait)));
        std::thread::Builder::new().name("lock".into()).stack_size(128 << 10).spawn(run)?;
        Ok(taken.await??)
    }

    /// One try; an error of kind `WouldBlock` means that another process has it.
    fn attempt(folder: &Path, owner: &str) -> Result<FolderLock, TryLockError> {
        let path = folder.join(NAME);
        let opened = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let mut file = opened.map_err(TryLockError::Error)?;
        file.try_lock()?;
        // the description is a help alone: a disk that takes no writes keeps nobody from the lock
        let _ = file.set_len(0).and_then(|()| file.write_all(owner.as_bytes()));
        Ok(FolderLock { _file: file })
    }
}

fn take(folder: &Path, owner: &str, wait: Duration) -> Result<FolderLock, FolderInUse> {
    let since = Instant::now();
    let (mut told_use, mut told_fault) = (false, false);
    loop {
        match FolderLock::attempt(folder, owner) {
            Ok(lock) => return Ok(lock),
            Err(TryLockError::WouldBlock) => {
                let in_use = FolderInUse { folder: folder.to_path_buf(), owner: holder(folder) };
                if since.elapsed() >= wait {
                    return Err(in_use);
                }
                if !std::mem::replace(&mut told_use, true) {
                    tracing::warn!(event = "folder_in_use", fault = %in_use);
                }
            }
            Err(TryLockError::Error(e)) => {
                if !std::mem::replace(&mut told_fault, true) {
                    tracing::error!(event = "folder_unlocked", fault = %e);
                }
            }
        }
        std::thread::sleep(RETRY);
    }
}

/// What the holder of the lock wrote of itself.
fn holder(folder: &Path) -> String {
    let mut text = String::new();
    let read = |text: &mut String| -> io::Result<usize> {
        File::open(folder.join(NAME))?.take(OWNER_MOST).read_to_string(text)
    };
    match read(&mut text) {
        Ok(length) if length > 0 => text,
        _ => "another process".into(),
    }
}
