//! What clients are answered: a request is read, its route and tenant are looked up in the tables in force, and it
//! goes to its service's pool. Here is no decision: what is not proper is refused, the rest is the pools'.

use crate::failures::{Failure, Failures};
use crate::pools::Pools;
use crate::wire::{Carried, Made, ATTEMPT, DEADLINE};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use lupinledge::link::NewReq;
use lupinledge::time::Span;
use lupinledge_comb::clients::{bare, say, text, whole, whole_counted, Answering, Reply, Unread};
use lupinledge_comb::exchange::Answer;
use lupinledge_comb::ids::Ids;
use lupinledge_comb::transport::body::Memory;
use lupinledge_comb::transport::heads::Heads;
use lupinledge_propolis::config::RouteKind;
use lupinledge_propolis::{Route, Tables, Tenant};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
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

/// For so many seconds at least, and up to 16,384 of them, the ids of requests that may run once are remembered.
const REMEMBERED: f64 = 30.0;

/// See the module.
pub struct Door {
    pools: Rc<Pools>,
    /// Those that may have run.
    ids: RefCell<Ids>,
    failures: Failures,
    /// Where the last request fell between the parts of a split, from 0 to 1.
    split: Cell<f64>,
    /// For the bodies of requests.
    memory: Arc<Memory>,
    pub closing: Cell<bool>,
}

/// The connection can't be used after it.
type Refusal = Box<Reply>;

impl Door {
    pub fn new(pools: Rc<Pools>, memory_mb: f64, seed: u64) -> Rc<Door> {
        let memory = Memory::of((memory_mb * 1e6 * BODIES) as usize);
        let split = Cell::new(fastrand::Rng::with_seed(seed).f64());
        let closing = Cell::new(false);
        Rc::new(Door {
            pools,
            ids: RefCell::default(),
            failures: Failures::default(),
            split,
            memory,
            closing,
        })
    }

