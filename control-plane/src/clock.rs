//! Time: this process's steady clock, and the hive's, which all processes can tell.

use lupinledge_consensus::Node;
use lupinledge_messaging::clock::SentRequests;
use std::cell::{Cell, RefCell};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

pub struct Clock {
    pub me: Node,
    /// Greater at each start, as long as the time of day does not go back.
    pub incarnation: u64,
    start: Instant,
    /// What the hive's clock shows beyond the own one.
    cluster_offset: Cell<f64>,
    authoritative: Cell<bool>,
    sent_requests: RefCell<SentRequests>,
}

impl Clock {
    pub fn start(me: Node) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (start, cluster_offset) = (Instant::now(), Cell::new(unix.as_secs_f64()));
        Clock {
            me,
            incarnation: unix.as_millis() as u64,
            start,
            cluster_offset,
            authoritative: Cell::new(false),
            sent_requests: RefCell::default(),
        }
    }

    /// Seconds of the steady clock since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// What the hive's clock shows.
    pub fn cluster_time(&self) -> f64 {
        self.now() + self.cluster_offset.get()
    }

    /// From here on the others take the time from this process.
    pub fn mark_authoritative(&self) {
        self.authoritative.set(true);
    }

    /// What to ask a holder's clock with.
    pub fn start_request(&self) -> f64 {
        let now = self.now();
        self.sent_requests.borrow_mut().add(now);
        now
    }

    /// Goes by a holder's clock from here on, as long as this process has not led itself.
    pub fn adopt(&self, sent: f64, cluster_time: f64) {
        let round_trip = self.now() - sent;
        if !self.authoritative.get()
            && self.sent_requests.borrow().contains(sent)
            && cluster_time.is_finite()
            && (0.0..=1.0).contains(&round_trip)
        {
            self.cluster_offset.set(cluster_time + round_trip / 2.0 - self.now());
        }
    }
}
