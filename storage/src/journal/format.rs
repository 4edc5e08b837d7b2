//! The bytes of a segment: a header, the frames of the head, the frames of entries.
//!
//! A frame is the length of its content, how long it is needed, a checksum, and the content. The checksum covers the
//! entry's number as well, so that a frame in another's place is not taken for it.

use fnv::FnvHasher;
use std::hash::Hasher;

const MAGIC: &[u8; 8] = b"LPOPER01";
/// Bytes of a header.
pub(crate) const HEADER: usize = 60;
/// Bytes of a frame before its content.
pub(crate) const FRAME: usize = 16;
/// Stands for no number.
const NONE: u64 = u64::MAX;
/// Stands for an entry that is needed until a head replaces it.
const UNTIL_HEAD: u32 = u32::MAX;

/// What a segment says of itself and of the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) segment: u64,
    /// The first segment of the start of the program that wrote this one.
    pub(crate) run: u64,
    /// Up to which byte the segment before holds what was saved; 0: there is none that counts.
    pub(crate) previous_end: u64,
    /// Number of its first entry.
    pub(crate) first_number: u64,
    /// The last entry that was taken before the head was set; none: no head was set.
    pub(crate) head_number: Option<u64>,
    /// Frames of the head.
    pub(crate) heads: u32,
}

/// An entry that was read.
pub(crate) struct Entry {
    /// Seconds for which it is needed; none: until a head replaces it.
    pub(crate) keep_s: Option<f64>,
    pub(crate) content: Vec<u8>,
}

/// A segment as far as it could be read.
pub(crate) struct Contents {
    pub(crate) header: Header,
    pub(crate) head: Vec<Vec<u8>>,
    pub(crate) entries: Vec<Entry>,
    /// Where the last frame that could be read ends.
    pub(crate) end: u64,
}

impl Header {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        let head_number = self.head_number.unwrap_or(NONE);
        for number in [self.segment, self.run, self.previous_end, self.first_number, head_number] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(&self.heads.to_le_bytes());
        let check = checksum(&[&bytes]);
        bytes.extend_from_slice(&check.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Header> {
        let bytes = bytes.get(..HEADER)?;
        let number = |at: usize| Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?));
        if !bytes.starts_with(MAGIC) || checksum(&[&bytes[..HEADER - 8]]) != number(HEADER - 8)? {
            return None;
        }
        Some(Header {
            segment: number(8)?,
            run: number(16)?,
            previous_end: number(24)?,
            first_number: number(32)?,
            head_number: Some(number(40)?).filter(|number| *number != NONE),
            heads: u32::from_le_bytes(bytes.get(48..52)?.try_into().ok()?),
        })
    }
}

/// Appends the frame of an entry.
pub(crate) fn push_entry(bytes: &mut Vec<u8>, number: u64, content: &[u8], keep_s: Option<f64>) {
    push_frame(bytes, number, content, keep_s.map_or(UNTIL_HEAD, keep_milliseconds));
}

/// Appends the frame of an entry of the head; `index` counts within the head.
pub(crate) fn push_head(bytes: &mut Vec<u8>, index: u64, content: &[u8]) {
    push_frame(bytes, head_seed(index), content, UNTIL_HEAD);
}

/// Reads a segment up to the first frame that isn't whole. None: its header or its head isn't.
pub(crate) fn read(bytes: &[u8]) -> Option<Contents> {
    let header = Header::decode(bytes)?;
    let mut rest = &bytes[HEADER..];
    let mut head = Vec::new();
    for index in 0..header.heads {
        head.push(take_frame(&mut rest, head_seed(index.into()))?.content);
    }
    let mut entries = Vec::new();
    while let Some(entry) = take_frame(&mut rest, header.first_number.wrapping_add(entries.len() as u64)) {
        entries.push(entry);
    }
    let end = (bytes.len() - rest.len()) as u64;
    Some(Contents { header, head, entries, end })
}

fn push_frame(bytes: &mut Vec<u8>, seed: u64, content: &[u8], keep: u32) {
    let (length, keep) = ((content.len() as u32).to_le_bytes(), keep.to_le_bytes());
    let check = checksum(&[&seed.to_le_bytes(), &length, &keep, content]);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&keep);
    bytes.extend_from_slice(&check.to_le_bytes());
    bytes.extend_from_slice(content);
}

/// Takes the next frame off, if it is whole.
fn take_frame(rest: &mut &[u8], seed: u64) -> Option<Entry> {
    let (length, after) = rest.split_first_chunk::<4>()?;
    let (keep, after) = after.split_first_chunk::<4>()?;
    let (check, after) = after.split_first_chunk::<8>()?;
    let (content, after) = after.split_at_checked(u32::from_le_bytes(*length) as usize)?;
    if checksum(&[&seed.to_le_bytes(), length, keep, content]) != u64::from_le_bytes(*check) {
        return None;
    }
    *rest = after;
    let keep = u32::from_le_bytes(*keep);
    let keep_s = (keep != UNTIL_HEAD).then(|| f64::from(keep) / 1e3);
    Some(Entry { keep_s, content: content.to_vec() })
}

fn keep_milliseconds(keep_s: f64) -> u32 {
    ((keep_s * 1e3).ceil() as u32).min(UNTIL_HEAD - 1)
}

/// Heads count down from the end, entries up from the start.
fn head_seed(index: u64) -> u64 {
    NONE - index
}

fn checksum(parts: &[&[u8]]) -> u64 {
    let mut hasher = FnvHasher::default();
    parts.iter().for_each(|part| hasher.write(part));
    hasher.finish()
}
