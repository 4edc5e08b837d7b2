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
    base: Cell<f64>,
    led: Cell<bool>,
    asked: RefCell<SentRequests>,
}

impl Clock {
    pub fn start(me: Node) -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (start, base) = (Instant::now(), Cell::new(unix.as_secs_f64()));
        Clock {
            me,
            incarnation: unix.as_millis() as u64,
            start,
            base,
            led: Cell::new(false),
            asked: RefCell::default(),
        }
    }

    /// Seconds of the steady clock since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// What the hive's clock shows.
    pub fn hive(&self) -> f64 {
        self.now() + self.base.get()
    }

    /// From here on the others take the time from this process.
    pub fn leads(&self) {
        self.led.set(true);
    }

    /// What to ask a holder's clock with.
    pub fn ask(&self) -> f64 {
        let now = self.now();
        self.asked.borrow_mut().add(now);
        now
    }

    /// Goes by a holder's clock from here on, as long as this process has not led itself.
    pub fn adopt(&self, sent: f64, hive: f64) {
        let trip = self.now() - sent;
        if !self.led.get()
            && self.asked.borrow().contains(sent)
            && hive.is_finite()
            && (0.0..=1.0).contains(&trip)
        {
            self.base.set(hive + trip / 2.0 - self.now());
        }
    }
}
