//! Builds the requests to servers and reads their responses.

use super::{ForwardedRequest, ServerResponse};
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

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-run");
const BILLED_UNITS: HeaderName = HeaderName::from_static("billed-units");
/// The largest response body.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The largest size of heads, including those of informational responses, and of chunk framing.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// How long a response may take from its first byte to its last: servers complete a response before they send it, and
/// the transfer of 64 KiB takes a few milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Stray bytes after a response arrive within this time, which is two round trips between zones.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(3);

/// The limits on connections to servers.
pub fn limits(host_settings: &HostSettings) -> ServerLimits {
    let connect_timeout = duration(host_settings.connect_wait);
    ServerLimits {
        connect_timeout,
        max_idle: duration(host_settings.keepalive).saturating_sub(connect_timeout),
        honor_keep_alive: false,
        min_idle_before_reuse: MIN_IDLE_BEFORE_REUSE,
        response_timeout: RESPONSE_TIMEOUT,
        max_body_bytes: MAX_BODY_BYTES,
        max_head_bytes: MAX_HEAD_BYTES,
        tcp_user_timeout: None,
    }
}

/// The gateway's protocol towards servers.
pub struct GatewayProtocol {
    /// The largest number of units of one request. Billed units that exceed it or are missing are ignored.
    pub max_units: f64,
}

impl Protocol for GatewayProtocol {
    type ForwardedRequest = ForwardedRequest;
    type ServerResponse = ServerResponse;
}

impl ServerProtocol for GatewayProtocol {
    fn build_request(&self, dispatch: &Dispatch<GatewayProtocol>, left: Span) -> Request<Full<Bytes>> {
        let forwarded = &dispatch.request;
        let mut request = Request::new(Full::new(forwarded.body.clone()));
        *request.method_mut() = forwarded.method.clone();
        *request.uri_mut() = forwarded.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, HeaderValue::from_static("api.internal"));
        headers.insert(REQUEST_ID, forwarded.id.clone());
        forwarded.key.iter().for_each(|key| drop(headers.insert(IDEMPOTENCY_KEY, key.clone())));
        if let Ok(left) = HeaderValue::from_str(&format!("{:.3}", left.secs().max(0.001))) {
            headers.insert(DEADLINE, left);
        }
        if !forwarded.body.is_empty() {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(forwarded.body.len()));
        }
        request
    }

    fn read_response(
        &self,
        _: &Dispatch<GatewayProtocol>,
        response: Response<Bytes>,
    ) -> (DispatchResult<GatewayProtocol>, bool) {
        let (head, body) = response.into_parts();
        let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let result = match head.status {
            StatusCode::OK => {
                let billed_units = text(&BILLED_UNITS).and_then(|v| v.trim().parse::<f64>().ok());
                let billed_units = billed_units.filter(|b| *b > 0.0 && *b <= self.max_units).unwrap_or(0.0);
                let server_response =
                    ServerResponse { content_type: head.headers.get(CONTENT_TYPE).cloned(), body };
                DispatchResult {
                    outcome: Outcome::Passed,
                    response: Some(server_response),
                    billed_units,
                    load: Vec::new(),
                }
            }
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                if text(&NOT_EXECUTED).is_some_and(|v| v.trim() == "1") =>
            {
                DispatchResult::without_response(Outcome::Full)
            }
            _ => DispatchResult::without_response(Outcome::Error),
        };
        (result, true)
    }
}
