//! RESP2, as far as the counter needs it: a call written as an array of bulk strings, an answer read.

use std::io::Write;

#[derive(Debug, PartialEq)]
pub enum Reply {
    Total(f64),
    Busy,
    /// No such call: nothing was done.
    Refused,
}

/// What is no answer to a call. The call was served all the same, and nothing after it can be relied on.
#[derive(Debug, PartialEq)]
pub struct Garbled;

/// The longest line or string that is waited for; totals and errors are far shorter.
const LONGEST: usize = 4096;

pub fn write_call(to: &mut Vec<u8>, words: &[&str]) {
    let _ = write!(to, "*{}\r\n", words.len());
    for w in words {
        let _ = write!(to, "${}\r\n{w}\r\n", w.len());
    }
}

/// The first answer in `from` and its length, `None` while it is not whole.
pub fn read_reply(from: &[u8]) -> Result<Option<(Reply, usize)>, Garbled> {
    let Some((line, used)) = line(from)? else { return Ok(None) };
    let (&kind, text) = line.split_first().ok_or(Garbled)?;
    let text = std::str::from_utf8(text).map_err(|_| Garbled)?;
    Ok(Some(match kind {
        b'$' => {
            let n = text.parse::<usize>().ok().filter(|n| *n <= LONGEST).ok_or(Garbled)?;
            let Some(rest) = from.get(used..used + n + 2) else { return Ok(None) };
            if &rest[n..] != b"\r\n" {
                return Err(Garbled);
            }
            let total = std::str::from_utf8(&rest[..n]).ok().and_then(|t| t.trim().parse::<f64>().ok());
            (Reply::Total(total.filter(|t| t.is_finite()).ok_or(Garbled)?), used + n + 2)
        }
        b':' => (Reply::Total(text.parse::<i64>().map_err(|_| Garbled)? as f64), used),
        b'-' if text.split(' ').next() == Some("BUSY") => (Reply::Busy, used),
        b'-' if text.split(' ').next() == Some("ERR") => (Reply::Refused, used),
        _ => return Err(Garbled),
    }))
}

fn line(from: &[u8]) -> Result<Option<(&[u8], usize)>, Garbled> {
    match from.windows(2).position(|w| w == b"\r\n") {
        Some(n) => Ok(Some((&from[..n], n + 2))),
        None if from.len() > LONGEST => Err(Garbled),
        None => Ok(None),
    }
}

#[cfg(test)]
mod tests;
