//! The store of the newest update of each kind.

use crate::history::{BuildResult, History};
use crate::patch::Patch;
use crate::{Digest, Node};
use std::rc::Rc;

/// The version of an update. For a document: the epoch and index under which it was committed. For a list of
/// servers: the epoch of the process that read it, and its number in that epoch.
pub type Version = (u64, u64);

/// Updates by kind; `None` means that there is no update of that kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// The duty's epoch and its holder.
    pub epoch: Option<(u64, Node)>,
    /// The committed document's version and its bytes.
    pub state: Option<(Version, Rc<[u8]>)>,
    /// The version of the list of servers and its bytes.
    pub list: Option<(Version, Rc<[u8]>)>,
}

/// Updates as patches to what the receiver is assumed to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Patches {
    /// The patch that results in the committed document of this version.
    pub state: Option<(Version, Patch)>,
    /// The patch that results in the list of servers of this version.
    pub list: Option<(Version, Patch)>,
}

/// The result of applying patches.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// The updates that were rebuilt and are newer than those held.
    pub updates: Update,
    /// Whether the patch of the document, and that of the list, could not be applied: its base is not held,
    /// or it is corrupt.
    pub failed: (bool, bool),
}

/// The newest update of each kind, with older versions for patches.
#[derive(Default)]
pub struct UpdateStore {
    takes_state: bool,
    newest: Update,
    /// Versions of the document, and of the list of servers.
    states: History,
    lists: History,
    /// Fingerprint of the rules in force for the newest document; 0 until it is set.
    fingerprint: u32,
}

impl UpdateStore {
    /// Creates an empty store. With `takes_state`, documents are accepted from others; otherwise only from
    /// this process itself.
    pub fn new(takes_state: bool) -> UpdateStore {
        UpdateStore { takes_state, ..UpdateStore::default() }
    }

    /// Returns the newest epoch of the duty and its holder.
    pub fn epoch(&self) -> (u64, Node) {
        self.newest.epoch.unwrap_or_default()
    }

    /// Returns the newest update of each kind.
    pub fn newest(&self) -> &Update {
        &self.newest
    }

    /// Returns the digest of what is held.
    pub fn digest(&self) -> Digest {
        let (epoch, holder) = self.epoch();
        let version_of = |update: &Option<(Version, _)>| update.as_ref().map_or((0, 0), |u| u.0);
        let (state, list) = (version_of(&self.newest.state), version_of(&self.newest.list));
        Digest { epoch, holder, state, list, fingerprint: self.fingerprint }
    }

    /// Sets the fingerprint of the rules in force for the document of this index, unless another document is
    /// held by now.
    pub fn set_fingerprint(&mut self, index: u64, fingerprint: u32) {
        if self.newest.state.as_ref().is_some_and(|state| state.0 .1 == index) {
            self.fingerprint = fingerprint;
        }
    }

    /// Removes the document, so that any document from another process is accepted.
    pub fn forget_state(&mut self) {
        (self.newest.state, self.fingerprint) = (None, 0);
        self.states.clear();
    }

    /// Returns whether a peer with that digest has something to fetch.
    pub fn lacks(&self, digest: &Digest) -> bool {
        let own = self.digest();
        self.takes_state && digest.state > own.state || digest.list > own.list
    }

    /// Updates the epoch and the document's version from a digest and returns what the host has to handle: a
    /// newer epoch of the duty. The digest may carry a later version with the same index, since a new holder
    /// commits the document that it found again under its own epoch.
    pub fn take_digest(&mut self, digest: &Digest) -> Update {
        if let Some((version, _)) =
            self.newest.state.as_mut().filter(|state| self.takes_state && is_recommit(state, digest.state))
        {
            *version = digest.state;
        }
        self.update_epoch((digest.epoch, digest.holder))
    }

    fn update_epoch(&mut self, epoch: (u64, Node)) -> Update {
        let newer = (epoch > self.epoch()).then_some(epoch);
        self.newest.epoch = newer.or(self.newest.epoch);
        Update { epoch: newer, ..Update::default() }
    }

