//! The exchange between clients, servers and the decision module.
//!
//! It turns what both sides report into events, passes all events of one wakeup to the decision module as one round,
//! and carries out the resulting actions.

mod request_invariants;
mod server_table;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::ids::RecentIds;
use lupinledge::control::Control;
use lupinledge::interface::{
    Action, Ended, Event, ListKind, NewRequest, Outcome, ServerEntry, ServerState, Terms,
};
use lupinledge::state::Basis;
use lupinledge::time::{Span, Timestamp};
use lupinledge_invariants::{check, Invariant};
use request_invariants::{may_have_run, RequestInvariants};
use server_table::ServerTable;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::{oneshot, Notify};

/// The message types of one protocol between clients and servers.
pub trait Protocol: 'static {
    /// The parts of a client's request that are forwarded to a server.
    type ForwardedRequest: 'static;
    /// A server's response to a request.
    type ServerResponse: 'static;
}

/// The final answer to a request.
pub enum Answer<P: Protocol> {
    /// A server's successful response.
    Passed(P::ServerResponse),
    /// No dispatch succeeded; the last failure response that a server sent.
    Failed(P::ServerResponse),
    /// The request has not run. The span says when the client should retry; zero means no hint.
    Denied(Span),
    /// The request may have run, and its result is unknown.
    Aborted,
}

/// One dispatch of a request to a server, as passed to the server side.
pub struct Dispatch<P: Protocol> {
    /// The request's id, assigned by the exchange.
    pub request_id: u64,
    /// The index of this dispatch among those of its request, from 0.
    pub attempt: u16,
    /// The server's index.
    pub server: u32,
    /// The server's external name.
    pub server_name: Rc<str>,
    /// The server's address in the latest server list.
    pub addr: SocketAddr,
    /// When the dispatch must have ended.
    pub deadline: Timestamp,
    /// Shared with the other dispatches of the same request.
    pub request: Rc<P::ForwardedRequest>,
}

/// How a dispatch ended.
pub struct DispatchResult<P: Protocol> {
    /// How far the dispatch got. This alone decides whether the request may have run.
    pub outcome: Outcome,
    /// With `Passed` the server's response; with any other outcome the server's failure response, if it may be
    /// forwarded to the client.
    pub response: Option<P::ServerResponse>,
    /// The units billed for it, or zero.
    pub billed_units: f64,
    /// The load that the server reported, for the decision module; may be empty.
    pub load: Vec<f32>,
}

impl<P: Protocol> DispatchResult<P> {
    /// A result that consists of the outcome only.
    pub fn without_response(outcome: Outcome) -> DispatchResult<P> {
        DispatchResult { outcome, response: None, billed_units: 0.0, load: Vec::new() }
    }
}

/// Cancels a dispatch when called: closes its connection and reports no result.
pub type CancelDispatch = Box<dyn FnOnce()>;

/// Sends dispatches to servers.
pub trait ServerSide<P: Protocol> {
    /// Sends a dispatch. Unless it is cancelled, its result is reported to [`Exchange::dispatch_ended`] after this
    /// call has returned.
    fn send(&self, dispatch: Dispatch<P>) -> CancelDispatch;
    /// Closes the idle connections to a server.
    fn close_idle(&self, server: u32);
}

/// Sends calls to the counter.
pub trait CounterSide {
    /// Adds to the total of a name, which is kept for `life`. The result is reported to
    /// [`Exchange::counter_call_ended`].
    fn add(&self, name: u64, amount: f64, life: Span);
    /// Called after the last call of a round.
    fn flush(&self);
}

/// Observes the events and actions of each round without changing them.
pub trait Observer {
    /// Called before the decision module processes the events.
    fn events(&mut self, now: Timestamp, events: &[Event]);
    /// Called before the actions are carried out.
    fn actions(&mut self, now: Timestamp, actions: &[Action]);
}

/// A server's entry in the server list, with its external name.
pub struct ServerListEntry {
    /// Identifies the server across lists.
    pub name: String,
    /// The address at which it accepts connections.
    pub addr: SocketAddr,
    /// The fields for the decision module. The exchange sets the index.
    pub server_entry: ServerEntry,
}

