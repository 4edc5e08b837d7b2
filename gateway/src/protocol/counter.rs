//! The client of the counter. It uses a few connections, on which calls are pipelined and replies are matched by their
//! order. All calls of a name use the same connection, so that they are answered in order.

use super::resp::{read_reply, write_call, Reply};
use super::server::GatewayProtocol;
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

/// The number of connections. The counter may be partitioned by name, and a slow partition delays the calls behind
/// its own: four connections cover three partitions with one to spare, and each further one costs a write and a
/// wakeup more in a busy round.
pub const CONNECTIONS: usize = 4;

/// After this many times the reply timeout without a received byte, the connection is considered dead and a new one is
/// tried. Replies that are only late, as from a counter that is a few times slower, arrive well before that.
const SILENT_TIMEOUTS: u32 = 8;

/// The pause after a connection has ended. It starts at the first value, and doubles up to the second while
/// connections end right after they are opened.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// The pause between two connection attempts. It is short, since a longer one delays the totals once the counter is
/// back, and attempts cost the counter nothing while it is away.
const CONNECT_RETRY: Duration = Duration::from_millis(50);

/// A call that waits for its reply.
struct Call {
    name: u64,
    deadline: Instant,
    /// The offsets of its first byte and of its end in all bytes queued on the connection.
    start: u64,
    end: u64,
    /// It was reported as timed out. Its reply is still expected, and will be ignored.
    expired: bool,
}

/// One connection and its calls; kept when the connection is replaced.
#[derive(Default)]
struct Connection {
    writer: RefCell<Option<OwnedWriteHalf>>,
    calls: RefCell<VecDeque<Call>>,
    unsent: RefCell<Vec<u8>>,
    /// The number of bytes ever queued here.
    queued: Cell<u64>,
    /// The number of these bytes that the kernel has accepted.
    sent: Cell<u64>,
    /// When bytes were last received.
    last_received: Cell<Option<Instant>>,
    /// Whether a total was received on the current connection.
    served: Cell<bool>,
    /// Notified when a call is added to a connection without open calls.
    call_added: Notify,
    /// A connection to the counter's new address is open, so that nothing more is written to the one to the old
    /// address.
    draining: Cell<bool>,
    /// Whether a first connection attempt has ended.
    tried: Cell<bool>,
}

/// The client of the counter; the counter side of the exchange.
pub struct Counter {
    exchange: WeakExchange<GatewayProtocol>,
    addr: Cell<SocketAddr>,
    reply_timeout: Duration,
    connect_timeout: Duration,
    connections: Vec<Connection>,
    /// Notified when the counter is reachable again on one of the connections, or has another address.
    reachable: Notify,
}

impl Counter {
    /// Starts connecting to the counter at `addr`. A call that has no reply after `reply_timeout` is reported as
    /// timed out.
    pub fn start(
        exchange: &Rc<Exchange>,
        addr: SocketAddr,
        reply_timeout: Span,
        connect_timeout: Duration,
    ) -> Rc<Counter> {
        let connections = (0..CONNECTIONS).map(|_| Connection::default()).collect();
        let (exchange, addr, reply_timeout) =
            (Rc::downgrade(exchange), Cell::new(addr), duration(reply_timeout));
        let counter = Rc::new(Counter {
            exchange,
            addr,
            reply_timeout,
            connect_timeout,
            connections,
            reachable: Notify::new(),
        });
        (0..CONNECTIONS).for_each(|index| drop(tokio::task::spawn_local(counter.clone().run(index))));
        counter
    }

    /// Sets another address of the counter. Each connection is kept until one to the new address is open and all calls
    /// on it are answered: the calls of a name stay in order, and none is lost or reported twice.
    pub fn set_address(&self, addr: SocketAddr) {
        self.addr.set(addr);
        self.reachable.notify_waiters();
    }

    /// Whether each connection is open or has failed once.
    pub fn tried_to_connect(&self) -> bool {
        self.connections.iter().all(|c| c.tried.get())
    }

    /// Whether all calls are written.
    pub fn all_written(&self) -> bool {
        self.connections.iter().all(|c| c.unsent.borrow().is_empty())
    }

    /// Reports the end of a call to the exchange.
    fn report(&self, name: u64, total: f64, outcome: Outcome) {
        if let Some(exchange) = self.exchange.upgrade() {
            exchange.counter_call_ended(name, total, None, outcome);
        }
    }

