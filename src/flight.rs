//! A req from its first dispatch to its final answer: outcomes, overdue dispatches, further ones.

use crate::{interface::*, state::*, time::*};

impl Control {
    pub(crate) fn send(&mut self, slot: usize, srv: usize) {
        self.srvs.tokens[srv] -= 1.0; // counts while it is cold
        let Some(r) = self.reqs.at_mut(slot) else { return };
        self.further -= (!r.tries.is_empty() && self.terms.retry_budget.is_some()) as u8 as f64;
        self.admissions[r.basis as usize] += r.tries.is_empty() as u64;
        if r.stage == Stage::Out {
            self.customers[r.customer].hold(1.0, r.leased); // the first dispatch has the lease of the queue
            self.dirty.push(r.customer);
        }
        r.stage = Stage::Out;
        r.tries.push(Try { srv, sent: self.now, running: true, ran: true, ..Try::default() });
        (self.srvs.out[srv], self.out) = (self.srvs.out[srv] + 1, self.out + 1);
        self.peak = self.peak.max(self.out as f64);
        self.touched.push(slot);
    }

    /// The usual time, half the target at most: a slow spell must not stop the traffic that shows its end.
    pub(crate) fn typical(&self, f: usize) -> f64 {
        self.usual[f].min(0.5 * self.terms.frontends[f].target.secs())
    }

    pub(crate) fn overdue_after(&self, f: usize) -> f64 {
        let target = self.terms.frontends[f].target.secs();
        (1.2 * self.tail[f]).clamp(0.25 * target, 0.6 * target)
    }

    /// Looks at one req anew: its end, its place in the queue, its overdue dispatches, the next wake.
    pub(crate) fn review(&mut self, slot: usize) {
        let live = |r: &&Req| r.end.is_none() && !r.begun && r.stage != Stage::Over;
        let Some(r) = self.reqs.at(slot).filter(live) else { return };
        let (f, stage, id) = (r.frontend, r.stage, r.id);
        // late answers may earn something too, but a queue that only makes late is no use
        let late_too = self.terms.frontends[f].late_value > 0.0 && stage == Stage::Out;
        let by = if late_too { r.ends } else { r.target.min(r.ends) };
        let give_up = by - Span::from_secs(self.typical(f));
        if self.now >= r.ends || stage == Stage::Waiting && self.now >= give_up {
            return self.end(slot);
        }
        match stage {
            Stage::Waiting => return self.wakes.push(give_up.max(self.now + Span::millis(5)), slot, id),
            Stage::Out => {}
            _ => return,
        }
        let after = self.overdue_after(f);
        let (mut running, mut sick, mut sound, mut late) = (0, false, false, Vec::new());
        for t in self.reqs.at_mut(slot).into_iter().flat_map(Req::running) {
            let gone = self.now.since(t.sent);
            if gone >= after && !t.overdue {
                t.overdue = true;
                late.push((t.srv, gone / self.usual[f].max(1e-3)));
            }
            running += 1;
            sick |= t.overdue || self.srvs.distrust[t.srv] > 0.5;
            sound |= self.srvs.distrust[t.srv] <= 0.5;
        }
        for (srv, pace) in late {
            blend(&mut self.late_share, 1.0, 0.02);
            blend(&mut self.srvs.pace[srv], pace, 0.1);
            // a fleet-wide slowness makes lateness weak evidence against one srv
            self.evidence(srv, (0.5 / self.late_share.clamp(0.05, 0.5)).ln());
        }
        let waits = self.terms.awaits_late_answers && self.terms.frontends[f].effect == Effect::NonReplayable;
        // out at convicted srvs only, and too late for another: given up, so that its client can ask again
        match running > 0 && !sound {
            true if self.now < give_up => self.wakes.push(give_up, slot, id),
            true if !waits => return self.end(slot),
            _ => {} // its end wakes it; one more wake for now would come in this round, without end
        }
        // where no second copy may be out beside it, a dispatch at a convicted srv is called back
        if running == 1 && !self.terms.may_duplicate && self.now < give_up {
            let (effect, distrust) = (self.terms.frontends[f].effect, &self.srvs.distrust);
            let convicted = |t: &&mut Try| distrust[t.srv] > 0.5 && effect != Effect::NonReplayable;
            for t in self.reqs.at_mut(slot).into_iter().flat_map(Req::running).filter(convicted) {
                t.unwanted = self.terms.may_cancel;
                self.touched.push(slot);
            }
        }
        // second copies only while the pool has room: where all is late, more load helps nobody
        let copy = sick && running < 2 && self.line.waiting == 0;
        if running > 0 && !(copy && self.now < give_up && (self.out as f64) < self.limit) {
            return;
        }
        match self.pick(slot).filter(|_| self.now < give_up) {
            Some(srv) => self.send(slot, srv),
            None if running > 0 => {}
            None if self.now < give_up && self.srvs.open().any(|i| self.may_go(slot, i)) => {
                self.wakes.push(self.now + Span::millis(20), slot, id)
            }
            None => self.end(slot),
        }
    }

