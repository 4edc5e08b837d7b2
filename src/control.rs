//! All decisions of a gateway. Events change the wanted state; only `settle` emits actions, for what differs.

pub use crate::state::Control;
use crate::{counter::*, interface::*, state::*, time::*};

impl Control {
    /// An instance that has seen no event yet.
    pub fn new(terms: Terms) -> Control {
        let guess = |share: f64| terms.frontends.iter().map(|f| f.target.secs() * share).collect();
        Control {
            rng: fastrand::Rng::with_seed(terms.seed),
            ask_list: terms.list_on_request,
            counter_down: !terms.counter,
            retries: terms.retry_budget.map_or(1.0, |(_, most)| most),
            usual: guess(0.2), // first guesses: targets are usually several times the usual time
            p95: guess(0.5),
            first_left: vec![Default::default(); terms.frontends.len()],
            full_plan: vec![0.2; terms.plans.len()],
            full_frontend: vec![0.2; terms.frontends.len()],
            samples: vec![Vec::new(); terms.frontends.len()],
            terms,
            ..Control::default()
        }
    }

    /// Takes a batch of events at time `now` and appends the resulting actions to `actions`.
    pub fn round(&mut self, now: Timestamp, events: Vec<Event>, actions: &mut Vec<Action>) {
        smooth(&mut self.avg_out, self.out as f64, 1.0 - (-0.5 * now.since(self.now)).exp());
        (self.gap, self.now) = (now - self.now, now);
        let paused = self.gap > Span::millis(1500); // there is a round at least every second
        self.customers.iter_mut().for_each(|c| c.quota.unanswered |= paused);
        self.started = if self.started == Timestamp::default() { now } else { self.started };
        for e in events {
            match e {
                Event::List { kind, rows } => self.update_servers(kind, &rows),
                Event::Req(r) => self.arrive(r),
                Event::Begun { id, .. } => {
                    self.requests.find(id).into_iter().for_each(|(_, r)| r.begun = true)
                }
                Event::Ended(e, _) => self.ended(e),
                Event::Left { id } => self.close(id),
                Event::Counted { name, total, level, outcome } => {
                    self.counted(name, Reading { total, level }, outcome)
                }
                Event::Timer { .. } => self.timer_at = None,
                Event::Peer { body, .. } => self.apply_updates(&body),
                Event::Terms(terms) => {
                    self.limit *= self.terms.gateways.max(1) as f64 / terms.gateways.max(1) as f64;
                    self.apply_terms(*terms);
                }
                Event::Probed { .. } => {}
            }
        }
        if now >= self.tick_at {
            self.tick();
            // every second, at the phase at which leases are carried to their next counter name
            self.tick_at = Timestamp::from_secs((now.secs() + LEAD).floor() + 1.0 - LEAD + 0.001);
        }
        if now.secs() % ROLL > ROLL - LEAD {
            self.refresh();
        }
        while let Some((_, slot)) = self.wakeups.first(&self.requests).filter(|w| w.0 <= now) {
            self.wakeups.pop(); // entries of closed requests set no timer: most wakeups would be theirs
            self.review(slot);
        }
        self.send_waiting();
        self.settle(actions);
    }

    fn settle(&mut self, actions: &mut Vec<Action>) {
        actions.extend(std::mem::take(&mut self.ask_list).then_some(Action::Watch { on: true }));
        for slot in std::mem::take(&mut self.touched) {
            let Some(f) = self.requests.at(slot).map(|r| r.frontend) else { continue };
            let after = self.overdue_after(f);
            let Some(r) = self.requests.at_mut(slot) else { continue };
            for t in r.tries.iter_mut().filter(|t| !t.emitted) {
                t.emitted = true;
                let server = self.servers.ids.id(t.server) as u32;
                actions.push(Action::Dispatch { id: r.id, server, limit: Span::ZERO });
                self.wakeups.push(self.now.later(after), slot, r.id);
            }
            if let Some(reply) = r.reply.clone().filter(|_| r.stage != Stage::Closed) {
                actions.push(reply);
                r.stage = Stage::Closed;
            }
            let (id, closed) = (r.id, r.stage == Stage::Closed);
            let obsolete = |t: &Try| t.running && !t.cancelled && (closed || t.recalled);
            for (nth, t) in r.tries.iter_mut().enumerate().filter(|(_, t)| obsolete(t)) {
                t.cancelled = true;
                actions.extend(self.terms.may_cancel.then_some(Action::Cancel { id, nth: nth as u16 }));
            }
            if closed && !r.tries.iter().any(|t| t.running) {
                self.requests.drop(id);
            }
        }
        self.send_updates(actions);
        std::mem::take(&mut self.dirty).into_iter().for_each(|c| self.send_counts(c, actions));
        let next = self.wakeups.first(&self.requests).map_or(self.tick_at, |w| w.0.min(self.tick_at));
        let next = next.max(self.now + Span::millis(1));
        if self.timer_at.is_none_or(|a| next < a) {
            self.timer_at = Some(next);
            actions.push(Action::Timer { after: next - self.now, token: 0 });
        }
    }
}
