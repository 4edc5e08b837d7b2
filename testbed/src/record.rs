//! What a run saw, from both ends: each req as its client saw it, and each arrival at a srv as the srv saw it.
//!
//! Times are seconds from the start of the run.

/// How a req ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// 200 with the body a srv made for this req.
    Passed,
    /// 429 or 503: refused, harmless to try again.
    Denied,
    /// Any other status.
    Failed,
    /// The gateway ended the connection without a whole answer.
    NoAnswer,
    /// Nothing came before the client timeout (and the 50 ms the bench adds).
    Late,
    /// The client gave up early on purpose; no rule is asked of the gateway for it.
    GaveUp,
    /// A 200 whose body no srv made for this req: a stray answer, or one sent after.
    ForeignAnswer,
}

impl Outcome {
    pub const ALL: [Outcome; 7] = [
        Outcome::Passed,
        Outcome::Denied,
        Outcome::Failed,
        Outcome::NoAnswer,
        Outcome::Late,
        Outcome::GaveUp,
        Outcome::ForeignAnswer,
    ];
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

/// One req as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub id: u64,
    pub gateway: u16,
    pub customer: u32,
    pub class: u8,
    pub plan: u8,
    /// When it was due by the arrivals; `sent` minus this is the tool's own lag.
    pub due: f64,
    pub sent: f64,
    /// The client timeout, s from `sent`.
    pub timeout: f64,
    pub outcome: Outcome,
    /// When its answer's last byte came (or the client stopped waiting).
    pub ended: f64,
    /// A client's repeat of a denied req.
    pub is_retry: bool,
}

impl ClientRequest {
    pub fn latency(&self) -> f64 {
        self.ended - self.sent
    }
}

/// One req that reached a srv whole.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: u16,
    pub at: f64,
    /// The `X-Request-Id`, as the number its 16 hex digits give; 0 where none could be read.
    pub id: u64,
    pub class: u8,
    pub customer: u32,
    /// Whether it began to run (rather than being turned away unrun).
    pub ran: bool,
    /// A by-key req whose key had run already: answered from memory, not run again.
    pub repeat_of_key: bool,
    /// Reqs running on this srv when it came, and what the srv could take then.
    pub running: usize,
    pub limit: usize,
    /// Whether the srv was cold (within a `cold` window) when it came.
    pub cold: bool,
    /// Seconds since discovery told that this srv is leaving; negative or NaN where it was not.
    pub since_drain_announced: f64,
    /// The customer's reqs open at all srvs together when it came, this one included, as (srv, req id).
    pub customer_open: Vec<(u16, u64)>,
}

/// All of a run.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub requests: Vec<ClientRequest>,
    pub arrivals: Vec<Arrival>,
    /// Peak resident memory of each gateway at the end, KiB (`VmHWM`), where it could be read.
    pub gateway_peak_kib: Vec<u64>,
    /// Peak resident memory of the lab itself, KiB.
    pub lab_peak_kib: u64,
}
