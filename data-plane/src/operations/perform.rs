//! The course of one keyed request: its key is claimed, its request is sent to a server, and the answer is kept. Where
//! another claim holds the key, what that one came to is found out instead.

use super::answer::KeptAnswer;
use super::claim::{Claim, Holder};
use super::figures::up;
use super::Operations;
use crate::wire::Trail;
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

/// A claim may take this part of a request's time, and so many seconds at most.
const CLAIM_PART: f64 = 0.6;
const CLAIM_MOST: f64 = 1.0;
/// Others are given so long to say how far an operation is.
const ASK_WAIT: Duration = Duration::from_millis(300);
/// An operation that runs is asked for again after so long.
const RUNNING_PAUSE: Duration = Duration::from_millis(100);
/// An operation that nobody knows is asked for again after so long.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(300);
/// An answer needs so long to be with the client in time.
const REPLY_TIME: Duration = Duration::from_millis(50);
/// Bytes of the largest answer that a voter is given to keep.
const STORED_MOST: usize = 64 << 10;

/// A keyed request.
pub struct Request {
    pub key: Key,
    pub fingerprint: Fingerprint,
    /// Seconds for which the key is to stay taken.
    pub keep: f64,
    /// When its client's time is over.
    pub by: Instant,
    /// Whether its answer may be kept in that zone.
    pub may_be_kept_in: Box<dyn Fn(&str) -> bool>,
}

/// What a keyed request came to.
pub enum Ended {
    /// It was handed to the servers' pool, which answered this; with the dispatches that it made.
    Performed(Answer<Trail>, Vec<Attempt>),
    /// The first request of its key got this answer ([`KeptAnswer`]).
    Repeated(Rc<[u8]>),
    /// The first request of its key is still at work.
    AtWork,
    /// Its key was used for another request.
    OtherRequest,
    /// It is not known whether the first request of its key ran.
    Lost,
    /// Not run: too few voters answered in time.
    Unavailable,
    /// Not run: too many operations are here, or there is nothing to send it to any more.
    NotSent,
}

/// What is known here of a key.
enum Known {
    Nothing,
    Running,
    Ended(Ended),
}

/// What a claim came to.
enum Settled {
    Granted,
    Answered(Rc<[u8]>),
    AtWork,
    OtherRequest,
    Lost(&'static str),
    Unavailable,
    /// The claim that held the key has not run; the key may be free again.
    ClaimAgain,
}

/// What others said of an operation.
#[derive(Debug, PartialEq)]
enum Found {
    Said(Progress),
    /// Not all that were asked answered in time, and none that did knew more.
    Unheard,
}

impl Found {
    /// Has the operation run, or may it have?
    fn ended(&self) -> bool {
        matches!(self, Found::Said(Progress::Answered(_) | Progress::Lost))
    }

    /// Is it known how far the operation is?
    fn tells(&self) -> bool {
        self.ended() || matches!(self, Found::Said(Progress::Running))
    }
}

/// Counts a request until it is over.
struct Active<'a>(&'a Operations);

impl<'a> Active<'a> {
    fn new(operations: &'a Operations) -> Active<'a> {
        operations.active.set(operations.active.get() + 1);
        Active(operations)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        self.0.ended.notify_waiters();
    }
}

impl Operations {
    /// Sees a request to its end. `send` hands it to the servers' pool once it may run; none: there is nothing to send
    /// it to any more. Not to be dropped before its end, or its key stays taken.
    pub async fn perform(
        &self,
        request: Request,
        send: impl FnOnce() -> Option<PendingRequest<Trail>>,
    ) -> Ended {
        let _active = Active::new(self);
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            match self.known(&request) {
                Known::Nothing => return self.claim_and_send(&request, send).await,
                Known::Ended(ended) => return ended,
                Known::Running => {
                    if timeout_at(request.by - REPLY_TIME, ended).await.is_err() {
                        return Ended::AtWork;
                    }
                }
            }
        }
    }

    /// How far the key's operation is here.
    fn known(&self, request: &Request) -> Known {
        let mut memory = self.memory.borrow_mut();
        let Some(operation) = memory.find(self.gossip.now(), request.key) else { return Known::Nothing };
        if operation.fingerprint != request.fingerprint {
            return Known::Ended(Ended::OtherRequest);
        }
        match &operation.state {
            State::Running => Known::Running,
            State::Lost => Known::Ended(Ended::Lost),
            State::AnswerDropped => Known::Nothing,
            State::Answered(answer) => {
                up(&self.figures.repeated);
                Known::Ended(Ended::Repeated(answer.clone()))
            }
        }
    }

