//! The queue of entries that wait for the writing thread.

use super::batch::{Batch, Head};
use super::format::{FRAME_HEADER_BYTES, HEADER_BYTES};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Bound on the bytes in memory that are waiting or being written.
const MAX_MEMORY_BYTES: usize = 8 << 20;
/// Longest time for which an entry that is not urgent waits for others.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Number of segments that may begin before their bytes are counted: one with the batch being written, one with the
/// waiting batch, and one during maintenance.
const MAX_UNCOUNTED_SEGMENTS: u64 = 3;

/// Entries that wait to be written, and the newest head; shared by the callers and the writing thread.
pub(super) struct Queue {
    started: Instant,
    max_bytes: u64,
    state: Mutex<State>,
    wake: Condvar,
}

struct State {
    waiting: Batch,
    /// When the first of the waiting entries was appended.
    waiting_since: Instant,
    urgent: bool,
    /// The newest head.
    head: Arc<Head>,
    /// Number of the last entry that was accepted.
    last_accepted: u64,
    /// Size of the batch that is being written.
    writing_bytes: usize,
    /// Bytes of all segments; `None`: not read yet.
    on_disk: Option<u64>,
    closed: bool,
}

/// The next task of the writing thread.
pub(super) enum Work {
    /// Write a batch. The head may cover entries of the batch, so it may be used only in segments after it.
    Write(Batch, Arc<Head>),
    /// Do maintenance with the newest head, as no entries wait.
    MaintainWith(Arc<Head>),
    /// Do maintenance with the head that is already in use.
    Maintain,
    /// End the thread.
    End,
}

impl Queue {
    pub(super) fn new(max_bytes: u64) -> Queue {
        let started = Instant::now();
        let state = State {
            waiting: Batch::default(),
            waiting_since: started,
            urgent: false,
            head: Arc::default(),
            last_accepted: 0,
            writing_bytes: 0,
            on_disk: None,
            closed: false,
        };
        Queue { started, max_bytes, state: Mutex::new(state), wake: Condvar::new() }
    }

    /// Seconds since the queue was created.
    pub(super) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub(super) fn append(&self, number: u64, entry: &[u8], keep_s: Option<f64>, urgent: bool) -> bool {
        let now = self.now();
        let mut state = self.lock();
        if number != state.last_accepted + 1
            || !state.has_room(FRAME_HEADER_BYTES + entry.len(), self.max_bytes)
        {
            return false;
        }
        if state.waiting.is_empty() {
            state.waiting_since = Instant::now();
        }
        state.waiting.push(now, number, entry, keep_s);
        state.last_accepted = number;
        state.urgent |= urgent;
        drop(state);
        self.wake.notify_one();
        true
    }

    pub(super) fn set_head(&self, entries: &[Vec<u8>]) {
        let mut state = self.lock();
        state.head = Arc::new(Head::new(state.last_accepted, entries));
    }

    pub(super) fn bytes_on_disk(&self) -> u64 {
        self.lock().on_disk.unwrap_or(0)
    }

    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.wake.notify_one();
    }

    /// Sets the bytes on disk. `written`: whether the current batch has been written.
    pub(super) fn set_bytes_on_disk(&self, on_disk: u64, written: bool) {
        let mut state = self.lock();
        state.on_disk = Some(on_disk);
        if written {
            state.writing_bytes = 0;
        }
    }

    /// Waits for the next task. `maintenance`: the time of the next maintenance.
    pub(super) fn next_work(&self, maintenance: Instant) -> Work {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            if maintenance <= now && !state.closed {
                return state.maintenance();
            }
            let due = state.due();
            if due.is_some_and(|due| due <= now) {
                return state.take_batch();
            }
            if state.closed {
                return Work::End;
            }
            let until = due.map_or(maintenance, |due| due.min(maintenance));
            state = self.wait(state, until - now);
        }
    }

    /// Waits for this time, or until the queue is closed; returns whether it is closed.
    pub(super) fn pause(&self, pause: Duration) -> bool {
        let until = Instant::now() + pause;
        let mut state = self.lock();
        while !state.closed {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.wait(state, left);
        }
        state.closed
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>, timeout: Duration) -> MutexGuard<'a, State> {
        let waited = self.wake.wait_timeout(state, timeout);
        waited.unwrap_or_else(|e| e.into_inner()).0
    }
}

impl State {
    fn has_room(&self, bytes: usize, max_bytes: u64) -> bool {
        let Some(on_disk) = self.on_disk else { return false };
        let memory = self.writing_bytes + self.waiting.bytes.len() + bytes;
        let uncounted = MAX_UNCOUNTED_SEGMENTS * (HEADER_BYTES + self.head.bytes.len()) as u64;
        memory <= MAX_MEMORY_BYTES && on_disk + memory as u64 + uncounted <= max_bytes
    }

    /// The time at which the waiting entries are to be written.
    fn due(&self) -> Option<Instant> {
        let immediate = self.urgent || self.closed;
        (!self.waiting.is_empty()).then_some(if immediate {
            self.waiting_since
        } else {
            self.waiting_since + BATCH_DELAY
        })
    }

    fn take_batch(&mut self) -> Work {
        let batch = std::mem::take(&mut self.waiting);
        self.urgent = false;
        self.writing_bytes = batch.bytes.len();
        Work::Write(batch, self.head.clone())
    }

    fn maintenance(&self) -> Work {
        if self.waiting.is_empty() {
            Work::MaintainWith(self.head.clone())
        } else {
            Work::Maintain
        }
    }
}
