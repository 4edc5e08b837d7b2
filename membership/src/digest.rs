//! What a process holds, in a few numbers.

use crate::Node;
use serde::{Deserialize, Serialize};

/// The newest of each kind of news that a process holds. The parts grow independently of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Digest {
    /// The newest epoch of the duty.
    pub epoch: u64,
    /// The duty holder of that epoch; 0 is none.
    pub holder: Node,
    /// Stamp of the newest committed document.
    pub state: (u64, u64),
    /// Epoch and number of the newest list of servers.
    pub list: (u64, u64),
    /// What the process would do by the rules it has in force for that document, in short; 0 is not told. It rides
    /// along and makes a digest neither newer nor older.
    pub fingerprint: u32,
}

impl Digest {
    /// Whether some part of this one is newer than the same part of `other`.
    pub fn newer(&self, other: &Digest) -> bool {
        (self.epoch, self.holder) > (other.epoch, other.holder)
            || self.state > other.state
            || self.list > other.list
    }

    /// Takes over each part that is newer in `other`; epoch and holder go together.
    pub fn merge(&mut self, other: &Digest) {
        if (other.epoch, other.holder) > (self.epoch, self.holder) {
            (self.epoch, self.holder) = (other.epoch, other.holder);
        }
        self.state = self.state.max(other.state);
        self.list = self.list.max(other.list);
    }
}
