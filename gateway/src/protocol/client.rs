//! Clients: their reqs read, and the answers written.

use super::{Carried, Exchange};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, ALLOW, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use lupinledge::interface::{Effect, NewRequest};
use lupinledge::time::Span;
use lupinledge_gateway_settings::HostSettings;
use lupinledge_proxy::clients::{
    empty_reply, header_text, read_body, text_reply, BodyError, ClientLimits, Reply, RequestHandler,
};
use lupinledge_proxy::exchange::Answer;
use lupinledge_proxy::transport::framing::RequestFraming;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

const REQ_ID: HeaderName = HeaderName::from_static("x-request-id");
const REQ_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const WAIT: HeaderName = HeaderName::from_static("x-deadline");
const PLAN: HeaderName = HeaderName::from_static("plan");
const REPEAT: HeaderName = HeaderName::from_static("x-retry");
const QUOTA: HeaderName = HeaderName::from_static("quota-info");
const LARGEST_BODY: usize = 64 * 1024;
const HEALTH: &str = "/_health";

/// Without a req being answered a connection is ended after so long: it may be after 2 s, and who says nothing
/// or never ends a head is owed an end within 3 s of connecting.
const UNUSED: Duration = Duration::from_millis(2300);

/// The bounds on client connections.
pub const BOUNDS: ClientLimits = ClientLimits {
    idle_timeout: UNUSED,
    head_timeout: UNUSED,
    request_timeout: UNUSED,
    unfinished_timeout: Duration::from_millis(250),
    sweep_interval: Duration::from_millis(100),
    first_byte_wait: Duration::from_millis(100),
    max_head_bytes: 32 * 1024,
};

/// Reads clients' reqs and answers them by the exchange.
pub struct Front {
    exchange: Rc<Exchange>,
    outside: HostSettings,
    ready: Cell<bool>,
    closing: Cell<bool>,
}

impl Front {
    pub fn new(exchange: Rc<Exchange>, outside: HostSettings) -> Rc<Front> {
        Rc::new(Front { exchange, outside, ready: Cell::new(false), closing: Cell::new(false) })
    }

    /// From here on `/_health` says that reqs may come.
    pub fn ready(&self) {
        self.ready.set(true);
    }

    async fn read(&self, req: Request<Incoming>, whole_by: Instant) -> Result<(NewRequest, Carried), Reply> {
        let (mut head, body) = req.into_parts();
        let frontend = head.uri.path().split('/').nth(1).unwrap_or_default();
        let known = self.outside.frontends.iter().position(|f| f == frontend);
        let frontend = known.ok_or_else(|| text_reply(StatusCode::NOT_FOUND, "no such frontend"))?;
        let effect = self.exchange.terms().frontends[frontend].effect;
        let method = if effect == Effect::Replayable { Method::GET } else { Method::POST };
        if head.method != method {
            let mut refusal = text_reply(StatusCode::METHOD_NOT_ALLOWED, "not the frontend's method");
            let allow = HeaderValue::from_str(method.as_str());
            allow.into_iter().for_each(|m| drop(refusal.headers_mut().insert(ALLOW, m)));
            return Err(refusal);
        }
        let malformed = |what| text_reply(StatusCode::BAD_REQUEST, what);
        let id = head.headers.get(&REQ_ID).filter(|id| !id.is_empty()).cloned();
        let id = id.ok_or_else(|| malformed("X-Request-Id: missing"))?;
        let key = head.headers.remove(&REQ_KEY).filter(|k| !k.is_empty());
        if effect == Effect::Deduplicated && key.is_none() {
            return Err(malformed("Idempotency-Key: missing"));
        }
        let customer = head.uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("client=")));
        let customer = customer.filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()));
        let customer = customer.and_then(|c| u64::from_str_radix(c, 16).ok());
        let customer = customer.filter(|c| *c < 1 << 33).ok_or_else(|| malformed("client: no customer"))?;
        let plan = header_text(&head.headers, &PLAN);
        let plan = self.outside.plans.iter().position(|p| Some(p.as_str()) == plan);
        let plan = plan.ok_or_else(|| malformed("Plan: none of the plans"))?;
        let left = header_text(&head.headers, &WAIT).and_then(|w| w.parse::<f64>().ok());
        let left = left.filter(|w| (0.0..=LONGEST_WAIT).contains(w));
        let left = left.ok_or_else(|| malformed("X-Deadline: no seconds"))?;
        let terms = self.exchange.terms();
        let left = left.min(terms.frontends[frontend].timeout.secs());
        let quota = header_text(&head.headers, &QUOTA).unwrap_or_default();
        // past what one req can have, it would spoil the count of whose name it bears
        let units = part(quota, "units").filter(|u| *u > 0.0 && *u <= terms.max_units);
        let units = units.ok_or_else(|| malformed("Quota-Info: no units"))?;
        let gateways = terms.gateways as f64;
        let number = |name| part(quota, name).filter(|n| n.fract() == 0.0);
        let spread = number("spread").filter(|s| (1.0..=gateways).contains(s));
        let spread = spread.ok_or_else(|| malformed("Quota-Info: no spread"))?;
        let first = number("first").filter(|f| (0.0..gateways).contains(f));
        first.ok_or_else(|| malformed("Quota-Info: no first"))?;
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let late = |_| text_reply(StatusCode::REQUEST_TIMEOUT, "body not whole in time");
            let whole_by = whole_by.min(Instant::now() + Duration::from_secs_f64(left));
            timeout_at(whole_by, read_body(body, LARGEST_BODY)).await.map_err(late)?.map_err(refuse)?
        };
        let new = NewRequest {
            id: 0,
            frontend,
            repeat: header_text(&head.headers, &REPEAT) == Some("1"),
            units,
            customer,
            plan,
            spread,
            time_left: Span::from_secs(left),
            zones: u64::MAX,
        };
        Ok((new, Carried { method: head.method, uri: head.uri, id, key, body }))
    }
}

