//! The shared counter and the peers: what they tell, and what they are told.

use crate::{interface::*, state::*, time::*};

pub(crate) const ROLL: f64 = 2.0; // DESIGN: in-flight names roll every two seconds; older totals are stale
pub(crate) const LEAD: f64 = 0.1; // leases go to the next name this long ahead: several counter round trips
const SHARE_MEMORY: f64 = 8.0; // seconds of own and total use: the spread of a customer moves within some

impl Control {
    pub(crate) fn counted(&mut self, name: u64, read: Reading, outcome: Outcome) {
        let Some(call) = self.calls.take(name) else { return };
        let (c, answered) = (call.customer, outcome == Outcome::Passed);
        let first = self.customers[c].quota.seen.is_none();
        blend(&mut self.slow, self.now.since(call.sent), if answered { 0.1 } else { 0.0 });
        // a crowded counter gets fewer calls; what one stall held up is one sign, a spoilt answer is none
        self.answers += 1.0;
        let heard = answered || outcome == Outcome::Reset;
        let sign = !heard && self.misses < 6 && self.now.since(self.missed) > self.terms.count_wait.secs();
        let miss = (1.0 / (0.3 + self.answers)).max(0.1) * (1.0 - self.crowd) * sign as u8 as f64;
        self.missed = if sign { self.now } else { self.missed };
        let eased = if read.level.is_some() { 0.5 * self.crowd } else { 0.002 };
        self.crowd = (self.crowd + if answered { -eased } else { miss }).max(0.0);
        self.misses = if heard { 0 } else { self.misses + 1 };
        // one or two in a row happen on a crowded counter; behind a silence all that is owed is told
        if std::mem::replace(&mut self.silent, self.misses >= 3) && answered {
            self.refresh();
        }
        let added = answered || matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let reading = if call.lease { Self::lease_counted } else { Self::quota_counted };
        let mut over = reading(self, &call, read, answered, added);
        if answered {
            self.steer(c, call.lease, over - call.joins.iter().map(|j| j.2).sum::<f64>());
        }
        for &(slot, id, weight) in call.joins.iter().rev() {
            let judged = |r: &&mut Req| r.id == id && r.stage == Stage::Charging && r.end.is_none();
            let Some(r) = self.reqs.at_mut(slot).filter(judged) else { continue };
            r.verdicts -= 1;
            r.basis = if call.lease { r.basis } else { Basis::counted(answered, first) };
            let (left, own) = (r.verdicts, if call.lease { 1.0 } else { r.units });
            let fits = match (answered, call.lease) {
                (true, _) => over <= weight - own + 1e-3,
                (_, true) => self.lease_alone(c, self.customers[c].held),
                _ => self.alone(c, own, own),
            };
            over -= if fits { 0.0 } else { weight };
            match (fits, left) {
                (false, _) => self.end(slot),
                (true, 0) => self.admit(slot),
                _ => {}
            }
        }
    }

