//! All decisions of a gateway. `Control::new(terms)` at start, then `round(now, events, actions)` for each
//! batch; events, actions and terms are defined in `link`. Events change the wanted state (what should be
//! out, held on the counter, timed); `settle` alone compares it with the present one and emits the difference.

use crate::link::*;
use crate::tables::{Door, Slab};
use crate::time::{Point, Span};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    Charging,
    Waiting,
    Out,
    Over,
}

#[derive(Clone, Copy)]
enum End {
    Deny(Span),
    Abort,
}

struct Try {
    srv: usize,
    sent: Point,
    running: bool,
    ran: bool, // may have run, as far as is known
    overdue: bool,
    drop: bool, // wanted no more: to be cancelled
}

struct Req {
    id: u64,
    frontend: usize,
    customer: usize,
    units: f64,
    ends: Point,
    target: Point,
    stage: Stage,
    verdicts: u8, // counter answers still owed
    charged: bool,
    begun: bool,
    tries: Vec<Try>,
    want: Vec<usize>, // srvs that it should have been dispatched to, in order
    end: Option<End>,
}

/// A name on the counter as seen from here. Amounts not yet in an answered total are `flying` or `owed`.
#[derive(Default)]
struct Account {
    epoch: u64,
    total: f64,
    seen: Option<Point>,
    put: f64,
    put_next: f64,
    flying: f64,
    owed: f64,
    doubt: f64,
    joins: Vec<usize>,
    urgent: bool,
}

struct Customer {
    plan: usize,
    spread: f64,
    quota: Account,
    level: f64, // the store as the last total leaves it
    level_at: Point,
    run: f64, // the same with what was sent since
    run_at: Point,
    own: f64,
    all: f64,
    lease: Account,
    held: f64,
    ceiling: f64, // this gateway's slice of the hard ceiling
    ceiling_at: Point,
    queue: VecDeque<usize>,
    deficit: f64,
    dirty: bool,
}

struct Call {
    customer: usize,
    lease: bool,
    epoch: u64,
    amount: f64,
    units: f64,
    joins: Vec<(usize, u64)>,
}

/// Figures about srvs, in parallel arrays under a dense index.
#[derive(Default)]
struct Srvs {
    door: Door,
    zone: Vec<u16>,
    cell: Vec<u16>,
    ready: Vec<bool>,
    born: Vec<Option<Point>>,
    out: Vec<u32>,
    pace: Vec<f64>,     // time taken over the frontend's usual, smoothed
    evidence: Vec<f64>, // log likelihood ratio of sick to sound
    distrust: Vec<f64>,
    faded: Vec<Point>, // when distrust was last brought up to date
    squeeze: Vec<f64>, // credit share left after answers that it is full
    passed: Vec<f64>,  // answers a second, smoothed
    tokens: Vec<f64>,  // sends that a cold srv may still get
}

pub struct Control {
    terms: Terms,
    rng: fastrand::Rng,
    now: Point,
    started: Point,
    reqs: Slab<Req>,
    door: Door,
    customers: Vec<Customer>,
    srvs: Srvs,
    calls: HashMap<u64, VecDeque<Call>>,
    misses: u32,
    silent: bool,
    trial_at: Point,
    limit: f64,
    cut: bool,
    out: u32,
    ring: VecDeque<usize>,
    usual: Vec<f64>,
    tail: Vec<f64>,
    samples: Vec<Vec<f64>>,
    full: u32,
    late_share: f64,
    bad_share: f64,
    copies: f64,
    second_at: Point,
    wakes: BinaryHeap<Reverse<(Point, usize, u64)>>,
    armed: Option<Point>,
    touched: Vec<usize>,
    dirty: Vec<usize>,
    asks: bool,
}

/// A quota window: near the longest life of a name, so that rolling, which forgets others' last use, is rare.
const WINDOW: f64 = 30.0;
/// DESIGN: in-flight names roll every two seconds; totals older than that are stale.
const ROLL: f64 = 2.0;
/// Leases go to the next name this long ahead: several counter round trips.
const LEAD: f64 = 0.1;
/// DESIGN: the pool starts at a set figure per ready srv: some cores' worth of work and a short queue.
const START_PER_SRV: f64 = 4.0;
/// Unanswered counter calls in a row that count as silence; one or two happen on a crowded counter.
const SILENT_AFTER: u32 = 3;
/// While silent one call in this time tries the counter: soon enough against two seconds of staleness.
const TRIAL: Span = Span::millis(200);
/// Own and total use are remembered about this long: the spread of a customer moves within some seconds.
const SHARE_MEMORY: f64 = 8.0;
/// Evidence that convicts a srv: odds of 100 to 1.
const CONVICTED: f64 = 4.6;
/// Distrust fades with this time constant: a few trials within the length of a short trouble.
const FADE: f64 = 5.0;
/// Second copies per first dispatch: about the share that is overdue when all is well, and some more.
const COPY_SHARE: f64 = 0.15;

fn blend(old: &mut f64, new: f64, share: f64) {
    *old += (new - *old) * share;
}

