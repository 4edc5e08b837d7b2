//! The counter: a few connections, calls written one after another, answers matched by their order. A name
//! keeps to one connection, so that its calls are answered in order.

use super::resp::{read_reply, write_call, Reply};
use super::srv::Edge;
use super::Exchange;
use lupinledge::interface::Outcome;
use lupinledge::time::Span;
use lupinledge_proxy::clock::duration;
use lupinledge_proxy::exchange::{CounterSide, WeakExchange};
use lupinledge_proxy::transport::connect::connect;
use lupinledge_proxy::transport::end_reason::{EndLog, EndReason};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Connections. The counter may be split by name and a slow part holds up what stands behind it: four meet
/// three parts with one to spare, and each further one is a write and a wakeup more in a busy round.
pub const LANES: usize = 4;

/// So many waits for an answer without a byte: the machine is taken to be gone and a new one tried. Answers
/// that are merely late, as at a counter some times slower, come well within it.
const SILENT_WAITS: u32 = 8;

/// After a connection that ended: soon, then doubled while each ends as soon as it is up.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// Between two tries to connect, beside the time that a try itself takes. Each that hangs while the counter
/// comes back is time without its totals, and a try costs it nothing while it is away.
const RETRY: Duration = Duration::from_millis(50);

struct Call {
    name: u64,
    until: Instant,
    /// Where it begins and ends in all that was ever written to the connection.
    start: u64,
    end: u64,
    /// Told as timed out: an answer is still owed, and goes nowhere.
    over: bool,
}

#[derive(Default)]
struct Lane {
    to: RefCell<Option<OwnedWriteHalf>>,
    calls: RefCell<VecDeque<Call>>,
    unsent: RefCell<Vec<u8>>,
    /// All bytes ever put to be written here, and of them those that the machine took.
    put: Cell<u64>,
    sent: Cell<u64>,
    heard: Cell<Option<Instant>>,
    /// Whether this connection brought a total.
    served: Cell<bool>,
    woken: Notify,
    /// A connection to the counter's new address is up: nothing more is written to the one to the old address.
    leaving: Cell<bool>,
    /// Whether a first try to connect has ended.
    tried: Cell<bool>,
}

pub struct Counter {
    exchange: WeakExchange<Edge>,
    addr: Cell<SocketAddr>,
    wait: Duration,
    connect_wait: Duration,
    lanes: Vec<Lane>,
    /// The counter was away and was heard of on one of the lanes, or has another address now.
    back: Notify,
}

impl Counter {
    pub fn start(
        exchange: &Rc<Exchange>,
        addr: SocketAddr,
        wait: Span,
        connect_wait: Duration,
    ) -> Rc<Counter> {
        let lanes = (0..LANES).map(|_| Lane::default()).collect();
        let (exchange, addr, wait) = (Rc::downgrade(exchange), Cell::new(addr), duration(wait));
        let counter = Rc::new(Counter { exchange, addr, wait, connect_wait, lanes, back: Notify::new() });
        (0..LANES).for_each(|i| drop(tokio::task::spawn_local(counter.clone().run(i))));
        counter
    }

    /// The counter has another address. Each connection is kept until one to the new address is up and what
    /// it was asked is answered: a name's calls stay in order, and none is lost or told twice.
    pub fn move_to(&self, addr: SocketAddr) {
        self.addr.set(addr);
        self.back.notify_waiters();
    }

    /// Whether each connection is up or has failed once.
    pub fn tried(&self) -> bool {
        self.lanes.iter().all(|l| l.tried.get())
    }

    /// Whether no call waits to be written.
    pub fn written(&self) -> bool {
        self.lanes.iter().all(|l| l.unsent.borrow().is_empty())
    }

    fn told(&self, name: u64, total: f64, how: Outcome) {
        if let Some(exchange) = self.exchange.upgrade() {
            exchange.counter_call_ended(name, total, None, how);
        }
    }

    /// Keeps one connection up and reads from it.
    async fn run(self: Rc<Counter>, i: usize) {
        let lane = &self.lanes[i];
        let mut next = None;
        let mut pause = BACK_OFF.0;
        loop {
            let stream = match next.take() {
                Some(stream) => stream,
                None => {
                    let mut up = std::pin::pin!(self.connect(lane));
                    loop {
                        tokio::select! {
                            stream = &mut up => break stream,
                            _ = self.due(lane, false) => self.expire(lane),
                        }
                    }
                }
            };
            let at = stream.peer_addr().unwrap_or(self.addr.get());
            let (ending, since) = (EndLog::new("counter", at), Instant::now());
            lane.heard.set(None);
            lane.leaving.set(false);
            lane.served.set(false);
            let (from, to) = stream.into_split();
            *lane.to.borrow_mut() = Some(to);
            let why;
            (why, next) = self.talk(lane, at, from).await;
            ending.set_reason(why);
            *lane.to.borrow_mut() = None;
            self.broken(lane, why == EndReason::Moved);
            // one that is ended as soon as it is up is not hurried after
            if lane.served.get() || since.elapsed() > BACK_OFF.1 {
                pause = BACK_OFF.0;
            } else if next.is_none() {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(BACK_OFF.1);
            }
        }
    }

