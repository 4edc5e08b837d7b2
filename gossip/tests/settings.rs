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

/// What has not come by then never does.
const LONG: Duration = Duration::from_secs(60);
/// Longer than from one look at the file to the next.
const LOOKS: Duration = Duration::from_secs(5);

fn settings(contact_s: f64) -> String {
    format!(
        r#"{{"node_name": "edge-1", "ip": "127.0.0.1", "zone": "z", "region": "r", "zones": {{"z": "r"}},
        "port_range": [7000, 7000], "listen": {{}}, "seeds": [], "bounds": {{"contact_s": {contact_s}}}}}"#
    )
}

fn write(path: &Path, text: &str, changed: SystemTime) {
    fs::write(path, text).expect("a settings file");
    File::options().write(true).open(path).and_then(|f| f.set_modified(changed)).expect("its time");
}

/// A file that is met half written, and whole within the same tick of the disk's clock, is taken when it is whole.
#[test]
fn a_file_met_half_written() {
    let path = std::env::temp_dir().join(format!("lupinledge-settings-{}.json", std::process::id()));
    let (before, changed) = (SystemTime::now() - Duration::from_secs(60), SystemTime::now());
    write(&path, &settings(4.0), before);
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        let (taken, to) = (Rc::new(Cell::new(0.0)), path.clone());
        let took = taken.clone();
        let hangup = signal(SignalKind::hangup()).expect("a signal");
        tokio::task::spawn_local(watch(to, hangup, move |s| {
            took.set(s.bounds.contact_s);
            Ok(())
        }));
        tokio::task::yield_now().await;
        let whole = settings(7.0);
        write(&path, &whole[..whole.len() / 2], changed);
        sleep(LOOKS).await;
        assert_eq!(taken.get(), 0.0, "half a file is none");
        write(&path, &whole, changed);
        let is_taken = async {
            while taken.get() != 7.0 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LONG, is_taken).await.expect("the whole file is taken");
    });
    fs::remove_file(path).expect("it goes");
}
