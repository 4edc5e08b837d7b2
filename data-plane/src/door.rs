//! What clients are answered: a request is read, its route and tenant are looked up in the tables in force, and it
//! goes to its service's pool. Here is no decision: what is not proper is refused, the rest is the pools'.

use crate::failures::{Failure, Failures};
use crate::operations::{self, Ended, KeptAnswer, Operations};
use crate::pools::Pools;
use crate::wire::{Carried, Made, Trail, ATTEMPT, DEADLINE, OPERATION_KEY};
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

/// Before the process is ready a body is read up to here, so that the answer is not lost in a reset.
const EARLY_BODY: usize = 64 << 10;
/// Seconds that are added to hints at most: those who were sent away together need not come back together.
const SPREAD: f64 = 0.6;

/// The longest that any client may say it waits, in seconds.
const LONGEST: f64 = 3600.0;

/// Bytes of bodies that may be held at once, of the process's memory.
const BODIES: f64 = 0.3;

/// The golden section: steps of it, taken round a circle, lie as evenly as can be after any number of them.
const GOLDEN_SECTION: f64 = 0.618_033_988_749_894_9;

/// Seconds after which one whose body found no room may come back.
const NO_ROOM: f64 = 0.2;

/// Seconds after which one may come back for which too few voters answered.
const NO_MAJORITY: f64 = 0.3;

/// Bytes of the longest operation key.
const OPERATION_KEY_MOST: usize = 256;

/// An operation key stays taken for so many seconds more than its window and its request last.
const KEY_MARGIN: f64 = 2.0;

/// For so many seconds at least, and up to 16,384 of them, the ids of requests that may run once are remembered.
const REMEMBERED: f64 = 30.0;

/// See the module.
pub struct Door {
    pools: Rc<Pools>,
    operations: Rc<Operations>,
    /// Those that may have run.
    ids: RefCell<RecentIds>,
    failures: Failures,
    /// Where the last request fell between the parts of a split, from 0 to 1.
    split: Cell<f64>,
    /// For the bodies of requests.
    memory: Arc<MemoryBudget>,
    pub closing: Cell<bool>,
}

/// What is kept of a request's head until it is handed to a pool.
#[derive(Clone)]
struct Asked {
    came: Timestamp,
    /// Seconds that it had then.
    left: f64,
    /// Where it falls between the parts of a split, from 0 to 1.
    split: f64,
    host: String,
    path: String,
    /// Its API key.
    token: Option<String>,
    attempt_id: Option<HeaderValue>,
}

/// The connection can't be used after it.
type Refusal = Box<Reply>;

impl Door {
    pub fn new(pools: Rc<Pools>, operations: Rc<Operations>, memory_mb: f64, seed: u64) -> Rc<Door> {
        let memory = MemoryBudget::new((memory_mb * 1e6 * BODIES) as usize);
        let split = Cell::new(fastrand::Rng::with_seed(seed).f64());
        let closing = Cell::new(false);
        Rc::new(Door {
            pools,
            operations,
            ids: RefCell::default(),
            failures: Failures::default(),
            split,
            memory,
            closing,
        })
    }

