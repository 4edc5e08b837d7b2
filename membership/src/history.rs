//! The newest versions of one kind of update, to make patches from and to apply patches to.

use crate::patch::{checksum, Checksum, Patch};
use crate::Version;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of versions kept.
pub const MAX_VERSIONS: usize = 8;
/// Maximum bytes of the versions kept beside the newest two.
pub const MAX_OLD_BYTES: usize = 256 << 10;

struct Entry {
    version: Version,
    content_checksum: Checksum,
    bytes: Rc<[u8]>,
}

/// The result of applying a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BuildResult {
    /// The rebuilt content.
    Content(Rc<[u8]>),
    /// The base of the patch is not kept here.
    NoBase,
    /// The result does not have the expected checksum.
    Corrupt,
}

/// The newest versions of one kind of update.
#[derive(Default)]
pub struct History {
    /// The newest version comes first.
    entries: VecDeque<Entry>,
    /// Patches to the newest version, made here or received.
    patches: Vec<Patch>,
}

impl History {
    /// Inserts the newest version.
    pub fn insert(&mut self, version: Version, bytes: Rc<[u8]>) {
        let content_checksum = checksum(&bytes);
        self.patches.retain(|p| p.result == content_checksum);
        self.entries.retain(|e| e.version != version);
        self.entries.push_front(Entry { version, content_checksum, bytes });
        let mut bytes_left = MAX_OLD_BYTES;
        let mut position = 0;
        self.entries.retain(|e| {
            position += 1;
            bytes_left = if position > 2 { bytes_left.saturating_sub(e.bytes.len()) } else { bytes_left };
            position <= MAX_VERSIONS && bytes_left > 0
        });
    }

    /// Removes all versions and patches.
    pub fn clear(&mut self) {
        *self = History::default();
    }

    /// Returns the bytes of all versions.
    pub fn bytes(&self) -> usize {
        self.entries.iter().map(|e| e.bytes.len()).sum()
    }

    /// Returns the version before the newest one.
    pub fn previous_version(&self) -> Option<Version> {
        self.entries.get(1).map(|e| e.version)
    }

    /// Returns a patch to the newest version from the newest older one for which `is_base` holds, or one
    /// without a base if there is none.
    pub fn patch_from(&mut self, is_base: impl Fn(Version) -> bool) -> Option<Patch> {
        let newest = self.entries.front()?;
        let base = self.entries.iter().skip(1).find(|e| is_base(e.version));
        let content_checksum = base.map(|b| b.content_checksum);
        if let Some(patch) =
            self.patches.iter().find(|p| p.base == content_checksum && p.result == newest.content_checksum)
        {
            return Some(patch.clone());
        }
        let patch = Patch::new(base.map(|b| &*b.bytes), &newest.bytes)?;
        self.keep_patch(patch.clone());
        Some(patch)
    }

    /// Keeps a patch, to be sent on once its result is the newest version.
    pub fn keep_patch(&mut self, patch: Patch) {
        if self.patches.iter().any(|p| (p.base, p.result) == (patch.base, patch.result)) {
            return;
        }
        if self.patches.len() == MAX_VERSIONS {
            self.patches.remove(0);
        }
        self.patches.push(patch);
    }

    /// Applies a patch to its base.
    pub fn apply(&self, patch: &Patch) -> BuildResult {
        let base = match patch.base {
            None => None,
            Some(content_checksum) => {
                match self.entries.iter().find(|e| e.content_checksum == content_checksum) {
                    Some(base) => Some(&*base.bytes),
                    None => return BuildResult::NoBase,
                }
            }
        };
        patch.apply(base).map_or(BuildResult::Corrupt, BuildResult::Content)
    }
}
