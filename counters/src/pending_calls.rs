//! A gateway's calls to the holder that wait for their answers. Call numbers belong to one start of the process. An
//! answer is dropped if it is for an earlier start, is from an epoch before the one that was called, or is the second
//! answer to the same call.

use crate::Node;
use std::collections::VecDeque;

/// Maximum number of calls that wait.
pub const MAX_WAITING: usize = 4096;

/// Whether a call of one process was made before another, by their numbers. Undefined for calls so far apart that the
/// numbers have wrapped around.
pub fn before(tag: u64, other: u64) -> bool {
    ((tag as u16).wrapping_sub(other as u16) as i16) < 0
}

/// The waiting calls of one process, each with a value that the caller attached to it.
#[derive(Debug)]
pub struct PendingCalls<T> {
    incarnation: u32,
    last_number: u16,
    waiting: VecDeque<Call<T>>,
}

#[derive(Debug)]
struct Call<T> {
    tag: u64,
    epoch: u64,
    to: Node,
    at: f64,
    value: T,
}

impl<T> PendingCalls<T> {
    /// No calls yet. Each start of the process must have a different `incarnation`.
    pub fn new(incarnation: u32) -> PendingCalls<T> {
        PendingCalls { incarnation, last_number: 0, waiting: VecDeque::new() }
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Registers a call to the holder of an epoch, made at `now` (in seconds); returns its number, below 2^48. Returns
    /// `value` as the error if [`MAX_WAITING`] calls wait already.
    pub fn register(&mut self, now: f64, (epoch, to): (u64, Node), value: T) -> Result<u64, T> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(value);
        }
        // there are far more numbers than waiting calls, so a number is reused only long after its call has ended
        self.last_number = self.last_number.wrapping_add(1);
        let tag = u64::from(self.incarnation) << 16 | u64::from(self.last_number);
        self.waiting.push_back(Call { tag, epoch, to, at: now, value });
        Ok(tag)
    }

    /// Removes the call that an answer from a process belongs to; returns its value. `epoch` is the epoch under which
    /// the call was counted, or `None` if the process answered that it is not the holder.
    pub fn take_answered(&mut self, from: Node, tag: u64, epoch: Option<u64>) -> Option<T> {
        let matches = |c: &Call<T>| c.tag == tag && c.to == from && epoch.is_none_or(|e| e >= c.epoch);
        let at = self.waiting.iter().position(matches)?;
        self.waiting.remove(at).map(|c| c.value)
    }

    /// Removes the oldest call if it was made `timeout` seconds ago or more.
    pub fn take_overdue(&mut self, now: f64, timeout: f64) -> Option<T> {
        self.waiting.pop_front_if(|c| now - c.at >= timeout).map(|c| c.value)
    }

    /// Removes all calls, oldest first; used when their holder has lost its role.
    pub fn drain(&mut self) -> Vec<T> {
        self.waiting.drain(..).map(|c| c.value).collect()
    }
}
