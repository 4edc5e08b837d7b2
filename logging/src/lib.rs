//! Writes log lines from a thread of its own: whatever happens to the reader of the log, the caller neither waits nor
//! fails. Lines that do not fit into the queue are counted and dropped.

pub mod panics;

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// The most lines in the queue.
const MAX_QUEUED: usize = 4096;
/// The most queued items that are added to the first one for a single write.
const BATCH: usize = 256;

/// An entry of the queue.
enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// The queue to the writing thread.
#[derive(Clone)]
pub struct LineWriter {
    queue: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts a thread that writes to `out` for as long as the process runs.
    pub fn start(out: impl Write + Send + 'static) -> LineWriter {
        let (queue, items) = sync_channel(MAX_QUEUED);
        let dropped: Arc<AtomicU64> = Arc::default();
        let dropped_lines = dropped.clone();
        std::thread::spawn(move || write(out, &items, &dropped_lines));
        LineWriter { queue, dropped }
    }

    /// Queues a line, which must include its line end, or counts it as dropped if the queue is full.
    pub fn write_line(&self, line: Vec<u8>) {
        if self.queue.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines so far are written, for at most `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let (done, receiver) = sync_channel(1);
        if self.queue.try_send(Item::Flush(done)).is_ok() {
            let _ = receiver.recv_timeout(timeout);
        }
    }
}

/// Writes the queued lines. It goes on when a write fails, since otherwise the queue would never be emptied.
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
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.extend_from_slice(
                format!("level=warn event=lines_dropped count={dropped_lines}\n").as_bytes(),
            );
        }
        let _ = out.write_all(&batch);
        batch.clear();
        for done in flushes {
            // the caller of `flush` may have stopped waiting
            let _ = done.send(());
        }
    }
}
