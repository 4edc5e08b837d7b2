//! Answers clients' requests: reads each request, looks up its route and tenant in the tables in force, and
//! passes it to the pool of its service. Load-balancing decisions are made by the pools; this module only
//! refuses requests that are invalid.

use crate::failure_log::{Failure, FailureLog};
use crate::operations::{self, KeyedOutcome, Operations, StoredAnswer};
use crate::pools::Pools;
use crate::server_protocol::{
    ForwardedRequest, GatewayProtocol, ServerAnswer, ATTEMPT, DEADLINE, OPERATION_KEY,
};
use crate::shutdown::ShutdownSchedule;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use lupinledge::interface::NewRequest;
use lupinledge::time::{Span, Timestamp};
use lupinledge_config::config::RouteKind;
use lupinledge_config::{Route, Tables, Tenant};
use lupinledge_operations::{Fingerprint, Key};
use lupinledge_proxy::clients::{
    empty_reply, header_text, read_body, read_body_with_budget, text_reply, BodyError, Reply, RequestHandler,
};
use lupinledge_proxy::exchange::{Answer, Attempt, Exchange, PendingRequest};
use lupinledge_proxy::ids::RecentIds;
use lupinledge_proxy::transport::body::{MemoryBudget, Reservation};
use lupinledge_proxy::transport::framing::RequestFraming;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Largest number of bytes of a request's body that are read before the process is ready. Closing a
/// connection with unread data resets it, and the client could lose the answer.
const EARLY_BODY_LIMIT: usize = 64 << 10;
/// Largest random delay in seconds that is added to `Retry-After` when a connection is closed, so that
/// clients that were sent away together do not all return together.
const RETRY_JITTER: f64 = 0.6;

/// Largest request deadline that a client may set, in seconds.
const MAX_DEADLINE: f64 = 3600.0;

/// Share of the process's memory that may hold request bodies.
const BODY_MEMORY_SHARE: f64 = 0.3;

/// The golden ratio's fractional part. Multiples of it, modulo 1, are spread evenly over the interval from 0
/// to 1 after any number of steps.
const GOLDEN_SECTION: f64 = 0.618_033_988_749_894_9;

/// `Retry-After` in seconds when there is no memory for the request's body.
const NO_MEMORY_RETRY: f64 = 0.2;

/// `Retry-After` in seconds when too few voters answered.
const NO_MAJORITY_RETRY: f64 = 0.3;

/// Largest length of an operation key in bytes.
const OPERATION_KEY_MAX_BYTES: usize = 256;

/// Seconds that an operation key stays claimed beyond its window and its request's timeout.
const KEY_MARGIN: f64 = 2.0;

/// The attempt ids of requests that may run only once are remembered for at least this many seconds, up to
/// 16,384 of them.
const ID_MEMORY: f64 = 30.0;

/// Answers clients' requests once the process is ready.
pub struct ClientHandler {
    pools: Rc<Pools>,
    operations: Rc<Operations>,
    /// Attempt ids of non-idempotent requests that may have run.
    ids: RefCell<RecentIds>,
    failure_log: FailureLog,
    /// The last value used to choose among a route's weighted services, from 0 to 1.
    split_position: Cell<f64>,
    /// Memory budget for request bodies.
    memory: Arc<MemoryBudget>,
    /// Set once the process was told to end.
    shutdown: Cell<Option<ShutdownSchedule>>,
}

/// The parts of a request's head that are needed until it is handed to a pool.
#[derive(Clone)]
struct RequestContext {
    /// When the head was read.
    received_at: Timestamp,
    /// Seconds until its deadline, counted from `received_at`.
    seconds_left: f64,
    /// Chooses among the route's weighted services, from 0 to 1.
    split_position: f64,
    host: String,
    path: String,
    /// The client's API key.
    token: Option<String>,
    attempt_id: Option<HeaderValue>,
}

/// A reply after which the connection is closed.
type Refusal = Box<Reply>;

impl ClientHandler {
    /// Creates the handler; `memory_mb` is the process's memory in megabytes.
    pub fn new(pools: Rc<Pools>, operations: Rc<Operations>, memory_mb: f64, seed: u64) -> Rc<ClientHandler> {
        let memory = MemoryBudget::new((memory_mb * 1e6 * BODY_MEMORY_SHARE) as usize);
        let split_position = Cell::new(fastrand::Rng::with_seed(seed).f64());
        Rc::new(ClientHandler {
            pools,
            operations,
            ids: RefCell::default(),
            failure_log: FailureLog::default(),
            split_position,
            memory,
            shutdown: Cell::new(None),
        })
    }

