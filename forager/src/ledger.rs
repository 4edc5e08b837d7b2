//! Calls to the counters, which the duty holder keeps: those of one round go out as one word, and an answer that
//! does not come in time is none.

use crate::wire::Trail;
use lupinledge::link::Outcome;
use lupinledge::time::Span;
use lupinledge_comb::exchange::{CounterSide, Exchange};
use lupinledge_wax::{Node, Post, Word};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// A round trip to the farthest region, a lost segment's second try included.
const WAIT: Duration = Duration::from_millis(350);
const SWEEP: Duration = Duration::from_millis(50);
/// Words without an answer; beyond, calls fail at once.
const WAITING_MOST: usize = 4096;

type Pool = Weak<Exchange<Trail>>;

struct Sent {
    tag: u64,
    to: Node,
    at: Instant,
    names: Vec<(Pool, u64)>,
}

/// All calls of this process.
pub struct Ledger {
    post: Rc<Post>,
    holder: Cell<Node>,
    given: Cell<u64>,
    batch: RefCell<Vec<(Pool, u64, f64, f32)>>,
    waiting: RefCell<VecDeque<Sent>>,
}

impl Ledger {
    /// With no holder known yet: calls fail at once.
    pub fn start(post: Rc<Post>) -> Rc<Ledger> {
        let (holder, given) = (Cell::new(0), Cell::new(0));
        let ledger = Ledger { post, holder, given, batch: RefCell::default(), waiting: RefCell::default() };
        let ledger = Rc::new(ledger);
        tokio::task::spawn_local(ledger.clone().sweep());
        ledger
    }

    /// Who holds the counters from here on. What the former one has not answered fails.
    pub fn holder(&self, node: Node) {
        if self.holder.replace(node) != node {
            let old = std::mem::take(&mut *self.waiting.borrow_mut());
            old.into_iter().for_each(|s| fail(s.names, Outcome::TimedOut));
        }
    }

    /// A side of it for the decisions of one pool.
    pub fn account(self: &Rc<Ledger>, pool: Pool) -> Rc<dyn CounterSide> {
        Rc::new(Account { ledger: self.clone(), pool })
    }

    /// Hands on the totals of a word; none: that process is not the holder, and nothing was added.
    pub fn counted(&self, from: Node, tag: u64, totals: &[f64]) {
        let sent = {
            let mut waiting = self.waiting.borrow_mut();
            let at = waiting.iter().position(|s| s.tag == tag && s.to == from);
            at.and_then(|at| waiting.remove(at))
        };
        let Some(sent) = sent else { return };
        if totals.len() != sent.names.len() || totals.iter().any(|t| !t.is_finite()) {
            return fail(sent.names, Outcome::Full);
        }
        for ((pool, name), total) in sent.names.into_iter().zip(totals) {
            pool.upgrade().into_iter().for_each(|p| p.counted(name, *total, Outcome::Passed));
        }
    }

    async fn sweep(self: Rc<Ledger>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            let overdue = |s: &Sent| s.at.elapsed() >= WAIT;
            loop {
                let due = self.waiting.borrow().front().is_some_and(overdue);
                let Some(sent) = due.then(|| self.waiting.borrow_mut().pop_front()).flatten() else { break };
                fail(sent.names, Outcome::TimedOut);
            }
        }
    }

    fn flush(&self) {
        let batch = std::mem::take(&mut *self.batch.borrow_mut());
        if batch.is_empty() {
            return;
        }
        let calls = batch.iter().map(|(_, name, amount, life)| (*name, *amount, *life)).collect();
        let names = batch.into_iter().map(|(pool, name, ..)| (pool, name)).collect();
        let to = self.holder.get();
        if to == 0 || self.waiting.borrow().len() >= WAITING_MOST {
            return fail(names, Outcome::NoConnection);
        }
        let tag = self.given.get() + 1;
        self.given.set(tag);
        self.waiting.borrow_mut().push_back(Sent { tag, to, at: Instant::now(), names });
        self.post.send(to, &Word::Count { tag, calls });
    }
}

fn fail(names: Vec<(Pool, u64)>, how: Outcome) {
    for (pool, name) in names {
        pool.upgrade().into_iter().for_each(|p| p.counted(name, 0.0, how));
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
