//! Plain state containers of the decision module.

use crate::interface::{Action, DedupScope, Plan, ServerEntry, ServerState, Terms};
use crate::time::{Span, Timestamp};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Ids from outside to small dense indices, in order of first sight; those of forgotten ones are used again.
#[derive(Debug, Default)]
pub struct Door {
    ix: HashMap<u64, usize>,
    ids: Vec<u64>,
    free: Vec<usize>,
}

impl Door {
    /// The index of an id, and whether it is new.
    pub fn enter(&mut self, id: u64) -> (usize, bool) {
        if let Some(&i) = self.ix.get(&id) {
            return (i, false);
        }
        let i = self.free.pop().unwrap_or(self.ids.len());
        self.ids.resize(self.ids.len().max(i + 1), id);
        self.ids[i] = id;
        self.ix.insert(id, i);
        (i, true)
    }
    pub fn holds(&self, i: usize) -> bool {
        self.ids.get(i).is_some_and(|id| self.ix.get(id) == Some(&i))
    }
    /// Gives an index back that nothing refers to any more.
    pub fn forget(&mut self, i: usize) {
        if self.holds(i) {
            self.ix.remove(&self.ids[i]);
            self.free.push(i);
        }
    }
    pub fn id(&self, i: usize) -> u64 {
        self.ids[i]
    }
}

