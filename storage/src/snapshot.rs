//! The bytes of a snapshot: magic, serial, length, checksum, state.

use crate::{Numbered, MAX_STATE_BYTES};
use eyre::WrapErr;
use fnv::FnvHasher;
use std::fs::File;
use std::hash::Hasher;
use std::io::{self, Read};
use std::path::Path;

const MAGIC: &[u8; 8] = b"LPHIVE01";
const HEAD: usize = 28;

/// What a snapshot turned out to be.
pub(crate) enum Snapshot {
    None,
    Whole(Numbered),
    Corrupt,
}

/// What stands before the state.
pub(crate) fn head(serial: u64, state: &[u8]) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend_from_slice(&serial.to_le_bytes());
    head.extend_from_slice(&(state.len() as u32).to_le_bytes());
    head.extend_from_slice(&checksum(serial, state).to_le_bytes());
    head
}

/// Reads a snapshot. Errors are the disk's: what it holds is not known then.
pub(crate) fn read(path: &Path) -> eyre::Result<Snapshot> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Snapshot::None),
        Err(e) => return Err(e).wrap_err("snapshot"),
    };
    let mut bytes = Vec::new();
    file.take((HEAD + MAX_STATE_BYTES + 1) as u64).read_to_end(&mut bytes).wrap_err("snapshot")?;
    Ok(parse(bytes).map_or(Snapshot::Corrupt, Snapshot::Whole))
}

/// It was whole before it got its name: what is not whole now is no torn write but a spoilt disk.
fn parse(mut bytes: Vec<u8>) -> Option<Numbered> {
    let number = |at: usize| Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?));
    let (serial, sum) = (number(8)?, number(20)?);
    let length = u32::from_le_bytes(bytes.get(16..20)?.try_into().ok()?) as usize;
    let whole = bytes.starts_with(MAGIC) && bytes.len() == HEAD + length && length <= MAX_STATE_BYTES;
    if !whole || checksum(serial, &bytes[HEAD..]) != sum {
        return None;
    }
    bytes.drain(..HEAD);
    Some((serial, bytes))
}

fn checksum(serial: u64, state: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(&serial.to_le_bytes());
    hasher.write(state);
    hasher.finish()
}
