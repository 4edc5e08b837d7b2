//! The platform's question whether this gateway is ready, and its figures for those who look into an incident.

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

/// Answers by a flag that others keep, and by the figures of the process.
pub struct ReadinessHandler {
    pub flag: Rc<Cell<bool>>,
    pub metrics: Rc<Metrics>,
}

impl Answering for ReadinessHandler {
    async fn answer(&self, req: Request<Incoming>, _: &Heads, _: Instant) -> Reply {
        match req.uri().path() {
            READINESS if self.flag.get() => bare(StatusCode::OK),
            READINESS => bare(StatusCode::SERVICE_UNAVAILABLE),
            METRICS => say(StatusCode::OK, self.metrics.text()),
            _ => bare(StatusCode::NOT_FOUND),
        }
    }
}
