//! Unix time that never goes back: the system's clock read once, then the monotonic one.

use lupinledge::time::{Span, Timestamp};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Copies go on from the same reading.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    at: Instant,
}

impl Clock {
    /// Reads the system's clock, once.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix, at: Instant::now() }
    }
    /// A clock that shows so many seconds now.
    pub fn starting_at(secs: f64) -> Clock {
        Clock { unix: Duration::from_secs_f64(secs.clamp(0.0, 1e12)), at: Instant::now() }
    }
    /// Unix time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_secs((self.unix + self.at.elapsed()).as_secs_f64())
    }
    /// The instant of a point; one that is past is now.
    pub fn instant(&self, p: Timestamp) -> tokio::time::Instant {
        tokio::time::Instant::now() + duration(p - self.now())
    }
}

/// A span as the runtime's duration; a negative one is none.
pub fn duration(s: Span) -> Duration {
    Duration::from_secs_f64(s.secs().max(0.0))
}
