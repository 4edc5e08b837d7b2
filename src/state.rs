//! The state of the decision module: its containers, without decisions.

use crate::interface::{Action, DedupScope, Frontend, Plan, ServerEntry, ServerState, Terms};
use crate::time::{Span, Timestamp};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Maps external ids to small dense indices; indices of forgotten ids are reused.
#[derive(Debug, Default)]
pub struct IdMap {
    index: HashMap<u64, usize>,
    ids: Vec<u64>,
    free: Vec<usize>,
}

impl IdMap {
    /// The index of an id, and whether it is new.
    pub fn intern(&mut self, id: u64) -> (usize, bool) {
        if let Some(&i) = self.index.get(&id) {
            return (i, false);
        }
        let i = self.free.pop().unwrap_or(self.ids.len());
        self.ids.resize(self.ids.len().max(i + 1), id);
        self.ids[i] = id;
        self.index.insert(id, i);
        (i, true)
    }
    /// Whether an index belongs to an id now.
    pub fn holds(&self, i: usize) -> bool {
        self.ids.get(i).is_some_and(|id| self.index.get(id) == Some(&i))
    }
    /// Frees an index that nothing refers to any more.
    pub fn forget(&mut self, i: usize) {
        if self.holds(i) {
            self.index.remove(&self.ids[i]);
            self.free.push(i);
        }
    }
    /// The id of an index.
    pub fn id(&self, i: usize) -> u64 {
        self.ids[i]
    }
}

/// Values by id, in slots that are reused.
#[derive(Debug)]
pub struct Slab<T> {
    index: HashMap<u64, usize>,
    slots: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab { index: HashMap::new(), slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slab<T> {
    /// Stores a value; returns its slot.
    pub fn put(&mut self, id: u64, v: T) -> usize {
        let i = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[i] = Some(v);
        self.index.insert(id, i);
        i
    }
    /// The value in a slot.
    pub fn at(&self, i: usize) -> Option<&T> {
        self.slots.get(i).and_then(Option::as_ref)
    }
    /// The value in a slot, mutable.
    pub fn at_mut(&mut self, i: usize) -> Option<&mut T> {
        self.slots.get_mut(i).and_then(Option::as_mut)
    }
    /// The slot and value of an id.
    pub fn find(&mut self, id: u64) -> Option<(usize, &mut T)> {
        let i = *self.index.get(&id)?;
        self.slots[i].as_mut().map(|v| (i, v))
    }
    /// Removes an id and its value.
    pub fn drop(&mut self, id: u64) {
        if let Some(i) = self.index.remove(&id) {
            self.slots[i] = None;
            self.free.push(i);
        }
    }
}

/// How far a request has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Stage {
    #[default]
    Arrived,
    /// Waits for the counter.
    Charging,
    /// Waits in the queue.
    Waiting,
    /// Has been dispatched.
    Sent,
    /// Has its final answer, or its client has left.
    Closed,
}

/// A dispatch of a request, emitted or about to be.
#[derive(Debug, Default)]
pub struct Try {
    pub server: usize,
    pub sent: Timestamp,
    /// Whether the action for it was emitted.
    pub emitted: bool,
    pub running: bool,
    /// Whether the server may have run it.
    pub ran: bool,
    pub overdue: bool,
    /// To be cancelled while its request stays open.
    pub recalled: bool,
    /// Whether the cancellation was emitted.
    pub cancelled: bool,
}

/// What the decision to send a request was based on, as regards the quota.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Basis {
    /// The plan has no quota.
    #[default]
    Unlimited,
    /// The total of its own counter call, with an earlier total of the same customer.
    Total,
    /// The first total read for its customer.
    FirstTotal,
    /// This gateway's share of the last total, without waiting for the answer to its call.
    Ahead,
    /// The own estimate, as its call was not answered.
    Unanswered,
    /// The own estimate: the counter was not called.
    Unasked,
}

