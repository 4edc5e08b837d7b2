//! A short summary of what a process holds.

use crate::Node;
use serde::{Deserialize, Serialize};

/// The newest version of each kind of update that a process holds. The parts grow independently of each
/// other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Digest {
    /// The newest epoch of the duty, that is, the election of the duty holder.
    pub epoch: u64,
    /// The duty holder of that epoch; 0 means none.
    pub holder: Node,
    /// Epoch and index of the newest committed document.
    pub state: (u64, u64),
    /// Epoch and number of the newest list of servers.
    pub list: (u64, u64),
    /// Fingerprint of the rules that the process has in force for that document; 0 if not reported. It does
    /// not make a digest newer or older.
    pub fingerprint: u32,
}

impl Digest {
    /// Returns whether some part of this digest is newer than the same part of `other`.
    pub fn newer(&self, other: &Digest) -> bool {
        (self.epoch, self.holder) > (other.epoch, other.holder)
            || self.state > other.state
            || self.list > other.list
    }

    /// Takes over each part that is newer in `other`; epoch and holder are replaced together.
    pub fn merge(&mut self, other: &Digest) {
        if (other.epoch, other.holder) > (self.epoch, self.holder) {
            (self.epoch, self.holder) = (other.epoch, other.holder);
        }
        self.state = self.state.max(other.state);
        self.list = self.list.max(other.list);
    }
}
