//! Whom a claim is sent to: the machines of the core by nearness.

use super::Operations;
use lupinledge_membership::{Member, Standing};
use lupinledge_messaging::Node;

/// Spreads what goes to another region over the machines there (a multiplier of Fibonacci hashing).
const SPREAD: u32 = 0x9e37_79b1;

/// How near a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    Afar,
}

/// Where this gateway is.
#[derive(Clone, Debug)]
pub struct Location {
    pub node: Node,
    pub zone: String,
    pub region: String,
}

impl Location {
    /// The machines of the core among these, the nearest first, and behind all others those that seem to be gone.
    pub fn voters<'a>(&self, members: impl Iterator<Item = &'a Member>) -> Vec<Node> {
        let order = |member: &Member| {
            let spread = (member.node ^ self.node).wrapping_mul(SPREAD);
            (member.standing != Standing::Alive, self.distance(member), spread)
        };
        let core = members.filter(|member| member.card.core);
        let mut voters: Vec<_> = core.map(|member| (order(member), member.node)).collect();
        voters.sort_unstable();
        voters.into_iter().map(|(_, node)| node).collect()
    }

    fn distance(&self, member: &Member) -> Distance {
        if member.card.zone == self.zone {
            Distance::Zone
        } else if member.card.region == self.region {
            Distance::Region
        } else {
            Distance::Afar
        }
    }
}

impl Operations {
    /// Whom to send a claim to, in this order.
    pub(super) fn voters(&self) -> Vec<Node> {
        self.gossip.with_membership(|swarm| self.place.voters(swarm.members()))
    }

    /// The zone of a process, if it is known.
    pub(super) fn zone_of(&self, node: Node) -> Option<String> {
        self.gossip.with_membership(|swarm| swarm.member(node).map(|member| member.card.zone.clone()))
    }

    /// Whether it is of use to ask a process.
    pub(super) fn may_answer(&self, node: Node) -> bool {
        let there = |member: &Member| member.standing != Standing::Gone;
        self.gossip.with_membership(|swarm| swarm.member(node).is_some_and(there))
    }
}

#[cfg(test)]
mod tests;
