//! A req as it comes: denied, charged to the counter first, or let in without an answer.

use crate::{count::*, interface::*, state::*, time::*};

impl Control {
    pub(crate) fn customer(&mut self, id: u64, plan: usize, spread: f64) -> usize {
        let (c, new) = self.door.enter(id);
        if new {
            let (p, now) = (self.terms.plans[plan], self.now);
            let others = 0.5 * p.at_once as f64 * (1.0 - 1.0 / spread); // until totals tell
            put_at(&mut self.customers, c, Customer::new(plan, spread, p.burst, others, now, self.began));
        }
        self.customers[c].seen = self.now;
        c
    }

    pub(crate) fn arrive(&mut self, n: NewRequest) {
        let c = self.customer(n.customer, n.plan, n.spread.max(1.0));
        let (p, f, frontend) = (self.terms.plans[n.plan], self.terms.frontends[n.frontend], n.frontend);
        self.customers[c].follow(n.plan, n.spread.max(1.0), p.burst);
        // A repeat counts from its first try. First tries come with the same time left: where repeats are
        // marked, the most that one without a mark had, else what most come with
        let (first, votes) = &mut self.first_left[frontend];
        let usual = |first: Span| (first.secs() - n.time_left.secs()).abs() < 0.01 * f.timeout.secs();
        if self.terms.marks_repeats {
            (*first, *votes) = if n.repeat { (*first, *votes) } else { (n.time_left.max(*first), 10.0) };
        } else {
            *votes = (*votes + if usual(*first) { 1.0 } else { -1.0 }).min(100.0);
            (*first, *votes) = if *votes < 0.0 { (n.time_left, 1.0) } else { (*first, *votes) };
        }
        let (first, known, usual) = (*first, *votes >= 10.0, usual(*first));
        let cust = &mut self.customers[c];
        cust.usual_left |= usual;
        let cut = known && !usual && (n.repeat || !self.terms.marks_repeats && cust.usual_left);
        // after a standstill of this gateway a first try may be as old as that: its time left tells
        let aged = if known { (first - n.time_left).max(Span::ZERO).min(self.gap) } else { Span::ZERO };
        let target = self.now + f.target - if cut { f.timeout - n.time_left } else { aged };
        // a late answer earns too: while nobody waits, what comes back past its target goes on to its end
        let past = target < self.now.later(self.typical(frontend));
        let late = past && self.terms.awaits_late_answers && f.late_value > 0.0 && self.line.waiting == 0;
        let ends = self.now + n.time_left - self.terms.period - Span::millis(2); // before the client timeout
        let (past, target) = if late { (false, ends) } else { (past, target) };
        self.further = self.terms.retry_budget.map_or(1.0, |(ratio, most)| (self.further + ratio).min(most));
        let (id, units, zones) = (n.id, n.units, n.zones);
        let r = Req { id, frontend, customer: c, units, ends, target, zones, ..Default::default() };
        let slot = self.reqs.put(n.id, r);
        self.wakes.push(ends, slot, n.id);
        let (rated, cap) = (p.rate > 0.0, p.at_once as f64);
        let answers: f64 = self.srvs.passed.iter().sum::<f64>() / 4.0;
        let patience = self.patience(frontend, n.plan);
        // what is cheap beside others has no place in the line for free: at many gateways each is short
        let few = if patience < 0.5 * f.target.secs() { 0.0 } else { 2.0f64.max(0.3 * self.limit) };
        let served = |i: usize| n.zones >> self.srvs.zone[i].min(63) & 1 == 1;
        let nowhere = n.zones != u64::MAX && !self.srvs.open().any(served);
        // those of the same round that free places are there for are not behind anybody
        let behind = self.line.waiting as f64 - (self.limit - self.out as f64).max(0.0);
        let hopeless = behind > (answers * patience).max(few) || nowhere;
        let short = rated && self.room(c) < n.units;
        let (cust, load) = (&self.customers[c], self.crowd);
        let recent = cust.quota.fresh(self.now, ROLL);
        // those known to be near their quota or cap, or back here soon, are asked for before the calm
        let keep = if cust.admit < 1.0 || short { 1.0 - load.powi(4) } else { (1.0 - load).powi(3) }.max(0.1);
        // a part cut long ago comes back by itself: the fewer are let through, the fewer totals tell
        let back = cust.steered.map_or(1.0, |s| (0.03 * self.now.since(s)).exp());
        // while places are free, the cheaper an overrun is, the more of the uncertain go through
        let spare = self.line.waiting == 0 && self.used < 0.6 * self.limit;
        let dear = if spare { p.overrun_cost.min(1.0) } else { 1.0 };
        let through = load < 0.1 || self.rng.f64() < cust.admit.powf(dear) * back;
        let asks = !self.silent && self.rng.f64() < keep;
        // decided alone, a place needs room beside what the others had lately
        let no_lease = cust.held >= cap || !asks && !self.lease_alone(c, cust.held + 1.0);
        let sure = recent || !asks && (dear >= 1.0 || self.rng.f64() < dear);
        // DESIGN: where a call is slow, the room that the last total left is divided, and not waited for
        let (far, places) = (asks && self.slow > 0.02 && recent, cap - cust.held - cust.lease.others);
        let ahead = far && self.room(c) * self.share(c) >= n.units;
        let ask_lease = cap > 0.0 && asks && !(far && places * self.share(c) >= 1.0);
        let (ask_quota, no_units) = (rated && asks && !ahead, short && sure);
        // what is told by chance stands for those not asked; in silence, or if overruns are dear, all is told
        let exact = rated && p.overrun_cost > 1.0;
        let weight = if exact || self.silent { 1.0 } else { asks as u8 as f64 / keep };
        let charge = rated as u8 as f64 * n.units * weight;
        let leased = (cap > 0.0) as u8 as f64 * weight.min((0.5 * cap).max(1.0));
        let doubt = exact && !asks;
        self.dirty.extend(Some(c).filter(|_| doubt)); // for a trial, whatever comes of it
        let kept = past || hopeless || !through || no_units || cap > 0.0 && no_lease;
        if kept || !self.ceiling(c, n.units) || doubt && !self.alone(c, n.units, 0.0) {
            return self.end(slot);
        }
        let units = if doubt { 0.0 } else { units / if ask_quota { 1.0 } else { self.share(c) } };
        let cust = &mut self.customers[c];
        cust.hold(1.0, leased);
        (cust.run, cust.quota.owed) = (cust.run - units, cust.quota.owed + charge);
        cust.quota.joins.extend(Some((slot, n.id, charge)).filter(|_| ask_quota));
        cust.quota.urgent |= ahead;
        cust.lease.joins.extend(Some((slot, n.id, leased)).filter(|_| ask_lease));
        let basis = Basis::arrived(rated, ahead);
        let told = |r: &mut Req| (r.charge, r.leased, r.basis) = (charge, leased, basis);
        self.reqs.at_mut(slot).into_iter().for_each(told);
        self.dirty.push(c);
        match (ask_quota as u8 + ask_lease as u8, self.reqs.at_mut(slot)) {
            (0, _) | (_, None) => self.admit(slot),
            (verdicts, Some(r)) => (r.stage, r.verdicts) = (Stage::Charging, verdicts),
        }
    }