    async fn read(
        &self,
        req: Request<Incoming>,
        heads: &RequestFraming,
        by: Instant,
    ) -> Result<Reply, Refusal> {
        let (came, shuts) = (self.pools.clock.now(), self.pools.shut().1);
        let tables = self.pools.tables();
        let (mut head, body) = req.into_parts();
        let host =
            head.uri.host().or_else(|| header_text(&head.headers, &HOST)).unwrap_or_default().to_string();
        if tables.version() == 0 {
            return Err(Box::new(later(0.5))); // nothing is in force yet
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
        let left = match head.headers.get(&DEADLINE) {
            None => route.timeout,
            Some(v) => {
                let ms = v.to_str().ok().and_then(|v| v.trim().parse::<u64>().ok()).map(|ms| ms as f64 / 1e3);
                let ms = ms.filter(|s| *s <= LONGEST);
                ms.ok_or_else(|| refuse(StatusCode::BAD_REQUEST, "Lupinledge-Deadline-Ms: no milliseconds"))?
            }
        };
        let most = tables.limits().max_body_bytes;
        let told = header_text(&head.headers, &CONTENT_LENGTH).and_then(|l| l.parse::<u64>().ok());
        let large = || refuse(StatusCode::PAYLOAD_TOO_LARGE, "body: too long");
        if told.is_some_and(|l| l > most) {
            return Err(large());
        }
        // one that tells no length takes room as it comes
        let room = self.memory.try_reserve(told.unwrap_or(0) as usize);
        let mut room = room.ok_or_else(|| Box::new(later(NO_ROOM)))?;
        let takes = |bytes: usize| told.is_some() || room.try_grow(bytes);
        let body = match tokio::time::timeout_at(by, read_body_with_budget(body, most as usize, takes)).await
        {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::NoMemory)) => return Err(Box::new(later(NO_ROOM))),
            Ok(Err(BodyError::TooLong)) => return Err(large()),
            Ok(Err(BodyError::Broken)) => return Err(refuse(StatusCode::BAD_REQUEST, "body: broken")),
            Err(_) => return Err(refuse(StatusCode::REQUEST_TIMEOUT, "body: not there in time")),
        };
        if let (Some(hint), _) = self.pools.shut() {
            return Ok(away(hint));
        }
        // it was read by tables that were in doubt since
        if self.pools.shut().1 != shuts {
            return Ok(later(0.0));
        }
        if let Some(fault) = heads.fault() {
            return Err(refuse(StatusCode::BAD_REQUEST, fault));
        }
        let asked = Asked {
            came,
            left: left.min(route.timeout),
            split: self.next_of_split(),
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
        let once = once(route, tenant, &head.headers);
        let named = tenant.and_then(|t| HeaderValue::from_str(&t.name).ok());
        let carried = Carried::new(head.method, head.uri, std::mem::take(&mut head.headers), named, body);
        let (reply, attempts) = match operation {
            None => self.send_plain(&tables, route, tenant, &asked, once, carried).await?,
            Some((key, fingerprint)) => {
                let request = self.keyed_request(&tables, route, tenant, &asked, (key, fingerprint));
                self.send_keyed(request, asked.clone(), tenant.cloned(), carried, room).await
            }
        };
        if reply.status().is_server_error() || reply.status() == StatusCode::TOO_MANY_REQUESTS {
            let now = self.pools.clock.now();
            let failure = Failure {
                status: reply.status(),
                id: asked.attempt_id.as_ref().map_or(&[], |id| id.as_bytes()),
                route: &route.name,
                tenant: tenant.map_or("", |t| &t.name),
                took: now - came,
                attempts: &attempts,
            };
            self.failures.tell(now, &failure);
        }
        Ok(reply)
    }

    /// Has a request run that has no operation key.
    async fn send_plain(
        &self,
        tables: &Tables,
        route: &Route,
        tenant: Option<&Tenant>,
        asked: &Asked,
        once: Option<Vec<u8>>,
        carried: Carried,
    ) -> Result<(Reply, Vec<Attempt>), Refusal> {
        let Some((pool, new)) = place(&self.pools, tables, route, tenant, asked) else {
            return Ok((later(0.5), Vec::new()));
        };
        let new_id = |id: &[u8]| self.ids.borrow_mut().insert(id, asked.came.secs(), REMEMBERED);
        if once.as_deref().is_some_and(|id| !new_id(id)) {
            return Err(refuse(StatusCode::CONFLICT, "Lupinledge-Attempt-Id: had before"));
        }
        let (answer, attempts) = pool.submit(new, carried).answer_with_attempts().await;
        if let (Answer::Denied(_), Some(id)) = (&answer, &once) {
            self.ids.borrow_mut().remove(id);
        }
        Ok((self.reply(answer), attempts))
    }

    /// What is claimed for a request with an operation key.
    fn keyed_request(
        &self,
        tables: &Rc<Tables>,
        route: &Route,
        tenant: Option<&Tenant>,
        asked: &Asked,
        (key, fingerprint): (Key, Fingerprint),
    ) -> operations::Request {
        let (tables, route, tenant) = (tables.clone(), route.clone(), tenant.cloned());
        let longest = route.timeout.min(LONGEST);
        operations::Request {
            key,
            fingerprint,
            keep: self.pools.key_window() + longest + KEY_MARGIN,
            by: self.pools.clock.instant(asked.came + Span::from_secs(asked.left)),
            may_be_kept_in: Box::new(move |zone| tables.is_allowed_in(&route, tenant.as_ref(), zone)),
        }
    }

