//! The settings file, which is read at the start, at SIGHUP, and after each change.

use eyre::{eyre, WrapErr};
use lupinledge_config::Settings;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;
use tokio::time::timeout;

/// The environment variable with the path of the file.
pub const VARIABLE: &str = "LUPINLEDGE_NODE_FILE";
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the path of the settings file.
pub fn path() -> eyre::Result<PathBuf> {
    std::env::var_os(VARIABLE).map(PathBuf::from).ok_or_else(|| eyre!("the variable `{VARIABLE}` is not set"))
}

/// Reads and checks the file; an error names the invalid field.
pub fn read(path: &Path) -> eyre::Result<Settings> {
    let bytes = std::fs::read(path).wrap_err_with(|| path.display().to_string())?;
    Settings::parse(&bytes).map_err(|fault| eyre!("{}: {fault}", path.display()))
}

/// The properties by which a change of a file is detected: its modification time, length and inode.
type FileState = (Option<SystemTime>, u64, u64);

fn file_state(path: &Path) -> Option<FileState> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok(), metadata.len(), metadata.ino()))
}

/// Applies the file again after each change, as long as the process runs. A file that can't be read, or that
/// `apply` refuses, changes nothing and is logged with the invalid field. It is read again at each check,
/// since it may have been read half written.
pub async fn watch(path: PathBuf, mut hangup: Signal, apply: impl Fn(Settings) -> eyre::Result<()>) {
    let mut last_state = file_state(&path);
    let mut last_fault: Option<String> = None;
    loop {
        let requested = timeout(CHECK_INTERVAL, hangup.recv()).await.is_ok();
        let current_state = file_state(&path);
        if !requested && current_state == last_state && last_fault.is_none() {
            continue;
        }
        last_state = current_state;
        match read(&path).and_then(&apply) {
            Ok(()) => {
                last_fault = None;
                tracing::info!(event = "settings_taken");
            }
            // The previous settings stay in force, whatever is wrong with the new file.
            Err(e) => {
                let fault = format!("{e:#}");
                if requested || last_fault.as_ref() != Some(&fault) {
                    tracing::error!(event = "settings_refused", %fault);
                }
                last_fault = Some(fault);
            }
        }
    }
}
