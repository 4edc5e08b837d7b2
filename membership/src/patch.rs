//! What differs between two pieces of news: who holds the one builds the other from it, exactly, or not at all.

use std::rc::Rc;

/// Of bytes, to tell pieces apart by what they are and not by their number.
pub type Checksum = u128;

/// No piece built from a patch is longer.
pub const MOST: usize = 4 << 20;
/// Quick rather than tight: most of the gain is what both pieces share.
const LEVEL: i32 = 1;

/// The sum of a piece.
pub fn checksum(bytes: &[u8]) -> Checksum {
    xxhash_rust::xxh3::xxh3_128(bytes)
}

/// See the module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    /// Sum of the piece that it builds on; none: it builds on nothing, and is the piece itself, packed.
    pub base: Option<Checksum>,
    /// Sum of the piece that it gives.
    pub result: Checksum,
    /// Length of that piece, in bytes.
    pub len: u32,
    /// What differs (zstd, the base as its dictionary).
    pub bytes: Rc<[u8]>,
}

impl Patch {
    /// What turns `base` into `piece`; none where that is no shorter than the piece itself.
    pub fn new(base: Option<&[u8]>, piece: &[u8]) -> Option<Patch> {
        let len = u32::try_from(piece.len()).ok().filter(|len| *len as usize <= MOST)?;
        let mut packer = zstd::bulk::Compressor::with_dictionary(LEVEL, base.unwrap_or_default()).ok()?;
        let bytes = packer.compress(piece).ok().filter(|b| b.len() < piece.len())?;
        Some(Patch { base: base.map(checksum), result: checksum(piece), len, bytes: bytes.into() })
    }

    /// The piece, built from its base. None where that is another one, or the patch is spoilt: what comes out is
    /// the very piece or nothing.
    pub fn apply(&self, base: Option<&[u8]>) -> Option<Rc<[u8]>> {
        self.unpack(base).filter(|piece| checksum(piece) == self.result).map(Rc::from)
    }

    /// The same, without a look at what came out.
    pub fn unpack(&self, base: Option<&[u8]>) -> Option<Vec<u8>> {
        let len = Some(self.len as usize).filter(|len| *len <= MOST)?;
        let mut unpacker = zstd::bulk::Decompressor::with_dictionary(base.unwrap_or_default()).ok()?;
        unpacker.decompress(&self.bytes, len).ok()
    }
}