    /// Has a request run whose operation key is claimed first, or answers it by what its operation came to. The operation
    /// goes on if the client leaves.
    async fn send_keyed(
        &self,
        request: operations::Request,
        asked: Asked,
        tenant: Option<Tenant>,
        carried: Carried,
        room: Reservation,
    ) -> (Reply, Vec<Attempt>) {
        let (operations, pools) = (self.operations.clone(), self.pools.clone());
        let attempt_id = asked.attempt_id.clone();
        let (told, ended) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let _room = room;
            let send = move || take(&pools, &asked, tenant.as_ref(), carried);
            let _ = told.send(operations.perform(request, send).await);
        });
        let reply = match ended.await.unwrap_or(Ended::Lost) {
            Ended::Performed(answer, attempts) => return (self.reply(answer), attempts),
            Ended::Repeated(answer) => KeptAnswer::decoded(&answer, attempt_id.as_ref())
                .map_or_else(|| empty_reply(StatusCode::BAD_GATEWAY), passed),
            Ended::AtWork => text_reply(StatusCode::CONFLICT, "Lupinledge-Operation-Key: in work"),
            Ended::OtherRequest => {
                let text = "Lupinledge-Operation-Key: used for another request";
                text_reply(StatusCode::UNPROCESSABLE_ENTITY, text)
            }
            Ended::Lost => empty_reply(StatusCode::BAD_GATEWAY),
            Ended::Unavailable => later(NO_MAJORITY),
            Ended::NotSent => match self.pools.shut().0 {
                Some(hint) => away(hint),
                None => later(NO_ROOM),
            },
        };
        (reply, Vec::new())
    }

    fn reply(&self, answer: Answer<Trail>) -> Reply {
        match answer {
            Answer::Passed(made) | Answer::Failed(made) => passed(made),
            // not sent, see `Pools::shut`
            Answer::Denied(after) if self.pools.shut().0.is_some() => away(after.secs()),
            Answer::Denied(after) => retry(StatusCode::TOO_MANY_REQUESTS, after.secs()),
            Answer::Aborted => empty_reply(StatusCode::BAD_GATEWAY),
        }
    }

    /// Evenly spread numbers from 0 to 1: each part of a split gets its share of any few hundred requests, which
    /// numbers drawn by chance give it only of many thousands.
    fn next_of_split(&self) -> f64 {
        let next = (self.split.get() + GOLDEN_SECTION).fract();
        self.split.set(next);
        next
    }
}

fn refuse(status: StatusCode, what: &'static str) -> Refusal {
    Box::new(text_reply(status, what))
}

fn retry(status: StatusCode, secs: f64) -> Reply {
    let mut reply = empty_reply(status);
    if secs > 0.0 {
        let secs = HeaderValue::from_str(&format!("{secs:.3}"));
        secs.into_iter().for_each(|s| drop(reply.headers_mut().insert(RETRY_AFTER, s)));
    }
    reply
}

/// Not run, and nothing else will be on this connection.
fn away(secs: f64) -> Reply {
    let mut reply = later(secs + SPREAD * fastrand::f64());
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Not run, and never will be.
fn later(secs: f64) -> Reply {
    retry(StatusCode::SERVICE_UNAVAILABLE, secs)
}

fn passed(made: Made) -> Reply {
    let mut reply = Response::new(http_body_util::Full::new(made.body));
    (*reply.status_mut(), *reply.headers_mut()) = (made.status, made.headers);
    reply
}

/// Its one API key.
fn token(headers: &HeaderMap) -> Option<&str> {
    let mut all = headers.get_all(AUTHORIZATION).iter();
    let (first, second) = (all.next()?, all.next());
    let token = first.to_str().ok()?.strip_prefix("Token ")?;
    second.is_none().then_some(token.trim())
}

/// Whose API key the request bears; none where none is needed.
fn tenant<'a>(tables: &'a Tables, route: &Route, token: Option<&str>) -> Result<Option<&'a Tenant>, Refusal> {
    match token.and_then(|token| tables.tenant(token)) {
        None if tables.requires_key() && !route.public => {
            Err(refuse(StatusCode::UNAUTHORIZED, "Authorization: no known key"))
        }
        tenant => Ok(tenant),
    }
}

