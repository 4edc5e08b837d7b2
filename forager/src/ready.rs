//! The platform's question whether this gateway is ready.

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lupinledge_comb::clients::{bare, Answering, Reply};
use lupinledge_comb::transport::heads::Heads;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

const PATH: &str = "/lupinledge/readiness";

/// Answers by a flag that others keep.
pub struct Ready(pub Rc<Cell<bool>>);

impl Answering for Ready {
    async fn answer(&self, req: Request<Incoming>, _: &Heads, _: Instant) -> Reply {
        bare(match req.uri().path() {
            PATH if self.0.get() => StatusCode::OK,
            PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        })
    }
}
