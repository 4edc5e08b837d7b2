//! Where client side and server side meet. The exchange turns what either side reports into events, plays all
//! events of one wakeup as one round of the decisions, and carries the actions out on the other side.

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
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::{oneshot, Notify};

/// What one wire towards clients and servers has of its own.
pub trait Protocol: 'static {
    /// What goes on from the client to a srv.
    type ForwardedRequest: 'static;
    /// What a srv made for a req.
    type ServerResponse: 'static;
}

/// The final answer to a req.
pub enum Answer<W: Protocol> {
    /// What a srv made.
    Passed(W::ServerResponse),
    /// No srv passed it; what the last of those that answered all the same said of it.
    Failed(W::ServerResponse),
    /// Not run, with a hint when to come back; zero is none.
    Denied(Span),
    /// It may have run, and nothing is known of it.
    Aborted,
}

/// One dispatch, for the server side.
pub struct Dispatch<W: Protocol> {
    /// The req's id, as the exchange gave it.
    pub request_id: u64,
    /// Which of its req's dispatches it is, from 0.
    pub attempt: u16,
    /// The srv's index.
    pub server: u32,
    /// The srv's outside name.
    pub server_name: Rc<str>,
    /// The srv's address by the last list.
    pub addr: SocketAddr,
    /// When it has to be over.
    pub deadline: Timestamp,
    /// Shared with its req's other dispatches.
    pub request: Rc<W::ForwardedRequest>,
}

/// How a dispatch ended.
pub struct DispatchResult<W: Protocol> {
    /// By how far it came: whether it may have run is told by this alone.
    pub outcome: Outcome,
    /// With `Passed` what the srv made, with any other outcome its own answer that tells of the failure, if it
    /// is one that the client may get.
    pub response: Option<W::ServerResponse>,
    /// Its billed units, or zero.
    pub billed_units: f64,
    /// What the srv told of its load, for the decisions; may be empty.
    pub load: Vec<f32>,
}

impl<W: Protocol> DispatchResult<W> {
    /// An end that tells nothing more.
    pub fn without_response(outcome: Outcome) -> DispatchResult<W> {
        DispatchResult { outcome, response: None, billed_units: 0.0, load: Vec::new() }
    }
}

/// Stops a dispatch when called: closes its connection, reports nothing.
pub type CancelDispatch = Box<dyn FnOnce()>;

/// What takes dispatches to srvs.
pub trait ServerSide<W: Protocol> {
    /// Sends a dispatch; its end comes to [`Exchange::dispatch_ended`], later than this call, unless it is stopped.
    fn send(&self, d: Dispatch<W>) -> CancelDispatch;
    /// Closes the idle connections to a srv.
    fn close_idle(&self, srv: u32);
}

/// What takes calls to the counter.
pub trait CounterSide {
    /// Adds to a name's total, which is kept for `life`; the answer comes to [`Exchange::counter_call_ended`].
    fn add(&self, name: u64, amount: f64, life: Span);
    /// All calls of a round are there.
    fn flush(&self);
}

/// Shown the events and actions of each round; changes neither.
pub trait Observer {
    /// Before the decisions play them.
    fn events(&mut self, now: Timestamp, events: &[Event]);
    /// Before they are carried out.
    fn actions(&mut self, now: Timestamp, actions: &[Action]);
}

/// A srv's entry in the list, by its outside name.
pub struct ServerListEntry {
    /// By it the exchange knows the srv again.
    pub name: String,
    /// Where it takes connections.
    pub addr: SocketAddr,
    /// The rest, for the decisions; the index in it is the exchange's to fill.
    pub server_entry: ServerEntry,
}

/// How one dispatch of a request ended, for the log of a failed request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The srv's outside name.
    pub server: Rc<str>,
    /// How it ended.
    pub outcome: Outcome,
    /// From the decision to send it until its end.
    pub duration: Span,
}

struct Out {
    server: u32,
    sent: Timestamp,
    stop: CancelDispatch,
    /// Its first byte may have gone to the srv.
    begun: bool,
}

struct Open<W: Protocol> {
    answer: Option<oneshot::Sender<Final<W>>>,
    request: Rc<W::ForwardedRequest>,
    /// The last srv's own answer that tells of a failure.
    failed: Option<W::ServerResponse>,
    ends: Timestamp,
    tries: Vec<Option<Out>>,
    /// A first byte of it went to a srv.
    begun: bool,
    /// The dispatches that have ended.
    attempts: Vec<Attempt>,
    promises: RequestInvariants,
}

