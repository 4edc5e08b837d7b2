//! A queue that runs changes one after the other: the next one starts when the one before it is settled.
//!
//! A caller waits only a second and then sends its order again, but a commit may take longer. A configuration
//! therefore keeps its place after its caller has left: it names the version it builds on, so committing it late does
//! no harm. The same configuration sent again joins the entry that is queued or running. An order about a zone names
//! no version, so a late copy can't be recognized: it is run only while its caller waits. Orders about zones go ahead
//! of configurations, since every second of delay matters for them.

use crate::accepted::{body_hash, BodyHash};
use std::collections::VecDeque;

/// The most changes in the queue.
pub const MAX_QUEUED: usize = 64;
/// The most bytes of all queued configurations together. A single one is accepted at any size.
pub const MAX_QUEUED_BYTES: usize = 24 << 20;

/// Identifies a caller; assigned by [`ChangeQueue::enqueue`].
pub type CallerId = u64;

/// A change, with every caller that waits for its result.
struct Entry<C> {
    command: C,
    /// Hash and length of the body if the change is a configuration.
    body: Option<(BodyHash, usize)>,
    callers: Vec<CallerId>,
}

/// The queue of changes, see the module. `C` is the caller's representation of a change.
pub struct ChangeQueue<C> {
    zone_orders: VecDeque<Entry<C>>,
    configs: VecDeque<Entry<C>>,
    running: Option<Entry<()>>,
    last_caller: CallerId,
}

impl<C> Default for ChangeQueue<C> {
    fn default() -> ChangeQueue<C> {
        ChangeQueue { zone_orders: VecDeque::new(), configs: VecDeque::new(), running: None, last_caller: 0 }
    }
}

impl<C> ChangeQueue<C> {
    /// Adds a change, with its body if it is a configuration. Returns `None` if the queue is full.
    pub fn enqueue(&mut self, command: C, body: Option<&[u8]>) -> Option<CallerId> {
        let caller = self.last_caller + 1;
        let body = body.map(|body| (body_hash(body), body.len()));
        let same = |other: &Option<(BodyHash, usize)>| body.is_some() && *other == body;
        let running = self.running.iter_mut().map(|entry| (&entry.body, &mut entry.callers));
        let queued = self.configs.iter_mut().map(|entry| (&entry.body, &mut entry.callers));
        if let Some((_, callers)) = running.chain(queued).find(|entry| same(entry.0)) {
            callers.push(caller);
        } else {
            let bytes = |entry: &Entry<C>| entry.body.map_or(0, |body| body.1);
            let queued_bytes: usize = self.configs.iter().map(bytes).sum();
            let too_large =
                queued_bytes > 0 && body.is_some_and(|body| queued_bytes + body.1 > MAX_QUEUED_BYTES);
            if self.queued() >= MAX_QUEUED || too_large {
                return None;
            }
            let queue = if body.is_some() { &mut self.configs } else { &mut self.zone_orders };
            queue.push_back(Entry { command, body, callers: vec![caller] });
        }
        self.last_caller = caller;
        Some(caller)
    }

    /// Removes a caller that no longer waits, and with it an order about a zone that no other caller waits for.
    pub fn remove_caller(&mut self, caller: CallerId) {
        let running = self.running.iter_mut().map(|entry| &mut entry.callers);
        let queued = self.zone_orders.iter_mut().chain(&mut self.configs).map(|entry| &mut entry.callers);
        running.chain(queued).for_each(|callers| callers.retain(|other| *other != caller));
        self.zone_orders.retain(|entry| !entry.callers.is_empty());
    }

    /// Starts the next change. Returns `None` if the queue is empty or a change is running.
    pub fn start_next(&mut self) -> Option<C> {
        if self.running.is_some() {
            return None;
        }
        let Entry { command, body, callers } =
            self.zone_orders.pop_front().or_else(|| self.configs.pop_front())?;
        self.running = Some(Entry { command: (), body, callers });
        Some(command)
    }

    /// Whether any caller waits for the running change.
    pub fn has_waiting_callers(&self) -> bool {
        self.running.as_ref().is_some_and(|entry| !entry.callers.is_empty())
    }

    /// Marks the running change as settled, whether committed or refused. Returns the callers that wait for the result.
    pub fn finish(&mut self) -> Vec<CallerId> {
        self.running.take().map_or(Vec::new(), |entry| entry.callers)
    }

    /// The number of queued changes, without the running one.
    pub fn queued(&self) -> usize {
        self.zone_orders.len() + self.configs.len()
    }

    /// Whether a change is running.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }
}