impl Control {
    pub fn new(terms: Terms) -> Control {
        let n = terms.frontends.len();
        let usual = terms.frontends.iter().map(|f| f.target.secs() / 5.0).collect();
        let tail = terms.frontends.iter().map(|f| f.target.secs() / 2.0).collect();
        Control {
            rng: fastrand::Rng::with_seed(terms.seed),
            asks: terms.ask_list,
            now: Point::default(),
            started: Point::default(),
            reqs: Slab::default(),
            door: Door::default(),
            customers: Vec::new(),
            srvs: Srvs::default(),
            calls: HashMap::new(),
            misses: 0,
            silent: !terms.counter,
            trial_at: Point::default(),
            limit: 0.0,
            cut: false,
            out: 0,
            ring: VecDeque::new(),
            usual,
            tail,
            samples: vec![Vec::new(); n],
            full: 0,
            late_share: 0.05,
            bad_share: 0.02,
            copies: 5.0,
            second_at: Point::default(),
            wakes: BinaryHeap::new(),
            armed: None,
            touched: Vec::new(),
            dirty: Vec::new(),
            terms,
        }
    }

    pub fn round(&mut self, now: Point, events: Vec<Event>, acts: &mut Vec<Action>) {
        if self.started == Point::default() {
            self.started = now;
            self.second_at = now + Span::from_secs(1.0);
        }
        self.now = now;
        for e in events {
            match e {
                Event::List { kind, rows } => self.list(kind, &rows),
                Event::Req(r) => self.arrive(r),
                Event::Begun { id, .. } => self.with(id, |r| r.begun = true),
                Event::Ended(e, _) => self.ended(e),
                Event::Left { id } => self.close(id),
                Event::Counted { name, total, how } => self.counted(name, total, how),
                Event::Timer { .. } => self.armed = None,
                Event::Probed { .. } | Event::Peer { .. } => {}
            }
        }
        self.clock();
        self.pump();
        self.settle(acts);
    }

    fn with(&mut self, id: u64, f: impl FnOnce(&mut Req)) {
        if let Some(r) = self.reqs.find(id).and_then(|i| self.reqs.at_mut(i)) {
            f(r);
        }
    }

    // ---- time ----

    fn clock(&mut self) {
        while self.now >= self.second_at {
            self.second();
            self.second_at = self.second_at + Span::from_secs(1.0);
        }
        let phase = self.now.secs() % ROLL;
        if phase > ROLL - LEAD {
            for c in 0..self.customers.len() {
                if self.customers[c].held > 0.0 {
                    self.mark(c);
                }
            }
        }
        while self.wakes.peek().is_some_and(|Reverse(w)| w.0 <= self.now) {
            let Some(Reverse((_, slot, id))) = self.wakes.pop() else { break };
            if self.reqs.at(slot).is_some_and(|r| r.id == id) {
                self.review(slot);
            }
        }
    }

    /// AIMD on the pool limit (DESIGN); samples of srvs under suspicion are left out in `ended`, since a few
    /// sick srvs say nothing of the room in the others.
    fn second(&mut self) {
        let ready = self.srvs.ready.iter().filter(|r| **r).count().max(1) as f64;
        let (mut late, mut seen) = (false, self.full as usize);
        for (f, s) in self.samples.iter_mut().enumerate() {
            seen += s.len();
            if s.len() >= 10 {
                s.sort_by(f64::total_cmp);
                let p95 = s[s.len() * 95 / 100];
                late |= p95 > self.terms.frontends[f].target.secs();
                blend(&mut self.tail[f], p95, 0.3);
            }
            s.clear();
        }
        if late || self.full as f64 > 0.1 * seen as f64 {
            self.limit = (self.limit * 0.7).max(ready);
            self.cut = true;
        } else if seen >= 10 {
            // until the first cut the climb is faster: a fresh gateway lags warm srvs
            self.limit += if self.cut { 1.0 } else { ready / 4.0 };
        }
        self.limit = self.limit.min(4.0 * START_PER_SRV * ready);
        self.full = 0;
        let s = &mut self.srvs;
        for i in 0..s.ready.len() {
            s.passed[i] *= 0.75;
            s.squeeze[i] = (s.squeeze[i] * 1.2).min(1.0);
        }
        for i in 0..self.srvs.ready.len() {
            let rate = self.cold_rate(i);
            let most = (rate * self.terms.fall_window.secs() / 4.0).max(1.0);
            self.srvs.tokens[i] = (self.srvs.tokens[i] + rate).min(most);
        }
    }

    // ---- the list of srvs ----

    fn list(&mut self, kind: ListKind, rows: &[SrvRow]) {
        if kind == ListKind::Failed {
            self.asks = self.terms.ask_list;
            return;
        }
        let (now, s) = (self.now, &mut self.srvs);
        if kind != ListKind::Delta {
            s.ready.iter_mut().for_each(|r| *r = false);
        }
        for row in rows {
            let (i, new) = s.door.enter(row.srv as u64);
            if new {
                s.zone.push(0);
                s.cell.push(0);
                s.ready.push(false);
                s.born.push(row.born);
                s.out.push(0);
                s.pace.push(1.0);
                s.evidence.push(0.0);
                s.distrust.push(0.0);
                s.faded.push(now);
                s.squeeze.push(1.0);
                s.passed.push(0.0);
                s.tokens.push(1.0);
            }
            (s.zone[i], s.cell[i], s.ready[i]) = (row.zone, row.cell, row.state == SrvState::Ready);
            if s.born[i] != row.born {
                // a process that started anew has nothing of the old one's record
                (s.born[i], s.evidence[i], s.distrust[i], s.pace[i]) = (row.born, 0.0, 0.0, 1.0);
                (s.squeeze[i], s.tokens[i], s.passed[i]) = (1.0, 1.0, 0.0);
            }
        }
        let ready = s.ready.iter().filter(|r| **r).count() as f64;
        if self.limit == 0.0 {
            self.limit = START_PER_SRV * ready;
        }
    }

