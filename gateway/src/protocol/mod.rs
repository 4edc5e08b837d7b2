//! The protocol of the gateway towards clients, servers, the counter and discovery.

pub mod client;
pub mod counter;
pub mod discovery;
pub mod resp;
pub mod server;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use lupinledge_proxy::exchange;
use server::GatewayProtocol;

/// The exchange of the gateway.
pub type Exchange = exchange::Exchange<GatewayProtocol>;

/// The parts of a request that are forwarded to a server unchanged.
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The request id.
    pub id: HeaderValue,
    /// The idempotency key.
    pub key: Option<HeaderValue>,
    /// The whole body.
    pub body: Bytes,
}

/// A server's successful response.
#[derive(Debug)]
pub struct ServerResponse {
    /// Its content type.
    pub content_type: Option<HeaderValue>,
    pub body: Bytes,
}
