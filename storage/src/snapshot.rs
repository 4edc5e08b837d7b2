//! The bytes of a snapshot: magic, serial, length, checksum, state.

use crate::{NumberedState, MAX_STATE_BYTES};
use eyre::WrapErr;
use fnv::FnvHasher;
use std::fs::File;
use std::hash::Hasher;
use std::io::{self, Read};
use std::path::Path;

const MAGIC: &[u8; 8] = b"LPHIVE01";
const HEADER: usize = 28;

/// The result of reading a snapshot.
pub(crate) enum Snapshot {
    None,
    Intact(NumberedState),
    Corrupt,
}

/// The header that precedes the state.
pub(crate) fn header(serial: u64, state: &[u8]) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend_from_slice(&serial.to_le_bytes());
    header.extend_from_slice(&(state.len() as u32).to_le_bytes());
    header.extend_from_slice(&checksum(serial, state).to_le_bytes());
    header
}

/// Reads a snapshot. An error means that the disk could not be read, so its content is unknown.
pub(crate) fn read(path: &Path) -> eyre::Result<Snapshot> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Snapshot::None),
        Err(e) => return Err(e).wrap_err("open the snapshot"),
    };
    let mut bytes = Vec::new();
    file.take((HEADER + MAX_STATE_BYTES + 1) as u64).read_to_end(&mut bytes).wrap_err("read the snapshot")?;
    Ok(parse(bytes).map_or(Snapshot::Corrupt, Snapshot::Intact))
}

/// Parses a snapshot. It was complete before it got its name, so a defect is a corrupt disk and not a torn write.
fn parse(mut bytes: Vec<u8>) -> Option<NumberedState> {
    let number = |offset: usize| Some(u64::from_le_bytes(bytes.get(offset..offset + 8)?.try_into().ok()?));
    let (serial, stored_checksum) = (number(8)?, number(20)?);
    let length = u32::from_le_bytes(bytes.get(16..20)?.try_into().ok()?) as usize;
    let intact = bytes.starts_with(MAGIC) && bytes.len() == HEADER + length && length <= MAX_STATE_BYTES;
    if !intact || checksum(serial, &bytes[HEADER..]) != stored_checksum {
        return None;
    }
    bytes.drain(..HEADER);
    Some((serial, bytes))
}

fn checksum(serial: u64, state: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(&serial.to_le_bytes());
    hasher.write(state);
    hasher.finish()
}