    /// From now on requests are passed on as the schedule allows.
    pub fn begin_shutdown(&self, schedule: ShutdownSchedule) {
        self.shutdown.set(Some(schedule));
    }

    /// Reads and validates a request, has it run, and returns the reply to its client.
    async fn read(
        &self,
        http_request: Request<Incoming>,
        framing: &RequestFraming,
        body_deadline: Instant,
    ) -> Result<Reply, Refusal> {
        let (received_at, suspensions_before) = (self.pools.clock.now(), self.pools.suspension().1);
        let tables = self.pools.tables();
        let (mut head, body) = http_request.into_parts();
        let host =
            head.uri.host().or_else(|| header_text(&head.headers, &HOST)).unwrap_or_default().to_string();
        if tables.version() == 0 {
            return Err(Box::new(unavailable(0.5))); // no configuration is in force yet
        }
        let route = tables
            .route(&host, head.uri.path())
            .ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no such route"))?;
        let tenant = tenant(&tables, route, token(&head.headers))?;
        if head.headers.get_all(&ATTEMPT).iter().count() != 1 {
            return Err(refuse(StatusCode::BAD_REQUEST, "Lupinledge-Attempt-Id: one is needed"));
        }
        let keyed = route.kind == RouteKind::Keyed;
        let operation_key = keyed.then(|| operation_key(&head.headers)).transpose()?;
        let seconds_left = match head.headers.get(&DEADLINE) {
            None => route.timeout,
            Some(v) => {
                let ms = v.to_str().ok().and_then(|v| v.trim().parse::<u64>().ok()).map(|ms| ms as f64 / 1e3);
                let ms = ms.filter(|s| *s <= MAX_DEADLINE);
                ms.ok_or_else(|| refuse(StatusCode::BAD_REQUEST, "Lupinledge-Deadline-Ms: no milliseconds"))?
            }
        };
        let max_bytes = tables.limits().max_body_bytes;
        let content_length = header_text(&head.headers, &CONTENT_LENGTH).and_then(|l| l.parse::<u64>().ok());
        let too_large = || refuse(StatusCode::PAYLOAD_TOO_LARGE, "body: too long");
        if content_length.is_some_and(|l| l > max_bytes) {
            return Err(too_large());
        }
        // a body without `Content-Length` reserves memory as it is read
        let reservation = self.memory.try_reserve(content_length.unwrap_or(0) as usize);
        let mut reservation = reservation.ok_or_else(|| Box::new(unavailable(NO_MEMORY_RETRY)))?;
        let reserve = |bytes: usize| content_length.is_some() || reservation.try_grow(bytes);
        let body = match tokio::time::timeout_at(
            body_deadline,
            read_body_with_budget(body, max_bytes as usize, reserve),
        )
        .await
        {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::NoMemory)) => return Err(Box::new(unavailable(NO_MEMORY_RETRY))),
            Ok(Err(BodyError::TooLong)) => return Err(too_large()),
            Ok(Err(BodyError::Broken)) => return Err(refuse(StatusCode::BAD_REQUEST, "body: broken")),
            Err(_) => return Err(refuse(StatusCode::REQUEST_TIMEOUT, "body: not there in time")),
        };
        if let (Some(hint), _) = self.pools.suspension() {
            return Ok(close_reply(hint));
        }
        // the request was checked against tables that have been in doubt meanwhile
        if self.pools.suspension().1 != suspensions_before {
            return Ok(unavailable(0.0));
        }
        if let Some(fault) = framing.fault() {
            return Err(refuse(StatusCode::BAD_REQUEST, fault));
        }
        let seconds_left = seconds_left.min(route.timeout);
        let time_limit = self.pools.clock.instant(received_at + Span::from_secs(seconds_left));
        let may_pass_on = |schedule: ShutdownSchedule| schedule.may_pass_on(Instant::now(), time_limit);
        if !self.shutdown.get().is_none_or(may_pass_on) {
            return Ok(unavailable(0.0)); // another gateway can still serve it
        }
        let context = RequestContext {
            received_at,
            seconds_left,
            split_position: self.next_split_position(),
            token: token(&head.headers).map(str::to_string),
            attempt_id: head.headers.get(&ATTEMPT).cloned(),
            host,
            path: head.uri.path().to_string(),
        };
        let operation = operation_key.map(|key| {
            let path = head.uri.path_and_query().map_or("", |path| path.as_str());
            let fingerprint = Fingerprint::of_request(head.method.as_str(), path, &body);
            (Key::derive(tenant.map_or("", |t| &t.name), &key), fingerprint)
        });
        let dedup_id = dedup_id_of(route, tenant, &head.headers);
        let tenant_header = tenant.and_then(|t| HeaderValue::from_str(&t.name).ok());
        let forwarded = ForwardedRequest::new(
            head.method,
            head.uri,
            std::mem::take(&mut head.headers),
            tenant_header,
            body,
        );
        let (reply, attempts) = match operation {
            None => self.send_plain(&tables, route, tenant, &context, dedup_id, forwarded).await?,
            Some((key, fingerprint)) => {
                let request = self.keyed_request(&tables, route, tenant, &context, (key, fingerprint));
                self.send_keyed(request, context.clone(), tenant.cloned(), forwarded, reservation).await
            }
        };
        if reply.status().is_server_error() || reply.status() == StatusCode::TOO_MANY_REQUESTS {
            let now = self.pools.clock.now();
            let failure = Failure {
                status: reply.status(),
                id: context.attempt_id.as_ref().map_or(&[], |id| id.as_bytes()),
                route: &route.name,
                tenant: tenant.map_or("", |t| &t.name),
                took: now - received_at,
                attempts: &attempts,
            };
            self.failure_log.record(now, &failure);
        }
        Ok(reply)
    }

    /// Runs a request that has no operation key.
    async fn send_plain(
        &self,
        tables: &Tables,
        route: &Route,
        tenant: Option<&Tenant>,
        context: &RequestContext,
        dedup_id: Option<Vec<u8>>,
        forwarded: ForwardedRequest,
    ) -> Result<(Reply, Vec<Attempt>), Refusal> {
        let Some((pool, new_request)) = choose_pool(&self.pools, tables, route, tenant, context) else {
            return Ok((unavailable(0.5), Vec::new()));
        };
        let new_id = |id: &[u8]| self.ids.borrow_mut().insert(id, context.received_at.secs(), ID_MEMORY);
        if dedup_id.as_deref().is_some_and(|id| !new_id(id)) {
            return Err(refuse(StatusCode::CONFLICT, "Lupinledge-Attempt-Id: had before"));
        }
        let (answer, attempts) = pool.submit(new_request, forwarded).answer_with_attempts().await;
        if let (Answer::Denied(_), Some(id)) = (&answer, &dedup_id) {
            self.ids.borrow_mut().remove(id);
        }
        Ok((self.reply(answer), attempts))
    }

    /// Builds the claim for a request that has an operation key.
    fn keyed_request(
        &self,
        tables: &Rc<Tables>,
        route: &Route,
        tenant: Option<&Tenant>,
        context: &RequestContext,
        (key, fingerprint): (Key, Fingerprint),
    ) -> operations::KeyedRequest {
        let (tables, route, tenant) = (tables.clone(), route.clone(), tenant.cloned());
        let timeout = route.timeout.min(MAX_DEADLINE);
        operations::KeyedRequest {
            key,
            fingerprint,
            keep_seconds: self.pools.key_window() + timeout + KEY_MARGIN,
            deadline: self.pools.clock.instant(context.received_at + Span::from_secs(context.seconds_left)),
            may_be_stored_in: Box::new(move |zone| tables.is_allowed_in(&route, tenant.as_ref(), zone)),
        }
    }

    /// Claims the operation key and runs the request, or answers with the stored result of an earlier request
    /// with the same key. The operation continues if the client disconnects.
    async fn send_keyed(
        &self,
        request: operations::KeyedRequest,
        context: RequestContext,
        tenant: Option<Tenant>,
        forwarded: ForwardedRequest,
        body_reservation: Reservation,
    ) -> (Reply, Vec<Attempt>) {
        let (operations, pools) = (self.operations.clone(), self.pools.clone());
        let attempt_id = context.attempt_id.clone();
        let (result_sender, result_receiver) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let _body_reservation = body_reservation;
            let send = move || send_to_pool(&pools, &context, tenant.as_ref(), forwarded);
            let _ = result_sender.send(operations.perform(request, send).await);
        });
        let reply = match result_receiver.await.unwrap_or(KeyedOutcome::Lost) {
            KeyedOutcome::Performed(answer, attempts) => return (self.reply(answer), attempts),
            KeyedOutcome::Repeated(answer) => StoredAnswer::decoded(&answer, attempt_id.as_ref())
                .map_or_else(|| empty_reply(StatusCode::BAD_GATEWAY), server_reply),
            KeyedOutcome::StillRunning => {
                text_reply(StatusCode::CONFLICT, "Lupinledge-Operation-Key: in work")
            }
            KeyedOutcome::OtherRequest => {
                let text = "Lupinledge-Operation-Key: used for another request";
                text_reply(StatusCode::UNPROCESSABLE_ENTITY, text)
            }
            KeyedOutcome::Lost => empty_reply(StatusCode::BAD_GATEWAY),
            KeyedOutcome::Unavailable => unavailable(NO_MAJORITY_RETRY),
            KeyedOutcome::NotSent => match self.pools.suspension().0 {
                Some(hint) => close_reply(hint),
                None => unavailable(NO_MEMORY_RETRY),
            },
        };
        (reply, Vec::new())
    }

    /// The reply for the outcome of an exchange.
    fn reply(&self, answer: Answer<GatewayProtocol>) -> Reply {
        match answer {
            Answer::Passed(server_answer) | Answer::Failed(server_answer) => server_reply(server_answer),
            // not sent to a server, see `Pools::suspension`
            Answer::Denied(after) if self.pools.suspension().0.is_some() => close_reply(after.secs()),
            Answer::Denied(after) => retry_reply(StatusCode::TOO_MANY_REQUESTS, after.secs()),
            Answer::Aborted => empty_reply(StatusCode::BAD_GATEWAY),
        }
    }

    /// Returns the next of a sequence of evenly spread numbers from 0 to 1. With it, each weighted service
    /// gets its share of any few hundred requests; random numbers would need many thousands.
    fn next_split_position(&self) -> f64 {
        let next = (self.split_position.get() + GOLDEN_SECTION).fract();
        self.split_position.set(next);
        next
    }
}

