//! This gateway's share of one customer's use, learned from the counter's totals while it answers: between two
//! answers the total grew by the fleet's adds, of which this gateway's own are known. A share well above the
//! even one of the customer's set says the counter sees only part of the fleet: a split, or idle peers.

/// Weight of the newest period in the learned share: about the last ten periods count.
const NEWEST: f64 = 0.1;
/// Fewest units a period must show before it teaches anything: one or two reqs say nothing of a share.
const LEAST_UNITS: f64 = 4.0;
/// A learned share this many times the even one is taken as a split (two halves give twice the even share).
const SPLIT_AT: f64 = 1.6;

#[derive(Clone, Debug)]
pub struct Share {
    /// Even share: one over the gateways of the customer's set.
    even: f64,
    learned: f64,
    /// The last total answered, and own adds since.
    last_total: Option<f64>,
    own_since: f64,
}

impl Share {
    /// `spread`: gateways of the customer's set (from `Quota-Info`), at least 1.
    pub fn new(spread: f64) -> Share {
        let even = 1.0 / spread.max(1.0);
        Share { even, learned: even, last_total: None, own_since: 0.0 }
    }

    /// An add of `amount` by this gateway answered with `total`.
    pub fn answered(&mut self, amount: f64, total: f64) {
        self.own_since += amount;
        match self.last_total {
            Some(last) if total >= last => {
                let grew = total - last;
                if grew >= LEAST_UNITS {
                    let seen = (self.own_since / grew).clamp(0.0, 1.0);
                    self.learned += NEWEST * (seen - self.learned);
                    self.last_total = Some(total);
                    self.own_since = 0.0;
                }
            }
            // A new name or a total that fell (a new window, a restart): start a new period.
            _ => {
                self.last_total = Some(total);
                self.own_since = 0.0;
            }
        }
    }

    /// The share to spend alone: what was learned, never under half the even one (a gateway that was idle may
    /// get the customer's reqs when its peers fail) and never over all.
    pub fn alone(&self) -> f64 {
        self.learned.clamp(self.even * 0.5, 1.0)
    }

    /// Whether the counter seems to see only part of the fleet: then the even share, not the counter's room,
    /// bounds what this gateway grants.
    pub fn split(&self) -> bool {
        self.learned > self.even * SPLIT_AT
    }

    pub fn even(&self) -> f64 {
        self.even
    }
}

#[cfg(test)]
mod tests;
