//! A thread that writes states to the disk. At most one state, the newest, waits for it.

use crate::{Disk, Folder, Stored, MAX_LOG_BYTES};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// Pause before a disk that can't be read is tried again.
const RETRY: Duration = Duration::from_millis(200);
/// Number of saves that may wait for the same write; if there are more, the oldest is reported as failed.
const MAX_WAITING_SAVES: usize = 64;

/// The result of a save: its ticket, and whether its state or a later one is on the disk.
pub type SaveResult = (u64, bool);

/// The handle of the writing thread. The thread ends when the handle is dropped.
pub struct Store {
    queue: Arc<Queue>,
    results: UnboundedSender<SaveResult>,
}

/// A store and the channels on which it reports.
pub struct OpenedStore {
    /// The handle of the store.
    pub store: Store,
    /// The content of the disk, once it has been read.
    pub content: oneshot::Receiver<Stored>,
    /// The results of saves, one for each save.
    pub results: UnboundedReceiver<SaveResult>,
}

/// The state to write next. Each state replaces all earlier ones, so of the states that arrive during a write only the
/// last is kept.
#[derive(Default)]
struct Queue {
    waiting: Mutex<Waiting>,
    wake: Condvar,
}

#[derive(Default)]
struct Waiting {
    tickets: Vec<u64>,
    state: Vec<u8>,
    closed: bool,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Store {
    /// Starts a thread that reads the disk and then writes states. A disk that can't be read is retried until it can be,
    /// since it may hold the state with which this member voted. Fails if the thread can't be started.
    pub fn open(folder: impl Folder + Clone + Send + 'static) -> eyre::Result<OpenedStore> {
        let (send_content, content) = oneshot::channel();
        let (send_result, results) = unbounded_channel();
        let queue = Arc::new(Queue::default());
        let store = Store { queue: queue.clone(), results: send_result.clone() };
        let run = move || run(folder, send_content, &queue, &send_result);
        std::thread::Builder::new().name("disk".into()).stack_size(256 << 10).spawn(run)?;
        Ok(OpenedStore { store, content, results })
    }

    /// Saves a state. Its result is sent to [`OpenedStore::results`].
    pub fn save(&self, ticket: u64, state: Vec<u8>) {
        let mut waiting = self.queue.lock();
        if waiting.tickets.len() == MAX_WAITING_SAVES {
            let _ = self.results.send((waiting.tickets.remove(0), false));
        }
        waiting.tickets.push(ticket);
        waiting.state = state;
        drop(waiting);
        self.queue.wake.notify_one();
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.queue.lock().closed = true;
        self.queue.wake.notify_one();
    }
}

/// Reads the disk, and retries until it can be read.
fn open<F: Folder + Clone>(folder: F) -> (Disk<F>, Stored) {
    let mut logged = false;
    loop {
        match Disk::open(folder.clone(), MAX_LOG_BYTES) {
            Ok(opened) => return opened,
            Err(e) => {
                if !std::mem::replace(&mut logged, true) {
                    tracing::error!(event = "disk_unread", fault = %format!("{e:#}"));
                }
                std::thread::sleep(RETRY);
            }
        }
    }
}

/// Reads the disk and then writes states until the store is dropped.
fn run(
    folder: impl Folder + Clone,
    send_content: oneshot::Sender<Stored>,
    queue: &Queue,
    send_result: &UnboundedSender<SaveResult>,
) {
    let (mut disk, content) = open(folder);
    if content == Stored::Corrupt {
        tracing::error!(event = "disk_spoilt");
    }
    let _ = send_content.send(content);
    loop {
        let mut waiting = queue.lock();
        while waiting.tickets.is_empty() {
            if waiting.closed {
                return;
            }
            waiting = queue.wake.wait(waiting).unwrap_or_else(|e| e.into_inner());
        }
        let (tickets, state) = (std::mem::take(&mut waiting.tickets), std::mem::take(&mut waiting.state));
        drop(waiting);
        let written = disk.write(&state);
        drop(state);
        if let Err(e) = &written {
            tracing::warn!(event = "save_failed", fault = %format!("{e:#}"));
        }
        for ticket in tickets {
            if send_result.send((ticket, written.is_ok())).is_err() {
                return;
            }
        }
    }
}
