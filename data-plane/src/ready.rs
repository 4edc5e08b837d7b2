//! The platform's question whether this gateway is ready, and its figures for those who look into an incident.

use crate::metrics::Metrics;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lupinledge_proxy::clients::{empty_reply, text_reply, Reply, RequestHandler};
use lupinledge_proxy::transport::framing::RequestFraming;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

const READINESS: &str = "/lupinledge/readiness";
const METRICS: &str = "/lupinledge/metrics";

/// Answers by a flag that others keep, and by the figures of the process.
pub struct Ready {
    pub flag: Rc<Cell<bool>>,
    pub metrics: Rc<Metrics>,
}

impl RequestHandler for Ready {
    async fn handle(&self, req: Request<Incoming>, _: &RequestFraming, _: Instant) -> Reply {
        match req.uri().path() {
            READINESS if self.flag.get() => empty_reply(StatusCode::OK),
            READINESS => empty_reply(StatusCode::SERVICE_UNAVAILABLE),
            METRICS => text_reply(StatusCode::OK, self.metrics.text()),
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }
}