    /// What a srv can do now as a share of its full capacity, going by the slowest warming that the rules allow.
    fn warmth(&self, i: usize) -> f64 {
        let Some(born) = self.srvs.born[i] else { return 1.0 };
        let part = (self.now - born).secs() / self.terms.warm_after.secs().max(1e-3);
        (self.terms.cold_from + (1.0 - self.terms.cold_from) * part.max(0.0)).min(1.0)
    }

    /// Sends a second that a cold srv may get from this gateway: half the rule's budget over what warm srvs
    /// answer, which they can't do beyond their capacity. Own answers count only, so all gateways' parts add up.
    fn cold_rate(&self, i: usize) -> f64 {
        let (mut sum, mut n) = (0.0, 0.0);
        for j in 0..self.srvs.ready.len() {
            if self.srvs.ready[j] && self.warmth(j) >= 1.0 {
                (sum, n) = (sum + self.srvs.passed[j] / 4.0, n + 1.0);
            }
        }
        let warm = if n > 0.0 { sum / n } else { 0.0 };
        // a floor of one send a second over all gateways, where nothing is known
        (0.5 * self.terms.fall_multiple * self.warmth(i) * warm).max(1.0 / self.terms.gateways as f64)
    }

    fn distrust(&mut self, i: usize) -> f64 {
        let s = &mut self.srvs;
        s.distrust[i] *= (-(self.now - s.faded[i]).secs() / FADE).exp();
        s.faded[i] = self.now;
        s.distrust[i]
    }

    /// The sequential test: evidence adds up, never below nothing; a conviction is distrust, which fades.
    fn evidence(&mut self, i: usize, weight: f64) {
        self.distrust(i);
        let e = (self.srvs.evidence[i] + weight).max(0.0);
        self.srvs.evidence[i] = e;
        if e >= CONVICTED {
            self.srvs.evidence[i] = CONVICTED / 2.0;
            self.srvs.distrust[i] = 1.0;
            for slot in self.reqs.slots() {
                let stuck = |t: &Try| t.running && t.srv == i;
                if self.reqs.at(slot).is_some_and(|r| r.tries.iter().any(stuck)) {
                    let id = self.reqs.at(slot).map_or(0, |r| r.id);
                    self.wakes.push(Reverse((self.now, slot, id)));
                }
            }
        }
    }

    /// Each srv has credits by its pace, trust, warmth and recent fullness; a send spends one, an answer earns
    /// it back. The send goes where the largest part is left; home zone first where it is nearly equal.
    fn pick(&mut self, slot: usize) -> Option<usize> {
        let ready = self.srvs.ready.iter().filter(|r| **r).count().max(1) as f64;
        let base = (1.5 * self.limit / ready).max(2.0);
        let mut best: Option<(f64, usize)> = None;
        for i in 0..self.srvs.ready.len() {
            if !self.srvs.ready[i] || !self.may_go(slot, i) {
                continue;
            }
            let (distrust, warm) = (self.distrust(i), self.warmth(i));
            if warm < 1.0 && self.srvs.tokens[i] < 1.0 {
                continue;
            }
            let s = &self.srvs;
            let credit = base * s.squeeze[i] * warm * (1.0 - distrust).powi(2) / s.pace[i].clamp(0.7, 10.0);
            let out = s.out[i] as f64;
            if out >= credit.max(if distrust > 0.5 { 0.0 } else { 1.0 }) {
                continue;
            }
            let near = if s.zone[i] == self.terms.zone { 1.0 } else { 1.05 };
            let cost = (out + 1.0) / credit * near * (1.0 + 0.02 * self.rng.f64());
            if best.is_none_or(|b| cost < b.0) {
                best = Some((cost, i));
            }
        }
        best.map(|b| b.1)
    }

    /// Whether the rules let this req go to this srv now (repeats, groups, memory, attempts).
    fn may_go(&self, slot: usize, i: usize) -> bool {
        let Some(r) = self.reqs.at(slot) else { return false };
        let f = &self.terms.frontends[r.frontend];
        if r.want.len() >= self.terms.max_dispatches as usize || r.begun || r.end.is_some() {
            return false;
        }
        let running = r.tries.iter().any(|t| t.running);
        if running && !self.terms.may_duplicate || r.tries.iter().any(|t| t.running && t.srv == i) {
            return false;
        }
        let Some(first) = r.tries.iter().find(|t| t.ran) else { return true };
        match f.effect {
            Effect::Replayable => true,
            Effect::NonReplayable => false,
            Effect::Uniqued => {
                let s = &self.srvs;
                let same = match f.group {
                    Group::All => true,
                    Group::Zone => s.zone[first.srv] == s.zone[i],
                    Group::Cell => s.cell[first.srv] == s.cell[i],
                };
                // a margin for the way there: the srv's memory may run from before the send is seen
                same && self.now - first.sent < f.memory.times(0.9)
            }
        }
    }

