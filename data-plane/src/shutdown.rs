//! The times at which a process that was told to end still accepts, passes on and answers requests.

use std::time::Duration;
use tokio::time::Instant;

/// Share of the grace time for which new connections are accepted, as clients may still use this address.
const ACCEPT_SHARE: f64 = 0.55;
/// Share of the grace time by whose end the last answers are given.
const ANSWER_SHARE: f64 = 0.92;
/// Requests that are read within this time of the signal are passed on in any case. Operators accept that one is cut
/// off only if it was sent within 3 s of the signal; the rest covers the delays of the signal and of the request.
const UNCONDITIONAL_TIME: Duration = Duration::from_millis(2500);
/// Time that the answer at a request's time limit needs to reach the client.
const REPLY_TIME: Duration = Duration::from_millis(100);

/// The schedule of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownSchedule {
    began: Instant,
    grace: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that begins now, after whose grace time in seconds the platform kills the process.
    pub fn begin(grace_s: f64) -> ShutdownSchedule {
        ShutdownSchedule { began: Instant::now(), grace: Duration::from_secs_f64(grace_s) }
    }

    /// Until when new connections are accepted.
    pub fn accepts_until(&self) -> Instant {
        self.began + self.grace.mul_f64(ACCEPT_SHARE)
    }

    /// When the process ends, whatever is not answered by then.
    pub fn answers_until(&self) -> Instant {
        self.began + self.grace.mul_f64(ANSWER_SHARE)
    }

    /// Whether a request that was read completely at `read_at` may be passed on to a server, given the end of its time
    /// limit.
    pub fn may_pass_on(&self, read_at: Instant, time_limit: Instant) -> bool {
        read_at < self.began + UNCONDITIONAL_TIME || time_limit + REPLY_TIME <= self.answers_until()
    }
}

#[cfg(test)]
mod tests;