    /// Tries until a connection is up. A try that hangs is begun anew when the counter is heard of elsewhere:
    /// the machine that is back knows nothing of it.
    async fn connect(&self, lane: &Lane) -> TcpStream {
        let mut failed = false;
        loop {
            let addr = self.addr.get();
            let ending = EndLog::new("counter", addr);
            tokio::select! {
                up = connect(addr, self.connect_wait, None) => {
                    lane.tried.set(true);
                    match up {
                        Ok(stream) => {
                            ending.suppress();
                            if failed {
                                self.back.notify_waiters();
                            }
                            return stream;
                        }
                        Err(e) => ending.set_reason(EndReason::from_connect_error(&e)),
                    }
                    drop(ending);
                    tokio::select! {
                        _ = tokio::time::sleep(RETRY) => {}
                        _ = self.back.notified() => {}
                    }
                }
                _ = self.back.notified() => ending.set_reason(EndReason::ClosedHere),
            }
            failed = true;
        }
    }

    /// Until the first open call's time is up, or the connection has been silent for too long.
    async fn due(&self, lane: &Lane, silence: bool) {
        loop {
            let open = lane.calls.borrow().iter().find(|c| !c.over).map(|c| c.until);
            let silent = if silence { self.silent_at(lane) } else { None };
            // a call that comes meanwhile may be due before a silence is
            match open.into_iter().chain(silent).min() {
                Some(at) => tokio::select! {
                    _ = tokio::time::sleep_until(at) => return,
                    _ = lane.woken.notified() => {}
                },
                None => lane.woken.notified().await,
            }
        }
    }

    fn expire(&self, lane: &Lane) {
        let now = Instant::now();
        let mut ended = Vec::new();
        lane.calls.borrow_mut().retain_mut(|c| {
            if c.over || c.until > now {
                return true;
            }
            c.over = true;
            // of one that waits for a connection nothing is written: its bytes go, and can't be added any more
            let unwritten = c.start == lane.sent.get();
            if unwritten {
                lane.unsent.borrow_mut().drain(..(c.end - c.start) as usize);
                lane.sent.set(c.end);
            }
            ended.push((c.name, if unwritten { Outcome::NoConnection } else { Outcome::TimedOut }));
            !unwritten
        });
        ended.into_iter().for_each(|(name, how)| self.told(name, 0.0, how));
    }

    /// The connection is gone: what was written whole may have been added, the rest was not. Calls of which
    /// nothing was written can go on with the next connection, if it is there already.
    fn broken(&self, lane: &Lane, go_on: bool) {
        let (calls, sent) = (std::mem::take(&mut *lane.calls.borrow_mut()), lane.sent.get());
        let (rest, ended) = calls.into_iter().partition(|c| go_on && c.start >= sent);
        *lane.calls.borrow_mut() = rest;
        let first = lane.calls.borrow().front().map_or(lane.put.get(), |c| c.start);
        lane.unsent.borrow_mut().drain(..(first - sent) as usize);
        lane.sent.set(first);
        for c in Vec::from(ended).into_iter().filter(|c| !c.over) {
            self.told(c.name, 0.0, if c.end <= sent { Outcome::Reset } else { Outcome::NoConnection });
        }
    }

