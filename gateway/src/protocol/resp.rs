//! The part of RESP2 that the counter uses: calls are written as arrays of bulk strings, and replies are read.

use std::io::Write;

/// A reply to a call.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The new total.
    Total(f64),
    /// The counter is overloaded and did not execute the call.
    Busy,
    /// The counter does not know the call and did not execute it.
    Refused,
}

/// Bytes that are not a reply to a call. The call may have been executed nevertheless, and no later bytes of the
/// connection can be trusted.
#[derive(Debug, PartialEq)]
pub struct Malformed;

/// The longest line or string that is accepted; totals and errors are far shorter.
const MAX_LENGTH: usize = 4096;

/// Appends a call with these arguments.
pub fn write_call(to: &mut Vec<u8>, args: &[&str]) {
    let _ = write!(to, "*{}\r\n", args.len());
    for arg in args {
        let _ = write!(to, "${}\r\n{arg}\r\n", arg.len());
    }
}

/// The first reply in `from` and its length; `None` while it is incomplete.
pub fn read_reply(from: &[u8]) -> Result<Option<(Reply, usize)>, Malformed> {
    let Some((line, consumed)) = line(from)? else { return Ok(None) };
    let (&kind, text) = line.split_first().ok_or(Malformed)?;
    let text = std::str::from_utf8(text).map_err(|_| Malformed)?;
    Ok(Some(match kind {
        b'$' => {
            let length = text.parse::<usize>().ok().filter(|n| *n <= MAX_LENGTH).ok_or(Malformed)?;
            let Some(rest) = from.get(consumed..consumed + length + 2) else { return Ok(None) };
            if &rest[length..] != b"\r\n" {
                return Err(Malformed);
            }
            let total = std::str::from_utf8(&rest[..length]).ok().and_then(|t| t.trim().parse::<f64>().ok());
            (Reply::Total(total.filter(|t| t.is_finite()).ok_or(Malformed)?), consumed + length + 2)
        }
        b':' => (Reply::Total(text.parse::<i64>().map_err(|_| Malformed)? as f64), consumed),
        b'-' if text.split(' ').next() == Some("BUSY") => (Reply::Busy, consumed),
        b'-' if text.split(' ').next() == Some("ERR") => (Reply::Refused, consumed),
        _ => return Err(Malformed),
    }))
}

fn line(from: &[u8]) -> Result<Option<(&[u8], usize)>, Malformed> {
    match from.windows(2).position(|w| w == b"\r\n") {
        Some(n) => Ok(Some((&from[..n], n + 2))),
        None if from.len() > MAX_LENGTH => Err(Malformed),
        None => Ok(None),
    }
}

#[cfg(test)]
mod tests;
