//! Counters of messages and links.

use std::cell::Cell;

/// The kinds of messages whose bytes are counted separately.
pub const KINDS: [&str; 9] =
    ["probes", "agreement", "wants", "documents", "lists", "digests", "counters", "clock", "operations"];

/// The counters of a transport since its start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Datagrams sent.
    pub datagrams: Cell<u64>,
    /// Messages put into links.
    pub sent: Cell<u64>,
    /// Messages received, by datagrams and links.
    pub received: Cell<u64>,
    /// Messages that were not sent: too long, no room, or their link failed.
    pub dropped: Cell<u64>,
    /// What was received and could not be decoded, or came from a wrong address.
    pub unreadable: Cell<u64>,
    /// Links opened or accepted.
    pub links: Cell<u64>,
    /// Bytes put into links and datagrams, without the length headers of frames; see [`KINDS`].
    pub bytes: [Cell<u64>; KINDS.len()],
}

impl Counts {
    /// Returns the bytes of each kind that is not 0.
    pub fn bytes_by_kind(&self) -> String {
        let nonzero = KINDS.iter().zip(&self.bytes).filter(|(_, n)| n.get() > 0);
        nonzero.map(|(kind, n)| format!("{kind} {}", n.get())).collect::<Vec<_>>().join(", ")
    }
}

/// Adds `n` to a counter.
pub(crate) fn count(counter: &Cell<u64>, n: usize) {
    counter.set(counter.get() + n as u64);
}
