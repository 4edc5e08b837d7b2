//! Whose turn it is: changes are run one after the other, each settled before the next is judged.
//!
//! Callers wait for a second only, and send again; a commit may take longer. So a configuration keeps its place when
//! its caller has gone (it names its base: a late copy does no harm), and the same one sent again waits with the first
//! instead of after it. An order about a zone names nothing that a late copy could be told by: it is run only while its
//! caller waits, and ahead of configurations, since every second of it counts.

use crate::accepted::{body_hash, BodyHash};
use std::collections::VecDeque;

/// Changes that may wait for their turn.
pub const MAX_QUEUED: usize = 64;
/// Bytes of the configurations among them, beside one of any size.
pub const MAX_QUEUED_BYTES: usize = 24 << 20;

/// Number of a caller, from [`ChangeQueue::arrive`].
pub type CallerId = u64;

/// A change with all who wait for what becomes of it.
struct Turn<C> {
    command: C,
    /// Of a configuration: hash and length.
    body: Option<(BodyHash, usize)>,
    callers: Vec<CallerId>,
}

/// See the module. `C` is a change as the caller of this has it.
pub struct ChangeQueue<C> {
    zones: VecDeque<Turn<C>>,
    configs: VecDeque<Turn<C>>,
    running: Option<Turn<()>>,
    callers: CallerId,
}

impl<C> Default for ChangeQueue<C> {
    fn default() -> ChangeQueue<C> {
        ChangeQueue { zones: VecDeque::new(), configs: VecDeque::new(), running: None, callers: 0 }
    }
}

impl<C> ChangeQueue<C> {
    /// A change comes in, with the body if it puts a configuration. `None`: too many wait.
    pub fn enqueue(&mut self, command: C, body: Option<&[u8]>) -> Option<CallerId> {
        let caller = self.callers + 1;
        let body = body.map(|body| (body_hash(body), body.len()));
        let same = |other: &Option<(BodyHash, usize)>| body.is_some() && *other == body;
        let running = self.running.iter_mut().map(|turn| (&turn.body, &mut turn.callers));
        let waiting = self.configs.iter_mut().map(|turn| (&turn.body, &mut turn.callers));
        if let Some((_, callers)) = running.chain(waiting).find(|turn| same(turn.0)) {
            callers.push(caller);
        } else {
            let bytes = |turn: &Turn<C>| turn.body.map_or(0, |body| body.1);
            let held: usize = self.configs.iter().map(bytes).sum();
            let over = held > 0 && body.is_some_and(|body| held + body.1 > MAX_QUEUED_BYTES);
            if self.queued() >= MAX_QUEUED || over {
                return None;
            }
            let queue = if body.is_some() { &mut self.configs } else { &mut self.zones };
            queue.push_back(Turn { command, body, callers: vec![caller] });
        }
        self.callers = caller;
        Some(caller)
    }

    /// A caller waits no more.
    pub fn remove_caller(&mut self, caller: CallerId) {
        let running = self.running.iter_mut().map(|turn| &mut turn.callers);
        let waiting = self.zones.iter_mut().chain(&mut self.configs).map(|turn| &mut turn.callers);
        running.chain(waiting).for_each(|callers| callers.retain(|other| *other != caller));
        self.zones.retain(|turn| !turn.callers.is_empty());
    }

    /// Begins the next change. `None`: there is none, or one is not settled yet.
    pub fn start_next(&mut self) -> Option<C> {
        if self.running.is_some() {
            return None;
        }
        let Turn { command, body, callers } = self.zones.pop_front().or_else(|| self.configs.pop_front())?;
        self.running = Some(Turn { command: (), body, callers });
        Some(command)
    }

    /// Whether anybody waits for the change that runs.
    pub fn has_waiting_callers(&self) -> bool {
        self.running.as_ref().is_some_and(|turn| !turn.callers.is_empty())
    }

    /// The change that runs is settled, in or out; returns who is to be told.
    pub fn finish(&mut self) -> Vec<CallerId> {
        self.running.take().map_or(Vec::new(), |turn| turn.callers)
    }

    /// Changes that wait for their turn.
    pub fn queued(&self) -> usize {
        self.zones.len() + self.configs.len()
    }

    /// Whether a change runs.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }
}
