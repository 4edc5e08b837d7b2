//! A budget of bytes that may be sent for some purpose.

/// Seconds of unused budget that are kept for later.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket in bytes.
#[derive(Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    available_bytes: f64,
    /// The time in seconds when `available_bytes` was computed.
    updated_at: f64,
}

impl ByteBudget {
    /// Creates a full budget.
    pub fn new(bytes_per_s: f64) -> ByteBudget {
        ByteBudget { bytes_per_s, available_bytes: bytes_per_s * BURST_SECONDS, updated_at: 0.0 }
    }

    /// Takes this many bytes if they are available.
    pub fn take(&mut self, now: f64, bytes: usize) -> bool {
        let filled = self.available_bytes + (now - self.updated_at).max(0.0) * self.bytes_per_s;
        self.available_bytes = filled.min(self.bytes_per_s * BURST_SECONDS);
        self.updated_at = self.updated_at.max(now);
        let available = self.available_bytes >= bytes as f64;
        if available {
            self.available_bytes -= bytes as f64;
        }
        available
    }
}

#[cfg(test)]
mod tests;
