//! Calls to a counter that fails: each try waits a jittered back-off ("full jitter": uniform up to the doubled
//! base, capped), and all tries of a gateway share a budget a second, so that many gateways don't storm a
//! counter that comes back. The jitter comes from the gateway's seed.

use lupinledge::time::{Point, Span};

pub struct Retry {
    rng: fastrand::Rng,
    base: Span,
    cap: Span,
    /// Tries a second, and the tokens left of them.
    per_s: f64,
    tokens: f64,
    at: Point,
    failures: u32,
    next: Point,
}

impl Retry {
    /// `base`, `cap`: the first back-off and the longest; `per_s`: tries a second over the whole gateway.
    pub fn new(seed: u64, base: Span, cap: Span, per_s: f64) -> Retry {
        Retry {
            rng: fastrand::Rng::with_seed(seed),
            base,
            cap,
            per_s,
            tokens: per_s,
            at: Point::default(),
            failures: 0,
            next: Point::default(),
        }
    }

    /// Whether a call may go at `now`; it takes a token when it may.
    pub fn may(&mut self, now: Point) -> bool {
        if now > self.at {
            self.tokens = (self.tokens + self.per_s * now.since(self.at)).min(self.per_s.max(1.0));
            self.at = now;
        }
        if now < self.next || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// A call failed at `now`: the next may go after a jittered back-off.
    pub fn failed(&mut self, now: Point) {
        self.failures = self.failures.saturating_add(1);
        let doubled = self.base.times(2f64.powi(self.failures.min(30) as i32 - 1));
        let most = if doubled > self.cap { self.cap } else { doubled };
        self.next = now + most.times(self.rng.f64());
    }

    /// A call was answered: back-off starts again from the base.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    pub fn failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests;