    /// Stores what is newer and returns it. `is_local` is set if the update was made by this process or
    /// reached it in another way than from a peer.
    pub fn take(&mut self, is_local: bool, update: Update) -> Update {
        let mut fresh = update.epoch.map_or_else(Update::default, |epoch| self.update_epoch(epoch));
        if let Some(received) = update.state.filter(|_| is_local || self.takes_state) {
            match &mut self.newest.state {
                Some(current) if is_recommit(current, received.0) => current.0 = received.0,
                Some(current) if received.0 <= current.0 => {}
                current => {
                    self.states.insert(received.0, received.1.clone());
                    fresh.state = current.insert(received).clone().into();
                    self.fingerprint = 0;
                }
            }
        }
        let newer = |list: &(Version, Rc<[u8]>)| {
            self.newest.list.as_ref().is_none_or(|current_list| list.0 > current_list.0)
        };
        if let Some(list) = update.list.filter(newer) {
            self.lists.insert(list.0, list.1.clone());
            fresh.list = self.newest.list.insert(list).clone().into();
        }
        fresh
    }

    /// Applies patches that result in something newer than what is held. For a later version of the same
    /// document the content held is used.
    pub fn apply_patches(&mut self, patches: Patches) -> Applied {
        let mut applied = Applied::default();
        let own = self.digest();
        if let Some((version, patch)) = patches.state.filter(|state| self.takes_state && state.0 > own.state)
        {
            let unchanged = self
                .newest
                .state
                .as_ref()
                .filter(|state| is_recommit(state, version))
                .map(|state| state.1.clone());
            match unchanged.map_or_else(|| self.states.apply(&patch), BuildResult::Content) {
                BuildResult::Content(bytes) => {
                    self.states.keep_patch(patch);
                    applied.updates.state = Some((version, bytes));
                }
                _ => applied.failed.0 = true,
            }
        }
        if let Some((number, patch)) = patches.list.filter(|list| list.0 > own.list) {
            match self.lists.apply(&patch) {
                BuildResult::Content(bytes) => {
                    self.lists.keep_patch(patch);
                    applied.updates.list = Some((number, bytes));
                }
                _ => applied.failed.1 = true,
            }
        }
        applied
    }

    /// Splits an update into patches to what a receiver with that digest holds, and full content where no
    /// patch is shorter. Without a digest, the patches are to the previous version held here, which most
    /// others hold as well.
    pub fn patches(&mut self, update: Update, receiver: Option<&Digest>) -> (Patches, Update) {
        let (mut patches, mut full) = (Patches::default(), Update::default());
        if let Some((version, bytes)) = update.state {
            let base_version =
                receiver.map(|digest| digest.state).or(self.states.previous_version()).unwrap_or_default();
            match self.states.patch_from(|version| base_version.0 > 0 && version.1 == base_version.1) {
                Some(patch) if patch.result == crate::patch::checksum(&bytes) => {
                    patches.state = Some((version, patch))
                }
                _ => full.state = Some((version, bytes)),
            }
        }
        if let Some((number, bytes)) = update.list {
            let base_version =
                receiver.map(|digest| digest.list).or(self.lists.previous_version()).unwrap_or_default();
            match self.lists.patch_from(|version| version == base_version) {
                Some(patch) if patch.result == crate::patch::checksum(&bytes) => {
                    patches.list = Some((number, patch))
                }
                _ => full.list = Some((number, bytes)),
            }
        }
        (patches, full)
    }

    /// Returns the bytes held, including older versions for patches.
    pub fn bytes(&self) -> usize {
        self.states.bytes() + self.lists.bytes()
    }

    /// Returns what a process with that digest does not have.
    pub fn newer_than(&self, digest: &Digest) -> Update {
        let Update { state, list, .. } = self.newest.clone();
        let state = state
            .filter(|state| state.0 > digest.state && !(digest.state.0 > 0 && state.0 .1 == digest.state.1));
        Update { epoch: None, state, list: list.filter(|list| list.0 > digest.list) }
    }
}

/// Returns whether `version` is a later version of the same document: no two committed documents share an
/// index.
fn is_recommit(current: &(Version, Rc<[u8]>), version: Version) -> bool {
    version > current.0 && version.1 == current.0 .1
}
