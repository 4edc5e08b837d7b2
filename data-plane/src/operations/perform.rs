//! Runs one keyed request: its key is claimed, the request is sent to a server, and the answer is stored.
//! Where another claim holds the key, the outcome of that claim's operation is looked up instead.

use super::claim::{Claim, Holder};
use super::counters::increment;
use super::stored_answer::StoredAnswer;
use super::Operations;
use crate::server_protocol::GatewayProtocol;
use lupinledge_messaging::Node;
use lupinledge_operations::claims;
use lupinledge_operations::message::{Message, Progress};
use lupinledge_operations::operation_table::State;
use lupinledge_operations::record::{ClaimId, Fingerprint, Key};
use lupinledge_proxy::exchange::{Answer, Attempt, PendingRequest};
use serde_bytes::ByteBuf;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// A claim may take this share of a request's time, and at most this many seconds.
const CLAIM_TIME_SHARE: f64 = 0.6;
const MAX_CLAIM_SECONDS: f64 = 1.0;
/// Time that other processes have to answer how far an operation is.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before asking again about an operation that is running.
const RUNNING_RETRY: Duration = Duration::from_millis(100);
/// Pause before asking again about an operation that no process knows.
const UNKNOWN_RETRY: Duration = Duration::from_millis(300);
/// Time that an answer needs to reach the client.
const REPLY_TIME: Duration = Duration::from_millis(50);
/// Size in bytes of the largest answer that is sent to a voter for storage.
const MAX_STORED_BYTES: usize = 64 << 10;

/// A keyed request.
pub struct KeyedRequest {
    /// The operation key.
    pub key: Key,
    /// The fingerprint of the request's method, path and body.
    pub fingerprint: Fingerprint,
    /// Seconds for which the key stays claimed.
    pub keep_seconds: f64,
    /// The client's deadline.
    pub deadline: Instant,
    /// Whether its answer may be stored in that zone.
    pub may_be_stored_in: Box<dyn Fn(&str) -> bool>,
}

/// The outcome of a keyed request.
pub enum KeyedOutcome {
    /// The request was handed to the servers' pool; its answer and the dispatches that were made.
    Performed(Answer<GatewayProtocol>, Vec<Attempt>),
    /// The first request with the key got this answer ([`StoredAnswer`]).
    Repeated(Rc<[u8]>),
    /// The first request with the key is still running.
    StillRunning,
    /// The key was used for a different request.
    OtherRequest,
    /// It is not known whether the first request with the key ran.
    Lost,
    /// Not run: too few voters answered in time.
    Unavailable,
    /// Not run: this gateway has too many operations, or the request can no longer be sent anywhere.
    NotSent,
}

/// What this gateway knows about a key.
enum KeyState {
    Nothing,
    Running,
    Ended(KeyedOutcome),
}

/// The outcome of a claim.
enum ClaimOutcome {
    /// A majority of the voters granted it.
    Granted,
    /// The key's operation has this stored answer.
    Answered(Rc<[u8]>),
    /// The key's operation is still running.
    StillRunning,
    /// The key belongs to a different request.
    OtherRequest,
    /// It is not known whether the key's operation ran, for this reason.
    Lost(&'static str),
    /// Too few voters answered in time.
    Unavailable,
    /// The operation of the claim that held the key has not run; the key may be free again.
    ClaimAgain,
}

/// What other processes answered about an operation.
#[derive(Debug, PartialEq)]
enum LookupResult {
    Reported(Progress),
    /// Not all processes that were asked answered in time, and no answer that came said more than that the
    /// operation is unknown.
    Incomplete,
}

impl LookupResult {
    /// Whether the operation has run or may have run.
    fn ended(&self) -> bool {
        matches!(self, LookupResult::Reported(Progress::Answered(_) | Progress::Lost))
    }

    /// Whether the progress of the operation is known.
    fn is_known(&self) -> bool {
        self.ended() || matches!(self, LookupResult::Reported(Progress::Running))
    }
}

/// Counts a request as active until it is dropped.
struct ActiveGuard<'a>(&'a Operations);

