//! The thread that writes.

use super::batch::{Batch, Head};
use super::queue::{Queue, Work};
use super::segments::Segments;
use super::{JournalBounds, Replayed};
use crate::Folder;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// Pause before a disk that failed is tried again.
const RETRY: Duration = Duration::from_millis(200);
/// Old segments are looked after so often.
const MAINTENANCE: Duration = Duration::from_millis(500);

/// Runs until the queue is closed.
pub(super) fn run(
    folder: impl Folder + Clone,
    bounds: JournalBounds,
    queue: &Queue,
    found: oneshot::Sender<Replayed>,
    saved: UnboundedSender<u64>,
) {
    let Some((segments, replayed)) = open(folder, bounds, queue) else { return };
    if replayed.damaged {
        tracing::error!(event = "journal_damaged");
    }
    let mut writer = Writer { segments, queue, head: Arc::default(), failing: false };
    queue.note(writer.segments.bytes(), false);
    let _ = found.send(replayed);
    let mut maintenance = Instant::now();
    loop {
        match queue.next(maintenance) {
            Work::Write(batch, head) => {
                if !writer.write(&batch) {
                    return;
                }
                writer.head = head;
                let _ = saved.send(batch.last());
                continue;
            }
            Work::MaintainWith(head) => writer.head = head,
            Work::Maintain => {}
            Work::End => return,
        }
        writer.maintain();
        maintenance = Instant::now() + MAINTENANCE;
    }
}

/// Reads the disk until it can be read. None: the queue was closed before.
fn open<F: Folder + Clone>(
    folder: F,
    bounds: JournalBounds,
    queue: &Queue,
) -> Option<(Segments<F>, Replayed)> {
    let mut told = false;
    loop {
        match Segments::open(folder.clone(), bounds, queue.now()) {
            Ok(opened) => return Some(opened),
            Err(e) if !std::mem::replace(&mut told, true) => {
                tracing::error!(event = "journal_unread", fault = %e)
            }
            Err(_) => {}
        }
        if queue.pause(RETRY) {
            return None;
        }
    }
}

struct Writer<'a, F> {
    segments: Segments<F>,
    queue: &'a Queue,
    /// The newest head that no entry is missing before.
    head: Arc<Head>,
    /// The last attempt failed, and that is logged.
    failing: bool,
}

impl<F: Folder> Writer<'_, F> {
    /// Tries until the batch is on disk. False: the queue was closed before.
    fn write(&mut self, batch: &Batch) -> bool {
        loop {
            let written = self.segments.write(self.queue.now(), batch, &self.head);
            self.queue.note(self.segments.bytes(), written.is_ok());
            if self.went_well(written) {
                return true;
            }
            if self.queue.pause(RETRY) {
                return false;
            }
            // a full disk gets room
            let _ = self.segments.delete_expired(self.queue.now());
        }
    }

    fn maintain(&mut self) {
        let maintained = self.segments.maintain(self.queue.now(), &self.head);
        self.queue.note(self.segments.bytes(), false);
        self.went_well(maintained);
    }

    /// Logs the first failure of a row.
    fn went_well(&mut self, done: std::io::Result<()>) -> bool {
        if let Err(e) = &done {
            if !self.failing {
                tracing::warn!(event = "journal_not_written", fault = %e);
            }
        }
        self.failing = done.is_err();
        !self.failing
    }
}
