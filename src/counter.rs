//! The shared counter and the peers: messages received from and sent to them.

use crate::{interface::*, state::*, time::*};

pub(crate) const ROLL: f64 = 2.0; // lease names change every two seconds; older totals are stale
pub(crate) const LEAD: f64 = 0.1; // leases are added to the next name this early: several counter round trips
const SHARE_MEMORY: f64 = 8.0; // seconds that use is averaged over: a customer's spread changes in several

impl Control {
    pub(crate) fn counted(&mut self, name: u64, read: Reading, outcome: Outcome) {
        let Some(call) = self.calls.take(name) else { return };
        let (c, answered) = (call.customer, outcome == Outcome::Passed);
        let first = self.customers[c].quota.seen.is_none();
        smooth(&mut self.call_time, self.now.since(call.sent), if answered { 0.1 } else { 0.0 });
        // fewer calls under congestion; all timeouts of one stall count as one sign, a broken answer as none
        self.answers += 1.0;
        let alive = answered || outcome == Outcome::Reset;
        let sign = !alive && self.misses < 6 && self.now.since(self.miss_at) > self.terms.count_wait.secs();
        let miss = (1.0 / (0.3 + self.answers)).max(0.1) * (1.0 - self.congestion) * sign as u8 as f64;
        self.miss_at = if sign { self.now } else { self.miss_at };
        let eased = if read.level.is_some() { 0.5 * self.congestion } else { 0.002 };
        self.congestion = (self.congestion + if answered { -eased } else { miss }).max(0.0);
        self.misses = if alive { 0 } else { self.misses + 1 };
        // one or two misses in a row are congestion; after an outage all amounts due are sent
        if std::mem::replace(&mut self.counter_down, self.misses >= 3) && answered {
            self.refresh();
        }
        let added = answered || matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let reading = if call.lease { Self::read_lease } else { Self::read_quota };
        let mut over = reading(self, &call, read, answered, added);
        if answered {
            self.adjust_admit(c, call.lease, over - call.waiters.iter().map(|j| j.2).sum::<f64>());
        }
        for &(slot, id, weight) in call.waiters.iter().rev() {
            let waiting = |r: &&mut Request| r.id == id && r.stage == Stage::Charging && r.reply.is_none();
            let Some(r) = self.requests.at_mut(slot).filter(waiting) else { continue };
            r.pending -= 1;
            r.basis = if call.lease { r.basis } else { Basis::counted(answered, first) };
            let (left, own) = (r.pending, if call.lease { 1.0 } else { r.units });
            let fits = match (answered, call.lease) {
                (true, _) => over <= weight - own + 1e-3,
                (_, true) => self.lease_fits(c, self.customers[c].held),
                _ => self.fits_share(c, own, own),
            };
            over -= if fits { 0.0 } else { weight };
            match (fits, left) {
                (false, _) => self.refuse(slot),
                (true, 0) => self.enqueue(slot),
                _ => {}
            }
        }
    }

