//! All decisions of a gateway: `Control::new(terms)` once, then `round(now, events, actions)` for each batch.
//! Events change the wanted state of requests, leases and timers; only `settle` emits the actions for it.

pub use crate::state::Control;
use crate::{count::*, interface::*, state::*, time::*};

impl Control {
    pub fn new(terms: Terms) -> Control {
        let part = |of: f64| terms.frontends.iter().map(|f| f.target.secs() * of).collect();
        Control {
            rng: fastrand::Rng::with_seed(terms.seed),
            asks: terms.list_on_request,
            silent: !terms.counter,
            further: terms.retry_budget.map_or(1.0, |(_, most)| most),
            usual: part(0.2), // first guesses: targets are set some times above the usual time
            tail: part(0.5),
            first_left: vec![Default::default(); terms.frontends.len()],
            full_plan: vec![0.2; terms.plans.len()],
            full_frontend: vec![0.2; terms.frontends.len()],
            samples: vec![Vec::new(); terms.frontends.len()],
            terms,
            ..Control::default()
        }
    }

    pub fn round(&mut self, now: Timestamp, events: Vec<Event>, acts: &mut Vec<Action>) {
        blend(&mut self.used, self.out as f64, 1.0 - (-0.5 * now.since(self.now)).exp());
        (self.gap, self.now) = (now - self.now, now);
        let stood = self.gap > Span::millis(1500); // rounds come each second
        self.customers.iter_mut().for_each(|c| c.quota.missed |= stood);
        self.began = if self.began == Timestamp::default() { now } else { self.began };
        for e in events {
            match e {
                Event::List { kind, rows } => self.list(kind, &rows),
                Event::Req(r) => self.arrive(r),
                Event::Begun { id, .. } => self.reqs.of(id).into_iter().for_each(|(_, r)| r.begun = true),
                Event::Ended(e, _) => self.ended(e),
                Event::Left { id } => self.close(id),
                Event::Counted { name, total, level, outcome } => {
                    self.counted(name, Reading { total, level }, outcome)
                }
                Event::Timer { .. } => self.armed = None,
                Event::Peer { body, .. } => self.heard(&body),
                Event::Terms(terms) => {
                    self.limit *= self.terms.gateways.max(1) as f64 / terms.gateways.max(1) as f64;
                    self.follow(*terms);
                }
                Event::Probed { .. } => {}
            }
        }
        if now >= self.second_at {
            self.second();
            // at the point in each second where, each second time, leases go to their next name
            self.second_at = Timestamp::from_secs((now.secs() + LEAD).floor() + 1.0 - LEAD + 0.001);
        }
        if now.secs() % ROLL > ROLL - LEAD {
            self.refresh();
        }
        while let Some((_, slot)) = self.wakes.first(&self.reqs).filter(|w| w.0 <= now) {
            self.wakes.pop(); // those of reqs that are gone set no timer: they would be most of all wakeups
            self.review(slot);
        }
        self.pump();
        self.settle(acts);
    }

    /// The one place that acts: compares what is wanted with what is there and emits the difference.
    fn settle(&mut self, acts: &mut Vec<Action>) {
        acts.extend(std::mem::take(&mut self.asks).then_some(Action::Watch { on: true }));
        for slot in std::mem::take(&mut self.touched) {
            let Some(f) = self.reqs.at(slot).map(|r| r.frontend) else { continue };
            let after = self.overdue_after(f);
            let Some(r) = self.reqs.at_mut(slot) else { continue };
            for t in r.tries.iter_mut().filter(|t| !t.told) {
                t.told = true;
                let server = self.srvs.door.id(t.srv) as u32;
                acts.push(Action::Dispatch { id: r.id, server, limit: Span::ZERO });
                self.wakes.push(self.now.later(after), slot, r.id);
            }
            if let Some(end) = r.end.clone().filter(|_| r.stage != Stage::Over) {
                acts.push(end);
                r.stage = Stage::Over;
            }
            let (id, over) = (r.id, r.stage == Stage::Over);
            let idle = |t: &Try| t.running && !t.dropped && (over || t.unwanted);
            for (nth, t) in r.tries.iter_mut().enumerate().filter(|(_, t)| idle(t)) {
                t.dropped = true;
                acts.extend(self.terms.may_cancel.then_some(Action::Cancel { id, nth: nth as u16 }));
            }
            if over && !r.tries.iter().any(|t| t.running) {
                self.reqs.drop(id);
            }
        }
        self.tell(acts);
        std::mem::take(&mut self.dirty).into_iter().for_each(|c| self.put_counts(c, acts));
        let next = self.wakes.first(&self.reqs).map_or(self.second_at, |w| w.0.min(self.second_at));
        let next = next.max(self.now + Span::millis(1));
        if self.armed.is_none_or(|a| next < a) {
            self.armed = Some(next);
            acts.push(Action::Timer { after: next - self.now, token: 0 });
        }
    }
}
