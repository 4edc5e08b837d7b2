//! The conclusion at one moment from a node's own tables and the state that other nodes report. Fingerprints are only
//! compared between nodes that hold the same document, so a node that is behind is never taken for one that differs.

use lupinledge_config::{comparable, Part};
use lupinledge_membership::{Member, Node, Standing};

/// The state of this process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LocalState {
    /// Index of the document that it holds; 0 without a document.
    pub index: u64,
    /// Folded fingerprint of the tables in use.
    pub fingerprint: u32,
    /// The part of its tables that differs from the configuration they were built from.
    pub faulty_part: Option<Part>,
    /// All parts were checked without a finding since the last change.
    pub verified: bool,
}

/// The source of the evidence for a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detector {
    /// The audit of the node itself.
    Own,
    /// Other edge nodes that agree with each other.
    Peers,
    /// The core, which has the acknowledged document.
    Core,
}

impl Detector {
    /// The name in logs and in answers to operators.
    pub fn name(self) -> &'static str {
        ["own", "peers", "control"][self as usize]
    }
}

/// The conclusion about this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The tables of the core are the same, or without a report of the core those of another edge node.
    Matching,
    /// No comparable report was received.
    Unknown,
    /// The core has a newer document.
    Behind,
    /// The tables of this node are wrong.
    Differs(Detector),
}

/// Seconds for which a report of the core that it has a newer document is valid.
const CORE_REPORT_TTL: f64 = 2.0;
/// Seconds for which the report of another edge node is valid.
const PEER_REPORT_TTL: f64 = 10.0;
/// Number of edge nodes that have to agree before a difference from them counts without a report of the core.
const PEER_QUORUM: usize = 2;

/// The state of the other nodes, compared with this one.
pub struct Comparison {
    /// The conclusion about this process.
    pub verdict: Verdict,
    /// Number of other edge nodes that accept clients.
    pub ready: usize,
    /// Whether one of these can take over. If the core reports a difference or a newer document, its state must match.
    pub replacement: bool,
}

/// Compares this process with all other members.
pub fn compare<'a>(
    now: f64,
    own: &LocalState,
    holder: Node,
    members: impl Iterator<Item = &'a Member>,
) -> Comparison {
    let mut core_fingerprints: Vec<(u32, usize, bool)> = Vec::new();
    let mut peer_fingerprints: Vec<(u32, usize)> = Vec::new();
    let (mut newest, mut ready, mut serving) = (0, 0, Vec::new());
    for m in members {
        let present = m.standing != Standing::Gone;
        let (index, fingerprint, age) = (m.digest.state.1, m.digest.fingerprint, now - m.last_received);
        let accepts = present && !m.card.core && m.card.ready && !m.card.leaving;
        ready += accepts as usize;
        if present && m.card.core && age < CORE_REPORT_TTL {
            newest = newest.max(index);
        }
        if accepts && age < PEER_REPORT_TTL {
            serving.push((index, fingerprint));
        }
        if index != own.index || !comparable(fingerprint, own.fingerprint) {
            continue;
        }
        // a report of the core about a document stays valid; an edge node may have been repaired since its report
        match m.card.core {
            true => match core_fingerprints.iter_mut().find(|t| t.0 == fingerprint) {
                Some(t) => (t.1, t.2) = (t.1 + 1, t.2 || m.node == holder),
                None => core_fingerprints.push((fingerprint, 1, m.node == holder)),
            },
            false if accepts && age < PEER_REPORT_TTL => {
                match peer_fingerprints.iter_mut().find(|p| p.0 == fingerprint) {
                    Some(p) => p.1 += 1,
                    None => peer_fingerprints.push((fingerprint, 1)),
                }
            }
            _ => {}
        }
    }
    let best = core_fingerprints.iter().map(|t| (t.1, t.2)).max();
    let mut candidates = core_fingerprints.iter().filter(|t| Some((t.1, t.2)) == best);
    let expected = candidates.next().filter(|_| candidates.next().is_none()).map(|t| t.0);
    let peer_agrees = peer_fingerprints.iter().any(|p| p.0 == own.fingerprint);
    let behind = own.index > 0 && newest > own.index;
    let verdict = match expected {
        _ if own.faulty_part.is_some() => Verdict::Differs(Detector::Own),
        _ if behind => Verdict::Behind,
        Some(p) if p == own.fingerprint => Verdict::Matching,
        Some(_) => Verdict::Differs(Detector::Core),
        None if peer_agrees => Verdict::Matching,
        None if peer_fingerprints.iter().any(|p| p.1 >= PEER_QUORUM) => Verdict::Differs(Detector::Peers),
        None => Verdict::Unknown,
    };
    let replacement = match verdict {
        Verdict::Behind => serving.iter().any(|s| s.0 >= newest),
        Verdict::Differs(Detector::Core) => peer_fingerprints.iter().any(|p| Some(p.0) == expected),
        _ => ready > 0,
    };
    Comparison { verdict, ready, replacement }
}