    async fn claim_and_send(
        &self,
        request: &Request,
        send: impl FnOnce() -> Option<PendingRequest<Trail>>,
    ) -> Ended {
        loop {
            let Some(claim) = self.begin(request) else { return Ended::NotSent };
            let settled = self.settle(request, &claim).await;
            self.pending.borrow_mut().remove(&claim.id);
            if matches!(settled, Settled::Granted) {
                up(&self.figures.granted);
                return self.run(request, claim.id, send).await;
            }
            self.release(claim.id);
            let mut memory = self.memory.borrow_mut();
            if let Settled::Answered(answer) = &settled {
                // the next repeat finds it here
                memory.record_answer(request.key, claim.id, answer.clone());
            } else {
                memory.withdraw(request.key, claim.id);
            }
            drop(memory);
            match settled {
                Settled::Granted | Settled::ClaimAgain => {}
                Settled::Answered(answer) => {
                    up(&self.figures.repeated);
                    return Ended::Repeated(answer);
                }
                Settled::AtWork => return Ended::AtWork,
                Settled::OtherRequest => return Ended::OtherRequest,
                Settled::Lost(why) => {
                    self.note_loss(request.key, why);
                    return Ended::Lost;
                }
                Settled::Unavailable => {
                    up(&self.figures.unavailable);
                    return Ended::Unavailable;
                }
            }
        }
    }

    /// Claims the key. None: there is no room, or nobody to ask.
    fn begin(&self, request: &Request) -> Option<Rc<Claim>> {
        let left = request.by.saturating_duration_since(Instant::now()).as_secs_f64();
        let voters = self.voters();
        if voters.is_empty() {
            return None;
        }
        let id = self.with_claims(|claims, now, out| {
            let deadline = now + (left * CLAIM_PART).min(CLAIM_MOST);
            let Request { key, fingerprint, keep, .. } = *request;
            let claimed = claims::ClaimRequest { key, fingerprint, keep_s: keep as f32, deadline };
            claims.begin(now, claimed, &voters, out)
        })?;
        let now = self.gossip.now();
        let known = self.memory.borrow_mut().begin(now, request.key, id, request.fingerprint, request.keep);
        if !known {
            self.release(id);
            return None;
        }
        let claim = Rc::new(Claim::new(id));
        self.pending.borrow_mut().insert(id, claim.clone());
        Some(claim)
    }

    fn release(&self, claim: ClaimId) {
        self.with_claims(|claims, now, out| claims.release(now, claim, out));
    }

    /// Waits until the claim is granted, or until it is known what another one came to that holds the key.
    async fn settle(&self, request: &Request, claim: &Claim) -> Settled {
        while !claim.is_granted() && claim.holders().is_empty() {
            if claim.is_withdrawn() {
                return Settled::Unavailable;
            }
            claim.changed().await;
        }
        if claim.is_granted() {
            return Settled::Granted;
        }
        up(&self.figures.held);
        let at_work = Cell::new(false);
        tokio::select! {
            biased;
            _ = claim.until_granted() => Settled::Granted,
            settled = self.find_out(request, claim, &at_work) => settled,
            _ = sleep_until(request.by - REPLY_TIME) => match at_work.get() {
                true => Settled::AtWork,
                false => Settled::Lost("nobody knew in time"),
            },
        }
    }

    /// Asks how far the operation is whose claim holds the key, until that is over. `at_work`: by what was heard last.
    async fn find_out(&self, request: &Request, claim: &Claim, at_work: &Cell<bool>) -> Settled {
        loop {
            let holders = claim.holders();
            if holders.iter().any(|holder| holder.fingerprint != request.fingerprint) {
                return Settled::OtherRequest;
            }
            let (by, progress) = self.look_up(request.key, &holders).await;
            match progress {
                Found::Said(Progress::Answered(answer)) => {
                    return Settled::Answered(answer.into_vec().into())
                }
                Found::Said(Progress::Lost) => return Settled::Lost("its gateway does not know"),
                Found::Said(Progress::Running) => {
                    at_work.set(true);
                    self.yield_to(by, claim);
                    sleep(RUNNING_PAUSE).await;
                }
                _ if !claim.is_withdrawn() => {
                    at_work.set(false);
                    sleep(UNKNOWN_PAUSE).await;
                }
                // that claim ended without a run, or its gateway did: the voters tell which
                _ if at_work.get() => return Settled::ClaimAgain,
                Found::Said(Progress::Withdrawn) => return Settled::Unavailable,
                Found::Said(_) => return Settled::Lost("nobody knows"),
                Found::Unheard => return Settled::Lost("nobody answers"),
            }
        }
    }

