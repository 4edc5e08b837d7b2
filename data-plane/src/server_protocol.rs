//! The protocol between gateways and servers: which parts of a client's request are forwarded, and how a
//! server's answer is interpreted.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::header::{AUTHORIZATION, CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, TE, TRAILER};
use hyper::header::{TRANSFER_ENCODING, UPGRADE};
use hyper::{Method, Request, Response, StatusCode, Uri};
use lupinledge::interface::Outcome;
use lupinledge::time::Span;
use lupinledge_proxy::exchange::{Dispatch, DispatchResult, Protocol};
use lupinledge_proxy::servers::ServerProtocol;

/// The client's id of a request's attempt, repeated in the answer.
pub const ATTEMPT: HeaderName = HeaderName::from_static("lupinledge-attempt-id");
/// The key under which an operation runs at most once.
pub const OPERATION_KEY: HeaderName = HeaderName::from_static("lupinledge-operation-key");
/// Milliseconds that are left for a request.
pub const DEADLINE: HeaderName = HeaderName::from_static("lupinledge-deadline-ms");
/// The server instance that a request is meant for.
const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("lupinledge-expect-instance");
/// The name of the tenant that sent a request.
const TENANT: HeaderName = HeaderName::from_static("lupinledge-tenant");
/// Set by servers on every success.
const SERVER_STAMP: HeaderName = HeaderName::from_static("lupinledge-server-stamp");
/// Set by a server that has not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("lupinledge-not-executed");
/// A server's load, see [`parse_load`].
const SERVER_LOAD: HeaderName = HeaderName::from_static("lupinledge-server-load");

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("proxy-authorization"),
];

/// Statuses that a client takes as a promise that its request has not run.
const NOT_EXECUTED_STATUSES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Headers of a client that are never forwarded: the API key, and the headers that only the gateway sets on
/// requests to servers.
const GATEWAY_ONLY: [HeaderName; 4] = [AUTHORIZATION, DEADLINE, EXPECTED_INSTANCE, TENANT];

/// Removes the hop-by-hop headers and those that `Connection` names.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| HeaderName::from_bytes(n.trim().as_bytes()).ok())
        .filter(|n| *n != ATTEMPT)
        .collect();
    HOP_BY_HOP.iter().chain(&named).for_each(|n| drop(headers.remove(n)));
}

/// A client's request as it is forwarded to a server.
pub struct ForwardedRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl ForwardedRequest {
    /// Removes the headers that are not forwarded and names the tenant: `tenant` is the tenant of the API
    /// key, if the configuration has tenants.
    pub fn new(
        method: Method,
        uri: Uri,
        mut headers: HeaderMap,
        tenant: Option<HeaderValue>,
        body: Bytes,
    ) -> ForwardedRequest {
        remove_hop_by_hop(&mut headers);
        GATEWAY_ONLY.iter().for_each(|n| drop(headers.remove(n)));
        tenant.into_iter().for_each(|t| drop(headers.insert(TENANT, t)));
        ForwardedRequest { method, uri, headers, body }
    }
}

/// A server's answer.
#[derive(Debug)]
pub struct ServerAnswer {
    /// The status that the server answered.
    pub status: StatusCode,
    /// The headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The protocol between gateways and servers.
pub struct GatewayProtocol;

impl Protocol for GatewayProtocol {
    type ForwardedRequest = ForwardedRequest;
    type ServerResponse = ServerAnswer;
}

impl ServerProtocol for GatewayProtocol {
    fn build_request(&self, dispatch: &Dispatch<GatewayProtocol>, time_left: Span) -> Request<Full<Bytes>> {
        let forwarded = &dispatch.request;
        let mut server_request = Request::new(Full::new(forwarded.body.clone()));
        *server_request.method_mut() = forwarded.method.clone();
        *server_request.uri_mut() = forwarded.uri.clone();
        let headers = server_request.headers_mut();
        *headers = forwarded.headers.clone();
        headers.insert(DEADLINE, HeaderValue::from((time_left.secs() * 1e3).max(1.0) as u64));
        HeaderValue::from_str(&dispatch.server_name)
            .into_iter()
            .for_each(|id| drop(headers.insert(EXPECTED_INSTANCE, id)));
        if !forwarded.body.is_empty()
            || !matches!(forwarded.method, Method::GET | Method::HEAD | Method::DELETE)
        {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(forwarded.body.len()));
        }
        server_request
    }

    /// Classifies a server's answer; the flag tells whether the connection may be used again. An answer
    /// without exactly the request's attempt id belongs to another request. A success without the server's
    /// stamp, with a content coding or with the not-executed header does not come from the server itself. An
    /// informational status belongs to a protocol that is not spoken here. In all these cases the request may
    /// have run, and the connection is closed.
    fn read_response(
        &self,
        dispatch: &Dispatch<GatewayProtocol>,
        answer: Response<Bytes>,
    ) -> (DispatchResult<GatewayProtocol>, bool) {
        let (mut head, body) = answer.into_parts();
        let headers = &mut head.headers;
        let mut ids = headers.get_all(ATTEMPT).iter();
        let id_matches = ids.next().is_some_and(|id| dispatch.request.headers.get(ATTEMPT) == Some(id));
        if !id_matches || ids.next().is_some() || head.status.is_informational() {
            return (DispatchResult::without_response(Outcome::Reset), false);
        }
        let load = headers.remove(SERVER_LOAD).as_ref().and_then(parse_load).unwrap_or_default();
        let (outcome, response) = match head.status {
            StatusCode::MISDIRECTED_REQUEST => (Outcome::NoConnection, false),
            s if s.is_success()
                && !(headers.contains_key(SERVER_STAMP) && has_no_foreign_headers(headers)) =>
            {
                return (DispatchResult::without_response(Outcome::Reset), false);
            }
            _ if headers.contains_key(NOT_EXECUTED) => (Outcome::Full, false),
            // the request may have run, but the client would take this status as a promise that it has not
            s if NOT_EXECUTED_STATUSES.contains(&s) => (Outcome::Error, false),
            s if s.is_server_error() => (Outcome::Error, true),
            _ => (Outcome::Passed, true),
        };
        let reusable = outcome != Outcome::NoConnection;
        remove_hop_by_hop(headers);
        let response = response.then_some(ServerAnswer { status: head.status, headers: head.headers, body });
        (DispatchResult { outcome, response, billed_units: 0.0, load }, reusable)
    }
}

/// Whether a success lacks the headers that no server sets on it.
fn has_no_foreign_headers(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_ENCODING) && !headers.contains_key(NOT_EXECUTED)
}

/// Parses the server's load: requests running, requests waiting, and slots.
fn parse_load(value: &HeaderValue) -> Option<Vec<f32>> {
    let parts = value.to_str().ok()?.split(',').map(|p| p.trim().parse::<u16>().map(f32::from));
    parts.collect::<Result<Vec<_>, _>>().ok().filter(|l| l.len() == 3)
}

#[cfg(test)]
mod tests;
