//! Unix time that never goes back: the system clock is read once, and the monotonic clock from then on.

use lupinledge::time::{Span, Timestamp};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock. Copies continue from the same reading of the system clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_at_start: Duration,
    started_at: Instant,
}

impl Clock {
    /// Reads the system clock once.
    pub fn start() -> Clock {
        let unix_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start, started_at: Instant::now() }
    }
    /// A clock that is at `secs` seconds of Unix time now.
    pub fn starting_at(secs: f64) -> Clock {
        Clock { unix_at_start: Duration::from_secs_f64(secs.clamp(0.0, 1e12)), started_at: Instant::now() }
    }
    /// The current Unix time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_secs((self.unix_at_start + self.started_at.elapsed()).as_secs_f64())
    }
    /// The runtime instant of a timestamp; now, if it has passed.
    pub fn instant(&self, timestamp: Timestamp) -> tokio::time::Instant {
        tokio::time::Instant::now() + duration(timestamp - self.now())
    }
}

/// A span as the runtime's duration; zero, if it is negative.
pub fn duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.secs().max(0.0))
}