    // ---- a req's life ----

    fn arrive(&mut self, n: NewReq) {
        let (c, new) = self.door.enter(n.customer);
        let plan = (n.plan as usize).min(self.terms.plans.len().max(1) - 1);
        let p = &self.terms.plans[plan];
        if new {
            self.customers.push(Customer {
                plan,
                spread: n.spread.max(1.0),
                quota: Account::default(),
                level: p.burst,
                level_at: self.now,
                run: p.burst,
                run_at: self.now,
                own: 0.0,
                all: 0.0,
                lease: Account::default(),
                held: 0.0,
                ceiling: 0.0,
                ceiling_at: self.started,
                queue: VecDeque::new(),
                deficit: 0.0,
                dirty: false,
            });
        }
        self.customers[c].spread = n.spread.max(1.0);
        let frontend = (n.frontend as usize).min(self.terms.frontends.len() - 1);
        let ends = self.now + n.left - self.terms.period - Span::millis(2);
        let r = Req {
            id: n.id,
            frontend,
            customer: c,
            units: n.units,
            ends,
            target: self.now + self.terms.frontends[frontend].target,
            stage: Stage::Charging,
            verdicts: 0,
            charged: false,
            begun: false,
            tries: Vec::new(),
            want: Vec::new(),
            end: None,
        };
        let slot = self.reqs.put(n.id, r);
        self.wakes.push(Reverse((ends, slot, n.id)));
        let (rated, capped) = (p.rate > 0.0, p.at_once > 0);
        if !self.ceiling(c, n.units) {
            return self.end(slot, false);
        }
        if rated && self.room(c) < n.units || capped && self.lease_full(c) {
            return self.end(slot, false);
        }
        if self.silent {
            if rated && self.run_take(c, n.units) || capped && !self.lease_alone(c) {
                return self.end(slot, false);
            }
            self.customers[c].held += 1.0;
            if rated {
                self.customers[c].quota.owed += n.units;
            }
            self.with(n.id, |r| r.charged = rated);
            self.mark(c);
            return self.admit(slot);
        }
        let cust = &mut self.customers[c];
        cust.held += 1.0;
        if rated {
            cust.run -= n.units;
            cust.quota.owed += n.units;
            cust.quota.joins.push(slot);
        }
        if capped {
            cust.lease.joins.push(slot);
        }
        self.mark(c);
        let verdicts = rated as u8 + capped as u8;
        if let Some(r) = self.reqs.at_mut(slot) {
            (r.verdicts, r.charged) = (verdicts, rated);
        }
        if verdicts == 0 {
            self.admit(slot);
        }
    }

    /// The hard ceiling is kept as a slice of each gateway, empty at a start: whatever a killed predecessor
    /// took, all slices together never pass the whole.
    fn ceiling(&mut self, c: usize, units: f64) -> bool {
        let cust = &mut self.customers[c];
        let p = &self.terms.plans[cust.plan];
        if p.ceiling_rate <= 0.0 {
            return true;
        }
        let gained = p.ceiling_rate / cust.spread * (self.now - cust.ceiling_at).secs();
        cust.ceiling = (cust.ceiling + gained).min(p.ceiling_burst / cust.spread);
        cust.ceiling_at = self.now;
        let fits = cust.ceiling >= units;
        if fits {
            cust.ceiling -= units;
        }
        fits
    }

    fn admit(&mut self, slot: usize) {
        let Some(r) = self.reqs.at_mut(slot) else { return };
        r.stage = Stage::Waiting;
        let c = r.customer;
        let give_up = r.target - Span::from_secs(self.usual[r.frontend]);
        let w = (give_up.min(r.ends), slot, r.id);
        self.wakes.push(Reverse(w));
        if self.customers[c].queue.is_empty() {
            self.ring.push_back(c);
        }
        self.customers[c].queue.push_back(slot);
    }

    /// Weighted deficit round robin over customers: a turn is worth as many grants as the plan's weight.
    fn pump(&mut self) {
        while let Some(&c) = self.ring.front() {
            let Some(&slot) = self.customers[c].queue.front() else {
                self.ring.pop_front();
                self.customers[c].deficit = 0.0;
                continue;
            };
            if self.reqs.at(slot).is_none_or(|r| r.stage != Stage::Waiting || r.customer != c) {
                self.customers[c].queue.pop_front();
                continue;
            }
            if self.out as f64 >= self.limit {
                break;
            }
            if self.customers[c].deficit < 1.0 {
                self.customers[c].deficit += self.weight(c);
            }
            let Some(srv) = self.pick(slot) else { break };
            self.customers[c].queue.pop_front();
            self.customers[c].deficit -= 1.0;
            self.copies = (self.copies + COPY_SHARE).min(10.0);
            self.send(slot, srv);
            if self.customers[c].deficit < 1.0 {
                self.ring.rotate_left(1);
            }
        }
    }

    /// A customer's weight: its quota over the smallest of its kind, so that queues share as quotas do.
    fn weight(&self, c: usize) -> f64 {
        let figure = |p: &Plan| if p.rate > 0.0 { (p.rate, true) } else { (p.at_once as f64, false) };
        let (own, kind) = figure(&self.terms.plans[self.customers[c].plan]);
        let all = self.terms.plans.iter().map(figure).filter(|f| f.1 == kind);
        let least = all.map(|f| f.0).fold(own, f64::min);
        if least > 0.0 {
            (own / least).round().max(1.0)
        } else {
            1.0
        }
    }

