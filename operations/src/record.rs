//! Keys, claims and records of operations, and the entries of a voter's journal.

use crate::electorate::Electorate;
use crate::Node;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies an operation: a hash of the tenant's name and the key that the tenant chose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64, pub u64);

/// A hash of a request: method, path and body. Two requests with the same key must have the same fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// Identifies one attempt of a gateway to obtain the right to run an operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The gateway that made the claim.
    pub gateway: Node,
    /// Differs between starts of the gateway.
    pub start: u32,
    /// Counts the claims of one start.
    pub sequence: u64,
}

/// A granted claim as a voter stores it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The claimed key.
    pub key: Key,
    /// The claim that the key is granted to.
    pub claim: ClaimId,
    /// The fingerprint of the request of the claim.
    pub fingerprint: Fingerprint,
    /// Seconds for which the key stays claimed.
    pub keep_s: f32,
    /// Different claims of the key were found: it is granted to no claim until the record expires.
    pub contested: bool,
}

/// One entry of a voter's journal. Replaying all entries in order gives the voter's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A claim was granted.
    Granted(Record),
    /// The claim was released: its operation has not run and never will.
    Released { key: Key, claim: ClaimId },
    /// The answer of the operation, encoded by the gateway.
    Answer {
        key: Key,
        claim: ClaimId,
        #[serde(with = "serde_bytes")]
        answer: Vec<u8>,
    },
    /// The electorate that this voter last learned.
    Electorate(Electorate),
    /// This voter's own incarnation; the voter may vote once this entry is on disk.
    Ready { incarnation: u64, nonce: u64 },
}

impl Entry {
    /// Tells that the voter holds each unexpired claim that was granted under an earlier electorate than the last one
    /// before this entry. Builds that don't know it read the release of a claim that was never made.
    pub const COMPLETE: Entry =
        Entry::Released { key: Key(0, 0), claim: ClaimId { gateway: 0, start: 0, sequence: 0 } };
}

/// Reads the big-endian number of 8 bytes that starts at `offset`.
fn read_u64(hash: &[u8], offset: usize) -> u64 {
    hash[offset..offset + 8].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

impl Key {
    /// Derives the operation's key from the tenant's name and the tenant's own key.
    pub fn derive(tenant: &str, key: &[u8]) -> Key {
        let hash = Sha256::new()
            .chain_update((tenant.len() as u64).to_le_bytes())
            .chain_update(tenant.as_bytes())
            .chain_update(key)
            .finalize();
        Key(read_u64(&hash, 0), read_u64(&hash, 8))
    }
}

impl Fingerprint {
    /// Hashes a request's method, path with query, and body.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Fingerprint {
        let hash = Sha256::new()
            .chain_update((method.len() as u64).to_le_bytes())
            .chain_update(method.as_bytes())
            .chain_update((path.len() as u64).to_le_bytes())
            .chain_update(path.as_bytes())
            .chain_update(body)
            .finalize();
        Fingerprint(read_u64(&hash, 0))
    }
}
