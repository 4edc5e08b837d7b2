//! Frames on a link: the length as 4 bytes, most significant byte first, followed by that many bytes.

use crate::{encode, Node, WireMessage};
use bytes::{Buf, BytesMut};

/// The maximum length of a frame.
pub(crate) const MAX_FRAME: usize = 4 << 20;
/// The first frame of a link is this prefix and the id of the process that opened it.
const HELLO_PREFIX: &[u8; 4] = b"wax1";

/// A frame's length exceeds the maximum, so the link has to end.
#[derive(Debug, PartialEq)]
pub(crate) struct TooLong;

/// Removes and returns the next complete frame; `None` if there is none yet.
pub(crate) fn take_next(buf: &mut BytesMut) -> Result<Option<BytesMut>, TooLong> {
    let Some(header) = buf.first_chunk::<4>() else { return Ok(None) };
    let len = u32::from_be_bytes(*header) as usize;
    if len > MAX_FRAME {
        return Err(TooLong);
    }
    if buf.len() < 4 + len {
        return Ok(None);
    }
    buf.advance(4);
    Ok(Some(buf.split_to(len)))
}

/// Returns how many bytes of an incomplete frame are missing; with an empty buffer, those of a header.
pub(crate) fn missing_bytes(buf: &BytesMut) -> usize {
    let len = buf.first_chunk::<4>().map_or(0, |header| u32::from_be_bytes(*header) as usize);
    (4 + len.min(MAX_FRAME)).saturating_sub(buf.len())
}

/// Appends a message as a frame and returns `true`, unless it can't be encoded, is too long or would leave
/// more than `max_len` bytes in the buffer.
pub(crate) fn append(message: &WireMessage, buffer: &mut Vec<u8>, max_len: usize) -> bool {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; 4]);
    let encoded = encode(message, buffer).is_ok();
    let len = buffer.len() - start - 4;
    if !encoded || len > MAX_FRAME || buffer.len() > max_len {
        buffer.truncate(start);
        return false;
    }
    buffer[start..start + 4].copy_from_slice(&(len as u32).to_be_bytes());
    true
}

/// Appends the first frame of a link.
pub(crate) fn append_hello(me: Node, buffer: &mut Vec<u8>) {
    buffer.extend_from_slice(&8u32.to_be_bytes());
    buffer.extend_from_slice(HELLO_PREFIX);
    buffer.extend_from_slice(&me.to_be_bytes());
}

/// Returns the process that opened the link, from its first frame.
pub(crate) fn parse_hello(frame: &[u8]) -> Option<Node> {
    frame.strip_prefix(HELLO_PREFIX)?.try_into().ok().map(Node::from_be_bytes)
}
