//! All decisions of a gateway: `Control::new(terms)`, then `round(now, events, actions)` for each batch, all
//! defined in `link`. Events change the wanted state (out, held, timed); `settle` alone emits the difference.

use crate::link::*;
pub use crate::tables::Control;
use crate::tables::*;
use crate::time::{Point, Span};

fn blend(old: &mut f64, new: f64, share: f64) {
    *old += (new - *old) * share;
}

impl Control {
    pub fn new(terms: Terms) -> Control {
        let part = |of: f64| terms.frontends.iter().map(|f| f.target.secs() * of).collect();
        Control {
            rng: fastrand::Rng::with_seed(terms.seed),
            asks: terms.ask_list,
            silent: !terms.counter,
            further: terms.further.map_or(1.0, |(_, most)| most),
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

    pub fn round(&mut self, now: Point, events: Vec<Event>, acts: &mut Vec<Action>) {
        blend(&mut self.used, self.out as f64, 1.0 - (-0.5 * now.since(self.now)).exp());
        (self.gap, self.now) = (now - self.now, now);
        self.began = if self.began == Point::default() { now } else { self.began };
        for e in events {
            match e {
                Event::List { kind, rows } => self.list(kind, &rows),
                Event::Req(r) => self.arrive(r),
                Event::Begun { id, .. } => self.reqs.of(id).into_iter().for_each(|(_, r)| r.begun = true),
                Event::Ended(e, _) => self.ended(e),
                Event::Left { id } => self.close(id),
                Event::Counted { name, total, how } => self.counted(name, total, how),
                Event::Timer { .. } => self.armed = None,
                Event::Peer { body, .. } => self.heard(&body),
                Event::Terms(terms) => self.change(*terms),
                Event::Probed { .. } => {}
            }
        }
        if now >= self.second_at {
            self.second();
            // at the point in each second where, each second time, leases go to their next name
            self.second_at = Point::from_secs((now.secs() + LEAD).floor() + 1.0 - LEAD + 0.001);
        }
        if now.secs() % ROLL > ROLL - LEAD {
            let all = &self.customers;
            self.dirty.extend((0..all.len()).filter(|&c| all[c].leased > 1e-6));
        }
        while let Some((_, slot)) = self.wakes.first(&self.reqs).filter(|w| w.0 <= now) {
            self.wakes.pop(); // those of reqs that are gone set no timer: they would be most of all wakeups
            self.review(slot);
        }
        self.pump();
        self.settle(acts);
    }

    /// Frontends and plans not met before get first guesses; what is known of the others stays.
    fn change(&mut self, terms: Terms) {
        self.limit *= self.terms.gateways.max(1) as f64 / terms.gateways.max(1) as f64;
        let fresh = Control::new(terms);
        let other = |f: usize| {
            self.terms.frontends.get(f).is_none_or(|o| o.target != fresh.terms.frontends[f].target)
        };
        for f in (0..fresh.usual.len()).filter(|&f| other(f)) {
            put_at(&mut self.usual, f, fresh.usual[f]);
            put_at(&mut self.tail, f, fresh.tail[f]);
            put_at(&mut self.first_left, f, Default::default());
            put_at(&mut self.samples, f, Vec::new());
            put_at(&mut self.full_frontend, f, 0.2);
        }
        self.full_plan.resize(fresh.full_plan.len(), 0.2);
        self.srvs.widen(fresh.terms.plans.len());
        self.terms = fresh.terms;
    }

    fn second(&mut self) {
        self.decide();
        self.forget(WINDOW); // a customer's names live no longer
        self.srvs.squeeze.iter_mut().for_each(|s| *s = (*s * 1.2).min(1.0));
        // Sends a second that a cold srv may get from here: half the rule's budget over what warm srvs
        // answer, which is within their capacity. Own answers count only, so all gateways' parts add up
        let warm: Vec<usize> = self.srvs.open().filter(|&i| self.warmth(i) >= 1.0).collect();
        let each = warm.iter().map(|&i| self.srvs.passed[i] / 4.0).sum::<f64>() / warm.len().max(1) as f64;
        for i in 0..self.srvs.ready.len() {
            let least = 1.0 / self.terms.gateways.max(1) as f64; // where nothing is known
            let rate = (0.5 * self.terms.fall_multiple * self.warmth(i) * each).max(least);
            let rate = self.terms.cold_sends.unwrap_or(rate);
            let most = (rate * self.terms.fall_window.secs() / 4.0).max(1.0);
            let s = &mut self.srvs;
            s.tokens[i] = (s.tokens[i] + rate).min(most);
            // what is rarely met is forgotten: a srv once slow would be passed over for good
            blend(&mut s.pace[i], 1.0, 0.1 / (1.0 + s.passed[i]));
            s.passed[i] *= 0.75;
            s.distrust[i] *= 0.82; // fades in five seconds: a few trials within a short trouble
        }
    }

    /// AIMD on the pool limit (DESIGN) once there are samples enough: one of many gateways waits for them.
    /// Those of suspects are left out in `ended`. Unused places don't raise the limit and don't dull a cut.
    fn decide(&mut self) {
        let (mut late, seen) = (false, self.full as usize + self.samples.iter().map(Vec::len).sum::<usize>());
        if seen < 10 {
            return;
        }
        for (f, s) in self.samples.iter_mut().enumerate() {
            // more than 5% past the target; one standard deviation on top, else one long req of few cuts it
            if s.len() >= 10 {
                s.sort_by(f64::total_cmp);
                let (n, target) = (s.len() as f64, self.terms.frontends[f].target.secs());
                late |= s.iter().filter(|t| **t > target).count() as f64 > 0.05 * n + (0.05 * n).sqrt();
                blend(&mut self.tail[f], s[s.len() * 95 / 100], 0.3);
            }
            s.clear();
        }
        let (start, passed) = (self.start(), self.now.since(self.decided).min(5.0));
        // full to some plans or frontends only is a srv's throttle and no full pool
        let everywhere = self.full_plan.iter().chain(&self.full_frontend).all(|share| *share > 0.1);
        if late || self.full as f64 > 0.1 * seen as f64 && everywhere {
            self.limit = self.limit.min(self.peak) * 0.7;
        } else if self.peak > 0.5 * self.limit {
            self.limit += passed / self.terms.gateways.max(1) as f64; // the source's one for the whole pool
        }
        // never under about one req a core, where chance alone would keep srvs idle
        (self.limit, self.full, self.peak) = (self.limit.max(0.6 * start), 0, self.out as f64);
        self.decided = self.now;
    }

    /// Follows the list; the pool limit keeps its figure per ready srv when the fleet shrinks or grows.
    fn list(&mut self, kind: ListKind, rows: &[SrvRow]) {
        self.asks |= kind == ListKind::Failed && self.terms.ask_list;
        let (before, s) = (self.srvs.open().count() as f64, &mut self.srvs);
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            s.ready.iter_mut().for_each(|r| *r = false);
        }
        for row in rows {
            if let Some(i) = s.take(row, self.terms.plans.len()) {
                s.tokens[i] = self.rng.f64(); // else all gateways' first sends would come at once
            }
        }
        let ready = s.open().count() as f64;
        self.limit = if before == 0.0 { self.start() } else { self.limit * ready / before };
    }

    /// DESIGN: a set figure per ready srv, of all gateways together. Two and four: no better beyond noise.
    fn start(&self) -> f64 {
        self.terms.start_each / self.terms.gateways.max(1) as f64 * self.srvs.open().count().max(1) as f64
    }

    /// What a srv can do now as a share of its capacity, going by the slowest warming that the rules allow.
    fn warmth(&self, i: usize) -> f64 {
        let Some(born) = self.srvs.born[i] else { return 1.0 };
        let part = self.now.since(born).max(0.0) / self.terms.warm_after.secs().max(1e-3);
        (self.terms.cold_from + (1.0 - self.terms.cold_from) * part).min(1.0)
    }

    /// The sequential test; a conviction is distrust, and what is out at that srv is looked at again.
    fn evidence(&mut self, i: usize, weight: f64) {
        const CONVICTED: f64 = 6.9; // odds of 1000 to 1; at many gateways lower odds are no better
        self.srvs.evidence[i] = (self.srvs.evidence[i] + weight).max(0.0);
        if self.srvs.evidence[i] >= CONVICTED {
            (self.srvs.evidence[i], self.srvs.distrust[i]) = (CONVICTED / 2.0, 1.0);
            self.reqs.running_at(i).into_iter().for_each(|(slot, id)| self.wakes.push(self.now, slot, id));
        }
    }

    /// Each srv has credits by pace, trust and recent fullness; a send spends one, an answer earns it back.
    /// It goes where the largest part is left; nearly equal: home zone, by chance if it has few of the srvs.
    fn pick(&mut self, slot: usize) -> Option<usize> {
        let base = 1.5 * self.limit / self.srvs.open().count().max(1) as f64;
        let plan = self.reqs.at(slot).map_or(0, |r| self.customers[r.customer].plan);
        let home = self.rng.f64() < self.srvs.part(self.terms.zone) * self.terms.zones as f64;
        let mut best: Option<(f64, usize)> = None;
        for i in 0..self.srvs.ready.len() {
            let (distrust, warm) = (self.srvs.distrust[i], self.warmth(i));
            // a cold srv is a choice as often as it can work: one of many gateways always has a warm one idle
            let cold = warm < 1.0 && (self.srvs.tokens[i] < 1.0 || self.rng.f64() > warm);
            if cold || !self.may_go(slot, i) {
                continue;
            }
            let squeeze = *self.srvs.squeeze(i, plan);
            let s = &self.srvs;
            let credit = base * squeeze * (1.0 - distrust).powi(2) / s.pace[i].clamp(0.7, 10.0);
            // whole credits: none at half distrust, then one as a trial; two elsewhere, whatever the limit
            let least = (distrust <= 0.5) as u32 + (distrust <= 0.2 && s.pace[i] <= 3.0) as u32;
            let left = s.out[i] as f64 + 1.0 <= credit.max(least as f64);
            let again = self.reqs.at(slot).is_some_and(|r| r.tries.iter().any(|t| t.srv == i));
            let near = match self.terms.distance(s.zone[i]) {
                // it has not taken this req a moment ago: any other one is likelier to
                _ if again => 100.0,
                // bytes between places are dear: others come when the own ones are clearly fuller
                2 => 6.0,
                1 if !self.terms.regions.is_empty() => 3.0,
                1 if home => 1.05,
                _ => 1.0,
            };
            let cost = (s.out[i] as f64 + 1.0) / credit * near * (1.0 + 0.02 * self.rng.f64());
            if left && best.is_none_or(|b| cost < b.0) {
                best = Some((cost, i));
            }
        }
        best.map(|b| b.1)
    }

    /// Whether the rules let this req go to this srv now (drains, repeats, groups, memory, dispatches).
    fn may_go(&self, slot: usize, i: usize) -> bool {
        let Some(r) = self.reqs.at(slot) else { return false };
        let (f, s) = (&self.terms.frontends[r.frontend], &self.srvs);
        let most = f.max_dispatches as usize;
        let barred = r.zones >> s.zone[i].min(63) & 1 == 0 || !r.tries.is_empty() && self.further < 1.0;
        let twice = |t: &Try| t.running && (t.srv == i || !self.terms.may_duplicate);
        if !s.ready[i]
            || barred
            || r.tries.len() >= most
            || r.begun
            || r.end.is_some()
            || r.tries.iter().any(twice)
        {
            return false;
        }
        let Some(first) = r.tries.iter().find(|t| t.ran) else { return true };
        let same = s.same(f.group, first.srv, i);
        // nine tenths of the memory: the srv's may run from before the send is seen
        let known = same && self.now - first.sent < f.memory.times(0.9);
        f.effect == Effect::Replayable || f.effect == Effect::Uniqued && known
    }

    fn customer(&mut self, id: u64, plan: usize, spread: f64) -> usize {
        let (c, new) = self.door.enter(id);
        if new {
            let p = self.terms.plans[plan];
            let others = 0.5 * p.at_once as f64 * (1.0 - 1.0 / spread); // until totals tell
            let fresh = Customer::new(plan, spread, p.burst, others, self.now, self.began);
            put_at(&mut self.customers, c, fresh);
        }
        self.customers[c].seen = self.now;
        c
    }

    fn arrive(&mut self, n: NewReq) {
        let c = self.customer(n.customer, n.plan, n.spread.max(1.0));
        let (p, f, frontend) = (self.terms.plans[n.plan], self.terms.frontends[n.frontend], n.frontend);
        self.customers[c].follow(n.plan, n.spread.max(1.0), p.burst);
        // A repeat counts from its first try. First tries come with the same time left: where repeats are
        // marked, the most that one without a mark had, else what most come with. What has less was cut by
        // the client timeout, what has more is a last try, which has all that is left: both tell when the
        // first one was. Unmarked, only of customers that also come with the usual time: some clients have
        // short time-outs of their own. Wrong where most reqs are unmarked repeats
        let (first, votes) = &mut self.first_left[frontend];
        let usual = |first: Span| (first.secs() - n.left.secs()).abs() < 0.01 * f.timeout.secs();
        if self.terms.marks_repeats {
            (*first, *votes) = if n.repeat { (*first, *votes) } else { (n.left.max(*first), 10.0) };
        } else {
            *votes = (*votes + if usual(*first) { 1.0 } else { -1.0 }).min(100.0);
            (*first, *votes) = if *votes < 0.0 { (n.left, 1.0) } else { (*first, *votes) };
        }
        let (first, known, usual) = (*first, *votes >= 10.0, usual(*first));
        let cust = &mut self.customers[c];
        cust.usual_left |= usual;
        let cut = known && !usual && (n.repeat || !self.terms.marks_repeats && cust.usual_left);
        // after a standstill of this gateway a first try may be as old as that: its time left tells
        let aged = if known { (first - n.left).max(Span::ZERO).min(self.gap) } else { Span::ZERO };
        let target = self.now + f.target - if cut { f.timeout - n.left } else { aged };
        let ends = self.now + n.left - self.terms.period - Span::millis(2); // ahead of the client timeout
                                                                            // a late answer earns too: while nobody waits, what comes back past its target goes on to its end
        let past = target < self.now.later(self.typical(frontend));
        let late = past && self.terms.patient && f.late_value > 0.0 && self.line.waiting == 0;
        let (past, target) = if late { (false, ends) } else { (past, target) };
        self.further = self.terms.further.map_or(1.0, |(ratio, most)| (self.further + ratio).min(most));
        let (id, units, zones) = (n.id, n.units, n.zones);
        let r = Req { id, frontend, customer: c, units, ends, target, zones, ..Default::default() };
        let slot = self.reqs.put(n.id, r);
        self.wakes.push(ends, slot, n.id);
        let (rated, cap) = (p.rate > 0.0, p.at_once as f64);
        // behind more waiters than are answered while it can wait, it would only be denied later
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
        let (cust, crowd) = (&self.customers[c], self.crowd);
        let recent = cust.quota.fresh(self.now, ROLL);
        // those known to be near their quota or cap, or back here soon, are asked for before the calm
        let keep =
            if cust.admit < 1.0 || short { 1.0 - crowd.powi(4) } else { (1.0 - crowd).powi(3) }.max(0.1);
        // a part cut long ago comes back by itself: the fewer are let through, the fewer totals tell
        let back = cust.steered.map_or(1.0, |s| (0.03 * self.now.since(s)).exp());
        // while places are free, the cheaper an overrun is, the more of the uncertain go through
        let spare = self.line.waiting == 0 && self.used < 0.6 * self.limit;
        let dear = if spare { p.overrun_cost.min(1.0) } else { 1.0 };
        let through = crowd < 0.1 || self.rng.f64() < cust.admit.powf(dear) * back;
        let asks = !self.silent && self.rng.f64() < keep;
        // decided alone, a place needs room beside what the others had lately
        let no_lease = cust.held >= cap || !asks && !self.lease_alone(c, cust.held + 1.0);
        let sure = recent || !asks && (dear >= 1.0 || self.rng.f64() < dear);
        // DESIGN: where a call is slow, the room that the last total left is divided, and not waited for
        let ahead = asks && self.slow > 0.02 && recent && self.room(c) * self.share(c) >= n.units;
        let (ask_quota, ask_lease, no_units) = (rated && asks && !ahead, cap > 0.0 && asks, short && sure);
        // what is told by chance stands for those not asked; in silence all is told later
        let weight = if asks { 1.0 / keep } else { self.silent as u8 as f64 };
        let (charge, leased) = (
            rated as u8 as f64 * n.units * weight,
            (cap > 0.0) as u8 as f64 * weight.min((0.5 * cap).max(1.0)),
        );
        if past || hopeless || !through || no_units || cap > 0.0 && no_lease || !self.ceiling(c, n.units) {
            return self.end(slot);
        }
        let share = if ask_quota { 1.0 } else { self.share(c) };
        let cust = &mut self.customers[c];
        cust.hold(1.0, leased);
        (cust.run, cust.quota.owed) = (cust.run - n.units / share, cust.quota.owed + charge);
        cust.quota.joins.extend(Some((slot, n.id, charge)).filter(|_| ask_quota));
        cust.quota.urgent |= ahead;
        cust.lease.joins.extend(Some((slot, n.id, leased)).filter(|_| ask_lease));
        self.reqs.at_mut(slot).into_iter().for_each(|r| (r.charge, r.leased) = (charge, leased));
        self.dirty.push(c);
        match (ask_quota as u8 + ask_lease as u8, self.reqs.at_mut(slot)) {
            (0, _) | (_, None) => self.admit(slot),
            (verdicts, Some(r)) => (r.stage, r.verdicts) = (Stage::Charging, verdicts),
        }
    }

    /// The hard ceiling: each gateway's slice, empty at a start, since a killed predecessor may have used it.
    fn ceiling(&mut self, c: usize, units: f64) -> bool {
        let cust = &mut self.customers[c];
        let p = &self.terms.plans[cust.plan];
        let slice = cust.slice(self.now, p.ceiling_rate, p.ceiling_burst);
        let fits = p.ceiling_rate <= 0.0 || slice >= units;
        cust.ceiling -= if fits { units } else { 0.0 };
        fits
    }

    fn admit(&mut self, slot: usize) {
        let Some(r) = self.reqs.at_mut(slot) else { return };
        r.stage = Stage::Waiting;
        let (c, target, f, id, zones) = (r.customer, r.target, r.frontend, r.id, r.zones);
        self.wakes.push(target - Span::from_secs(self.typical(f)), slot, id);
        // newest first: where a customer waits, its older reqs are likelier late; what only some srvs may have
        // waits in a lane of its own
        self.line.join(2 * c + (zones != u64::MAX) as usize, slot);
    }

    /// Weighted deficit round robin over customers (DESIGN). The limit is held on average, by one place at
    /// the most: else reqs wait at the one place of a gateway while the others' stand free.
    fn pump(&mut self) {
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
            // the weight: as many of the largest reqs as the plan lets a customer have out at once
            let weight = (p.burst / self.terms.largest).max(p.at_once as f64).max(1.0);
            let deficit = self.line.leave();
            *deficit += if *deficit < 1.0 { weight - 1.0 } else { -1.0 };
            if *deficit < 1.0 {
                self.line.turn();
            }
            self.send(slot, srv);
        }
    }

