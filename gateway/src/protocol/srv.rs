//! Srvs: the reqs written to them, and their answers read.

use super::{Carried, Made};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use lupinledge::interface::Outcome;
use lupinledge::time::Span;
use lupinledge_gateway_settings::HostSettings;
use lupinledge_proxy::clock::duration;
use lupinledge_proxy::exchange::{Dispatch, DispatchResult, Protocol};
use lupinledge_proxy::servers::{ServerLimits, ServerProtocol};
use std::time::Duration;

const REQ_ID: HeaderName = HeaderName::from_static("x-request-id");
const REQ_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const WAIT: HeaderName = HeaderName::from_static("x-deadline");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const BILLED: HeaderName = HeaderName::from_static("billed-units");
const LARGEST_BODY: usize = 64 * 1024;

/// Room for heads, those told ahead included, and for the framing of chunks.
const LARGEST_HEADS: usize = 32 * 1024;

/// An answer is there whole so long after its first byte: it was made before that was sent, and 64 KiB take a
/// few milliseconds.
const WHOLE_WITHIN: Duration = Duration::from_millis(400);

/// What belongs to no answer shows within so long. Two round trips between zones.
const REST: Duration = Duration::from_millis(3);

/// The bounds on connections to srvs.
pub fn bounds(outside: &HostSettings) -> ServerLimits {
    let connect_timeout = duration(outside.connect_wait);
    ServerLimits {
        connect_timeout,
        max_idle: duration(outside.keepalive).saturating_sub(connect_timeout),
        honor_keep_alive: false,
        min_idle_before_reuse: REST,
        response_timeout: WHOLE_WITHIN,
        max_body_bytes: LARGEST_BODY,
        max_head_bytes: LARGEST_HEADS,
        tcp_user_timeout: None,
    }
}

/// The gateway's wire.
pub struct Edge {
    /// The units that one req can have. A figure past it, or none, is no figure.
    pub largest: f64,
}

impl Protocol for Edge {
    type ForwardedRequest = Carried;
    type ServerResponse = Made;
}

impl ServerProtocol for Edge {
    fn build_request(&self, d: &Dispatch<Edge>, left: Span) -> Request<Full<Bytes>> {
        let c = &d.request;
        let mut req = Request::new(Full::new(c.body.clone()));
        *req.method_mut() = c.method.clone();
        *req.uri_mut() = c.uri.clone();
        let h = req.headers_mut();
        h.insert(HOST, HeaderValue::from_static("api.internal"));
        h.insert(REQ_ID, c.id.clone());
        c.key.iter().for_each(|key| drop(h.insert(REQ_KEY, key.clone())));
        if let Ok(left) = HeaderValue::from_str(&format!("{:.3}", left.secs().max(0.001))) {
            h.insert(WAIT, left);
        }
        if !c.body.is_empty() {
            h.insert(CONTENT_LENGTH, HeaderValue::from(c.body.len()));
        }
        req
    }

    fn read_response(&self, _: &Dispatch<Edge>, answer: Response<Bytes>) -> (DispatchResult<Edge>, bool) {
        let (head, body) = answer.into_parts();
        let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let back = match head.status {
            StatusCode::OK => {
                let billed_units = text(&BILLED).and_then(|v| v.trim().parse::<f64>().ok());
                let billed_units = billed_units.filter(|b| *b > 0.0 && *b <= self.largest).unwrap_or(0.0);
                let made = Made { kind: head.headers.get(CONTENT_TYPE).cloned(), body };
                DispatchResult {
                    outcome: Outcome::Passed,
                    response: Some(made),
                    billed_units,
                    load: Vec::new(),
                }
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if text(&NOT_RUN).is_some_and(|v| v.trim() == "1") =>
            {
                DispatchResult::without_response(Outcome::Full)
            }
            _ => DispatchResult::without_response(Outcome::Error),
        };
        (back, true)
    }
}
