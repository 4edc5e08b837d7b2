//! The segments on disk: which one is written, when the next one begins, and when old ones go.

use super::batch::{Batch, Head};
use super::format::Header;
use super::replay::{self, name};
use super::{JournalBounds, Replayed};
use crate::Folder;
use std::collections::VecDeque;
use std::fs::File;
use std::io;

/// A segment that is on disk.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// Size of its file.
    pub(super) bytes: u64,
    /// Where what was saved ends.
    pub(super) end: u64,
    /// When the last of its entries expires, seconds.
    pub(super) expires: f64,
    /// It is needed until a segment with a head that covers this number is on disk.
    pub(super) needs_head: Option<u64>,
}

/// The segment that is written, the newest one.
struct Current {
    file: File,
    begun: f64,
    entries: u64,
}

/// All segments. Blocks. `now` is in seconds and never goes back.
pub struct Segments<F> {
    folder: F,
    bounds: JournalBounds,
    /// Those on disk, oldest first.
    segments: VecDeque<Segment>,
    /// None: the next write begins a segment.
    current: Option<Current>,
    /// The first segment of this process.
    run: u64,
    next_number: u64,
    /// What the head of the newest segment covers.
    head_number: Option<u64>,
}

impl<F: Folder> Segments<F> {
    /// Reads what is there, and syncs it: it may not be from a process that ended before it could. Errors are the
    /// disk's, which may be asked again.
    pub fn open(folder: F, bounds: JournalBounds, now: f64) -> io::Result<(Segments<F>, Replayed)> {
        let found = replay::read(folder.path(), now)?;
        if let Some(unsynced) = found.unsynced {
            remove(&folder, &name(unsynced))?;
        }
        if let Some((number, bytes)) = found.newest {
            write_again(&folder, &name(number), &bytes)?;
        }
        folder.sync_folder()?;
        let run = found.segments.back().map_or(1, |newest| newest.number + 1);
        let segments = Segments {
            folder,
            bounds,
            segments: found.segments,
            current: None,
            run,
            next_number: 1,
            head_number: None,
        };
        Ok((segments, found.replayed))
    }

    /// Bytes on disk.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Writes a batch and syncs it. No entry that `head` covers may be missing before the batch. After an error nothing in it counts as saved: the caller comes back with the same
    /// batch, for which a new segment is begun.
    pub fn write(&mut self, now: f64, batch: &Batch, head: &Head) -> io::Result<()> {
        if self.fits(now, batch) {
            self.extend(batch)
        } else {
            self.begin(now, batch, head)
        }
    }

    /// Deletes old segments, and begins a new one if old ones wait for that. To be called now and then.
    pub fn maintain(&mut self, now: f64, head: &Head) -> io::Result<()> {
        self.delete_expired(now)?;
        if self.must_renew(now, head) {
            self.begin(now, &Batch::default(), head)?;
            self.delete_expired(now)?;
        }
        Ok(())
    }

    /// Deletes segments that nothing needs any more, oldest first.
    pub fn delete_expired(&mut self, now: f64) -> io::Result<()> {
        while self.segments.len() > 1 && self.expired(now) && self.oldest_needs_head() <= self.head_number {
            // were two removals without a sync between them, the newer segment alone might be gone after a loss of power
            remove(&self.folder, &name(self.segments[0].number))?;
            self.folder.sync_folder()?;
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Whether all timed entries of the oldest segment have expired.
    fn expired(&self, now: f64) -> bool {
        self.segments.front().is_some_and(|oldest| oldest.expires <= now)
    }

    fn oldest_needs_head(&self) -> Option<u64> {
        self.segments.front().and_then(|oldest| oldest.needs_head)
    }

    fn fits(&self, now: f64, batch: &Batch) -> bool {
        let (Some(current), Some(newest)) = (&self.current, self.segments.back()) else { return false };
        let size = newest.end + batch.bytes.len() as u64;
        !self.aged(now, current) && (size <= self.bounds.segment_bytes || current.entries == 0)
    }

    fn aged(&self, now: f64, current: &Current) -> bool {
        now >= current.begun + self.bounds.segment_seconds
    }

    /// The newest segment can't go, nor one that waits for a head: a new segment frees them.
    fn must_renew(&self, now: f64, head: &Head) -> bool {
        let needs = self.oldest_needs_head();
        let freed = self.expired(now) && needs <= head.number;
        match &self.current {
            Some(current) => {
                self.aged(now, current) && (current.entries > 0 || freed && needs > self.head_number)
            }
            None => freed,
        }
    }

    /// Writes a batch to the current segment.
    fn extend(&mut self, batch: &Batch) -> io::Result<()> {
        let (Some(mut current), Some(newest)) = (self.current.take(), self.segments.back_mut()) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let name = name(newest.number);
        let written = self.folder.append(&current.file, &name, &batch.bytes);
        if let Err(e) = written.and_then(|()| self.folder.sync_data(&current.file, &name)) {
            // of a full disk it would take what room there is
            if self.folder.truncate(&current.file, &name, newest.end).is_err() {
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

    /// Begins a segment with a batch.
    fn begin(&mut self, now: f64, batch: &Batch, head: &Head) -> io::Result<()> {
        self.current = None;
        let newest = self.segments.back();
        let header = Header {
            segment: newest.map_or(self.run, |newest| newest.number + 1),
            run: self.run,
            previous_end: newest.map_or(0, |newest| newest.end),
            first_number: self.next_number,
            head_number: head.number,
            heads: head.count,
        };
        let start = [header.encode(), head.bytes.clone()].concat();
        let name = name(header.segment);
        let file = self.create(&name, &start, &batch.bytes).inspect_err(|_| {
            // of a full disk it would take what room there is
            let _ = self.folder.remove(&name);
        })?;
        let bytes = (start.len() + batch.bytes.len()) as u64;
        self.segments.push_back(Segment {
            number: header.segment,
            bytes,
            end: bytes,
            expires: batch.expires,
            needs_head: batch.needs_head.max(head.number.map(|_| 0)),
        });
        self.current = Some(Current { file, begun: now, entries: batch.count });
        self.next_number += batch.count;
        self.head_number = head.number;
        Ok(())
    }

    /// Makes a file that is on disk under its name. What a try before left is cut to nothing.
    fn create(&self, name: &str, start: &[u8], batch: &[u8]) -> io::Result<File> {
        let file = self.folder.create(name, [start, batch])?;
        self.folder.sync(&file, name)?;
        self.folder.sync_folder()?;
        Ok(file)
    }
}

/// Removes a file that may be gone already.
fn remove(folder: &impl Folder, name: &str) -> io::Result<()> {
    match folder.remove(name) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

/// Writes to a file what it holds, and syncs it: after a sync that failed, what is read may not be on disk, and
/// another sync alone would not bring it there.
fn write_again(folder: &impl Folder, name: &str, bytes: &[u8]) -> io::Result<()> {
    let file = File::options().write(true).open(folder.path().join(name))?;
    folder.append(&file, name, bytes)?;
    folder.sync(&file, name)
}
