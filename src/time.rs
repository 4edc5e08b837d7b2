//! Points in time and spans of time, in whole microseconds, as two types that can't be confused.

use std::ops::{Add, Sub};

/// A point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A span of time; it may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Timestamp {
    /// The point at that many seconds; negative ones give 0.
    pub fn from_secs(secs: f64) -> Timestamp {
        Timestamp((secs * 1e6).round().max(0.0) as u64)
    }
    /// In seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Seconds since an earlier point.
    pub fn since(self, earlier: Timestamp) -> f64 {
        (self - earlier).secs()
    }
    /// The point `secs` seconds later.
    pub fn later(self, secs: f64) -> Timestamp {
        self + Span::from_secs(secs)
    }
}

impl Span {
    /// No time.
    pub const ZERO: Span = Span(0);
    /// A span of milliseconds.
    pub const fn millis(ms: i64) -> Span {
        Span(ms * 1000)
    }
    /// A span of seconds.
    pub fn from_secs(secs: f64) -> Span {
        Span((secs * 1e6).round() as i64)
    }
    /// In seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span multiplied by a factor.
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as i64)
    }
}

impl Add<Span> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_add_signed(span.0))
    }
}

impl Sub<Span> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: Span) -> Timestamp {
        Timestamp(self.0.saturating_add_signed(-span.0))
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Span;
    fn sub(self, other: Timestamp) -> Span {
        Span(self.0 as i64 - other.0 as i64)
    }
}

impl Add<Span> for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl Sub<Span> for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0 - other.0)
    }
}
