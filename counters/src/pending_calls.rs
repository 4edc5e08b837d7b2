//! A gateway's calls to the holder that wait for their answers. A call's number is its process's own: an answer to
//! an earlier start of it, one of an epoch before that under which was asked, and a second one to the same call
//! belong to nobody.

use crate::Node;
use std::collections::VecDeque;

/// PendingCalls that wait at most.
pub const WAITING_MOST: usize = 4096;

/// Whether one call of a start was made before another, by their numbers; of calls so far apart that numbers came
/// again it is not known.
pub fn before(tag: u64, other: u64) -> bool {
    ((tag as u16).wrapping_sub(other as u16) as i16) < 0
}

/// Those of one process, each with what it stands for.
#[derive(Debug)]
pub struct PendingCalls<T> {
    incarnation: u32,
    given: u16,
    waiting: VecDeque<Call<T>>,
}

#[derive(Debug)]
struct Call<T> {
    tag: u64,
    epoch: u64,
    to: Node,
    at: f64,
    what: T,
}

impl<T> PendingCalls<T> {
    /// Another start of the process has another `incarnation`.
    pub fn new(incarnation: u32) -> PendingCalls<T> {
        PendingCalls { incarnation, given: 0, waiting: VecDeque::new() }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A call to the holder of an epoch, made at `now` (seconds); returns its number, under 2^48, or with
    /// [`WAITING_MOST`] waiting `what` again.
    pub fn register(&mut self, now: f64, (epoch, to): (u64, Node), what: T) -> Result<u64, T> {
        if self.waiting.len() >= WAITING_MOST {
            return Err(what);
        }
        // far more numbers than calls that wait: one comes again long after its call is over
        self.given = self.given.wrapping_add(1);
        let tag = u64::from(self.incarnation) << 16 | u64::from(self.given);
        self.waiting.push_back(Call { tag, epoch, to, at: now, what });
        Ok(tag)
    }

    /// An answer from that process to the call of this number: what it stands for, once. `epoch` is that under which
    /// it was counted; none: it says that it is not the holder.
    pub fn take_answered(&mut self, from: Node, tag: u64, epoch: Option<u64>) -> Option<T> {
        let its = |c: &Call<T>| c.tag == tag && c.to == from && epoch.is_none_or(|e| e >= c.epoch);
        let at = self.waiting.iter().position(its)?;
        self.waiting.remove(at).map(|c| c.what)
    }

    /// The oldest call, if it was made `wait` seconds ago or more.
    pub fn take_overdue(&mut self, now: f64, wait: f64) -> Option<T> {
        self.waiting.pop_front_if(|c| now - c.at >= wait).map(|c| c.what)
    }

    /// All that wait, oldest first: their holder holds the duty no more.
    pub fn drain(&mut self) -> Vec<T> {
        self.waiting.drain(..).map(|c| c.what).collect()
    }
}
