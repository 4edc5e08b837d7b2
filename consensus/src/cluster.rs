//! Cluster numbers: they distinguish the state of this cluster from that of another one, or of one that an operator has
//! since replaced by a new cluster.
//!
//! A number consists of a generation (16 bits) and a lineage (48 bits). The lineage is drawn at random with the first
//! change of a cluster and is provisional (odd) until the value that it was drawn with is known to be committed, since
//! two first changes may be in progress, one of which is dropped. Each new cluster forced by an operator starts a new
//! generation.

use crate::{Msg, Node, Output, Replica};

/// Bit of the lineage that is set while it is provisional.
const PROVISIONAL: u64 = 1;
const GENERATION_SHIFT: u32 = 48;
const LINEAGE_MASK: u64 = (1 << GENERATION_SHIFT) - 1;

/// How a received cluster number relates to the own one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relation {
    /// The same cluster, or the numbers don't allow a decision.
    Same,
    /// The received cluster was formed anew from the own one.
    Newer,
    /// The own cluster was formed anew from the received one.
    Older,
    /// Two independent clusters.
    Unrelated,
}

/// The cluster number of the value that follows a committed value with this number.
pub(crate) fn next_number(cluster: u64, random: u64) -> u64 {
    match cluster {
        0 => random & LINEAGE_MASK | 2 | PROVISIONAL,
        cluster => cluster & !PROVISIONAL,
    }
}

/// The number of a new cluster that an operator forms from the cluster with this number.
pub(crate) fn next_generation(cluster: u64, random: u64) -> u64 {
    next_number(next_number(cluster, random), random).saturating_add(1 << GENERATION_SHIFT)
}

/// Compares a received cluster number with the own one.
pub(crate) fn relation(own: u64, received: u64) -> Relation {
    let is_final = |cluster: u64| cluster != 0 && cluster & PROVISIONAL == 0;
    let succeeds = |older: u64, newer: u64| {
        let same_lineage = !is_final(older) || older & LINEAGE_MASK == newer & LINEAGE_MASK;
        is_final(newer) && newer >> GENERATION_SHIFT > older >> GENERATION_SHIFT && same_lineage
    };
    match () {
        _ if succeeds(own, received) => Relation::Newer,
        _ if succeeds(received, own) => Relation::Older,
        _ if is_final(own) && is_final(received) && own != received => Relation::Unrelated,
        _ => Relation::Same,
    }
}

/// The cluster number in a message, if it has one.
fn cluster_number(msg: &Msg) -> Option<u64> {
    match msg {
        Msg::PreVote { cluster, .. }
        | Msg::Prepare { cluster, .. }
        | Msg::Heartbeat { cluster, .. }
        | Msg::Resume { cluster, .. }
        | Msg::Superseded { cluster } => Some(*cluster),
        Msg::Accept { value, .. } | Msg::CommittedValue { value, .. } => Some(value.cluster),
        _ => None,
    }
}

impl Replica {
    /// Whether the message must be dropped because its sender's state is of another cluster. A sender of an earlier
    /// generation is notified; if this node's own generation was superseded, it discards its state.
    pub(crate) fn rejects_cluster(&mut self, from: Node, msg: &Msg, out: &mut Vec<Output>) -> bool {
        let own = self.newest_value().cluster;
        let Some(received) = cluster_number(msg).filter(|_| self.learner.is_none()) else { return false };
        match relation(own, received) {
            Relation::Same => false,
            // A resuming node is answered with the state of this node even if it is of another cluster.
            Relation::Unrelated => !matches!(msg, Msg::Resume { .. }),
            Relation::Older => {
                out.push(Output::Send(from, Msg::Superseded { cluster: own }));
                true
            }
            Relation::Newer => {
                self.discard_state(self.disk.state.incarnation, out);
                true
            }
        }
    }
}