/// The meeting of both sides; see the module.
pub struct Exchange<W: Protocol> {
    /// The time that all points are by.
    pub clock: Clock,
    /// Shared with both sides.
    pub counters: Rc<Counters>,
    terms: RefCell<Rc<Terms>>,
    control: RefCell<Control>,
    observer: RefCell<Option<Box<dyn Observer>>>,
    events: RefCell<Vec<Event>>,
    open: RefCell<HashMap<u64, Open<W>>>,
    /// Reqs that may be over; looked at when a round's actions are done.
    done: RefCell<Vec<u64>>,
    taken: Cell<u64>,
    ids: RefCell<RecentIds>,
    unanswered: Cell<usize>,
    srvs: RefCell<ServerTable>,
    listed: Cell<bool>,
    timer: Cell<Option<Timestamp>>,
    woken: Notify,
    answered: Notify,
    server_side: RefCell<Option<Rc<dyn ServerSide<W>>>>,
    counter_side: RefCell<Option<Rc<dyn CounterSide>>>,
}

/// A req that waits for its final answer; dropped before that, its client has left.
pub struct PendingRequest<W: Protocol> {
    id: u64,
    exchange: Rc<Exchange<W>>,
    answer: oneshot::Receiver<Final<W>>,
}

/// The final answer, and the dispatches that had ended by then.
type Final<W> = (Answer<W>, Vec<Attempt>);

impl<W: Protocol> PendingRequest<W> {
    /// Waits for the final answer.
    pub async fn answer(mut self) -> Answer<W> {
        self.with_attempts().await.0
    }

    /// Waits for the final answer; with it, how each dispatch that had ended by then did so.
    pub async fn answer_with_attempts(mut self) -> (Answer<W>, Vec<Attempt>) {
        self.with_attempts().await
    }

    async fn with_attempts(&mut self) -> Final<W> {
        (&mut self.answer).await.unwrap_or((Answer::Aborted, Vec::new()))
    }
}

impl<W: Protocol> Drop for PendingRequest<W> {
    fn drop(&mut self) {
        self.exchange.left(self.id);
    }
}

impl<W: Protocol> Exchange<W> {
    /// One with neither side yet, see [`Exchange::attach`].
    pub fn new(terms: Terms, clock: Clock, counters: Rc<Counters>) -> Rc<Exchange<W>> {
        Rc::new(Exchange {
            clock,
            counters,
            control: RefCell::new(Control::new(terms.clone())),
            observer: RefCell::new(None),
            terms: RefCell::new(Rc::new(terms)),
            events: RefCell::default(),
            open: RefCell::default(),
            done: RefCell::default(),
            taken: Cell::new(0),
            ids: RefCell::default(),
            unanswered: Cell::new(0),
            srvs: RefCell::default(),
            listed: Cell::new(false),
            timer: Cell::new(None),
            woken: Notify::new(),
            answered: Notify::new(),
            server_side: RefCell::new(None),
            counter_side: RefCell::new(None),
        })
    }

    /// Shows all rounds from now on.
    pub fn set_observer(&self, observer: Box<dyn Observer>) {
        *self.observer.borrow_mut() = Some(observer);
    }

    /// Gives it its server side, and a counter if there is one; without, each call fails at once.
    pub fn attach(&self, server: Rc<dyn ServerSide<W>>, counter: Option<Rc<dyn CounterSide>>) {
        *self.server_side.borrow_mut() = Some(server);
        *self.counter_side.borrow_mut() = counter;
    }

    /// The terms in force.
    pub fn terms(&self) -> Rc<Terms> {
        self.terms.borrow().clone()
    }

    /// Other terms are in force from here on; the decisions hear of them in the order of all events.
    pub fn set_terms(&self, terms: Terms) {
        *self.terms.borrow_mut() = Rc::new(terms.clone());
        self.tell(Event::Terms(Box::new(terms)));
    }

    /// Reqs that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Whether any list of srvs is there.
    pub fn has_server_list(&self) -> bool {
        self.listed.get()
    }

    /// Whether an id from outside was not had while a req under it could be open.
    pub fn first_seen(&self, id: &[u8]) -> bool {
        let longest = self.terms.borrow().frontends.iter().map(|f| f.timeout.secs()).fold(0.0, f64::max);
        self.ids.borrow_mut().insert(id, self.clock.now().secs(), longest)
    }

