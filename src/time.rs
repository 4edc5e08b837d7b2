//! Points in time and spans, in whole microseconds; two types that can't be mixed up.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

impl Timestamp {
    pub fn from_secs(s: f64) -> Timestamp {
        Timestamp((s * 1e6).round().max(0.0) as u64)
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Seconds gone by since an earlier point.
    pub fn since(self, earlier: Timestamp) -> f64 {
        (self - earlier).secs()
    }
    /// The point so many seconds later.
    pub fn later(self, secs: f64) -> Timestamp {
        self + Span::from_secs(secs)
    }
}

impl Span {
    pub const ZERO: Span = Span(0);
    pub const fn millis(ms: i64) -> Span {
        Span(ms * 1000)
    }
    pub fn from_secs(s: f64) -> Span {
        Span((s * 1e6).round() as i64)
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    pub fn times(self, f: f64) -> Span {
        Span((self.0 as f64 * f).round() as i64)
    }
}

impl Add<Span> for Timestamp {
    type Output = Timestamp;
    fn add(self, s: Span) -> Timestamp {
        Timestamp(self.0.saturating_add_signed(s.0))
    }
}

impl Sub<Span> for Timestamp {
    type Output = Timestamp;
    fn sub(self, s: Span) -> Timestamp {
        Timestamp(self.0.saturating_add_signed(-s.0))
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Span;
    fn sub(self, o: Timestamp) -> Span {
        Span(self.0 as i64 - o.0 as i64)
    }
}

impl Add<Span> for Span {
    type Output = Span;
    fn add(self, o: Span) -> Span {
        Span(self.0 + o.0)
    }
}

impl Sub<Span> for Span {
    type Output = Span;
    fn sub(self, o: Span) -> Span {
        Span(self.0 - o.0)
    }
}