/// Values by id, with slots used again.
#[derive(Debug)]
pub struct Slab<T> {
    ix: HashMap<u64, usize>,
    slots: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { ix: HashMap::new(), slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    pub fn put(&mut self, id: u64, v: T) -> usize {
        let i = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[i] = Some(v);
        self.ix.insert(id, i);
        i
    }
    pub fn at(&self, i: usize) -> Option<&T> {
        self.slots.get(i).and_then(Option::as_ref)
    }
    pub fn at_mut(&mut self, i: usize) -> Option<&mut T> {
        self.slots.get_mut(i).and_then(Option::as_mut)
    }
    pub fn of(&mut self, id: u64) -> Option<(usize, &mut T)> {
        let i = *self.ix.get(&id)?;
        self.slots[i].as_mut().map(|v| (i, v))
    }
    pub fn drop(&mut self, id: u64) {
        if let Some(i) = self.ix.remove(&id) {
            self.slots[i] = None;
            self.free.push(i);
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Stage {
    #[default]
    Arrived,
    Charging,
    Waiting,
    Out,
    Over,
}

/// A dispatch of a req, wanted or present.
#[derive(Debug, Default)]
pub struct Try {
    pub srv: usize,
    pub sent: Timestamp,
    pub told: bool,
    pub running: bool,
    pub ran: bool,
    pub overdue: bool,
    /// Called back while its req goes on.
    pub unwanted: bool,
    pub dropped: bool,
}

/// What the decision to send a request of a customer with a quota rested on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Basis {
    /// There was no quota to decide on.
    #[default]
    Unlimited,
    /// A total that was read before it, of a store that was met before.
    Total,
    /// The first total that was read of its customer.
    FirstTotal,
    /// The own part of the last total: the answer to its call is not waited for.
    Ahead,
    /// The own reckoning, as its call was not answered.
    Unanswered,
    /// The own reckoning: the counter was not asked.
    Unasked,
}

impl Basis {
    /// How many there are.
    pub const ALL: usize = 6;
    /// Their names, in the order of the variants.
    pub const NAMES: [&str; Basis::ALL] =
        ["unlimited", "total", "first_total", "ahead", "unanswered", "unasked"];

    /// Of a request on its arrival, before any answer.
    pub fn arrived(rated: bool, ahead: bool) -> Basis {
        match (rated, ahead) {
            (false, _) => Basis::Unlimited,
            (true, true) => Basis::Ahead,
            (true, false) => Basis::Unasked,
        }
    }

    /// Of one whose call to the counter has ended.
    pub fn counted(answered: bool, first: bool) -> Basis {
        match (answered, first) {
            (false, _) => Basis::Unanswered,
            (true, true) => Basis::FirstTotal,
            (true, false) => Basis::Total,
        }
    }
}

#[derive(Debug, Default)]
pub struct Req {
    pub id: u64,
    pub frontend: usize,
    pub customer: usize,
    pub units: f64,
    /// Units told to the counter for it; more than its own where it stands for others that are not.
    pub charge: f64,
    pub leased: f64,
    pub ends: Timestamp,
    pub target: Timestamp,
    /// Where it may go, a bit a zone.
    pub zones: u64,
    pub stage: Stage,
    /// Counter answers still owed.
    pub verdicts: u8,
    pub basis: Basis,
    pub begun: bool,
    pub tries: Vec<Try>,
    /// The final answer that it is to get, or got.
    pub end: Option<Action>,
}

/// What the counter answered of a name.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    pub total: f64,
    /// What is left of the quota at once, where the counter keeps it.
    pub level: Option<f64>,
}

/// A name on the counter as seen from here. Amounts not in an answered total are flying or owed.
#[derive(Debug, Default)]
pub struct Account {
    pub epoch: u64,
    pub total: f64,
    pub seen: Option<Timestamp>,
    pub called: Timestamp,
    pub put: f64,
    pub put_next: f64,
    pub flying: f64,
    pub owed: f64,
    /// What others had on it lately, smoothed.
    pub others: f64,
    /// Reqs that wait for the next total: slot, id, units.
    pub joins: Vec<(usize, u64, f64)>,
    pub urgent: bool,
    /// A call since the last total was not answered.
    pub missed: bool,
}

impl Account {
    pub fn fresh(&self, now: Timestamp, secs: f64) -> bool {
        self.seen.is_some_and(|s| now.since(s) < secs)
    }
    /// Goes to the name of another epoch; what was put there ahead is on it.
    pub fn roll(&mut self, epoch: u64) {
        if self.epoch != epoch {
            self.put = if self.epoch + 1 == epoch { self.put_next } else { 0.0 };
            (self.put_next, self.epoch) = (0.0, epoch);
        }
    }
}

#[derive(Debug, Default)]
pub struct Customer {
    pub plan: usize,
    pub spread: f64,
    pub quota: Account,
    pub lease: Account,
    /// The store as the last total leaves it, and the same with what went out here since.
    pub level: f64,
    pub level_at: Timestamp,
    pub run: f64,
    pub run_at: Timestamp,
    pub own: f64,
    pub all: f64,
    pub held: f64,
    /// Those of them that the counter knows or is to know.
    pub leased: f64,
    pub ceiling: f64,
    pub ceiling_at: Timestamp,
    /// The part of its reqs let through while the counter is crowded, and when that was last moved.
    pub admit: f64,
    pub steered: Option<Timestamp>,
    /// When its last req came, and whether one came with the usual time left of first tries.
    pub seen: Timestamp,
    pub usual_left: bool,
}

impl Req {
    pub fn running(&mut self) -> impl Iterator<Item = &mut Try> {
        self.tries.iter_mut().filter(|t| t.running)
    }
}

impl Customer {
    /// What its latest req says of it. With another plan its store starts full, as a new customer's: reqs
    /// would otherwise wait for calls that the first plan seen does not make.
    pub fn follow(&mut self, plan: usize, spread: f64, burst: f64) {
        if self.plan != plan {
            (self.plan, self.level, self.run) = (plan, burst, burst);
        }
        self.spread = spread;
    }
    /// What the store has now, filled at its rate up to its size.
    pub fn room(&mut self, now: Timestamp, rate: f64, burst: f64) -> f64 {
        self.run = (self.run + rate * now.since(self.run_at)).min(burst);
        self.run_at = now;
        self.run
    }
    /// This gateway's slice of the hard ceiling, filled likewise.
    pub fn slice(&mut self, now: Timestamp, rate: f64, depth: f64) -> f64 {
        let gained = rate / self.spread * now.since(self.ceiling_at);
        self.ceiling = (self.ceiling + gained).min(depth / self.spread);
        self.ceiling_at = now;
        self.ceiling
    }
    /// Takes units out of that slice, if they fit.
    pub fn take_slice(&mut self, now: Timestamp, p: &Plan, units: f64) -> bool {
        let fits = self.slice(now, p.ceiling_rate, p.ceiling_burst) >= units;
        self.ceiling -= if fits { units } else { 0.0 };
        fits
    }
    /// Whether it is as one never met: nothing out, waited for or to be told, and its stores full.
    pub fn settled(&mut self, now: Timestamp, p: &Plan) -> bool {
        let q = &self.quota;
        let idle = self.held == 0.0 && self.leased.abs() < 1e-6 && q.flying.abs() < 1e-6 && !q.urgent;
        let (slice, depth) =
            (self.slice(now, p.ceiling_rate, p.ceiling_burst), p.ceiling_burst / self.spread);
        let full = self.room(now, p.rate, p.burst) > p.burst - 1e-6
            && (p.ceiling_rate <= 0.0 || slice > depth - 1e-6);
        idle && full && self.quota.joins.is_empty() && self.lease.joins.is_empty()
    }
    /// Whether no total has come for a while though one was asked for: one lost answer is no silence.
    pub fn in_silence(&self, now: Timestamp) -> bool {
        self.quota.missed && now.since(self.level_at) > 0.5
    }
    /// Dispatches more out or held here, and leases that the counter is to know of.
    pub fn hold(&mut self, more: f64, leased: f64) {
        (self.held, self.leased) = (self.held + more, self.leased + leased);
    }
    pub fn new(
        plan: usize,
        spread: f64,
        burst: f64,
        others: f64,
        now: Timestamp,
        began: Timestamp,
    ) -> Customer {
        Customer {
            plan,
            spread,
            level: burst,
            level_at: now,
            run: burst,
            run_at: now,
            admit: 1.0,
            ceiling_at: began,
            lease: Account { others, ..Account::default() },
            ..Customer::default()
        }
    }
}

impl Slab<Req> {
    /// Whether an open req has been at a srv, however that ended.
    pub fn know(&self, srv: usize) -> bool {
        self.slots.iter().flatten().any(|r| r.tries.iter().any(|t| t.srv == srv))
    }
    /// The slots and ids of reqs with a dispatch running at a srv.
    pub fn running_at(&self, srv: usize) -> Vec<(usize, u64)> {
        let there = |r: &&Req| r.tries.iter().any(|t| t.running && t.srv == srv);
        (0..self.slots.len()).filter_map(|slot| Some((slot, self.at(slot).filter(there)?.id))).collect()
    }
}

/// When reqs are to be looked at again, by slot and id: a slot is used again by others.
#[derive(Debug, Default)]
pub struct Wakes(BinaryHeap<Reverse<(Timestamp, usize, u64)>>);

impl Wakes {
    pub fn push(&mut self, at: Timestamp, slot: usize, id: u64) {
        self.0.push(Reverse((at, slot, id)));
    }
    /// The earliest of those whose req is still there; the others before it are dropped.
    pub fn first(&mut self, reqs: &Slab<Req>) -> Option<(Timestamp, usize)> {
        while let Some(&Reverse((at, slot, id))) = self.0.peek() {
            if reqs.at(slot).is_some_and(|r| r.id == id) {
                return Some((at, slot));
            }
            self.0.pop();
        }
        None
    }
    pub fn pop(&mut self) {
        self.0.pop();
    }
}

/// Waiters: a queue and a deficit a lane, the lanes that have some in a ring.
#[derive(Debug, Default)]
pub struct Line {
    pub waiting: usize,
    ring: VecDeque<usize>,
    queues: Vec<(VecDeque<usize>, f64)>,
}

impl Line {
    /// Ahead of its customer's others.
    pub fn join(&mut self, c: usize, slot: usize) {
        self.queues.resize_with(self.queues.len().max(c + 1), Default::default);
        if self.queues[c].0.is_empty() {
            self.queues[c].1 = 0.0;
            self.ring.retain(|&other| other != c);
            self.ring.push_back(c);
        }
        self.queues[c].0.push_front(slot);
        self.waiting += 1;
    }
    /// The waiter whose turn it is, and its customer.
    pub fn head(&mut self) -> Option<(usize, usize)> {
        while let Some(&c) = self.ring.front() {
            if let Some(&slot) = self.queues[c].0.front() {
                return Some((c, slot));
            }
            self.ring.pop_front();
        }
        None
    }
    /// Takes the head out; its customer's deficit.
    pub fn leave(&mut self) -> &mut f64 {
        let c = self.ring[0];
        self.waiting -= self.queues[c].0.pop_front().map_or(0, |_| 1);
        &mut self.queues[c].1
    }
    pub fn turn(&mut self) {
        self.ring.rotate_left(1);
    }
    pub fn lanes(&self) -> usize {
        self.ring.len()
    }
}

/// What gateways tell each other of a customer: the part of its reqs let through. Seven bytes each.
pub struct News {
    pub customer: u64,
    pub plan: usize,
    pub part: f64,
}

impl News {
    pub const MOST: usize = 256 / 7;
    pub fn bytes(&self) -> [u8; 7] {
        let [a, b, c, d, e, ..] = self.customer.to_le_bytes();
        [a, b, c, d, e, self.plan as u8, (self.part * 255.0) as u8]
    }
    pub fn all(body: &[u8]) -> impl Iterator<Item = News> + '_ {
        body.chunks_exact(7).map(|r| News {
            customer: u64::from_le_bytes([r[0], r[1], r[2], r[3], r[4], 0, 0, 0]),
            plan: r[5] as usize,
            part: r[6] as f64 / 255.0,
        })
    }
}

/// Calls to the counter that have no answer yet, by name, in the order of the calls.
#[derive(Debug, Default)]
pub struct Calls(HashMap<u64, VecDeque<Call>>);

impl Calls {
    pub fn put(&mut self, name: u64, call: Call) {
        self.0.entry(name).or_default().push_back(call);
    }
    pub fn take(&mut self, name: u64) -> Option<Call> {
        let line = self.0.get_mut(&name)?;
        let call = line.pop_front();
        if line.is_empty() {
            self.0.remove(&name);
        }
        call
    }
}

#[derive(Debug)]
pub struct Call {
    pub customer: usize,
    pub lease: bool,
    pub epoch: u64,
    pub amount: f64,
    pub units: f64,
    pub joins: Vec<(usize, u64, f64)>,
    pub sent: Timestamp,
}

/// Figures about srvs, in parallel arrays under a dense index.
#[derive(Debug, Default)]
pub struct Srvs {
    pub door: Door,
    pub zone: Vec<u16>,
    pub cell: Vec<u16>,
    pub ready: Vec<bool>,
    pub started_at: Vec<Option<Timestamp>>,
    pub out: Vec<u32>,
    /// Time taken over the frontend's usual, smoothed.
    pub pace: Vec<f64>,
    /// Log likelihood ratio of sick to sound.
    pub evidence: Vec<f64>,
    pub distrust: Vec<f64>,
    /// By srv and plan: the part of the credits left after answers that it is full.
    pub squeeze: Vec<f64>,
    pub plans: usize,
    /// Answers a second, smoothed.
    pub passed: Vec<f64>,
    /// Sends that it may still get while cold.
    pub tokens: Vec<f64>,
}

impl Srvs {
    pub fn enter(&mut self, id: u32) -> (usize, bool) {
        let (i, new) = self.door.enter(id as u64);
        if i == self.ready.len() {
            self.zone.push(0);
            self.cell.push(0);
            self.ready.push(false);
            self.started_at.push(None);
            self.out.push(0);
            for figures in
                [&mut self.pace, &mut self.evidence, &mut self.distrust, &mut self.passed, &mut self.tokens]
            {
                figures.push(0.0);
            }
        }
        (i, new)
    }
    /// An entry of the list; the index of one that is new or started anew.
    pub fn take(&mut self, row: &ServerEntry, plans: usize) -> Option<usize> {
        let (i, new) = self.enter(row.server);
        (self.zone[i], self.cell[i], self.ready[i]) = (row.zone, row.cell, row.state == ServerState::Ready);
        let anew = new || self.started_at[i] != row.started_at;
        if anew {
            self.start(i, row.started_at, plans);
        }
        Some(i).filter(|_| anew)
    }
    /// A process that started anew has nothing of the old one's record.
    pub fn start(&mut self, i: usize, started_at: Option<Timestamp>, plans: usize) {
        (self.started_at[i], self.pace[i]) = (started_at, 1.0);
        (self.evidence[i], self.distrust[i], self.passed[i]) = (0.0, 0.0, 0.0);
        self.plans = plans;
        self.squeeze.resize(self.ready.len() * plans, 1.0);
        self.squeeze[i * plans..(i + 1) * plans].fill(1.0);
    }
    /// Other plans: all figures by plan begin anew.
    pub fn widen(&mut self, plans: usize) {
        if self.plans != plans {
            self.plans = plans;
            self.squeeze = vec![1.0; self.ready.len() * plans];
        }
    }
    pub fn squeeze(&mut self, i: usize, plan: usize) -> &mut f64 {
        &mut self.squeeze[i * self.plans + plan]
    }
    pub fn same(&self, group: DedupScope, a: usize, b: usize) -> bool {
        match group {
            DedupScope::All => true,
            DedupScope::Zone => self.zone[a] == self.zone[b],
            DedupScope::Cell => self.cell[a] == self.cell[b],
        }
    }
    /// The part of the srvs that take new work which stand in a zone.
    pub fn part(&self, zone: u16) -> f64 {
        let there = self.open().filter(|&i| self.zone[i] == zone).count();
        there as f64 / self.open().count().max(1) as f64
    }
    /// The indices of the srvs that take new work.
    pub fn open(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.ready.len()).filter(|&i| self.ready[i])
    }
}

