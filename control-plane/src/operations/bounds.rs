//! Bounds on the memory and disk use of the voter.

use lupinledge_config::settings::Limits;
use lupinledge_storage::JournalBounds;

/// Share of the memory for records.
const RECORDS_SHARE: f64 = 0.10;
/// Memory of one record with its index entries, bytes.
const RECORD_BYTES: f64 = 150.0;
/// Share of the memory for answers.
const ANSWERS_SHARE: f64 = 0.15;
/// Share of the disk for the journal.
const JOURNAL_SHARE: f64 = 1.0 / 3.0;
/// Size of the journal if the settings give no disk size, megabytes.
const DEFAULT_JOURNAL_MB: f64 = 64.0;
/// Size at which a segment of the journal is closed.
const SEGMENT_BYTES: u64 = 4 << 20;
/// Age at which a segment of the journal is closed.
const SEGMENT_SECONDS: f64 = 10.0;
const MEGABYTE: f64 = 1e6;

/// The bounds of the voter.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bounds {
    pub(super) records: usize,
    pub(super) answer_bytes: usize,
    pub(super) journal_bytes: u64,
}

impl Bounds {
    /// Derives the bounds from the limits of the machine.
    pub(super) fn from_limits(limits: &Limits) -> Bounds {
        let memory = limits.memory_mb * MEGABYTE;
        let journal = if limits.disk_mb > 0.0 { limits.disk_mb * JOURNAL_SHARE } else { DEFAULT_JOURNAL_MB };
        Bounds {
            records: (memory * RECORDS_SHARE / RECORD_BYTES) as usize,
            answer_bytes: (memory * ANSWERS_SHARE) as usize,
            journal_bytes: (journal * MEGABYTE) as u64,
        }
    }

    /// The bounds of the journal.
    pub(super) fn journal(&self) -> JournalBounds {
        JournalBounds {
            segment_bytes: SEGMENT_BYTES,
            segment_seconds: SEGMENT_SECONDS,
            max_bytes: self.journal_bytes,
        }
    }
}