    /// Serves a connection until it ends or, silent for long, is replaced. The silent one is kept until the
    /// new one is up: a machine that was cut off may go on where it was, or resets it and tells it is back.
    async fn talk(
        &self,
        lane: &Lane,
        at: SocketAddr,
        mut from: OwnedReadHalf,
    ) -> (EndReason, Option<TcpStream>) {
        let (mut read, mut part) = (Vec::with_capacity(4096), [0u8; 4096]);
        let mut other = std::pin::pin!(None);
        let mut next = None;
        self.send(lane);
        loop {
            let moved = self.addr.get() != at;
            if next.is_some() && self.all_answered(lane) {
                return (EndReason::Moved, next);
            }
            if moved && next.is_none() && other.is_none() {
                other.set(Some(self.connect(lane)));
            }
            let stuck = !lane.unsent.borrow().is_empty() && !lane.leaving.get();
            let replaced = other.is_some();
            tokio::select! {
                biased;
                got = from.read(&mut part) => {
                    match got {
                        Ok(n) if n > 0 => {
                            lane.heard.set(Some(Instant::now()));
                            if !moved {
                                other.set(None);
                            }
                            read.extend_from_slice(&part[..n]);
                        }
                        end => {
                            if replaced {
                                self.back.notify_waiters();
                            }
                            return (if end.is_ok() { EndReason::PeerClosed } else { EndReason::PeerReset }, next);
                        }
                    }
                    let mut used = 0;
                    loop {
                        match read_reply(&read[used..]) {
                            Ok(Some((reply, n))) => {
                                used += n;
                                // one answer more than calls: from here on each would be taken for another's
                                if !self.reply(lane, reply) {
                                    return (EndReason::Stray, next);
                                }
                            }
                            Ok(None) => break,
                            Err(_) => return (EndReason::Malformed, next),
                        }
                    }
                    read.drain(..used);
                }
                up = async { other.as_mut().as_pin_mut().expect("asked for").await }, if replaced => {
                    other.set(None);
                    next = Some(up);
                    if !moved {
                        return (EndReason::Silent, next);
                    }
                    lane.leaving.set(true);
                }
                _ = self.back.notified(), if !moved => {}
                // the machine takes no more for now: rare, and not worth a waker of its own
                _ = tokio::time::sleep(Duration::from_millis(1)), if stuck => self.send(lane),
                _ = self.due(lane, !replaced && next.is_none()) => {
                    self.expire(lane);
                    if !replaced && next.is_none() && self.silent_at(lane).is_some_and(|at| at <= Instant::now()) {
                        other.set(Some(self.connect(lane)));
                    }
                }
            }
        }
    }

    /// When a connection is taken to be dead, if nothing is heard before: long after the oldest call that has
    /// no answer.
    fn silent_at(&self, lane: &Lane) -> Option<Instant> {
        let oldest = lane.calls.borrow().front().map(|c| c.until - self.wait)?;
        Some(lane.heard.get().map_or(oldest, |h| h.max(oldest)) + self.wait * SILENT_WAITS)
    }

    /// Tells the oldest call its answer; false where none was written.
    fn reply(&self, lane: &Lane, reply: Reply) -> bool {
        let sent = lane.sent.get();
        let Some(call) = lane.calls.borrow_mut().pop_front_if(|c| c.end <= sent) else { return false };
        if call.over {
            return true;
        }
        match reply {
            Reply::Total(t) => {
                lane.served.set(true);
                self.told(call.name, t, Outcome::Passed)
            }
            Reply::Busy | Reply::Refused => self.told(call.name, 0.0, Outcome::Full),
        }
        true
    }

    /// Whether what was written here has its answers, or has waited for them in vain.
    fn all_answered(&self, lane: &Lane) -> bool {
        lane.calls.borrow().iter().all(|c| c.over || c.end > lane.sent.get())
    }

    /// Writes what the machine takes now.
    fn send(&self, lane: &Lane) {
        if lane.leaving.get() {
            return;
        }
        let (to, mut unsent) = (lane.to.borrow(), lane.unsent.borrow_mut());
        while !unsent.is_empty() {
            // full, or broken, which the reader finds out
            let Some(Ok(n)) = to.as_ref().map(|to| to.try_write(&unsent)) else { return };
            unsent.drain(..n);
            lane.sent.set(lane.sent.get() + n as u64);
        }
    }
}

impl CounterSide for Counter {
    fn add(&self, name: u64, amount: f64, life: Span) {
        let lane = &self.lanes[(name >> 1) as usize % LANES];
        let (word, amount) = (format!("{name:x}"), format!("{}", amount as f32));
        let life = format!("{}", ((life.secs() * 1e3).round() as i64).max(1));
        let mut unsent = lane.unsent.borrow_mut();
        let (before, start) = (unsent.len(), lane.put.get());
        write_call(&mut unsent, &["CNT.ADD", &word, &amount, &life]);
        let end = start + (unsent.len() - before) as u64;
        lane.put.set(end);
        let call = Call { name, until: Instant::now() + self.wait, start, end, over: false };
        let mut calls = lane.calls.borrow_mut();
        if calls.iter().all(|c| c.over) {
            lane.woken.notify_one();
        }
        calls.push_back(call);
    }
    fn flush(&self) {
        self.lanes.iter().for_each(|lane| self.send(lane));
    }
}