impl Basis {
    /// The number of variants.
    pub const ALL: usize = 6;
    /// Their names, in the order of the variants.
    pub const NAMES: [&str; Basis::ALL] =
        ["unlimited", "total", "first_total", "ahead", "unanswered", "unasked"];

    /// The basis of a request on arrival, before any answer.
    pub fn arrived(rated: bool, ahead: bool) -> Basis {
        match (rated, ahead) {
            (false, _) => Basis::Unlimited,
            (true, true) => Basis::Ahead,
            (true, false) => Basis::Unasked,
        }
    }

    /// The basis of a request whose counter call has ended.
    pub fn counted(answered: bool, first: bool) -> Basis {
        match (answered, first) {
            (false, _) => Basis::Unanswered,
            (true, true) => Basis::FirstTotal,
            (true, false) => Basis::Total,
        }
    }
}

/// An open request.
#[derive(Debug, Default)]
pub struct Request {
    pub id: u64,
    /// The index of its frontend: the key of the figures by frontend.
    pub frontend: usize,
    /// Its frontend as of its arrival: the terms may since have changed it, or have another at its index.
    pub rules: Frontend,
    pub customer: usize,
    pub units: f64,
    /// Units charged on the counter for it: more than its own units if it also stands for uncharged requests.
    pub charge: f64,
    /// Leases taken on the counter for it.
    pub leased: f64,
    /// When it is ended, shortly before its client's timeout.
    pub expiry: Timestamp,
    /// When its answer becomes late.
    pub target: Timestamp,
    /// The zones whose servers it may be sent to, one bit each.
    pub zones: u64,
    pub stage: Stage,
    /// Counter calls whose answer it waits for.
    pub pending: u8,
    pub basis: Basis,
    /// Whether an answer to its client has begun: it is not sent again then.
    pub begun: bool,
    pub tries: Vec<Try>,
    /// The denial or abort that ends it.
    pub reply: Option<Action>,
}

/// The counter's answer for a name.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    pub total: f64,
    /// What is left of the quota now, if the counter keeps the level.
    pub level: Option<f64>,
}

/// A counter name as seen by this gateway. Amounts not in an answered total are `in_flight` or `due`.
#[derive(Debug, Default)]
pub struct CounterState {
    /// The period that the name covers: it changes with each period.
    pub epoch: u64,
    /// The last total.
    pub total: f64,
    /// When that was read.
    pub seen: Option<Timestamp>,
    /// When the counter was last called for it.
    pub called: Timestamp,
    /// Leases: what this gateway has added to the current name and to the next one.
    pub added: f64,
    pub added_next: f64,
    /// In calls without an answer.
    pub in_flight: f64,
    /// Not sent yet.
    pub due: f64,
    /// Leases of the other gateways lately, smoothed.
    pub others: f64,
    /// Requests that wait for the next total: slot, id, units.
    pub waiters: Vec<(usize, u64, f64)>,
    /// Whether the amount due is to be sent without waiting for another request.
    pub urgent: bool,
    /// Whether a call since the last total was not answered.
    pub unanswered: bool,
}

impl CounterState {
    /// Whether a total was read within the last seconds.
    pub fn fresh(&self, now: Timestamp, secs: f64) -> bool {
        self.seen.is_some_and(|s| now.since(s) < secs)
    }
    /// Switches to the name of an epoch; what was added to it early counts.
    pub fn roll(&mut self, epoch: u64) {
        if self.epoch != epoch {
            self.added = if self.epoch + 1 == epoch { self.added_next } else { 0.0 };
            (self.added_next, self.epoch) = (0.0, epoch);
        }
    }
}

