//! What waits for the thread that writes.

use super::batch::{Batch, Head};
use super::format::{FRAME, HEADER};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The most bytes that are in memory, waiting or being written.
const WAITING_MOST: usize = 8 << 20;
/// Entries that aren't urgent wait no longer for others.
const GATHER: Duration = Duration::from_millis(250);
/// Segments that may begin before their bytes are counted: with what is written, with what waits, and for maintenance.
const BEGUN_MOST: u64 = 3;

/// See the module.
pub(super) struct Queue {
    started: Instant,
    max_bytes: u64,
    state: Mutex<State>,
    wake: Condvar,
}

struct State {
    waiting: Batch,
    /// When the first one of those that wait came.
    since: Instant,
    urgent: bool,
    /// The newest head.
    head: Arc<Head>,
    /// Number of the last entry that was taken.
    taken: u64,
    /// Bytes of the batch that is being written.
    in_work: usize,
    /// None: not known yet.
    on_disk: Option<u64>,
    closed: bool,
}

/// What the thread that writes does next.
pub(super) enum Work {
    /// A batch, and the head that was set by then: it may cover the batch, and is for segments behind it.
    Write(Batch, Arc<Head>),
    /// Nothing waits: the newest head.
    MaintainWith(Arc<Head>),
    Maintain,
    End,
}

impl Queue {
    pub(super) fn new(max_bytes: u64) -> Queue {
        let started = Instant::now();
        let state = State {
            waiting: Batch::default(),
            since: started,
            urgent: false,
            head: Arc::default(),
            taken: 0,
            in_work: 0,
            on_disk: None,
            closed: false,
        };
        Queue { started, max_bytes, state: Mutex::new(state), wake: Condvar::new() }
    }

    /// Seconds since it was made.
    pub(super) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub(super) fn append(&self, number: u64, entry: &[u8], keep_s: Option<f64>, urgent: bool) -> bool {
        let now = self.now();
        let mut state = self.lock();
        if number != state.taken + 1 || !state.has_room(FRAME + entry.len(), self.max_bytes) {
            return false;
        }
        if state.waiting.is_empty() {
            state.since = Instant::now();
        }
        state.waiting.push(now, number, entry, keep_s);
        state.taken = number;
        state.urgent |= urgent;
        drop(state);
        self.wake.notify_one();
        true
    }

    pub(super) fn set_head(&self, entries: &[Vec<u8>]) {
        let mut state = self.lock();
        state.head = Arc::new(Head::new(state.taken, entries));
    }

    pub(super) fn bytes_on_disk(&self) -> u64 {
        self.lock().on_disk.unwrap_or(0)
    }

    pub(super) fn close(&self) {
        self.lock().closed = true;
        self.wake.notify_one();
    }

    /// Tells what is on disk; `written`: the batch in work is.
    pub(super) fn note(&self, on_disk: u64, written: bool) {
        let mut state = self.lock();
        state.on_disk = Some(on_disk);
        if written {
            state.in_work = 0;
        }
    }

    /// Waits for what is to be done next, until the time for maintenance.
    pub(super) fn next(&self, maintenance: Instant) -> Work {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            if maintenance <= now && !state.closed {
                return state.maintenance();
            }
            let due = state.due();
            if due.is_some_and(|due| due <= now) {
                return state.take();
            }
            if state.closed {
                return Work::End;
            }
            let until = due.map_or(maintenance, |due| due.min(maintenance));
            state = self.wait(state, until - now);
        }
    }

    /// Waits for so long, or until it is closed; returns whether it is.
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

    fn wait<'a>(&self, state: MutexGuard<'a, State>, most: Duration) -> MutexGuard<'a, State> {
        let waited = self.wake.wait_timeout(state, most);
        waited.unwrap_or_else(|e| e.into_inner()).0
    }
}

impl State {
    fn has_room(&self, bytes: usize, max_bytes: u64) -> bool {
        let Some(on_disk) = self.on_disk else { return false };
        let memory = self.in_work + self.waiting.bytes.len() + bytes;
        let begun = BEGUN_MOST * (HEADER + self.head.bytes.len()) as u64;
        memory <= WAITING_MOST && on_disk + memory as u64 + begun <= max_bytes
    }

    /// When what waits is to be written.
    fn due(&self) -> Option<Instant> {
        let at_once = self.urgent || self.closed;
        (!self.waiting.is_empty()).then_some(if at_once { self.since } else { self.since + GATHER })
    }

    fn take(&mut self) -> Work {
        let batch = std::mem::take(&mut self.waiting);
        self.urgent = false;
        self.in_work = batch.bytes.len();
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
