//! Where client side and server side meet. The exchange turns what either side reports into events, plays all
//! events of one wakeup as one round of the decisions, and carries the actions out on the other side.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::ids::Ids;
use lupinledge::control::Control;
use lupinledge::link::{Action, Effect, Ended, Event, ListKind, NewReq, Outcome, SrvRow, SrvState, Terms};
use lupinledge::time::{Point, Span};
use lupinledge_invariants::{check, Invariant};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::{oneshot, Notify};

/// What one wire towards clients and servers has of its own.
pub trait Wire: 'static {
    /// What goes on from the client to a srv.
    type Carried: 'static;
    /// What a srv made for a req.
    type Made: 'static;
}

/// The final answer to a req.
pub enum Answer<W: Wire> {
    /// What a srv made.
    Passed(W::Made),
    /// No srv passed it; what the last of those that answered all the same said of it.
    Failed(W::Made),
    /// Not run, with a hint when to come back; zero is none.
    Denied(Span),
    /// It may have run, and nothing is known of it.
    Aborted,
}

/// One dispatch, for the server side.
pub struct Dispatch<W: Wire> {
    /// The req's id, as the exchange gave it.
    pub req: u64,
    /// Which of its req's dispatches it is, from 0.
    pub nth: u16,
    /// The srv's index.
    pub srv: u32,
    /// The srv's outside name.
    pub name: Rc<str>,
    /// The srv's address by the last list.
    pub addr: SocketAddr,
    /// When it has to be over.
    pub until: Point,
    /// Shared with its req's other dispatches.
    pub carried: Rc<W::Carried>,
}

/// How a dispatch ended.
pub struct Back<W: Wire> {
    /// By how far it came: whether it may have run is told by this alone.
    pub how: Outcome,
    /// With `Passed` what the srv made, with any other outcome its own answer that tells of the failure, if it
    /// is one that the client may get.
    pub made: Option<W::Made>,
    /// Its billed units, or zero.
    pub billed: f64,
    /// What the srv told of its load, for the decisions; may be empty.
    pub load: Vec<f32>,
}

impl<W: Wire> Back<W> {
    /// An end that tells nothing more.
    pub fn bare(how: Outcome) -> Back<W> {
        Back { how, made: None, billed: 0.0, load: Vec::new() }
    }
}

/// Stops a dispatch when called: closes its connection, reports nothing.
pub type Stop = Box<dyn FnOnce()>;

/// What takes dispatches to srvs.
pub trait ServerSide<W: Wire> {
    /// Sends a dispatch; its end comes to [`Exchange::ended`], later than this call, unless it is stopped.
    fn send(&self, d: Dispatch<W>) -> Stop;
    /// Closes the idle connections to a srv.
    fn close_idle(&self, srv: u32);
}

/// What takes calls to the counter.
pub trait CounterSide {
    /// Adds to a name's total, which is kept for `life`; the answer comes to [`Exchange::counted`].
    fn add(&self, name: u64, amount: f64, life: Span);
    /// All calls of a round are there.
    fn flush(&self);
}

/// Shown the events and actions of each round; changes neither.
pub trait Observer {
    /// Before the decisions play them.
    fn events(&mut self, now: Point, events: &[Event]);
    /// Before they are carried out.
    fn actions(&mut self, now: Point, actions: &[Action]);
}

/// A srv's entry in the list, by its outside name.
pub struct Entry {
    /// By it the exchange knows the srv again.
    pub name: String,
    /// Where it takes connections.
    pub addr: SocketAddr,
    /// The rest, for the decisions; the index in it is the exchange's to fill.
    pub row: SrvRow,
}

/// How one dispatch of a request ended, for the log of a failed request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The srv's outside name.
    pub srv: Rc<str>,
    /// How it ended.
    pub how: Outcome,
    /// From the decision to send it until its end.
    pub took: Span,
}

struct Out {
    srv: u32,
    sent: Point,
    stop: Stop,
    /// Its first byte may have gone to the srv.
    begun: bool,
}

