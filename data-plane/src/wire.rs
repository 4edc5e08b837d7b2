//! What the system speaks to servers: what goes on from a client's request, and how an answer is read.

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

pub const ATTEMPT: HeaderName = HeaderName::from_static("lupinledge-attempt-id");
pub const OPERATION_KEY: HeaderName = HeaderName::from_static("lupinledge-operation-key");
pub const DEADLINE: HeaderName = HeaderName::from_static("lupinledge-deadline-ms");
const EXPECTED: HeaderName = HeaderName::from_static("lupinledge-expect-instance");
const TENANT: HeaderName = HeaderName::from_static("lupinledge-tenant");
const STAMP: HeaderName = HeaderName::from_static("lupinledge-server-stamp");
const NOT_RUN: HeaderName = HeaderName::from_static("lupinledge-not-executed");
const LOAD: HeaderName = HeaderName::from_static("lupinledge-server-load");

/// Headers that concern one connection only.
const OF_CONNECTION: [HeaderName; 10] = [
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

/// What a client takes for a promise that its request has not run.
const PROMISES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Headers that only the system itself sets towards a server.
const OWN: [HeaderName; 4] = [AUTHORIZATION, DEADLINE, EXPECTED, TENANT];

/// Takes out what concerns one connection, and what `Connection` names as such.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| HeaderName::from_bytes(n.trim().as_bytes()).ok())
        .filter(|n| *n != ATTEMPT)
        .collect();
    OF_CONNECTION.iter().chain(&named).for_each(|n| drop(headers.remove(n)));
}

/// What goes on to a server, as the client sent it but for the headers that are the system's own.
pub struct Carried {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Carried {
    /// `tenant`: the name of the key's tenant, if the configuration has tenants.
    pub fn new(
        method: Method,
        uri: Uri,
        mut headers: HeaderMap,
        tenant: Option<HeaderValue>,
        body: Bytes,
    ) -> Carried {
        strip(&mut headers);
        OWN.iter().for_each(|n| drop(headers.remove(n)));
        tenant.into_iter().for_each(|t| drop(headers.insert(TENANT, t)));
        Carried { method, uri, headers, body }
    }
}

/// A server's answer.
#[derive(Debug)]
pub struct Made {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The wire between the system and its servers.
pub struct Trail;

impl Protocol for Trail {
    type ForwardedRequest = Carried;
    type ServerResponse = Made;
}

impl ServerProtocol for Trail {
    fn build_request(&self, d: &Dispatch<Trail>, left: Span) -> Request<Full<Bytes>> {
        let c = &d.request;
        let mut req = Request::new(Full::new(c.body.clone()));
        *req.method_mut() = c.method.clone();
        *req.uri_mut() = c.uri.clone();
        let h = req.headers_mut();
        *h = c.headers.clone();
        h.insert(DEADLINE, HeaderValue::from((left.secs() * 1e3).max(1.0) as u64));
        HeaderValue::from_str(&d.server_name).into_iter().for_each(|id| drop(h.insert(EXPECTED, id)));
        if !c.body.is_empty() || !matches!(c.method, Method::GET | Method::HEAD | Method::DELETE) {
            h.insert(CONTENT_LENGTH, HeaderValue::from(c.body.len()));
        }
        req
    }

    /// An answer that does not bear the request's id, and no other, belongs to another one; a success without the
    /// stamp, with a coding or that says it has not run is none of the server's; a word of another protocol is no
    /// answer: the request may have run, and the connection is not used again.
    fn read_response(&self, d: &Dispatch<Trail>, answer: Response<Bytes>) -> (DispatchResult<Trail>, bool) {
        let (mut head, body) = answer.into_parts();
        let h = &mut head.headers;
        let mut ids = h.get_all(ATTEMPT).iter();
        let own = ids.next().is_some_and(|id| d.request.headers.get(ATTEMPT) == Some(id));
        if !own || ids.next().is_some() || head.status.is_informational() {
            return (DispatchResult::without_response(Outcome::Reset), false);
        }
        let load = h.remove(LOAD).as_ref().and_then(load).unwrap_or_default();
        let (outcome, response) = match head.status {
            StatusCode::MISDIRECTED_REQUEST => (Outcome::NoConnection, false),
            s if s.is_success() && !(h.contains_key(STAMP) && plain(h)) => {
                return (DispatchResult::without_response(Outcome::Reset), false);
            }
            _ if h.contains_key(NOT_RUN) => (Outcome::Full, false),
            // it may have run, and the client would take them for the system's promise that it has not
            s if PROMISES.contains(&s) => (Outcome::Error, false),
            s if s.is_server_error() => (Outcome::Error, true),
            _ => (Outcome::Passed, true),
        };
        let keep = outcome != Outcome::NoConnection;
        strip(h);
        let response = response.then_some(Made { status: head.status, headers: head.headers, body });
        (DispatchResult { outcome, response, billed_units: 0.0, load }, keep)
    }
}

/// Whether a success says nothing that a server's own can't.
fn plain(h: &HeaderMap) -> bool {
    !h.contains_key(CONTENT_ENCODING) && !h.contains_key(NOT_RUN)
}

/// Running, waiting, slots.
fn load(v: &HeaderValue) -> Option<Vec<f32>> {
    let parts = v.to_str().ok()?.split(',').map(|p| p.trim().parse::<u16>().map(f32::from));
    parts.collect::<Result<Vec<_>, _>>().ok().filter(|l| l.len() == 3)
}

#[cfg(test)]
mod tests;
