//! For how long threads waited for a processor while they could have run, by the machine's own count: what a busy
//! machine adds to each span, and what a check of a span leaves out. Nothing where the machine keeps no count.

use std::collections::BTreeSet;
use std::fs::{read_link, read_to_string};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Of one thread, by its directory below `/proc`.
pub fn of_thread(thread: &Path) -> Duration {
    let text = read_to_string(thread.join("schedstat")).unwrap_or_default();
    Duration::from_nanos(text.split(' ').nth(1).and_then(|ns| ns.parse().ok()).unwrap_or(0))
}

/// Of this thread.
pub fn of_current_thread() -> Duration {
    of_thread(Path::new("/proc/thread-self"))
}

/// The threads of one stand-in.
#[derive(Clone, Default)]
pub struct TrackedThreads(Arc<Mutex<(BTreeSet<PathBuf>, Duration)>>);

impl TrackedThreads {
    /// Runs this as one of them.
    pub fn run<T>(&self, work: impl FnOnce() -> T) -> T {
        let me = read_link("/proc/thread-self").map(|t| Path::new("/proc").join(t)).unwrap_or_default();
        self.0.lock().unwrap().0.insert(me.clone());
        let done = work();
        let mut threads = self.0.lock().unwrap();
        threads.0.remove(&me);
        threads.1 += of_current_thread();
        done
    }

    /// Of all of them so far, also of those that have ended.
    pub fn total(&self) -> Duration {
        let threads = self.0.lock().unwrap();
        threads.0.iter().map(|t| of_thread(t)).sum::<Duration>() + threads.1
    }
}
