//! What follows at this moment from the own tables and from what others tell. Prints are compared only where they
//! stand for the same document: who is behind judges nobody, and nobody is judged for being behind here.

use lupinledge_config::{comparable, Part};
use lupinledge_membership::{Member, Node, Standing};

/// What this process knows of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// Index of the document that it holds; 0 for none.
    pub index: u64,
    /// Folded print of the tables in force.
    pub print: u32,
    /// The part in which its tables are not what they were built from.
    pub faulty_part: Option<Part>,
    /// All was looked at since the last change, and nothing was found.
    pub verified: bool,
}

/// Who found a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detector {
    /// The node itself.
    Own,
    /// Others of its kind that agree with each other.
    Peers,
    /// The core, which knows what was acknowledged.
    Control,
}

impl Detector {
    /// As logs and operators have it.
    pub fn name(self) -> &'static str {
        ["own", "peers", "control"][self as usize]
    }
}

/// See the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The core, or without its word others, would do the same.
    Matching,
    /// Nobody told anything that can be compared.
    Unheard,
    /// The core has a newer document.
    Late,
    /// This node would do something else than it should.
    Differs(Detector),
}

/// The core's word that there is something newer counts for so long.
const NEWER: f64 = 2.0;
/// The word of a peer counts for so long.
const FRESH: f64 = 10.0;
/// So many others have to agree before they judge without the core.
const PAIR: usize = 2;

/// What others have to do with it, at this moment.
pub struct Others {
    /// What follows for this process.
    pub verdict: Verdict,
    /// Other edge nodes that take clients.
    pub ready: usize,
    /// Some of these do what the core has.
    pub witness: bool,
}

/// Compares with all others that are known.
pub fn compare<'a>(
    now: f64,
    own: &LocalState,
    holder: Node,
    members: impl Iterator<Item = &'a Member>,
) -> Others {
    let mut told: Vec<(u32, usize, bool)> = Vec::new();
    let mut peers: Vec<(u32, usize)> = Vec::new();
    let (mut newest, mut ready, mut served) = (0, 0, Vec::new());
    for m in members {
        let there = m.standing != Standing::Gone;
        let (index, print, age) = (m.digest.state.1, m.digest.fingerprint, now - m.last_received);
        let takes = there && !m.card.core && m.card.ready && !m.card.leaving;
        ready += takes as usize;
        if there && m.card.core && age < NEWER {
            newest = newest.max(index);
        }
        if takes && age < FRESH {
            served.push((index, print));
        }
        if index != own.index || !comparable(print, own.print) {
            continue;
        }
        // what the core said of a document stays true; a peer may have been mended since
        match m.card.core {
            true => match told.iter_mut().find(|t| t.0 == print) {
                Some(t) => (t.1, t.2) = (t.1 + 1, t.2 || m.node == holder),
                None => told.push((print, 1, m.node == holder)),
            },
            false if takes && age < FRESH => match peers.iter_mut().find(|p| p.0 == print) {
                Some(p) => p.1 += 1,
                None => peers.push((print, 1)),
            },
            _ => {}
        }
    }
    let best = told.iter().map(|t| (t.1, t.2)).max();
    let mut bests = told.iter().filter(|t| Some((t.1, t.2)) == best);
    let intent = bests.next().filter(|_| bests.next().is_none()).map(|t| t.0);
    let agree = peers.iter().any(|p| p.0 == own.print);
    let late = own.index > 0 && newest > own.index;
    let verdict = match intent {
        _ if own.faulty_part.is_some() => Verdict::Differs(Detector::Own),
        _ if late => Verdict::Late,
        Some(p) if p == own.print => Verdict::Matching,
        Some(_) => Verdict::Differs(Detector::Control),
        None if agree => Verdict::Matching,
        None if peers.iter().any(|p| p.1 >= PAIR) => Verdict::Differs(Detector::Peers),
        None => Verdict::Unheard,
    };
    let witness = match verdict {
        Verdict::Late => served.iter().any(|s| s.0 >= newest),
        Verdict::Differs(Detector::Control) => peers.iter().any(|p| Some(p.0) == intent),
        _ => ready > 0,
    };
    Others { verdict, ready, witness }
}
