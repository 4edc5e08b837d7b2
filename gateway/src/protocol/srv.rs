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
use lupinledge_proxy::exchange::{Back, Dispatch, Wire};
use lupinledge_proxy::srvs::{ServerWire, SrvBounds};
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
pub fn bounds(outside: &HostSettings) -> SrvBounds {
    let connect_wait = duration(outside.connect_wait);
    SrvBounds {
        connect_wait,
        idle_most: duration(outside.keepalive).saturating_sub(connect_wait),
        keep_alive: false,
        rest: REST,
        whole_within: WHOLE_WITHIN,
        largest_body: LARGEST_BODY,
        largest_heads: LARGEST_HEADS,
        unacked: None,
    }
}

/// The gateway's wire.
pub struct Edge {
    /// The units that one req can have. A figure past it, or none, is no figure.
    pub largest: f64,
}

impl Wire for Edge {
    type Carried = Carried;
    type Made = Made;
}

impl ServerWire for Edge {
    fn message(&self, d: &Dispatch<Edge>, left: Span) -> Request<Full<Bytes>> {
        let c = &d.carried;
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

    fn read(&self, _: &Dispatch<Edge>, answer: Response<Bytes>) -> (Back<Edge>, bool) {
        let (head, body) = answer.into_parts();
        let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let back = match head.status {
            StatusCode::OK => {
                let billed = text(&BILLED).and_then(|v| v.trim().parse::<f64>().ok());
                let billed = billed.filter(|b| *b > 0.0 && *b <= self.largest).unwrap_or(0.0);
                let made = Made { kind: head.headers.get(CONTENT_TYPE).cloned(), body };
                Back { how: Outcome::Passed, made: Some(made), billed, load: Vec::new() }
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if text(&NOT_RUN).is_some_and(|v| v.trim() == "1") =>
            {
                Back::bare(Outcome::Full)
            }
            _ => Back::bare(Outcome::Error),
        };
        (back, true)
    }
}