struct Open<W: Wire> {
    answer: Option<oneshot::Sender<Final<W>>>,
    carried: Rc<W::Carried>,
    /// The last srv's own answer that tells of a failure.
    failed: Option<W::Made>,
    ends: Point,
    tries: Vec<Option<Out>>,
    /// A first byte of it went to a srv.
    begun: bool,
    /// The dispatches that have ended.
    attempts: Vec<Attempt>,
    promises: Promises,
}

/// What has to hold for one request, whatever the decisions say; see [`Invariant`].
struct Promises {
    /// It may run once at most.
    once: bool,
    /// An ended dispatch may have run.
    may_have_run: bool,
    /// Srvs to which a first byte of it went.
    servers: Vec<u32>,
    /// The largest number of these that is allowed.
    most: u32,
    /// The zones whose srvs may have it, a bit each.
    zones: u64,
}

impl Promises {
    fn of(req: &NewReq, terms: &Terms) -> Promises {
        let frontend = terms.frontends.get(req.frontend);
        Promises {
            once: frontend.is_some_and(|f| f.effect == Effect::NonReplayable),
            may_have_run: false,
            servers: Vec::new(),
            most: frontend.map_or(u32::MAX, |f| f.max_dispatches),
            zones: req.zones,
        }
    }

    /// A dispatch to a srv in this zone is about to begin; `other_begun`: another one has, and has not ended.
    fn begin(&mut self, srv: u32, zone: u16, other_begun: bool) {
        if !self.servers.contains(&srv) {
            self.servers.push(srv);
        }
        let ran = self.may_have_run || other_begun;
        check(Invariant::RunOnce, !(self.once && ran), || {
            format!("srv {srv}, {} before", self.servers.len())
        });
        let most = self.most as usize;
        check(Invariant::AttemptLimit, self.servers.len() <= most, || format!("srv {srv}, {most} allowed"));
        let home = self.zones == u64::MAX || zone >= 64 || self.zones >> zone & 1 == 1;
        check(Invariant::HomeZone, home, || format!("zone {zone}, homes {:b}", self.zones));
    }
}