/// All that an instance keeps.
#[derive(Default)]
pub struct Control {
    pub(crate) terms: Terms,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Timestamp,
    pub(crate) began: Timestamp,
    /// Between the last two rounds.
    pub(crate) gap: Span,
    pub(crate) reqs: Slab<Req>,
    pub(crate) door: Door,
    pub(crate) customers: Vec<Customer>,
    pub(crate) srvs: Srvs,
    pub(crate) calls: Calls,
    pub(crate) misses: u32,
    pub(crate) silent: bool,
    pub(crate) crowd: f64,
    /// When a call unanswered last was a sign of a crowd.
    pub(crate) missed: Timestamp,
    /// Counter calls that have ended.
    pub(crate) answers: f64,
    pub(crate) trial_at: Timestamp,
    /// Customers whose part let through peers are yet to hear of.
    pub(crate) news: Vec<usize>,
    pub(crate) tell_at: Timestamp,
    pub(crate) limit: f64,
    pub(crate) decided: Timestamp,
    pub(crate) out: u32,
    /// The same, averaged over the last two seconds.
    pub(crate) used: f64,
    /// Requests sent, by what their admission rested on.
    pub(crate) admissions: [u64; Basis::ALL],
    /// The most that were out in this second.
    pub(crate) peak: f64,
    pub(crate) line: Line,
    /// by frontend: time taken, smoothed.
    pub(crate) usual: Vec<f64>,
    /// by frontend: the time left that most reqs come with, by majority vote, and its votes.
    pub(crate) first_left: Vec<(Span, f64)>,
    /// by frontend: its 95th percentile, smoothed.
    pub(crate) tail: Vec<f64>,
    pub(crate) samples: Vec<Vec<f64>>,
    pub(crate) full: u32,
    /// by plan, and by frontend: the share of answers that a srv is full, smoothed.
    pub(crate) full_plan: Vec<f64>,
    pub(crate) full_frontend: Vec<f64>,
    pub(crate) late_share: f64,
    pub(crate) bad_share: f64,
    /// Further dispatches that may go now.
    pub(crate) further: f64,
    /// Seconds that a call to the counter takes, smoothed.
    pub(crate) slow: f64,
    pub(crate) second_at: Timestamp,
    pub(crate) wakes: Wakes,
    pub(crate) armed: Option<Timestamp>,
    pub(crate) touched: Vec<usize>,
    pub(crate) dirty: Vec<usize>,
    pub(crate) asks: bool,
}

