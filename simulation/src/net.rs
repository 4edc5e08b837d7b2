//! The simulated network: decides which messages arrive, and when.

use crate::Node;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Shortest time until a connection retransmits a lost message, seconds; up to half of it is added at random.
const RETRANSMIT_DELAY: f64 = 0.2;

/// Faults and delays of the network.
#[derive(Clone, Debug, Default)]
pub struct Net {
    /// Messages from the first node to the second are lost.
    pub cuts: BTreeSet<(Node, Node)>,
    /// Percentage of messages that are lost.
    pub loss_percent: u32,
    /// Longest delay of a message that is neither late nor retransmitted, seconds.
    pub max_delay: f64,
    /// Percentage of messages that arrive up to three seconds late.
    pub late_percent: u32,
    /// Number of messages sent.
    pub messages_sent: u64,
    /// The arrival time of the last message on each connection.
    last_arrivals: BTreeMap<(Node, Node), f64>,
}

impl Net {
    /// A network that delays messages by up to `max_delay` seconds and loses the given percentage of them.
    pub fn new(loss_percent: u32, max_delay: f64) -> Net {
        Net { loss_percent, max_delay, ..Net::default() }
    }

    /// The arrival times of the copies of a message. A connection (`reliable`) keeps the order and retransmits what
    /// is lost, unless the route is cut. A datagram may be lost or arrive twice.
    pub fn arrivals(
        &mut self,
        rng: &mut Rng,
        now: f64,
        (from, to): (Node, Node),
        reliable: bool,
    ) -> Vec<f64> {
        self.messages_sent += 1;
        if self.cuts.contains(&(from, to)) {
            return Vec::new();
        }
        let copies = if !reliable && rng.u32(..100) < 2 { 2 } else { 1 };
        let mut arrivals = Vec::new();
        for _ in 0..copies {
            let lost = rng.u32(..100) < self.loss_percent;
            if lost && !reliable {
                continue;
            }
            let retransmit = if lost { RETRANSMIT_DELAY * (1.0 + 0.5 * rng.f64()) } else { 0.0 };
            let late = if rng.u32(..100) < self.late_percent { 3.0 * rng.f64() } else { 0.0 };
            let mut at = now + self.max_delay * (0.2 + rng.f64() * 0.8) + late + retransmit;
            if reliable {
                let last = self.last_arrivals.entry((from, to)).or_insert(at);
                at = at.max(*last);
                *last = at;
            }
            arrivals.push(at);
        }
        arrivals
    }

    /// Cuts all routes between the two sides, in both directions.
    pub fn cut(&mut self, left: &[Node], right: &[Node]) {
        for &a in left {
            self.cuts.extend(right.iter().flat_map(|&b| [(a, b), (b, a)]));
        }
    }
}
