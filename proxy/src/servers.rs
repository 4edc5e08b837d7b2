//! The connections to servers: one request at a time on each, and idle ones are reused, the last used first.

use crate::clock::duration;
use crate::exchange::{
    CancelDispatch, Dispatch, DispatchResult, Exchange, Protocol, ServerSide, WeakExchange,
};
use crate::transport::body::{read_body_with_budget, MemoryBudget, Reservation};
use crate::transport::connect::connect;
use crate::transport::descriptors::{DescriptorPermit, DescriptorPool};
use crate::transport::end_reason::{EndLog, EndReason};
use crate::transport::metered::{check_idle, IdleState, MessageMeter, MeteredStream};
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

/// Builds the requests to servers and reads their responses for one protocol.
pub trait ServerProtocol: Protocol + Sized {
    /// The HTTP request of a dispatch that has `left` until its deadline. It must set `Host` and the length of the
    /// body; no header is added to it.
    fn build_request(&self, dispatch: &Dispatch<Self>, left: Span) -> Request<Full<Bytes>>;
    /// The result of a response, and whether its connection may be reused.
    fn read_response(
        &self,
        dispatch: &Dispatch<Self>,
        response: Response<Bytes>,
    ) -> (DispatchResult<Self>, bool);
}

/// The limits on connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// How long a connection attempt may take.
    pub connect_timeout: Duration,
    /// The time for which servers are assumed to keep an idle connection open, less the network delay: a request that
    /// is sent while the server closes the connection may have run. Idle connections are closed here after seven
    /// eighths of it.
    pub max_idle: Duration,
    /// Whether the `Keep-Alive: timeout` of a response, in whole seconds, less `connect_timeout`, can lower
    /// `max_idle`.
    pub honor_keep_alive: bool,
    /// How long a connection must be idle before it is reused. Stray bytes arrive right after a response, and are
    /// detected in this time, before another request is written.
    pub min_idle_before_reuse: Duration,
    /// How long a response may take from its first byte to its last. A server that takes longer is considered stuck,
    /// and the dispatch fails.
    pub response_timeout: Duration,
    /// The largest response body, in bytes.
    pub max_body_bytes: usize,
    /// The largest size of heads, including those of informational responses, and of chunk framing, in bytes; at least
    /// 8 KiB.
    pub max_head_bytes: usize,
    /// See [`connect`].
    pub tcp_user_timeout: Option<Duration>,
}

/// An open connection, closed when dropped.
struct Connection {
    send: SendRequest<Full<Bytes>>,
    stream: Rc<TcpStream>,
    meter: Rc<MessageMeter>,
    end_log: Rc<EndLog>,
    task: AbortHandle,
    last_used: Instant,
    /// How long it may be idle according to the server's last response.
    max_idle_by_server: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.send.is_closed() {
            self.end_log.set_reason(EndReason::Cancelled);
        }
        self.task.abort();
    }
}

/// All connections to servers; the exchange's server side.
pub struct ServerConnections<P: ServerProtocol> {
    exchange: WeakExchange<P>,
    protocol: P,
    descriptors: Rc<DescriptorPool>,
    limits: Cell<ServerLimits>,
    /// The budget for the bodies of responses, if there is one.
    memory: RefCell<Option<Arc<MemoryBudget>>>,
    /// Idle connections by server index, so that a new server does not get those of its predecessor at the same
    /// address.
    idle: RefCell<HashMap<u32, Vec<Connection>>>,
    weak_self: Weak<ServerConnections<P>>,
}

impl<P: ServerProtocol> ServerConnections<P> {
    /// Creates it without connections; each one holds a permit of `descriptors`.
    pub fn new(
        exchange: &Rc<Exchange<P>>,
        protocol: P,
        limits: ServerLimits,
        descriptors: Rc<DescriptorPool>,
    ) -> Rc<ServerConnections<P>> {
        let servers = Rc::new_cyclic(|weak_self| ServerConnections {
            exchange: Rc::downgrade(exchange),
            protocol,
            descriptors,
            limits: Cell::new(limits),
            memory: RefCell::default(),
            idle: RefCell::default(),
            weak_self: weak_self.clone(),
        });
        tokio::task::spawn_local(servers.clone().sweep());
        servers
    }

