//! The thread that writes, and what waits for it: at most one state, the newest.

use crate::{Disk, Folder, Stored, MAX_LOG_BYTES};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// A disk that can't be read is tried again so soon.
const UNREAD: Duration = Duration::from_millis(200);
/// Saves that wait for one end; of more, the oldest ends as not saved.
const TICKETS_MOST: usize = 64;

/// A save that has come to its end: its ticket, and whether the state, or a later one, is on the disk.
pub type SaveResult = (u64, bool);

/// The handle of the thread that writes. The thread ends with it.
pub struct Store {
    next: Arc<Next>,
    results: UnboundedSender<SaveResult>,
}

/// A store with what it has to tell.
pub struct OpenedStore {
    pub store: Store,
    /// What was on the disk.
    pub content: oneshot::Receiver<Stored>,
    /// The ends of saves; as many as there were saves.
    pub results: UnboundedReceiver<SaveResult>,
}

/// What is to be written next. Each state stands for all before it: of those that come while the disk is at work,
/// the last is enough, and no more than one is held.
#[derive(Default)]
struct Next {
    waits: Mutex<Waits>,
    wake: Condvar,
}

#[derive(Default)]
struct Waits {
    tickets: Vec<u64>,
    state: Vec<u8>,
    closed: bool,
}

impl Next {
    fn lock(&self) -> MutexGuard<'_, Waits> {
        self.waits.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Store {
    /// Reads what is there and begins to take states. A disk that can't be read is tried again until it can: what it
    /// holds may count. Errors: no thread.
    pub fn open(folder: impl Folder + Clone + Send + 'static) -> eyre::Result<OpenedStore> {
        let (first, content) = oneshot::channel();
        let (done, results) = unbounded_channel();
        let next = Arc::new(Next::default());
        let store = Store { next: next.clone(), results: done.clone() };
        let run = move || run(folder, first, &next, &done);
        std::thread::Builder::new().name("disk".into()).stack_size(256 << 10).spawn(run)?;
        Ok(OpenedStore { store, content, results })
    }

    /// Hands a state over. Its end is told on the channel of ends.
    pub fn save(&self, ticket: u64, state: Vec<u8>) {
        let mut waits = self.next.lock();
        if waits.tickets.len() == TICKETS_MOST {
            let _ = self.results.send((waits.tickets.remove(0), false));
        }
        waits.tickets.push(ticket);
        waits.state = state;
        drop(waits);
        self.next.wake.notify_one();
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.next.lock().closed = true;
        self.next.wake.notify_one();
    }
}

fn open<F: Folder + Clone>(folder: F) -> (Disk<F>, Stored) {
    let mut told = false;
    loop {
        match Disk::open(folder.clone(), MAX_LOG_BYTES) {
            Ok(opened) => return opened,
            Err(e) => {
                if !std::mem::replace(&mut told, true) {
                    tracing::error!(event = "disk_unread", fault = %format!("{e:#}"));
                }
                std::thread::sleep(UNREAD);
            }
        }
    }
}

fn run(
    folder: impl Folder + Clone,
    found: oneshot::Sender<Stored>,
    next: &Next,
    done: &UnboundedSender<SaveResult>,
) {
    let (mut disk, held) = open(folder);
    if held == Stored::Corrupt {
        tracing::error!(event = "disk_spoilt");
    }
    let _ = found.send(held);
    loop {
        let mut waits = next.lock();
        while waits.tickets.is_empty() {
            if waits.closed {
                return;
            }
            waits = next.wake.wait(waits).unwrap_or_else(|e| e.into_inner());
        }
        let (tickets, state) = (std::mem::take(&mut waits.tickets), std::mem::take(&mut waits.state));
        drop(waits);
        let written = disk.write(&state);
        drop(state);
        if let Err(e) = &written {
            tracing::warn!(event = "save_failed", fault = %format!("{e:#}"));
        }
        for ticket in tickets {
            if done.send((ticket, written.is_ok())).is_err() {
                return;
            }
        }
    }
}
