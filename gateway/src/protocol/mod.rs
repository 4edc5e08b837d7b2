pub mod client;
pub mod counter;
pub mod discovery;
pub mod resp;
pub mod srv;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use lupinledge_proxy::exchange;
use srv::Edge;

pub type Exchange = exchange::Exchange<Edge>;

/// What goes on from the client to a srv, as it came.
pub struct Carried {
    pub method: Method,
    pub uri: Uri,
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
}

/// What a srv made for a req.
#[derive(Debug)]
pub struct Made {
    pub kind: Option<HeaderValue>,
    pub body: Bytes,
}
