//! Operations that run once per key, as this gateway drives them: its claims at the voters, what it remembers of its own
//! operations, and what other gateways ask about them. The decisions are in `lupinledge-operations`.

mod byte_budget;
mod claim;
mod counters;
mod perform;
mod progress_queries;
mod stored_answer;
mod voters;

pub use perform::{Ended, Request};
pub use stored_answer::StoredAnswer;

use crate::failure_log::LineLimiter;
use byte_budget::ByteBudget;
use claim::Claim;
use counters::OperationCounters;
use lupinledge_config::Settings;
use lupinledge_gossip::metrics::MetricSink;
use lupinledge_gossip::Gossip;
use lupinledge_messaging::{Node, WireMessage};
use lupinledge_operations::claims::{Action, Claims};
use lupinledge_operations::message::{Message, Progress};
use lupinledge_operations::operation_table::OperationTable;
use lupinledge_operations::record::ClaimId;
use progress_queries::ProgressQueries;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use voters::Location;

/// Bytes of answers that are remembered, of the process's memory.
const ANSWERS: f64 = 0.1;
/// Share of the machine's link for copies of answers that voters keep.
const COPY_SHARE: f64 = 0.03;
/// Operations that are remembered: one gateway's part of a large deployment, with much room.
const OPERATIONS_MOST: usize = 1 << 16;
/// Claims are looked at no sooner and no later than this, seconds.
const WAKE_LEAST: f64 = 0.001;
const WAKE_MOST: f64 = 3600.0;

/// All operations of this process.
pub struct Operations {
    gossip: Rc<Gossip>,
    /// Tells this start of the process from others.
    start: u32,
    /// For copies of answers.
    copies: RefCell<ByteBudget>,
    place: Location,
    claims: RefCell<Claims>,
    memory: RefCell<OperationTable>,
    /// Claims whose requests wait for votes.
    pending: RefCell<HashMap<ClaimId, Rc<Claim>>>,
    asks: ProgressQueries,
    write_metrics: OperationCounters,
    losses: RefCell<LineLimiter>,
    /// Requests that are not over.
    active: Cell<usize>,
    /// A request is over.
    ended: Notify,
    /// When claims are looked at next.
    due: Cell<f64>,
    woken: Notify,
}

impl Operations {
    /// With no operation yet. Another start of the process has another `start` number.
    pub fn start(gossip: Rc<Gossip>, settings: &Settings, start: u32) -> Rc<Operations> {
        let (zone, region) = (settings.zone.clone(), settings.region.clone());
        let place = Location { node: gossip.me(), zone, region };
        let link_bytes = settings.limits.link_mbps * 1e6 / 8.0;
        let answer_bytes = (settings.limits.memory_mb * 1e6 * ANSWERS) as usize;
        let operations = Rc::new(Operations {
            claims: RefCell::new(Claims::new(gossip.now(), gossip.me(), start)),
            gossip,
            start,
            copies: RefCell::new(ByteBudget::new(link_bytes * COPY_SHARE)),
            place,
            memory: RefCell::new(OperationTable::new(OPERATIONS_MOST, answer_bytes)),
            pending: RefCell::default(),
            asks: ProgressQueries::new(start),
            write_metrics: OperationCounters::default(),
            losses: RefCell::default(),
            active: Cell::new(0),
            ended: Notify::new(),
            due: Cell::new(f64::INFINITY),
            woken: Notify::new(),
        });
        tokio::task::spawn_local(operations.clone().drive());
        operations
    }

    /// A message of a voter or of another gateway.
    pub fn handle_message(&self, from: Node, message: Message) {
        match message {
            Message::Vote { .. } => {
                self.with_claims(|claims, now, out| claims.on_message(now, from, message, out))
            }
            Message::AskProgress { key, claim, tag } => {
                let progress = match claim.start == self.start {
                    true => self.memory.borrow_mut().progress(self.gossip.now(), key, claim),
                    false => Progress::Unknown,
                };
                self.send(from, Message::ProgressReply { tag, progress });
            }
            Message::ProgressReply { tag, progress } => self.asks.told(from, tag, progress),
            // for voters only
            Message::Claim { .. } | Message::Release { .. } | Message::Store { .. } => {}
            Message::RequestRecords { .. } | Message::Records { .. } => {}
            Message::IncarnationEnded { .. } | Message::ElectorateUpdate(_) => {}
        }
    }

    /// Waits until no request is claimed, at work or waiting for another one's answer.
    pub async fn all_ended(&self) {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            if self.active.get() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Figures of operations and claims.
    pub fn write_metrics(&self, line: &mut MetricSink) {
        line("operations.known", self.memory.borrow().len() as u64);
        line("operations.answer_bytes", self.memory.borrow().bytes() as u64);
        line("operations.active", self.active.get() as u64);
        line("operations.claims_waiting", self.claims.borrow().waiting() as u64);
        self.write_metrics.each(line);
    }

    /// Does what time alone asks of the claims, for good.
    async fn drive(self: Rc<Self>) {
        loop {
            let due = self.claims.borrow().next_wake();
            self.due.set(due);
            let wait = (due - self.gossip.now()).clamp(WAKE_LEAST, WAKE_MOST);
            tokio::select! {
                biased;
                _ = self.woken.notified() => continue,
                _ = sleep(Duration::from_secs_f64(wait)) => {}
            }
            self.with_claims(|claims, now, out| claims.tick(now, out));
        }
    }

    /// Lets the claims decide something, and carries it out.
    fn with_claims<T>(&self, decide: impl FnOnce(&mut Claims, f64, &mut Vec<Action>) -> T) -> T {
        let mut out = Vec::new();
        let decided = decide(&mut self.claims.borrow_mut(), self.gossip.now(), &mut out);
        out.into_iter().for_each(|order| self.carry_out(order));
        if self.claims.borrow().next_wake() < self.due.get() {
            self.woken.notify_one();
        }
        decided
    }

    fn carry_out(&self, order: Action) {
        let pending = |claim: ClaimId| self.pending.borrow().get(&claim).cloned();
        match order {
            Action::Send(to, message) => self.send(to, message),
            Action::Granted(claim) => pending(claim).into_iter().for_each(|claim| claim.grant()),
            Action::Held { claim, by, fingerprint, answered_at } => {
                pending(claim).into_iter().for_each(|claim| claim.held(by, fingerprint, answered_at))
            }
            Action::Unavailable(claim) => pending(claim).into_iter().for_each(|claim| claim.withdraw()),
        }
    }

    fn send(&self, to: Node, message: Message) {
        self.gossip.post().send(to, &WireMessage::Operation(message));
    }
}
