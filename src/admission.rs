//! Admission of a new request: denied, charged to the counter first, or admitted without its answer.

use crate::{counter::*, interface::*, state::*, time::*};

impl Control {
    pub(crate) fn customer(&mut self, id: u64, plan: usize, spread: f64) -> usize {
        let (c, new) = self.ids.intern(id);
        if new {
            let (p, now) = (self.terms.plans[plan], self.now);
            let others = 0.5 * p.at_once as f64 * (1.0 - 1.0 / spread); // until totals are read
            put_at(&mut self.customers, c, Customer::new(plan, spread, p.burst, others, now, self.started));
        }
        self.customers[c].seen = self.now;
        c
    }

    pub(crate) fn arrive(&mut self, n: NewRequest) {
        let c = self.customer(n.customer, n.plan, n.spread.max(1.0));
        let (p, f, frontend) = (self.terms.plans[n.plan], self.terms.frontends[n.frontend], n.frontend);
        self.customers[c].update(n.plan, n.spread.max(1.0), p.burst);
        // A retry's target counts from its first try. First tries have the same time left: the longest of an
        // unmarked request where clients mark their retries, else the time that most requests have
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
        // after a pause of this gateway a first try may be as old as the pause; its time left shows its age
        let aged = if known { (first - n.time_left).max(Span::ZERO).min(self.gap) } else { Span::ZERO };
        let target = self.now + f.target - if cut { f.timeout - n.time_left } else { aged };
        // late answers have a value too: while the queue is empty, late requests run until they expire
        let past = target < self.now.later(self.typical(frontend));
        let late = past && self.terms.awaits_late_answers && f.late_value > 0.0 && self.queue.waiting == 0;
        let expiry = self.now + n.time_left - self.terms.period - Span::millis(2); // before client timeout
        let (past, target) = if late { (false, expiry) } else { (past, target) };
        self.retries = self.terms.retry_budget.map_or(1.0, |(ratio, most)| (self.retries + ratio).min(most));
        let (id, customer, units, zones, rules) = (n.id, c, n.units, n.zones, f);
        let r = Request { id, frontend, rules, customer, units, expiry, target, zones, ..Default::default() };
        let slot = self.requests.put(n.id, r);
        self.wakeups.push(expiry, slot, n.id);
        let (has_quota, cap) = (p.rate > 0.0, p.at_once as f64);
        let answers: f64 = self.servers.passed.iter().sum::<f64>() / 4.0;
        let max_wait = self.max_wait(frontend, n.plan);
        // low-value requests get no minimum queue length: with many gateways each queue is short
        let min_waiting = if max_wait < 0.5 * f.target.secs() { 0.0 } else { 2.0f64.max(0.3 * self.limit) };
        let in_zones = |i: usize| n.zones >> self.servers.zone[i].min(63) & 1 == 1;
        let no_server = n.zones != u64::MAX && !self.servers.open().any(in_zones);
        // requests of this round for which there are free places are not queued behind any other
        let queued = self.queue.waiting as f64 - (self.limit - self.out as f64).max(0.0);
        let queue_full = queued > (answers * max_wait).max(min_waiting) || no_server;
        let low = has_quota && self.available(c) < n.units;
        let (cust, load) = (&self.customers[c], self.congestion);
        let recent = cust.quota.fresh(self.now, ROLL);
        // under congestion, customers near their quota or cap are checked on the counter before others
        let prob = if cust.admit < 1.0 || low { 1.0 - load.powi(4) } else { (1.0 - load).powi(3) }.max(0.1);
        // an old cut recovers by itself: the fewer requests are admitted, the fewer totals could raise it
        let recovery = cust.adjusted_at.map_or(1.0, |s| (0.03 * self.now.since(s)).exp());
        // while places are free: the cheaper an overrun, the more requests pass without certainty
        let has_room = self.queue.waiting == 0 && self.avg_out < 0.6 * self.limit;
        let caution = if has_room { p.overrun_cost.min(1.0) } else { 1.0 };
        let admitted = load < 0.1 || self.rng.f64() < cust.admit.powf(caution) * recovery;
        let asks = !self.counter_down && self.rng.f64() < prob;
        // without the counter, a lease has to fit beside the recent leases of other gateways
        let no_lease = cust.held >= cap || !asks && !self.lease_fits(c, cust.held + 1.0);
        let decided = recent || !asks && (caution >= 1.0 || self.rng.f64() < caution);
        // if calls are slow, the gateways share what the last total left instead of waiting
        let (slow, free) = (asks && self.call_time > 0.02 && recent, cap - cust.held - cust.lease.others);
        let early = slow && self.available(c) * self.share(c) >= n.units;
        let ask_lease = cap > 0.0 && asks && !(slow && free * self.share(c) >= 1.0);
        let (ask_quota, no_units) = (has_quota && asks && !early, low && decided);
        // a sampled call charges for the skipped ones too; unsampled (outage, costly overruns) for itself
        let exact = has_quota && p.overrun_cost > 1.0;
        let weight = if exact || self.counter_down { 1.0 } else { asks as u8 as f64 / prob };
        let charge = has_quota as u8 as f64 * n.units * weight;
        let leased = (cap > 0.0) as u8 as f64 * weight.min((0.5 * cap).max(1.0));
        let unverified = exact && !asks;
        self.dirty.extend(Some(c).filter(|_| unverified)); // for a trial call, even if it is refused
        let refused = past || queue_full || !admitted || no_units || cap > 0.0 && no_lease;
        if refused || !self.take_from_ceiling(c, n.units) || unverified && !self.fits_share(c, n.units, 0.0) {
            return self.refuse(slot);
        }
        let units = if unverified { 0.0 } else { units / if ask_quota { 1.0 } else { self.share(c) } };
        let cust = &mut self.customers[c];
        cust.hold(1.0, leased);
        (cust.local, cust.quota.due) = (cust.local - units, cust.quota.due + charge);
        cust.quota.waiters.extend(Some((slot, n.id, charge)).filter(|_| ask_quota));
        cust.quota.urgent |= early;
        cust.lease.waiters.extend(Some((slot, n.id, leased)).filter(|_| ask_lease));
        let basis = Basis::arrived(has_quota, early);
        let record = |r: &mut Request| (r.charge, r.leased, r.basis) = (charge, leased, basis);
        self.requests.at_mut(slot).into_iter().for_each(record);
        self.dirty.push(c);
        match (ask_quota as u8 + ask_lease as u8, self.requests.at_mut(slot)) {
            (0, _) | (_, None) => self.enqueue(slot),
            (pending, Some(r)) => (r.stage, r.pending) = (Stage::Charging, pending),
        }
    }

