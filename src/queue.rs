//! The queue of requests that wait for a place in the pool: order, fairness and longest wait.

use crate::{state::*, time::*};

impl Control {
    pub(crate) fn enqueue(&mut self, slot: usize) {
        let Some(r) = self.requests.at_mut(slot) else { return };
        r.stage = Stage::Waiting;
        let (c, target, f, id, zones) = (r.customer, r.target, r.frontend, r.id, r.zones);
        self.wakeups.push(target - Span::from_secs(self.typical(f)), slot, id);
        // newest first: older ones are likelier late; requests bound to zones have their own lane
        self.queue.push(2 * c + (zones != u64::MAX) as usize, slot);
    }

    /// Weighted deficit round robin over customers. The limit holds on average, to within one place.
    pub(crate) fn send_waiting(&mut self) {
        let mut passed_over = 0;
        while let Some((lane, slot)) = self.queue.head() {
            let (c, zone_bound) = (lane / 2, lane % 2 == 1);
            let late =
                |r: &Request| self.now >= r.target.min(r.expiry) - Span::from_secs(self.typical(r.frontend));
            if self.requests.at(slot).is_some_and(late) {
                self.refuse(slot); // usual times grew while it waited: its answer would be late
            }
            let waits = |r: &Request| r.stage == Stage::Waiting && r.customer == c && r.reply.is_none();
            if !self.requests.at(slot).is_some_and(waits) {
                self.queue.pop();
                continue;
            }
            let free = (self.out as f64) < self.limit + (self.limit - self.avg_out).clamp(0.0, 1.0);
            let Some(server) = Some(slot).filter(|_| free).and_then(|s| self.pick_server(s)) else {
                passed_over += 1;
                if !free || !zone_bound || passed_over > self.queue.lanes() {
                    break;
                }
                self.queue.rotate(); // other lanes may use the places that it may not
                continue;
            };
            let p = &self.terms.plans[self.customers[c].plan];
            // per turn: how many of the largest requests the plan allows a customer at once
            let turn = if p.rate > 0.0 { p.burst / self.terms.max_units } else { p.at_once as f64 }.max(1.0);
            let deficit = self.queue.pop();
            *deficit += if *deficit < 1.0 { turn - 1.0 } else { -1.0 };
            if *deficit < 1.0 {
                self.queue.rotate();
            }
            self.send(slot, server);
        }
    }

    /// Longest wait: until the target is out of reach, less if clearly more valuable requests would be late.
    pub(crate) fn max_wait(&self, f: usize, plan: usize) -> f64 {
        let slack = |g: usize| self.terms.frontends[g].target.secs() - self.typical(g);
        let value_rate = |g: usize| self.terms.frontends[g].value / self.usual[g].max(1e-3);
        let pricier = self.terms.plans.iter().any(|p| p.price > 1.5 * self.terms.plans[plan].price);
        let preferred = (0..self.usual.len()).filter(|&g| pricier || value_rate(g) > 1.5 * value_rate(f));
        preferred.map(|g| 0.3 * slack(g)).fold(slack(f), f64::min)
    }
}
