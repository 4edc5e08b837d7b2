//! Clients: their connections, behind which a service answers their reqs.

use crate::counters::Counters;
pub use crate::transport::body::{read_body, read_body_with_budget, BodyError};
use crate::transport::descriptors::DescriptorPermit;
use crate::transport::ending::{Ending, Why};
use crate::transport::framing::{Followed, RequestFraming};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tower::Service;

/// So many connections at most are ended at once to make room.
const MAKING_ROOM: usize = 8;

/// What a client is answered.
pub type Reply = Response<Full<Bytes>>;

/// How a wire's reqs are answered.
pub trait RequestHandler: 'static {
    /// Answers one req, which is to be there whole by `whole_by`, see [`ClientLimits::request_timeout`]. What the
    /// connection's `heads` say may change while the body is read: a fault makes the req malformed. A reply
    /// with `Connection: close` ends the connection, as one has to where a body was not read to its end. The
    /// future is dropped when the client leaves.
    fn handle(
        &self,
        req: Request<Incoming>,
        heads: &RequestFraming,
        whole_by: Instant,
    ) -> impl Future<Output = Reply>;
    /// Told when the connections begin to close, see [`ClientConnections::start_closing`].
    fn on_closing(&self) {}
}

/// What bounds client connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Between two reqs, a connection is ended after so long.
    pub idle_timeout: Duration,
    /// A head is there whole within so long of its first byte, a connection's first one of the connecting.
    pub head_timeout: Duration,
    /// A req is to be there whole within so long of its head's end, a connection's first one of the connecting.
    pub request_timeout: Duration,
    /// A connection that is to end and has begun a req without ending it, or of whose answer nothing more can be
    /// written, is cut after so long: time enough for what is already under way on a network.
    pub unfinished_timeout: Duration,
    /// `idle` and `head` are looked at so often.
    pub sweep_interval: Duration,
    /// A usual client's req comes right behind its connection. Where descriptors lack, one that has brought
    /// nothing for so long is the first to go.
    pub first_byte_wait: Duration,
    /// The longest head, in bytes; 8 KiB at the least.
    pub max_head_bytes: usize,
}

/// All client connections of one listening address, and what their reqs are answered by.
pub struct ClientConnections<A: RequestHandler> {
    answering: Rc<A>,
    counters: Rc<Counters>,
    bounds: Cell<ClientLimits>,
    closing: Cell<bool>,
    opened: Cell<u64>,
    links: RefCell<BTreeMap<u64, Rc<Link>>>,
    none_left: Notify,
}

/// One connection, as seen from the others.
struct Link {
    busy: Cell<bool>,
    used: Cell<bool>,
    /// Since when no req is being answered on it.
    since: Cell<Instant>,
    heads: Rc<RequestFraming>,
    stop: Notify,
    why: Cell<Option<Why>>,
}

impl Link {
    fn new() -> Rc<Link> {
        Rc::new(Link {
            busy: Cell::new(false),
            used: Cell::new(false),
            since: Cell::new(Instant::now()),
            heads: Rc::default(),
            stop: Notify::new(),
            why: Cell::new(None),
        })
    }

    fn end(&self, why: Why) {
        self.why.set(self.why.get().or(Some(why)));
        self.stop.notify_one();
    }

    /// Whether it is to be ended with nothing awaited any more.
    fn cut(&self) -> bool {
        matches!(self.why.get(), Some(Why::Idle | Why::Unread | Why::Crowded))
    }

    /// For how long it has had no req, or only the beginning of one. The first head counts from the connection
    /// on: bytes that come one by one are no req.
    fn unused(&self) -> Option<Duration> {
        let begun = self.heads.begun().filter(|_| self.used.get());
        (!self.busy.get()).then(|| begun.unwrap_or(self.last_used()).elapsed())
    }

    /// When its last answer was ready, or was last getting on.
    fn last_used(&self) -> Instant {
        let since = self.since.get();
        self.heads.wrote().map_or(since, |wrote| wrote.max(since))
    }

    /// Until it is to end. One that has brought nothing yet is given time: its first req may be in the
    /// machine's hands already, and hyper ends such a connection without a look.
    async fn to_end(&self, unfinished: impl Fn() -> Duration) {
        self.stop.notified().await;
        if !self.used.get() && !self.cut() {
            tokio::time::sleep(unfinished()).await;
        }
    }

    /// Until no req was here and no answer got on for so long at a stretch.
    async fn unused_for(&self, span: Duration) {
        let mut since = Instant::now();
        while since.elapsed() < span {
            tokio::time::sleep(span / 10).await;
            if self.busy.get() {
                since = Instant::now();
            }
            since = since.max(self.last_used());
        }
    }
}

impl<A: RequestHandler> ClientConnections<A> {
    /// With no connection yet.
    pub fn start(answering: Rc<A>, counters: Rc<Counters>, bounds: ClientLimits) -> Rc<ClientConnections<A>> {
        let clients = Rc::new(ClientConnections {
            answering,
            counters,
            bounds: Cell::new(bounds),
            closing: Cell::new(false),
            opened: Cell::new(0),
            links: RefCell::default(),
            none_left: Notify::new(),
        });
        tokio::task::spawn_local(clients.clone().sweep());
        clients
    }

