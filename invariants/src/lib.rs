//! Invariants of the system that the programs check at run time.
//!
//! A check costs one comparison. A violation does not change what the program does: it is counted, and logged with the
//! details that the caller gives. Tests that start the programs fail on any `event=invariant_violated` in their logs, and
//! the metrics of both programs include the counts.

use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of logged violations of one invariant; all are counted.
const MAX_LOGGED: u64 = 20;

/// A condition that must hold at all times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request that must not run twice is dispatched again only if no earlier dispatch may have run.
    RunOnce,
    /// A request that must not run twice is rejected as "not run" only if it has not run.
    RefusedNotRun,
    /// A request is sent to no more servers than its route allows.
    AttemptLimit,
    /// A request is sent only to a server in a home zone of both its route and its tenant.
    HomeZone,
    /// The count of unanswered requests equals the number of requests that wait for an answer.
    UnansweredCount,
    /// The version of the configuration in use never decreases while a process runs.
    ConfigurationMonotonic,
    /// The position that the core has committed never decreases while a process runs.
    CommitMonotonic,
    /// A promise or vote is sent only after it is on disk.
    DurableBeforeSent,
    /// No read of the configuration returns an older state than one that this process has acknowledged before.
    ReadNotStale,
}

impl Invariant {
    /// All invariants, in the order of their declaration.
    pub const ALL: [Invariant; 9] = [
        Invariant::RunOnce,
        Invariant::RefusedNotRun,
        Invariant::AttemptLimit,
        Invariant::HomeZone,
        Invariant::UnansweredCount,
        Invariant::ConfigurationMonotonic,
        Invariant::CommitMonotonic,
        Invariant::DurableBeforeSent,
        Invariant::ReadNotStale,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::RunOnce => "run_once",
            Invariant::RefusedNotRun => "refused_not_run",
            Invariant::AttemptLimit => "attempt_limit",
            Invariant::HomeZone => "home_zone",
            Invariant::UnansweredCount => "unanswered_count",
            Invariant::ConfigurationMonotonic => "configuration_forward",
            Invariant::CommitMonotonic => "commit_forward",
            Invariant::DurableBeforeSent => "durable_before_told",
            Invariant::ReadNotStale => "read_not_older",
        }
    }
}

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Counts and logs a violation if `holds` is false. `detail` is only called for a violation that is logged.
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let earlier = VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    if earlier < MAX_LOGGED {
        let detail = detail();
        tracing::error!(event = "invariant_violated", invariant = invariant.name(), %detail);
    }
}

/// Number of violations of an invariant in this process.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
