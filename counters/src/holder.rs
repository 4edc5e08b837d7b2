//! How the holder runs its counters: the counters of the current epoch, which gateways are asked for their handover,
//! and calls that wait until the totals are complete.

use crate::handover::HandoverPart;
use crate::pending_calls::before;
use crate::silence::MAX_NODES;
use crate::{Counters, Incarnation, Node, Total};
use std::collections::HashMap;

/// How long a process that has no gateways in its membership yet waits for them to appear, in seconds.
pub const DISCOVERY_TIMEOUT: f64 = 0.3;
/// How long the handover of a gateway that is alive is waited for, in seconds.
pub const HANDOVER_TIMEOUT: f64 = 0.6;
/// Maximum number of calls that wait for the totals.
const MAX_WAITING: usize = 4096;

/// How long the newest call number of a gateway is used to detect overtaken calls, in seconds: the numbers of a gateway
/// that was unreachable for longer may have wrapped around.
pub const REORDER_WINDOW: f64 = 10.0;

/// A gateway in the holder's membership view.
#[derive(Clone, Copy, Debug)]
pub struct GatewayStatus {
    /// Its address.
    pub node: Node,
    /// Not suspected by the failure detector.
    pub alive: bool,
    /// It announced that it is shutting down.
    pub leaving: bool,
    /// It is considered dead.
    pub gone: bool,
}

/// The answer to a call that waited for the totals.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The process that made the call.
    pub from: Incarnation,
    /// The number of the call.
    pub tag: u64,
    /// The totals, in the order of the names in the call.
    pub totals: Vec<Total>,
}

/// State of the handover, and what the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverStatus {
    /// Totals are answered. The listed gateways are reachable but have not handed over yet and must be asked to; until
    /// they do, a part of their sums is also counted as lost.
    Serving(Vec<Node>),
    /// Totals are not complete. The listed gateways must be asked for their handover; poll again soon.
    Collecting(Vec<Node>),
    /// The totals have just become complete: the answers to the calls that waited, and the number of gateways whose
    /// handover is missing.
    Completed(Vec<Answer>, usize),
}

struct EpochState {
    epoch: u64,
    since: f64,
    counters: Counters,
    waiting: Vec<(Incarnation, u64, Vec<u64>)>,
    /// By gateway: its incarnation, the newest call number received, and when it was received.
    newest: HashMap<Node, (u32, u64, f64)>,
}

impl EpochState {
    /// Whether a call was made before one that was received already, whose sums include those of this call.
    fn is_overtaken(&mut self, now: f64, (node, incarnation): Incarnation, tag: u64) -> bool {
        let has_room = self.newest.len() < MAX_NODES || self.newest.contains_key(&node);
        let newest = self.newest.get(&node).filter(|n| n.0 == incarnation && now - n.2 < REORDER_WINDOW);
        let overtaken = newest.is_some_and(|n| before(tag, n.1));
        if has_room && !overtaken {
            self.newest.insert(node, (incarnation, tag, now));
        }
        overtaken
    }
}

/// The counters of the process that is the holder. May only be called with an epoch while it is held.
#[derive(Default)]
pub struct CounterHolder {
    /// The state of the epoch that was held last.
    state: Option<EpochState>,
}

impl CounterHolder {
    /// Switches to an epoch; returns whether its counters were newly created.
    pub fn start_epoch(&mut self, now: f64, epoch: u64) -> bool {
        let new = self.state.as_ref().is_none_or(|state| state.epoch != epoch);
        if new {
            let (counters, waiting) = (Counters::new(epoch), Vec::new());
            self.state = Some(EpochState { epoch, since: now, counters, waiting, newest: HashMap::new() });
        }
        new
    }

    /// The counters of the epoch that was held last.
    pub fn counters(&mut self) -> Option<&mut Counters> {
        self.state.as_mut().map(|state| &mut state.counters)
    }

    /// Must be called several times a second, and more often while it returns [`HandoverStatus::Collecting`].
    pub fn poll(&mut self, now: f64, gateways: &[GatewayStatus]) -> HandoverStatus {
        let Some(EpochState { since, counters, waiting, .. }) = &mut self.state else {
            return HandoverStatus::Serving(Vec::new());
        };
        counters.tick(now);
        // a gateway that did not announce its shutdown may go on serving while unreachable
        gateways.iter().filter(|g| g.leaving && g.gone).for_each(|g| counters.remove_gateway(g.node));
        let missing = || gateways.iter().filter(|g| !counters.has_handover_from(g.node));
        let unreported: Vec<Node> = missing().filter(|g| !g.leaving).map(|g| g.node).collect();
        let reachable: Vec<Node> = missing().filter(|g| g.alive).map(|g| g.node).collect();
        if counters.is_complete() {
            return HandoverStatus::Serving(reachable);
        }
        let any_gateway = counters.has_any_handover() || !reachable.is_empty();
        let elapsed = now - *since;
        if elapsed < HANDOVER_TIMEOUT
            && (!reachable.is_empty() || !any_gateway && elapsed < DISCOVERY_TIMEOUT)
        {
            return HandoverStatus::Collecting(reachable);
        }
        counters.complete_handover(now, &unreported);
        let answers = std::mem::take(waiting).into_iter().map(|(from, tag, names)| {
            let totals = names.into_iter().map(|name| counters.answer(name)).collect();
            Answer { from, tag, totals }
        });
        HandoverStatus::Completed(answers.collect(), unreported.len())
    }

    /// Receives what a gateway had reported to the previous holder. `epoch` is the epoch that the gateway sent it for; a
    /// handover for another epoch is late and ignored, and the gateway sends it again.
    pub fn receive_handover(&mut self, now: f64, epoch: u64, from: Incarnation, part: &HandoverPart) {
        if let Some(state) = self.state.as_mut().filter(|s| s.epoch == epoch) {
            state.counters.receive_handover(now, from, part);
        }
    }

    /// Records the sums of a call: name, sum, and seconds that the name is kept. Returns the totals if they are complete;
    /// otherwise the call waits. A call that was overtaken by a later one on another connection records nothing, as
    /// the sums would go back.
    pub fn apply_call(
        &mut self,
        now: f64,
        from: Incarnation,
        tag: u64,
        calls: impl Iterator<Item = (u64, f64, f64)>,
    ) -> Option<Vec<Total>> {
        let state = self.state.as_mut()?;
        let (complete, overtaken) = (state.counters.is_complete(), state.is_overtaken(now, from, tag));
        let (mut names, mut totals) = (Vec::new(), Vec::new());
        for (name, sum, lifetime) in calls {
            if !overtaken {
                state.counters.record_sum(now, from, name, sum, lifetime);
            }
            match complete {
                true => totals.push(state.counters.answer(name)),
                false => names.push(name),
            }
        }
        if complete {
            return Some(totals);
        }
        if state.waiting.len() < MAX_WAITING {
            state.waiting.push((from, tag, names));
        }
        None
    }
}