/// A customer of the shared API.
#[derive(Debug, Default)]
pub struct Customer {
    pub plan: usize,
    /// The number of gateways (pools) that its requests come through.
    pub spread: f64,
    pub quota: CounterState,
    pub lease: CounterState,
    /// What the last total left of the quota; `local`: less what was sent from here since.
    pub level: f64,
    pub level_at: Timestamp,
    pub local: f64,
    pub local_at: Timestamp,
    /// Recent use through this gateway, and through all, with exponential decay.
    pub own_use: f64,
    pub all_use: f64,
    /// Requests admitted here and dispatches, until their outcome.
    pub held: f64,
    /// Their leases on the counter, added already or due to be.
    pub leased: f64,
    /// What is left of this gateway's slice of the hard ceiling.
    pub ceiling: f64,
    pub ceiling_at: Timestamp,
    /// The share of its requests admitted while the counter is congested, and when it was last adjusted.
    pub admit: f64,
    pub adjusted_at: Option<Timestamp>,
    /// When its last request came, and whether any came with the usual time left of first tries.
    pub seen: Timestamp,
    pub usual_left: bool,
}

impl Request {
    /// Its dispatches without an outcome.
    pub fn running(&mut self) -> impl Iterator<Item = &mut Try> {
        self.tries.iter_mut().filter(|t| t.running)
    }
}

impl Customer {
    /// Takes plan and spread of its latest request. With another plan its quota starts full, like a new
    /// customer's: requests would otherwise wait for calls that the first plan does not make.
    pub fn update(&mut self, plan: usize, spread: f64, burst: f64) {
        if self.plan != plan {
            (self.plan, self.level, self.local) = (plan, burst, burst);
        }
        self.spread = spread;
    }
    /// What is left of the quota now, refilled at its rate up to the burst.
    pub fn available(&mut self, now: Timestamp, rate: f64, burst: f64) -> f64 {
        self.local = (self.local + rate * now.since(self.local_at)).min(burst);
        self.local_at = now;
        self.local
    }
    /// What is left of this gateway's slice of the hard ceiling, refilled likewise.
    pub fn ceiling_left(&mut self, now: Timestamp, rate: f64, depth: f64) -> f64 {
        let gained = rate / self.spread * now.since(self.ceiling_at);
        self.ceiling = (self.ceiling + gained).min(depth / self.spread);
        self.ceiling_at = now;
        self.ceiling
    }
    /// Takes units from that slice, if they fit.
    pub fn take_ceiling(&mut self, now: Timestamp, p: &Plan, units: f64) -> bool {
        let fits = self.ceiling_left(now, p.ceiling_rate, p.ceiling_burst) >= units;
        self.ceiling -= if fits { units } else { 0.0 };
        fits
    }
    /// Whether it is like a new one: nothing held, in flight or due, quota and ceiling full.
    pub fn is_idle(&mut self, now: Timestamp, p: &Plan) -> bool {
        let q = &self.quota;
        let idle = self.held == 0.0 && self.leased.abs() < 1e-6 && q.in_flight.abs() < 1e-6 && !q.urgent;
        let (slice, depth) =
            (self.ceiling_left(now, p.ceiling_rate, p.ceiling_burst), p.ceiling_burst / self.spread);
        let full = self.available(now, p.rate, p.burst) > p.burst - 1e-6
            && (p.ceiling_rate <= 0.0 || slice > depth - 1e-6);
        idle && full && self.quota.waiters.is_empty() && self.lease.waiters.is_empty()
    }
    /// Whether no total came for a while though one was called for: a single lost answer is no outage.
    pub fn is_unanswered(&self, now: Timestamp) -> bool {
        self.quota.unanswered && now.since(self.level_at) > 0.5
    }
    /// Changes the requests and dispatches held and the leases wanted on the counter.
    pub fn hold(&mut self, more: f64, leased: f64) {
        (self.held, self.leased) = (self.held + more, self.leased + leased);
    }
    /// A customer whose quota is full and whose ceiling slice was empty at `started`.
    pub fn new(
        plan: usize,
        spread: f64,
        burst: f64,
        others: f64,
        now: Timestamp,
        started: Timestamp,
    ) -> Customer {
        Customer {
            plan,
            spread,
            level: burst,
            level_at: now,
            local: burst,
            local_at: now,
            admit: 1.0,
            ceiling_at: started,
            lease: CounterState { others, ..CounterState::default() },
            ..Customer::default()
        }
    }
}

