//! What one gateway may spend of a customer's quota alone, while the counter can't be asked or is not believed:
//! a store of its own that holds `share` of the plan's store and fills at `share` of its rate. It starts from
//! `share` of the room the last good total left, so that an outage can't give back what was spent before it.

use lupinledge::time::Point;

#[derive(Clone, Debug)]
pub struct Allowance {
    rate: f64,
    size: f64,
    level: f64,
    at: Point,
}

impl Allowance {
    /// `units_per_s` and `store_size`: the plan's; `room`: the plan's room at the last good total, in units;
    /// `share`: this gateway's share to spend alone (`Share::alone`).
    pub fn start(now: Point, units_per_s: f64, store_size: f64, room: f64, share: f64) -> Allowance {
        let size = store_size * share;
        Allowance { rate: units_per_s * share, size, level: (room * share).clamp(0.0, size), at: now }
    }

    fn fill(&mut self, now: Point) {
        if now > self.at {
            self.level = (self.level + self.rate * now.since(self.at)).min(self.size);
            self.at = now;
        }
    }

    /// Takes `units` if they are there; else takes nothing.
    pub fn take(&mut self, now: Point, units: f64) -> bool {
        self.fill(now);
        if self.level + 1e-9 >= units {
            self.level -= units;
            true
        } else {
            false
        }
    }

    /// When `units` will be there, s from `now`: a hint for `Retry-After`.
    pub fn wait(&mut self, now: Point, units: f64) -> f64 {
        self.fill(now);
        if self.rate <= 0.0 {
            return f64::INFINITY;
        }
        ((units - self.level) / self.rate).max(0.0)
    }
}

#[cfg(test)]
mod tests;
