//! The pool: its limit, the list of srvs, how sound and warm each is, and the choice of one.

use crate::{interface::*, state::*};

impl Control {
    pub(crate) fn second(&mut self) {
        self.decide();
        self.forget(30.0);
        self.srvs.squeeze.iter_mut().for_each(|s| *s = (*s * 1.2).min(1.0));
        // Sends a second to a cold srv from here: half the rule's budget over what warm srvs answer here
        let warm: Vec<usize> = self.srvs.open().filter(|&i| self.warmth(i) >= 1.0).collect();
        let each = warm.iter().map(|&i| self.srvs.passed[i] / 4.0).sum::<f64>() / warm.len().max(1) as f64;
        for i in 0..self.srvs.ready.len() {
            let least = 1.0 / self.terms.gateways.max(1) as f64; // where nothing is known
            let rate = (0.5 * self.terms.fall_multiple * self.warmth(i) * each).max(least);
            let rate = self.terms.cold_send_rate.unwrap_or(rate);
            let most = (rate * self.terms.fall_window.secs() / 4.0).max(1.0);
            let s = &mut self.srvs;
            s.tokens[i] = (s.tokens[i] + rate).min(most);
            // what is rarely met is forgotten: a srv once slow would be passed over for good
            blend(&mut s.pace[i], 1.0, 0.1 / (1.0 + s.passed[i]));
            s.passed[i] *= 0.75;
            s.distrust[i] *= 0.82; // fades in five seconds: a few trials within a short trouble
        }
    }

    /// AIMD on the pool limit (DESIGN) once there are samples enough. Unused places neither raise nor cut it.
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
    pub(crate) fn list(&mut self, kind: ListKind, rows: &[ServerEntry]) {
        self.asks |= kind == ListKind::Failed && self.terms.list_on_request;
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
        self.terms.start_limit / self.terms.gateways.max(1) as f64 * self.srvs.open().count().max(1) as f64
    }

    /// What a srv can do now as a share of its capacity, going by the slowest warming that the rules allow.
    fn warmth(&self, i: usize) -> f64 {
        let Some(started_at) = self.srvs.started_at[i] else { return 1.0 };
        let part = self.now.since(started_at).max(0.0) / self.terms.warm_after.secs().max(1e-3);
        (self.terms.cold_from + (1.0 - self.terms.cold_from) * part).min(1.0)
    }

    /// The sequential test; a conviction is distrust, and what is out at that srv is looked at again.
    pub(crate) fn evidence(&mut self, i: usize, weight: f64) {
        const CONVICTED: f64 = 6.9; // odds of 1000 to 1; at many gateways lower odds are no better
        self.srvs.evidence[i] = (self.srvs.evidence[i] + weight).max(0.0);
        if self.srvs.evidence[i] >= CONVICTED {
            (self.srvs.evidence[i], self.srvs.distrust[i]) = (CONVICTED / 2.0, 1.0);
            self.reqs.running_at(i).into_iter().for_each(|(slot, id)| self.wakes.push(self.now, slot, id));
        }
    }

    /// Each srv has credits by pace, trust and recent fullness; a send spends one, an answer earns it back.
    /// It goes where the largest part is left; nearly equal: home zone, by chance if it has few of the srvs.
    pub(crate) fn pick(&mut self, slot: usize) -> Option<usize> {
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
    pub(crate) fn may_go(&self, slot: usize, i: usize) -> bool {
        let Some(r) = self.reqs.at(slot) else { return false };
        let (f, s) = (&self.terms.frontends[r.frontend], &self.srvs);
        let most = f.max_dispatches as usize;
        let barred = r.zones >> s.zone[i].min(63) & 1 == 0 || !r.tries.is_empty() && self.further < 1.0;
        let twice = |t: &Try| t.running && (t.srv == i || !self.terms.may_duplicate);
        let over = r.begun || r.end.is_some() || r.tries.len() >= most;
        if !s.ready[i] || barred || over || r.tries.iter().any(twice) {
            return false;
        }
        let Some(first) = r.tries.iter().find(|t| t.ran) else { return true };
        let same = s.same(f.group, first.srv, i);
        // nine tenths of the memory: the srv's may run from before the send is seen
        let known = same && self.now - first.sent < f.memory.times(0.9);
        f.effect == Effect::Replayable || f.effect == Effect::Deduplicated && known
    }
}
