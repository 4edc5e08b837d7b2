//! The monotonic clock of this process, and the cluster time that all processes share.

use lupinledge_consensus::Node;
use lupinledge_messaging::clock::SentRequests;
use std::cell::{Cell, RefCell};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clocks of this process, and its identity.
pub struct Clock {
    pub node: Node,
    /// Increases with each start, provided that the wall clock does not go backwards.
    pub incarnation: u64,
    start: Instant,
    /// Cluster time minus monotonic time, seconds.
    cluster_offset: Cell<f64>,
    /// Whether this process has ever led; from then on its cluster time is not adjusted.
    authoritative: Cell<bool>,
    sent_requests: RefCell<SentRequests>,
}

impl Clock {
    /// Starts the monotonic clock; the cluster time begins at the wall clock.
    pub fn start(node: Node) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (start, cluster_offset) = (Instant::now(), Cell::new(unix.as_secs_f64()));
        Clock {
            node,
            incarnation: unix.as_millis() as u64,
            start,
            cluster_offset,
            authoritative: Cell::new(false),
            sent_requests: RefCell::default(),
        }
    }

    /// Monotonic seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// The cluster time, seconds.
    pub fn cluster_time(&self) -> f64 {
        self.now() + self.cluster_offset.get()
    }

    /// Makes this process the source of the cluster time: the other processes adopt it from now on.
    pub fn mark_authoritative(&self) {
        self.authoritative.set(true);
    }

    /// The send time to put into a clock request to the leader; it is remembered until the reply.
    pub fn start_request(&self) -> f64 {
        let now = self.now();
        self.sent_requests.borrow_mut().add(now);
        now
    }

    /// Sets the cluster time from the leader's reply, unless this process has led itself. Ignored if the request is
    /// unknown or the round trip took more than a second.
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
