//! Answers the platform's readiness checks and serves the metrics page.

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

/// Serves readiness and metrics.
pub struct ReadinessHandler {
    /// Whether the process is ready; set by the rest of the program.
    pub is_ready: Rc<Cell<bool>>,
    /// The metrics that are served.
    pub metrics: Rc<Metrics>,
}

impl RequestHandler for ReadinessHandler {
    async fn handle(&self, request: Request<Incoming>, _: &RequestFraming, _: Instant) -> Reply {
        match request.uri().path() {
            READINESS if self.is_ready.get() => empty_reply(StatusCode::OK),
            READINESS => empty_reply(StatusCode::SERVICE_UNAVAILABLE),
            METRICS => text_reply(StatusCode::OK, self.metrics.text()),
            _ => empty_reply(StatusCode::NOT_FOUND),
        }
    }
}
