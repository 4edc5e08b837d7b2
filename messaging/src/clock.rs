//! Estimates of another process's clock, in particular that of the duty holder.

/// An estimate of another process's steady clock from requests and replies.
#[derive(Clone, Debug, Default)]
pub struct ClockEstimate {
    /// Offset and round trip time of the last samples, oldest first.
    samples: std::collections::VecDeque<(f64, f64)>,
}

/// Maximum number of samples.
const MAX_SAMPLES: usize = 8;

/// Maximum number of requests remembered.
const MAX_SENT: usize = 32;

/// The requests of this process for another process's clock. A reply to a request that is not among the last
/// ones, for example one sent before this process was restarted, is ignored.
#[derive(Clone, Debug, Default)]
pub struct SentRequests(std::collections::VecDeque<f64>);

impl SentRequests {
    /// Records a request sent at `now` of the own clock, in seconds.
    pub fn add(&mut self, now: f64) {
        if self.0.len() == MAX_SENT {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Returns whether a reply that contains `sent` belongs to one of the requests.
    pub fn contains(&self, sent: f64) -> bool {
        self.0.contains(&sent)
    }
}

impl ClockEstimate {
    /// Adds a sample: `sent` and `now` by the own clock, `remote` by the other one.
    pub fn sample(&mut self, sent: f64, remote: f64, now: f64) {
        let round_trip = now - sent;
        if !round_trip.is_finite() || round_trip < 0.0 || !remote.is_finite() {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((remote - (sent + round_trip / 2.0), round_trip));
    }

    /// Returns the time of the other clock at `now` of the own one; `None` before the first sample.
    pub fn remote_time(&self, now: f64) -> Option<f64> {
        self.best().map(|(offset, _)| now + offset)
    }

    /// Returns the maximum error of the estimate.
    pub fn max_error(&self) -> Option<f64> {
        self.best().map(|(_, round_trip)| round_trip / 2.0)
    }

    /// Removes all samples, since another process became the duty holder.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// Returns the newest of the samples with the shortest round trip.
    fn best(&self) -> Option<(f64, f64)> {
        self.samples.iter().rev().copied().min_by(|a, b| a.1.total_cmp(&b.1))
    }
}