    /// Keeps one connection open and serves it.
    async fn run(self: Rc<Counter>, index: usize) {
        let connection = &self.connections[index];
        let mut next = None;
        let mut pause = BACK_OFF.0;
        loop {
            let stream = match next.take() {
                Some(stream) => stream,
                None => {
                    let mut opening = std::pin::pin!(self.connect_until_open(connection));
                    loop {
                        tokio::select! {
                            stream = &mut opening => break stream,
                            _ = self.wait_due(connection, false) => self.expire_calls(connection),
                        }
                    }
                }
            };
            let addr = stream.peer_addr().unwrap_or(self.addr.get());
            let (end_log, opened_at) = (EndLog::new("counter", addr), Instant::now());
            connection.last_received.set(None);
            connection.draining.set(false);
            connection.served.set(false);
            let (reader, writer) = stream.into_split();
            *connection.writer.borrow_mut() = Some(writer);
            let reason;
            (reason, next) = self.serve_connection(connection, addr, reader).await;
            end_log.set_reason(reason);
            *connection.writer.borrow_mut() = None;
            self.connection_ended(connection, reason == EndReason::Moved);
            // no immediate retry after a connection that ended right after it was opened
            if connection.served.get() || opened_at.elapsed() > BACK_OFF.1 {
                pause = BACK_OFF.0;
            } else if next.is_none() {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(BACK_OFF.1);
            }
        }
    }

    /// Tries until a connection is open. An attempt that hangs is started again once the counter is reachable on
    /// another connection, since a restarted machine does not know of the pending attempt.
    async fn connect_until_open(&self, connection: &Connection) -> TcpStream {
        let mut failed = false;
        loop {
            let addr = self.addr.get();
            let end_log = EndLog::new("counter", addr);
            tokio::select! {
                opened = connect(addr, self.connect_timeout, None) => {
                    connection.tried.set(true);
                    match opened {
                        Ok(stream) => {
                            end_log.suppress();
                            if failed {
                                self.reachable.notify_waiters();
                            }
                            return stream;
                        }
                        Err(e) => end_log.set_reason(EndReason::from_connect_error(&e)),
                    }
                    drop(end_log);
                    tokio::select! {
                        _ = tokio::time::sleep(CONNECT_RETRY) => {}
                        _ = self.reachable.notified() => {}
                    }
                }
                _ = self.reachable.notified() => end_log.set_reason(EndReason::ClosedHere),
            }
            failed = true;
        }
    }

    /// Waits until the first open call has timed out or, with `check_silence`, the connection has been silent for too
    /// long.
    async fn wait_due(&self, connection: &Connection, check_silence: bool) {
        loop {
            let call_due = connection.calls.borrow().iter().find(|c| !c.expired).map(|c| c.deadline);
            let silence_due = if check_silence { self.dead_at(connection) } else { None };
            // a call that is added meanwhile may be due before the silence limit
            match call_due.into_iter().chain(silence_due).min() {
                Some(at) => tokio::select! {
                    _ = tokio::time::sleep_until(at) => return,
                    _ = connection.call_added.notified() => {}
                },
                None => connection.call_added.notified().await,
            }
        }
    }

    /// Reports the calls that have timed out.
    fn expire_calls(&self, connection: &Connection) {
        let now = Instant::now();
        let mut ended = Vec::new();
        connection.calls.borrow_mut().retain_mut(|c| {
            if c.expired || c.deadline > now {
                return true;
            }
            c.expired = true;
            // nothing is written of a call that still waits for a connection: its bytes are removed, so that the
            // counter can't execute it any more
            let unwritten = c.start == connection.sent.get();
            if unwritten {
                connection.unsent.borrow_mut().drain(..(c.end - c.start) as usize);
                connection.sent.set(c.end);
            }
            ended.push((c.name, if unwritten { Outcome::NoConnection } else { Outcome::TimedOut }));
            !unwritten
        });
        ended.into_iter().for_each(|(name, outcome)| self.report(name, 0.0, outcome));
    }

    /// Reports the calls of a connection that has ended: those that were written completely may have been executed,
    /// the others were not. With `keep_unwritten`, calls of which nothing was written stay for the next connection.
    fn connection_ended(&self, connection: &Connection, keep_unwritten: bool) {
        let (calls, sent) = (std::mem::take(&mut *connection.calls.borrow_mut()), connection.sent.get());
        let (kept, ended) = calls.into_iter().partition(|c| keep_unwritten && c.start >= sent);
        *connection.calls.borrow_mut() = kept;
        let first = connection.calls.borrow().front().map_or(connection.queued.get(), |c| c.start);
        connection.unsent.borrow_mut().drain(..(first - sent) as usize);
        connection.sent.set(first);
        for c in Vec::from(ended).into_iter().filter(|c| !c.expired) {
            self.report(c.name, 0.0, if c.end <= sent { Outcome::Reset } else { Outcome::NoConnection });
        }
    }

