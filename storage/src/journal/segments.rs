//! The segments on disk: which one is written, when the next one begins, and when old ones are deleted.

use super::batch::{Batch, Head};
use super::format::Header;
use super::replay::{self, file_name};
use super::{JournalBounds, Replayed};
use crate::Folder;
use std::collections::VecDeque;
use std::fs::File;
use std::io;

/// A segment on disk.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// Size of the file.
    pub(super) bytes: u64,
    /// Offset at which the saved data ends.
    pub(super) end: u64,
    /// Time at which the last of its entries expires, in seconds.
    pub(super) expires: f64,
    /// If set, the segment is needed until a segment with a head that covers this number is on disk.
    pub(super) needs_head: Option<u64>,
}

/// The segment that is being written, which is the newest one.
struct Current {
    file: File,
    begun_at: f64,
    entries: u64,
}

/// All segments of a journal. All operations block. `now` is in seconds and must never decrease.
pub struct Segments<F> {
    folder: F,
    bounds: JournalBounds,
    /// All segments on disk, oldest first.
    segments: VecDeque<Segment>,
    /// `None`: the next write begins a segment.
    current: Option<Current>,
    /// Number of the first segment of this process.
    run: u64,
    next_number: u64,
    /// The number that the head of the newest segment covers.
    head_number: Option<u64>,
}

impl<F: Folder> Segments<F> {
    /// Reads the existing segments, and syncs them in case the process that wrote them ended before it could. An error
    /// means that the disk could not be read; the call may be repeated.
    pub fn open(folder: F, bounds: JournalBounds, now: f64) -> io::Result<(Segments<F>, Replayed)> {
        let result = replay::read(folder.path(), now)?;
        if let Some(unsynced) = result.unsynced {
            remove(&folder, &file_name(unsynced))?;
        }
        if let Some((number, bytes)) = result.newest {
            rewrite(&folder, &file_name(number), &bytes)?;
        }
        folder.sync_folder()?;
        let run = result.segments.back().map_or(1, |newest| newest.number + 1);
        let segments = Segments {
            folder,
            bounds,
            segments: result.segments,
            current: None,
            run,
            next_number: 1,
            head_number: None,
        };
        Ok((segments, result.replayed))
    }

    /// Size of all segments on disk, in bytes.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Writes a batch and syncs it. All entries that `head` covers must have been written before the batch. After an error
    /// no entry of the batch counts as saved, and the caller must retry with the same batch, which then begins a new
    /// segment.
    pub fn write(&mut self, now: f64, batch: &Batch, head: &Head) -> io::Result<()> {
        if self.fits(now, batch) {
            self.append_to_current(batch)
        } else {
            self.begin(now, batch, head)
        }
    }

    /// Deletes old segments, and begins a new one if old ones can only be deleted after that. To be called periodically.
    pub fn maintain(&mut self, now: f64, head: &Head) -> io::Result<()> {
        self.delete_expired(now)?;
        if self.needs_new_segment(now, head) {
            self.begin(now, &Batch::default(), head)?;
            self.delete_expired(now)?;
        }
        Ok(())
    }

