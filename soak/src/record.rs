//! The observations of clients, servers, the operator and the fault injector, timed by one clock.

use crate::admissions::Admitted;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// Seconds since the start of a run.
pub type Seconds = f64;

/// How a request of a well-behaved client ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete answer with this status, and what is wrong with it.
    Answered { status: u16, fault: Option<&'static str> },
    /// The whole request was sent, and the connection ended without an answer.
    Broken,
    /// The whole request was sent, and no answer came until well after its deadline.
    Silent,
    /// The request could not be sent.
    Unsent,
    /// The client abandoned the request: it closed the connection on purpose before an answer. Reports print this name.
    Left,
}

/// A request as its client observed it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The attempt id that the client sent.
    pub id: String,
    pub path: String,
    /// Whether the route is idempotent.
    pub repeatable: bool,
    /// The API key that the client sent.
    pub api_key: String,
    /// Index of the edge process that accepted it.
    pub edge: usize,
    /// When its last byte was written.
    pub at: Seconds,
    /// When it was answered, or ended without an answer.
    pub ended_at: Seconds,
    /// When the deadline that the client sent expires.
    pub deadline: Seconds,
    pub outcome: Outcome,
}

/// A request that reached a server, which ran or rejected it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub path: String,
    /// The server's instance id, service and zone.
    pub server: String,
    pub service: String,
    pub zone: String,
    /// When it arrived.
    pub at: Seconds,
    /// Whether the server started to run it.
    pub ran: bool,
    /// The tenant header that the edge process added.
    pub tenant: Option<String>,
    /// What in its headers or body differs from what a client sent.
    pub fault: Option<&'static str>,
    /// When work on it ended, and whether it stopped early because the connection was closed.
    pub worked_until: Seconds,
    pub stopped: bool,
}

/// One run of a keyed operation at a server.
#[derive(Clone, Debug)]
pub struct OperationRun {
    pub operation: String,
    /// The attempt id of the try that reached the server.
    pub attempt: String,
    pub server: String,
    pub at: Seconds,
    /// Unique to this run.
    pub stamp: String,
    /// Hash of the answer's body.
    pub body: u64,
}

/// One try of a keyed operation as its client observed it.
#[derive(Clone, Debug)]
pub struct OperationTry {
    pub operation: String,
    pub attempt: String,
    /// Index of the edge process that accepted it.
    pub edge: usize,
    /// When its last byte was written.
    pub at: Seconds,
    pub ended_at: Seconds,
    pub outcome: Outcome,
    /// The server's stamp on the answer.
    pub stamp: Option<String>,
    /// Hash of the answer's body.
    pub body: u64,
}

/// Operations that were sent through one edge process after all troubles; successful ones were repeated through
/// another.
#[derive(Clone, Debug)]
pub struct OperationProbe {
    /// Index of the edge process that got the first tries.
    pub edge: usize,
    pub operations: Vec<String>,
}

/// One configuration that the operator sent.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    /// The version that it is based on.
    pub base: u64,
    pub sent_at: Seconds,
    /// When its acknowledgement was received.
    pub acknowledged: Option<Seconds>,
    /// Refused with 412, so it never comes into force.
    pub refused: bool,
    /// The service that the moving route leads to.
    pub moving_to: &'static str,
    /// The key of the rotating tenant.
    pub key: String,
    pub body: Vec<u8>,
}

/// An evacuation of a zone.
#[derive(Clone, Debug)]
pub struct Evacuation {
    pub zone: String,
    /// When its acknowledgement was received.
    pub acknowledged: Option<Seconds>,
    /// When its revocation was first sent.
    pub revoked: Option<Seconds>,
}

/// A trouble: the span of one injected fault, which affects `process`, or the whole system if that is `None`.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub description: String,
    pub process: Option<Process>,
    pub from: Seconds,
    pub until: Seconds,
    /// Planned work, begun with SIGTERM or SIGHUP; it excuses no broken request.
    pub planned: bool,
}

/// A process of the system under test, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    Core(usize),
    Edge(usize),
}

/// All observations of a run.
#[derive(Default)]
pub struct Observations {
    pub requests: Vec<SentRequest>,
    pub arrivals: Vec<Arrival>,
    pub operation_runs: Vec<OperationRun>,
    pub operation_tries: Vec<OperationTry>,
    pub operation_probes: Vec<OperationProbe>,
    pub versions: Vec<Version>,
    pub evacuations: Vec<Evacuation>,
    pub troubles: Vec<Trouble>,
    /// Counts of admitted requests from the edge processes' metrics.
    pub admitted: Vec<Admitted>,
    /// Violations that were detected during the run.
    pub violations: Vec<String>,
}

/// The shared record to which all parts of the harness write.
pub struct Record {
    began: Instant,
    observations: Mutex<Observations>,
}

impl Default for Record {
    fn default() -> Record {
        Record { began: Instant::now(), observations: Mutex::default() }
    }
}

impl Record {
    /// Seconds since the start of the run.
    pub fn now(&self) -> Seconds {
        self.began.elapsed().as_secs_f64()
    }

    /// Locks the observations made so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records a violation with the current time.
    pub fn violation(&self, description: String) {
        let at = self.now();
        self.observations().violations.push(format!("{at:.3} {description}"));
    }

    /// Records a trouble that begins now; returns its index for [`Record::end_trouble`].
    pub fn begin_trouble(&self, description: String, process: Option<Process>, planned: bool) -> usize {
        let from = self.now();
        let mut observations = self.observations();
        observations.troubles.push(Trouble { description, process, from, until: f64::INFINITY, planned });
        observations.troubles.len() - 1
    }

    /// Whether a process had an unplanned trouble at any time since `since`.
    pub fn had_unplanned_trouble(&self, process: Process, since: Seconds) -> bool {
        let is_unplanned = |t: &Trouble| t.process == Some(process) && !t.planned && t.until >= since;
        self.observations().troubles.iter().any(is_unplanned)
    }

    /// Records that a trouble ends now.
    pub fn end_trouble(&self, trouble: usize) {
        let now = self.now();
        self.observations().troubles[trouble].until = now;
    }
}