    /// Takes units from this gateway's slice of the hard ceiling, if there is one; returns whether they fit.
    /// The slice is empty at start, as a killed predecessor may have used it up.
    fn take_from_ceiling(&mut self, c: usize, units: f64) -> bool {
        let p = &self.terms.plans[self.customers[c].plan];
        p.ceiling_rate <= 0.0 || self.customers[c].take_ceiling(self.now, p, units)
    }

    /// A customer's remaining quota as seen here: last total, refill since, requests sent from this gateway.
    pub(crate) fn available(&mut self, c: usize) -> f64 {
        let p = &self.terms.plans[self.customers[c].plan];
        self.customers[c].available(self.now, p.rate, p.burst)
    }

    /// Recent share of a customer's use: with an even split, customers on few gateways would starve.
    pub(crate) fn share(&self, c: usize) -> f64 {
        let cust = &self.customers[c];
        let prior = 0.5 * self.terms.plans[cust.plan].burst.max(1.0);
        let alone = if self.costly_outage(c) { 0.85 } else { 1.0 }; // estimates include others' idle times
        alone * ((cust.own_use + prior / cust.spread) / (cust.all_use + prior)).clamp(0.5 / cust.spread, 1.0)
    }

    /// Takes units (of which `off` were taken before) from this gateway's share of the quota without the
    /// counter; returns if they fit. If an overrun costs more than a request earns and the quota is unread
    /// or below half, they fit with the probability room / needed: otherwise every gateway would round up.
    pub(crate) fn fits_share(&mut self, c: usize, units: f64, off: f64) -> bool {
        let (room, whole, cust) = (self.available(c) + off, units / self.share(c), &self.customers[c]);
        let p = &self.terms.plans[cust.plan];
        let quota_low_or_unread = cust.quota.seen.is_none() || cust.level < 0.5 * p.burst;
        let strict = p.overrun_cost > 1.0 && quota_low_or_unread;
        let chance = if strict { room / whole } else { (room >= units) as u8 as f64 };
        let fits = chance >= 1.0 || chance > 0.0 && self.rng.f64() < chance;
        // takes off what the other gateways use meanwhile as well
        let spent = if strict { whole.min(room.max(0.0)) } else { whole * fits as u8 as f64 };
        self.customers[c].local -= spent - if fits { off } else { 0.0 };
        fits
    }

    /// Whether a lease fits without the counter: one unchecked per gateway would exceed the cap many times.
    pub(crate) fn lease_fits(&self, c: usize, held: f64) -> bool {
        held + self.customers[c].lease.others <= self.terms.plans[self.customers[c].plan].at_once as f64 + 0.5
    }
}