    /// Reads the store out of a total; returns by how much it is overdrawn. What a full store lost of its
    /// fill is not known: most if all use came after it, least if before. The dearer an overrun, the lower.
    fn quota_counted(&mut self, call: &Call, read: Reading, answered: bool, added: bool) -> f64 {
        let (own, part, total) = (self.room(call.customer), self.share(call.customer), read.total);
        let silence = self.dear_silence(call.customer);
        // what a far counter has not told yet: others send meanwhile as this gateway does, by its share
        let unseen = if self.slow > 0.02 { 1.0 / self.share(call.customer) - 1.0 } else { 0.0 };
        let cust = &mut self.customers[call.customer];
        let (p, q) = (&self.terms.plans[cust.plan], &mut cust.quota);
        let own = own + q.flying + q.owed;
        q.flying -= call.amount;
        q.owed += if added { 0.0 } else { call.amount };
        q.missed = !answered;
        if !answered || call.epoch < q.epoch {
            return (-cust.level).max(0.0);
        }
        // a new name, or the counter came back empty: own memory of the store still counts
        let less = q.total - total + call.amount > (2.0 * self.terms.max_units).max(0.5 * q.total);
        let fell = less && call.epoch == q.epoch && read.level.is_none();
        let first = q.seen.is_none();
        let delta = if call.epoch > q.epoch || first || fell { total } else { total - q.total };
        let since = if first { self.now.secs() % self.terms.window() } else { self.now.since(cust.level_at) };
        (q.epoch, q.total, q.seen) = (call.epoch, total, Some(self.now));
        let all = cust.level + p.rate * since;
        let (least, most) = (all.min(p.burst) - delta, (all - delta + call.units).min(p.burst) - call.units);
        // unsteady use evens out while the store fills; but one first met may have been emptied just now
        let even = if first { 1.0 } else { (-since * p.rate / p.burst.max(1e-3)).exp() };
        let least = if first { least.max(0.0).min(most) } else { least };
        let reckoned = most + (least - most) * even * p.overrun_cost / (1.0 + p.overrun_cost);
        // An empty counter knows nothing of what went out meanwhile; behind a silence others used their parts
        cust.level = read.level.unwrap_or(reckoned);
        let known = (own - call.amount) * if silence && own > call.amount { part } else { 1.0 };
        cust.level = cust.level.min(if fell || silence { known } else { f64::MAX });
        (cust.level_at, cust.run_at) = (self.now, self.now);
        cust.run = cust.level - q.flying * (1.0 + unseen) - q.owed;
        let keep = (-since / SHARE_MEMORY).exp();
        // what was let through, not what was asked: parts of one that is refused a lot would pass the whole
        cust.own = (cust.own * keep + call.amount).max(0.0);
        cust.all = (cust.all * keep + delta).min(p.rate * SHARE_MEMORY + p.burst).max(cust.own);
        (-cust.level).max(0.0)
    }

    /// Reads a total of leases; returns by how many it passes the cap.
    fn lease_counted(&mut self, call: &Call, read: Reading, answered: bool, added: bool) -> f64 {
        let cust = &mut self.customers[call.customer];
        let (p, l) = (&self.terms.plans[cust.plan], &mut cust.lease);
        let put = if call.epoch == l.epoch { &mut l.put } else { &mut l.put_next };
        *put -= if added || call.epoch < l.epoch { 0.0 } else { call.amount };
        if !answered || call.epoch != l.epoch {
            return 0.0;
        }
        blend(&mut l.others, (read.total - l.put).max(0.0), 0.2);
        (read.total - p.at_once as f64).max(0.0)
    }

    /// The part of its reqs let through on a crowded counter: cut past quota or cap, raised if much is left.
    fn steer(&mut self, c: usize, lease: bool, over: f64) {
        let (now, cust) = (self.now, &mut self.customers[c]);
        let p = &self.terms.plans[cust.plan];
        let full = over > 1e-3;
        let much = if lease { !full } else { p.at_once == 0 && cust.level > 0.5 * p.burst };
        let gap = cust.steered.map_or(f64::MAX, |s| now.since(s));
        // through few gateways each sees most totals: smaller steps, and the way back is found sooner
        let few = (cust.spread / 8.0).clamp(0.4, 1.0);
        let by = match (full, much && cust.admit < 1.0) {
            (true, _) if gap > 0.3 => 0.5f64.powf(few),
            (_, true) if gap > few => 1.25,
            _ => return,
        };
        (cust.admit, cust.steered) = ((cust.admit * by).clamp(0.02, 1.0), Some(now));
        self.news.extend(Some(c).filter(|c| self.terms.peers && !self.news.contains(c)));
    }