    /// Where two claims share the votes, neither may get a majority: the one with the greater number gives up its own.
    fn yield_to(&self, by: ClaimId, claim: &Claim) {
        if by < claim.id && !claim.is_granted() && !claim.is_withdrawn() {
            claim.withdraw();
            self.release(claim.id);
        }
    }

    /// How far the operation is of one of those claims, of which one at most has run. A claim that is said to run may be
    /// one that waits too, so all are asked before that counts.
    async fn look_up(&self, key: Key, holders: &[Holder]) -> (ClaimId, Found) {
        let mut best = (ClaimId::default(), Found::Unheard);
        for holder in holders {
            let found = self.look_up_one(key, holder).await;
            if found.ended() {
                return (holder.by, found);
            }
            if !best.1.tells() {
                best = (holder.by, found);
            }
        }
        best
    }

    async fn look_up_one(&self, key: Key, holder: &Holder) -> Found {
        let gateway = Some(holder.by.gateway).filter(|node| self.may_answer(*node));
        let first = holder.answered_at.or(gateway);
        let mut found = Found::Said(Progress::Unknown);
        if let Some(first) = first {
            found = self.ask(vec![first], key, holder.by).await;
            if found.tells() || found == Found::Said(Progress::Withdrawn) {
                return found;
            }
        }
        let mut others = self.voters();
        others.extend(gateway);
        others.retain(|node| Some(*node) != first);
        match self.ask(others, key, holder.by).await {
            // the gateway may still know what no voter does
            Found::Said(Progress::Unknown) if found == Found::Unheard => Found::Unheard,
            others => others,
        }
    }

    async fn ask(&self, nodes: Vec<Node>, key: Key, claim: ClaimId) -> Found {
        let nodes: Vec<Node> = nodes.into_iter().filter(|node| *node != self.gossip.me()).collect();
        if nodes.is_empty() {
            return Found::Said(Progress::Unknown);
        }
        let mut ask = self.asks.open(&nodes);
        for node in nodes {
            self.send(node, Message::AskProgress { key, claim, tag: ask.tag });
        }
        timeout(ASK_WAIT, ask.answer()).await.map_or(Found::Unheard, Found::Said)
    }

    /// The claim is granted: the request is sent, and what comes of it is kept.
    async fn run(
        &self,
        request: &Request,
        claim: ClaimId,
        send: impl FnOnce() -> Option<PendingRequest<Trail>>,
    ) -> Ended {
        let Some(ticket) = send() else {
            self.withdraw(request.key, claim);
            return Ended::NotSent;
        };
        let (answer, attempts) = ticket.answer_with_attempts().await;
        match &answer {
            Answer::Passed(made) | Answer::Failed(made) => match KeptAnswer::encoded(made) {
                Some(kept) => self.keep(request, claim, kept),
                None => self.lose(request.key, claim, "its answer can't be kept"),
            },
            Answer::Denied(_) => self.withdraw(request.key, claim),
            Answer::Aborted => self.lose(request.key, claim, "no answer of a server"),
        }
        Ended::Performed(answer, attempts)
    }

    /// It has not run, and will not under this claim.
    fn withdraw(&self, key: Key, claim: ClaimId) {
        self.memory.borrow_mut().withdraw(key, claim);
        self.release(claim);
    }

    fn lose(&self, key: Key, claim: ClaimId, why: &'static str) {
        self.memory.borrow_mut().mark_lost(key, claim);
        self.claims.borrow_mut().finish(claim);
        self.note_loss(key, why);
    }

    /// Remembers an answer, and has the nearest voter that may keep it do so too.
    fn keep(&self, request: &Request, claim: ClaimId, answer: Rc<[u8]>) {
        self.memory.borrow_mut().record_answer(request.key, claim, answer.clone());
        let granted = self.claims.borrow_mut().finish(claim);
        let room = || self.copies.borrow_mut().take(self.gossip.now(), answer.len());
        if answer.len() > STORED_MOST || !room() {
            return;
        }
        let may_keep = |node: &Node| self.zone_of(*node).is_some_and(|zone| (request.may_be_kept_in)(&zone));
        if let Some(voter) = granted.into_iter().find(may_keep) {
            let answer = ByteBuf::from(answer.to_vec());
            self.send(voter, Message::Store { key: request.key, claim, answer });
        }
    }

    fn note_loss(&self, key: Key, why: &'static str) {
        up(&self.figures.lost);
        let second = self.gossip.now() as u64;
        if let Some(untold) = self.losses.borrow_mut().turn(second) {
            let key = format!("{:016x}{:016x}", key.0, key.1);
            tracing::warn!(event = "operation_lost", %key, why, untold);
        }
    }
}