    fn send(&mut self, slot: usize, srv: usize) {
        if self.warmth(srv) < 1.0 {
            self.srvs.tokens[srv] -= 1.0;
        }
        let Some(r) = self.reqs.at_mut(slot) else { return };
        if r.stage == Stage::Out {
            self.customers[r.customer].held += 1.0;
            let c = r.customer;
            r.want.push(srv);
            self.mark(c);
        } else {
            r.stage = Stage::Out;
            r.want.push(srv);
        }
        self.srvs.out[srv] += 1;
        self.out += 1;
        self.touched.push(slot);
    }

    fn overdue_after(&self, f: usize) -> f64 {
        let target = self.terms.frontends[f].target.secs();
        (1.2 * self.tail[f]).clamp(0.25 * target, 0.6 * target)
    }

    /// Looks at one req anew: its end, its place in the queue, its overdue dispatches, the next wake.
    fn review(&mut self, slot: usize) {
        let Some(r) = self.reqs.at(slot) else { return };
        let (id, f, stage) = (r.id, r.frontend, r.stage);
        if r.end.is_some() || r.begun || stage == Stage::Over {
            return;
        }
        if self.now >= r.ends {
            return self.end(slot, true);
        }
        let worth = self.worth(slot);
        if stage == Stage::Waiting {
            // in the queue the target decides, late value or not: a queue that only makes late is no use
            let give_up = r.target - Span::from_secs(self.usual[f]);
            if self.now >= give_up {
                return self.end(slot, true);
            }
            self.wakes.push(Reverse((give_up.max(self.now + Span::millis(5)), slot, id)));
        }
        if stage != Stage::Out {
            return;
        }
        let after = self.overdue_after(f);
        let (mut running, mut sick) = (0, false);
        let mut late = Vec::new();
        let r = self.reqs.at_mut(slot).expect("looked up above");
        for t in r.tries.iter_mut().filter(|t| t.running) {
            running += 1;
            let overdue = (self.now - t.sent).secs() >= after;
            if overdue && !t.overdue {
                t.overdue = true;
                late.push((t.srv, (self.now - t.sent).secs() / self.usual[f]));
            }
            sick |= overdue || self.srvs.distrust[t.srv] > 0.5;
        }
        for (srv, pace) in late {
            blend(&mut self.late_share, 1.0, 0.02);
            blend(&mut self.srvs.pace[srv], pace, 0.1);
            // a fleet-wide slowness makes lateness weak evidence against one srv
            self.evidence(srv, (0.8 / self.late_share.clamp(0.05, 0.8)).ln());
        }
        if running == 0 {
            if !worth {
                return self.end(slot, true);
            }
            match self.pick(slot) {
                Some(srv) => self.send(slot, srv),
                None if self.stuck(slot) => self.end(slot, true),
                None => self.wakes.push(Reverse((self.now + Span::millis(20), slot, id))),
            }
        } else if sick && running < 2 && worth && self.copies >= 1.0 {
            if let Some(srv) = self.pick(slot) {
                self.copies -= 1.0;
                self.send(slot, srv);
            }
        }
    }

    /// No srv may ever take this req again, whatever becomes free.
    fn stuck(&self, slot: usize) -> bool {
        !(0..self.srvs.ready.len()).any(|i| self.srvs.ready[i] && self.may_go(slot, i))
    }

    /// Whether an answer of usual speed would still earn something.
    fn worth(&self, slot: usize) -> bool {
        let Some(r) = self.reqs.at(slot) else { return false };
        let by = if self.terms.frontends[r.frontend].late_value > 0.0 { r.ends } else { r.target };
        self.now + Span::from_secs(0.8 * self.usual[r.frontend]) < by.min(r.ends)
    }