    /// A req from the client side; ids from outside stop here.
    pub fn submit(
        self: &Rc<Self>,
        mut new_request: NewRequest,
        request: W::ForwardedRequest,
    ) -> PendingRequest<W> {
        let id = self.taken.get() + 1;
        self.taken.set(id);
        new_request.id = id;
        self.counters.taken.up();
        self.unanswered.set(self.unanswered.get() + 1);
        let (answer, wait) = oneshot::channel();
        let ends = self.clock.now() + new_request.time_left;
        let promises = RequestInvariants::of(&new_request, &self.terms.borrow());
        let open = Open {
            answer: Some(answer),
            request: Rc::new(request),
            failed: None,
            ends,
            tries: Vec::new(),
            begun: false,
            attempts: Vec::new(),
            promises,
        };
        self.open.borrow_mut().insert(id, open);
        self.tell(Event::Req(new_request));
        PendingRequest { id, exchange: self.clone(), answer: wait }
    }

    fn left(&self, id: u64) {
        let unanswered = self.open.borrow_mut().get_mut(&id).and_then(|o| o.answer.take());
        if unanswered.is_some() {
            self.counters.left.up();
            self.settled();
            self.tell(Event::Left { id });
            self.done.borrow_mut().push(id);
        }
    }

    fn settled(&self) {
        let unanswered = self.unanswered.get();
        check(Invariant::UnansweredCount, unanswered > 0, || "below zero".into());
        self.unanswered.set(unanswered.saturating_sub(1));
        self.answered.notify_waiters();
    }

    /// Waits until each req taken has its final answer.
    pub async fn all_answered(&self) {
        while self.unanswered.get() > 0 {
            self.answered.notified().await;
        }
    }

