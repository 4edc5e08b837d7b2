//! The history of accepted configurations, which recognizes a configuration that an operator sends again.
//!
//! An entry holds the version and 128 bits of the SHA-256 of the body; the newest [`MAX_ACCEPTED`] entries are kept.
//! One takes 17 bytes where versions rise by less than 128. For an older version it is not known whether a body was
//! accepted, and the lookup returns [`Lookup::Forgotten`].

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The most accepted configurations that are kept: those of 29 hours at 2,100 changes a day, in 43 KB.
pub const MAX_ACCEPTED: usize = 2_560;

/// Bytes of a [`BodyHash`].
const HASH_BYTES: usize = 16;

/// The first 128 bits of a body's SHA-256.
pub type BodyHash = [u8; HASH_BYTES];

/// Hashes a body as the operator sent it.
pub fn body_hash(body: &[u8]) -> BodyHash {
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(&Sha256::digest(body)[..HASH_BYTES]);
    hash
}

/// Whether a body was accepted under a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// This body was accepted under the version.
    Accepted,
    /// Another body, or none, was accepted under the version.
    NotAccepted,
    /// The version is older than the history.
    Forgotten,
}

/// The newest accepted configurations. The version of the newest one is [`crate::Document::version`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredForm")]
pub struct AcceptedConfigs {
    /// The difference of each version to the one accepted before it; the newest is last.
    steps: Vec<u64>,
    /// The [`BodyHash`]es of the same configurations, concatenated.
    #[serde(with = "serde_bytes")]
    hashes: Vec<u8>,
}

/// The forms that are read. Earlier builds wrote pairs of a version and 64 bits of another hash, which can't be
/// compared with the hashes here and are dropped.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredForm {
    Current(Vec<u64>, #[serde(with = "serde_bytes")] Vec<u8>),
    Former(IgnoredAny),
}

impl From<StoredForm> for AcceptedConfigs {
    fn from(form: StoredForm) -> AcceptedConfigs {
        match form {
            StoredForm::Current(steps, hashes) if steps.len() * HASH_BYTES == hashes.len() => {
                AcceptedConfigs { steps, hashes }
            }
            StoredForm::Current(..) | StoredForm::Former(IgnoredAny) => AcceptedConfigs::default(),
        }
    }
}

impl AcceptedConfigs {
    /// The number of configurations in the history.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Adds a configuration whose version is `step` above the newest, and drops the oldest beyond [`MAX_ACCEPTED`].
    pub(crate) fn push(&mut self, step: u64, hash: BodyHash) {
        self.steps.push(step);
        self.hashes.extend(hash);
        let surplus = self.steps.len().saturating_sub(MAX_ACCEPTED);
        self.steps.drain(..surplus);
        self.hashes.drain(..surplus * HASH_BYTES);
    }

    /// Looks up a body under a version. `newest` is the version of the newest accepted configuration, 0 if there is
    /// none.
    pub fn look_up(&self, newest: u64, version: u64, hash: &BodyHash) -> Lookup {
        let mut current = newest;
        for (step, accepted) in self.steps.iter().zip(self.hashes.chunks_exact(HASH_BYTES)).rev() {
            if version >= current {
                let same = version == current && accepted == hash;
                return if same { Lookup::Accepted } else { Lookup::NotAccepted };
            }
            current = current.saturating_sub(*step);
        }
        if current == 0 || version > current {
            Lookup::NotAccepted
        } else {
            Lookup::Forgotten
        }
    }
}
