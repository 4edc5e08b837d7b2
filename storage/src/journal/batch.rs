//! What is handed to the disk: entries that are synced together, and the head.

use super::format;

/// Entries that are synced together, as bytes.
#[derive(Debug, Default)]
pub struct Batch {
    pub(super) bytes: Vec<u8>,
    /// Number of the first entry, and how many there are.
    pub(super) first: u64,
    pub(super) count: u64,
    /// When the last one expires, seconds.
    pub(super) expires: f64,
    /// The head that replaces them all must cover this number.
    pub(super) needs_head: Option<u64>,
}

impl Batch {
    /// Adds an entry; its number follows that of the entry before.
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

    /// Whether there are no entries.
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
    /// The last entry that was taken before the head was set; none: no head was set.
    pub(super) number: Option<u64>,
    pub(super) count: u32,
    pub(super) bytes: Vec<u8>,
}

impl Head {
    /// A head that is set behind the entry of this number.
    pub fn new(number: u64, entries: &[Vec<u8>]) -> Head {
        let mut bytes = Vec::new();
        (0..).zip(entries).for_each(|(index, entry)| format::push_head(&mut bytes, index, entry));
        Head { number: Some(number), count: entries.len() as u32, bytes }
    }
}
