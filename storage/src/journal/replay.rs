//! What the segments of earlier starts hold.
//!
//! A segment begins only once the one before is on disk, and its header names how far that one counts. So behind that
//! end nothing is trusted, and before it everything must be whole. The newest segment alone may end torn, or not have
//! got its head: then it was never synced, and nothing in it was told as saved.

use super::format::{self, Contents, Header};
use super::segments::Segment;
use super::Replayed;
use std::collections::VecDeque;
use std::fs;
use std::io;
use std::path::Path;

const PREFIX: &str = "operations-";
const SUFFIX: &str = ".log";

/// The file name of a segment.
pub(super) fn name(segment: u64) -> String {
    format!("{PREFIX}{segment:06}{SUFFIX}")
}

/// What was found.
pub(super) struct Found {
    pub(super) replayed: Replayed,
    /// Oldest first.
    pub(super) segments: VecDeque<Segment>,
    /// The newest file, if it was never synced.
    pub(super) unsynced: Option<u64>,
    /// The bytes that count of the newest segment, which may not be synced.
    pub(super) newest: Option<(u64, Vec<u8>)>,
}

/// Reads all segments. Errors are the disk's: what it holds is not known then.
pub(super) fn read(folder: &Path, now: f64) -> io::Result<Found> {
    let mut reader = Reader::default();
    let mut files = files(folder)?;
    while let Some(number) = files.pop() {
        reader.take(number, fs::read(folder.join(name(number)))?);
    }
    Ok(reader.finish(now))
}

/// The segments that there are, oldest first.
fn files(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for file in fs::read_dir(folder)? {
        let file = file?.file_name();
        let Some(file) = file.to_str() else { continue };
        let number = file.strip_prefix(PREFIX).and_then(|rest| rest.strip_suffix(SUFFIX));
        let number = number.and_then(|number| number.parse().ok());
        numbers.extend(number.filter(|number| name(*number) == file));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// A file, and what of it counts.
struct Part {
    number: u64,
    bytes: u64,
    contents: Option<Contents>,
}

/// Takes the files newest first, since each is judged by the header of the one behind it.
#[derive(Default)]
struct Reader {
    parts: Vec<Part>,
    newer: Option<Header>,
    unsynced: Option<u64>,
    newest: Option<(u64, Vec<u8>)>,
    damaged: bool,
}

impl Reader {
    fn take(&mut self, number: u64, mut file: Vec<u8>) {
        let bytes = file.len() as u64;
        let follows = self.newer.filter(|newer| newer.segment == number + 1);
        if self.newer.is_some() && follows.is_none() {
            self.damaged = true;
        }
        if let Some(newer) = follows {
            file.truncate(newer.previous_end as usize);
        }
        let contents = format::read(&file).filter(|contents| contents.header.segment == number);
        match &contents {
            Some(contents) => {
                self.damaged |= follows.is_some_and(|newer| !joins(contents, &newer));
                self.newer = Some(contents.header);
                if self.newest.is_none() {
                    file.truncate(contents.end as usize);
                    self.newest = Some((number, file));
                }
            }
            None if self.parts.is_empty() && self.unsynced.is_none() => {
                self.unsynced = Some(number);
                return;
            }
            None => {
                self.damaged = true;
                self.newer = None;
            }
        }
        self.parts.push(Part { number, bytes, contents });
    }

    fn finish(mut self, now: f64) -> Found {
        self.parts.reverse();
        let damaged = self.damaged;
        let segments = self.parts.iter().map(|part| part.segment(now, damaged)).collect();
        let contents = self.parts.into_iter().filter_map(|part| part.contents).collect();
        let replayed = Replayed { entries: in_order(contents), damaged };
        Found { replayed, segments, unsynced: self.unsynced, newest: self.newest }
    }
}

/// Whether all that the segment behind it relies on is there.
fn joins(contents: &Contents, newer: &Header) -> bool {
    let Header { run, first_number, .. } = contents.header;
    let next_number = first_number + contents.entries.len() as u64;
    contents.end == newer.previous_end && (run != newer.run || next_number == newer.first_number)
}

impl Part {
    /// The time of day can't be trusted: how long an entry is needed counts anew from now.
    fn segment(&self, now: f64, damaged: bool) -> Segment {
        let entries = self.contents.iter().flat_map(|contents| &contents.entries);
        let keep = entries.clone().filter_map(|entry| entry.keep_s).fold(0.0, f64::max);
        let until_head = entries.clone().any(|entry| entry.keep_s.is_none());
        let head = self.contents.iter().any(|contents| !contents.head.is_empty());
        Segment {
            number: self.number,
            bytes: self.bytes,
            end: self.contents.as_ref().map_or(0, |contents| contents.end),
            expires: now + keep,
            needs_head: (until_head || head || damaged).then_some(0),
        }
    }
}

/// Heads move to where they were set: entries that came after that may stand before them on disk.
fn in_order(segments: Vec<Contents>) -> Vec<Vec<u8>> {
    let mut placed = Vec::new();
    for Contents { header, head, entries, .. } in segments {
        let head_number = header.head_number.unwrap_or(0);
        placed.extend(head.into_iter().map(|content| ((header.run, head_number, true), content)));
        let numbered = (header.first_number..).zip(entries);
        placed.extend(numbered.map(|(number, entry)| ((header.run, number, false), entry.content)));
    }
    placed.sort_by_key(|(place, _)| *place);
    placed.into_iter().map(|(_, content)| content).collect()
}