/// How one dispatch of a request ended, for the log of failed requests.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server's external name.
    pub server: Rc<str>,
    /// How it ended.
    pub outcome: Outcome,
    /// From the decision to send it until its end.
    pub duration: Span,
}

/// A dispatch that has not ended.
struct ActiveDispatch {
    server: u32,
    sent_at: Timestamp,
    cancel: CancelDispatch,
    /// Whether its first byte may have been sent to the server.
    started: bool,
}

/// The indexes in the terms that open requests refer to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexesInUse {
    /// Indexes of frontends.
    pub frontends: HashSet<usize>,
    /// Indexes of plans.
    pub plans: HashSet<usize>,
}

/// A request that has no final answer yet, or that still has dispatches that have not ended.
struct OpenRequest<P: Protocol> {
    /// The indexes of its frontend and its plan in the terms.
    frontend: usize,
    plan: usize,
    /// Where the final answer is sent; `None` once it was sent or the client has left.
    reply_to: Option<oneshot::Sender<FinalAnswer<P>>>,
    forwarded: Rc<P::ForwardedRequest>,
    /// The last failure response that a server sent.
    failure_response: Option<P::ServerResponse>,
    deadline: Timestamp,
    /// By attempt; `None` once a dispatch has ended.
    dispatches: Vec<Option<ActiveDispatch>>,
    /// Whether a first byte of the request may have been sent to a server.
    started: bool,
    /// The dispatches that have ended.
    attempts: Vec<Attempt>,
    invariants: RequestInvariants,
}

/// Connects the client side, the server side and the decision module; see the module documentation.
pub struct Exchange<P: Protocol> {
    /// The clock of all timestamps in events and actions.
    pub clock: Clock,
    /// Shared with both sides.
    pub counters: Rc<Counters>,
    terms: RefCell<Rc<Terms>>,
    control: RefCell<Control>,
    observer: RefCell<Option<Box<dyn Observer>>>,
    events: RefCell<Vec<Event>>,
    requests: RefCell<HashMap<u64, OpenRequest<P>>>,
    /// Ids of requests that may be finished; checked at the end of each round.
    maybe_finished: RefCell<Vec<u64>>,
    last_request_id: Cell<u64>,
    recent_ids: RefCell<RecentIds>,
    unanswered: Cell<usize>,
    servers: RefCell<ServerTable>,
    has_list: Cell<bool>,
    timer: Cell<Option<Timestamp>>,
    event_added: Notify,
    answer_sent: Notify,
    server_side: RefCell<Option<Rc<dyn ServerSide<P>>>>,
    counter_side: RefCell<Option<Rc<dyn CounterSide>>>,
}

/// A request that waits for its final answer. Dropping it earlier means that the client has left.
pub struct PendingRequest<P: Protocol> {
    id: u64,
    exchange: Rc<Exchange<P>>,
    answer: oneshot::Receiver<FinalAnswer<P>>,
}

/// The final answer, and the dispatches that had ended by then.
type FinalAnswer<P> = (Answer<P>, Vec<Attempt>);

impl<P: Protocol> PendingRequest<P> {
    /// Waits for the final answer.
    pub async fn answer(mut self) -> Answer<P> {
        self.wait().await.0
    }

    /// Waits for the final answer, and returns with it the dispatches that had ended by then.
    pub async fn answer_with_attempts(mut self) -> (Answer<P>, Vec<Attempt>) {
        self.wait().await
    }

    async fn wait(&mut self) -> FinalAnswer<P> {
        (&mut self.answer).await.unwrap_or((Answer::Aborted, Vec::new()))
    }
}

impl<P: Protocol> Drop for PendingRequest<P> {
    fn drop(&mut self) {
        self.exchange.client_left(self.id);
    }
}

impl<P: Protocol> Exchange<P> {
    /// Creates an exchange without a server side and a counter; see [`Exchange::attach`].
    pub fn new(terms: Terms, clock: Clock, counters: Rc<Counters>) -> Rc<Exchange<P>> {
        Rc::new(Exchange {
            clock,
            counters,
            control: RefCell::new(Control::new(terms.clone())),
            observer: RefCell::new(None),
            terms: RefCell::new(Rc::new(terms)),
            events: RefCell::default(),
            requests: RefCell::default(),
            maybe_finished: RefCell::default(),
            last_request_id: Cell::new(0),
            recent_ids: RefCell::default(),
            unanswered: Cell::new(0),
            servers: RefCell::default(),
            has_list: Cell::new(false),
            timer: Cell::new(None),
            event_added: Notify::new(),
            answer_sent: Notify::new(),
            server_side: RefCell::new(None),
            counter_side: RefCell::new(None),
        })
    }