impl Slab<Request> {
    /// Whether an open request has been sent to a server, whatever the outcome.
    pub fn has_tried(&self, server: usize) -> bool {
        self.slots.iter().flatten().any(|r| r.tries.iter().any(|t| t.server == server))
    }
    /// The slots and ids of requests with a dispatch running at a server.
    pub fn sent_to(&self, server: usize) -> Vec<(usize, u64)> {
        let there = |r: &&Request| r.tries.iter().any(|t| t.running && t.server == server);
        (0..self.slots.len()).filter_map(|slot| Some((slot, self.at(slot).filter(there)?.id))).collect()
    }
}

/// When requests are to be reviewed, by slot and id, as slots are reused.
#[derive(Debug, Default)]
pub struct Wakeups(BinaryHeap<Reverse<(Timestamp, usize, u64)>>);

impl Wakeups {
    /// Adds a wakeup.
    pub fn push(&mut self, at: Timestamp, slot: usize, id: u64) {
        self.0.push(Reverse((at, slot, id)));
    }
    /// The earliest wakeup of a request that still exists; earlier ones are dropped.
    pub fn first(&mut self, requests: &Slab<Request>) -> Option<(Timestamp, usize)> {
        while let Some(&Reverse((at, slot, id))) = self.0.peek() {
            if requests.at(slot).is_some_and(|r| r.id == id) {
                return Some((at, slot));
            }
            self.0.pop();
        }
        None
    }
    /// Removes the earliest wakeup.
    pub fn pop(&mut self) {
        self.0.pop();
    }
}

/// Waiting requests: a queue and a deficit per lane, with the non-empty lanes in a ring.
#[derive(Debug, Default)]
pub struct WaitQueue {
    pub waiting: usize,
    ring: VecDeque<usize>,
    queues: Vec<(VecDeque<usize>, f64)>,
}

impl WaitQueue {
    /// Adds a request at the front of its lane.
    pub fn push(&mut self, c: usize, slot: usize) {
        self.queues.resize_with(self.queues.len().max(c + 1), Default::default);
        if self.queues[c].0.is_empty() {
            self.queues[c].1 = 0.0;
            self.ring.retain(|&other| other != c);
            self.ring.push_back(c);
        }
        self.queues[c].0.push_front(slot);
        self.waiting += 1;
    }
    /// The lane whose turn it is, and its first request.
    pub fn head(&mut self) -> Option<(usize, usize)> {
        while let Some(&c) = self.ring.front() {
            if let Some(&slot) = self.queues[c].0.front() {
                return Some((c, slot));
            }
            self.ring.pop_front();
        }
        None
    }
    /// Removes the head; returns its lane's deficit.
    pub fn pop(&mut self) -> &mut f64 {
        let c = self.ring[0];
        self.waiting -= self.queues[c].0.pop_front().map_or(0, |_| 1);
        &mut self.queues[c].1
    }
    /// Passes the turn to the next lane.
    pub fn rotate(&mut self) {
        self.ring.rotate_left(1);
    }
    /// The number of lanes in the ring.
    pub fn lanes(&self) -> usize {
        self.ring.len()
    }
}

/// What gateways send each other about a customer: the share of its requests admitted. Seven bytes each.
pub struct ShareUpdate {
    pub customer: u64,
    pub plan: usize,
    pub share: f64,
}