    fn send(&mut self, slot: usize, srv: usize) {
        self.srvs.tokens[srv] -= 1.0; // counts while it is cold
        let Some(r) = self.reqs.at_mut(slot) else { return };
        if !r.tries.is_empty() {
            self.further -= self.terms.further.is_some() as u8 as f64;
        }
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
    fn typical(&self, f: usize) -> f64 {
        self.usual[f].min(0.5 * self.terms.frontends[f].target.secs())
    }

    /// How long a req may wait for the pool: until its target is out of reach, and less where frontends with
    /// clearly more value in their time, or clearly dearer plans, would be late behind it.
    fn patience(&self, f: usize, plan: usize) -> f64 {
        let slack = |g: usize| self.terms.frontends[g].target.secs() - self.typical(g);
        let dense = |g: usize| self.terms.frontends[g].value / self.usual[g].max(1e-3);
        let dearer = self.terms.plans.iter().any(|p| p.price > 1.5 * self.terms.plans[plan].price);
        let denser = (0..self.usual.len()).filter(|&g| dearer || dense(g) > 1.5 * dense(f));
        denser.map(|g| 0.3 * slack(g)).fold(slack(f), f64::min)
    }

    fn overdue_after(&self, f: usize) -> f64 {
        let target = self.terms.frontends[f].target.secs();
        (1.2 * self.tail[f]).clamp(0.25 * target, 0.6 * target)
    }

    /// Looks at one req anew: its end, its place in the queue, its overdue dispatches, the next wake.
    fn review(&mut self, slot: usize) {
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
        let waits = self.terms.patient && self.terms.frontends[f].effect == Effect::NonReplayable;
        // out at convicted srvs only, and too late for another: given up, so that its client can ask again
        match running > 0 && !sound {
            true if self.now < give_up => self.wakes.push(give_up, slot, id),
            true if !waits => return self.end(slot),
            _ => {} // its end wakes it; one more wake for now would come in this round, without end
        }
        // where no second copy may be out beside it, a dispatch at a convicted srv is called back to free the
        // req. A time-out of any overdue one would only do the same work twice where all is slow (ageing)
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

    fn ended(&mut self, e: Ended) {
        let Some((slot, r)) = self.reqs.of(e.id) else { return };
        let (f, c, units, over) = (r.frontend, r.customer, r.units, r.stage == Stage::Over);
        let (leased, told) = (r.leased, r.charge / units.max(1e-9));
        let Some(t) = r.tries.get_mut(e.nth as usize).filter(|t| t.running) else { return };
        t.running = false;
        t.ran = !matches!(e.how, Outcome::Full | Outcome::NoConnection | Outcome::NotSent);
        // what never came to a srv was no further dispatch
        self.further += (!t.ran && e.how != Outcome::Full && self.terms.further.is_some()) as u8 as f64;
        let (srv, was_late, sent) = (t.srv, t.overdue, t.sent);
        (self.srvs.out[srv], self.out) = (self.srvs.out[srv] - 1, self.out - 1);
        self.customers[c].hold(-1.0, -leased);
        self.dirty.push(c);
        // the pool hears of answers, and of what was not answered in time with nobody to blame
        let took = e.took.secs();
        let sound = self.srvs.distrust[srv] < 0.3 && self.srvs.pace[srv] < 2.5;
        if sound && (e.how == Outcome::Passed || was_late && e.how == Outcome::Cancelled) {
            self.samples[f].push(took);
        }
        let (plan, hit) = (self.customers[c].plan, (e.how == Outcome::Full) as u8 as f64);
        if hit > 0.0 || e.how == Outcome::Passed {
            blend(&mut self.full_plan[plan], hit, 0.05);
            blend(&mut self.full_frontend[f], hit, 0.05);
        }
        match e.how {
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
                if self.terms.settles && e.billed > 0.0 && self.terms.plans[cust.plan].rate > 0.0 {
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
            _ if self.srvs.born[srv].is_some_and(|b| sent <= b) => {}
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
    fn end(&mut self, slot: usize) {
        self.take_back(slot, true);
        let open = |r: &&mut Req| r.end.is_none() && r.stage != Stage::Over;
        let Some(r) = self.reqs.at_mut(slot).filter(open) else { return };
        let f = &self.terms.frontends[r.frontend];
        let harmless = f.effect == Effect::Uniqued && f.group == Group::All;
        let deny = f.effect == Effect::Replayable || harmless || !r.tries.iter().any(|t| t.ran);
        let cust = &self.customers[r.customer];
        let rate = self.terms.plans[cust.plan].rate;
        // the hint: when the store will hold its units, or a moment for a lease or a place to become free
        let short = if rate > 0.0 { (r.units - cust.run).max(0.0) / rate } else { 0.0 };
        let rare = (1.0 - cust.admit) * self.terms.longest_hint.secs();
        let hint = Span::from_secs(short.max(rare).max(0.05)).min(self.terms.longest_hint);
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
    fn close(&mut self, id: u64) {
        let Some(slot) = self.reqs.of(id).map(|(slot, _)| slot) else { return };
        self.take_back(slot, false);
        let Some(r) = self.reqs.at_mut(slot) else { return };
        r.stage = Stage::Over;
        self.touched.push(slot);
    }

    /// The customer's store as far as is known here: the last totals, what filled, what went out here.
    fn room(&mut self, c: usize) -> f64 {
        let p = &self.terms.plans[self.customers[c].plan];
        self.customers[c].room(self.now, p.rate, p.burst)
    }

    /// Own recent part of the customer's use: at DESIGN's even split, customers gathered on few would starve.
    fn share(&self, c: usize) -> f64 {
        let cust = &self.customers[c];
        let prior = 0.5 * self.terms.plans[cust.plan].burst.max(1.0);
        ((cust.own + prior / cust.spread) / (cust.all + prior)).clamp(0.5 / cust.spread, 1.0)
    }

    /// Without an answer: under the cap with what the others had lately. One each would pass it many times.
    fn lease_alone(&self, c: usize, held: f64) -> bool {
        held + self.customers[c].lease.others <= self.terms.plans[self.customers[c].plan].at_once as f64 + 0.5
    }

    fn counted(&mut self, name: u64, total: f64, how: Outcome) {
        let Some(call) = self.calls.take(name) else { return };
        let (c, answered) = (call.customer, how == Outcome::Passed);
        blend(&mut self.slow, self.now.since(call.sent), if answered { 0.1 } else { 0.0 });
        // A crowded counter gets fewer calls; an unanswered one weighs as much as 50 answered (25: no better)
        // and a fresh gateway's first ones most: of hundreds none makes many before the jam. What one stall
        // held up is one sign; a spoilt answer is none, nor silence: of so many in a row a crowd answers some
        self.answers += 1.0;
        let heard = answered || how == Outcome::Reset;
        let sign = !heard && self.misses < 6 && self.now.since(self.missed) > self.terms.count_wait.secs();
        let miss = (1.0 / (0.3 + self.answers)).max(0.1) * (1.0 - self.crowd) * sign as u8 as f64;
        self.missed = if sign { self.now } else { self.missed };
        self.crowd = (self.crowd + if answered { -0.002 } else { miss }).max(0.0);
        self.misses = if heard { 0 } else { self.misses + 1 };
        self.silent = self.misses >= 3; // one or two in a row happen on a crowded counter
        let added = answered || matches!(how, Outcome::TimedOut | Outcome::Reset);
        let reading = if call.lease { Self::lease_counted } else { Self::quota_counted };
        let mut over = reading(self, &call, total, answered, added);
        if answered {
            self.steer(c, call.lease, over - call.joins.iter().map(|j| j.2).sum::<f64>());
        }
        for &(slot, id, weight) in call.joins.iter().rev() {
            let judged = |r: &&mut Req| r.id == id && r.stage == Stage::Charging && r.end.is_none();
            let Some(r) = self.reqs.at_mut(slot).filter(judged) else { continue };
            r.verdicts -= 1;
            let (left, own) = (r.verdicts, if call.lease { 1.0 } else { r.units });
            let fits = match (answered, call.lease) {
                (true, _) => over <= weight - own + 1e-3,
                (_, true) => self.lease_alone(c, self.customers[c].held),
                _ => self.room(c) >= 0.0,
            };
            // the own use is off `run` already; what the others use meanwhile goes off too
            let others = if answered || call.lease || !fits { 0.0 } else { own / self.share(c) - own };
            self.customers[c].run -= others;
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
    fn quota_counted(&mut self, call: &Call, total: f64, answered: bool, added: bool) -> f64 {
        let own = self.room(call.customer);
        // what a far counter has not told yet: others send meanwhile as this gateway does, by its share
        let unseen = if self.slow > 0.02 { 1.0 / self.share(call.customer) - 1.0 } else { 0.0 };
        let cust = &mut self.customers[call.customer];
        let (p, q) = (&self.terms.plans[cust.plan], &mut cust.quota);
        let own = own + q.flying + q.owed;
        q.flying -= call.amount;
        q.owed += if added { 0.0 } else { call.amount };
        if !answered || call.epoch < q.epoch {
            return (-cust.level).max(0.0);
        }
        // a new name, or the counter came back empty: own memory of the store still counts
        let less = q.total - total + call.amount > (2.0 * self.terms.largest).max(0.5 * q.total);
        let fell = less && call.epoch == q.epoch;
        let anew = call.epoch > q.epoch || q.seen.is_none() || fell;
        let delta = if anew { total } else { total - q.total };
        let since = if q.seen.is_none() { self.now.secs() % WINDOW } else { self.now.since(cust.level_at) };
        (q.epoch, q.total, q.seen) = (call.epoch, total, Some(self.now));
        let all = cust.level + p.rate * since;
        let (least, most) = (all.min(p.burst) - delta, (all - delta + call.units).min(p.burst) - call.units);
        // over more than the time in which the store fills, unsteady use evens out
        let even = (-since * p.rate / p.burst.max(1e-3)).exp();
        cust.level = most + (least - most) * even * p.overrun_cost / (1.0 + p.overrun_cost);
        // an empty counter knows nothing of what went out while none answered: the own reckoning goes on
        cust.level = cust.level.min(if fell { own - call.amount } else { f64::MAX });
        (cust.level_at, cust.run_at) = (self.now, self.now);
        cust.run = cust.level - q.flying * (1.0 + unseen) - q.owed;
        let keep = (-since / SHARE_MEMORY).exp();
        cust.own = cust.own * keep + call.amount.max(0.0);
        cust.all = cust.all * keep + call.amount.max(0.0) + (delta - call.amount).max(0.0);
        (-cust.level).max(0.0)
    }

    /// Reads a total of leases; returns by how many it passes the cap.
    fn lease_counted(&mut self, call: &Call, total: f64, answered: bool, added: bool) -> f64 {
        let cust = &mut self.customers[call.customer];
        let (p, l) = (&self.terms.plans[cust.plan], &mut cust.lease);
        let put = if call.epoch == l.epoch { &mut l.put } else { &mut l.put_next };
        *put -= if added || call.epoch < l.epoch { 0.0 } else { call.amount };
        if !answered || call.epoch != l.epoch {
            return 0.0;
        }
        blend(&mut l.others, (total - l.put).max(0.0), 0.2);
        (total - p.at_once as f64).max(0.0)
    }

    /// The part of a customer's reqs let through while the counter is crowded: cut when a total is past its
    /// quota or cap, raised when much is left. Peers, who may meet it before their own next total, are told.
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

    fn tell(&mut self, acts: &mut Vec<Action>) {
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

    fn heard(&mut self, body: &[u8]) {
        let plans = self.terms.plans.len();
        for n in News::all(body).filter(|n| n.plan < plans) {
            let c = self.customer(n.customer, n.plan, self.terms.gateways.max(1) as f64);
            (self.customers[c].admit, self.customers[c].steered) = (n.part, Some(self.now));
        }
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
                let srv = self.srvs.door.id(t.srv) as u32;
                acts.push(Action::Dispatch { id: r.id, srv, limit: Span::ZERO });
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

    /// A customer's adds: only names that its plan needs, corrections with the next add. Held leases go to
    /// the next name ahead of it; they stay in the old one, not asked again.
    fn put_counts(&mut self, c: usize, acts: &mut Vec<Action>) {
        let (now, share) = (self.now.secs(), self.share(c));
        let cust = &self.customers[c];
        if self.silent && cust.quota.joins.is_empty() && cust.lease.joins.is_empty() {
            if !self.terms.counter || self.now < self.trial_at {
                return;
            }
            // a trial each 200 ms, a hundred a second over all gateways: more would keep a counter down
            self.trial_at = self.now.later((self.terms.gateways as f64 / 100.0).max(0.2));
        }
        let cust = &mut self.customers[c];
        let p = &self.terms.plans[cust.plan];
        let (q, l) = (&mut cust.quota, &mut cust.lease);
        let mut calls = Vec::new();
        // after a silence only what the store still lacks: the rest has filled up again
        let overdue = q.owed > 0.5 * self.crowd * p.burst && self.now.since(q.called) > 1.0;
        let lack = q.joins.iter().map(|j| j.2).sum::<f64>() + share * (p.burst - cust.run).max(0.0);
        let back = q.urgent && q.owed.abs() > 1e-6; // a charge that was turned away is no debt
        if p.rate > 0.0 && (!q.joins.is_empty() || back || self.silent || overdue) {
            let amount =
                std::mem::take(&mut q.owed).min(if q.fresh(self.now, ROLL) { f64::MAX } else { lack });
            (q.urgent, q.called, q.flying) = (false, self.now, q.flying + amount);
            calls.push((false, (now / WINDOW) as u64, amount, std::mem::take(&mut q.joins)));
        }
        if p.at_once > 0 {
            let epoch = (now / ROLL) as u64;
            l.roll(epoch);
            let (diff, ahead) = (cust.leased - l.put, cust.leased - l.put_next);
            if !l.joins.is_empty() || diff.abs() > 1e-6 {
                l.put += diff;
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
            let life = Span::from_secs(2.0 * if lease { ROLL } else { WINDOW });
            acts.push(Action::Count { name, amount, life });
            self.calls.put(name, Call { customer: c, lease, epoch, amount, units, joins, sent: self.now });
        }
    }
}

const WINDOW: f64 = 30.0; // half a name's longest life: rolling, which forgets others' last use, is rare
const ROLL: f64 = 2.0; // DESIGN: in-flight names roll every two seconds; totals older than that are stale
const LEAD: f64 = 0.1; // leases go to the next name this long ahead: several counter round trips
const SHARE_MEMORY: f64 = 8.0; // seconds of own and total use: the spread of a customer moves within some
