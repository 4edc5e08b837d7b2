//! The newest pieces of one kind of news, for patches to and from them.

use crate::patch::{checksum, Checksum, Patch};
use crate::Version;
use std::collections::VecDeque;
use std::rc::Rc;

/// So many pieces are kept, and so many bytes of those that are not the newest two.
pub const PIECES: usize = 8;
pub const BYTES: usize = 256 << 10;

struct Piece {
    number: Version,
    sum: Checksum,
    bytes: Rc<[u8]>,
}

/// What becomes of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Built {
    /// The piece.
    Piece(Rc<[u8]>),
    /// The piece that it builds on is not here (any more).
    NoBase,
    /// It does not give what it says.
    Spoilt,
}

/// See the module.
#[derive(Default)]
pub struct Shelf {
    /// The newest first.
    pieces: VecDeque<Piece>,
    /// Patches to the newest, made or heard here.
    patches: Vec<Patch>,
}

impl Shelf {
    /// Puts the newest in.
    pub fn put(&mut self, number: Version, bytes: Rc<[u8]>) {
        let sum = checksum(&bytes);
        self.patches.retain(|p| p.result == sum);
        self.pieces.retain(|p| p.number != number);
        self.pieces.push_front(Piece { number, sum, bytes });
        let mut room = BYTES;
        let mut place = 0;
        self.pieces.retain(|p| {
            place += 1;
            room = if place > 2 { room.saturating_sub(p.bytes.len()) } else { room };
            place <= PIECES && room > 0
        });
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        *self = Shelf::default();
    }

    /// Bytes of all pieces.
    pub fn bytes(&self) -> usize {
        self.pieces.iter().map(|p| p.bytes.len()).sum()
    }

    /// The number of the piece before the newest.
    pub fn before(&self) -> Option<Version> {
        self.pieces.get(1).map(|p| p.number)
    }

    /// What turns the piece of a number that passes into the newest; what packs the newest if there is none.
    pub fn patch(&mut self, base: impl Fn(Version) -> bool) -> Option<Patch> {
        let newest = self.pieces.front()?;
        let base = self.pieces.iter().skip(1).find(|p| base(p.number));
        let sum = base.map(|b| b.sum);
        if let Some(made) = self.patches.iter().find(|p| p.base == sum && p.result == newest.sum) {
            return Some(made.clone());
        }
        let made = Patch::new(base.map(|b| &*b.bytes), &newest.bytes)?;
        self.keep(made.clone());
        Some(made)
    }

    /// Keeps a patch, to be passed on once its piece is the newest.
    pub fn keep(&mut self, patch: Patch) {
        if self.patches.iter().any(|p| (p.base, p.result) == (patch.base, patch.result)) {
            return;
        }
        if self.patches.len() == PIECES {
            self.patches.remove(0);
        }
        self.patches.push(patch);
    }

    /// Builds a piece.
    pub fn build(&self, patch: &Patch) -> Built {
        let base = match patch.base {
            None => None,
            Some(sum) => match self.pieces.iter().find(|p| p.sum == sum) {
                Some(base) => Some(&*base.bytes),
                None => return Built::NoBase,
            },
        };
        patch.apply(base).map_or(Built::Spoilt, Built::Piece)
    }
}
