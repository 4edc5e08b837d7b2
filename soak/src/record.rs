//! What clients, servers, the operator and the fault injector saw, on one clock.

use crate::admissions::Admitted;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// Seconds since the start of a run.
pub type Seconds = f64;

/// How a request of a well-behaved client ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A whole answer with this status, and what is wrong with it.
    Answered { status: u16, fault: Option<&'static str> },
    /// The whole request was sent, and the connection ended without an answer.
    Broken,
    /// The whole request was sent, and nothing came for long after its deadline.
    Silent,
    /// It could not be sent.
    Unsent,
    /// Its client left on purpose.
    Left,
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub id: String,
    pub path: String,
    pub repeatable: bool,
    pub key: String,
    /// Index of the edge process that took it.
    pub edge: usize,
    /// When its last byte was written.
    pub at: Seconds,
    pub ended: Seconds,
    pub deadline: Seconds,
    pub ending: Ending,
}

/// A request that reached a server and was run or turned away there.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub path: String,
    /// The server's instance id, service and zone.
    pub server: String,
    pub service: String,
    pub zone: String,
    pub at: Seconds,
    /// Whether the server began to work on it.
    pub ran: bool,
    pub tenant: Option<String>,
    /// Headers or a body that no client sent.
    pub fault: Option<&'static str>,
    /// When work on it ended, and whether it ended early because the connection was closed.
    pub worked_until: Seconds,
    pub stopped: bool,
}

/// One run of a keyed operation at a server.
#[derive(Clone, Debug)]
pub struct OperationRun {
    pub operation: String,
    /// The try that was sent to the server.
    pub attempt: String,
    pub server: String,
    pub at: Seconds,
    /// No other run has it.
    pub stamp: String,
    /// Digest of the body of its answer.
    pub body: u64,
}

/// One try of a keyed operation, as its client saw it.
#[derive(Clone, Debug)]
pub struct OperationTry {
    pub operation: String,
    pub attempt: String,
    /// Index of the edge process that took it.
    pub edge: usize,
    /// When its last byte was written.
    pub at: Seconds,
    pub ended: Seconds,
    pub ending: Ending,
    /// The server's stamp on the answer.
    pub stamp: Option<String>,
    /// Digest of the answer's body.
    pub body: u64,
}

/// Operations that were sent and repeated after all troubles, from one edge process to another.
#[derive(Clone, Debug)]
pub struct OperationProbe {
    pub edge: usize,
    pub operations: Vec<String>,
}

/// One configuration that the operator sent.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub base: u64,
    pub sent_at: Seconds,
    pub acknowledged: Option<Seconds>,
    /// Refused by 412: it is not in force.
    pub refused: bool,
    /// The service that the moving route leads to.
    pub moving_to: &'static str,
    /// The key of the tenant whose keys change.
    pub key: String,
    pub body: Vec<u8>,
}

/// An evacuation of a zone.
#[derive(Clone, Debug)]
pub struct Evacuation {
    pub zone: String,
    pub acknowledged: Option<Seconds>,
    /// When taking it back was sent first.
    pub revoked: Option<Seconds>,
}

/// A span in which something outside the promise's terms happened to a process or to the whole.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub description: String,
    pub process: Option<Process>,
    pub from: Seconds,
    pub until: Seconds,
    /// SIGTERM or SIGHUP: planned work, which excuses no broken request.
    pub planned: bool,
}

/// An own process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    Core(usize),
    Edge(usize),
}

/// See the module.
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
    /// What edge processes say of the requests that they sent.
    pub admitted: Vec<Admitted>,
    /// Broken promises that were seen as they happened.
    pub violations: Vec<String>,
}

/// What all parties of a run write to.
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
    /// Seconds since the start.
    pub fn now(&self) -> Seconds {
        self.began.elapsed().as_secs_f64()
    }

    /// All that was seen so far.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Notes a broken promise.
    pub fn violation(&self, description: String) {
        let at = self.now();
        self.observations().violations.push(format!("{at:.3} {description}"));
    }

    /// Notes a trouble that begins now; returns its index for [`Record::over`].
    pub fn begin_trouble(&self, description: String, process: Option<Process>, planned: bool) -> usize {
        let from = self.now();
        let mut observations = self.observations();
        observations.troubles.push(Trouble { description, process, from, until: f64::INFINITY, planned });
        observations.troubles.len() - 1
    }

    /// Whether anything unplanned befell a process since then.
    pub fn had_unplanned_trouble(&self, process: Process, since: Seconds) -> bool {
        let is_unplanned = |t: &Trouble| t.process == Some(process) && !t.planned && t.until >= since;
        self.observations().troubles.iter().any(is_unplanned)
    }

    /// A trouble has ended.
    pub fn end_trouble(&self, trouble: usize) {
        let now = self.now();
        self.observations().troubles[trouble].until = now;
    }
}