impl<'a> ActiveGuard<'a> {
    fn new(operations: &'a Operations) -> ActiveGuard<'a> {
        operations.active.set(operations.active.get() + 1);
        ActiveGuard(operations)
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        self.0.ended.notify_waiters();
    }
}

impl Operations {
    /// Runs a request to its end. `send` hands it to the servers' pool once it may run, or returns `None` if
    /// it can no longer be sent anywhere. The future must not be dropped before its end, or the key stays
    /// claimed.
    pub async fn perform(
        &self,
        request: KeyedRequest,
        send: impl FnOnce() -> Option<PendingRequest<GatewayProtocol>>,
    ) -> KeyedOutcome {
        let _active = ActiveGuard::new(self);
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            match self.local_state(&request) {
                KeyState::Nothing => return self.claim_and_send(&request, send).await,
                KeyState::Ended(ended) => return ended,
                KeyState::Running => {
                    if timeout_at(request.deadline - REPLY_TIME, ended).await.is_err() {
                        return KeyedOutcome::StillRunning;
                    }
                }
            }
        }
    }

    /// Looks up the key's operation in this gateway's memory.
    fn local_state(&self, request: &KeyedRequest) -> KeyState {
        let mut table = self.operation_table.borrow_mut();
        let Some(entry) = table.find(self.gossip.now(), request.key) else { return KeyState::Nothing };
        if entry.fingerprint != request.fingerprint {
            return KeyState::Ended(KeyedOutcome::OtherRequest);
        }
        match &entry.state {
            State::Running => KeyState::Running,
            State::Lost => KeyState::Ended(KeyedOutcome::Lost),
            State::AnswerDropped => KeyState::Nothing,
            State::Answered(answer) => {
                increment(&self.counters.repeated);
                KeyState::Ended(KeyedOutcome::Repeated(answer.clone()))
            }
        }
    }

    /// Claims the key, again if the holder's operation has not run, and sends the request once a claim is
    /// granted.
    async fn claim_and_send(
        &self,
        request: &KeyedRequest,
        send: impl FnOnce() -> Option<PendingRequest<GatewayProtocol>>,
    ) -> KeyedOutcome {
        loop {
            let Some(claim) = self.claim_key(request) else { return KeyedOutcome::NotSent };
            let outcome = self.await_outcome(request, &claim).await;
            self.pending.borrow_mut().remove(&claim.id);
            if matches!(outcome, ClaimOutcome::Granted) {
                increment(&self.counters.granted);
                return self.run(request, claim.id, send).await;
            }
            self.release(claim.id);
            let mut operation_table = self.operation_table.borrow_mut();
            if let ClaimOutcome::Answered(answer) = &outcome {
                // answers the next repeat from memory
                operation_table.record_answer(request.key, claim.id, answer.clone());
            } else {
                operation_table.withdraw(request.key, claim.id);
            }
            drop(operation_table);
            match outcome {
                ClaimOutcome::Granted | ClaimOutcome::ClaimAgain => {}
                ClaimOutcome::Answered(answer) => {
                    increment(&self.counters.repeated);
                    return KeyedOutcome::Repeated(answer);
                }
                ClaimOutcome::StillRunning => return KeyedOutcome::StillRunning,
                ClaimOutcome::OtherRequest => return KeyedOutcome::OtherRequest,
                ClaimOutcome::Lost(why) => {
                    self.record_loss(request.key, why);
                    return KeyedOutcome::Lost;
                }
                ClaimOutcome::Unavailable => {
                    increment(&self.counters.unavailable);
                    return KeyedOutcome::Unavailable;
                }
            }
        }
    }

    /// Claims the key. Returns `None` if there is no room for the operation or there are no voters.
    fn claim_key(&self, request: &KeyedRequest) -> Option<Rc<Claim>> {
        let seconds_left = request.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let voters = self.voters();
        if voters.is_empty() {
            return None;
        }
        let id = self.with_claims(|claims, now, out| {
            let deadline = now + (seconds_left * CLAIM_TIME_SHARE).min(MAX_CLAIM_SECONDS);
            let KeyedRequest { key, fingerprint, keep_seconds, .. } = *request;
            let claim_request =
                claims::ClaimRequest { key, fingerprint, keep_s: keep_seconds as f32, deadline };
            claims.begin(now, claim_request, &voters, out)
        })?;
        let now = self.gossip.now();
        let recorded = self.operation_table.borrow_mut().begin(
            now,
            request.key,
            id,
            request.fingerprint,
            request.keep_seconds,
        );
        if !recorded {
            self.release(id);
            return None;
        }
        let claim = Rc::new(Claim::new(id));
        self.pending.borrow_mut().insert(id, claim.clone());
        Some(claim)
    }

