//! How much the voter may take of this machine.

use lupinledge_config::settings::Limits;
use lupinledge_storage::JournalBounds;

/// Share of the memory for records.
const RECORDS_SHARE: f64 = 0.10;
/// Memory of one record with its indexes, bytes.
const RECORD_BYTES: f64 = 150.0;
/// Share of the memory for answers.
const ANSWERS_SHARE: f64 = 0.15;
/// Share of the disk for the journal.
const JOURNAL_SHARE: f64 = 1.0 / 3.0;
/// Size of the journal where no size of the disk is told, megabytes.
const DEFAULT_JOURNAL_MB: f64 = 64.0;
const SEGMENT_BYTES: u64 = 4 << 20;
const SEGMENT_SECONDS: f64 = 10.0;
const MEGABYTE: f64 = 1e6;

/// The most of each that is held.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) records: usize,
    pub(super) answer_bytes: usize,
    pub(super) journal_bytes: u64,
}

impl Bounds {
    /// The shares of these limits.
    pub(super) fn from_limits(limits: &Limits) -> Bounds {
        let memory = limits.memory_mb * MEGABYTE;
        let journal = if limits.disk_mb > 0.0 { limits.disk_mb * JOURNAL_SHARE } else { DEFAULT_JOURNAL_MB };
        Bounds {
            records: (memory * RECORDS_SHARE / RECORD_BYTES) as usize,
            answer_bytes: (memory * ANSWERS_SHARE) as usize,
            journal_bytes: (journal * MEGABYTE) as u64,
        }
    }

    pub(super) fn journal(&self) -> JournalBounds {
        JournalBounds {
            segment_bytes: SEGMENT_BYTES,
            segment_seconds: SEGMENT_SECONDS,
            max_bytes: self.journal_bytes,
        }
    }
}
