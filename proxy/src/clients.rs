//! The connections from clients, and the HTTP service that passes their requests to a handler.

use crate::counters::Counters;
pub use crate::transport::body::{read_body, read_body_with_budget, BodyError};
use crate::transport::descriptors::DescriptorPermit;
use crate::transport::end_reason::{EndLog, EndReason};
use crate::transport::framing::{FramingStream, RequestFraming};
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

/// The limit connections that are closed at once to free descriptors.
const MAX_CLOSED_AT_ONCE: usize = 8;

/// The response to a client.
pub type Reply = Response<Full<Bytes>>;

/// Handles the requests of one protocol.
pub trait RequestHandler: 'static {
    /// Handles one request, which must be received completely by `receive_by`, see [`ClientLimits::request_timeout`].
    /// The connection's `framing` can change while the body is read: a fault means that the request is malformed. A
    /// reply with `Connection: close` closes the connection; it is required if the body was not read to its end. The
    /// future is dropped when the client leaves.
    fn handle(
        &self,
        request: Request<Incoming>,
        framing: &RequestFraming,
        receive_by: Instant,
    ) -> impl Future<Output = Reply>;
    /// Called when the connections begin to close, see [`ClientConnections::start_closing`].
    fn on_closing(&self) {}
}

/// The limits on client connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// How long a connection may be idle between two requests.
    pub idle_timeout: Duration,
    /// How long a request head may take from its first byte; for the first one of a connection, from the connect.
    pub head_timeout: Duration,
    /// How long a whole request may take from the end of its head; for the first one of a connection, from the
    /// connect.
    pub request_timeout: Duration,
    /// How long a connection that is being closed may stay with an incomplete request, or with a response of which
    /// nothing more can be written. It must leave enough time for data that is already on the network.
    pub unfinished_timeout: Duration,
    /// The interval at which `idle_timeout` and `head_timeout` are checked.
    pub sweep_interval: Duration,
    /// When descriptors run out, connections that have sent no request for this long are closed first: a typical
    /// client sends its request right after it connects.
    pub first_byte_wait: Duration,
    /// The largest request head, in bytes; at least 8 KiB.
    pub max_head_bytes: usize,
}

/// All client connections of one listening address, and the handler of their requests.
pub struct ClientConnections<A: RequestHandler> {
    handler: Rc<A>,
    counters: Rc<Counters>,
    limits: Cell<ClientLimits>,
    closing: Cell<bool>,
    next_id: Cell<u64>,
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    connection_removed: Notify,
}

/// The state of one connection that other tasks use.
struct Connection {
    /// Whether a request is being handled.
    busy: Cell<bool>,
    /// Whether it has sent a request.
    used: Cell<bool>,
    /// Since when no request is being handled.
    idle_since: Cell<Instant>,
    framing: Rc<RequestFraming>,
    close_requested: Notify,
    end_reason: Cell<Option<EndReason>>,
}

impl Connection {
    fn new() -> Rc<Connection> {
        Rc::new(Connection {
            busy: Cell::new(false),
            used: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            framing: Rc::default(),
            close_requested: Notify::new(),
            end_reason: Cell::new(None),
        })
    }

    fn request_close(&self, reason: EndReason) {
        self.end_reason.set(self.end_reason.get().or(Some(reason)));
        self.close_requested.notify_one();
    }

    /// Whether it is to be closed without waiting for anything.
    fn closes_at_once(&self) -> bool {
        matches!(self.end_reason.get(), Some(EndReason::Idle | EndReason::Unread | EndReason::Crowded))
    }

    /// For how long it has had no request, or only an incomplete head. The first head counts from the connect, so that
    /// single bytes do not keep the connection open.
    fn unused(&self) -> Option<Duration> {
        let head_started = self.framing.head_started().filter(|_| self.used.get());
        (!self.busy.get()).then(|| head_started.unwrap_or(self.last_active()).elapsed())
    }

    /// When its last response was ready, or a part of it was last written.
    fn last_active(&self) -> Instant {
        let since = self.idle_since.get();
        self.framing.last_written().map_or(since, |last_written| last_written.max(since))
    }

    /// Waits until it is to be closed. A connection without a request yet gets `unfinished_timeout` more: its first
    /// request may already be in the kernel's buffer, and hyper closes such a connection without reading it.
    async fn wait_closing(&self, unfinished_timeout: impl Fn() -> Duration) {
        self.close_requested.notified().await;
        if !self.used.get() && !self.closes_at_once() {
            tokio::time::sleep(unfinished_timeout()).await;
        }
    }

    /// Waits until for `span` no request was handled and no part of a response was written.
    async fn wait_unused(&self, span: Duration) {
        let mut since = Instant::now();
        while since.elapsed() < span {
            tokio::time::sleep(span / 10).await;
            if self.busy.get() {
                since = Instant::now();
            }
            since = since.max(self.last_active());
        }
    }
}

impl<A: RequestHandler> ClientConnections<A> {
    /// Creates it without connections.
    pub fn start(handler: Rc<A>, counters: Rc<Counters>, limits: ClientLimits) -> Rc<ClientConnections<A>> {
        let clients = Rc::new(ClientConnections {
            handler,
            counters,
            limits: Cell::new(limits),
            closing: Cell::new(false),
            next_id: Cell::new(0),
            connections: RefCell::default(),
            connection_removed: Notify::new(),
        });
        tokio::task::spawn_local(clients.clone().sweep());
        clients
    }

