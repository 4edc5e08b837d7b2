//! Evaluates planned terms on each round in a shadow, and adds the counts of differences to the counters.

use lupinledge::interface::{Action, Event, Terms};
use lupinledge::time::Timestamp;
use lupinledge_proxy::counters::Counters;
use lupinledge_proxy::exchange::Observer;
use lupinledge_shadow::{Divergence, ShadowCounter};
use std::rc::Rc;

/// Adds the counts to the counters of the program, where they stay 0 without planned terms.
pub fn register(counters: &Counters) {
    *counters.extra.borrow_mut() = Divergence::ALL.map(|kind| (format!("watch.{}", kind.name()), 0)).into();
}

/// Passes the rounds of an exchange to the shadow.
pub struct ShadowObserver {
    shadow: ShadowCounter,
    counters: Rc<Counters>,
}

impl ShadowObserver {
    /// A shadow that decides by the planned terms.
    pub fn new(planned: Terms, counters: Rc<Counters>) -> ShadowObserver {
        ShadowObserver { shadow: ShadowCounter::new(planned), counters }
    }
}

impl Observer for ShadowObserver {
    fn events(&mut self, now: Timestamp, events: &[Event]) {
        self.shadow.record_events(now, events);
    }
    fn actions(&mut self, now: Timestamp, actions: &[Action]) {
        self.shadow.record_actions(now, actions);
        for ((_, count), kind) in self.counters.extra.borrow_mut().iter_mut().zip(Divergence::ALL) {
            *count = self.shadow.count(kind);
        }
    }
}
