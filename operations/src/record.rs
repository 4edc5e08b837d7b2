//! What is kept of an operation.

use crate::electorate::Electorate;
use crate::Node;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// An operation: a hash of a tenant's name and the key that the tenant gave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64, pub u64);

/// A hash of what a request asks for: method, path and body. Two requests with one key must have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// One attempt of a gateway to be the one that runs an operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The gateway.
    pub gateway: Node,
    /// Another start of the gateway has another number.
    pub start: u32,
    /// Counts the claims of that start.
    pub sequence: u64,
}

/// A granted claim, as a voter keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub key: Key,
    pub claim: ClaimId,
    pub fingerprint: Fingerprint,
    /// Seconds for which the key stays taken.
    pub keep_s: f32,
    /// Claims of two gateways were found for the key: it is granted to nobody until it expires.
    pub contested: bool,
}

/// One entry of a voter's journal. Replaying all entries in order gives the voter's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A claim was granted.
    Granted(Record),
    /// The claim has not run and never will.
    Released { key: Key, claim: ClaimId },
    /// The answer of the operation, encoded by the gateway.
    Answer {
        key: Key,
        claim: ClaimId,
        #[serde(with = "serde_bytes")]
        answer: Vec<u8>,
    },
    /// Whose votes count, as far as this voter knows.
    Electorate(Electorate),
    /// This voter's own incarnation; it may vote once this is on disk.
    Ready { incarnation: u64, nonce: u64 },
}

fn half(hash: &[u8], at: usize) -> u64 {
    hash[at..at + 8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

impl Key {
    /// The operation of this key of a tenant.
    pub fn derive(tenant: &str, key: &[u8]) -> Key {
        let hash = Sha256::new()
            .chain_update((tenant.len() as u64).to_le_bytes())
            .chain_update(tenant.as_bytes())
            .chain_update(key)
            .finalize();
        Key(half(&hash, 0), half(&hash, 8))
    }
}

impl Fingerprint {
    /// Of a request's method, path with query, and body.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Fingerprint {
        let hash = Sha256::new()
            .chain_update((method.len() as u64).to_le_bytes())
            .chain_update(method.as_bytes())
            .chain_update((path.len() as u64).to_le_bytes())
            .chain_update(path.as_bytes())
            .chain_update(body)
            .finalize();
        Fingerprint(half(&hash, 0))
    }
}