    pub(crate) fn tell(&mut self, acts: &mut Vec<Action>) {
        if self.news.is_empty() || self.now < self.tell_at {
            return;
        }
        let mut body = Vec::new();
        for c in std::mem::take(&mut self.news).into_iter().take(News::MOST) {
            let cust = &self.customers[c];
            body.extend(News { customer: self.door.id(c), plan: cust.plan, part: cust.admit }.bytes());
        }
        // all gateways together stay within what one takes in
        self.tell_at = self.now.later(self.terms.gateways as f64 / (0.7 * self.terms.peer_intake).max(1e-3));
        acts.push(Action::Tell { to: None, body });
    }

    pub(crate) fn heard(&mut self, body: &[u8]) {
        let plans = self.terms.plans.len();
        for n in News::all(body).filter(|n| n.plan < plans) {
            let c = self.customer(n.customer, n.plan, self.terms.gateways.max(1) as f64);
            (self.customers[c].admit, self.customers[c].steered) = (n.part, Some(self.now));
        }
    }

    /// Adds to the names that the plan needs, leases early. In a silence 100 trial calls/s over all gateways.
    pub(crate) fn put_counts(&mut self, c: usize, acts: &mut Vec<Action>) {
        let (now, share) = (self.now.secs(), self.share(c));
        let cust = &mut self.customers[c];
        if self.silent && cust.quota.joins.is_empty() && cust.lease.joins.is_empty() {
            if !self.terms.counter || self.now < self.trial_at {
                return;
            }
            self.trial_at = self.now.later((self.terms.gateways as f64 / 100.0).max(0.2));
        }
        let p = &self.terms.plans[cust.plan];
        let (q, l) = (&mut cust.quota, &mut cust.lease);
        let mut calls = Vec::new();
        // after a silence only what the store still lacks: the rest has filled up again
        let overdue = q.owed > 0.5 * self.crowd * p.burst && self.now.since(q.called) > 1.0;
        let lack = q.joins.iter().map(|j| j.2).sum::<f64>() + share * (p.burst - cust.run).max(0.0);
        let back = q.urgent && q.owed.abs() > 1e-6; // a charge that was turned away is no debt
        if p.rate > 0.0 && (!q.joins.is_empty() || back || self.silent || overdue) {
            let sum = std::mem::take(&mut q.owed).min(if q.fresh(self.now, ROLL) { f64::MAX } else { lack });
            (q.urgent, q.called, q.flying) = (false, self.now, q.flying + sum);
            calls.push((false, (now / self.terms.window()) as u64, sum, std::mem::take(&mut q.joins)));
        }
        if p.at_once > 0 {
            let epoch = (now / ROLL) as u64;
            l.roll(epoch);
            let (diff, ahead) = (cust.leased - l.put, cust.leased - l.put_next);
            // far below the cap a lease comes back with the next call: one of its own tells nobody anything
            let rare = cust.held + l.others + 2.0 < 0.5 * p.at_once as f64 && self.now.since(l.called) < 0.3;
            let wait = diff.abs() > 1e-6 && rare && calls.is_empty() && l.joins.is_empty();
            self.dirty.extend(Some(c).filter(|c| wait && !self.dirty.contains(c)));
            if !l.joins.is_empty() || diff.abs() > 1e-6 && !wait {
                (l.put, l.called) = (l.put + diff, self.now);
                calls.push((true, epoch, diff, std::mem::take(&mut l.joins)));
            }
            if now % ROLL > ROLL - LEAD && ahead.abs() > 1e-6 {
                l.put_next += ahead;
                calls.push((true, epoch + 1, ahead, Vec::new()));
            }
        }
        for (lease, epoch, amount, joins) in calls {
            let name = (self.door.id(c) << 24) | ((epoch & 0x7f_ffff) << 1) | lease as u64;
            let units = joins.iter().map(|j: &(usize, u64, f64)| j.2).sum();
            let life = Span::from_secs(2.0 * if lease { ROLL } else { self.terms.window() });
            acts.push(Action::Count { name, amount, life });
            self.calls.put(name, Call { customer: c, lease, epoch, amount, units, joins, sent: self.now });
        }
    }
}
