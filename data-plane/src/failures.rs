//! The log of failed requests: for each, which it was and how each of its dispatches ended. Under overload most
//! requests fail alike: of each status a few are told a second, and the next line says how many were not.

use hyper::StatusCode;
use lupinledge::time::{Span, Timestamp};
use lupinledge_proxy::exchange::Attempt;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Bytes of an id that are written at most.
const ID_BYTES: usize = 64;
/// Lines a second of one sort.
const LINES_PER_SECOND: u32 = 4;

/// A request that did not get a server's answer of success.
pub struct Failure<'a> {
    /// What its client was told.
    pub status: StatusCode,
    /// Its attempt id, as the client sent it.
    pub id: &'a [u8],
    /// The route's name.
    pub route: &'a str,
    /// The tenant's name, or nothing.
    pub tenant: &'a str,
    /// From when its head was read until its answer.
    pub took: Span,
    /// How each dispatch ended, in this order.
    pub attempts: &'a [Attempt],
}

/// Lines of one sort in the current second.
#[derive(Default)]
pub struct Lines {
    second: u64,
    lines: u32,
    untold: u64,
}

impl Lines {
    /// How many of this sort were not told since the last line; none: this one is not told either.
    pub fn turn(&mut self, second: u64) -> Option<u64> {
        if self.second != second {
            (self.second, self.lines) = (second, 0);
        }
        if self.lines >= LINES_PER_SECOND {
            self.untold += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.untold))
    }
}

/// See the module.
#[derive(Default)]
pub struct Failures {
    by_status: RefCell<BTreeMap<u16, Lines>>,
}

impl Failures {
    /// Writes a line for it, unless enough were written this second.
    pub fn tell(&self, now: Timestamp, failure: &Failure) {
        let Some(untold) = self.turn(now.secs() as u64, failure.status.as_u16()) else { return };
        let id = String::from_utf8_lossy(&failure.id[..failure.id.len().min(ID_BYTES)]).into_owned();
        let (status, took_ms) = (failure.status.as_u16(), (failure.took.secs() * 1e3) as u64);
        let Failure { route, tenant, .. } = failure;
        let attempts = described(failure.attempts);
        tracing::info!(event = "request_failed", status, %id, %route, %tenant, took_ms, %attempts, untold);
    }

    /// How many of this status were not told since the last line; none: this one is not told either.
    fn turn(&self, second: u64, status: u16) -> Option<u64> {
        self.by_status.borrow_mut().entry(status).or_default().turn(second)
    }
}

/// As `server:outcome:milliseconds`, by commas.
fn described(attempts: &[Attempt]) -> String {
    let one = |a: &Attempt| format!("{}:{:?}:{:.0}", a.server, a.outcome, a.duration.secs() * 1e3);
    attempts.iter().map(one).collect::<Vec<_>>().join(",")
}

#[cfg(test)]
mod tests;