impl ShareUpdate {
    /// The most that fit into one message.
    pub const MAX: usize = 256 / 7;
    /// The encoded form.
    pub fn bytes(&self) -> [u8; 7] {
        let [a, b, c, d, e, ..] = self.customer.to_le_bytes();
        [a, b, c, d, e, self.plan as u8, (self.share * 255.0) as u8]
    }
    /// All updates of a message.
    pub fn decode(body: &[u8]) -> impl Iterator<Item = ShareUpdate> + '_ {
        body.chunks_exact(7).map(|r| ShareUpdate {
            customer: u64::from_le_bytes([r[0], r[1], r[2], r[3], r[4], 0, 0, 0]),
            plan: r[5] as usize,
            share: r[6] as f64 / 255.0,
        })
    }
}

/// Counter calls without an answer, by name, in the order in which they were made.
#[derive(Debug, Default)]
pub struct Calls(HashMap<u64, VecDeque<Call>>);

impl Calls {
    /// Adds a call.
    pub fn put(&mut self, name: u64, call: Call) {
        self.0.entry(name).or_default().push_back(call);
    }
    /// Removes the oldest call for a name.
    pub fn take(&mut self, name: u64) -> Option<Call> {
        let line = self.0.get_mut(&name)?;
        let call = line.pop_front();
        if line.is_empty() {
            self.0.remove(&name);
        }
        call
    }
}

/// A call to the counter.
#[derive(Debug)]
pub struct Call {
    pub customer: usize,
    /// Whether it is for leases, else for the quota.
    pub lease: bool,
    pub epoch: u64,
    pub amount: f64,
    /// Units of the requests that wait for its answer.
    pub units: f64,
    pub waiters: Vec<(usize, u64, f64)>,
    pub sent: Timestamp,
}

/// State of the servers, in parallel arrays by dense index.
#[derive(Debug, Default)]
pub struct Servers {
    pub ids: IdMap,
    pub zone: Vec<u16>,
    pub cell: Vec<u16>,
    pub ready: Vec<bool>,
    pub started_at: Vec<Option<Timestamp>>,
    /// Dispatches without an outcome.
    pub out: Vec<u32>,
    /// Time taken relative to the frontend's usual time, smoothed.
    pub slowness: Vec<f64>,
    /// Log likelihood ratio of faulty to healthy.
    pub evidence: Vec<f64>,
    /// 1 after a failed test, fading.
    pub distrust: Vec<f64>,
    /// By server and plan: the share of credits left after "full" answers.
    pub throttle: Vec<f64>,
    pub plans: usize,
    /// Answers, fading by a quarter each second.
    pub passed: Vec<f64>,
    /// Sends that a cold server may still get.
    pub tokens: Vec<f64>,
}

impl Servers {
    /// The index of a server, and whether it is new.
    pub fn intern(&mut self, id: u32) -> (usize, bool) {
        let (i, new) = self.ids.intern(id as u64);
        if i == self.ready.len() {
            self.zone.push(0);
            self.cell.push(0);
            self.ready.push(false);
            self.started_at.push(None);
            self.out.push(0);
            for figures in [
                &mut self.slowness,
                &mut self.evidence,
                &mut self.distrust,
                &mut self.passed,
                &mut self.tokens,
            ] {
                figures.push(0.0);
            }
        }
        (i, new)
    }
    /// Applies a list entry; returns the index if the server is new or was restarted.
    pub fn update(&mut self, row: &ServerEntry, plans: usize) -> Option<usize> {
        let (i, new) = self.intern(row.server);
        (self.zone[i], self.cell[i], self.ready[i]) = (row.zone, row.cell, row.state == ServerState::Ready);
        let anew = new || self.started_at[i] != row.started_at;
        if anew {
            self.reset(i, row.started_at, plans);
        }
        Some(i).filter(|_| anew)
    }
    /// Clears the record: a restarted process has none of the old one's faults.
    pub fn reset(&mut self, i: usize, started_at: Option<Timestamp>, plans: usize) {
        (self.started_at[i], self.slowness[i]) = (started_at, 1.0);
        (self.evidence[i], self.distrust[i], self.passed[i]) = (0.0, 0.0, 0.0);
        self.plans = plans;
        self.throttle.resize(self.ready.len() * plans, 1.0);
        self.throttle[i * plans..(i + 1) * plans].fill(1.0);
    }
    /// Resets the figures by plan if the number of plans changes.
    pub fn set_plans(&mut self, plans: usize) {
        if self.plans != plans {
            self.plans = plans;
            self.throttle = vec![1.0; self.ready.len() * plans];
        }
    }
    /// The share of credits left to a plan on a server.
    pub fn throttle(&mut self, i: usize, plan: usize) -> &mut f64 {
        &mut self.throttle[i * self.plans + plan]
    }
    /// Whether two servers share the memory of repeats.
    pub fn same_scope(&self, dedup_scope: DedupScope, a: usize, b: usize) -> bool {
        match dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone[a] == self.zone[b],
            DedupScope::Cell => self.cell[a] == self.cell[b],
        }
    }
    /// The share of a zone in the servers that take new work.
    pub fn zone_share(&self, zone: u16) -> f64 {
        let there = self.open().filter(|&i| self.zone[i] == zone).count();
        there as f64 / self.open().count().max(1) as f64
    }
    /// The indices of the servers that take new work.
    pub fn open(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.ready.len()).filter(|&i| self.ready[i])
    }
}

