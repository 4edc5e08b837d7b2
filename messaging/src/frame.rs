//! Frames on a link: the length as 4 bytes, most significant first, and so many bytes.

use crate::{encode, Node, WireMessage};
use bytes::{Buf, BytesMut};

/// The longest frame.
pub(crate) const MOST: usize = 4 << 20;
/// The first frame of a link: this and the number of who opened it.
const HELLO: &[u8; 4] = b"wax1";

/// Why a link can't go on.
#[derive(Debug, PartialEq)]
pub(crate) struct TooLong;

/// Takes the next whole frame; `None` while there is none.
pub(crate) fn next(buf: &mut BytesMut) -> Result<Option<BytesMut>, TooLong> {
    let Some(head) = buf.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*head) as usize;
    if len > MOST {
        return Err(TooLong);
    }
    if buf.len() < 4 + len {
        return Ok(None);
    }
    buf.advance(4);
    Ok(Some(buf.split_to(len)))
}

/// Bytes still missing of the frame that began; 0 if none did.
pub(crate) fn missing(buf: &BytesMut) -> usize {
    let len = buf.first_chunk::<4>().map_or(0, |head| u32::from_be_bytes(*head) as usize);
    (4 + len.min(MOST)).saturating_sub(buf.len())
}

/// Appends a word as a frame, if that leaves at most `most` bytes in the buffer; else nothing.
pub(crate) fn put(word: &WireMessage, to: &mut Vec<u8>, most: usize) -> bool {
    let start = to.len();
    to.extend_from_slice(&[0; 4]);
    let encoded = encode(word, to).is_ok();
    let len = to.len() - start - 4;
    if !encoded || len > MOST || to.len() > most {
        to.truncate(start);
        return false;
    }
    to[start..start + 4].copy_from_slice(&(len as u32).to_be_bytes());
    true
}

/// Appends the first frame of a link.
pub(crate) fn put_hello(me: Node, to: &mut Vec<u8>) {
    to.extend_from_slice(&8u32.to_be_bytes());
    to.extend_from_slice(HELLO);
    to.extend_from_slice(&me.to_be_bytes());
}

/// Who opened the link, by its first frame.
pub(crate) fn hello(frame: &[u8]) -> Option<Node> {
    frame.strip_prefix(HELLO)?.try_into().ok().map(Node::from_be_bytes)
}
