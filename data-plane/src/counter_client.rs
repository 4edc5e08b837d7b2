//! The client of the counters, which are kept by the current holder. The calls of one round are sent in one
//! message, and a call without an answer in time fails. A call does not carry the amount but the sum of
//! everything that this process has added to the name, so the next call makes up for one that was lost. A new
//! holder gets a report of what the former one had counted for this process.

use crate::server_protocol::GatewayProtocol;
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

/// Seconds to wait for an answer: a round trip to the farthest region, including one retransmission of a lost
/// segment.
const ANSWER_TIMEOUT: f64 = 0.35;
/// How often calls are checked for missing answers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// The pool that a call belongs to; it may be gone when the answer arrives.
type Pool = Weak<Exchange<GatewayProtocol>>;

/// A pending call of a pool: the name, the amount added, and the resulting sum.
struct Call {
    pool: Pool,
    name: u64,
    amount: f64,
    sum: f64,
}

/// Converts a handover entry to its form on the wire.
fn name_report(entry: HandoverEntry) -> NameReport {
    let HandoverEntry { name, sum, counted_in_total, total, life, store } = entry;
    let store = store.map(|reading| (reading.level, reading.age as f32));
    NameReport { name, sum, counted_in_total, total, life: life as f32, store }
}

/// Sends the counter calls of all pools of this process.
pub struct CounterClient {
    transport: Rc<Transport>,
    /// Distinguishes this start of the process from others.
    incarnation: u32,
    started_at: Instant,
    /// The counters' epoch and its holder; node 0 if there is none.
    holder: Cell<(u64, Node)>,
    /// The sums and totals by name.
    local_sums: RefCell<LocalSums>,
    /// Calls that have not been sent yet: pool, name, amount and life in seconds.
    batch: RefCell<Vec<(Pool, u64, f64, f32)>>,
    /// Calls that have been sent and not answered.
    pending: RefCell<PendingCalls<Vec<Call>>>,
}

impl CounterClient {
    /// Starts without a holder: calls fail at once until there is one. Each start of the process needs a
    /// different `incarnation`.
    pub fn start(transport: Rc<Transport>, incarnation: u32) -> Rc<CounterClient> {
        let client = Rc::new(CounterClient {
            transport,
            incarnation,
            started_at: Instant::now(),
            holder: Cell::default(),
            local_sums: RefCell::default(),
            batch: RefCell::default(),
            pending: RefCell::new(PendingCalls::new(incarnation)),
        });
        tokio::task::spawn_local(client.clone().sweep());
        client
    }

    /// Sets the process that holds the counters from now on. Calls that the former holder has not answered
    /// fail. It may have counted them, so their sums are reported to the new holder all the same.
    pub fn set_holder(&self, epoch: u64, node: Node) {
        if self.holder.replace((epoch, node)) != (epoch, node) {
            let old = self.pending.borrow_mut().drain();
            old.into_iter().for_each(|calls| self.fail(calls, Outcome::TimedOut));
            self.send_report();
        }
    }

    /// A new holder asks for this process's report.
    pub fn on_report_request(&self, epoch: u64, from: Node) {
        if self.holder.get() == (epoch, from) {
            self.send_report();
        }
    }

    /// Sends the holder a report of all sums that this process knows.
    fn send_report(&self) {
        let (incarnation, (epoch, holder)) = (self.incarnation, self.holder.get());
        for HandoverPart { index, count, entries } in
            HandoverPart::split(self.local_sums.borrow().handover(self.now()))
        {
            let reports = entries.into_iter().map(name_report).collect();
            self.transport.send(
                holder,
                &WireMessage::CounterReport { incarnation, reports, epoch, part: (index, count) },
            );
        }
    }

    /// Seconds since the client was started.
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Creates the interface through which one pool's decisions use the counters.
    pub fn counter_for_pool(self: &Rc<CounterClient>, pool: Pool) -> Rc<dyn CounterSide> {
        Rc::new(PoolCounter { client: self.clone(), pool })
    }

    /// Passes the totals of an answer to the pools. An empty list means that the sender is not the holder and
    /// has added nothing.
    pub fn on_totals(&self, from: Node, tag: u64, round: u32, totals: &[NameTotal]) {
        let epoch = Some(epoch_of_round(round, from)).filter(|_| !totals.is_empty());
        let calls = self.pending.borrow_mut().take_answered(from, tag, epoch);
        let Some(calls) = calls else { return };
        if totals.len() != calls.len() {
            return self.fail(calls, Outcome::Full);
        }
        for (call, NameTotal(total, level)) in calls.into_iter().zip(totals) {
            let total = Total { counted: from_fixed(*total), level: level.map(from_fixed) };
            self.local_sums.borrow_mut().record_total(self.now(), call.name, call.sum, total);
            let pool = call.pool.upgrade().into_iter();
            pool.for_each(|p| p.counter_call_ended(call.name, total.counted, total.level, Outcome::Passed));
        }
    }

    /// Fails calls whose answers are overdue, forever.
    async fn sweep(self: Rc<CounterClient>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            loop {
                let due = self.pending.borrow_mut().take_overdue(self.now(), ANSWER_TIMEOUT);
                let Some(calls) = due else { break };
                self.fail(calls, Outcome::TimedOut);
            }
        }
    }

    /// Sends the batched calls to the holder.
    fn flush(&self) {
        let batch = std::mem::take(&mut *self.batch.borrow_mut());
        if batch.is_empty() {
            return;
        }
        let now = self.now();
        let (mut call_sums, mut calls) = (Vec::with_capacity(batch.len()), Vec::with_capacity(batch.len()));
        for (pool, name, amount, life) in batch {
            let sum = self.local_sums.borrow_mut().add(now, name, amount, f64::from(life));
            let Some(sum) = sum else {
                // not counted: the pool uses its own share of that quota, as when the counters are
                // unreachable
                pool.upgrade()
                    .into_iter()
                    .for_each(|p| p.counter_call_ended(name, 0.0, None, Outcome::NoConnection));
                continue;
            };
            call_sums.push((name, to_fixed(sum), life.ceil() as u16));
            calls.push(Call { pool, name, amount, sum });
        }
        if calls.is_empty() {
            return;
        }
        let holder = self.holder.get();
        if holder.1 == 0 {
            return self.fail(calls, Outcome::NoConnection);
        }
        let registered = self.pending.borrow_mut().register(now, holder, calls);
        match registered {
            Ok(tag) => {
                let incarnation = self.incarnation;
                self.transport
                    .send(holder.1, &WireMessage::CounterSums { tag, incarnation, calls: call_sums });
            }
            Err(calls) => self.fail(calls, Outcome::NoConnection),
        }
    }

    /// Fails calls. Amounts that were certainly not counted are taken out of the sums, as their pools will
    /// add them again.
    fn fail(&self, calls: Vec<Call>, outcome: Outcome) {
        for call in calls {
            if outcome != Outcome::TimedOut {
                self.local_sums.borrow_mut().undo(call.name, call.amount);
            }
            call.pool.upgrade().into_iter().for_each(|p| p.counter_call_ended(call.name, 0.0, None, outcome));
        }
    }
}

/// The counter interface of one pool.
struct PoolCounter {
    client: Rc<CounterClient>,
    pool: Pool,
}

impl CounterSide for PoolCounter {
    fn add(&self, name: u64, amount: f64, life: Span) {
        self.client.batch.borrow_mut().push((self.pool.clone(), name, amount, life.secs() as f32));
    }
    fn flush(&self) {
        self.client.flush();
    }
}
