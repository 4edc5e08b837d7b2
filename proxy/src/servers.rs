//! Srvs: one req at a time on a connection, connections kept and used again, the last used first.

use crate::clock::duration;
use crate::exchange::{
    CancelDispatch, Dispatch, DispatchResult, Exchange, Protocol, ServerSide, WeakExchange,
};
use crate::transport::body::{read_body_with_budget, MemoryBudget, Reservation};
use crate::transport::counted::{at_rest, Counted, Meter, Rest};
use crate::transport::descriptors::{DescriptorPermit, DescriptorPool};
use crate::transport::dial::dial;
use crate::transport::ending::{Ending, Why};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lupinledge::interface::Outcome;
use lupinledge::time::Span;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tower::{Service, ServiceExt};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// What one wire says to srvs and hears from them.
pub trait ServerProtocol: Protocol + Sized {
    /// The req of a dispatch, which has so much time left. Of the headers, `Host` and the body's length are to
    /// be there; HTTP/1.1 has nothing else to add.
    fn build_request(&self, d: &Dispatch<Self>, left: Span) -> Request<Full<Bytes>>;
    /// What an answer says, and whether its connection may be used again.
    fn read_response(&self, d: &Dispatch<Self>, answer: Response<Bytes>) -> (DispatchResult<Self>, bool);
}

/// What bounds the connections to srvs.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// For a connection to come up.
    pub connect_timeout: Duration,
    /// The longest that a srv may be taken to keep an idle connection, less what the network may take: what
    /// crosses its closing may have run. It is closed here after seven eighths of that.
    pub max_idle: Duration,
    /// Whether the `Keep-Alive: timeout` of an answer, in whole seconds, less `connect_wait`, bounds it further.
    pub honor_keep_alive: bool,
    /// A connection is used again after so long a rest: what belongs to no answer comes right behind one, and
    /// then shows before a req is written.
    pub min_idle_before_reuse: Duration,
    /// An answer that has begun is there whole within so long, or its srv has lost the thread.
    pub response_timeout: Duration,
    /// The longest body of an answer, in bytes.
    pub max_body_bytes: usize,
    /// Bytes for heads, those told ahead included, and for the framing of chunks; 8 KiB at the least.
    pub max_head_bytes: usize,
    /// See `dial`.
    pub tcp_user_timeout: Option<Duration>,
}

/// An open connection. Dropped, it is closed.
struct Link {
    send: SendRequest<Full<Bytes>>,
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
    ending: Rc<Ending>,
    task: AbortHandle,
    used: Instant,
    /// For how long it may be idle by its srv's last answer.
    idle_most: Option<Duration>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if !self.send.is_closed() {
            self.ending.because(Why::Cancelled);
        }
        self.task.abort();
    }
}

/// All connections to srvs; the exchange's server side.
pub struct ServerConnections<W: ServerProtocol> {
    exchange: WeakExchange<W>,
    wire: W,
    places: Rc<DescriptorPool>,
    bounds: Cell<ServerLimits>,
    /// What the answers that are held may have in sum.
    memory: RefCell<Option<Arc<MemoryBudget>>>,
    /// Those that wait for a req, by srv: a new srv at an old address has none of its predecessor's.
    idle: RefCell<HashMap<u32, Vec<Link>>>,
    me: Weak<ServerConnections<W>>,
}

impl<W: ServerProtocol> ServerConnections<W> {
    /// With no connection yet; each one takes one of `places`.
    pub fn new(
        exchange: &Rc<Exchange<W>>,
        wire: W,
        bounds: ServerLimits,
        places: Rc<DescriptorPool>,
    ) -> Rc<ServerConnections<W>> {
        let srvs = Rc::new_cyclic(|me| ServerConnections {
            exchange: Rc::downgrade(exchange),
            wire,
            places,
            bounds: Cell::new(bounds),
            memory: RefCell::default(),
            idle: RefCell::default(),
            me: me.clone(),
        });
        tokio::task::spawn_local(srvs.clone().sweep());
        srvs
    }

    /// Other bounds hold from here on; the largest heads, and what is asked of the machine, for new connections.
    pub fn set_limits(&self, bounds: ServerLimits) {
        self.bounds.set(bounds);
    }

    /// From here on answers wait for room in this memory before they are read, and hold it until they are written.
    pub fn set_memory_budget(&self, memory: Arc<MemoryBudget>) {
        *self.memory.borrow_mut() = Some(memory);
    }

