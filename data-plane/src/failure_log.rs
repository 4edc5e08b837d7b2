//! The log of failed requests: one line per request with its identity and the outcome of each of its
//! dispatches. Under overload most requests fail in the same way, so only a few lines per status and second
//! are written, and the next line gives the number that was left out.

use hyper::StatusCode;
use lupinledge::time::{Span, Timestamp};
use lupinledge_proxy::exchange::Attempt;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Largest number of bytes of an attempt id that are written.
const ID_BYTES: usize = 64;
/// Largest number of lines per second for each status.
const LINES_PER_SECOND: u32 = 4;

/// A request that its client got no successful answer to.
pub struct Failure<'a> {
    /// The status that its client got.
    pub status: StatusCode,
    /// Its attempt id, as the client sent it.
    pub id: &'a [u8],
    /// The route's name.
    pub route: &'a str,
    /// The tenant's name, or an empty string.
    pub tenant: &'a str,
    /// Time from the reading of its head to its answer.
    pub took: Span,
    /// The outcome of each dispatch, in the order they were made.
    pub attempts: &'a [Attempt],
}

/// Limits the lines of one kind that are written per second.
#[derive(Default)]
pub struct LineLimiter {
    /// The current second.
    second: u64,
    /// Lines written in the current second.
    lines_written: u32,
    /// Lines left out since the last one that was written.
    suppressed: u64,
}

impl LineLimiter {
    /// Returns `None` if the line is not to be written, otherwise the number of lines that were left out
    /// since the last one that was written.
    pub fn admit(&mut self, second: u64) -> Option<u64> {
        if self.second != second {
            (self.second, self.lines_written) = (second, 0);
        }
        if self.lines_written >= LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.lines_written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Writes a log line for each failed request, limited by status.
#[derive(Default)]
pub struct FailureLog {
    by_status: RefCell<BTreeMap<u16, LineLimiter>>,
}

impl FailureLog {
    /// Writes a line for a failed request, unless this second's limit is reached.
    pub fn record(&self, now: Timestamp, failure: &Failure) {
        let Some(suppressed) = self.admit(now.secs() as u64, failure.status.as_u16()) else { return };
        let id = String::from_utf8_lossy(&failure.id[..failure.id.len().min(ID_BYTES)]).into_owned();
        let (status, took_ms) = (failure.status.as_u16(), (failure.took.secs() * 1e3) as u64);
        let Failure { route, tenant, .. } = failure;
        let attempts = format_attempts(failure.attempts);
        tracing::info!(event = "request_failed", status, %id, %route, %tenant, took_ms, %attempts, untold = suppressed);
    }

    /// Applies [`LineLimiter::admit`] to the lines of this status.
    fn admit(&self, second: u64, status: u16) -> Option<u64> {
        self.by_status.borrow_mut().entry(status).or_default().admit(second)
    }
}

/// Formats the attempts as `server:outcome:milliseconds`, separated by commas.
fn format_attempts(attempts: &[Attempt]) -> String {
    let format_one = |a: &Attempt| format!("{}:{:?}:{:.0}", a.server, a.outcome, a.duration.secs() * 1e3);
    attempts.iter().map(format_one).collect::<Vec<_>>().join(",")
}

#[cfg(test)]
mod tests;