    /// Sets other limits. `max_head_bytes` and `tcp_user_timeout` apply to new connections only.
    pub fn set_limits(&self, limits: ServerLimits) {
        self.limits.set(limits);
    }

    /// From now on the body of each response waits for room in this budget before it is read, and holds it until it is
    /// written to the client.
    pub fn set_memory_budget(&self, memory: Arc<MemoryBudget>) {
        *self.memory.borrow_mut() = Some(memory);
    }

    /// Reads the body of a response; `waiting_for_memory` is set while it waits for room in the budget.
    async fn read_body(&self, body: Incoming, waiting_for_memory: &Cell<bool>) -> Result<Bytes, ()> {
        let (max_bytes, memory) = (self.limits.get().max_body_bytes, self.memory.borrow().clone());
        let announced = body.size_hint().exact().map(|bytes| bytes as usize);
        waiting_for_memory.set(true);
        let mut reservation: Option<Reservation> = match (&memory, announced) {
            (Some(memory), Some(bytes)) => Some(memory.reserve(bytes).await),
            (Some(memory), None) => Some(memory.reserve_nothing()),
            (None, _) => None,
        };
        waiting_for_memory.set(false);
        // without an announced length the memory is reserved piece by piece
        let reserve = |bytes: usize| {
            announced.is_some() || reservation.as_mut().is_none_or(|reservation| reservation.try_grow(bytes))
        };
        let body = read_body_with_budget(body, max_bytes, reserve).await.map_err(|_| ())?;
        Ok(match reservation {
            Some(reservation) => reservation.attach_to(body),
            None => body,
        })
    }

