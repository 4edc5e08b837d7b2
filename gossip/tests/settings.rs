//! The settings file while it is being written.

use lupinledge_gossip::settings::watch;
use std::cell::Cell;
use std::fs::{self, File};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout};

/// Maximum time to wait. Generous, as the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Longer than the interval between two checks of the file.
const SEVERAL_CHECKS: Duration = Duration::from_secs(5);

fn settings(contact_s: f64) -> String {
    format!(
        r#"{{"node_name": "edge-1", "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {{"z": "r"}},
        "port_range": [7000, 7000], "listen": {{}}, "seeds": [], "bounds": {{"contact_s": {contact_s}}}}}"#
    )
}

fn write(path: &Path, text: &str, changed: SystemTime) {
    fs::write(path, text).expect("a settings file");
    File::options()
        .write(true)
        .open(path)
        .and_then(|f| f.set_modified(changed))
        .expect("its modification time is set");
}

/// A file that is read half written, and completed within the same tick of the file system's clock, is
/// applied once it is complete.
#[test]
fn a_file_read_half_written_is_read_again() {
    let path = std::env::temp_dir().join(format!("lupinledge-settings-{}.json", std::process::id()));
    let (before, changed) = (SystemTime::now() - Duration::from_secs(60), SystemTime::now());
    write(&path, &settings(4.0), before);
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        let (applied, watched_path) = (Rc::new(Cell::new(0.0)), path.clone());
        let applied_by_watch = applied.clone();
        let hangup = signal(SignalKind::hangup()).expect("a signal");
        tokio::task::spawn_local(watch(watched_path, hangup, move |s| {
            applied_by_watch.set(s.bounds.contact_s);
            Ok(())
        }));
        tokio::task::yield_now().await;
        let whole = settings(7.0);
        write(&path, &whole[..whole.len() / 2], changed);
        sleep(SEVERAL_CHECKS).await;
        assert_eq!(applied.get(), 0.0, "half a file is not applied");
        write(&path, &whole, changed);
        let is_applied = async {
            while applied.get() != 7.0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TIMEOUT, is_applied).await.expect("the whole file is applied");
    });
    fs::remove_file(path).expect("the file is removed");
}