/// The whole state of an instance.
#[derive(Default)]
pub struct Control {
    pub(crate) terms: Terms,
    pub(crate) rng: fastrand::Rng,
    /// The time of this round, and of the first.
    pub(crate) now: Timestamp,
    pub(crate) started: Timestamp,
    /// Time between the last two rounds.
    pub(crate) gap: Span,
    pub(crate) requests: Slab<Request>,
    /// Indices of the customers.
    pub(crate) ids: IdMap,
    pub(crate) customers: Vec<Customer>,
    pub(crate) servers: Servers,
    pub(crate) calls: Calls,
    /// Counter calls in a row that were not answered.
    pub(crate) misses: u32,
    pub(crate) counter_down: bool,
    /// From 0 to 1: the higher, the fewer requests call the counter.
    pub(crate) congestion: f64,
    /// When an unanswered call last counted as a sign of congestion.
    pub(crate) miss_at: Timestamp,
    /// Counter calls that have ended.
    pub(crate) answers: f64,
    /// When a call may be tried again while the counter is down.
    pub(crate) trial_at: Timestamp,
    /// Customers whose changed admission share is to be sent to the peers.
    pub(crate) updates: Vec<usize>,
    /// When the next such message may go.
    pub(crate) sync_at: Timestamp,
    /// The limit of dispatches out at once, and when it was last adjusted.
    pub(crate) limit: f64,
    pub(crate) limit_at: Timestamp,
    /// Dispatches without an outcome.
    pub(crate) out: u32,
    /// The same, averaged over the last two seconds.
    pub(crate) avg_out: f64,
    /// Requests sent, by the basis of their admission.
    pub(crate) admissions: [u64; Basis::ALL],
    /// The most dispatches without an outcome at once since the limit was last adjusted.
    pub(crate) peak: f64,
    pub(crate) queue: WaitQueue,
    /// By frontend: time taken, smoothed.
    pub(crate) usual: Vec<f64>,
    /// By frontend: the time left that most requests come with, by majority vote, and its votes.
    pub(crate) first_left: Vec<(Span, f64)>,
    /// By frontend: 95th percentile of the time taken, smoothed.
    pub(crate) p95: Vec<f64>,
    /// By frontend: times taken since the limit was last adjusted.
    pub(crate) samples: Vec<Vec<f64>>,
    /// "Full" answers since the limit was last adjusted.
    pub(crate) full: u32,
    /// By plan, and by frontend: the share of "full" answers, smoothed.
    pub(crate) full_plan: Vec<f64>,
    pub(crate) full_frontend: Vec<f64>,
    /// The shares of overdue and of failed dispatches over all servers, smoothed.
    pub(crate) late_share: f64,
    pub(crate) bad_share: f64,
    /// Retries that may be sent now.
    pub(crate) retries: f64,
    /// Seconds that a counter call takes, smoothed.
    pub(crate) call_time: f64,
    /// When the next tick is due.
    pub(crate) tick_at: Timestamp,
    pub(crate) wakeups: Wakeups,
    /// The time of the earliest timer set.
    pub(crate) timer_at: Option<Timestamp>,
    /// Slots of requests that may have actions to emit.
    pub(crate) touched: Vec<usize>,
    /// Customers that may have counter calls to emit.
    pub(crate) dirty: Vec<usize>,
    /// Whether the server list is to be requested.
    pub(crate) ask_list: bool,
}