/// Refuses an invalid request; the connection is closed afterwards.
fn refuse(status: StatusCode, message: &'static str) -> Refusal {
    Box::new(text_reply(status, message))
}

/// A reply with a `Retry-After` header, if `retry_after` is positive.
fn retry_reply(status: StatusCode, retry_after: f64) -> Reply {
    let mut reply = empty_reply(status);
    if retry_after > 0.0 {
        let retry_after = HeaderValue::from_str(&format!("{retry_after:.3}"));
        retry_after.into_iter().for_each(|s| drop(reply.headers_mut().insert(RETRY_AFTER, s)));
    }
    reply
}

/// The request has not run, and the connection is closed.
fn close_reply(retry_after: f64) -> Reply {
    let mut reply = unavailable(retry_after + RETRY_JITTER * fastrand::f64());
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// The request has not run and will not run.
fn unavailable(retry_after: f64) -> Reply {
    retry_reply(StatusCode::SERVICE_UNAVAILABLE, retry_after)
}

/// The reply that passes a server's answer on.
fn server_reply(answer: ServerAnswer) -> Reply {
    let mut reply = Response::new(http_body_util::Full::new(answer.body));
    (*reply.status_mut(), *reply.headers_mut()) = (answer.status, answer.headers);
    reply
}

/// The request's API key, if its `Authorization` header holds exactly one.
fn token(headers: &HeaderMap) -> Option<&str> {
    let mut all = headers.get_all(AUTHORIZATION).iter();
    let (first, second) = (all.next()?, all.next());
    let token = first.to_str().ok()?.strip_prefix("Token ")?;
    second.is_none().then_some(token.trim())
}

/// The tenant that the request's API key belongs to; `None` where the route needs no key.
fn tenant<'a>(tables: &'a Tables, route: &Route, token: Option<&str>) -> Result<Option<&'a Tenant>, Refusal> {
    match token.and_then(|token| tables.tenant(token)) {
        None if tables.requires_key() && !route.public => {
            Err(refuse(StatusCode::UNAUTHORIZED, "Authorization: no known key"))
        }
        tenant => Ok(tenant),
    }
}