    async fn read(&self, req: Request<Incoming>, heads: &Heads, by: Instant) -> Result<Reply, Refusal> {
        let (came, shuts) = (self.pools.clock.now(), self.pools.shut().1);
        let tables = self.pools.tables();
        let (mut head, body) = req.into_parts();
        let host = head.uri.host().or_else(|| text(&head.headers, &HOST)).unwrap_or_default().to_string();
        if tables.version() == 0 {
            return Err(Box::new(later(0.5))); // nothing is in force yet
        }
        let route = tables
            .route(&host, head.uri.path())
            .ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no such route"))?;
        let tenant = tenant(&tables, route, &head.headers)?;
        if head.headers.get_all(&ATTEMPT).iter().count() != 1 {
            return Err(refuse(StatusCode::BAD_REQUEST, "Lupinledge-Attempt-Id: one is needed"));
        }
        let left = match head.headers.get(&DEADLINE) {
            None => route.timeout,
            Some(v) => {
                let ms = v.to_str().ok().and_then(|v| v.trim().parse::<u64>().ok()).map(|ms| ms as f64 / 1e3);
                let ms = ms.filter(|s| *s <= LONGEST);
                ms.ok_or_else(|| refuse(StatusCode::BAD_REQUEST, "Lupinledge-Deadline-Ms: no milliseconds"))?
            }
        };
        let most = tables.limits().max_body_bytes;
        let told = text(&head.headers, &CONTENT_LENGTH).and_then(|l| l.parse::<u64>().ok());
        let large = || refuse(StatusCode::PAYLOAD_TOO_LARGE, "body: too long");
        if told.is_some_and(|l| l > most) {
            return Err(large());
        }
        // one that tells no length takes room as it comes
        let room = self.memory.take(told.unwrap_or(0) as usize);
        let mut room = room.ok_or_else(|| Box::new(later(NO_ROOM)))?;
        let takes = |bytes: usize| told.is_some() || room.grow(bytes);
        let body = match tokio::time::timeout_at(by, whole_counted(body, most as usize, takes)).await {
            Ok(Ok(body)) => body,
            Ok(Err(Unread::NoRoom)) => return Err(Box::new(later(NO_ROOM))),
            Ok(Err(Unread::TooLong)) => return Err(large()),
            Ok(Err(Unread::Broken)) => return Err(refuse(StatusCode::BAD_REQUEST, "body: broken")),
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
        let service = route.choose(self.next_of_split()).and_then(|i| tables.services().get(i));
        let pool = service.and_then(|s| self.pools.pool(&s.name, route, tenant));
        let Some((pool, frontend, plan)) = pool else { return Ok(later(0.5)) };
        let left = Span::from_secs(left.min(route.timeout)) - (self.pools.clock.now() - came);
        let new = NewReq {
            id: 0,
            frontend,
            repeat: false,
            units: 1.0,
            customer: tenant.map_or(0, |t| t.customer),
            plan,
            spread: self.pools.spread(),
            left,
            zones: self.pools.zones(&tables, route, tenant),
        };
        let id = once(route, tenant, &head.headers);
        let new_id = |id: &[u8]| self.ids.borrow_mut().enter(id, came.secs(), REMEMBERED);
        if id.as_deref().is_some_and(|id| !new_id(id)) {
            return Err(refuse(StatusCode::CONFLICT, "Lupinledge-Attempt-Id: had before"));
        }
        let named = tenant.and_then(|t| HeaderValue::from_str(&t.name).ok());
        let attempt_id = head.headers.get(&ATTEMPT).cloned();
        let carried = Carried::new(head.method, head.uri, std::mem::take(&mut head.headers), named, body);
        let (answer, attempts) = pool.take(new, carried).answer_with_attempts().await;
        if let (Answer::Denied(_), Some(id)) = (&answer, &id) {
            self.ids.borrow_mut().forget(id);
        }
        let reply = match answer {
            Answer::Passed(made) | Answer::Failed(made) => passed(made),
            // not sent, see `Pools::shut`
            Answer::Denied(after) if self.pools.shut().0.is_some() => away(after.secs()),
            Answer::Denied(after) => retry(StatusCode::TOO_MANY_REQUESTS, after.secs()),
            Answer::Aborted => bare(StatusCode::BAD_GATEWAY),
        };
        if reply.status().is_server_error() || reply.status() == StatusCode::TOO_MANY_REQUESTS {
            let now = self.pools.clock.now();
            let failure = Failure {
                status: reply.status(),
                id: attempt_id.as_ref().map_or(&[], |id| id.as_bytes()),
                route: &route.name,
                tenant: tenant.map_or("", |t| &t.name),
                took: now - came,
                attempts: &attempts,
            };
            self.failures.tell(now, &failure);
        }
        Ok(reply)
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
    Box::new(say(status, what))
}

fn retry(status: StatusCode, secs: f64) -> Reply {
    let mut reply = bare(status);
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

/// Whose key the request bears; none where none is needed.
fn tenant<'a>(tables: &'a Tables, route: &Route, headers: &HeaderMap) -> Result<Option<&'a Tenant>, Refusal> {
    let key = headers.get_all(AUTHORIZATION).iter().map(|v| v.to_str().ok()?.strip_prefix("Token "));
    let mut keys = key.map(|k| k.map(str::trim));
    let tenant = match (keys.next(), keys.next()) {
        (Some(Some(key)), None) => tables.tenant(key),
        _ => None,
    };
    match tenant {
        None if tables.keyed() && !route.public => {
            Err(refuse(StatusCode::UNAUTHORIZED, "Authorization: no known key"))
        }
        tenant => Ok(tenant),
    }
}

/// The id of a request that may run once, among its tenant's.
fn once(route: &Route, tenant: Option<&Tenant>, headers: &HeaderMap) -> Option<Vec<u8>> {
    let id = headers.get(&ATTEMPT).filter(|_| route.kind == RouteKind::NonIdempotent)?;
    let whose = tenant.map_or(0, |t| t.customer).to_le_bytes();
    Some([&whose[..], id.as_bytes()].concat())
}

/// The door before the process is ready: it runs nothing, and says at once when it may. `soon` tells in how many
/// seconds that is.
pub struct Early<F>(pub F);

impl<F: Fn() -> f64 + 'static> Answering for Early<F> {
    async fn answer(&self, req: Request<Incoming>, _: &Heads, whole_by: Instant) -> Reply {
        let _ = tokio::time::timeout_at(whole_by, whole(req.into_body(), EARLY_BODY)).await;
        away((self.0)())
    }
}

impl Answering for Door {
    async fn answer(&self, req: Request<Incoming>, heads: &Heads, whole_by: Instant) -> Reply {
        if let (Some(hint), _) = self.pools.shut() {
            return Early(move || hint).answer(req, heads, whole_by).await;
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
    fn closing(&self) {
        self.closing.set(true);
    }
}
