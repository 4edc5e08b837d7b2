//! How many bytes may be sent for some purpose.

/// Seconds of unused allowance that are kept for later.
const KEPT: f64 = 2.0;

/// A rate with a store that fills while little is sent.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    left: f64,
    at: f64,
}

impl ByteBudget {
    /// A full one.
    pub fn new(bytes_per_s: f64) -> ByteBudget {
        ByteBudget { bytes_per_s, left: bytes_per_s * KEPT, at: 0.0 }
    }

    /// Takes so many bytes, if they are there.
    pub fn take(&mut self, now: f64, bytes: usize) -> bool {
        let filled = self.left + (now - self.at).max(0.0) * self.bytes_per_s;
        self.left = filled.min(self.bytes_per_s * KEPT);
        self.at = self.at.max(now);
        let there = self.left >= bytes as f64;
        if there {
            self.left -= bytes as f64;
        }
        there
    }
}

#[cfg(test)]
mod tests;
