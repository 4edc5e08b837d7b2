//! Operations that run at most once per key, as this gateway drives them: its claims at the voters, its
//! memory of its own operations, and the questions of other gateways about them. The decisions are made in
//! `lupinledge-operations`.

mod byte_budget;
mod claim;
mod counters;
mod perform;
mod progress_queries;
mod stored_answer;
mod voters;

pub use perform::{KeyedOutcome, KeyedRequest};
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

/// Share of the process's memory that may hold stored answers.
const ANSWER_MEMORY_SHARE: f64 = 0.1;
/// Share of the machine's link that may be used for sending copies of answers to voters.
const COPY_SHARE: f64 = 0.03;
/// Largest number of operations that are remembered, with ample room for one gateway's share in a large
/// deployment.
const MAX_OPERATIONS: usize = 1 << 16;
/// Shortest and longest wait in seconds before the claims are processed again.
const MIN_WAKE_WAIT: f64 = 0.001;
const MAX_WAKE_WAIT: f64 = 3600.0;

/// All operations of this process.
pub struct Operations {
    gossip: Rc<Gossip>,
    /// Distinguishes this start of the process from others.
    start: u32,
    /// Limits the copies of answers that are sent to voters.
    copy_budget: RefCell<ByteBudget>,
    location: Location,
    claims: RefCell<Claims>,
    operation_table: RefCell<OperationTable>,
    /// Claims whose requests are waiting for votes.
    pending: RefCell<HashMap<ClaimId, Rc<Claim>>>,
    queries: ProgressQueries,
    counters: OperationCounters,
    /// Limits the log lines about lost operations.
    loss_limiter: RefCell<LineLimiter>,
    /// The number of requests that are not finished.
    active: Cell<usize>,
    /// Notified when a request is finished.
    ended: Notify,
    /// When the claims are processed next.
    due: Cell<f64>,
    /// Notified when the claims have to be processed earlier than planned.
    woken: Notify,
}

impl Operations {
    /// Starts without any operation. Each start of the process needs a different `start` number.
    pub fn start(gossip: Rc<Gossip>, settings: &Settings, start: u32) -> Rc<Operations> {
        let (zone, region) = (settings.zone.clone(), settings.region.clone());
        let location = Location { node: gossip.me(), zone, region };
        let link_bytes = settings.limits.link_mbps * 1e6 / 8.0;
        let answer_bytes = (settings.limits.memory_mb * 1e6 * ANSWER_MEMORY_SHARE) as usize;
        let operations = Rc::new(Operations {
            claims: RefCell::new(Claims::new(gossip.now(), gossip.me(), start)),
            gossip,
            start,
            copy_budget: RefCell::new(ByteBudget::new(link_bytes * COPY_SHARE)),
            location,
            operation_table: RefCell::new(OperationTable::new(MAX_OPERATIONS, answer_bytes)),
            pending: RefCell::default(),
            queries: ProgressQueries::new(start),
            counters: OperationCounters::default(),
            loss_limiter: RefCell::default(),
            active: Cell::new(0),
            ended: Notify::new(),
            due: Cell::new(f64::INFINITY),
            woken: Notify::new(),
        });
        tokio::task::spawn_local(operations.clone().drive());
        operations
    }

    /// Handles a message from a voter or another gateway.
    pub fn handle_message(&self, from: Node, message: Message) {
        match message {
            Message::Vote { .. } => {
                self.with_claims(|claims, now, out| claims.on_message(now, from, message, out))
            }
            Message::AskProgress { key, claim, tag } => {
                let progress = match claim.start == self.start {
                    true => self.operation_table.borrow_mut().progress(self.gossip.now(), key, claim),
                    false => Progress::Unknown,
                };
                self.send(from, Message::ProgressReply { tag, progress });
            }
            Message::ProgressReply { tag, progress } => self.queries.on_answer(from, tag, progress),
            // for voters only
            Message::Claim { .. } | Message::Release { .. } | Message::Store { .. } => {}
            Message::RequestRecords { .. } | Message::Records { .. } => {}
            Message::IncarnationEnded { .. } | Message::ElectorateUpdate(_) => {}
        }
    }

    /// Waits until no request is being claimed, running, or waiting for another request's answer.
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

    /// Writes the metrics of operations and claims.
    pub fn write_metrics(&self, line: &mut MetricSink) {
        line("operations.known", self.operation_table.borrow().len() as u64);
        line("operations.answer_bytes", self.operation_table.borrow().bytes() as u64);
        line("operations.active", self.active.get() as u64);
        line("operations.claims_waiting", self.claims.borrow().waiting() as u64);
        self.counters.write(line);
    }

    /// Processes the claims whenever time alone requires it, forever.
    async fn drive(self: Rc<Self>) {
        loop {
            let due = self.claims.borrow().next_wake();
            self.due.set(due);
            let wait = (due - self.gossip.now()).clamp(MIN_WAKE_WAIT, MAX_WAKE_WAIT);
            tokio::select! {
                biased;
                _ = self.woken.notified() => continue,
                _ = sleep(Duration::from_secs_f64(wait)) => {}
            }
            self.with_claims(|claims, now, out| claims.tick(now, out));
        }
    }

    /// Runs `decide` on the claims and carries out the resulting actions.
    fn with_claims<T>(&self, decide: impl FnOnce(&mut Claims, f64, &mut Vec<Action>) -> T) -> T {
        let mut out = Vec::new();
        let decided = decide(&mut self.claims.borrow_mut(), self.gossip.now(), &mut out);
        out.into_iter().for_each(|action| self.carry_out(action));
        if self.claims.borrow().next_wake() < self.due.get() {
            self.woken.notify_one();
        }
        decided
    }

    /// Carries out one action of the claims.
    fn carry_out(&self, action: Action) {
        let pending = |claim: ClaimId| self.pending.borrow().get(&claim).cloned();
        match action {
            Action::Send(to, message) => self.send(to, message),
            Action::Granted(claim) => pending(claim).into_iter().for_each(|claim| claim.mark_granted()),
            Action::Held { claim, by, fingerprint, answered_at } => {
                pending(claim).into_iter().for_each(|claim| claim.add_holder(by, fingerprint, answered_at))
            }
            Action::Unavailable(claim) => pending(claim).into_iter().for_each(|claim| claim.mark_withdrawn()),
        }
    }

    /// Sends a message to a voter or another gateway.
    fn send(&self, to: Node, message: Message) {
        self.gossip.post().send(to, &WireMessage::Operation(message));
    }
}
