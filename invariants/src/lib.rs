//! Promises of the system that the code checks while it runs.
//!
//! A check costs a comparison. A violation changes nothing in what the program does: it is counted, and logged
//! with what is known of it. Tests that start the programs fail on any `event=invariant_violated` in their logs,
//! and the metrics of both programs show the counts.

use std::sync::atomic::{AtomicU64, Ordering};

/// Violations of one invariant that are logged; all are counted.
const LOGGED_AT_MOST: u64 = 20;

/// What has to hold at all times. The names are those in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request that may run once is sent on only if no dispatch of it may have run.
    RunOnce,
    /// A request that may run once is refused with the promise that it has not run only if it has not.
    RefusedNotRun,
    /// A request goes to no more servers than its route allows.
    AttemptLimit,
    /// A request goes only to a server in a zone that is a home of its route and its tenant.
    HomeZone,
    /// The requests counted as unanswered are those that wait for an answer.
    UnansweredCount,
    /// The configuration in force never goes back within one life of a process.
    ConfigurationMonotonic,
    /// What the core commits never goes back within one life of a process.
    CommitMonotonic,
    /// A promise or vote is told only once it is on disk.
    DurableBeforeSent,
    /// No read of the configuration is older than an acknowledgement that this process gave before.
    ReadNotStale,
}

impl Invariant {
    /// All of them, in the order of their declaration.
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

/// Counts and logs a violation unless the invariant holds. `detail` is only called for one that is logged.
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) {
    if holds {
        return;
    }
    let earlier = VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    if earlier < LOGGED_AT_MOST {
        let detail = detail();
        tracing::error!(event = "invariant_violated", invariant = invariant.name(), %detail);
    }
}

/// How often an invariant was violated in this process.
pub fn violations(invariant: Invariant) -> u64 {
    VIOLATIONS[invariant as usize].load(Ordering::Relaxed)
}
