//! The settings file: read at the start, at SIGHUP, and when it changed.

use eyre::{eyre, WrapErr};
use lupinledge_propolis::Settings;
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

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Takes the file anew whenever it changes, as long as the process runs. One that can't be read, or that `take`
/// refuses, changes nothing and is logged with the field at fault.
pub async fn watch(path: PathBuf, mut hangup: Signal, take: impl Fn(Settings) -> eyre::Result<()>) {
    let mut last = changed_at(&path);
    loop {
        let asked = timeout(LOOK, hangup.recv()).await.is_ok();
        let at = changed_at(&path);
        if !asked && at == last {
            continue;
        }
        last = at;
        match read(&path).and_then(&take) {
            Ok(()) => tracing::info!(event = "settings_taken"),
            // whatever is wrong with the new file, the old one has served until now
            Err(e) => tracing::error!(event = "settings_refused", fault = %format!("{e:#}")),
        }
    }
}