    fn ended(&mut self, e: Ended) {
        let Some(slot) = self.reqs.find(e.id) else { return };
        let Some(r) = self.reqs.at_mut(slot) else { return };
        let (f, c, units, over) = (r.frontend, r.customer, r.units, r.stage == Stage::Over);
        let Some(t) = r.tries.get_mut(e.nth as usize).filter(|t| t.running) else { return };
        (t.running, t.ran) =
            (false, !matches!(e.how, Outcome::Full | Outcome::NoConnection | Outcome::NotSent));
        let (srv, was_late, sent) = (t.srv, t.overdue, t.sent);
        self.srvs.out[srv] -= 1;
        self.out -= 1;
        self.customers[c].held -= 1.0;
        self.mark(c);
        let took = e.took.secs();
        match e.how {
            Outcome::Passed => {
                let sound = self.distrust(srv) < 0.3 && self.srvs.pace[srv] < 2.5;
                if sound {
                    self.samples[f].push(took);
                    blend(&mut self.usual[f], took, 0.03);
                }
                let pace = took / self.usual[f].max(1e-3);
                blend(&mut self.srvs.pace[srv], pace.min(20.0), 0.1);
                self.srvs.passed[srv] += 1.0;
                if !was_late {
                    blend(&mut self.late_share, 0.0, 0.02);
                    blend(&mut self.bad_share, 0.0, 0.02);
                    self.evidence(srv, -0.9);
                }
                if self.terms.settles && e.billed > 0.0 {
                    let cust = &mut self.customers[c];
                    if self.terms.plans[cust.plan].rate > 0.0 {
                        cust.quota.owed += e.billed - units;
                        cust.run -= e.billed - units;
                    }
                }
            }
            Outcome::Full => {
                self.full += 1;
                self.srvs.squeeze[srv] = (self.srvs.squeeze[srv] * 0.7).max(0.1);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => {
                // what was sent before its process started anew says nothing of the new one
                if self.srvs.born[srv].is_none_or(|b| sent > b) {
                    blend(&mut self.bad_share, 1.0, 0.02);
                    self.evidence(srv, (0.6 / self.bad_share.clamp(0.02, 0.6)).ln());
                }
            }
        }
        if e.closed || over {
            self.close(e.id);
        } else {
            self.review(slot);
        }
    }

    /// Gives a req its final answer: a denial where the rules allow one, else an abort.
    fn end(&mut self, slot: usize, taken: bool) {
        let Some(r) = self.reqs.at_mut(slot) else { return };
        if r.end.is_some() || r.stage == Stage::Over {
            return;
        }
        let f = &self.terms.frontends[r.frontend];
        let ran = r.tries.iter().any(|t| t.ran) || r.want.len() > r.tries.len();
        let deny = match f.effect {
            Effect::Replayable => true,
            Effect::NonReplayable => !ran,
            Effect::Uniqued => !ran || f.group == Group::All,
        };
        let (c, units, charged) = (r.customer, r.units, r.charged);
        let waits = matches!(r.stage, Stage::Charging | Stage::Waiting);
        let p = &self.terms.plans[self.customers[c].plan];
        let mut hint = Span::ZERO;
        if self.terms.may_hint {
            let cust = &self.customers[c];
            let short = if p.rate > 0.0 { (units - cust.run).max(0.0) / p.rate } else { 0.0 };
            hint = Span::from_secs(short.max(0.05)).min(self.terms.longest_hint);
        }
        r.end = Some(if deny { End::Deny(hint) } else { End::Abort });
        if taken && waits {
            // denied before it was sent: its adds come back
            let cust = &mut self.customers[c];
            cust.held -= 1.0;
            if charged {
                cust.quota.owed -= units;
                cust.run += units;
                cust.quota.urgent = true;
            }
            self.mark(c);
        }
        self.touched.push(slot);
    }

    /// The req is over for the client: what still runs is cancelled, and forgotten with its last outcome.
    fn close(&mut self, id: u64) {
        let Some(slot) = self.reqs.find(id) else { return };
        let Some(r) = self.reqs.at_mut(slot) else { return };
        if matches!(r.stage, Stage::Charging | Stage::Waiting) && r.end.is_none() {
            let (c, units, charged) = (r.customer, r.units, r.charged);
            let cust = &mut self.customers[c];
            cust.held -= 1.0;
            if charged {
                (cust.quota.owed, cust.run) = (cust.quota.owed - units, cust.run + units);
            }
            self.mark(c);
        }
        let r = self.reqs.at_mut(slot).expect("looked up above");
        r.stage = Stage::Over;
        r.tries.iter_mut().filter(|t| t.running).for_each(|t| t.drop = true);
        if r.tries.iter().any(|t| t.running) {
            self.touched.push(slot);
        } else {
            self.reqs.drop(id);
        }
    }

    // ---- quotas ----

    fn mark(&mut self, c: usize) {
        if !self.customers[c].dirty {
            self.customers[c].dirty = true;
            self.dirty.push(c);
        }
    }

    /// The customer's store as far as this gateway knows: the last totals, what it filled, what went out here.
    fn room(&mut self, c: usize) -> f64 {
        let cust = &mut self.customers[c];
        let p = &self.terms.plans[cust.plan];
        cust.run = (cust.run + p.rate * (self.now - cust.run_at).secs()).min(p.burst);
        cust.run_at = self.now;
        cust.run
    }

    /// This gateway's recent part of the customer's use; an even split where little was seen.
    fn share(&self, c: usize) -> f64 {
        let cust = &self.customers[c];
        let p = &self.terms.plans[cust.plan];
        let prior = if p.rate > 0.0 { 0.5 * p.burst } else { p.at_once as f64 };
        ((cust.own + prior / cust.spread) / (cust.all + prior)).clamp(0.5 / cust.spread, 1.0)
    }

    /// Counter silent: takes the units for itself and for what the others are taken to use meanwhile; true if
    /// there is no room. Replaces the even split by the recent spread, else gathered customers starve.
    fn run_take(&mut self, c: usize, units: f64) -> bool {
        let share = self.share(c);
        if self.room(c) < units {
            return true;
        }
        self.customers[c].run -= units / share;
        false
    }

    fn lease_full(&self, c: usize) -> bool {
        let cust = &self.customers[c];
        let cap = self.terms.plans[cust.plan].at_once as f64;
        let fresh = cust.lease.seen.is_some_and(|s| (self.now - s).secs() < 0.03);
        // what is held here beyond the answered total is on its way, so the cap can't have room
        fresh && cust.lease.total + cust.lease.flying >= cap || cust.held >= cap
    }

    /// Counter silent: this gateway's part of the cap, rounded to the nearer side, one at least.
    fn lease_alone(&self, c: usize) -> bool {
        let cap = self.terms.plans[self.customers[c].plan].at_once as f64;
        self.customers[c].held + 1.0 <= (cap * self.share(c)).round().max(1.0)
    }

    fn name(&self, c: usize, lease: bool, epoch: u64) -> u64 {
        (self.door.id(c) << 24) | ((epoch & 0x7f_ffff) << 1) | lease as u64
    }

    fn counted(&mut self, name: u64, total: f64, how: Outcome) {
        let Some(call) = self.calls.get_mut(&name).and_then(VecDeque::pop_front) else { return };
        if self.calls.get(&name).is_some_and(VecDeque::is_empty) {
            self.calls.remove(&name);
        }
        let c = call.customer;
        let answered = how == Outcome::Passed;
        if answered {
            (self.misses, self.silent) = (0, false);
        } else {
            self.misses += 1;
            if self.misses >= SILENT_AFTER && !self.silent {
                (self.silent, self.trial_at) = (true, self.now + TRIAL);
            }
        }
        let added = how == Outcome::Passed || how == Outcome::TimedOut;
        let over = if call.lease {
            self.lease_counted(&call, total, answered, added)
        } else {
            self.quota_counted(&call, total, answered, added)
        };
        let mut over = over;
        for &(slot, id) in call.joins.iter().rev() {
            let Some(r) = self.reqs.at_mut(slot).filter(|r| r.id == id && r.stage == Stage::Charging) else {
                continue;
            };
            r.verdicts -= 1;
            let (units, left) = (r.units, r.verdicts);
            if r.end.is_some() {
                continue;
            }
            let fits = if answered {
                let fits = over <= 1e-3;
                over -= if fits {
                    0.0
                } else if call.lease {
                    1.0
                } else {
                    units
                };
                fits
            } else if call.lease {
                self.customers[c].held -= 1.0;
                let fits = self.lease_alone(c);
                self.customers[c].held += 1.0;
                fits
            } else {
                // the own use is already in `run`; what the others use meanwhile is added to it
                let extra = units / self.share(c) - units;
                let fits = self.room(c) >= 0.0;
                self.customers[c].run -= if fits { extra } else { 0.0 };
                fits
            };
            if !fits {
                self.end(slot, true);
            } else if left == 0 {
                self.admit(slot);
            }
        }
    }

    /// Reads the store out of a total: what others added since the last one is taken as spread over that time.
    /// Returns by how much the store is overdrawn.
    fn quota_counted(&mut self, call: &Call, total: f64, answered: bool, added: bool) -> f64 {
        let (now, largest) = (self.now, self.terms.largest);
        let cust = &mut self.customers[call.customer];
        let p = &self.terms.plans[cust.plan];
        let q = &mut cust.quota;
        q.flying -= call.amount;
        if !answered {
            if added {
                q.doubt += call.amount;
            } else {
                q.owed += call.amount;
            }
            return 0.0;
        }
        if call.epoch < q.epoch {
            return (-cust.level).max(0.0);
        }
        let new = call.epoch > q.epoch || q.seen.is_none();
        let mut delta = if new { total } else { total - q.total };
        if delta - call.amount < -(largest * 2.0).max(0.5 * q.total) {
            delta = total; // the counter came back empty: own memory of the store still counts
        }
        let others = delta - call.amount;
        if q.doubt > 0.0 && others < 0.5 * q.doubt {
            q.owed += q.doubt; // an unanswered add that never got there
        }
        q.doubt = 0.0;
        let since = if q.seen.is_none() { now.secs() % WINDOW } else { (now - cust.level_at).secs() };
        (q.epoch, q.total, q.seen) = (call.epoch, total, Some(now));
        let before = cust.level + p.rate * since - (delta - call.units);
        (cust.level, cust.level_at) = (before.min(p.burst) - call.units, now);
        (cust.run, cust.run_at) = (cust.level - q.flying - q.owed, now);
        let keep = (-since.min(WINDOW) / SHARE_MEMORY).exp();
        cust.own = cust.own * keep + call.amount.max(0.0);
        cust.all = cust.all * keep + call.amount.max(0.0) + others.max(0.0);
        (-cust.level).max(0.0)
    }

    fn lease_counted(&mut self, call: &Call, total: f64, answered: bool, added: bool) -> f64 {
        let now = self.now;
        let cust = &mut self.customers[call.customer];
        let p = &self.terms.plans[cust.plan];
        let l = &mut cust.lease;
        if call.epoch == l.epoch {
            l.flying -= call.amount;
        }
        if !answered {
            if !added && call.epoch == l.epoch {
                l.put -= call.amount;
            } else if !added && call.epoch == l.epoch + 1 {
                l.put_next -= call.amount;
            }
            return 0.0;
        }
        if call.epoch != l.epoch {
            return 0.0;
        }
        if p.rate <= 0.0 {
            let keep = l.seen.map_or(0.0, |s| (-(now - s).secs() / SHARE_MEMORY).exp());
            cust.own = cust.own * keep + l.put.max(0.0) * (1.0 - keep);
            cust.all = cust.all * keep + total.max(l.put).max(0.0) * (1.0 - keep);
        }
        (l.total, l.seen) = (total, Some(now));
        (total - p.at_once as f64).max(0.0)
    }

    // ---- wanted to present ----

    /// The one place that acts: compares what is wanted with what is there and emits the difference.
    fn settle(&mut self, acts: &mut Vec<Action>) {
        if std::mem::take(&mut self.asks) {
            acts.push(Action::Watch { on: true });
        }
        for slot in std::mem::take(&mut self.touched) {
            let Some(f) = self.reqs.at(slot).map(|r| r.frontend) else { continue };
            let after = self.overdue_after(f);
            // where a second copy may not be out beside the first, a time-out has to free the req
            let front = &self.terms.frontends[f];
            let free = !self.terms.may_duplicate && front.effect != Effect::NonReplayable;
            let limit = if free { Span::from_secs(1.5 * after) } else { Span::ZERO };
            let Some(r) = self.reqs.at_mut(slot) else { continue };
            while r.tries.len() < r.want.len() {
                let srv = r.want[r.tries.len()];
                r.tries.push(Try {
                    srv,
                    sent: self.now,
                    running: true,
                    ran: true,
                    overdue: false,
                    drop: false,
                });
                acts.push(Action::Dispatch { id: r.id, srv: self.srvs.door.id(srv) as u32, limit });
                let due = self.now + Span::from_secs(after);
                self.wakes.push(Reverse((due, slot, r.id)));
            }
            if let (Some(end), true) = (r.end, r.stage != Stage::Over) {
                acts.push(match end {
                    End::Deny(back_off) => Action::Deny { id: r.id, back_off },
                    End::Abort => Action::Abort { id: r.id },
                });
                r.stage = Stage::Over;
                r.tries.iter_mut().filter(|t| t.running).for_each(|t| t.drop = true);
            }
            for (nth, t) in r.tries.iter_mut().enumerate() {
                if t.running && t.drop && self.terms.may_cancel {
                    t.drop = false;
                    acts.push(Action::Cancel { id: r.id, nth: nth as u16 });
                }
            }
            if r.stage == Stage::Over && !r.tries.iter().any(|t| t.running) {
                let id = r.id;
                self.reqs.drop(id);
            }
        }
        for c in std::mem::take(&mut self.dirty) {
            self.customers[c].dirty = false;
            self.put_counts(c, acts);
        }
        let roll = ((self.now.secs() / ROLL).floor() + 1.0) * ROLL - LEAD + 0.001;
        let roll = if roll > self.now.secs() { roll } else { roll + LEAD };
        let mut next = self.second_at.min(Point::from_secs(roll));
        if let Some(Reverse(w)) = self.wakes.peek() {
            next = next.min(w.0);
        }
        if self.armed.is_none_or(|a| next < a) {
            self.armed = Some(next);
            acts.push(Action::Timer { after: (next - self.now).max(Span::millis(1)), token: 0 });
        }
    }

    fn put_counts(&mut self, c: usize, acts: &mut Vec<Action>) {
        let now = self.now.secs();
        let p = &self.terms.plans[self.customers[c].plan];
        let (rated, capped) = (p.rate > 0.0, p.at_once > 0);
        let mut calls = Vec::new();
        let cust = &self.customers[c];
        if self.silent && cust.quota.joins.is_empty() && cust.lease.joins.is_empty() {
            if !self.terms.counter || self.now < self.trial_at {
                return;
            }
            self.trial_at = self.now + TRIAL;
        }
        let cust = &mut self.customers[c];
        if rated && (!cust.quota.joins.is_empty() || cust.quota.urgent || self.silent) {
            let epoch = (now / WINDOW) as u64;
            let joins: Vec<usize> = std::mem::take(&mut cust.quota.joins);
            let amount = std::mem::take(&mut cust.quota.owed);
            cust.quota.urgent = false;
            cust.quota.flying += amount;
            calls.push((false, epoch, amount, joins, Span::from_secs(WINDOW * 2.0)));
        }
        if capped {
            let epoch = (now / ROLL) as u64;
            let l = &mut cust.lease;
            if l.epoch != epoch {
                l.put = if l.epoch + 1 == epoch { l.put_next } else { 0.0 };
                (l.put_next, l.flying, l.total, l.seen, l.epoch) = (0.0, 0.0, l.put, None, epoch);
            }
            let joins = std::mem::take(&mut l.joins);
            let diff = cust.held - l.put;
            if diff != 0.0 || !joins.is_empty() {
                l.put += diff;
                l.flying += diff;
                calls.push((true, epoch, diff, joins, Span::from_secs(ROLL * 2.0)));
            }
            let ahead = cust.held - l.put_next;
            if now % ROLL > ROLL - LEAD && ahead != 0.0 {
                l.put_next += ahead;
                calls.push((true, epoch + 1, ahead, Vec::new(), Span::from_secs(ROLL * 2.0)));
            }
        }
        for (lease, epoch, amount, joins, life) in calls {
            let name = self.name(c, lease, epoch);
            let ids = |&s: &usize| self.reqs.at(s).map(|r| (s, r.id));
            let joins: Vec<(usize, u64)> = joins.iter().filter_map(ids).collect();
            let units = joins.iter().filter_map(|&(s, _)| self.reqs.at(s)).map(|r| r.units).sum();
            acts.push(Action::Count { name, amount, life });
            let call = Call { customer: c, lease, epoch, amount, units, joins };
            self.calls.entry(name).or_default().push_back(call);
        }
    }
}
