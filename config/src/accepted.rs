//! What the core remembers of the configurations that were taken, for operators that send again.
//!
//! Each is kept by its number and 128 bits of its SHA-256, the newest [`MAX_ACCEPTED`] of them: 17 bytes each where
//! numbers rise by less than 128. What lies further back can't be told from what was never taken, and is said so.

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// How many taken configurations are remembered: those of 29 hours at 2,100 changes a day, in 43 KB.
pub const MAX_ACCEPTED: usize = 2_560;

/// Bytes of a [`BodyHash`].
const HASH: usize = 16;

/// The first 128 bits of a body's SHA-256.
pub type BodyHash = [u8; HASH];

/// Of a body as it was sent.
pub fn body_hash(body: &[u8]) -> BodyHash {
    let mut hash = [0; HASH];
    hash.copy_from_slice(&Sha256::digest(body)[..HASH]);
    hash
}

/// What is known of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// This body was taken under it.
    Accepted,
    /// This body was not: another one was, or none.
    NotAccepted,
    /// It lies before what is remembered.
    Forgotten,
}

/// The configurations taken, from the newest back. The newest one's number is that of the document's configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Form")]
pub struct AcceptedConfigs {
    /// By how much each number rose over the one taken before it; the newest last.
    steps: Vec<u64>,
    /// The [`BodyHash`]es, one after the other.
    #[serde(with = "serde_bytes")]
    hashes: Vec<u8>,
}

/// As it is read: builds before this one wrote pairs of a number and 64 bits of another hash, which tell nothing here.
#[derive(Deserialize)]
#[serde(untagged)]
enum Form {
    Now(Vec<u64>, #[serde(with = "serde_bytes")] Vec<u8>),
    Former(IgnoredAny),
}

impl From<Form> for AcceptedConfigs {
    fn from(form: Form) -> AcceptedConfigs {
        match form {
            Form::Now(steps, hashes) if steps.len() * HASH == hashes.len() => {
                AcceptedConfigs { steps, hashes }
            }
            Form::Now(..) | Form::Former(IgnoredAny) => AcceptedConfigs::default(),
        }
    }
}

impl AcceptedConfigs {
    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Adds one whose number is so much higher than the newest, and forgets the oldest beyond [`MAX_ACCEPTED`].
    pub(crate) fn push(&mut self, step: u64, hash: BodyHash) {
        self.steps.push(step);
        self.hashes.extend(hash);
        let surplus = self.steps.len().saturating_sub(MAX_ACCEPTED);
        self.steps.drain(..surplus);
        self.hashes.drain(..surplus * HASH);
    }

    /// What is known of a body under a number, where the newest one taken has the number `newest` (0: none was).
    pub fn look_up(&self, newest: u64, version: u64, hash: &BodyHash) -> Lookup {
        let mut at = newest;
        for (step, taken) in self.steps.iter().zip(self.hashes.chunks_exact(HASH)).rev() {
            if version >= at {
                let same = version == at && taken == hash;
                return if same { Lookup::Accepted } else { Lookup::NotAccepted };
            }
            at = at.saturating_sub(*step);
        }
        if at == 0 || version > at {
            Lookup::NotAccepted
        } else {
            Lookup::Forgotten
        }
    }
}