    /// Sets other limits. `max_head_bytes` applies to new connections only.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.limits.set(limits);
    }

    /// Closes connections that have had no request for too long. Otherwise clients that stay after a request, that
    /// send nothing, or that never complete a head could use up the descriptors.
    async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(self.limits.get().sweep_interval).await;
            let ClientLimits { idle_timeout, head_timeout, .. } = self.limits.get();
            for connection in self.connections.borrow().values().filter(|c| c.end_reason.get().is_none()) {
                let between_requests = connection.used.get() && connection.framing.head_started().is_none();
                let (limit, reason) = if between_requests {
                    (idle_timeout, EndReason::Idle)
                } else {
                    (head_timeout, EndReason::Unread)
                };
                if connection.unused().is_some_and(|unused| unused >= limit) {
                    connection.request_close(reason);
                }
            }
        }
    }

    /// From now on each reply asks its client to use another connection.
    pub fn start_closing(&self) {
        self.closing.set(true);
        self.handler.on_closing();
    }

    /// From now on replies do not ask for another connection any more.
    pub fn reopen(&self) {
        self.closing.set(false);
    }

    /// Closes the connections that have no request now, and the others after their response.
    pub fn close_all(&self) {
        self.connections.borrow().values().for_each(|c| c.request_close(EndReason::Drained));
    }

    /// Waits until no connection is left.
    pub async fn wait_closed(&self) {
        while !self.connections.borrow().is_empty() {
            self.connection_removed.notified().await;
        }
    }

    /// Closes connections that have not sent a request within `first_byte_wait`; if there are none, the one that has
    /// been idle for longest.
    pub fn free_descriptors(&self) {
        let connections = self.connections.borrow();
        let unused = || connections.values().filter(|c| c.end_reason.get().is_none() && c.unused().is_some());
        let no_request =
            unused().filter(|c| !c.used.get() && c.unused() >= Some(self.limits.get().first_byte_wait));
        if no_request.take(MAX_CLOSED_AT_ONCE).map(|c| c.request_close(EndReason::Crowded)).count() == 0 {
            let idle = unused().filter(|c| c.used.get()).max_by_key(|c| c.unused());
            idle.into_iter().for_each(|c| c.request_close(EndReason::Crowded));
        }
    }

    /// Serves a connection until it ends; with `single_request`, for one request only.
    pub fn serve(
        self: &Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        permit: DescriptorPermit,
        single_request: bool,
    ) {
        self.counters.client_connections.increment();
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Connection::new();
        self.connections.borrow_mut().insert(id, connection.clone());
        let service = ConnectionService {
            clients: self.clone(),
            connection: connection.clone(),
            close_after_reply: single_request,
        };
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            let end_log = EndLog::new("client", peer);
            let stream = FramingStream::new(stream, connection.framing.clone());
            let http = hyper::server::conn::http1::Builder::new()
                .auto_date_header(false)
                .max_buf_size(clients.limits.get().max_head_bytes)
                .serve_connection(TokioIo::new(stream), TowerToHyperService::new(service));
            tokio::pin!(http);
            let result = tokio::select! {
                biased;
                result = http.as_mut() => result,
                _ = connection.wait_closing(|| clients.limits.get().unfinished_timeout) => {
                    http.as_mut().graceful_shutdown();
                    // hyper may have read a request when it was polled last
                    let closes_at_once = connection.closes_at_once() && !connection.busy.get();
                    tokio::select! {
                        result = http.as_mut() => result,
                        _ = connection.wait_unused(clients.limits.get().unfinished_timeout), if !closes_at_once => Ok(()),
                        _ = std::future::ready(()), if closes_at_once => Ok(()),
                    }
                }
            };
            if let Some(reason) = connection.end_reason.get().filter(|_| result.is_ok()) {
                end_log.set_reason(reason);
            }
            end_log.set_reason(EndReason::from_http_result(&result));
            clients.connections.borrow_mut().remove(&id);
            clients.connection_removed.notify_waiters();
            drop((permit, end_log));
        });
    }
}

/// The HTTP service of one connection.
struct ConnectionService<A: RequestHandler> {
    clients: Rc<ClientConnections<A>>,
    connection: Rc<Connection>,
    close_after_reply: bool,
}

impl<A: RequestHandler> Clone for ConnectionService<A> {
    fn clone(&self) -> ConnectionService<A> {
        ConnectionService {
            clients: self.clients.clone(),
            connection: self.connection.clone(),
            close_after_reply: self.close_after_reply,
        }
    }
}

/// Marks a connection as not busy when dropped.
struct BusyGuard(Rc<Connection>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.idle_since.set(Instant::now());
    }
}

impl<A: RequestHandler> Service<Request<Incoming>> for ConnectionService<A> {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        self.connection.busy.set(true);
        let started = if self.connection.used.replace(true) {
            Instant::now()
        } else {
            self.connection.idle_since.get()
        };
        let receive_by = started + self.clients.limits.get().request_timeout;
        let guard = BusyGuard(self.connection.clone());
        let (clients, close_after_reply) = (self.clients.clone(), self.close_after_reply);
        Box::pin(async move {
            let mut reply = clients.handler.handle(request, &guard.0.framing, receive_by).await;
            if close_after_reply || guard.0.framing.must_close() || clients.closing.get() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                guard.0.end_reason.set(guard.0.end_reason.get().or(Some(EndReason::ClosedHere)));
            }
            Ok(reply)
        })
    }
}

/// A reply without a body.
pub fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// A reply with a text as its body.
pub fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(text.into()));
    *reply.status_mut() = status;
    reply
}

/// A header's value without surrounding space; `None` if it is missing or not ASCII text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}