    fn answer(&self, id: u64, answer: Answer<W>) {
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&id) else { return };
        let Some(to) = o.answer.take() else { return };
        if matches!(answer, Answer::Denied(_)) {
            let may_run = o.promises.may_have_run || o.tries.iter().flatten().any(|t| t.begun);
            let detail = || format!("{:?}", o.attempts);
            check(Invariant::RefusedNotRun, !(o.promises.once && may_run), detail);
        }
        let attempts = std::mem::take(&mut o.attempts);
        drop(open);
        match answer {
            Answer::Passed(_) => self.counters.passed.up(),
            Answer::Denied(_) => self.counters.denied.up(),
            Answer::Failed(_) | Answer::Aborted => self.counters.aborted.up(),
        }
        let _ = to.send((answer, attempts));
        self.settled();
    }

    /// Drops what is answered and has nothing out any more, once the decisions have heard of it: in the round
    /// that tells them they may still dispatch it, and each dispatch has to be given its end.
    fn forget_done(&self) {
        let mut open = self.open.borrow_mut();
        for id in self.done.take() {
            if open.get(&id).is_some_and(|o| o.answer.is_none() && o.tries.iter().all(Option::is_none)) {
                open.remove(&id);
            }
        }
    }

    /// Asked before a dispatch's first byte, which may come long after it was sent for: a connection has to
    /// come up first, and meanwhile the req may have ended or its srv begun to drain.
    pub fn may_begin(&self, d: &Dispatch<W>) -> bool {
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&d.request_id).filter(|o| o.answer.is_some()) else { return false };
        let srvs = self.srvs.borrow();
        let Some(srv) = srvs.by_index.get(&d.server).filter(|s| s.takes_new) else { return false };
        if self.clock.now() >= d.deadline {
            return false;
        }
        let others = o.tries.iter().enumerate().filter(|(nth, _)| *nth != usize::from(d.attempt));
        let other_begun = others.filter_map(|(_, t)| t.as_ref()).any(|t| t.begun);
        o.promises.begin(d.server, srv.zone, other_begun);
        o.begun = true;
        if let Some(Some(out)) = o.tries.get_mut(usize::from(d.attempt)) {
            out.begun = true;
        }
        true
    }

    /// Denies each req of which nothing went to a srv, and nothing is about to; none of these is dispatched any more.
    pub fn deny_waiting(&self, hint: Span) {
        let idle = |o: &Open<W>| o.answer.is_some() && !o.begun && o.tries.iter().all(Option::is_none);
        let idle: Vec<u64> = self.open.borrow().iter().filter(|(_, o)| idle(o)).map(|(id, _)| *id).collect();
        for id in idle {
            self.answer(id, Answer::Denied(hint));
            self.tell(Event::Left { id });
            self.done.borrow_mut().push(id);
        }
    }

    /// Whether a srv is in the list: a connection to one that is not is of no further use.
    pub fn lists_server(&self, srv: u32) -> bool {
        self.srvs.borrow().by_index.get(&srv).is_some_and(|s| s.listed)
    }

    /// The end of a dispatch, from the server side.
    pub fn dispatch_ended(&self, req: u64, nth: u16, back: DispatchResult<W>) {
        let out = self.open.borrow_mut().get_mut(&req).and_then(|o| o.tries.get_mut(nth as usize)?.take());
        let Some(out) = out else { return };
        self.note_attempt(req, &out, back.outcome);
        self.srvs.borrow_mut().back(out.server);
        self.counters.dispatch.up(back.outcome);
        match back.response {
            Some(made) if back.outcome == Outcome::Passed => self.answer(req, Answer::Passed(made)),
            Some(made) => {
                if let Some(o) = self.open.borrow_mut().get_mut(&req) {
                    o.failed = Some(made);
                }
            }
            None => {}
        }
        let closed = self.open.borrow().get(&req).is_none_or(|o| o.answer.is_none());
        let took = self.clock.now() - out.sent;
        let end = Ended { id: req, nth, outcome: back.outcome, took, closed, billed: back.billed_units };
        self.tell(Event::Ended(end, back.load));
        self.done.borrow_mut().push(req);
    }

    /// Keeps what a dispatch that has ended tells of its request.
    fn note_attempt(&self, req: u64, out: &Out, outcome: Outcome) {
        let server =
            self.srvs.borrow().by_index.get(&out.server).map_or_else(|| "gone".into(), |s| s.name.clone());
        let duration = self.clock.now() - out.sent;
        if let Some(o) = self.open.borrow_mut().get_mut(&req) {
            let begun = outcome != Outcome::Cancelled || out.begun;
            o.promises.may_have_run |= begun && may_have_run(outcome);
            o.attempts.push(Attempt { server, outcome, duration });
        }
    }

    /// How many requests were sent, by what their admission rested on.
    pub fn admissions(&self) -> [u64; Basis::ALL] {
        self.control.borrow().admissions()
    }

    /// The end of a counter's call, from the counter side: with `Passed` the name's new total, and what is left of the
    /// customer's quota where the counter keeps that.
    pub fn counter_call_ended(&self, name: u64, total: f64, level: Option<f64>, outcome: Outcome) {
        self.counters.counter_call.up(outcome);
        self.tell(Event::Counted { name, total, level, outcome });
    }

    /// News of the list, from discovery.
    pub fn update_servers(&self, kind: ListKind, entries: Vec<ServerListEntry>) {
        let (mut rows, mut stale) = (Vec::with_capacity(entries.len()), Vec::new());
        {
            let srvs = &mut *self.srvs.borrow_mut();
            if kind != ListKind::Delta {
                srvs.by_index.values_mut().for_each(|s| (s.takes_new, s.listed) = (false, false));
            }
            for e in entries {
                let i = srvs.enter(&e, self.clock.now());
                let Some(s) = srvs.by_index.get_mut(&i) else { continue };
                if s.addr != e.addr {
                    stale.push(i);
                }
                (s.addr, s.born, s.zone) =
                    (e.addr, e.server_entry.started_at.or(s.born), e.server_entry.zone);
                (s.takes_new, s.listed) =
                    (e.server_entry.state == ServerState::Ready, e.server_entry.state != ServerState::Gone);
                rows.push(ServerEntry { server: i, started_at: s.born, ..e.server_entry });
            }
            stale.extend(srvs.by_index.iter().filter(|(_, s)| !s.listed).map(|(i, _)| *i));
            self.listed.set(self.listed.get() || !srvs.by_index.is_empty());
            srvs.forget_gone();
        }
        let server = self.server_side.borrow().clone();
        server.iter().for_each(|s| stale.iter().for_each(|i| s.close_idle(*i)));
        self.tell(Event::List { kind, rows });
    }

    fn tell(&self, e: Event) {
        self.events.borrow_mut().push(e);
        self.woken.notify_one();
    }

    /// Plays rounds for good. All that one wakeup of the program brought is there when this task has its
    /// turn, since it was put behind the tasks that were woken with the one that told it.
    pub async fn run(self: Rc<Self>) {
        loop {
            match self.timer.get() {
                None => self.woken.notified().await,
                Some(at) => tokio::select! {
                    biased;
                    _ = self.woken.notified() => {}
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
                self.round(now, events);
            }
        }
    }

    fn round(&self, now: Timestamp, events: Vec<Event>) {
        self.counters.rounds.up();
        let mut actions = Vec::new();
        if let Some(o) = &mut *self.observer.borrow_mut() {
            o.events(now, &events);
        }
        self.control.borrow_mut().round(now, events, &mut actions);
        if let Some(o) = &mut *self.observer.borrow_mut() {
            o.actions(now, &actions);
        }
        for action in actions {
            match action {
                Action::Dispatch { id, server, limit } => self.dispatch(now, id, server, limit),
                Action::Deny { id, back_off } => {
                    self.answer(id, Answer::Denied(back_off));
                    self.done.borrow_mut().push(id);
                }
                Action::Abort { id } => {
                    let failed = self.open.borrow_mut().get_mut(&id).and_then(|o| o.failed.take());
                    self.answer(id, failed.map_or(Answer::Aborted, Answer::Failed));
                    self.done.borrow_mut().push(id);
                }
                Action::Cancel { id, nth } => self.cancel(id, nth),
                Action::Count { name, amount, life } => {
                    self.counters.counter_calls.up();
                    match &*self.counter_side.borrow() {
                        Some(counter) => counter.add(name, amount, life),
                        None => self.counter_call_ended(name, 0.0, None, Outcome::NoConnection),
                    }
                }
                // one timer, as the decisions keep one: a new one is always the earlier
                Action::Timer { after, .. } => self.timer.set(Some(now + after)),
                Action::Close { server } => {
                    let side = self.server_side.borrow().clone();
                    side.iter().for_each(|s| s.close_idle(server));
                }
                Action::Note { text } => log::info!("note {text}"),
                // the list is always watched here; probes and talk with peers have no place on these sockets
                Action::Watch { .. } | Action::Fetch | Action::Probe { .. } | Action::Tell { .. } => {}
            }
        }
        self.counter_side.borrow().iter().for_each(|c| c.flush());
        self.forget_done();
    }

    fn dispatch(&self, now: Timestamp, request_id: u64, server: u32, limit: Span) {
        self.counters.dispatches.up();
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&request_id) else { return };
        let server_side = self.server_side.borrow().clone();
        let to = self.srvs.borrow_mut().by_index.get_mut(&server).map(|s| {
            s.out += 1;
            (s.name.clone(), s.addr)
        });
        let attempt = o.tries.len() as u16;
        let deadline = if limit == Span::ZERO { o.ends } else { o.ends.min(now + limit) };
        let (request, asked) = (o.request.clone(), o.answer.is_some());
        o.tries.push(Some(Out { server, sent: now, stop: Box::new(|| {}), begun: false }));
        drop(open);
        // each dispatch has its end, also one to a server that is gone or for a req that is over
        let (Some((server_name, addr)), Some(server_side), true) = (to, server_side, asked) else {
            return self.dispatch_ended(
                request_id,
                attempt,
                DispatchResult::without_response(Outcome::NotSent),
            );
        };
        let stop =
            server_side.send(Dispatch { request_id, attempt, server, server_name, addr, deadline, request });
        if let Some(Some(out)) =
            self.open.borrow_mut().get_mut(&request_id).and_then(|o| o.tries.get_mut(attempt as usize))
        {
            out.stop = stop;
        }
    }

    fn cancel(&self, id: u64, nth: u16) {
        let out = self.open.borrow_mut().get_mut(&id).and_then(|o| o.tries.get_mut(nth as usize)?.take());
        let Some(out) = out else { return };
        self.note_attempt(id, &out, Outcome::Cancelled);
        (out.stop)();
        self.srvs.borrow_mut().back(out.server);
        self.counters.dispatch.up(Outcome::Cancelled);
        let closed = self.open.borrow().get(&id).is_none_or(|o| o.answer.is_none());
        let took = self.clock.now() - out.sent;
        let end = Ended { id, nth, outcome: Outcome::Cancelled, took, closed, billed: 0.0 };
        log::debug!("cancelled {id}/{nth} at srv {}", out.server);
        self.tell(Event::Ended(end, Vec::new()));
        self.done.borrow_mut().push(id);
    }
}

/// For the sides, which the exchange owns.
pub type WeakExchange<W> = Weak<Exchange<W>>;

#[cfg(test)]
mod tests;