    /// Reads the body of an answer; `waits` is set while it waits for room in the memory.
    async fn body(&self, body: Incoming, waits: &Cell<bool>) -> Result<Bytes, ()> {
        let (largest, memory) = (self.bounds.get().max_body_bytes, self.memory.borrow().clone());
        let told = body.size_hint().exact().map(|bytes| bytes as usize);
        waits.set(true);
        let mut taken: Option<Reservation> = match (&memory, told) {
            (Some(memory), Some(bytes)) => Some(memory.reserve(bytes).await),
            (Some(memory), None) => Some(memory.reserve_nothing()),
            (None, _) => None,
        };
        waits.set(false);
        // one that tells no length takes room as it comes
        let grows = |bytes: usize| told.is_some() || taken.as_mut().is_none_or(|taken| taken.try_grow(bytes));
        let body = read_body_with_budget(body, largest, grows).await.map_err(|_| ())?;
        Ok(match taken {
            Some(taken) => taken.attach_to(body),
            None => body,
        })
    }

    /// Closes connections that have been idle for as long as they may.
    async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep((self.bounds.get().max_idle / 8).max(Duration::from_millis(50))).await;
            let now = Instant::now();
            self.idle.borrow_mut().retain(|_, links| {
                links.retain(|l| !l.send.is_closed() && !self.spent(l, now));
                !links.is_empty()
            });
        }
    }

    fn spent(&self, l: &Link, now: Instant) -> bool {
        let most = self.bounds.get().max_idle;
        let most = l.idle_most.map_or(most, |by_srv| most.min(by_srv));
        let spent = now.duration_since(l.used) >= most * 7 / 8;
        if spent {
            l.ending.because(Why::Idle);
        }
        spent
    }

    fn idle_link(&self, srv: u32, rest: Duration) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&srv)?;
        let now = Instant::now();
        loop {
            let l = links.remove(links.iter().rposition(|l| now.duration_since(l.used) >= rest)?);
            if l.send.is_closed() || self.spent(&l, now) {
                continue;
            }
            match at_rest(&l.stream) {
                Rest::Quiet => return Some(l),
                Rest::Over => l.ending.because(Why::PeerClosed),
                Rest::Stray => l.ending.because(Why::Stray),
            }
        }
    }

    /// With no place free, the connection that has been idle longest makes one.
    fn place(&self) -> Option<DescriptorPermit> {
        self.places.try_acquire().or_else(|| {
            let mut idle = self.idle.borrow_mut();
            let oldest = idle.iter().filter_map(|(a, l)| l.first().map(|l| (l.used, *a))).min()?.1;
            idle.get_mut(&oldest)?.remove(0).ending.because(Why::Crowded);
            None
        })
    }

    async fn open(&self, addr: SocketAddr) -> Option<Link> {
        let place = match self.place() {
            Some(place) => place,
            None => {
                tokio::task::yield_now().await; // the closed one's task gives its place back
                self.places.try_acquire()?
            }
        };
        let bounds = self.bounds.get();
        let ending = Ending::of("srv", addr);
        if let Some(exchange) = self.exchange.upgrade() {
            exchange.counters.srv_connections.up();
        }
        let stream = match dial(addr, bounds.connect_timeout, bounds.tcp_user_timeout).await {
            Ok(stream) => stream,
            Err(e) => {
                ending.because(Why::of_dial(&e));
                return None;
            }
        };
        let stream = Rc::new(stream);
        let (counted, meter) = Counted::new(stream.clone());
        let http = http1::Builder::new().max_buf_size(bounds.max_head_bytes).handshake(TokioIo::new(counted));
        let (send, conn) = http.await.ok()?;
        let noted = ending.clone();
        let task = tokio::task::spawn_local(async move {
            let end = conn.await;
            noted.because(Why::of_http(&end));
            drop((place, noted));
        });
        let (task, used) = (task.abort_handle(), Instant::now());
        Some(Link { send, stream, meter, ending, task, used, idle_most: None })
    }

    fn keep(&self, srv: u32, mut l: Link) {
        if !l.send.is_closed() && self.exchange.upgrade().is_some_and(|x| x.lists_server(srv)) {
            l.used = Instant::now();
            self.idle.borrow_mut().entry(srv).or_default().push(l);
        }
    }

    /// One dispatch, over connections until one takes its first byte.
    async fn call(self: Rc<Self>, d: Dispatch<W>) -> DispatchResult<W> {
        loop {
            let bounds = self.bounds.get();
            // the last used of those that have rested; one that has not, only where there is no place for more
            let rest = if self.places.has_free() { bounds.min_idle_before_reuse } else { Duration::ZERO };
            let reused = self.idle_link(d.server, rest);
            let fresh = reused.is_none();
            let opened = match reused {
                Some(l) => Some(l),
                None => self.open(d.addr).await,
            };
            let Some(mut l) = opened else { return DispatchResult::without_response(Outcome::NoConnection) };
            if l.send.ready().await.is_err() {
                if fresh {
                    return DispatchResult::without_response(Outcome::NoConnection);
                }
                continue;
            }
            let Some(exchange) = self.exchange.upgrade() else {
                return DispatchResult::without_response(Outcome::NotSent);
            };
            if !exchange.may_begin(&d) {
                self.keep(d.server, l);
                return DispatchResult::without_response(Outcome::NotSent);
            }
            let left = d.deadline - exchange.clock.now();
            let message = self.wire.build_request(&d, left);
            let body = message.body().size_hint().exact().unwrap_or_default() as usize;
            l.meter.begin(body, bounds.max_body_bytes + bounds.max_head_bytes);
            let (meter, waits) = (l.meter.clone(), Cell::new(false));
            let answer = tokio::time::timeout(duration(left), async {
                let answer = async {
                    let answer = l.send.send_request(message).await.map_err(|_| ())?;
                    let (head, body) = answer.into_parts();
                    // what ends with its connection can't be told from what broke off
                    if !bounded(&head.headers, &body, bounds.max_body_bytes) {
                        return Err(());
                    }
                    let body = self.body(body, &waits).await?;
                    Ok::<_, ()>(Response::from_parts(head, body))
                };
                let stalled = async {
                    meter.answering().await;
                    tokio::time::sleep(bounds.response_timeout).await;
                    while waits.get() {
                        tokio::time::sleep(bounds.response_timeout).await;
                    }
                };
                tokio::select! {
                    biased;
                    answer = answer => answer,
                    _ = stalled => Err(()),
                }
            });
            return match answer.await {
                Ok(Ok(answer)) => {
                    l.idle_most = keep_alive(answer.headers())
                        .filter(|_| bounds.honor_keep_alive)
                        .map(|kept| kept.saturating_sub(bounds.connect_timeout));
                    let (back, again) = self.wire.read_response(&d, answer);
                    // behind an answer that came early the rest of the body is still due on the connection
                    if again && meter.whole() {
                        self.keep(d.server, l);
                    } else {
                        l.ending.because(Why::ClosedHere);
                    }
                    back
                }
                Ok(Err(())) if !l.meter.started() && !fresh => continue, // idle, and closed by the srv
                Ok(Err(())) if !l.meter.may_run() => DispatchResult::without_response(Outcome::NoConnection),
                Ok(Err(())) => DispatchResult::without_response(Outcome::Reset),
                // the srv is not to blame for the room that lacks here
                Err(_) if waits.get() => DispatchResult::without_response(Outcome::Cancelled),
                Err(_) => {
                    l.ending.because(Why::TimedOut);
                    DispatchResult::without_response(if l.meter.may_run() {
                        Outcome::TimedOut
                    } else {
                        Outcome::NoConnection
                    })
                }
            };
        }
    }
}