/// The request's operation key.
fn operation_key(headers: &HeaderMap) -> Result<Vec<u8>, Refusal> {
    let mut all = headers.get_all(&OPERATION_KEY).iter();
    let (Some(key), None) = (all.next(), all.next()) else {
        return Err(refuse(StatusCode::BAD_REQUEST, "Lupinledge-Operation-Key: one is needed"));
    };
    let key = key.as_bytes();
    if key.is_empty() || key.len() > OPERATION_KEY_MAX_BYTES || !key.iter().all(u8::is_ascii_graphic) {
        let text = "Lupinledge-Operation-Key: has to be 1 to 256 visible ASCII characters";
        return Err(refuse(StatusCode::BAD_REQUEST, text));
    }
    Ok(key.to_vec())
}

/// Chooses the pool for a request and describes the request to the decision module.
fn choose_pool(
    pools: &Pools,
    tables: &Tables,
    route: &Route,
    tenant: Option<&Tenant>,
    context: &RequestContext,
) -> Option<(Rc<Exchange<GatewayProtocol>>, NewRequest)> {
    let service = route.choose_service(context.split_position).and_then(|nth| tables.services().get(nth))?;
    let (pool, frontend, plan) = pools.pool(&service.name, route, tenant)?;
    let new_request = NewRequest {
        id: 0,
        frontend,
        repeat: false,
        units: 1.0,
        customer: tenant.map_or(0, |t| t.id),
        plan,
        spread: pools.spread(),
        time_left: Span::from_secs(context.seconds_left) - (pools.clock.now() - context.received_at),
        zones: pools.zones(tables, route, tenant),
    };
    Some((pool, new_request))
}

