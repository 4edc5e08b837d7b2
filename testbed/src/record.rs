//! The record of a run from both ends: each request as its client saw it, and each arrival as the server saw it.
//!
//! Times are seconds from the start of the run.

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// 200 with the body that a server made for this request.
    Passed,
    /// 429 or 503: rejected, safe to retry.
    Denied,
    /// Any other status.
    Failed,
    /// The gateway closed the connection without a complete response.
    NoAnswer,
    /// No response within the client timeout plus `SLACK_S`.
    Late,
    /// The client gave up early on purpose; no rule applies to this request.
    GaveUp,
    /// A 200 whose body no server made for this request: the response to another request.
    ForeignAnswer,
}

impl Outcome {
    /// Every outcome, in the order of reports.
    pub const ALL: [Outcome; 7] = [
        Outcome::Passed,
        Outcome::Denied,
        Outcome::Failed,
        Outcome::NoAnswer,
        Outcome::Late,
        Outcome::GaveUp,
        Outcome::ForeignAnswer,
    ];
    /// Name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Outcome::Passed => "passed",
            Outcome::Denied => "denied",
            Outcome::Failed => "failed",
            Outcome::NoAnswer => "no answer",
            Outcome::Late => "late",
            Outcome::GaveUp => "gave up",
            Outcome::ForeignAnswer => "foreign",
        }
    }
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The `X-Request-Id`.
    pub id: u64,
    /// Index of the gateway it was sent to.
    pub gateway: u16,
    /// Index of the customer.
    pub customer: u32,
    /// Index of the class in the settings.
    pub class: u8,
    /// Index of the plan in the settings.
    pub plan: u8,
    /// Scheduled time; `sent` minus this is the lag of the load generator.
    pub due: f64,
    /// When it was sent.
    pub sent: f64,
    /// The client timeout, s from `sent`.
    pub timeout: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// When the last byte of its response arrived, or the client stopped waiting.
    pub ended: f64,
    /// Whether it is a retry of a denied request.
    pub is_retry: bool,
}

impl ClientRequest {
    /// Time from sending to the end, s.
    pub fn latency(&self) -> f64 {
        self.ended - self.sent
    }
}

/// One request that a server received completely.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Index of the server.
    pub server: u16,
    /// Time of the arrival.
    pub at: f64,
    /// The `X-Request-Id` as a number; 0 if it is missing or malformed.
    pub id: u64,
    /// Index of the class in the settings.
    pub class: u8,
    /// Index of the customer.
    pub customer: u32,
    /// Whether it began to run (rather than being rejected).
    pub ran: bool,
    /// Whether its idempotency key had run before: it got the stored answer and did not run again.
    pub repeat_of_key: bool,
    /// Number of requests running on this server at the arrival.
    pub running: usize,
    /// Number of requests that the server could run concurrently at that time.
    pub limit: usize,
    /// Whether the server was in a `cold` window at the arrival.
    pub cold: bool,
    /// Seconds since discovery announced the drain of this server; NaN if it had not.
    pub since_drain_announced: f64,
    /// Open requests of the customer over all servers at the arrival, this one included, as (server, request id).
    pub customer_open: Vec<(u16, u64)>,
}

/// Everything recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Requests as the clients saw them.
    pub requests: Vec<ClientRequest>,
    /// Arrivals as the servers saw them.
    pub arrivals: Vec<Arrival>,
    /// Peak resident memory of each gateway at the end of the run, KiB (`VmHWM`); 0 if it could not be read.
    pub gateway_peak_kib: Vec<u64>,
    /// Peak resident memory of the lab itself, KiB.
    pub lab_peak_kib: u64,
}
