//! A request from its first dispatch to its final answer: outcomes, overdue dispatches and retries.

use crate::{interface::*, state::*, time::*};

impl Control {
    pub(crate) fn send(&mut self, slot: usize, server: usize) {
        self.servers.tokens[server] -= 1.0; // limits sends while it is cold
        let Some(r) = self.requests.at_mut(slot) else { return };
        self.retries -= (!r.tries.is_empty() && self.terms.retry_budget.is_some()) as u8 as f64;
        self.admissions[r.basis as usize] += r.tries.is_empty() as u64;
        if r.stage == Stage::Sent {
            self.customers[r.customer].hold(1.0, r.leased); // the first dispatch has its lease from admission
            self.dirty.push(r.customer);
        }
        r.stage = Stage::Sent;
        r.tries.push(Try { server, sent: self.now, running: true, ran: true, ..Try::default() });
        (self.servers.out[server], self.out) = (self.servers.out[server] + 1, self.out + 1);
        self.peak = self.peak.max(self.out as f64);
        self.touched.push(slot);
    }

    /// The usual time, at most half the target: a slow phase must not stop the traffic that shows its end.
    pub(crate) fn typical(&self, f: usize) -> f64 {
        self.usual[f].min(0.5 * self.terms.frontends[f].target.secs())
    }

    pub(crate) fn overdue_after(&self, f: usize) -> f64 {
        let target = self.terms.frontends[f].target.secs();
        (1.2 * self.p95[f]).clamp(0.25 * target, 0.6 * target)
    }

    /// Reviews a request: expiry, queueing, overdue dispatches, retries, next wakeup.
    pub(crate) fn review(&mut self, slot: usize) {
        let open = |r: &&Request| r.reply.is_none() && !r.begun && r.stage != Stage::Closed;
        let Some(r) = self.requests.at(slot).filter(open) else { return };
        let (f, rules, stage, id) = (r.frontend, r.rules, r.stage, r.id);
        // late answers may have a value too, but waiting in the queue until late has none
        let late_counts = rules.late_value > 0.0 && stage == Stage::Sent;
        let by = if late_counts { r.expiry } else { r.target.min(r.expiry) };
        let give_up = by - Span::from_secs(self.typical(f));
        if self.now >= r.expiry || stage == Stage::Waiting && self.now >= give_up {
            return self.refuse(slot);
        }
        match stage {
            Stage::Waiting => return self.wakeups.push(give_up.max(self.now + Span::millis(5)), slot, id),
            Stage::Sent => {}
            _ => return,
        }
        let after = self.overdue_after(f);
        let (mut running, mut faulty, mut healthy, mut late) = (0, false, false, Vec::new());
        for t in self.requests.at_mut(slot).into_iter().flat_map(Request::running) {
            let elapsed = self.now.since(t.sent);
            if elapsed >= after && !t.overdue {
                t.overdue = true;
                late.push((t.server, elapsed / self.usual[f].max(1e-3)));
            }
            running += 1;
            faulty |= t.overdue || self.servers.distrust[t.server] > 0.5;
            healthy |= self.servers.distrust[t.server] <= 0.5;
        }
        for (server, slowness) in late {
            smooth(&mut self.late_share, 1.0, 0.02);
            smooth(&mut self.servers.slowness[server], slowness, 0.1);
            // if the whole fleet is slow, lateness is weak evidence against one server
            self.add_evidence(server, (0.5 / self.late_share.clamp(0.05, 0.5)).ln());
        }
        let waits = self.terms.awaits_late_answers && rules.effect == Effect::NonReplayable;
        // runs at distrusted servers only, too late for another: refused, so that its client can retry
        match running > 0 && !healthy {
            true if self.now < give_up => self.wakeups.push(give_up, slot, id),
            true if !waits => return self.refuse(slot),
            _ => {} // its outcome triggers the next review; a wakeup for now would loop within this round
        }
        // without duplicates, a dispatch at a distrusted server is cancelled before a retry
        if running == 1 && !self.terms.may_duplicate && self.now < give_up {
            let (effect, distrust) = (rules.effect, &self.servers.distrust);
            let convicted = |t: &&mut Try| distrust[t.server] > 0.5 && effect != Effect::NonReplayable;
            for t in self.requests.at_mut(slot).into_iter().flat_map(Request::running).filter(convicted) {
                t.recalled = self.terms.may_cancel;
                self.touched.push(slot);
            }
        }
        // duplicates only while the pool has room: if everything is late, more load helps nobody
        let duplicate = faulty && running < 2 && self.queue.waiting == 0;
        if running > 0 && !(duplicate && self.now < give_up && (self.out as f64) < self.limit) {
            return;
        }
        match self.pick_server(slot).filter(|_| self.now < give_up) {
            Some(server) => self.send(slot, server),
            None if running > 0 => {}
            None if self.now < give_up && self.servers.open().any(|i| self.may_send(slot, i)) => {
                self.wakeups.push(self.now + Span::millis(20), slot, id)
            }
            None => self.refuse(slot),
        }
    }

