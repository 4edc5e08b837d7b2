//! Waiters for the pool: their line, how long they may wait, and whose turn it is.

use crate::{state::*, time::*};

impl Control {
    pub(crate) fn admit(&mut self, slot: usize) {
        let Some(r) = self.reqs.at_mut(slot) else { return };
        r.stage = Stage::Waiting;
        let (c, target, f, id, zones) = (r.customer, r.target, r.frontend, r.id, r.zones);
        self.wakes.push(target - Span::from_secs(self.typical(f)), slot, id);
        // newest first: older reqs are likelier late; what only some srvs may have has a lane of its own
        self.line.join(2 * c + (zones != u64::MAX) as usize, slot);
    }

    /// Weighted deficit round robin over customers (DESIGN). The limit is held on average, by one place.
    pub(crate) fn pump(&mut self) {
        let mut passed_over = 0;
        while let Some((lane, slot)) = self.line.head() {
            let (c, bound) = (lane / 2, lane % 2 == 1);
            let late = |r: &Req| self.now >= r.target.min(r.ends) - Span::from_secs(self.typical(r.frontend));
            if self.reqs.at(slot).is_some_and(late) {
                self.end(slot); // usual times grew while it waited: sent now, it would only be wasted
            }
            let waits = |r: &Req| r.stage == Stage::Waiting && r.customer == c && r.end.is_none();
            if !self.reqs.at(slot).is_some_and(waits) {
                self.line.leave();
                continue;
            }
            let free = (self.out as f64) < self.limit + (self.limit - self.used).clamp(0.0, 1.0);
            let Some(srv) = Some(slot).filter(|_| free).and_then(|s| self.pick(s)) else {
                passed_over += 1;
                if !free || !bound || passed_over > self.line.lanes() {
                    break;
                }
                self.line.turn(); // a place that it may not have is there for others
                continue;
            };
            let p = &self.terms.plans[self.customers[c].plan];
            // the weight: as many of the largest reqs as the plan lets a customer have at once
            let weight =
                if p.rate > 0.0 { p.burst / self.terms.max_units } else { p.at_once as f64 }.max(1.0);
            let deficit = self.line.leave();
            *deficit += if *deficit < 1.0 { weight - 1.0 } else { -1.0 };
            if *deficit < 1.0 {
                self.line.turn();
            }
            self.send(slot, srv);
        }
    }

    /// How long a req may wait: until its target is out of reach; less if clearly dearer ones would be late.
    pub(crate) fn patience(&self, f: usize, plan: usize) -> f64 {
        let slack = |g: usize| self.terms.frontends[g].target.secs() - self.typical(g);
        let dense = |g: usize| self.terms.frontends[g].value / self.usual[g].max(1e-3);
        let dearer = self.terms.plans.iter().any(|p| p.price > 1.5 * self.terms.plans[plan].price);
        let denser = (0..self.usual.len()).filter(|&g| dearer || dense(g) > 1.5 * dense(f));
        denser.map(|g| 0.3 * slack(g)).fold(slack(f), f64::min)
    }
}