    /// The hard ceiling: each gateway's slice, empty at a start, since a killed predecessor may have used it.
    fn ceiling(&mut self, c: usize, units: f64) -> bool {
        let p = &self.terms.plans[self.customers[c].plan];
        p.ceiling_rate <= 0.0 || self.customers[c].take_slice(self.now, p, units)
    }

    /// The customer's store as far as is known here: the last totals, what filled, what went out here.
    pub(crate) fn room(&mut self, c: usize) -> f64 {
        let p = &self.terms.plans[self.customers[c].plan];
        self.customers[c].room(self.now, p.rate, p.burst)
    }

    /// Own recent part of the customer's use: at DESIGN's even split, customers gathered on few would starve.
    pub(crate) fn share(&self, c: usize) -> f64 {
        let cust = &self.customers[c];
        let prior = 0.5 * self.terms.plans[cust.plan].burst.max(1.0);
        let alone = if self.dear_silence(c) { 0.85 } else { 1.0 }; // each has seen others rest
        alone * ((cust.own + prior / cust.spread) / (cust.all + prior)).clamp(0.5 / cust.spread, 1.0)
    }

    /// Whether units, `off` of which are off the store, fit into its own part with no answer to go by. Where
    /// an overrun costs more than a req earns, and the store was not met or not half full when read last, a
    /// part less than whole is spent on a chance as large: all gateways would round it up at once.
    pub(crate) fn alone(&mut self, c: usize, units: f64, off: f64) -> bool {
        let (room, whole, cust) = (self.room(c) + off, units / self.share(c), &self.customers[c]);
        let p = &self.terms.plans[cust.plan];
        let near = cust.quota.seen.is_none() || cust.level < 0.5 * p.burst;
        let dear = p.overrun_cost > 1.0 && near;
        let chance = if dear { room / whole } else { (room >= units) as u8 as f64 };
        let fits = chance >= 1.0 || chance > 0.0 && self.rng.f64() < chance;
        // what the others use meanwhile goes off too
        let spent = if dear { whole.min(room.max(0.0)) } else { whole * fits as u8 as f64 };
        self.customers[c].run -= spent - if fits { off } else { 0.0 };
        fits
    }

    /// Without an answer: under the cap with what the others had lately. One each would pass it many times.
    pub(crate) fn lease_alone(&self, c: usize, held: f64) -> bool {
        held + self.customers[c].lease.others <= self.terms.plans[self.customers[c].plan].at_once as f64 + 0.5
    }
}
