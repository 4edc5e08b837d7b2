//! The holder's clock, as estimated from here.

/// An estimate of another process's steady clock from questions and answers.
#[derive(Clone, Debug, Default)]
pub struct ClockEstimate {
    /// Offset and round trip of the last samples, oldest first.
    samples: std::collections::VecDeque<(f64, f64)>,
}

/// So many samples count.
const KEPT: usize = 8;

/// So many questions are remembered.
const ASKED_MOST: usize = 32;

/// Questions of this process for another's clock. An answer to what it did not ask lately, as to an earlier start of
/// it, counts for nothing.
#[derive(Clone, Debug, Default)]
pub struct SentRequests(std::collections::VecDeque<f64>);

impl SentRequests {
    /// A question sent at `now` of the own clock, seconds.
    pub fn add(&mut self, now: f64) {
        if self.0.len() == ASKED_MOST {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Whether an answer with this in it is to one of them.
    pub fn contains(&self, sent: f64) -> bool {
        self.0.contains(&sent)
    }
}

impl ClockEstimate {
    /// Takes an answer: `sent` and `now` by the own clock, `theirs` by the other's.
    pub fn sample(&mut self, sent: f64, theirs: f64, now: f64) {
        let trip = now - sent;
        if !trip.is_finite() || trip < 0.0 || !theirs.is_finite() {
            return;
        }
        if self.samples.len() == KEPT {
            self.samples.pop_front();
        }
        self.samples.push_back((theirs - (sent + trip / 2.0), trip));
    }

    /// What the other's clock shows at `now` of the own one; `None` before the first sample.
    pub fn remote_time(&self, now: f64) -> Option<f64> {
        self.best().map(|(offset, _)| now + offset)
    }

    /// How far the estimate may be off.
    pub fn max_error(&self) -> Option<f64> {
        self.best().map(|(_, trip)| trip / 2.0)
    }

    /// Forgets all samples: another process holds the duty now.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// The newest of the samples with the shortest round trip.
    fn best(&self) -> Option<(f64, f64)> {
        self.samples.iter().rev().copied().min_by(|a, b| a.1.total_cmp(&b.1))
    }
}
