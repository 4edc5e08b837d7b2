//! How long runnable threads waited for a processor, as accounted by the kernel. A busy machine adds this delay to
//! every measured duration, and checks of durations subtract it. The delay is 0 if the kernel does not account it.

use std::collections::BTreeSet;
use std::fs::{read_link, read_to_string};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The delay of a thread, given its directory below `/proc`.
pub fn of_thread(thread: &Path) -> Duration {
    let text = read_to_string(thread.join("schedstat")).unwrap_or_default();
    Duration::from_nanos(text.split(' ').nth(1).and_then(|ns| ns.parse().ok()).unwrap_or(0))
}

/// The delay of the current thread.
pub fn of_current_thread() -> Duration {
    of_thread(Path::new("/proc/thread-self"))
}

/// The threads of one test double, for their total delay.
#[derive(Clone, Default)]
pub struct TrackedThreads(Arc<Mutex<(BTreeSet<PathBuf>, Duration)>>);

impl TrackedThreads {
    /// Runs `work` on the current thread and counts this thread.
    pub fn run<T>(&self, work: impl FnOnce() -> T) -> T {
        let thread_dir =
            read_link("/proc/thread-self").map(|t| Path::new("/proc").join(t)).unwrap_or_default();
        self.0.lock().unwrap().0.insert(thread_dir.clone());
        let result = work();
        let mut threads = self.0.lock().unwrap();
        threads.0.remove(&thread_dir);
        threads.1 += of_current_thread();
        result
    }

    /// The total delay of all these threads so far, including those that have ended.
    pub fn total(&self) -> Duration {
        let threads = self.0.lock().unwrap();
        threads.0.iter().map(|t| of_thread(t)).sum::<Duration>() + threads.1
    }
}