    /// Closes connections that have been idle for too long.
    async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep((self.limits.get().max_idle / 8).max(Duration::from_millis(50))).await;
            let now = Instant::now();
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain(|c| !c.send.is_closed() && !self.expired(c, now));
                !connections.is_empty()
            });
        }
    }

    /// Whether a connection has been idle for too long to be reused.
    fn expired(&self, connection: &Connection, now: Instant) -> bool {
        let max_idle = self.limits.get().max_idle;
        let max_idle = connection.max_idle_by_server.map_or(max_idle, |by_server| max_idle.min(by_server));
        let expired = now.duration_since(connection.last_used) >= max_idle * 7 / 8;
        if expired {
            connection.end_log.set_reason(EndReason::Idle);
        }
        expired
    }

    /// Takes the last used connection that can be reused.
    fn take_idle(&self, server: u32, min_idle: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let now = Instant::now();
        loop {
            let connection = connections
                .remove(connections.iter().rposition(|c| now.duration_since(c.last_used) >= min_idle)?);
            if connection.send.is_closed() || self.expired(&connection, now) {
                continue;
            }
            match check_idle(&connection.stream) {
                IdleState::Clean => return Some(connection),
                IdleState::Closed => connection.end_log.set_reason(EndReason::PeerClosed),
                IdleState::StrayBytes => connection.end_log.set_reason(EndReason::Stray),
            }
        }
    }

    /// Takes a descriptor permit. If none is free, the connection that has been idle longest is closed, and its permit
    /// becomes free with the next turn of its task.
    fn acquire(&self) -> Option<DescriptorPermit> {
        self.descriptors.try_acquire().or_else(|| {
            let mut idle = self.idle.borrow_mut();
            let longest_idle = idle
                .iter()
                .filter_map(|(server, connections)| connections.first().map(|c| (c.last_used, *server)))
                .min()?
                .1;
            idle.get_mut(&longest_idle)?.remove(0).end_log.set_reason(EndReason::Crowded);
            None
        })
    }

    /// Opens a connection; `None` if it fails or no descriptor is free.
    async fn open_connection(&self, addr: SocketAddr) -> Option<Connection> {
        let permit = match self.acquire() {
            Some(permit) => permit,
            None => {
                tokio::task::yield_now().await; // the task of the closed connection returns its permit
                self.descriptors.try_acquire()?
            }
        };
        let limits = self.limits.get();
        let end_log = EndLog::new("srv", addr);
        if let Some(exchange) = self.exchange.upgrade() {
            exchange.counters.srv_connections.increment();
        }
        let stream = match connect(addr, limits.connect_timeout, limits.tcp_user_timeout).await {
            Ok(stream) => stream,
            Err(e) => {
                end_log.set_reason(EndReason::from_connect_error(&e));
                return None;
            }
        };
        let stream = Rc::new(stream);
        let (metered, meter) = MeteredStream::new(stream.clone());
        let handshake =
            http1::Builder::new().max_buf_size(limits.max_head_bytes).handshake(TokioIo::new(metered));
        let (send, http) = handshake.await.ok()?;
        let task_log = end_log.clone();
        let task = tokio::task::spawn_local(async move {
            let result = http.await;
            task_log.set_reason(EndReason::from_http_result(&result));
            drop((permit, task_log));
        });
        let (task, last_used) = (task.abort_handle(), Instant::now());
        Some(Connection { send, stream, meter, end_log, task, last_used, max_idle_by_server: None })
    }

    /// Keeps a connection for reuse.
    fn keep(&self, server: u32, mut connection: Connection) {
        if !connection.send.is_closed()
            && self.exchange.upgrade().is_some_and(|exchange| exchange.lists_server(server))
        {
            connection.last_used = Instant::now();
            self.idle.borrow_mut().entry(server).or_default().push(connection);
        }
    }

    /// Sends one dispatch. It goes on to another connection as long as no byte of it was written.
    async fn call(self: Rc<Self>, dispatch: Dispatch<P>) -> DispatchResult<P> {
        loop {
            let limits = self.limits.get();
            // without a free descriptor a connection is reused even before `min_idle_before_reuse`
            let min_idle =
                if self.descriptors.has_free() { limits.min_idle_before_reuse } else { Duration::ZERO };
            let reused = self.take_idle(dispatch.server, min_idle);
            let newly_opened = reused.is_none();
            let opened = match reused {
                Some(connection) => Some(connection),
                None => self.open_connection(dispatch.addr).await,
            };
            let Some(mut connection) = opened else {
                return DispatchResult::without_response(Outcome::NoConnection);
            };
            if connection.send.ready().await.is_err() {
                if newly_opened {
                    return DispatchResult::without_response(Outcome::NoConnection);
                }
                continue;
            }
            let Some(exchange) = self.exchange.upgrade() else {
                return DispatchResult::without_response(Outcome::NotSent);
            };
            if !exchange.may_begin(&dispatch) {
                self.keep(dispatch.server, connection);
                return DispatchResult::without_response(Outcome::NotSent);
            }
            let left = dispatch.deadline - exchange.clock.now();
            let request = self.protocol.build_request(&dispatch, left);
            let body_bytes = request.body().size_hint().exact().unwrap_or_default() as usize;
            connection.meter.begin(body_bytes, limits.max_body_bytes + limits.max_head_bytes);
            let (meter, waiting_for_memory) = (connection.meter.clone(), Cell::new(false));
            let response = tokio::time::timeout(duration(left), async {
                let response = async {
                    let response = connection.send.send_request(request).await.map_err(|_| ())?;
                    let (head, body) = response.into_parts();
                    // a response that ends with its connection can't be distinguished from one that broke off
                    if !has_valid_length(&head.headers, &body, limits.max_body_bytes) {
                        return Err(());
                    }
                    let body = self.read_body(body, &waiting_for_memory).await?;
                    Ok::<_, ()>(Response::from_parts(head, body))
                };
                let stalled = async {
                    meter.wait_response_begun().await;
                    tokio::time::sleep(limits.response_timeout).await;
                    while waiting_for_memory.get() {
                        tokio::time::sleep(limits.response_timeout).await;
                    }
                };
                tokio::select! {
                    biased;
                    response = response => response,
                    _ = stalled => Err(()),
                }
            });
            return match response.await {
                Ok(Ok(response)) => {
                    connection.max_idle_by_server = keep_alive(response.headers())
                        .filter(|_| limits.honor_keep_alive)
                        .map(|timeout| timeout.saturating_sub(limits.connect_timeout));
                    let (result, reusable) = self.protocol.read_response(&dispatch, response);
                    // after an early response the rest of the request body would still have to be sent
                    if reusable && meter.fully_written() {
                        self.keep(dispatch.server, connection);
                    } else {
                        connection.end_log.set_reason(EndReason::ClosedHere);
                    }
                    result
                }
                // it was idle, and the server has closed it
                Ok(Err(())) if !connection.meter.started() && !newly_opened => continue,
                Ok(Err(())) if !connection.meter.may_have_run() => {
                    DispatchResult::without_response(Outcome::NoConnection)
                }
                Ok(Err(())) => DispatchResult::without_response(Outcome::Reset),
                // the memory that is missing here is no failure of the server
                Err(_) if waiting_for_memory.get() => DispatchResult::without_response(Outcome::Cancelled),
                Err(_) => {
                    connection.end_log.set_reason(EndReason::TimedOut);
                    DispatchResult::without_response(if connection.meter.may_have_run() {
                        Outcome::TimedOut
                    } else {
                        Outcome::NoConnection
                    })
                }
            };
        }
    }
}