impl Control {
    /// How many requests were sent, by what their admission rested on ([`Basis::NAMES`]).
    pub fn admissions(&self) -> [u64; Basis::ALL] {
        self.admissions
    }
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Whether a customer whose overruns cost more than its reqs earn is in a silence.
    pub(crate) fn dear_silence(&self, c: usize) -> bool {
        let cust = &self.customers[c];
        cust.in_silence(self.now) && self.terms.plans[cust.plan].overrun_cost > 1.0
    }
    /// Has the counter told of those that hold leases, or are to give back what they charged.
    pub(crate) fn refresh(&mut self) {
        let due = |cust: &Customer| cust.leased > 1e-6 || cust.quota.urgent;
        self.dirty.extend((0..self.customers.len()).filter(|&c| due(&self.customers[c])));
    }
    /// Goes by other terms: frontends and plans not met before get the figures of a new instance; what is known of the
    /// others stays.
    pub(crate) fn follow(&mut self, terms: Terms) {
        let fresh = Control::new(terms);
        let target = |t: &Terms, f: usize| t.frontends.get(f).map(|f| f.target);
        for f in (0..fresh.usual.len()).filter(|&f| target(&self.terms, f) != target(&fresh.terms, f)) {
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
    /// Most customers come once, and srvs are replaced for good: who was not here for so long and lacks nothing
    /// goes; so does a srv that takes nothing, once no open req has been there.
    pub(crate) fn forget(&mut self, after: f64) {
        for (c, cust) in self.customers.iter_mut().enumerate() {
            if self.now.since(cust.seen) > after && cust.settled(self.now, &self.terms.plans[cust.plan]) {
                self.door.forget(c);
            }
        }
        for i in (0..self.srvs.ready.len()).filter(|&i| !self.srvs.ready[i] && self.srvs.out[i] == 0) {
            if self.srvs.door.holds(i) && !self.reqs.know(i) {
                self.srvs.door.forget(i);
            }
        }
    }
    /// How many customers and srvs are known, and how many there is room for.
    pub fn sizes(&self) -> [usize; 4] {
        [self.door.ix.len(), self.customers.len(), self.srvs.door.ix.len(), self.srvs.ready.len()]
    }
}

/// Moves a smoothed figure towards a new one by a share of the way.
pub fn blend(old: &mut f64, new: f64, share: f64) {
    *old += (new - *old) * share;
}

/// Puts a value at an index that is there or the next one.
pub fn put_at<T>(all: &mut Vec<T>, i: usize, v: T) {
    match all.get_mut(i) {
        Some(old) => *old = v,
        None => all.push(v),
    }
}
