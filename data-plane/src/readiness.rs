//! Answers the platform's readiness checks and serves the metrics page.

use crate::metrics::Metrics;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lupinledge_proxy::clients::{bare, say, Answering, Reply};
use lupinledge_proxy::transport::heads::Heads;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

const READINESS: &str = "/lupinledge/readiness";
const METRICS: &str = "/lupinledge/metrics";

/// Serves readiness and metrics.
pub struct ReadinessHandler {
    /// Whether the process is ready; set by the rest of the program.
    pub is_ready: Rc<Cell<bool>>,
    pub metrics: Rc<Metrics>,
}

impl Answering for ReadinessHandler {
    async fn answer(&self, request: Request<Incoming>, _: &Heads, _: Instant) -> Reply {
        match request.uri().path() {
            READINESS if self.is_ready.get() => bare(StatusCode::OK),
            READINESS => bare(StatusCode::SERVICE_UNAVAILABLE),
            METRICS => say(StatusCode::OK, self.metrics.text()),
            _ => bare(StatusCode::NOT_FOUND),
        }
    }
}