impl RequestHandler for Front {
    async fn handle(&self, req: Request<Incoming>, heads: &RequestFraming, whole_by: Instant) -> Reply {
        if req.uri().path() == HEALTH {
            let ready = self.ready.get() && !self.closing.get();
            return empty_reply(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        let came = self.exchange.clock.now();
        let read = match self.read(req, whole_by).await {
            Ok(_) if heads.fault().is_some() => {
                Err(text_reply(StatusCode::BAD_REQUEST, heads.fault().unwrap_or_default()))
            }
            // an id names one req: another one under it would get what belongs to the first
            Ok((_, carried)) if !self.exchange.first_seen(carried.id.as_bytes()) => {
                Err(text_reply(StatusCode::CONFLICT, "X-Request-Id: had before"))
            }
            read => read,
        };
        let (new, carried) = match read {
            Ok(read) => read,
            Err(mut refusal) => {
                self.exchange.counters.malformed.increment();
                // what is left of a body that nobody reads must not be taken for the next req
                refusal.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return refusal;
            }
        };
        let spent = self.exchange.clock.now() - came;
        let new = NewRequest { time_left: new.time_left - spent, ..new };
        match self.exchange.submit(new, carried).answer().await {
            Answer::Passed(made) => {
                let mut reply = Response::new(Full::new(made.body));
                made.kind.into_iter().for_each(|k| drop(reply.headers_mut().insert(CONTENT_TYPE, k)));
                reply
            }
            Answer::Denied(back_off) => {
                let mut reply = empty_reply(StatusCode::TOO_MANY_REQUESTS);
                if back_off > Span::ZERO {
                    let secs = HeaderValue::from_str(&format!("{:.3}", back_off.secs()));
                    secs.into_iter().for_each(|s| drop(reply.headers_mut().insert(RETRY_AFTER, s)));
                }
                reply
            }
            Answer::Failed(_) | Answer::Aborted => empty_reply(StatusCode::BAD_GATEWAY),
        }
    }

    fn on_closing(&self) {
        self.closing.set(true);
    }
}

/// What a client may name, far past any use, so that sums stay sums.
const LONGEST_WAIT: f64 = 86_400.0;

fn refuse(unread: BodyError) -> Reply {
    match unread {
        BodyError::TooLong => text_reply(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"),
        BodyError::Broken => text_reply(StatusCode::BAD_REQUEST, "broken body"),
        BodyError::NoMemory => text_reply(StatusCode::SERVICE_UNAVAILABLE, "no room for the body"),
    }
}

fn part(list: &str, name: &str) -> Option<f64> {
    let value = list.split(',').find_map(|p| p.trim().strip_prefix(name)?.strip_prefix('='));
    value.and_then(|v| v.trim().parse::<f64>().ok()).filter(|v| v.is_finite())
}
