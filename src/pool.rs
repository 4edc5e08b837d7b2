//! The server pool: its concurrency limit, the server list, health and warm-up of servers, and their choice.

use crate::{interface::*, state::*};

impl Control {
    pub(crate) fn tick(&mut self) {
        self.adjust_limit();
        self.evict(30.0);
        self.servers.throttle.iter_mut().for_each(|s| *s = (*s * 1.2).min(1.0));
        // Sends/s from here to a cold server: half the rule's multiple of the mean answer rate of warm ones
        let warm: Vec<usize> = self.servers.open().filter(|&i| self.warmth(i) >= 1.0).collect();
        let mean = warm.iter().map(|&i| self.servers.passed[i] / 4.0).sum::<f64>() / warm.len().max(1) as f64;
        for i in 0..self.servers.ready.len() {
            let floor = 1.0 / self.terms.gateways.max(1) as f64; // without any measured rate
            let rate = (0.5 * self.terms.overload_multiple * self.warmth(i) * mean).max(floor);
            let rate = self.terms.cold_send_rate.unwrap_or(rate);
            let most = (rate * self.terms.overload_window.secs() / 4.0).max(1.0);
            let s = &mut self.servers;
            s.tokens[i] = (s.tokens[i] + rate).min(most);
            // decays by itself: a server that was slow once gets few answers and would be avoided for good
            smooth(&mut s.slowness[i], 1.0, 0.1 / (1.0 + s.passed[i]));
            s.passed[i] *= 0.75;
            s.distrust[i] *= 0.82; // fades in five seconds: few trial requests in a short failure
        }
    }

    /// AIMD on the pool limit given enough samples. Unused places neither raise nor cut it.
    fn adjust_limit(&mut self) {
        let (mut late, seen) = (false, self.full as usize + self.samples.iter().map(Vec::len).sum::<usize>());
        if seen < 10 {
            return;
        }
        for (f, s) in self.samples.iter_mut().enumerate() {
            // over 5% late plus one standard deviation: else one long request among few would cut the limit
            if s.len() >= 10 {
                s.sort_by(f64::total_cmp);
                let (n, target) = (s.len() as f64, self.terms.frontends[f].target.secs());
                late |= s.iter().filter(|t| **t > target).count() as f64 > 0.05 * n + (0.05 * n).sqrt();
                smooth(&mut self.p95[f], s[s.len() * 95 / 100], 0.3);
            }
            s.clear();
        }
        let (start, passed) = (self.initial_limit(), self.now.since(self.limit_at).min(5.0));
        // "full" answers for some plans or frontends only are a server's throttling and no full pool
        let everywhere = self.full_plan.iter().chain(&self.full_frontend).all(|share| *share > 0.1);
        if late || self.full as f64 > 0.1 * seen as f64 && everywhere {
            self.limit = self.limit.min(self.peak) * 0.7;
        } else if self.peak > 0.5 * self.limit {
            self.limit += passed / self.terms.gateways.max(1) as f64; // AIMD's step of one, over all gateways
        }
        // at least about one request a core: below that, random arrivals would leave servers idle
        (self.limit, self.full, self.peak) = (self.limit.max(0.6 * start), 0, self.out as f64);
        self.limit_at = self.now;
    }

