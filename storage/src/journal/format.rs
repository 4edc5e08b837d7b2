//! The format of a segment: a header, the frames of the head, and the frames of the entries.
//!
//! A frame consists of the length of its content, the time for which it is needed, a checksum, and the content. The
//! checksum also covers the entry's number, so that a frame at the position of another one is detected.

use fnv::FnvHasher;
use std::hash::Hasher;

/// The first bytes of every segment.
const MAGIC: &[u8; 8] = b"LPOPER01";
/// Size of a header.
pub(crate) const HEADER_BYTES: usize = 60;
/// Size of a frame without its content.
pub(crate) const FRAME_HEADER_BYTES: usize = 16;
/// Encodes the absence of a number.
const NO_NUMBER: u64 = u64::MAX;
/// Encodes the keep time of an entry that is needed until a head replaces it.
const UNTIL_HEAD: u32 = u32::MAX;

/// The header of a segment, which also describes the end of the previous segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) segment: u64,
    /// Number of the first segment that was written by the same process.
    pub(crate) run: u64,
    /// Offset up to which the previous segment holds saved data; 0: no previous segment counts.
    pub(crate) previous_end: u64,
    /// Number of the first entry.
    pub(crate) first_number: u64,
    /// Number of the last entry that was accepted before the head was set; `None`: no head was set.
    pub(crate) head_number: Option<u64>,
    /// Number of frames of the head.
    pub(crate) head_frames: u32,
}

/// An entry read from a segment.
pub(crate) struct Entry {
    /// Seconds for which the entry is needed; `None`: until a head replaces it.
    pub(crate) keep_s: Option<f64>,
    pub(crate) content: Vec<u8>,
}

/// The readable part of a segment.
pub(crate) struct Contents {
    pub(crate) header: Header,
    pub(crate) head: Vec<Vec<u8>>,
    pub(crate) entries: Vec<Entry>,
    /// Offset at which the last readable frame ends.
    pub(crate) end: u64,
}

impl Header {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        let head_number = self.head_number.unwrap_or(NO_NUMBER);
        for number in [self.segment, self.run, self.previous_end, self.first_number, head_number] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(&self.head_frames.to_le_bytes());
        let hash = checksum(&[&bytes]);
        bytes.extend_from_slice(&hash.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Header> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        let number =
            |offset: usize| Some(u64::from_le_bytes(bytes.get(offset..offset + 8)?.try_into().ok()?));
        if !bytes.starts_with(MAGIC) || checksum(&[&bytes[..HEADER_BYTES - 8]]) != number(HEADER_BYTES - 8)? {
            return None;
        }
        Some(Header {
            segment: number(8)?,
            run: number(16)?,
            previous_end: number(24)?,
            first_number: number(32)?,
            head_number: Some(number(40)?).filter(|number| *number != NO_NUMBER),
            head_frames: u32::from_le_bytes(bytes.get(48..52)?.try_into().ok()?),
        })
    }
}

/// Appends the frame of an entry.
pub(crate) fn push_entry(bytes: &mut Vec<u8>, number: u64, content: &[u8], keep_s: Option<f64>) {
    push_frame(bytes, number, content, keep_s.map_or(UNTIL_HEAD, keep_milliseconds));
}

/// Appends the frame of an entry of the head; `index` counts within the head.
pub(crate) fn push_head(bytes: &mut Vec<u8>, index: u64, content: &[u8]) {
    push_frame(bytes, head_checksum_seed(index), content, UNTIL_HEAD);
}

/// Reads a segment up to the first frame that is not intact. Returns `None` if the header or the head is not intact.
pub(crate) fn read(bytes: &[u8]) -> Option<Contents> {
    let header = Header::decode(bytes)?;
    let mut rest = &bytes[HEADER_BYTES..];
    let mut head = Vec::new();
    for index in 0..header.head_frames {
        head.push(take_frame(&mut rest, head_checksum_seed(index.into()))?.content);
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
    let hash = checksum(&[&seed.to_le_bytes(), &length, &keep, content]);
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&keep);
    bytes.extend_from_slice(&hash.to_le_bytes());
    bytes.extend_from_slice(content);
}

/// Removes the next frame from `rest` and returns it, if it is intact.
fn take_frame(rest: &mut &[u8], seed: u64) -> Option<Entry> {
    let (length, after) = rest.split_first_chunk::<4>()?;
    let (keep, after) = after.split_first_chunk::<4>()?;
    let (hash, after) = after.split_first_chunk::<8>()?;
    let (content, after) = after.split_at_checked(u32::from_le_bytes(*length) as usize)?;
    if checksum(&[&seed.to_le_bytes(), length, keep, content]) != u64::from_le_bytes(*hash) {
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

/// The checksum seed of a frame of the head. These seeds count down from the maximum while the seeds of entries, their
/// numbers, count up.
fn head_checksum_seed(index: u64) -> u64 {
    NO_NUMBER - index
}

fn checksum(parts: &[&[u8]]) -> u64 {
    let mut hasher = FnvHasher::default();
    parts.iter().for_each(|part| hasher.write(part));
    hasher.finish()
}
