//! The watch of terms to come, shown each round, and its counts among the program's.

use lupinledge::interface::{Action, Event, Terms};
use lupinledge::time::Timestamp;
use lupinledge_proxy::counters::Counters;
use lupinledge_proxy::exchange::Observer;
use lupinledge_shadow::{Divergence, ShadowCounter};
use std::rc::Rc;

/// Puts the counts among the program's, where they stay 0 with nothing to watch for.
pub fn enter(counters: &Counters) {
    *counters.extra.borrow_mut() = Divergence::ALL.map(|k| (format!("watch.{}", k.name()), 0)).into();
}

pub struct Watched {
    watch: ShadowCounter,
    counters: Rc<Counters>,
}

impl Watched {
    pub fn new(to_come: Terms, counters: Rc<Counters>) -> Watched {
        Watched { watch: ShadowCounter::new(to_come), counters }
    }
}

impl Observer for Watched {
    fn events(&mut self, now: Timestamp, events: &[Event]) {
        self.watch.record_events(now, events);
    }
    fn actions(&mut self, now: Timestamp, actions: &[Action]) {
        self.watch.record_actions(now, actions);
        for ((_, n), kind) in self.counters.extra.borrow_mut().iter_mut().zip(Divergence::ALL) {
            *n = self.watch.count(kind);
        }
    }
}