    /// Deletes segments that are no longer needed, oldest first.
    pub fn delete_expired(&mut self, now: f64) -> io::Result<()> {
        while self.segments.len() > 1
            && self.oldest_expired(now)
            && self.oldest_needs_head() <= self.head_number
        {
            // without a sync between two removals, a loss of power might undo only the removal of the older segment
            remove(&self.folder, &file_name(self.segments[0].number))?;
            self.folder.sync_folder()?;
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Whether all timed entries of the oldest segment have expired.
    fn oldest_expired(&self, now: f64) -> bool {
        self.segments.front().is_some_and(|oldest| oldest.expires <= now)
    }

    fn oldest_needs_head(&self) -> Option<u64> {
        self.segments.front().and_then(|oldest| oldest.needs_head)
    }

    fn fits(&self, now: f64, batch: &Batch) -> bool {
        let (Some(current), Some(newest)) = (&self.current, self.segments.back()) else { return false };
        let new_end = newest.end + batch.bytes.len() as u64;
        !self.is_too_old(now, current) && (new_end <= self.bounds.segment_bytes || current.entries == 0)
    }

    fn is_too_old(&self, now: f64, current: &Current) -> bool {
        now >= current.begun_at + self.bounds.segment_seconds
    }

    /// Whether a new segment is needed so that the newest segment, or an older one that waits for a new head, can be
    /// deleted.
    fn needs_new_segment(&self, now: f64, head: &Head) -> bool {
        let needs = self.oldest_needs_head();
        let freed = self.oldest_expired(now) && needs <= head.number;
        match &self.current {
            Some(current) => {
                self.is_too_old(now, current) && (current.entries > 0 || freed && needs > self.head_number)
            }
            None => freed,
        }
    }

    /// Appends a batch to the current segment.
    fn append_to_current(&mut self, batch: &Batch) -> io::Result<()> {
        let (Some(mut current), Some(newest)) = (self.current.take(), self.segments.back_mut()) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let file_name = file_name(newest.number);
        let written = self.folder.append(&current.file, &file_name, &batch.bytes);
        if let Err(e) = written.and_then(|()| self.folder.sync_data(&current.file, &file_name)) {
            // on a full disk the partial batch would take up the remaining space
            if self.folder.truncate(&current.file, &file_name, newest.end).is_err() {
                newest.bytes += batch.bytes.len() as u64;
            }
            return Err(e);
        }
        newest.end += batch.bytes.len() as u64;
        newest.bytes = newest.end;
        newest.expires = newest.expires.max(batch.expires);
        newest.needs_head = newest.needs_head.max(batch.needs_head);
        current.entries += batch.count;
        self.current = Some(current);
        self.next_number += batch.count;
        Ok(())
    }

    /// Begins a new segment with the head and a batch.
    fn begin(&mut self, now: f64, batch: &Batch, head: &Head) -> io::Result<()> {
        self.current = None;
        let newest = self.segments.back();
        let header = Header {
            segment: newest.map_or(self.run, |newest| newest.number + 1),
            run: self.run,
            previous_end: newest.map_or(0, |newest| newest.end),
            first_number: self.next_number,
            head_number: head.number,
            head_frames: head.count,
        };
        let start = [header.encode(), head.bytes.clone()].concat();
        let file_name = file_name(header.segment);
        let file = self.create(&file_name, &start, &batch.bytes).inspect_err(|_| {
            // on a full disk the partial file would take up the remaining space
            let _ = self.folder.remove(&file_name);
        })?;
        let bytes = (start.len() + batch.bytes.len()) as u64;
        self.segments.push_back(Segment {
            number: header.segment,
            bytes,
            end: bytes,
            expires: batch.expires,
            needs_head: batch.needs_head.max(head.number.map(|_| 0)),
        });
        self.current = Some(Current { file, begun_at: now, entries: batch.count });
        self.next_number += batch.count;
        self.head_number = head.number;
        Ok(())
    }

    /// Creates a file and syncs it and the folder. The file of an earlier attempt is truncated.
    fn create(&self, file_name: &str, start: &[u8], batch: &[u8]) -> io::Result<File> {
        let file = self.folder.create(file_name, [start, batch])?;
        self.folder.sync(&file, file_name)?;
        self.folder.sync_folder()?;
        Ok(file)
    }
}

/// Removes a file that may not exist any more.
fn remove(folder: &impl Folder, file_name: &str) -> io::Result<()> {
    match folder.remove(file_name) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

/// Writes the content of a file again and syncs it: after a failed sync, the bytes that are read may not be on disk, and
/// another sync alone would not write them.
fn rewrite(folder: &impl Folder, file_name: &str, bytes: &[u8]) -> io::Result<()> {
    let file = File::options().write(true).open(folder.path().join(file_name))?;
    folder.append(&file, file_name, bytes)?;
    folder.sync(&file, file_name)
}