    /// Estimates the quota left from a total; returns the overrun. How much refill a full store lost is not
    /// known: most if all use came after it, least if before. The costlier an overrun, the lower the guess.
    fn read_quota(&mut self, call: &Call, read: Reading, answered: bool, added: bool) -> f64 {
        let (own, part, total) = (self.available(call.customer), self.share(call.customer), read.total);
        let outage = self.costly_outage(call.customer);
        // what a slow counter has not reported: the others' use meanwhile, taken from this gateway's share
        let unreported = if self.call_time > 0.02 { 1.0 / self.share(call.customer) - 1.0 } else { 0.0 };
        let cust = &mut self.customers[call.customer];
        let (p, q) = (&self.terms.plans[cust.plan], &mut cust.quota);
        let own = own + q.in_flight + q.due;
        q.in_flight -= call.amount;
        q.due += if added { 0.0 } else { call.amount };
        q.unanswered = !answered;
        if !answered || call.epoch < q.epoch {
            return (-cust.level).max(0.0);
        }
        // a lower total under the same name: the counter came back empty, the own estimate still holds
        let lower = q.total - total + call.amount > (2.0 * self.terms.max_units).max(0.5 * q.total);
        let was_reset = lower && call.epoch == q.epoch && read.level.is_none();
        let first = q.seen.is_none();
        let delta = if call.epoch > q.epoch || first || was_reset { total } else { total - q.total };
        let since = if first { self.now.secs() % self.terms.window() } else { self.now.since(cust.level_at) };
        (q.epoch, q.total, q.seen) = (call.epoch, total, Some(self.now));
        let all = cust.level + p.rate * since;
        let (least, most) = (all.min(p.burst) - delta, (all - delta + call.units).min(p.burst) - call.units);
        // uneven use averages out over a refill; but a quota read for the first time may be just emptied
        let weight = if first { 1.0 } else { (-since * p.rate / p.burst.max(1e-3)).exp() };
        let least = if first { least.max(0.0).min(most) } else { least };
        let estimate = most + (least - most) * weight * p.overrun_cost / (1.0 + p.overrun_cost);
        // an empty counter lacks what was sent meanwhile; in an outage the others used their shares
        cust.level = read.level.unwrap_or(estimate);
        let known = (own - call.amount) * if outage && own > call.amount { part } else { 1.0 };
        cust.level = cust.level.min(if was_reset || outage { known } else { f64::MAX });
        (cust.level_at, cust.local_at) = (self.now, self.now);
        cust.local = cust.level - q.in_flight * (1.0 + unreported) - q.due;
        let decay = (-since / SHARE_MEMORY).exp();
        // counts admitted use only: with refused requests the shares of all gateways would exceed the whole
        cust.own_use = (cust.own_use * decay + call.amount).max(0.0);
        cust.all_use = (cust.all_use * decay + delta).min(p.rate * SHARE_MEMORY + p.burst).max(cust.own_use);
        (-cust.level).max(0.0)
    }

    /// Applies a total of leases; returns by how many it exceeds the cap.
    fn read_lease(&mut self, call: &Call, read: Reading, answered: bool, added: bool) -> f64 {
        let cust = &mut self.customers[call.customer];
        let (p, l) = (&self.terms.plans[cust.plan], &mut cust.lease);
        let put = if call.epoch == l.epoch { &mut l.added } else { &mut l.added_next };
        *put -= if added || call.epoch < l.epoch { 0.0 } else { call.amount };
        if !answered || call.epoch != l.epoch {
            return 0.0;
        }
        smooth(&mut l.others, (read.total - l.added).max(0.0), 0.2);
        (read.total - p.at_once as f64).max(0.0)
    }

    /// Adjusts the share of requests admitted under congestion: cut past quota or cap, raised far below it.
    fn adjust_admit(&mut self, c: usize, lease: bool, over: f64) {
        let (now, cust) = (self.now, &mut self.customers[c]);
        let p = &self.terms.plans[cust.plan];
        let full = over > 1e-3;
        let has_room = if lease { !full } else { p.at_once == 0 && cust.level > 0.5 * p.burst };
        let gap = cust.adjusted_at.map_or(f64::MAX, |s| now.since(s));
        // with few gateways each reads most totals: smaller steps and faster recovery
        let step = (cust.spread / 8.0).clamp(0.4, 1.0);
        let factor = match (full, has_room && cust.admit < 1.0) {
            (true, _) if gap > 0.3 => 0.5f64.powf(step),
            (_, true) if gap > step => 1.25,
            _ => return,
        };
        (cust.admit, cust.adjusted_at) = ((cust.admit * factor).clamp(0.02, 1.0), Some(now));
        self.updates.extend(Some(c).filter(|c| self.terms.may_message_peers && !self.updates.contains(c)));
    }

