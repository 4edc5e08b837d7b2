//! The newest of each kind of news, as this process holds it.

use crate::patch::Patch;
use crate::shelf::{Built, Shelf};
use crate::{Digest, Node};
use std::rc::Rc;

/// Place of a piece of news in its line: of a document the epoch and index under which it was committed, of a list
/// of servers its reader's epoch and its number in that epoch.
pub type Version = (u64, u64);

/// News by kind; a kind that is not there says nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// The duty's epoch, and who holds it.
    pub epoch: Option<(u64, Node)>,
    /// The committed document's stamp, and its bytes.
    pub state: Option<(Version, Rc<[u8]>)>,
    /// The list of servers: epoch and number, and its bytes.
    pub list: Option<(Version, Rc<[u8]>)>,
}

/// News as patches to what the receiver is taken to hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Patches {
    /// To the committed document of this stamp.
    pub state: Option<(Version, Patch)>,
    /// To the list of servers of this number.
    pub list: Option<(Version, Patch)>,
}

/// What patches gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Opened {
    /// What was built, and not known before.
    pub news: Update,
    /// Of documents and of lists, what could not be built: its base is not here, or it is spoilt.
    pub missed: (bool, bool),
}

/// See the module.
#[derive(Default)]
pub struct UpdateStore {
    takes_state: bool,
    newest: Update,
    /// Of documents and of lists.
    states: Shelf,
    lists: Shelf,
    /// Of the rules in force for the newest document; 0 until it is told.
    print: u32,
}

impl UpdateStore {
    /// Nothing yet. `takes_state`: documents come from others by news; else only from this process itself.
    pub fn new(takes_state: bool) -> UpdateStore {
        UpdateStore { takes_state, ..UpdateStore::default() }
    }

    /// The duty's epoch and its holder, as far as heard.
    pub fn epoch(&self) -> (u64, Node) {
        self.newest.epoch.unwrap_or_default()
    }

    /// The newest of each kind.
    pub fn newest(&self) -> &Update {
        &self.newest
    }

    /// In short.
    pub fn digest(&self) -> Digest {
        let (epoch, holder) = self.epoch();
        let number = |piece: &Option<(Version, _)>| piece.as_ref().map_or((0, 0), |p| p.0);
        let (state, list) = (number(&self.newest.state), number(&self.newest.list));
        Digest { epoch, holder, state, list, fingerprint: self.print }
    }

    /// What is done by the document of this index, unless another one is held by now.
    pub fn set_fingerprint(&mut self, index: u64, print: u32) {
        if self.newest.state.as_ref().is_some_and(|s| s.0 .1 == index) {
            self.print = print;
        }
    }

    /// The document is to come afresh from the others; any will be taken.
    pub fn forget_state(&mut self) {
        (self.newest.state, self.print) = (None, 0);
        self.states.clear();
    }

    /// Whether a peer with that digest has something to ask for.
    pub fn lacks(&self, digest: &Digest) -> bool {
        let own = self.digest();
        self.takes_state && digest.state > own.state || digest.list > own.list
    }

    /// Takes what a digest alone tells, and returns what of it is for the host: the duty's epoch. A later stamp of
    /// the index that is held is taken over too: a new holder commits what it found again, under its own epoch.
    pub fn take_digest(&mut self, digest: &Digest) -> Update {
        if let Some((stamp, _)) =
            self.newest.state.as_mut().filter(|s| self.takes_state && again(s, digest.state))
        {
            *stamp = digest.state;
        }
        self.take_epoch((digest.epoch, digest.holder))
    }

    fn take_epoch(&mut self, epoch: (u64, Node)) -> Update {
        let newer = (epoch > self.epoch()).then_some(epoch);
        self.newest.epoch = newer.or(self.newest.epoch);
        Update { epoch: newer, ..Update::default() }
    }

    /// Keeps what is newer and returns it; `own`: it was settled here, not heard.
    pub fn take(&mut self, own: bool, news: Update) -> Update {
        let mut fresh = news.epoch.map_or_else(Update::default, |e| self.take_epoch(e));
        if let Some(told) = news.state.filter(|_| own || self.takes_state) {
            match &mut self.newest.state {
                Some(held) if again(held, told.0) => held.0 = told.0,
                Some(held) if told.0 <= held.0 => {}
                held => {
                    self.states.put(told.0, told.1.clone());
                    fresh.state = held.insert(told).clone().into();
                    self.print = 0;
                }
            }
        }
        let newer = |l: &(Version, Rc<[u8]>)| self.newest.list.as_ref().is_none_or(|o| l.0 > o.0);
        if let Some(list) = news.list.filter(newer) {
            self.lists.put(list.0, list.1.clone());
            fresh.list = self.newest.list.insert(list).clone().into();
        }
        fresh
    }

    /// Builds what patches tell; what is not newer than held is left, but for a later stamp.
    pub fn apply_patches(&mut self, patches: Patches) -> Opened {
        let mut opened = Opened::default();
        let own = self.digest();
        if let Some((stamp, patch)) = patches.state.filter(|s| self.takes_state && s.0 > own.state) {
            let same = self.newest.state.as_ref().filter(|s| again(s, stamp)).map(|s| s.1.clone());
            match same.map_or_else(|| self.states.build(&patch), Built::Piece) {
                Built::Piece(bytes) => {
                    self.states.keep(patch);
                    opened.news.state = Some((stamp, bytes));
                }
                _ => opened.missed.0 = true,
            }
        }
        if let Some((number, patch)) = patches.list.filter(|l| l.0 > own.list) {
            match self.lists.build(&patch) {
                Built::Piece(bytes) => {
                    self.lists.keep(patch);
                    opened.news.list = Some((number, bytes));
                }
                _ => opened.missed.1 = true,
            }
        }
        opened
    }

    /// What is held of these news as patches to what one with that digest holds; as it is where no patch is
    /// shorter. Without a digest, to what was held here before: so do most of the others.
    pub fn patches(&mut self, news: Update, of: Option<&Digest>) -> (Patches, Update) {
        let (mut patches, mut whole) = (Patches::default(), Update::default());
        if let Some((stamp, bytes)) = news.state {
            let base = of.map(|d| d.state).or(self.states.before()).unwrap_or_default();
            match self.states.patch(|n| base.0 > 0 && n.1 == base.1) {
                Some(patch) if patch.result == crate::patch::checksum(&bytes) => {
                    patches.state = Some((stamp, patch))
                }
                _ => whole.state = Some((stamp, bytes)),
            }
        }
        if let Some((number, bytes)) = news.list {
            let base = of.map(|d| d.list).or(self.lists.before()).unwrap_or_default();
            match self.lists.patch(|n| n == base) {
                Some(patch) if patch.result == crate::patch::checksum(&bytes) => {
                    patches.list = Some((number, patch))
                }
                _ => whole.list = Some((number, bytes)),
            }
        }
        (patches, whole)
    }

    /// Bytes kept of pieces of news, old ones for patches with them.
    pub fn bytes(&self) -> usize {
        self.states.bytes() + self.lists.bytes()
    }

    /// What one with that digest lacks.
    pub fn newer_than(&self, digest: &Digest) -> Update {
        let Update { state, list, .. } = self.newest.clone();
        let state = state.filter(|s| s.0 > digest.state && !(digest.state.0 > 0 && s.0 .1 == digest.state.1));
        Update { epoch: None, state, list: list.filter(|l| l.0 > digest.list) }
    }
}

/// Whether this is a later stamp of what is held: no two committed documents share an index.
fn again(held: &(Version, Rc<[u8]>), stamp: Version) -> bool {
    stamp > held.0 && stamp.1 == held.0 .1
}
