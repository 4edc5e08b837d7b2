//! The keys that a voter holds for claims, until each expires, with the answers that are stored for them.

use crate::record::{ClaimId, Key, Record};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// The longest keep time of claims that is assumed until a claim with a longer one was seen, in seconds.
const DEFAULT_KEEP: f64 = 90.0;
/// The longest time for which a key may stay claimed, in seconds.
pub(super) const MAX_KEEP: f64 = 7200.0;

/// A held key.
pub(super) struct HeldKey {
    pub(super) record: Record,
    expires: f64,
    /// Number of the journal entry of the grant.
    pub(super) number: u64,
    pub(super) answer: Option<Rc<[u8]>>,
}

impl HeldKey {
    /// Seconds until the key expires.
    pub(super) fn time_left(&self, now: f64) -> f64 {
        self.expires - now
    }

    /// The record with the time that is left of it.
    pub(super) fn record_with_time_left(&self, now: f64) -> Record {
        Record { keep_s: self.time_left(now) as f32, ..self.record }
    }
}

/// All held keys.
pub(super) struct HeldKeys {
    by_key: HashMap<Key, HeldKey>,
    /// Times at which keys expire, in milliseconds.
    expiries: BTreeSet<(u64, Key)>,
    answer_bytes: usize,
    longest_keep: f64,
}

impl HeldKeys {
    pub(super) fn new() -> HeldKeys {
        HeldKeys {
            by_key: HashMap::new(),
            expiries: BTreeSet::new(),
            answer_bytes: 0,
            longest_keep: DEFAULT_KEEP,
        }
    }

    /// Number of held keys.
    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Bytes of all stored answers.
    pub(super) fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The longest keep time of all claims seen, in seconds.
    pub(super) fn longest_keep(&self) -> f64 {
        self.longest_keep
    }

    /// Looks up a key. It may have expired since the last call of [`HeldKeys::expire`].
    pub(super) fn get(&self, key: Key) -> Option<&HeldKey> {
        self.by_key.get(&key)
    }

    /// The records of all keys with the time that is left of them, sorted by key.
    pub(super) fn records_with_time_left(&self, now: f64) -> Vec<Record> {
        let mut records: Vec<Record> =
            self.by_key.values().map(|held| held.record_with_time_left(now)).collect();
        records.sort_unstable_by_key(|record| record.key);
        records
    }

    /// Holds a key by this record, in place of an earlier one; its keep time begins now. `number`: the number of the
    /// journal entry of the grant, or 0 if no vote depends on it.
    pub(super) fn insert(&mut self, now: f64, record: Record, number: u64) {
        self.remove(record.key);
        self.longest_keep = self.longest_keep.max(f64::from(record.keep_s).min(MAX_KEEP));
        let expires = now + f64::from(record.keep_s).clamp(0.0, MAX_KEEP);
        self.expiries.insert((milliseconds(expires), record.key));
        self.by_key.insert(record.key, HeldKey { record, expires, number, answer: None });
    }

    /// Stores the answer of a claim's operation, unless there is one.
    pub(super) fn store_answer(&mut self, key: Key, claim: ClaimId, answer: Rc<[u8]>) {
        let Some(held) = self.by_key.get_mut(&key) else { return };
        if held.record.claim == claim && held.answer.is_none() {
            self.answer_bytes += answer.len();
            held.answer = Some(answer);
        }
    }

    /// Frees a key.
    pub(super) fn remove(&mut self, key: Key) {
        let Some(held) = self.by_key.remove(&key) else { return };
        self.expiries.remove(&(milliseconds(held.expires), key));
        self.answer_bytes -= held.answer.map_or(0, |answer| answer.len());
    }

    /// Frees all keys that have expired.
    pub(super) fn expire(&mut self, now: f64) {
        let now = milliseconds(now);
        while let Some(&(expires_at, key)) = self.expiries.first() {
            if expires_at >= now {
                break;
            }
            self.remove(key);
        }
    }
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}