/// Whether a response states its end in exactly one way and is not too long.
fn has_valid_length(headers: &HeaderMap, body: &Incoming, max_bytes: usize) -> bool {
    let transfer_encoding = headers.get(TRANSFER_ENCODING);
    match (transfer_encoding, headers.contains_key(CONTENT_LENGTH)) {
        (None, true) => body.size_hint().exact().is_some_and(|n| n <= max_bytes as u64),
        (Some(coding), false) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

/// How long the server keeps the connection open, according to its response.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let announced = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let secs = announced.split(',').find_map(|p| p.trim().strip_prefix("timeout")?.trim().strip_prefix('='));
    Some(Duration::from_secs(secs?.trim().parse().ok()?))
}

impl<P: ServerProtocol> Service<Dispatch<P>> for Rc<ServerConnections<P>> {
    type Response = DispatchResult<P>;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<DispatchResult<P>, Self::Error>>>>;

    fn poll_ready(&mut self, _: &mut Context) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }
    fn call(&mut self, dispatch: Dispatch<P>) -> Self::Future {
        let call = ServerConnections::call(self.clone(), dispatch);
        Box::pin(async move { Ok(call.await) })
    }
}

impl<P: ServerProtocol> ServerSide<P> for ServerConnections<P> {
    fn send(&self, dispatch: Dispatch<P>) -> CancelDispatch {
        let (Some(servers), Some(exchange)) = (self.weak_self.upgrade(), self.exchange.upgrade()) else {
            return Box::new(|| {});
        };
        let (request_id, attempt) = (dispatch.request_id, dispatch.attempt);
        let task = tokio::task::spawn_local(async move {
            let Ok(result) = servers.oneshot(dispatch).await;
            exchange.dispatch_ended(request_id, attempt, result);
        });
        Box::new(move || task.abort())
    }
    fn close_idle(&self, server: u32) {
        for connection in self.idle.borrow_mut().remove(&server).into_iter().flatten() {
            connection.end_log.set_reason(EndReason::ClosedHere);
        }
    }
}

#[cfg(test)]
mod tests;
