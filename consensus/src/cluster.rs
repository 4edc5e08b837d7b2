//! Numbers of clusters: they tell a folder of another cluster, or of one that was founded anew since, from an own one.
//!
//! A number is a generation (16 bits) and a lineage (48 bits). The lineage is drawn with the first change of a cluster
//! and counts once the value that it was drawn with is known to be committed, since two first changes may be on their
//! way, of which one is dropped; until then it is odd. Each founding anew by an operator begins a generation.

use crate::{Msg, Node, Output, Replica};

const DRAWN: u64 = 1;
const GENERATION: u32 = 48;
const LINEAGE: u64 = (1 << GENERATION) - 1;

/// What the number that another one tells means to the own one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relation {
    /// The same cluster, or that can't be told.
    Same,
    /// That one was founded anew from the own one.
    Newer,
    /// The own one was founded anew from that one.
    Older,
    /// They have nothing to do with each other.
    Other,
}

/// The number that the value after one with this number bears; that one is committed.
pub(crate) fn next(cluster: u64, draw: u64) -> u64 {
    match cluster {
        0 => draw & LINEAGE | 2 | DRAWN,
        cluster => cluster & !DRAWN,
    }
}

/// The number of a cluster that is founded anew from one.
pub(crate) fn founded_anew(cluster: u64, draw: u64) -> u64 {
    next(next(cluster, draw), draw).saturating_add(1 << GENERATION)
}

pub(crate) fn relation(own: u64, told: u64) -> Relation {
    let counts = |cluster: u64| cluster != 0 && cluster & DRAWN == 0;
    let related = |older: u64, newer: u64| {
        let lineage = !counts(older) || older & LINEAGE == newer & LINEAGE;
        counts(newer) && newer >> GENERATION > older >> GENERATION && lineage
    };
    match () {
        _ if related(own, told) => Relation::Newer,
        _ if related(told, own) => Relation::Older,
        _ if counts(own) && counts(told) && own != told => Relation::Other,
        _ => Relation::Same,
    }
}

/// The number that a message tells.
fn told(msg: &Msg) -> Option<u64> {
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
    /// Is the message to be dropped, as what it stands on is of another cluster? Who is of an earlier generation is told
    /// so; this node forgets what it holds where that was superseded.
    pub(crate) fn drops(&mut self, from: Node, msg: &Msg, out: &mut Vec<Output>) -> bool {
        let own = self.newest().cluster;
        let Some(told) = told(msg).filter(|_| self.learner.is_none()) else { return false };
        match relation(own, told) {
            Relation::Same => false,
            // who asks whether its state is the newest is answered with what is held here
            Relation::Other => !matches!(msg, Msg::Resume { .. }),
            Relation::Older => {
                out.push(Output::Send(from, Msg::Superseded { cluster: own }));
                true
            }
            Relation::Newer => {
                self.forget(self.disk.mem.incarnation, out);
                true
            }
        }
    }
}
