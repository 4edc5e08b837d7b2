//! Differences between two versions of an update. A process with the base rebuilds the other version exactly,
//! or not at all.

use std::rc::Rc;

/// Checksum of content, which identifies it independently of its version number.
pub type Checksum = u128;

/// Maximum length of the content rebuilt from a patch.
pub const MAX_BYTES: usize = 4 << 20;
/// Fast rather than small: most of the gain comes from what both versions share.
const COMPRESSION_LEVEL: i32 = 1;

/// Returns the checksum of some content.
pub fn checksum(bytes: &[u8]) -> Checksum {
    xxhash_rust::xxh3::xxh3_128(bytes)
}

/// A compressed difference to a base.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    /// Checksum of the base; `None` if the patch has no base and is the compressed content itself.
    pub base: Option<Checksum>,
    /// Checksum of the resulting content.
    pub result: Checksum,
    /// Length of the resulting content, in bytes.
    pub len: u32,
    /// The difference (zstd with the base as its dictionary).
    pub bytes: Rc<[u8]>,
}

impl Patch {
    /// Creates a patch from `base` to `content`, or `None` if that is no shorter than the content itself.
    pub fn new(base: Option<&[u8]>, content: &[u8]) -> Option<Patch> {
        let len = u32::try_from(content.len()).ok().filter(|len| *len as usize <= MAX_BYTES)?;
        let mut compressor =
            zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, base.unwrap_or_default()).ok()?;
        let bytes = compressor.compress(content).ok().filter(|b| b.len() < content.len())?;
        Some(Patch { base: base.map(checksum), result: checksum(content), len, bytes: bytes.into() })
    }

    /// Rebuilds the content from its base. Returns `None` if the base is a different one or the patch is
    /// corrupt: the result always has the expected checksum.
    pub fn apply(&self, base: Option<&[u8]>) -> Option<Rc<[u8]>> {
        self.unpack(base).filter(|content| checksum(content) == self.result).map(Rc::from)
    }

    /// Rebuilds the content without checking its checksum.
    pub fn unpack(&self, base: Option<&[u8]>) -> Option<Vec<u8>> {
        let len = Some(self.len as usize).filter(|len| *len <= MAX_BYTES)?;
        let mut decompressor = zstd::bulk::Decompressor::with_dictionary(base.unwrap_or_default()).ok()?;
        decompressor.decompress(&self.bytes, len).ok()
    }
}
