//! Reads clients' requests and writes the replies.

use super::{Exchange, ForwardedRequest};
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

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
const PLAN: HeaderName = HeaderName::from_static("plan");
const RETRY: HeaderName = HeaderName::from_static("x-retry");
const QUOTA: HeaderName = HeaderName::from_static("quota-info");
const MAX_BODY_BYTES: usize = 64 * 1024;
const HEALTH: &str = "/_health";

/// How long a connection may have no request in progress. It may be closed after 2 s, and a client that sends nothing
/// or never completes a head must be disconnected within 3 s of connecting.
const UNUSED_TIMEOUT: Duration = Duration::from_millis(2300);

/// The limits on client connections.
pub const LIMITS: ClientLimits = ClientLimits {
    idle_timeout: UNUSED_TIMEOUT,
    head_timeout: UNUSED_TIMEOUT,
    request_timeout: UNUSED_TIMEOUT,
    unfinished_timeout: Duration::from_millis(250),
    sweep_interval: Duration::from_millis(100),
    first_byte_wait: Duration::from_millis(100),
    max_head_bytes: 32 * 1024,
};

/// Reads clients' requests and answers them through the exchange.
pub struct ClientHandler {
    exchange: Rc<Exchange>,
    host_settings: HostSettings,
    ready: Cell<bool>,
    closing: Cell<bool>,
}

impl ClientHandler {
    /// Creates it as not ready.
    pub fn new(exchange: Rc<Exchange>, host_settings: HostSettings) -> Rc<ClientHandler> {
        Rc::new(ClientHandler { exchange, host_settings, ready: Cell::new(false), closing: Cell::new(false) })
    }

    /// From now on `/_health` reports that the gateway is ready.
    pub fn set_ready(&self) {
        self.ready.set(true);
    }

    async fn read(
        &self,
        request: Request<Incoming>,
        receive_by: Instant,
    ) -> Result<(NewRequest, ForwardedRequest), Reply> {
        let (mut head, body) = request.into_parts();
        let frontend = head.uri.path().split('/').nth(1).unwrap_or_default();
        let index = self.host_settings.frontends.iter().position(|f| f == frontend);
        let frontend = index.ok_or_else(|| text_reply(StatusCode::NOT_FOUND, "no such frontend"))?;
        let effect = self.exchange.terms().frontends[frontend].effect;
        let method = if effect == Effect::Replayable { Method::GET } else { Method::POST };
        if head.method != method {
            let mut refusal = text_reply(StatusCode::METHOD_NOT_ALLOWED, "not the frontend's method");
            let allow = HeaderValue::from_str(method.as_str());
            allow.into_iter().for_each(|m| drop(refusal.headers_mut().insert(ALLOW, m)));
            return Err(refusal);
        }
        let malformed = |what| text_reply(StatusCode::BAD_REQUEST, what);
        let id = head.headers.get(&REQUEST_ID).filter(|id| !id.is_empty()).cloned();
        let id = id.ok_or_else(|| malformed("X-Request-Id: missing"))?;
        let key = head.headers.remove(&IDEMPOTENCY_KEY).filter(|k| !k.is_empty());
        if effect == Effect::Deduplicated && key.is_none() {
            return Err(malformed("Idempotency-Key: missing"));
        }
        let customer = head.uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("client=")));
        let customer = customer.filter(|c| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit()));
        let customer = customer.and_then(|c| u64::from_str_radix(c, 16).ok());
        let customer = customer.filter(|c| *c < 1 << 33).ok_or_else(|| malformed("client: no customer"))?;
        let plan = header_text(&head.headers, &PLAN);
        let plan = self.host_settings.plans.iter().position(|p| Some(p.as_str()) == plan);
        let plan = plan.ok_or_else(|| malformed("Plan: none of the plans"))?;
        let time_left = header_text(&head.headers, &DEADLINE).and_then(|w| w.parse::<f64>().ok());
        let time_left = time_left.filter(|w| (0.0..=MAX_DEADLINE).contains(w));
        let time_left = time_left.ok_or_else(|| malformed("X-Deadline: no seconds"))?;
        let terms = self.exchange.terms();
        let time_left = time_left.min(terms.frontends[frontend].timeout.secs());
        let quota = header_text(&head.headers, &QUOTA).unwrap_or_default();
        // more units than one request can have would corrupt the count of the customer
        let units = list_value(quota, "units").filter(|u| *u > 0.0 && *u <= terms.max_units);
        let units = units.ok_or_else(|| malformed("Quota-Info: no units"))?;
        let gateways = terms.gateways as f64;
        let number = |name| list_value(quota, name).filter(|n| n.fract() == 0.0);
        let spread = number("spread").filter(|s| (1.0..=gateways).contains(s));
        let spread = spread.ok_or_else(|| malformed("Quota-Info: no spread"))?;
        let first = number("first").filter(|f| (0.0..gateways).contains(f));
        first.ok_or_else(|| malformed("Quota-Info: no first"))?;
        let body = if body.is_end_stream() {
            Bytes::new()
        } else {
            let too_late = |_| text_reply(StatusCode::REQUEST_TIMEOUT, "body not whole in time");
            let receive_by = receive_by.min(Instant::now() + Duration::from_secs_f64(time_left));
            timeout_at(receive_by, read_body(body, MAX_BODY_BYTES))
                .await
                .map_err(too_late)?
                .map_err(body_error_reply)?
        };
        let new_request = NewRequest {
            id: 0,
            frontend,
            repeat: header_text(&head.headers, &RETRY) == Some("1"),
            units,
            customer,
            plan,
            spread,
            time_left: Span::from_secs(time_left),
            zones: u64::MAX,
        };
        Ok((new_request, ForwardedRequest { method: head.method, uri: head.uri, id, key, body }))
    }
}

