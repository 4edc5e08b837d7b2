//! The data written to the disk: batches of entries that are synced together, and the head.

use super::format;

/// Encoded entries that are written and synced together.
#[derive(Debug, Default)]
pub struct Batch {
    pub(super) bytes: Vec<u8>,
    /// Number of the first entry.
    pub(super) first: u64,
    /// Number of entries.
    pub(super) count: u64,
    /// Time at which the last entry expires, in seconds.
    pub(super) expires: f64,
    /// The number that a head must cover to replace all entries without an expiry; `None`: there is no such entry.
    pub(super) needs_head: Option<u64>,
}

impl Batch {
    /// Adds an entry, whose number must follow that of the previous entry.
    pub fn push(&mut self, now: f64, number: u64, entry: &[u8], keep_s: Option<f64>) {
        if self.count == 0 {
            self.first = number;
        }
        self.count += 1;
        match keep_s {
            Some(keep_s) => self.expires = self.expires.max(now + keep_s),
            None => self.needs_head = Some(number),
        }
        format::push_entry(&mut self.bytes, number, entry, keep_s);
    }

    /// Whether the batch has no entries.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Number of the last entry.
    pub fn last(&self) -> u64 {
        (self.first + self.count).saturating_sub(1)
    }
}

/// The entries that each segment begins with.
#[derive(Debug, Default)]
pub struct Head {
    /// Number of the last entry that was accepted before the head was set; `None`: no head was set.
    pub(super) number: Option<u64>,
    pub(super) count: u32,
    pub(super) bytes: Vec<u8>,
}

impl Head {
    /// Encodes a head that is set after the entry with this number.
    pub fn new(number: u64, entries: &[Vec<u8>]) -> Head {
        let mut bytes = Vec::new();
        (0..).zip(entries).for_each(|(index, entry)| format::push_head(&mut bytes, index, entry));
        Head { number: Some(number), count: entries.len() as u32, bytes }
    }
}