impl Control {
    /// How many requests were sent, by the basis of their admission ([`Basis::NAMES`]).
    pub fn admissions(&self) -> [u64; Basis::ALL] {
        self.admissions
    }
    /// The terms in force.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Whether the counter does not answer for a customer whose overruns cost more than its requests earn.
    pub(crate) fn costly_outage(&self, c: usize) -> bool {
        let cust = &self.customers[c];
        cust.is_unanswered(self.now) && self.terms.plans[cust.plan].overrun_cost > 1.0
    }
    /// Marks the customers that hold leases or have a charge to give back, so that the counter is called.
    pub(crate) fn refresh(&mut self) {
        let due = |cust: &Customer| cust.leased > 1e-6 || cust.quota.urgent;
        self.dirty.extend((0..self.customers.len()).filter(|&c| due(&self.customers[c])));
    }
    /// Changes the terms. New frontends, and those with another target, get the figures of a new instance; the figures
    /// of the others stay.
    pub(crate) fn apply_terms(&mut self, terms: Terms) {
        let fresh = Control::new(terms);
        let target = |t: &Terms, f: usize| t.frontends.get(f).map(|f| f.target);
        for f in (0..fresh.usual.len()).filter(|&f| target(&self.terms, f) != target(&fresh.terms, f)) {
            put_at(&mut self.usual, f, fresh.usual[f]);
            put_at(&mut self.p95, f, fresh.p95[f]);
            put_at(&mut self.first_left, f, Default::default());
            put_at(&mut self.samples, f, Vec::new());
            put_at(&mut self.full_frontend, f, 0.2);
        }
        self.full_plan.resize(fresh.full_plan.len(), 0.2);
        self.servers.set_plans(fresh.terms.plans.len());
        self.terms = fresh.terms;
    }
    /// Removes customers that were not seen for `after` seconds and are like new ones, and servers that take no work
    /// and that no open request was sent to: most customers come once, and servers are replaced.
    pub(crate) fn evict(&mut self, after: f64) {
        for (c, cust) in self.customers.iter_mut().enumerate() {
            if self.now.since(cust.seen) > after && cust.is_idle(self.now, &self.terms.plans[cust.plan]) {
                self.ids.forget(c);
            }
        }
        for i in (0..self.servers.ready.len()).filter(|&i| !self.servers.ready[i] && self.servers.out[i] == 0)
        {
            if self.servers.ids.holds(i) && !self.requests.has_tried(i) {
                self.servers.ids.forget(i);
            }
        }
    }
    /// Customers known, customer slots, servers known, server slots.
    pub fn sizes(&self) -> [usize; 4] {
        [self.ids.index.len(), self.customers.len(), self.servers.ids.index.len(), self.servers.ready.len()]
    }
}

/// Moves a smoothed value towards a new one by a share of the difference.
pub fn smooth(old: &mut f64, new: f64, share: f64) {
    *old += (new - *old) * share;
}

/// Stores a value at an existing index or the next one.
pub fn put_at<T>(all: &mut Vec<T>, i: usize, v: T) {
    match all.get_mut(i) {
        Some(old) => *old = v,
        None => all.push(v),
    }
}