    /// Gives a claim up at the voters.
    fn release(&self, claim: ClaimId) {
        self.with_claims(|claims, now, out| claims.release(now, claim, out));
    }

    /// Waits until the claim is granted, or until the outcome of another claim that holds the key is known.
    async fn await_outcome(&self, request: &KeyedRequest, claim: &Claim) -> ClaimOutcome {
        while !claim.is_granted() && claim.holders().is_empty() {
            if claim.is_withdrawn() {
                return ClaimOutcome::Unavailable;
            }
            claim.changed().await;
        }
        if claim.is_granted() {
            return ClaimOutcome::Granted;
        }
        increment(&self.counters.held);
        let running = Cell::new(false);
        tokio::select! {
            biased;
            _ = claim.until_granted() => ClaimOutcome::Granted,
            outcome = self.follow_holders(request, claim, &running) => outcome,
            _ = sleep_until(request.deadline - REPLY_TIME) => match running.get() {
                true => ClaimOutcome::StillRunning,
                false => ClaimOutcome::Lost("no answer about the operation in time"),
            },
        }
    }

    /// Asks about the operation whose claim holds the key until it has ended. `running` is set by the last
    /// answer.
    async fn follow_holders(
        &self,
        request: &KeyedRequest,
        claim: &Claim,
        running: &Cell<bool>,
    ) -> ClaimOutcome {
        loop {
            let holders = claim.holders();
            if holders.iter().any(|holder| holder.fingerprint != request.fingerprint) {
                return ClaimOutcome::OtherRequest;
            }
            let (holder_id, progress) = self.look_up(request.key, &holders).await;
            match progress {
                LookupResult::Reported(Progress::Answered(answer)) => {
                    return ClaimOutcome::Answered(answer.into_vec().into())
                }
                LookupResult::Reported(Progress::Lost) => {
                    return ClaimOutcome::Lost("its gateway does not know whether it ran")
                }
                LookupResult::Reported(Progress::Running) => {
                    running.set(true);
                    self.give_way(holder_id, claim);
                    sleep(RUNNING_RETRY).await;
                }
                _ if !claim.is_withdrawn() => {
                    running.set(false);
                    sleep(UNKNOWN_RETRY).await;
                }
                // that claim's operation ended without having run, or its gateway stopped: claiming again at
                // the voters shows which
                _ if running.get() => return ClaimOutcome::ClaimAgain,
                LookupResult::Reported(Progress::Withdrawn) => return ClaimOutcome::Unavailable,
                LookupResult::Reported(_) => return ClaimOutcome::Lost("no process knows the operation"),
                LookupResult::Incomplete => return ClaimOutcome::Lost("not all processes answered"),
            }
        }
    }

    /// When two claims split the votes, neither may get a majority: the one with the greater id is given up.
    fn give_way(&self, holder_id: ClaimId, claim: &Claim) {
        if holder_id < claim.id && !claim.is_granted() && !claim.is_withdrawn() {
            claim.mark_withdrawn();
            self.release(claim.id);
        }
    }

    /// Looks up the operation of these claims, of which at most one has run. A claim that is reported as
    /// running may in fact be waiting too, so all claims are looked up before that answer counts.
    async fn look_up(&self, key: Key, holders: &[Holder]) -> (ClaimId, LookupResult) {
        let mut best = (ClaimId::default(), LookupResult::Incomplete);
        for holder in holders {
            let result = self.look_up_one(key, holder).await;
            if result.ended() {
                return (holder.claim_id, result);
            }
            if !best.1.is_known() {
                best = (holder.claim_id, result);
            }
        }
        best
    }

