//! What the duty holder does with its counters: those of the epoch that it holds, which gateways are asked for what
//! they had told the holder before, and calls that wait until the totals are whole.

use crate::handover::HandoverPart;
use crate::pending_calls::before;
use crate::silence::NODES_MOST;
use crate::{Counters, Incarnation, Node, Total};
use std::collections::HashMap;

/// A process that just started knows nobody: it waits so long for gateways to show, seconds.
pub const SHOW: f64 = 0.3;
/// One that is alive and does not tell is waited for no longer, seconds.
pub const TELL: f64 = 0.6;
/// Calls that wait for the totals.
const WAITING_MOST: usize = 4096;

/// A call that comes later than this behind one that overtook it is none, seconds: a gateway that was out of reach
/// for long may have gone round all numbers.
pub const LATE: f64 = 10.0;

/// A gateway, as the holder sees it.
#[derive(Clone, Copy, Debug)]
pub struct GatewayStatus {
    pub node: Node,
    /// Nothing is held against it.
    pub alive: bool,
    /// It said that it ends.
    pub leaving: bool,
    /// It is taken for ended.
    pub gone: bool,
}

/// A call that waited, and the totals that it is answered with.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub from: Incarnation,
    pub tag: u64,
    pub totals: Vec<Total>,
}

/// What is to be done after a look at the counters.
#[derive(Clone, Debug, PartialEq)]
pub enum HandoverStatus {
    /// Totals are answered. These have not told yet, though they are there: of what they count a part is counted as
    /// lost too until they do.
    Serving(Vec<Node>),
    /// These are to be asked what they had told; look again soon.
    Collecting(Vec<Node>),
    /// The totals are whole from now on: these waited, and so many gateways did not tell.
    Completed(Vec<Answer>, usize),
}

struct Held {
    epoch: u64,
    since: f64,
    counters: Counters,
    waiting: Vec<(Incarnation, u64, Vec<u64>)>,
    /// Of each gateway, its start, the newest call that was heard of it, and when.
    newest: HashMap<Node, (u32, u64, f64)>,
}

impl Held {
    /// Whether a call was made before one that was heard already: its sums are within that one's.
    fn overtaken(&mut self, now: f64, (node, incarnation): Incarnation, tag: u64) -> bool {
        let room = self.newest.len() < NODES_MOST || self.newest.contains_key(&node);
        let newest = self.newest.get(&node).filter(|n| n.0 == incarnation && now - n.2 < LATE);
        let overtaken = newest.is_some_and(|n| before(tag, n.1));
        if room && !overtaken {
            self.newest.insert(node, (incarnation, tag, now));
        }
        overtaken
    }
}

/// See the module. Only to be called with an epoch while it is held.
#[derive(Default)]
pub struct CounterHolder {
    /// Those of the epoch that was held last.
    held: Option<Held>,
}

impl CounterHolder {
    /// Turns to an epoch; returns whether its counters are new.
    pub fn start_epoch(&mut self, now: f64, epoch: u64) -> bool {
        let new = self.held.as_ref().is_none_or(|held| held.epoch != epoch);
        if new {
            let (counters, waiting) = (Counters::new(epoch), Vec::new());
            self.held = Some(Held { epoch, since: now, counters, waiting, newest: HashMap::new() });
        }
        new
    }

    /// The counters of the epoch that was held last.
    pub fn counters(&mut self) -> Option<&mut Counters> {
        self.held.as_mut().map(|held| &mut held.counters)
    }

    /// To be called some times a second, and more often while it asks for something.
    pub fn poll(&mut self, now: f64, gateways: &[GatewayStatus]) -> HandoverStatus {
        let Some(Held { since, counters, waiting, .. }) = &mut self.held else {
            return HandoverStatus::Serving(Vec::new());
        };
        counters.tick(now);
        // one that is gone without a word may go on out of sight
        gateways.iter().filter(|g| g.leaving && g.gone).for_each(|g| counters.forget(g.node));
        let untold = || gateways.iter().filter(|g| !counters.told(g.node));
        let edges: Vec<Node> = untold().filter(|g| !g.leaving).map(|g| g.node).collect();
        let asked: Vec<Node> = untold().filter(|g| g.alive).map(|g| g.node).collect();
        if counters.is_complete() {
            return HandoverStatus::Serving(asked);
        }
        let known = counters.any_told() || !asked.is_empty();
        let spent = now - *since;
        if spent < TELL && (!asked.is_empty() || !known && spent < SHOW) {
            return HandoverStatus::Collecting(asked);
        }
        counters.close(now, &edges);
        let answers = std::mem::take(waiting).into_iter().map(|(from, tag, names)| {
            let totals = names.into_iter().map(|name| counters.answer(name)).collect();
            Answer { from, tag, totals }
        });
        HandoverStatus::Completed(answers.collect(), edges.len())
    }

    /// What a gateway told the holder before this one. `epoch`: for which holder it was told; what was meant for
    /// another one is late, and the gateway tells again.
    pub fn receive_handover(&mut self, now: f64, epoch: u64, from: Incarnation, part: &HandoverPart) {
        if let Some(held) = self.held.as_mut().filter(|h| h.epoch == epoch) {
            held.counters.tell(now, from, part);
        }
    }

    /// Takes the sums of a call: name, sum, seconds that the name is kept. Returns the totals if they are whole; else
    /// the call waits. One that was overtaken on its way, by a later call over another link, adds nothing: sums
    /// would go back.
    pub fn apply_call(
        &mut self,
        now: f64,
        from: Incarnation,
        tag: u64,
        calls: impl Iterator<Item = (u64, f64, f64)>,
    ) -> Option<Vec<Total>> {
        let held = self.held.as_mut()?;
        let (whole, overtaken) = (held.counters.is_complete(), held.overtaken(now, from, tag));
        let (mut names, mut totals) = (Vec::new(), Vec::new());
        for (name, sum, life) in calls {
            if !overtaken {
                held.counters.put(now, from, name, sum, life);
            }
            match whole {
                true => totals.push(held.counters.answer(name)),
                false => names.push(name),
            }
        }
        if whole {
            return Some(totals);
        }
        if held.waiting.len() < WAITING_MOST {
            held.waiting.push((from, tag, names));
        }
        None
    }
}