    pub(crate) fn ended(&mut self, e: Ended) {
        let Some((slot, r)) = self.requests.find(e.id) else { return };
        let (f, c, units, closed) = (r.frontend, r.customer, r.units, r.stage == Stage::Closed);
        let (leased, charge_rate) = (r.leased, r.charge / units.max(1e-9));
        let Some(t) = r.tries.get_mut(e.nth as usize).filter(|t| t.running) else { return };
        t.running = false;
        t.ran = !matches!(e.outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        // a dispatch that never reached a server gives its retry token back
        self.retries +=
            (!t.ran && e.outcome != Outcome::Full && self.terms.retry_budget.is_some()) as u8 as f64;
        let (server, was_late, sent) = (t.server, t.overdue, t.sent);
        (self.servers.out[server], self.out) = (self.servers.out[server] - 1, self.out - 1);
        self.customers[c].hold(-1.0, -leased);
        self.dirty.push(c);
        // samples for the pool limit: answers, and cancelled late dispatches at servers without a fault
        let took = e.took.secs();
        let healthy = self.servers.distrust[server] < 0.3 && self.servers.slowness[server] < 2.5;
        if healthy && (e.outcome == Outcome::Passed || was_late && e.outcome == Outcome::Cancelled) {
            self.samples[f].push(took);
        }
        let (plan, full) = (self.customers[c].plan, (e.outcome == Outcome::Full) as u8 as f64);
        if full > 0.0 || e.outcome == Outcome::Passed {
            smooth(&mut self.full_plan[plan], full, 0.05);
            smooth(&mut self.full_frontend[f], full, 0.05);
        }
        match e.outcome {
            Outcome::Passed => {
                smooth(&mut self.usual[f], took, if healthy { 0.03 } else { 0.0 });
                smooth(&mut self.servers.slowness[server], (took / self.usual[f].max(1e-3)).min(20.0), 0.05);
                self.servers.passed[server] += 1.0;
                if !was_late {
                    smooth(&mut self.late_share, 0.0, 0.02);
                    smooth(&mut self.bad_share, 0.0, 0.02);
                    self.add_evidence(server, -0.64); // a faulty server would answer only half
                }
                let cust = &mut self.customers[c];
                if self.terms.bills_after && e.billed > 0.0 && self.terms.plans[cust.plan].rate > 0.0 {
                    cust.quota.due += (e.billed - units) * charge_rate;
                    cust.local -= e.billed - units;
                }
            }
            Outcome::Full => {
                self.full += 1;
                let throttle = self.servers.throttle(server, plan);
                *throttle = (*throttle * 0.7).max(0.1);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // a send before the restart of a server is no evidence against its new process
            _ if self.servers.started_at[server].is_some_and(|b| sent <= b) => {}
            _ => {
                smooth(&mut self.bad_share, 1.0, 0.02);
                self.add_evidence(server, (0.6 / self.bad_share.clamp(0.02, 0.1)).ln());
            }
        }
        match e.closed || closed {
            true => self.close(e.id),
            false => self.review(slot),
        }
    }

    /// Ends a request without a server's answer: by a denial where the rules allow one, else by an abort.
    pub(crate) fn refuse(&mut self, slot: usize) {
        self.refund(slot, true);
        let share = if self.terms.awaits_late_answers { 0.15 + 0.18 * self.rng.f64() } else { 0.0 };
        let open = |r: &&mut Request| r.reply.is_none() && r.stage != Stage::Closed;
        let Some(r) = self.requests.at_mut(slot).filter(open) else { return };
        let f = &r.rules;
        let deduplicated = f.effect == Effect::Deduplicated && f.dedup_scope == DedupScope::All;
        let deny = f.effect == Effect::Replayable || deduplicated || !r.tries.iter().any(|t| t.ran);
        let cust = &self.customers[r.customer];
        let rate = self.terms.plans[cust.plan].rate;
        // the hint: when the quota will have refilled, or a short time for a lease or place to become free
        let short = if rate > 0.0 { (r.units - cust.local).max(0.0) / rate } else { 0.0 };
        let throttled = (1.0 - cust.admit) * self.terms.longest_hint.secs();
        // a place has no known time: requests denied together return spread over a third of their time
        let fallback = (share * r.expiry.since(self.now)).max(0.05);
        let hint = if short.max(throttled) > 0.05 { short.max(throttled) } else { fallback };
        let hint = Span::from_secs(hint).min(self.terms.longest_hint);
        let (id, back_off) = (r.id, if self.terms.may_hint { hint } else { Span::ZERO });
        r.reply = Some(if deny { Action::Deny { id, back_off } } else { Action::Abort { id } });
        self.touched.push(slot);
    }

    /// Gives back the charge of a request that was never sent; at once if `urgent`, as others may lack it.
    fn refund(&mut self, slot: usize, urgent: bool) {
        let charged = |r: &&Request| matches!(r.stage, Stage::Charging | Stage::Waiting) && r.reply.is_none();
        let Some(r) = self.requests.at(slot).filter(charged) else { return };
        let cust = &mut self.customers[r.customer];
        cust.hold(-1.0, -r.leased);
        (cust.local, cust.quota.due) = (cust.local + r.units, cust.quota.due - r.charge);
        cust.quota.urgent |= urgent;
        self.dirty.push(r.customer);
    }

    /// Closes a request for its client: running dispatches are cancelled; the last outcome removes it.
    pub(crate) fn close(&mut self, id: u64) {
        let Some(slot) = self.requests.find(id).map(|(slot, _)| slot) else { return };
        self.refund(slot, false);
        self.requests.at_mut(slot).into_iter().for_each(|r| r.stage = Stage::Closed);
        self.touched.push(slot);
    }
}
