//! What happened, in numbers.

use std::cell::Cell;

/// Kinds of words, as their bytes are counted.
pub const KINDS: [&str; 9] =
    ["probes", "agreement", "wants", "documents", "lists", "digests", "counters", "clock", "operations"];

/// What happened at a post so far.
#[derive(Debug, Default)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams: Cell<u64>,
    /// Words put into links.
    pub sent: Cell<u64>,
    /// Words received, both ways.
    pub received: Cell<u64>,
    /// Words that were not sent: too long, no room, or their link failed.
    pub dropped: Cell<u64>,
    /// What came in and could not be read, or from the wrong one.
    pub unreadable: Cell<u64>,
    /// Links opened or taken.
    pub links: Cell<u64>,
    /// Bytes put into links and datagrams, without their frames' lengths; see [`KINDS`].
    pub bytes: [Cell<u64>; KINDS.len()],
}

impl Counts {
    /// Bytes by kind, those that are there.
    pub fn bytes_by_kind(&self) -> String {
        let of = KINDS.iter().zip(&self.bytes).filter(|(_, n)| n.get() > 0);
        of.map(|(kind, n)| format!("{kind} {}", n.get())).collect::<Vec<_>>().join(", ")
    }
}

/// Counts `n` more.
pub(crate) fn add(count: &Cell<u64>, n: usize) {
    count.set(count.get() + n as u64);
}
