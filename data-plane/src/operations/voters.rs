//! The voters that a claim is sent to: the machines of the core, nearest first.

use super::Operations;
use lupinledge_membership::{Member, Standing};
use lupinledge_messaging::Node;

/// Spreads the messages to another region over the machines there (a multiplier of Fibonacci hashing).
const HASH_MULTIPLIER: u32 = 0x9e37_79b1;

/// How near a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    OtherRegion,
}

/// The location of this gateway.
#[derive(Clone, Debug)]
pub struct Location {
    /// The gateway's node number.
    pub node: Node,
    /// Its zone.
    pub zone: String,
    /// The region of its zone.
    pub region: String,
}

impl Location {
    /// The core machines among the members, nearest first; those that seem to be gone come after all others.
    pub fn voters<'a>(&self, members: impl Iterator<Item = &'a Member>) -> Vec<Node> {
        let order = |member: &Member| {
            let spread = (member.node ^ self.node).wrapping_mul(HASH_MULTIPLIER);
            (member.standing != Standing::Alive, self.distance(member), spread)
        };
        let core = members.filter(|member| member.card.core);
        let mut voters: Vec<_> = core.map(|member| (order(member), member.node)).collect();
        voters.sort_unstable();
        voters.into_iter().map(|(_, node)| node).collect()
    }

    /// How near a member is to this gateway.
    fn distance(&self, member: &Member) -> Distance {
        if member.card.zone == self.zone {
            Distance::Zone
        } else if member.card.region == self.region {
            Distance::Region
        } else {
            Distance::OtherRegion
        }
    }
}

impl Operations {
    /// The voters to send a claim to, in this order.
    pub(super) fn voters(&self) -> Vec<Node> {
        self.gossip.with_membership(|membership| self.location.voters(membership.members()))
    }

    /// The zone of a process, if it is known.
    pub(super) fn zone_of(&self, node: Node) -> Option<String> {
        self.gossip
            .with_membership(|membership| membership.member(node).map(|member| member.card.zone.clone()))
    }

    /// Whether a process may still answer.
    pub(super) fn may_answer(&self, node: Node) -> bool {
        let not_gone = |member: &Member| member.standing != Standing::Gone;
        self.gossip.with_membership(|membership| membership.member(node).is_some_and(not_gone))
    }
}

#[cfg(test)]
mod tests;