    pub(crate) fn send_updates(&mut self, actions: &mut Vec<Action>) {
        if self.updates.is_empty() || self.now < self.sync_at {
            return;
        }
        let mut body = Vec::new();
        for c in std::mem::take(&mut self.updates).into_iter().take(ShareUpdate::MAX) {
            let cust = &self.customers[c];
            body.extend(ShareUpdate { customer: self.ids.id(c), plan: cust.plan, share: cust.admit }.bytes());
        }
        // the messages of all gateways together stay within one's intake
        self.sync_at = self.now.later(self.terms.gateways as f64 / (0.7 * self.terms.peer_intake).max(1e-3));
        actions.push(Action::Tell { to: None, body });
    }

    pub(crate) fn apply_updates(&mut self, body: &[u8]) {
        let plans = self.terms.plans.len();
        for n in ShareUpdate::decode(body).filter(|n| n.plan < plans) {
            let c = self.customer(n.customer, n.plan, self.terms.gateways.max(1) as f64);
            (self.customers[c].admit, self.customers[c].adjusted_at) = (n.share, Some(self.now));
        }
    }

    /// Calls for the names that the plan needs, leases early. In an outage: 100 trial calls/s, all gateways.
    pub(crate) fn send_counts(&mut self, c: usize, actions: &mut Vec<Action>) {
        let (now, share) = (self.now.secs(), self.share(c));
        let cust = &mut self.customers[c];
        if self.counter_down && cust.quota.waiters.is_empty() && cust.lease.waiters.is_empty() {
            if !self.terms.counter || self.now < self.trial_at {
                return;
            }
            self.trial_at = self.now.later((self.terms.gateways as f64 / 100.0).max(0.2));
        }
        let p = &self.terms.plans[cust.plan];
        let (q, l) = (&mut cust.quota, &mut cust.lease);
        let mut calls = Vec::new();
        // after an outage only what the quota still lacks: the rest has refilled
        let overdue = q.due > 0.5 * self.congestion * p.burst && self.now.since(q.called) > 1.0;
        let need = q.waiters.iter().map(|j| j.2).sum::<f64>() + share * (p.burst - cust.local).max(0.0);
        let refund_due = q.urgent && q.due.abs() > 1e-6; // a refused charge is given back
        if p.rate > 0.0 && (!q.waiters.is_empty() || refund_due || self.counter_down || overdue) {
            let sum = std::mem::take(&mut q.due).min(if q.fresh(self.now, ROLL) { f64::MAX } else { need });
            (q.urgent, q.called, q.in_flight) = (false, self.now, q.in_flight + sum);
            calls.push((false, (now / self.terms.window()) as u64, sum, std::mem::take(&mut q.waiters)));
        }
        if p.at_once > 0 {
            let epoch = (now / ROLL) as u64;
            l.roll(epoch);
            let (diff, ahead) = (cust.leased - l.added, cust.leased - l.added_next);
            // far below the cap a lease is returned with the next call: a call of its own has no use
            let low = cust.held + l.others + 2.0 < 0.5 * p.at_once as f64 && self.now.since(l.called) < 0.3;
            let wait = diff.abs() > 1e-6 && low && calls.is_empty() && l.waiters.is_empty();
            self.dirty.extend(Some(c).filter(|c| wait && !self.dirty.contains(c)));
            if !l.waiters.is_empty() || diff.abs() > 1e-6 && !wait {
                (l.added, l.called) = (l.added + diff, self.now);
                calls.push((true, epoch, diff, std::mem::take(&mut l.waiters)));
            }
            if now % ROLL > ROLL - LEAD && ahead.abs() > 1e-6 {
                l.added_next += ahead;
                calls.push((true, epoch + 1, ahead, Vec::new()));
            }
        }
        for (lease, epoch, amount, waiters) in calls {
            let name = (self.ids.id(c) << 24) | ((epoch & 0x7f_ffff) << 1) | lease as u64;
            let units = waiters.iter().map(|j: &(usize, u64, f64)| j.2).sum();
            let life = Span::from_secs(2.0 * if lease { ROLL } else { self.terms.window() });
            actions.push(Action::Count { name, amount, life });
            self.calls.put(name, Call { customer: c, lease, epoch, amount, units, waiters, sent: self.now });
        }
    }
}