    /// Applies a server list. The pool limit per ready server stays the same when the fleet grows or shrinks.
    pub(crate) fn update_servers(&mut self, kind: ListKind, rows: &[ServerEntry]) {
        self.ask_list |= kind == ListKind::Failed && self.terms.list_on_request;
        let (before, s) = (self.servers.open().count() as f64, &mut self.servers);
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            s.ready.iter_mut().for_each(|r| *r = false);
        }
        for row in rows {
            if let Some(i) = s.update(row, self.terms.plans.len()) {
                s.tokens[i] = self.rng.f64(); // random: else all gateways' first sends would coincide
            }
        }
        let ready = s.open().count() as f64;
        self.limit = if before == 0.0 { self.initial_limit() } else { self.limit * ready / before };
    }

    /// Initial pool limit, divided among the gateways: `start_limit` per ready server; 2 to 4 perform alike.
    fn initial_limit(&self) -> f64 {
        self.terms.start_limit / self.terms.gateways.max(1) as f64 * self.servers.open().count().max(1) as f64
    }

    /// The share of its full capacity that a server has now, by the slowest warm-up that the rules allow.
    fn warmth(&self, i: usize) -> f64 {
        let Some(started_at) = self.servers.started_at[i] else { return 1.0 };
        let part = self.now.since(started_at).max(0.0) / self.terms.warmup_time.secs().max(1e-3);
        (self.terms.cold_start_share + (1.0 - self.terms.cold_start_share) * part).min(1.0)
    }

    /// Sequential probability ratio test: a server that fails is distrusted and its requests are reviewed.
    pub(crate) fn add_evidence(&mut self, i: usize, weight: f64) {
        const DISTRUST_THRESHOLD: f64 = 6.9; // log odds of 1000:1; lower odds do not help with many gateways
        self.servers.evidence[i] = (self.servers.evidence[i] + weight).max(0.0);
        if self.servers.evidence[i] >= DISTRUST_THRESHOLD {
            (self.servers.evidence[i], self.servers.distrust[i]) = (DISTRUST_THRESHOLD / 2.0, 1.0);
            self.requests.sent_to(i).into_iter().for_each(|(slot, id)| self.wakeups.push(self.now, slot, id));
        }
    }

    /// Servers have credits by slowness, trust and throttle; a send takes one, its outcome returns it. Picks
    /// the largest share left; if nearly equal the home zone, with lower probability if it has few servers.
    pub(crate) fn pick_server(&mut self, slot: usize) -> Option<usize> {
        let base = 1.5 * self.limit / self.servers.open().count().max(1) as f64;
        let plan = self.requests.at(slot).map_or(0, |r| self.customers[r.customer].plan);
        let home = self.rng.f64() < self.servers.zone_share(self.terms.zone) * self.terms.zones as f64;
        let mut best: Option<(f64, usize)> = None;
        for i in 0..self.servers.ready.len() {
            let (distrust, warm) = (self.servers.distrust[i], self.warmth(i));
            // a candidate in proportion to its warmth: with many gateways some warm server is always idle
            let cold = warm < 1.0 && (self.servers.tokens[i] < 1.0 || self.rng.f64() > warm);
            if cold || !self.may_send(slot, i) {
                continue;
            }
            let throttle = *self.servers.throttle(i, plan);
            let s = &self.servers;
            let credit = base * throttle * (1.0 - distrust).powi(2) / s.slowness[i].clamp(0.7, 10.0);
            // at least: none above half distrust, one as a trial below it, two for healthy ones at any limit
            let floor = (distrust <= 0.5) as u32 + (distrust <= 0.2 && s.slowness[i] <= 3.0) as u32;
            let left = s.out[i] as f64 + 1.0 <= credit.max(floor as f64);
            let tried = self.requests.at(slot).is_some_and(|r| r.tries.iter().any(|t| t.server == i));
            let distance = match self.terms.distance(s.zone[i]) {
                _ if tried => 100.0, // it has just failed this request: any other is likelier to succeed
                2 => 6.0, // cross-region traffic is expensive: only if local servers are clearly fuller
                1 if !self.terms.regions.is_empty() => 3.0,
                1 if home => 1.05,
                _ => 1.0,
            };
            let cost = (s.out[i] as f64 + 1.0) / credit * distance * (1.0 + 0.02 * self.rng.f64());
            if left && best.is_none_or(|b| cost < b.0) {
                best = Some((cost, i));
            }
        }
        best.map(|b| b.1)
    }

    /// Whether a request may go to a server now: draining, retries, dedup scope and memory, dispatches.
    pub(crate) fn may_send(&self, slot: usize, i: usize) -> bool {
        let Some(r) = self.requests.at(slot) else { return false };
        let (f, s) = (&r.rules, &self.servers);
        let most = f.max_dispatches as usize;
        let barred = r.zones >> s.zone[i].min(63) & 1 == 0 || !r.tries.is_empty() && self.retries < 1.0;
        let twice = |t: &Try| t.running && (t.server == i || !self.terms.may_duplicate);
        let over = r.begun || r.reply.is_some() || r.tries.len() >= most;
        if !s.ready[i] || barred || over || r.tries.iter().any(twice) {
            return false;
        }
        let Some(first) = r.tries.iter().find(|t| t.ran) else { return true };
        let same = s.same_scope(f.dedup_scope, first.server, i);
        // 0.9 of the memory: the server's may begin earlier than the send is seen here
        let still_remembered = same && self.now - first.sent < f.dedup_memory.times(0.9);
        f.effect == Effect::Replayable || f.effect == Effect::Deduplicated && still_remembered
    }
}
