//! Calls to the counters, which the duty holder keeps: those of one round go out as one word, and an answer that
//! does not come in time is none. What is told is the sum of all that this process added to a name: the next call
//! mends one that was lost, and a new holder is told at once what the one before knew from here.

use crate::wire::Trail;
use lupinledge::interface::Outcome;
use lupinledge::time::Span;
use lupinledge_counters::handover::{HandoverEntry, HandoverPart};
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::pending_calls::PendingCalls;
use lupinledge_counters::Total;
use lupinledge_messaging::{
    epoch_of_round, from_fixed, to_fixed, NameReport, NameTotal, Node, Transport, WireMessage,
};
use lupinledge_proxy::exchange::{CounterSide, Exchange};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// A round trip to the farthest region, a lost segment's second try included, seconds.
const WAIT: f64 = 0.35;
const SWEEP: Duration = Duration::from_millis(50);

type Pool = Weak<Exchange<Trail>>;

/// One call of a pool: its name, what was added, and the sum with it.
struct Call {
    pool: Pool,
    name: u64,
    amount: f64,
    sum: f64,
}

/// What was told of a name, as it goes over the network.
fn told_name(told: HandoverEntry) -> NameReport {
    let HandoverEntry { name, sum, within, total, life, store } = told;
    let store = store.map(|reading| (reading.level, reading.age as f32));
    NameReport { name, sum, within, total, life: life as f32, store }
}

/// All calls of this process.
pub struct Ledger {
    post: Rc<Transport>,
    incarnation: u32,
    began: Instant,
    holder: Cell<(u64, Node)>,
    own: RefCell<LocalSums>,
    batch: RefCell<Vec<(Pool, u64, f64, f32)>>,
    waiting: RefCell<PendingCalls<Vec<Call>>>,
}

impl Ledger {
    /// With no holder known yet: calls fail at once. Another start of the process has another `incarnation`.
    pub fn start(post: Rc<Transport>, incarnation: u32) -> Rc<Ledger> {
        let ledger = Rc::new(Ledger {
            post,
            incarnation,
            began: Instant::now(),
            holder: Cell::default(),
            own: RefCell::default(),
            batch: RefCell::default(),
            waiting: RefCell::new(PendingCalls::new(incarnation)),
        });
        tokio::task::spawn_local(ledger.clone().sweep());
        ledger
    }

    /// Who holds the counters from here on. What the former one has not answered fails; it may have been counted, so
    /// its sums are told to the new one all the same.
    pub fn holder(&self, epoch: u64, node: Node) {
        if self.holder.replace((epoch, node)) != (epoch, node) {
            let old = self.waiting.borrow_mut().drain();
            old.into_iter().for_each(|calls| self.fail(calls, Outcome::TimedOut));
            self.tell();
        }
    }

    /// A holder has not heard yet what was told before it.
    pub fn asked(&self, epoch: u64, from: Node) {
        if self.holder.get() == (epoch, from) {
            self.tell();
        }
    }

    fn tell(&self) {
        let (incarnation, (epoch, holder)) = (self.incarnation, self.holder.get());
        for HandoverPart { index, count, entries } in
            HandoverPart::split(self.own.borrow().handover(self.now()))
        {
            let told = entries.into_iter().map(told_name).collect();
            self.post
                .send(holder, &WireMessage::CounterReport { incarnation, told, epoch, part: (index, count) });
        }
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// A side of it for the decisions of one pool.
    pub fn account(self: &Rc<Ledger>, pool: Pool) -> Rc<dyn CounterSide> {
        Rc::new(Account { ledger: self.clone(), pool })
    }

    /// Hands on the totals of a word; none: that process is not the holder, and nothing was added.
    pub fn counted(&self, from: Node, tag: u64, round: u32, totals: &[NameTotal]) {
        let epoch = Some(epoch_of_round(round, from)).filter(|_| !totals.is_empty());
        let calls = self.waiting.borrow_mut().take_answered(from, tag, epoch);
        let Some(calls) = calls else { return };
        if totals.len() != calls.len() {
            return self.fail(calls, Outcome::Full);
        }
        for (call, NameTotal(total, level)) in calls.into_iter().zip(totals) {
            let total = Total { counted: from_fixed(*total), level: level.map(from_fixed) };
            self.own.borrow_mut().record_total(self.now(), call.name, call.sum, total);
            let pool = call.pool.upgrade().into_iter();
            pool.for_each(|p| p.counter_call_ended(call.name, total.counted, total.level, Outcome::Passed));
        }
    }

    async fn sweep(self: Rc<Ledger>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            loop {
                let due = self.waiting.borrow_mut().take_overdue(self.now(), WAIT);
                let Some(calls) = due else { break };
                self.fail(calls, Outcome::TimedOut);
            }
        }
    }

    fn flush(&self) {
        let batch = std::mem::take(&mut *self.batch.borrow_mut());
        if batch.is_empty() {
            return;
        }
        let now = self.now();
        let (mut words, mut calls) = (Vec::with_capacity(batch.len()), Vec::with_capacity(batch.len()));
        for (pool, name, amount, life) in batch {
            let sum = self.own.borrow_mut().add(now, name, amount, f64::from(life));
            let Some(sum) = sum else {
                // not counted: the pool keeps to its own part of that quota, as with a counter out of reach
                pool.upgrade()
                    .into_iter()
                    .for_each(|p| p.counter_call_ended(name, 0.0, None, Outcome::NoConnection));
                continue;
            };
            words.push((name, to_fixed(sum), life.ceil() as u16));
            calls.push(Call { pool, name, amount, sum });
        }
        if calls.is_empty() {
            return;
        }
        let holder = self.holder.get();
        if holder.1 == 0 {
            return self.fail(calls, Outcome::NoConnection);
        }
        let asked = self.waiting.borrow_mut().register(now, holder, calls);
        match asked {
            Ok(tag) => {
                let incarnation = self.incarnation;
                self.post.send(holder.1, &WireMessage::CounterSums { tag, incarnation, calls: words });
            }
            Err(calls) => self.fail(calls, Outcome::NoConnection),
        }
    }

    /// What was surely not counted is going to be added again.
    fn fail(&self, calls: Vec<Call>, how: Outcome) {
        for call in calls {
            if how != Outcome::TimedOut {
                self.own.borrow_mut().undo(call.name, call.amount);
            }
            call.pool.upgrade().into_iter().for_each(|p| p.counter_call_ended(call.name, 0.0, None, how));
        }
    }
}

struct Account {
    ledger: Rc<Ledger>,
    pool: Pool,
}

impl CounterSide for Account {
    fn add(&self, name: u64, amount: f64, life: Span) {
        self.ledger.batch.borrow_mut().push((self.pool.clone(), name, amount, life.secs() as f32));
    }
    fn flush(&self) {
        self.ledger.flush();
    }
}
