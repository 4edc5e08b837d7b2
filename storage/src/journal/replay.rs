//! Reads the segments that were written by earlier starts.
//!
//! A segment begins only after the previous one is on disk, and its header contains the offset up to which the previous
//! one counts. Data after that offset is ignored, and data before it must be intact. Only the newest segment may end with
//! a torn frame, or lack its complete head; in the latter case it was never synced, and none of its entries was reported
//! as saved.

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
pub(super) fn file_name(segment: u64) -> String {
    format!("{PREFIX}{segment:06}{SUFFIX}")
}

/// The result of reading all segments.
pub(super) struct ReadResult {
    pub(super) replayed: Replayed,
    /// All segments, oldest first.
    pub(super) segments: VecDeque<Segment>,
    /// Number of the newest segment, if it was never synced.
    pub(super) unsynced: Option<u64>,
    /// Number and valid bytes of the newest segment, which may not be synced.
    pub(super) newest: Option<(u64, Vec<u8>)>,
}

/// Reads all segments. An error means that the disk could not be read, so its content is unknown.
pub(super) fn read(folder: &Path, now: f64) -> io::Result<ReadResult> {
    let mut reader = Reader::default();
    let mut segment_numbers = segment_numbers(folder)?;
    while let Some(number) = segment_numbers.pop() {
        reader.add(number, fs::read(folder.join(file_name(number)))?);
    }
    Ok(reader.finish(now))
}

/// Numbers of all segments in the folder, oldest first.
fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for file in fs::read_dir(folder)? {
        let file = file?.file_name();
        let Some(file) = file.to_str() else { continue };
        let number = file.strip_prefix(PREFIX).and_then(|rest| rest.strip_suffix(SUFFIX));
        let number = number.and_then(|number| number.parse().ok());
        numbers.extend(number.filter(|number| file_name(*number) == file));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// A segment file and its valid contents, if there are any.
struct SegmentFile {
    number: u64,
    bytes: u64,
    contents: Option<Contents>,
}

/// Reads the files newest first, since each is checked against the header of the file with the next higher number.
#[derive(Default)]
struct Reader {
    segment_files: Vec<SegmentFile>,
    newer_header: Option<Header>,
    unsynced: Option<u64>,
    newest: Option<(u64, Vec<u8>)>,
    damaged: bool,
}

impl Reader {
    /// Adds the next older file.
    fn add(&mut self, number: u64, mut data: Vec<u8>) {
        let bytes = data.len() as u64;
        let next_header = self.newer_header.filter(|newer| newer.segment == number + 1);
        if self.newer_header.is_some() && next_header.is_none() {
            self.damaged = true;
        }
        if let Some(next) = next_header {
            data.truncate(next.previous_end as usize);
        }
        let contents = format::read(&data).filter(|contents| contents.header.segment == number);
        match &contents {
            Some(contents) => {
                self.damaged |= next_header.is_some_and(|next| !is_continuous(contents, &next));
                self.newer_header = Some(contents.header);
                if self.newest.is_none() {
                    data.truncate(contents.end as usize);
                    self.newest = Some((number, data));
                }
            }
            None if self.segment_files.is_empty() && self.unsynced.is_none() => {
                self.unsynced = Some(number);
                return;
            }
            None => {
                self.damaged = true;
                self.newer_header = None;
            }
        }
        self.segment_files.push(SegmentFile { number, bytes, contents });
    }

    fn finish(mut self, now: f64) -> ReadResult {
        self.segment_files.reverse();
        let damaged = self.damaged;
        let segments = self.segment_files.iter().map(|file| file.segment(now, damaged)).collect();
        let contents = self.segment_files.into_iter().filter_map(|file| file.contents).collect();
        let replayed = Replayed { entries: in_append_order(contents), damaged };
        ReadResult { replayed, segments, unsynced: self.unsynced, newest: self.newest }
    }
}

/// Whether a segment contains everything that the header of the next segment refers to.
fn is_continuous(contents: &Contents, next: &Header) -> bool {
    let Header { run, first_number, .. } = contents.header;
    let next_number = first_number + contents.entries.len() as u64;
    contents.end == next.previous_end && (run != next.run || next_number == next.first_number)
}

impl SegmentFile {
    /// Builds the segment's state. The system clock can't be trusted, so the keep times of all entries start again now.
    fn segment(&self, now: f64, damaged: bool) -> Segment {
        let entries = self.contents.iter().flat_map(|contents| &contents.entries);
        let longest_keep_s = entries.clone().filter_map(|entry| entry.keep_s).fold(0.0, f64::max);
        let until_head = entries.clone().any(|entry| entry.keep_s.is_none());
        let head = self.contents.iter().any(|contents| !contents.head.is_empty());
        Segment {
            number: self.number,
            bytes: self.bytes,
            end: self.contents.as_ref().map_or(0, |contents| contents.end),
            expires: now + longest_keep_s,
            needs_head: (until_head || head || damaged).then_some(0),
        }
    }
}

/// Puts all entries into the order of appending. A head moves to the position at which it was set, since entries that
/// were appended after that may precede it on disk.
fn in_append_order(segments: Vec<Contents>) -> Vec<Vec<u8>> {
    let mut positioned = Vec::new();
    for Contents { header, head, entries, .. } in segments {
        let head_number = header.head_number.unwrap_or(0);
        positioned.extend(head.into_iter().map(|content| ((header.run, head_number, true), content)));
        let numbered = (header.first_number..).zip(entries);
        positioned.extend(numbered.map(|(number, entry)| ((header.run, number, false), entry.content)));
    }
    positioned.sort_by_key(|(position, _)| *position);
    positioned.into_iter().map(|(_, content)| content).collect()
}