    pub(crate) fn ended(&mut self, e: Ended) {
        let Some((slot, r)) = self.reqs.of(e.id) else { return };
        let (f, c, units, over) = (r.frontend, r.customer, r.units, r.stage == Stage::Over);
        let (leased, told) = (r.leased, r.charge / units.max(1e-9));
        let Some(t) = r.tries.get_mut(e.nth as usize).filter(|t| t.running) else { return };
        t.running = false;
        t.ran = !matches!(e.outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        // what never came to a srv was no further dispatch
        self.further +=
            (!t.ran && e.outcome != Outcome::Full && self.terms.retry_budget.is_some()) as u8 as f64;
        let (srv, was_late, sent) = (t.srv, t.overdue, t.sent);
        (self.srvs.out[srv], self.out) = (self.srvs.out[srv] - 1, self.out - 1);
        self.customers[c].hold(-1.0, -leased);
        self.dirty.push(c);
        // the pool hears of answers, and of what was not answered in time with nobody to blame
        let took = e.took.secs();
        let sound = self.srvs.distrust[srv] < 0.3 && self.srvs.pace[srv] < 2.5;
        if sound && (e.outcome == Outcome::Passed || was_late && e.outcome == Outcome::Cancelled) {
            self.samples[f].push(took);
        }
        let (plan, hit) = (self.customers[c].plan, (e.outcome == Outcome::Full) as u8 as f64);
        if hit > 0.0 || e.outcome == Outcome::Passed {
            blend(&mut self.full_plan[plan], hit, 0.05);
            blend(&mut self.full_frontend[f], hit, 0.05);
        }
        match e.outcome {
            Outcome::Passed => {
                blend(&mut self.usual[f], took, if sound { 0.03 } else { 0.0 });
                blend(&mut self.srvs.pace[srv], (took / self.usual[f].max(1e-3)).min(20.0), 0.05);
                self.srvs.passed[srv] += 1.0;
                if !was_late {
                    blend(&mut self.late_share, 0.0, 0.02);
                    blend(&mut self.bad_share, 0.0, 0.02);
                    self.evidence(srv, -0.64); // half of a sick srv's dispatches would not be answered so
                }
                let cust = &mut self.customers[c];
                if self.terms.bills_after && e.billed > 0.0 && self.terms.plans[cust.plan].rate > 0.0 {
                    cust.quota.owed += (e.billed - units) * told;
                    cust.run -= e.billed - units;
                }
            }
            Outcome::Full => {
                self.full += 1;
                let squeeze = self.srvs.squeeze(srv, plan);
                *squeeze = (*squeeze * 0.7).max(0.1);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            // what was sent before a process started anew says nothing of the new one
            _ if self.srvs.started_at[srv].is_some_and(|b| sent <= b) => {}
            _ => {
                blend(&mut self.bad_share, 1.0, 0.02);
                self.evidence(srv, (0.6 / self.bad_share.clamp(0.02, 0.1)).ln());
            }
        }
        match e.closed || over {
            true => self.close(e.id),
            false => self.review(slot),
        }
    }

    /// Gives a req its final answer: a denial where the rules allow one, else an abort.
    pub(crate) fn end(&mut self, slot: usize) {
        self.take_back(slot, true);
        let part = if self.terms.awaits_late_answers { 0.15 + 0.18 * self.rng.f64() } else { 0.0 };
        let open = |r: &&mut Req| r.end.is_none() && r.stage != Stage::Over;
        let Some(r) = self.reqs.at_mut(slot).filter(open) else { return };
        let f = &self.terms.frontends[r.frontend];
        let harmless = f.effect == Effect::Deduplicated && f.group == DedupScope::All;
        let deny = f.effect == Effect::Replayable || harmless || !r.tries.iter().any(|t| t.ran);
        let cust = &self.customers[r.customer];
        let rate = self.terms.plans[cust.plan].rate;
        // the hint: when the store will hold its units, or a moment for a lease or a place to become free
        let short = if rate > 0.0 { (r.units - cust.run).max(0.0) / rate } else { 0.0 };
        let rare = (1.0 - cust.admit) * self.terms.longest_hint.secs();
        // a place has no known time: those denied together come back one by one, within a third of their time
        let some = (part * r.ends.since(self.now)).max(0.05);
        let hint = if short.max(rare) > 0.05 { short.max(rare) } else { some };
        let hint = Span::from_secs(hint).min(self.terms.longest_hint);
        let (id, back_off) = (r.id, if self.terms.may_hint { hint } else { Span::ZERO });
        r.end = Some(if deny { Action::Deny { id, back_off } } else { Action::Abort { id } });
        self.touched.push(slot);
    }

    /// What was charged for a req that was never sent comes back, at once where others may lack it.
    fn take_back(&mut self, slot: usize, urgent: bool) {
        let charged = |r: &&Req| matches!(r.stage, Stage::Charging | Stage::Waiting) && r.end.is_none();
        let Some(r) = self.reqs.at(slot).filter(charged) else { return };
        let cust = &mut self.customers[r.customer];
        cust.hold(-1.0, -r.leased);
        (cust.run, cust.quota.owed) = (cust.run + r.units, cust.quota.owed - r.charge);
        cust.quota.urgent |= urgent;
        self.dirty.push(r.customer);
    }

    /// The req is over for the client: what still runs is cancelled, and forgotten with its last outcome.
    pub(crate) fn close(&mut self, id: u64) {
        let Some(slot) = self.reqs.of(id).map(|(slot, _)| slot) else { return };
        self.take_back(slot, false);
        self.reqs.at_mut(slot).into_iter().for_each(|r| r.stage = Stage::Over);
        self.touched.push(slot);
    }
}
