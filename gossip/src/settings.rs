//! The settings file: read at the start, at SIGHUP, and when it changed.

use eyre::{eyre, WrapErr};
use lupinledge_config::Settings;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::Signal;
use tokio::time::timeout;

/// The variable that names the file.
pub const VARIABLE: &str = "LUPINLEDGE_NODE_FILE";
const LOOK: Duration = Duration::from_secs(2);

/// Where the settings are.
pub fn path() -> eyre::Result<PathBuf> {
    std::env::var_os(VARIABLE).map(PathBuf::from).ok_or_else(|| eyre!("`{VARIABLE}`: not set"))
}

/// Reads and checks the file; an error names the field.
pub fn read(path: &Path) -> eyre::Result<Settings> {
    let bytes = std::fs::read(path).wrap_err_with(|| path.display().to_string())?;
    Settings::parse(&bytes).map_err(|fault| eyre!("{}: {fault}", path.display()))
}

/// What tells one state of a file from another: its time, its length, and which file it is.
type State = (Option<SystemTime>, u64, u64);

fn state(path: &Path) -> Option<State> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok(), metadata.len(), metadata.ino()))
}

/// Takes the file anew whenever it changes, as long as the process runs. One that can't be read, or that `take`
/// refuses, changes nothing and is logged with the field at fault; it is looked at again each time, since it may have
/// been met half written.
pub async fn watch(path: PathBuf, mut hangup: Signal, take: impl Fn(Settings) -> eyre::Result<()>) {
    let mut last = state(&path);
    let mut refused: Option<String> = None;
    loop {
        let asked = timeout(LOOK, hangup.recv()).await.is_ok();
        let now = state(&path);
        if !asked && now == last && refused.is_none() {
            continue;
        }
        last = now;
        match read(&path).and_then(&take) {
            Ok(()) => {
                refused = None;
                tracing::info!(event = "settings_taken");
            }
            // whatever is wrong with the new file, the old one has served until now
            Err(e) => {
                let fault = format!("{e:#}");
                if asked || refused.as_ref() != Some(&fault) {
                    tracing::error!(event = "settings_refused", %fault);
                }
                refused = Some(fault);
            }
        }
    }
}