    /// Asks about one claim: first the process most likely to know, then the voters.
    async fn look_up_one(&self, key: Key, holder: &Holder) -> LookupResult {
        let gateway = Some(holder.claim_id.gateway).filter(|node| self.may_answer(*node));
        let first = holder.answered_at.or(gateway);
        let mut result = LookupResult::Reported(Progress::Unknown);
        if let Some(first) = first {
            result = self.query_progress(vec![first], key, holder.claim_id).await;
            if result.is_known() || result == LookupResult::Reported(Progress::Withdrawn) {
                return result;
            }
        }
        let mut others = self.voters();
        others.extend(gateway);
        others.retain(|node| Some(*node) != first);
        match self.query_progress(others, key, holder.claim_id).await {
            // the gateway did not answer, and may know of the operation although no voter does
            LookupResult::Reported(Progress::Unknown) if result == LookupResult::Incomplete => {
                LookupResult::Incomplete
            }
            others => others,
        }
    }

    /// Asks these nodes about a claim's operation.
    async fn query_progress(&self, nodes: Vec<Node>, key: Key, claim: ClaimId) -> LookupResult {
        let nodes: Vec<Node> = nodes.into_iter().filter(|node| *node != self.gossip.me()).collect();
        if nodes.is_empty() {
            return LookupResult::Reported(Progress::Unknown);
        }
        let mut query = self.queries.open(&nodes);
        for node in nodes {
            self.send(node, Message::AskProgress { key, claim, tag: query.tag });
        }
        timeout(QUERY_TIMEOUT, query.answer()).await.map_or(LookupResult::Incomplete, LookupResult::Reported)
    }

    /// Sends the request of a granted claim and stores its answer.
    async fn run(
        &self,
        request: &KeyedRequest,
        claim: ClaimId,
        send: impl FnOnce() -> Option<PendingRequest<GatewayProtocol>>,
    ) -> KeyedOutcome {
        let Some(ticket) = send() else {
            self.withdraw(request.key, claim);
            return KeyedOutcome::NotSent;
        };
        let (answer, attempts) = ticket.answer_with_attempts().await;
        match &answer {
            Answer::Passed(server_answer) | Answer::Failed(server_answer) => {
                match StoredAnswer::encoded(server_answer) {
                    Some(encoded) => self.store_answer(request, claim, encoded),
                    None => self.record_lost_claim(request.key, claim, "its answer can't be stored"),
                }
            }
            Answer::Denied(_) => self.withdraw(request.key, claim),
            Answer::Aborted => self.record_lost_claim(request.key, claim, "no answer from a server"),
        }
        KeyedOutcome::Performed(answer, attempts)
    }

    /// Records that the operation has not run and will not run under this claim.
    fn withdraw(&self, key: Key, claim: ClaimId) {
        self.operation_table.borrow_mut().withdraw(key, claim);
        self.release(claim);
    }

    /// Records that it is not known whether the operation ran.
    fn record_lost_claim(&self, key: Key, claim: ClaimId, why: &'static str) {
        self.operation_table.borrow_mut().mark_lost(key, claim);
        self.claims.borrow_mut().finish(claim);
        self.record_loss(key, why);
    }

    /// Stores an answer, and sends a copy to the nearest voter that may store it.
    fn store_answer(&self, request: &KeyedRequest, claim: ClaimId, answer: Rc<[u8]>) {
        self.operation_table.borrow_mut().record_answer(request.key, claim, answer.clone());
        let granted = self.claims.borrow_mut().finish(claim);
        let within_budget = || self.copy_budget.borrow_mut().take(self.gossip.now(), answer.len());
        if answer.len() > MAX_STORED_BYTES || !within_budget() {
            return;
        }
        let may_keep =
            |node: &Node| self.zone_of(*node).is_some_and(|zone| (request.may_be_stored_in)(&zone));
        if let Some(voter) = granted.into_iter().find(may_keep) {
            let answer = ByteBuf::from(answer.to_vec());
            self.send(voter, Message::Store { key: request.key, claim, answer });
        }
    }

    /// Counts and logs a request whose operation may have run.
    fn record_loss(&self, key: Key, why: &'static str) {
        increment(&self.counters.lost);
        let second = self.gossip.now() as u64;
        if let Some(suppressed) = self.loss_limiter.borrow_mut().admit(second) {
            let key = format!("{:016x}{:016x}", key.0, key.1);
            tracing::warn!(event = "operation_lost", %key, why, untold = suppressed);
        }
    }
}