    /// Shows all later rounds to `observer`.
    pub fn set_observer(&self, observer: Box<dyn Observer>) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Sets the server side, and the counter if there is one. Without a counter each call to it fails at once.
    pub fn attach(&self, server: Rc<dyn ServerSide<P>>, counter: Option<Rc<dyn CounterSide>>) {
        *self.server_side.borrow_mut() = Some(server);
        *self.counter_side.borrow_mut() = counter;
    }

    /// The terms in force.
    pub fn terms(&self) -> Rc<Terms> {
        self.terms.borrow().clone()
    }

    /// Puts other terms in force. The decision module receives them in order with all other events.
    pub fn set_terms(&self, terms: Terms) {
        *self.terms.borrow_mut() = Rc::new(terms.clone());
        self.push_event(Event::Terms(Box::new(terms)));
    }

    /// Adds the indexes that open requests refer to. Terms that give one of them to another frontend or plan would
    /// change the rules of these requests.
    pub fn collect_indexes_in_use(&self, indexes: &mut IndexesInUse) {
        for request in self.requests.borrow().values() {
            indexes.frontends.insert(request.frontend);
            indexes.plans.insert(request.plan);
        }
    }

    /// The number of requests that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Whether a server list has been received.
    pub fn has_server_list(&self) -> bool {
        self.has_list.get()
    }

    /// Whether a client's request id was not seen within the longest time for which a request can be open.
    pub fn first_seen(&self, id: &[u8]) -> bool {
        let longest = self.terms.borrow().frontends.iter().map(|f| f.timeout.secs()).fold(0.0, f64::max);
        self.recent_ids.borrow_mut().insert(id, self.clock.now().secs(), longest)
    }

    /// Accepts a request from the client side and assigns it an internal id.
    pub fn submit(
        self: &Rc<Self>,
        mut new_request: NewRequest,
        forwarded: P::ForwardedRequest,
    ) -> PendingRequest<P> {
        let id = self.last_request_id.get() + 1;
        self.last_request_id.set(id);
        new_request.id = id;
        self.counters.taken.increment();
        self.unanswered.set(self.unanswered.get() + 1);
        let (reply_to, receiver) = oneshot::channel();
        let deadline = self.clock.now() + new_request.time_left;
        let invariants = RequestInvariants::of(&new_request, &self.terms.borrow());
        let request = OpenRequest {
            frontend: new_request.frontend,
            plan: new_request.plan,
            reply_to: Some(reply_to),
            forwarded: Rc::new(forwarded),
            failure_response: None,
            deadline,
            dispatches: Vec::new(),
            started: false,
            attempts: Vec::new(),
            invariants,
        };
        self.requests.borrow_mut().insert(id, request);
        self.push_event(Event::Req(new_request));
        PendingRequest { id, exchange: self.clone(), answer: receiver }
    }

    fn client_left(&self, id: u64) {
        let unanswered = self.requests.borrow_mut().get_mut(&id).and_then(|r| r.reply_to.take());
        if unanswered.is_some() {
            self.counters.left.increment();
            self.count_answered();
            self.push_event(Event::Left { id });
            self.maybe_finished.borrow_mut().push(id);
        }
    }

    fn count_answered(&self) {
        let unanswered = self.unanswered.get();
        check(Invariant::UnansweredCount, unanswered > 0, || "below zero".into());
        self.unanswered.set(unanswered.saturating_sub(1));
        self.answer_sent.notify_waiters();
    }

    /// Waits until each accepted request has its final answer.
    pub async fn all_answered(&self) {
        while self.unanswered.get() > 0 {
            self.answer_sent.notified().await;
        }
    }

