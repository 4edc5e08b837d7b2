//! Lines of a log on their way out, by a thread of their own: whatever becomes of their reader, who writes a line
//! neither waits nor fails. Lines for which there is no room are counted and dropped.

pub mod panics;

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Lines that wait at most.
const WAITING_AT_MOST: usize = 4096;
/// Lines that are written at once.
const BATCH: usize = 256;

enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The way to the thread that writes.
#[derive(Clone)]
pub struct LineWriter {
    to: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts a thread that writes to `out` for as long as the process runs.
    pub fn start(out: impl Write + Send + 'static) -> LineWriter {
        let (to, items) = sync_channel(WAITING_AT_MOST);
        let dropped: Arc<AtomicU64> = Arc::default();
        let lost = dropped.clone();
        std::thread::spawn(move || write(out, &items, &lost));
        LineWriter { to, dropped }
    }

    /// Hands on a line with its end, or counts it as dropped.
    pub fn write_line(&self, line: Vec<u8>) {
        if self.to.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written, for `most` at the most.
    pub fn flush(&self, most: Duration) {
        let (done, wait) = sync_channel(1);
        if self.to.try_send(Item::Flush(done)).is_ok() {
            let _ = wait.recv_timeout(most);
        }
    }
}

/// Writes what comes; a reader that has ended is no reason to stop, since nobody else takes the lines in.
fn write(mut out: impl Write, items: &Receiver<Item>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(first) = items.recv() {
        let mut flushes = Vec::new();
        for item in std::iter::once(first).chain(items.try_iter().take(BATCH)) {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(done) => flushes.push(done),
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("level=warn event=lines_dropped count={lost}\n").as_bytes());
        }
        let _ = out.write_all(&batch);
        batch.clear();
        for done in flushes {
            // who asked may have stopped waiting
            let _ = done.send(());
        }
    }
}