    /// Serves a connection until it ends or, after a long silence, is replaced. The silent one is kept until the new
    /// one is open: a machine that was cut off may continue on it, or reset it, which shows that the machine is back.
    async fn serve_connection(
        &self,
        connection: &Connection,
        addr: SocketAddr,
        mut reader: OwnedReadHalf,
    ) -> (EndReason, Option<TcpStream>) {
        let (mut received, mut buf) = (Vec::with_capacity(4096), [0u8; 4096]);
        let mut replacement = std::pin::pin!(None);
        let mut next = None;
        self.send(connection);
        loop {
            let moved = self.addr.get() != addr;
            if next.is_some() && self.all_answered(connection) {
                return (EndReason::Moved, next);
            }
            if moved && next.is_none() && replacement.is_none() {
                replacement.set(Some(self.connect_until_open(connection)));
            }
            let stuck = !connection.unsent.borrow().is_empty() && !connection.draining.get();
            let replacing = replacement.is_some();
            tokio::select! {
                biased;
                read_result = reader.read(&mut buf) => {
                    match read_result {
                        Ok(n) if n > 0 => {
                            connection.last_received.set(Some(Instant::now()));
                            if !moved {
                                replacement.set(None);
                            }
                            received.extend_from_slice(&buf[..n]);
                        }
                        result => {
                            if replacing {
                                self.reachable.notify_waiters();
                            }
                            return (if result.is_ok() { EndReason::PeerClosed } else { EndReason::PeerReset }, next);
                        }
                    }
                    let mut consumed = 0;
                    loop {
                        match read_reply(&received[consumed..]) {
                            Ok(Some((reply, n))) => {
                                consumed += n;
                                // more replies than calls: all later replies would be matched to the wrong calls
                                if !self.handle_reply(connection, reply) {
                                    return (EndReason::Stray, next);
                                }
                            }
                            Ok(None) => break,
                            Err(_) => return (EndReason::Malformed, next),
                        }
                    }
                    received.drain(..consumed);
                }
                opened = async { replacement.as_mut().as_pin_mut().expect("a replacement is pending").await }, if replacing => {
                    replacement.set(None);
                    next = Some(opened);
                    if !moved {
                        return (EndReason::Silent, next);
                    }
                    connection.draining.set(true);
                }
                _ = self.reachable.notified(), if !moved => {}
                // the socket buffer is full; this is rare and does not justify a waker
                _ = tokio::time::sleep(Duration::from_millis(1)), if stuck => self.send(connection),
                _ = self.wait_due(connection, !replacing && next.is_none()) => {
                    self.expire_calls(connection);
                    if !replacing && next.is_none() && self.dead_at(connection).is_some_and(|at| at <= Instant::now()) {
                        replacement.set(Some(self.connect_until_open(connection)));
                    }
                }
            }
        }
    }

    /// When the connection is considered dead if nothing is received before: long after the oldest call without a
    /// reply.
    fn dead_at(&self, connection: &Connection) -> Option<Instant> {
        let oldest = connection.calls.borrow().front().map(|c| c.deadline - self.reply_timeout)?;
        Some(
            connection.last_received.get().map_or(oldest, |received_at| received_at.max(oldest))
                + self.reply_timeout * SILENT_TIMEOUTS,
        )
    }

    /// Reports the reply to the oldest written call. Returns false if there is no such call.
    fn handle_reply(&self, connection: &Connection, reply: Reply) -> bool {
        let sent = connection.sent.get();
        let Some(call) = connection.calls.borrow_mut().pop_front_if(|c| c.end <= sent) else { return false };
        if call.expired {
            return true;
        }
        match reply {
            Reply::Total(total) => {
                connection.served.set(true);
                self.report(call.name, total, Outcome::Passed)
            }
            Reply::Busy | Reply::Refused => self.report(call.name, 0.0, Outcome::Full),
        }
        true
    }

    /// Whether all written calls have their replies or have expired.
    fn all_answered(&self, connection: &Connection) -> bool {
        connection.calls.borrow().iter().all(|c| c.expired || c.end > connection.sent.get())
    }

    /// Writes as many bytes as the kernel accepts now.
    fn send(&self, connection: &Connection) {
        if connection.draining.get() {
            return;
        }
        let (writer, mut unsent) = (connection.writer.borrow(), connection.unsent.borrow_mut());
        while !unsent.is_empty() {
            // the buffer is full, or the connection is broken, which the reading task notices
            let Some(Ok(n)) = writer.as_ref().map(|writer| writer.try_write(&unsent)) else { return };
            unsent.drain(..n);
            connection.sent.set(connection.sent.get() + n as u64);
        }
    }
}

impl CounterSide for Counter {
    fn add(&self, name: u64, amount: f64, life: Span) {
        let connection = &self.connections[(name >> 1) as usize % CONNECTIONS];
        let (key, amount) = (format!("{name:x}"), format!("{}", amount as f32));
        let life = format!("{}", ((life.secs() * 1e3).round() as i64).max(1));
        let mut unsent = connection.unsent.borrow_mut();
        let (before, start) = (unsent.len(), connection.queued.get());
        write_call(&mut unsent, &["CNT.ADD", &key, &amount, &life]);
        let end = start + (unsent.len() - before) as u64;
        connection.queued.set(end);
        let call = Call { name, deadline: Instant::now() + self.reply_timeout, start, end, expired: false };
        let mut calls = connection.calls.borrow_mut();
        if calls.iter().all(|c| c.expired) {
            connection.call_added.notify_one();
        }
        calls.push_back(call);
    }
    fn flush(&self) {
        self.connections.iter().for_each(|connection| self.send(connection));
    }
}