/// Whether a dispatch that ended so may have run.
fn may_have_run(how: Outcome) -> bool {
    !matches!(how, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}

struct Srv {
    name: Rc<str>,
    addr: SocketAddr,
    zone: u16,
    takes_new: bool,
    listed: bool,
    /// Its start as far as the list or its address tells.
    born: Option<Point>,
    /// Dispatches that have not ended.
    out: usize,
}

/// Srvs by index. An index is given to one srv only, and forgotten once that has left the list and no dispatch
/// is out there: where srvs are replaced all day by new ones, the tables stay as small as the list.
#[derive(Default)]
struct Srvs {
    by_index: HashMap<u32, Srv>,
    by_name: HashMap<Rc<str>, u32>,
    given: u32,
}

impl Srvs {
    /// A new srv at the address of another one has started since, whatever the list says of its start.
    fn enter(&mut self, e: &Entry, now: Point) -> u32 {
        if let Some(&i) = self.by_name.get(e.name.as_str()) {
            return i;
        }
        let follows = self.by_index.values().any(|s| s.addr == e.addr);
        self.given += 1;
        let name: Rc<str> = e.name.as_str().into();
        self.by_name.insert(name.clone(), self.given);
        let (addr, born) = (e.addr, Some(now).filter(|_| follows));
        let zone = e.row.zone;
        let srv = Srv { name, addr, zone, takes_new: false, listed: false, born, out: 0 };
        self.by_index.insert(self.given, srv);
        self.given
    }
    fn forget_gone(&mut self) {
        let Srvs { by_index, by_name, .. } = self;
        by_index.retain(|_, s| {
            let stays = s.listed || s.out > 0;
            if !stays {
                by_name.remove(&s.name);
            }
            stays
        });
    }
    /// A dispatch to it has ended.
    fn back(&mut self, srv: u32) {
        let gone = self.by_index.get_mut(&srv).is_some_and(|s| {
            s.out -= 1;
            !s.listed && s.out == 0
        });
        if gone {
            self.forget_gone();
        }
    }
}

/// The meeting of both sides; see the module.
pub struct Exchange<W: Wire> {
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
    ids: RefCell<Ids>,
    unanswered: Cell<usize>,
    srvs: RefCell<Srvs>,
    listed: Cell<bool>,
    timer: Cell<Option<Point>>,
    woken: Notify,
    answered: Notify,
    server_side: RefCell<Option<Rc<dyn ServerSide<W>>>>,
    counter_side: RefCell<Option<Rc<dyn CounterSide>>>,
}

/// A req that waits for its final answer; dropped before that, its client has left.
pub struct Ticket<W: Wire> {
    id: u64,
    exchange: Rc<Exchange<W>>,
    answer: oneshot::Receiver<Final<W>>,
}

/// The final answer, and the dispatches that had ended by then.
type Final<W> = (Answer<W>, Vec<Attempt>);

impl<W: Wire> Ticket<W> {
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

impl<W: Wire> Drop for Ticket<W> {
    fn drop(&mut self) {
        self.exchange.left(self.id);
    }
}

impl<W: Wire> Exchange<W> {
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
    pub fn observe(&self, observer: Box<dyn Observer>) {
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
    pub fn change(&self, terms: Terms) {
        *self.terms.borrow_mut() = Rc::new(terms.clone());
        self.tell(Event::Terms(Box::new(terms)));
    }

    /// Reqs that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Whether any list of srvs is there.
    pub fn listed(&self) -> bool {
        self.listed.get()
    }

    /// Whether an id from outside was not had while a req under it could be open.
    pub fn first_seen(&self, id: &[u8]) -> bool {
        let longest = self.terms.borrow().frontends.iter().map(|f| f.timeout.secs()).fold(0.0, f64::max);
        self.ids.borrow_mut().enter(id, self.clock.now().secs(), longest)
    }

    /// A req from the client side; ids from outside stop here.
    pub fn take(self: &Rc<Self>, mut req: NewReq, carried: W::Carried) -> Ticket<W> {
        let id = self.taken.get() + 1;
        self.taken.set(id);
        req.id = id;
        self.counters.taken.up();
        self.unanswered.set(self.unanswered.get() + 1);
        let (answer, wait) = oneshot::channel();
        let ends = self.clock.now() + req.left;
        let promises = Promises::of(&req, &self.terms.borrow());
        let open = Open {
            answer: Some(answer),
            carried: Rc::new(carried),
            failed: None,
            ends,
            tries: Vec::new(),
            begun: false,
            attempts: Vec::new(),
            promises,
        };
        self.open.borrow_mut().insert(id, open);
        self.tell(Event::Req(req));
        Ticket { id, exchange: self.clone(), answer: wait }
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
        let Some(o) = open.get_mut(&d.req).filter(|o| o.answer.is_some()) else { return false };
        let srvs = self.srvs.borrow();
        let Some(srv) = srvs.by_index.get(&d.srv).filter(|s| s.takes_new) else { return false };
        if self.clock.now() >= d.until {
            return false;
        }
        let others = o.tries.iter().enumerate().filter(|(nth, _)| *nth != usize::from(d.nth));
        let other_begun = others.filter_map(|(_, t)| t.as_ref()).any(|t| t.begun);
        o.promises.begin(d.srv, srv.zone, other_begun);
        o.begun = true;
        if let Some(Some(out)) = o.tries.get_mut(usize::from(d.nth)) {
            out.begun = true;
        }
        true
    }

    /// Denies each req of which nothing went to a srv, and nothing is about to; none of these is dispatched any more.
    pub fn turn_away(&self, hint: Span) {
        let idle = |o: &Open<W>| o.answer.is_some() && !o.begun && o.tries.iter().all(Option::is_none);
        let idle: Vec<u64> = self.open.borrow().iter().filter(|(_, o)| idle(o)).map(|(id, _)| *id).collect();
        for id in idle {
            self.answer(id, Answer::Denied(hint));
            self.tell(Event::Left { id });
            self.done.borrow_mut().push(id);
        }
    }

    /// Whether a srv is in the list: a connection to one that is not is of no further use.
    pub fn has(&self, srv: u32) -> bool {
        self.srvs.borrow().by_index.get(&srv).is_some_and(|s| s.listed)
    }

    /// The end of a dispatch, from the server side.
    pub fn ended(&self, req: u64, nth: u16, back: Back<W>) {
        let out = self.open.borrow_mut().get_mut(&req).and_then(|o| o.tries.get_mut(nth as usize)?.take());
        let Some(out) = out else { return };
        self.note_attempt(req, &out, back.how);
        self.srvs.borrow_mut().back(out.srv);
        self.counters.dispatch.up(back.how);
        match back.made {
            Some(made) if back.how == Outcome::Passed => self.answer(req, Answer::Passed(made)),
            Some(made) => {
                if let Some(o) = self.open.borrow_mut().get_mut(&req) {
                    o.failed = Some(made);
                }
            }
            None => {}
        }
        let closed = self.open.borrow().get(&req).is_none_or(|o| o.answer.is_none());
        let took = self.clock.now() - out.sent;
        let end = Ended { id: req, nth, how: back.how, took, closed, billed: back.billed };
        self.tell(Event::Ended(end, back.load));
        self.done.borrow_mut().push(req);
    }

    /// Keeps what a dispatch that has ended tells of its request.
    fn note_attempt(&self, req: u64, out: &Out, how: Outcome) {
        let srv = self.srvs.borrow().by_index.get(&out.srv).map_or_else(|| "gone".into(), |s| s.name.clone());
        let took = self.clock.now() - out.sent;
        if let Some(o) = self.open.borrow_mut().get_mut(&req) {
            let begun = how != Outcome::Cancelled || out.begun;
            o.promises.may_have_run |= begun && may_have_run(how);
            o.attempts.push(Attempt { srv, how, took });
        }
    }

    /// The end of a counter's call, from the counter side: with `Passed` the name's new total.
    pub fn counted(&self, name: u64, total: f64, how: Outcome) {
        self.counters.counter_call.up(how);
        self.tell(Event::Counted { name, total, how });
    }

    /// News of the list, from discovery.
    pub fn list(&self, kind: ListKind, entries: Vec<Entry>) {
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
                (s.addr, s.born, s.zone) = (e.addr, e.row.born.or(s.born), e.row.zone);
                (s.takes_new, s.listed) = (e.row.state == SrvState::Ready, e.row.state != SrvState::Gone);
                rows.push(SrvRow { srv: i, born: s.born, ..e.row });
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
    pub async fn drive(self: Rc<Self>) {
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

    fn round(&self, now: Point, events: Vec<Event>) {
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
                Action::Dispatch { id, srv, limit } => self.dispatch(now, id, srv, limit),
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
                        None => self.counted(name, 0.0, Outcome::NoConnection),
                    }
                }
                // one timer, as the decisions keep one: a new one is always the earlier
                Action::Timer { after, .. } => self.timer.set(Some(now + after)),
                Action::Close { srv } => {
                    let server = self.server_side.borrow().clone();
                    server.iter().for_each(|s| s.close_idle(srv));
                }
                Action::Note { text } => log::info!("note {text}"),
                // the list is always watched here; probes and talk with peers have no place on these sockets
                Action::Watch { .. } | Action::Fetch | Action::Probe { .. } | Action::Tell { .. } => {}
            }
        }
        self.counter_side.borrow().iter().for_each(|c| c.flush());
        self.forget_done();
    }

    fn dispatch(&self, now: Point, id: u64, srv: u32, limit: Span) {
        self.counters.dispatches.up();
        let mut open = self.open.borrow_mut();
        let Some(o) = open.get_mut(&id) else { return };
        let server = self.server_side.borrow().clone();
        let to = self.srvs.borrow_mut().by_index.get_mut(&srv).map(|s| {
            s.out += 1;
            (s.name.clone(), s.addr)
        });
        let nth = o.tries.len() as u16;
        let until = if limit == Span::ZERO { o.ends } else { o.ends.min(now + limit) };
        let (carried, asked) = (o.carried.clone(), o.answer.is_some());
        o.tries.push(Some(Out { srv, sent: now, stop: Box::new(|| {}), begun: false }));
        drop(open);
        // each dispatch has its end, also one to a srv that is gone or for a req that is over
        let (Some((name, addr)), Some(server), true) = (to, server, asked) else {
            return self.ended(id, nth, Back::bare(Outcome::NotSent));
        };
        let stop = server.send(Dispatch { req: id, nth, srv, name, addr, until, carried });
        if let Some(Some(out)) =
            self.open.borrow_mut().get_mut(&id).and_then(|o| o.tries.get_mut(nth as usize))
        {
            out.stop = stop;
        }
    }

    fn cancel(&self, id: u64, nth: u16) {
        let out = self.open.borrow_mut().get_mut(&id).and_then(|o| o.tries.get_mut(nth as usize)?.take());
        let Some(out) = out else { return };
        self.note_attempt(id, &out, Outcome::Cancelled);
        (out.stop)();
        self.srvs.borrow_mut().back(out.srv);
        self.counters.dispatch.up(Outcome::Cancelled);
        let closed = self.open.borrow().get(&id).is_none_or(|o| o.answer.is_none());
        let took = self.clock.now() - out.sent;
        let end = Ended { id, nth, how: Outcome::Cancelled, took, closed, billed: 0.0 };
        log::debug!("cancelled {id}/{nth} at srv {}", out.srv);
        self.tell(Event::Ended(end, Vec::new()));
        self.done.borrow_mut().push(id);
    }
}

/// For the sides, which the exchange owns.
pub type Meeting<W> = Weak<Exchange<W>>;

#[cfg(test)]
mod tests {
    use super::*;
    use lupinledge::link::Effect;

    struct Words;

    impl Wire for Words {
        type Carried = ();
        type Made = &'static str;
    }

    /// A server side that leaves each dispatch open.
    struct Srvs;

    impl ServerSide<Words> for Srvs {
        fn send(&self, _: Dispatch<Words>) -> Stop {
            Box::new(|| {})
        }
        fn close_idle(&self, _: u32) {}
    }

    fn play(x: &Exchange<Words>) {
        let events = std::mem::take(&mut *x.events.borrow_mut());
        x.round(x.clock.now(), events);
    }

    fn exchange() -> Rc<Exchange<Words>> {
        let v: serde_json::Value =
            serde_json::from_str(include_str!("../../example/config.json")).expect("JSON");
        let terms = lupinledge_terms::terms(1, &v["settings"]).expect("terms");
        let x = Exchange::new(terms, Clock::start(), Rc::default());
        x.attach(Rc::new(Srvs), None);
        x
    }

    fn entry(name: &str, port: u16, state: SrvState) -> Entry {
        let row = SrvRow { srv: 0, zone: 0, cell: 0, state, weight: 1.0, born: None };
        Entry { name: name.to_string(), addr: ([127, 0, 0, 1], port).into(), row }
    }

    fn take(x: &Rc<Exchange<Words>>) -> Ticket<Words> {
        let left = Span::from_secs(1.0);
        let (repeat, units, customer, plan, spread, zones) = (false, 1.0, 1, 2, 1.0, u64::MAX);
        x.take(NewReq { id: 0, frontend: 0, repeat, units, customer, plan, spread, left, zones }, ())
    }

    /// Srvs replaced all day by new ones at the same address leave nothing behind, except where a dispatch is
    /// out: its index belongs to that srv until it ends. The new ones are cold.
    #[test]
    fn replaced_srvs_are_forgotten() {
        let x = exchange();
        x.list(ListKind::Full, vec![entry("0", 1, SrvState::Ready)]);
        play(&x);
        let ticket = take(&x);
        play(&x);
        for n in 1..200u16 {
            let old = entry(&(n - 1).to_string(), 1, SrvState::Gone);
            x.list(ListKind::Delta, vec![old, entry(&n.to_string(), 1, SrvState::Ready)]);
            let born = match x.events.borrow().last() {
                Some(Event::List { rows, .. }) => rows.iter().map(|r| (r.srv, r.born.is_some())).collect(),
                _ => Vec::new(),
            };
            assert_eq!(born, [(n as u32, n > 1), (n as u32 + 1, true)]);
            play(&x);
        }
        let kept = |x: &Exchange<Words>| (x.srvs.borrow().by_index.len(), x.srvs.borrow().by_name.len());
        assert_eq!(kept(&x), (2, 2), "the last, and the first, where a dispatch is out");
        assert!(x.srvs.borrow().by_index.contains_key(&1));
        x.ended(1, 0, Back::bare(Outcome::Error));
        assert_eq!(kept(&x), (1, 1));
        drop(ticket);
    }

    /// A dispatch decided on in the round that also hears of the client's leaving gets its end: else it would
    /// be out for good in the eyes of the decisions, and its place in the pool with it.
    #[test]
    fn left_in_the_round_of_a_further_dispatch() {
        let x = exchange();
        x.list(ListKind::Full, vec![entry("a", 1, SrvState::Ready), entry("b", 2, SrvState::Ready)]);
        let ticket = take(&x);
        play(&x);
        x.ended(1, 0, Back::bare(Outcome::Error));
        drop(ticket);
        play(&x);
        play(&x);
        let counters = x.counters.to_string();
        assert!(
            counters.contains(" dispatches=2 ") && counters.contains("dispatch.not_sent=1"),
            "{counters}"
        );
        assert!(x.open.borrow().is_empty());
    }

    /// Where no dispatch passes, the client gets the answer that told of a failure, and a mere abort where there
    /// was none. Terms changed before the req hold for it.
    #[test]
    fn a_failure_told_is_the_answer() {
        for told in [Some("made no sense"), None] {
            let x = exchange();
            x.list(ListKind::Full, vec![entry("a", 1, SrvState::Ready)]);
            let mut terms = (*x.terms()).clone();
            terms.frontends[0].effect = Effect::NonReplayable;
            x.change(terms);
            let mut ticket = take(&x);
            assert_eq!(x.unanswered(), 1);
            play(&x);
            x.ended(1, 0, Back { made: told, ..Back::bare(Outcome::Error) });
            play(&x);
            match ticket.answer.try_recv() {
                Ok((Answer::Failed(made), _)) => assert_eq!(Some(made), told),
                Ok((Answer::Aborted, _)) => assert_eq!(None, told),
                _ => panic!("passed, denied or not answered"),
            }
            assert_eq!((x.unanswered(), x.terms().frontends[0].effect), (0, Effect::NonReplayable));
        }
    }

    /// What waits is denied and never dispatched, also when a srv is there again; what is out goes on to its answer.
    #[test]
    fn turned_away_while_another_is_out() {
        let x = exchange();
        x.list(ListKind::Full, vec![entry("a", 1, SrvState::Ready)]);
        let mut out = take(&x);
        play(&x);
        x.list(ListKind::Full, vec![entry("a", 1, SrvState::Draining)]);
        let mut waits = take(&x);
        x.turn_away(Span::from_secs(0.2));
        assert!(matches!(waits.answer.try_recv(), Ok((Answer::Denied(after), _)) if after.secs() == 0.2));
        assert_eq!(x.unanswered(), 1);
        x.list(ListKind::Full, vec![entry("a", 1, SrvState::Ready)]);
        play(&x);
        x.ended(1, 0, Back { made: Some("done"), ..Back::bare(Outcome::Passed) });
        play(&x);
        assert!(matches!(out.answer.try_recv(), Ok((Answer::Passed("done"), _))));
        assert!(x.counters.to_string().contains(" dispatches=1 "), "{}", x.counters);
        assert!(x.open.borrow().is_empty());
    }
}