    fn answer(&self, id: u64, answer: Answer<P>) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&id) else { return };
        let Some(reply_to) = request.reply_to.take() else { return };
        if matches!(answer, Answer::Denied(_)) {
            let may_run =
                request.invariants.may_have_run || request.dispatches.iter().flatten().any(|d| d.started);
            let detail = || format!("{:?}", request.attempts);
            check(Invariant::RefusedNotRun, !(request.invariants.once && may_run), detail);
        }
        let attempts = std::mem::take(&mut request.attempts);
        drop(requests);
        match answer {
            Answer::Passed(_) => self.counters.passed.increment(),
            Answer::Denied(_) => self.counters.denied.increment(),
            Answer::Failed(_) | Answer::Aborted => self.counters.aborted.increment(),
        }
        let _ = reply_to.send((answer, attempts));
        self.count_answered();
    }

    /// Removes requests that are answered and have no active dispatch. This happens only after the round in which
    /// the decision module learns of the answer: in that round it may still dispatch the request, and each dispatch
    /// must be reported as ended.
    fn remove_finished(&self) {
        let mut requests = self.requests.borrow_mut();
        for id in self.maybe_finished.take() {
            if requests
                .get(&id)
                .is_some_and(|r| r.reply_to.is_none() && r.dispatches.iter().all(Option::is_none))
            {
                requests.remove(&id);
            }
        }
    }

    /// Whether the first byte of a dispatch may be sent. The server side asks right before it sends, which can be
    /// long after [`ServerSide::send`] since a connection has to be opened first: meanwhile the request may have
    /// ended, or its server may have begun to drain.
    pub fn may_begin(&self, dispatch: &Dispatch<P>) -> bool {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&dispatch.request_id).filter(|r| r.reply_to.is_some()) else {
            return false;
        };
        let servers = self.servers.borrow();
        let Some(server) = servers.by_index.get(&dispatch.server).filter(|s| s.accepts_new) else {
            return false;
        };
        if self.clock.now() >= dispatch.deadline {
            return false;
        }
        let others =
            request.dispatches.iter().enumerate().filter(|(nth, _)| *nth != usize::from(dispatch.attempt));
        let other_started = others.filter_map(|(_, d)| d.as_ref()).any(|d| d.started);
        request.invariants.begin(dispatch.server, server.zone, other_started);
        request.started = true;
        if let Some(Some(active)) = request.dispatches.get_mut(usize::from(dispatch.attempt)) {
            active.started = true;
        }
        true
    }

    /// Denies each request of which nothing was sent to a server and that has no active dispatch. The denied requests
    /// are not dispatched any more.
    pub fn deny_waiting(&self, hint: Span) {
        let waiting = |r: &OpenRequest<P>| {
            r.reply_to.is_some() && !r.started && r.dispatches.iter().all(Option::is_none)
        };
        let waiting: Vec<u64> =
            self.requests.borrow().iter().filter(|(_, r)| waiting(r)).map(|(id, _)| *id).collect();
        for id in waiting {
            self.answer(id, Answer::Denied(hint));
            self.push_event(Event::Left { id });
            self.maybe_finished.borrow_mut().push(id);
        }
    }

    /// Whether a server is in the server list. A connection to any other server is of no further use.
    pub fn lists_server(&self, server: u32) -> bool {
        self.servers.borrow().by_index.get(&server).is_some_and(|s| s.listed)
    }

    /// Reports the end of a dispatch; called by the server side.
    pub fn dispatch_ended(&self, request_id: u64, nth: u16, result: DispatchResult<P>) {
        let active = self
            .requests
            .borrow_mut()
            .get_mut(&request_id)
            .and_then(|r| r.dispatches.get_mut(nth as usize)?.take());
        let Some(active) = active else { return };
        self.record_attempt(request_id, &active, result.outcome);
        self.servers.borrow_mut().dispatch_ended(active.server);
        self.counters.dispatch.increment(result.outcome);
        match result.response {
            Some(response) if result.outcome == Outcome::Passed => {
                self.answer(request_id, Answer::Passed(response))
            }
            Some(response) => {
                if let Some(request) = self.requests.borrow_mut().get_mut(&request_id) {
                    request.failure_response = Some(response);
                }
            }
            None => {}
        }
        let closed = self.requests.borrow().get(&request_id).is_none_or(|r| r.reply_to.is_none());
        let took = self.clock.now() - active.sent_at;
        let ended =
            Ended { id: request_id, nth, outcome: result.outcome, took, closed, billed: result.billed_units };
        self.push_event(Event::Ended(ended, result.load));
        self.maybe_finished.borrow_mut().push(request_id);
    }

    /// Adds an ended dispatch to the attempts and the invariants of its request.
    fn record_attempt(&self, request_id: u64, active: &ActiveDispatch, outcome: Outcome) {
        let server = self
            .servers
            .borrow()
            .by_index
            .get(&active.server)
            .map_or_else(|| "gone".into(), |s| s.name.clone());
        let duration = self.clock.now() - active.sent_at;
        if let Some(request) = self.requests.borrow_mut().get_mut(&request_id) {
            let started = outcome != Outcome::Cancelled || active.started;
            request.invariants.may_have_run |= started && may_have_run(outcome);
            request.attempts.push(Attempt { server, outcome, duration });
        }
    }

    /// The number of dispatched requests by the basis of their admission.
    pub fn admissions(&self) -> [u64; Basis::ALL] {
        self.control.borrow().admissions()
    }

    /// Reports the end of a counter call; called by the counter side. With `Passed`, `total` is the new total of the
    /// name, and `level` the remaining quota of the customer if the counter tracks it.
    pub fn counter_call_ended(&self, name: u64, total: f64, level: Option<f64>, outcome: Outcome) {
        self.counters.counter_call.increment(outcome);
        self.push_event(Event::Counted { name, total, level, outcome });
    }

    /// Applies a new server list, or changes to it, from discovery.
    pub fn update_servers(&self, kind: ListKind, entries: Vec<ServerListEntry>) {
        let (mut rows, mut stale) = (Vec::with_capacity(entries.len()), Vec::new());
        {
            let servers = &mut *self.servers.borrow_mut();
            if kind != ListKind::Delta {
                servers.by_index.values_mut().for_each(|s| (s.accepts_new, s.listed) = (false, false));
            }
            for entry in entries {
                let index = servers.index_of(&entry, self.clock.now());
                let Some(server) = servers.by_index.get_mut(&index) else { continue };
                if server.addr != entry.addr {
                    stale.push(index);
                }
                (server.addr, server.started_at, server.zone) = (
                    entry.addr,
                    entry.server_entry.started_at.or(server.started_at),
                    entry.server_entry.zone,
                );
                (server.accepts_new, server.listed) = (
                    entry.server_entry.state == ServerState::Ready,
                    entry.server_entry.state != ServerState::Gone,
                );
                rows.push(ServerEntry { server: index, started_at: server.started_at, ..entry.server_entry });
            }
            stale.extend(servers.by_index.iter().filter(|(_, s)| !s.listed).map(|(index, _)| *index));
            self.has_list.set(self.has_list.get() || !servers.by_index.is_empty());
            servers.remove_gone();
        }
        let server_side = self.server_side.borrow().clone();
        server_side.iter().for_each(|side| stale.iter().for_each(|index| side.close_idle(*index)));
        self.push_event(Event::List { kind, rows });
    }

    fn push_event(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.event_added.notify_one();
    }

    /// Runs rounds forever. One round has all events of one wakeup of the program: this task is queued behind the
    /// tasks that were woken together with the one that pushed the first event.
    pub async fn run(self: Rc<Self>) {
        loop {
            match self.timer.get() {
                None => self.event_added.notified().await,
                Some(at) => tokio::select! {
                    biased;
                    _ = self.event_added.notified() => {}
                    _ = tokio::time::sleep_until(self.clock.instant(at)) => {}
                },
            }
            let now = self.clock.now();
            if self.timer.get().is_some_and(|at| at <= now) {
                self.timer.set(None);
                self.events.borrow_mut().push(Event::Timer { token: 0 });
            }
            let events = std::mem::take(&mut *self.events.borrow_mut());
            if !events.is_empty() {
                self.run_round(now, events);
            }
        }
    }

    fn run_round(&self, now: Timestamp, events: Vec<Event>) {
        self.counters.rounds.increment();
        let mut actions = Vec::new();
        if let Some(observer) = &mut *self.observer.borrow_mut() {
            observer.events(now, &events);
        }
        self.control.borrow_mut().round(now, events, &mut actions);
        if let Some(observer) = &mut *self.observer.borrow_mut() {
            observer.actions(now, &actions);
        }
        for action in actions {
            match action {
                Action::Dispatch { id, server, limit } => self.dispatch(now, id, server, limit),
                Action::Deny { id, back_off } => {
                    self.answer(id, Answer::Denied(back_off));
                    self.maybe_finished.borrow_mut().push(id);
                }
                Action::Abort { id } => {
                    let failure_response =
                        self.requests.borrow_mut().get_mut(&id).and_then(|r| r.failure_response.take());
                    self.answer(id, failure_response.map_or(Answer::Aborted, Answer::Failed));
                    self.maybe_finished.borrow_mut().push(id);
                }
                Action::Cancel { id, nth } => self.cancel(id, nth),
                Action::Count { name, amount, life } => {
                    self.counters.counter_calls.increment();
                    match &*self.counter_side.borrow() {
                        Some(counter) => counter.add(name, amount, life),
                        None => self.counter_call_ended(name, 0.0, None, Outcome::NoConnection),
                    }
                }
                // the decision module keeps a single timer, and a new one is always earlier than the one set
                Action::Timer { after, .. } => self.timer.set(Some(now + after)),
                Action::Close { server } => {
                    let server_side = self.server_side.borrow().clone();
                    server_side.iter().for_each(|side| side.close_idle(server));
                }
                Action::Note { text } => log::info!("note {text}"),
                // the server list is always watched here, and these sockets have no probes and no messages to peers
                Action::Watch { .. } | Action::Fetch | Action::Probe { .. } | Action::Tell { .. } => {}
            }
        }
        self.counter_side.borrow().iter().for_each(|counter| counter.flush());
        self.remove_finished();
    }

    fn dispatch(&self, now: Timestamp, id: u64, server: u32, limit: Span) {
        self.counters.dispatches.increment();
        let mut requests = self.requests.borrow_mut();
        let Some(open_request) = requests.get_mut(&id) else { return };
        let server_side = self.server_side.borrow().clone();
        let target = self.servers.borrow_mut().by_index.get_mut(&server).map(|s| {
            s.active_dispatches += 1;
            (s.name.clone(), s.addr)
        });
        let attempt = open_request.dispatches.len() as u16;
        let deadline =
            if limit == Span::ZERO { open_request.deadline } else { open_request.deadline.min(now + limit) };
        let (request, unanswered) = (open_request.forwarded.clone(), open_request.reply_to.is_some());
        open_request.dispatches.push(Some(ActiveDispatch {
            server,
            sent_at: now,
            cancel: Box::new(|| {}),
            started: false,
        }));
        drop(requests);
        // each dispatch is reported as ended, also one to a server that is gone or of a request that is answered
        let (Some((server_name, addr)), Some(server_side), true) = (target, server_side, unanswered) else {
            return self.dispatch_ended(id, attempt, DispatchResult::without_response(Outcome::NotSent));
        };
        let cancel = server_side.send(Dispatch {
            request_id: id,
            attempt,
            server,
            server_name,
            addr,
            deadline,
            request,
        });
        if let Some(Some(active)) =
            self.requests.borrow_mut().get_mut(&id).and_then(|r| r.dispatches.get_mut(attempt as usize))
        {
            active.cancel = cancel;
        }
    }

    fn cancel(&self, id: u64, nth: u16) {
        let active =
            self.requests.borrow_mut().get_mut(&id).and_then(|r| r.dispatches.get_mut(nth as usize)?.take());
        let Some(active) = active else { return };
        self.record_attempt(id, &active, Outcome::Cancelled);
        (active.cancel)();
        self.servers.borrow_mut().dispatch_ended(active.server);
        self.counters.dispatch.increment(Outcome::Cancelled);
        let closed = self.requests.borrow().get(&id).is_none_or(|r| r.reply_to.is_none());
        let took = self.clock.now() - active.sent_at;
        let ended = Ended { id, nth, outcome: Outcome::Cancelled, took, closed, billed: 0.0 };
        log::debug!("cancelled {id}/{nth} at srv {}", active.server);
        self.push_event(Event::Ended(ended, Vec::new()));
        self.maybe_finished.borrow_mut().push(id);
    }
}

/// The reference that both sides keep to the exchange, which owns them.
pub type WeakExchange<P> = Weak<Exchange<P>>;

#[cfg(test)]
mod tests;