/// The key of the request's operation.
fn operation_key(headers: &HeaderMap) -> Result<Vec<u8>, Refusal> {
    let mut all = headers.get_all(&OPERATION_KEY).iter();
    let (Some(key), None) = (all.next(), all.next()) else {
        return Err(refuse(StatusCode::BAD_REQUEST, "Lupinledge-Operation-Key: one is needed"));
    };
    let key = key.as_bytes();
    if key.is_empty() || key.len() > OPERATION_KEY_MOST || !key.iter().all(u8::is_ascii_graphic) {
        let text = "Lupinledge-Operation-Key: has to be 1 to 256 visible ASCII characters";
        return Err(refuse(StatusCode::BAD_REQUEST, text));
    }
    Ok(key.to_vec())
}

/// The pool that a request goes to, and what the decisions are told of it.
fn place(
    pools: &Pools,
    tables: &Tables,
    route: &Route,
    tenant: Option<&Tenant>,
    asked: &Asked,
) -> Option<(Rc<Exchange<Trail>>, NewRequest)> {
    let service = route.choose_service(asked.split).and_then(|nth| tables.services().get(nth))?;
    let (pool, frontend, plan) = pools.pool(&service.name, route, tenant)?;
    let new = NewRequest {
        id: 0,
        frontend,
        repeat: false,
        units: 1.0,
        customer: tenant.map_or(0, |t| t.id),
        plan,
        spread: pools.spread(),
        time_left: Span::from_secs(asked.left) - (pools.clock.now() - asked.came),
        zones: pools.zones(tables, route, tenant),
    };
    Some((pool, new))
}

/// Hands a request whose key is claimed to its pool, by the tables in force now. None: its time is over, or there is no
/// such route any more, or it is not the tenant's.
fn take(
    pools: &Pools,
    asked: &Asked,
    before: Option<&Tenant>,
    carried: Carried,
) -> Option<PendingRequest<Trail>> {
    let tables = pools.tables();
    let route = tables.route(&asked.host, &asked.path).filter(|r| r.kind == RouteKind::Keyed)?;
    let tenant = tenant(&tables, route, asked.token.as_deref()).ok()?;
    let same_tenant = tenant.map(|t| &t.name) == before.map(|t| &t.name);
    let (pool, new) = place(pools, &tables, route, tenant, asked)?;
    let may_go = same_tenant && pools.shut().0.is_none() && new.time_left > Span::ZERO;
    may_go.then(|| pool.submit(new, carried))
}

/// The id of a request that may run once, among its tenant's.
fn once(route: &Route, tenant: Option<&Tenant>, headers: &HeaderMap) -> Option<Vec<u8>> {
    let id = headers.get(&ATTEMPT).filter(|_| route.kind == RouteKind::NonIdempotent)?;
    let whose = tenant.map_or(0, |t| t.id).to_le_bytes();
    Some([&whose[..], id.as_bytes()].concat())
}

/// The door before the process is ready: it runs nothing, and says at once when it may. `soon` tells in how many
/// seconds that is.
pub struct Early<F>(pub F);

impl<F: Fn() -> f64 + 'static> RequestHandler for Early<F> {
    async fn handle(&self, req: Request<Incoming>, _: &RequestFraming, whole_by: Instant) -> Reply {
        let _ = tokio::time::timeout_at(whole_by, read_body(req.into_body(), EARLY_BODY)).await;
        away((self.0)())
    }
}

impl RequestHandler for Door {
    async fn handle(&self, req: Request<Incoming>, heads: &RequestFraming, whole_by: Instant) -> Reply {
        if let (Some(hint), _) = self.pools.shut() {
            return Early(move || hint).handle(req, heads, whole_by).await;
        }
        match self.read(req, heads, whole_by).await {
            Ok(reply) => reply,
            Err(mut refusal) => {
                // what is left of a body that nobody reads must not be taken for the next request
                refusal.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                *refusal
            }
        }
    }
    fn on_closing(&self) {
        self.closing.set(true);
    }
}