/// Whether an answer tells where it ends, in one way, and is not too long.
fn bounded(headers: &HeaderMap, body: &Incoming, largest: usize) -> bool {
    let coding = headers.get(TRANSFER_ENCODING);
    match (coding, headers.contains_key(CONTENT_LENGTH)) {
        (None, true) => body.size_hint().exact().is_some_and(|n| n <= largest as u64),
        (Some(c), false) => c.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

/// How long an answer says that its connection is kept.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let told = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let secs = told.split(',').find_map(|p| p.trim().strip_prefix("timeout")?.trim().strip_prefix('='));
    Some(Duration::from_secs(secs?.trim().parse().ok()?))
}

impl<W: ServerProtocol> Service<Dispatch<W>> for Rc<ServerConnections<W>> {
    type Response = DispatchResult<W>;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<DispatchResult<W>, Self::Error>>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, d: Dispatch<W>) -> Self::Future {
        let call = ServerConnections::call(self.clone(), d);
        Box::pin(async move { Ok(call.await) })
    }
}

impl<W: ServerProtocol> ServerSide<W> for ServerConnections<W> {
    fn send(&self, d: Dispatch<W>) -> CancelDispatch {
        let (Some(me), Some(exchange)) = (self.me.upgrade(), self.exchange.upgrade()) else {
            return Box::new(|| {});
        };
        let (req, nth) = (d.request_id, d.attempt);
        let task = tokio::task::spawn_local(async move {
            let Ok(back) = me.oneshot(d).await;
            exchange.dispatch_ended(req, nth, back);
        });
        Box::new(move || task.abort())
    }
    fn close_idle(&self, srv: u32) {
        for l in self.idle.borrow_mut().remove(&srv).into_iter().flatten() {
            l.ending.because(Why::ClosedHere);
        }
    }
}

#[cfg(test)]
mod tests;