/// Hands a request whose key is claimed to its pool, by the tables in force now. Returns `None` if its
/// deadline has passed, or if the route no longer exists or belongs to another tenant.
fn send_to_pool(
    pools: &Pools,
    context: &RequestContext,
    tenant_before: Option<&Tenant>,
    forwarded: ForwardedRequest,
) -> Option<PendingRequest<GatewayProtocol>> {
    let tables = pools.tables();
    let route = tables.route(&context.host, &context.path).filter(|r| r.kind == RouteKind::Keyed)?;
    let tenant = tenant(&tables, route, context.token.as_deref()).ok()?;
    let same_tenant = tenant.map(|t| &t.name) == tenant_before.map(|t| &t.name);
    let (pool, new_request) = choose_pool(pools, &tables, route, tenant, context)?;
    let may_send = same_tenant && pools.suspension().0.is_none() && new_request.time_left > Span::ZERO;
    may_send.then(|| pool.submit(new_request, forwarded))
}

/// The deduplication id of a non-idempotent request: its tenant's number and its attempt id.
fn dedup_id_of(route: &Route, tenant: Option<&Tenant>, headers: &HeaderMap) -> Option<Vec<u8>> {
    let id = headers.get(&ATTEMPT).filter(|_| route.kind == RouteKind::NonIdempotent)?;
    let customer_bytes = tenant.map_or(0, |t| t.id).to_le_bytes();
    Some([&customer_bytes[..], id.as_bytes()].concat())
}

/// Answers clients before the process is ready: runs nothing and replies at once with a `Retry-After`. The
/// function returns the expected number of seconds until the process is ready.
pub struct NotReadyHandler<F>(pub F);

impl<F: Fn() -> f64 + 'static> RequestHandler for NotReadyHandler<F> {
    async fn handle(
        &self,
        request: Request<Incoming>,
        _: &RequestFraming,
        request_deadline: Instant,
    ) -> Reply {
        let _ =
            tokio::time::timeout_at(request_deadline, read_body(request.into_body(), EARLY_BODY_LIMIT)).await;
        close_reply((self.0)())
    }
}

impl RequestHandler for ClientHandler {
    async fn handle(
        &self,
        request: Request<Incoming>,
        framing: &RequestFraming,
        request_deadline: Instant,
    ) -> Reply {
        if let (Some(hint), _) = self.pools.suspension() {
            return NotReadyHandler(move || hint).handle(request, framing, request_deadline).await;
        }
        match self.read(request, framing, request_deadline).await {
            Ok(reply) => reply,
            Err(mut refusal) => {
                // the rest of an unread body must not be parsed as the next request
                refusal.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                *refusal
            }
        }
    }
}
