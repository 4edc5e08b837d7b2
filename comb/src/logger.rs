//! The log: lines to standard error by a thread of their own, so that a slow reader stops nobody. Lines that
//! the thread has no room for are counted and dropped.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

enum Item {
    Line(String),
    Flush(SyncSender<()>),
}

struct Lines {
    to: SyncSender<Item>,
    dropped: AtomicU64,
}

impl Log for Lines {
    fn enabled(&self, m: &Metadata) -> bool {
        // the libraries' own chatter stays out, their warnings don't
        m.level() <= Level::Warn || m.target().starts_with("lupinledge")
    }
    fn log(&self, r: &Record) {
        if !self.enabled(r.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let level = r.level().as_str().to_ascii_lowercase();
        if self.to.try_send(Item::Line(format!("{now:.3} {level} {}\n", r.args()))).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
    /// Waits for the lines so far, a second at the most.
    fn flush(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = self.to.try_send(Item::Line(format!("{dropped} lines of the log dropped\n")));
        }
        let (done, wait) = sync_channel(1);
        if self.to.try_send(Item::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(Duration::from_secs(1));
        }
    }
}

/// Makes this the process's log, from level info on; does nothing more where there is one.
pub fn start() {
    let (to, lines) = sync_channel(4096);
    std::thread::spawn(move || {
        let mut batch = Vec::new();
        while let Ok(first) = lines.recv() {
            let mut asked = Vec::new();
            for item in std::iter::once(first).chain(lines.try_iter().take(256)) {
                match item {
                    Item::Line(l) => batch.extend_from_slice(l.as_bytes()),
                    Item::Flush(done) => asked.push(done),
                }
            }
            let _ = std::io::stderr().write_all(&batch);
            batch.clear();
            for done in asked {
                let _ = done.send(());
            }
        }
    });
    let lines = Box::leak(Box::new(Lines { to, dropped: AtomicU64::new(0) }));
    if log::set_logger(lines).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