    /// Other bounds hold from here on; the largest head for new connections.
    pub fn set_limits(&self, bounds: ClientLimits) {
        self.bounds.set(bounds);
    }

    /// Ends what has been without a req for long: clients that ask once and stay, that say nothing, or that
    /// never end a head would hold all descriptors between them.
    async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.bounds.get().sweep_interval).await;
            let ClientLimits { idle_timeout, head_timeout, .. } = self.bounds.get();
            for l in self.links.borrow().values().filter(|l| l.why.get().is_none()) {
                let between = l.used.get() && l.heads.begun().is_none();
                let (most, why) =
                    if between { (idle_timeout, Why::Idle) } else { (head_timeout, Why::Unread) };
                if l.unused().is_some_and(|u| u >= most) {
                    l.end(why);
                }
            }
        }
    }

    /// From here on each answer asks its client to take another connection.
    pub fn start_closing(&self) {
        self.closing.set(true);
        self.answering.on_closing();
    }

    /// Answers say nothing of another connection any more.
    pub fn reopen(&self) {
        self.closing.set(false);
    }

    /// Ends the connections that nobody uses now, the others after their answer.
    pub fn close_all(&self) {
        self.links.borrow().values().for_each(|l| l.end(Why::Drained));
    }

    /// Waits until there is no connection.
    pub async fn wait_closed(&self) {
        while !self.links.borrow().is_empty() {
            self.none_left.notified().await;
        }
    }

    /// Ends connections that have brought no req in the time in which a usual one comes; with none, the one
    /// that has been idle for longest.
    pub fn free_descriptors(&self) {
        let links = self.links.borrow();
        let unused = || links.values().filter(|l| l.why.get().is_none() && l.unused().is_some());
        let silent =
            unused().filter(|l| !l.used.get() && l.unused() >= Some(self.bounds.get().first_byte_wait));
        if silent.take(MAKING_ROOM).map(|l| l.end(Why::Crowded)).count() == 0 {
            let idle = unused().filter(|l| l.used.get()).max_by_key(|l| l.unused());
            idle.into_iter().for_each(|l| l.end(Why::Crowded));
        }
    }

    /// Serves a connection until it ends; with `tight`, for one req only.
    pub fn serve(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr, place: DescriptorPermit, tight: bool) {
        self.counters.client_connections.up();
        let nth = self.opened.get();
        self.opened.set(nth + 1);
        let link = Link::new();
        self.links.borrow_mut().insert(nth, link.clone());
        let reader = Reader { clients: self.clone(), link: link.clone(), last: tight };
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            let ending = Ending::of("client", peer);
            let stream = Followed::new(stream, link.heads.clone());
            let conn = hyper::server::conn::http1::Builder::new()
                .auto_date_header(false)
                .max_buf_size(clients.bounds.get().max_head_bytes)
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(reader));
            tokio::pin!(conn);
            let end = tokio::select! {
                biased;
                end = conn.as_mut() => end,
                _ = link.to_end(|| clients.bounds.get().unfinished_timeout) => {
                    conn.as_mut().graceful_shutdown();
                    // a req may have come with the last look at it
                    let cut = link.cut() && !link.busy.get();
                    tokio::select! {
                        end = conn.as_mut() => end,
                        _ = link.unused_for(clients.bounds.get().unfinished_timeout), if !cut => Ok(()),
                        _ = std::future::ready(()), if cut => Ok(()),
                    }
                }
            };
            if let Some(why) = link.why.get().filter(|_| end.is_ok()) {
                ending.because(why);
            }
            ending.because(Why::of_http(&end));
            clients.links.borrow_mut().remove(&nth);
            clients.none_left.notify_waiters();
            drop((place, ending));
        });
    }
}

/// The service of one connection.
struct Reader<A: RequestHandler> {
    clients: Rc<ClientConnections<A>>,
    link: Rc<Link>,
    last: bool,
}

impl<A: RequestHandler> Clone for Reader<A> {
    fn clone(&self) -> Reader<A> {
        Reader { clients: self.clients.clone(), link: self.link.clone(), last: self.last }
    }
}

/// Marks a connection as used while it holds a req.
struct Busy(Rc<Link>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.since.set(Instant::now());
    }
}

impl<A: RequestHandler> Service<Request<Incoming>> for Reader<A> {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, req: Request<Incoming>) -> Self::Future {
        self.link.busy.set(true);
        let since = if self.link.used.replace(true) { Instant::now() } else { self.link.since.get() };
        let whole_by = since + self.clients.bounds.get().request_timeout;
        let busy = Busy(self.link.clone());
        let (clients, last) = (self.clients.clone(), self.last);
        Box::pin(async move {
            let mut reply = clients.answering.handle(req, &busy.0.heads, whole_by).await;
            if last || busy.0.heads.last() || clients.closing.get() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                busy.0.why.set(busy.0.why.get().or(Some(Why::ClosedHere)));
            }
            Ok(reply)
        })
    }
}

/// A reply with no body.
pub fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// A reply that says something in words.
pub fn text_reply(status: StatusCode, what: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(what.into()));
    *reply.status_mut() = status;
    reply
}

/// A header's value without the space around it; `None` too where it is no ASCII text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}
