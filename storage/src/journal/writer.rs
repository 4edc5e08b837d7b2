//! The thread that writes the journal.

use super::batch::{Batch, Head};
use super::queue::{Queue, Work};
use super::segments::Segments;
use super::{JournalBounds, Replayed};
use crate::Folder;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Pause before an operation that failed is retried.
const RETRY: Duration = Duration::from_millis(200);
/// Interval between two checks for old segments.
const MAINTENANCE: Duration = Duration::from_millis(500);

/// Reads the journal and then writes entries until the queue is closed.
pub(super) fn run(
    folder: impl Folder + Clone,
    bounds: JournalBounds,
    queue: &Queue,
    send_replayed: oneshot::Sender<Replayed>,
    send_saved: UnboundedSender<u64>,
) {
    let Some((segments, replayed)) = open(folder, bounds, queue) else { return };
    if replayed.damaged {
        tracing::error!(event = "journal_damaged");
    }
    let mut writer = Writer { segments, queue, head: Arc::default(), failing: false };
    queue.set_bytes_on_disk(writer.segments.bytes(), false);
    let _ = send_replayed.send(replayed);
    let mut next_maintenance = Instant::now();
    loop {
        match queue.next_work(next_maintenance) {
            Work::Write(batch, head) => {
                if !writer.write(&batch) {
                    return;
                }
                writer.head = head;
                let _ = send_saved.send(batch.last());
                continue;
            }
            Work::MaintainWith(head) => writer.head = head,
            Work::Maintain => {}
            Work::End => return,
        }
        writer.maintain();
        next_maintenance = Instant::now() + MAINTENANCE;
    }
}

/// Reads the journal, and retries until it can be read. Returns `None` if the queue was closed before.
fn open<F: Folder + Clone>(
    folder: F,
    bounds: JournalBounds,
    queue: &Queue,
) -> Option<(Segments<F>, Replayed)> {
    let mut logged = false;
    loop {
        match Segments::open(folder.clone(), bounds, queue.now()) {
            Ok(opened) => return Some(opened),
            Err(e) if !std::mem::replace(&mut logged, true) => {
                tracing::error!(event = "journal_unread", fault = %e)
            }
            Err(_) => {}
        }
        if queue.pause(RETRY) {
            return None;
        }
    }
}

/// The state of the writing thread.
struct Writer<'a, F> {
    segments: Segments<F>,
    queue: &'a Queue,
    /// The newest head that covers only entries that are on disk.
    head: Arc<Head>,
    /// Whether the last attempt failed, which is then already logged.
    failing: bool,
}

impl<F: Folder> Writer<'_, F> {
    /// Retries until the batch is on disk. Returns false if the queue was closed before.
    fn write(&mut self, batch: &Batch) -> bool {
        loop {
            let result = self.segments.write(self.queue.now(), batch, &self.head);
            self.queue.set_bytes_on_disk(self.segments.bytes(), result.is_ok());
            if self.report_result(result) {
                return true;
            }
            if self.queue.pause(RETRY) {
                return false;
            }
            // frees space on a full disk
            let _ = self.segments.delete_expired(self.queue.now());
        }
    }

    fn maintain(&mut self) {
        let result = self.segments.maintain(self.queue.now(), &self.head);
        self.queue.set_bytes_on_disk(self.segments.bytes(), false);
        self.report_result(result);
    }

    /// Logs the first of several failures in a row; returns whether the operation succeeded.
    fn report_result(&mut self, result: std::io::Result<()>) -> bool {
        if let Err(e) = &result {
            if !self.failing {
                tracing::warn!(event = "journal_not_written", fault = %e);
            }
        }
        self.failing = result.is_err();
        !self.failing
    }
}