impl RequestHandler for ClientHandler {
    async fn handle(
        &self,
        request: Request<Incoming>,
        framing: &RequestFraming,
        receive_by: Instant,
    ) -> Reply {
        if request.uri().path() == HEALTH {
            let ready = self.ready.get() && !self.closing.get();
            return empty_reply(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        let received_at = self.exchange.clock.now();
        let read = match self.read(request, receive_by).await {
            Ok(_) if framing.fault().is_some() => {
                Err(text_reply(StatusCode::BAD_REQUEST, framing.fault().unwrap_or_default()))
            }
            // an id stands for one request: a second one with the same id could get the response of the first
            Ok((_, forwarded)) if !self.exchange.first_seen(forwarded.id.as_bytes()) => {
                Err(text_reply(StatusCode::CONFLICT, "X-Request-Id: had before"))
            }
            read => read,
        };
        let (new_request, forwarded) = match read {
            Ok(read) => read,
            Err(mut refusal) => {
                self.exchange.counters.malformed.increment();
                // the unread rest of the body must not be taken for the next request
                refusal.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return refusal;
            }
        };
        let elapsed = self.exchange.clock.now() - received_at;
        let new_request = NewRequest { time_left: new_request.time_left - elapsed, ..new_request };
        match self.exchange.submit(new_request, forwarded).answer().await {
            Answer::Passed(response) => {
                let mut reply = Response::new(Full::new(response.body));
                response
                    .content_type
                    .into_iter()
                    .for_each(|k| drop(reply.headers_mut().insert(CONTENT_TYPE, k)));
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

/// The largest deadline in seconds that a client may send; far beyond any use, so that sums of times stay exact.
const MAX_DEADLINE: f64 = 86_400.0;

fn body_error_reply(error: BodyError) -> Reply {
    match error {
        BodyError::TooLong => text_reply(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"),
        BodyError::Broken => text_reply(StatusCode::BAD_REQUEST, "broken body"),
        BodyError::NoMemory => text_reply(StatusCode::SERVICE_UNAVAILABLE, "no room for the body"),
    }
}

fn list_value(list: &str, name: &str) -> Option<f64> {
    let value = list.split(',').find_map(|p| p.trim().strip_prefix(name)?.strip_prefix('='));
    value.and_then(|v| v.trim().parse::<f64>().ok()).filter(|v| v.is_finite())
}
