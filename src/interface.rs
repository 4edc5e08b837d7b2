//! The interface of the decision module: its settings ([`Terms`]), the events that it takes and the actions that it
//! emits. A host calls `Control::new` once and `Control::round` for each batch of events.

use crate::time::{Span, Timestamp};

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Yes: it is idempotent.
    Replayable,
    /// Within the servers of its scope and for the time that they remember it: they drop repeats.
    Deduplicated,
    /// Never.
    #[default]
    NonReplayable,
}

/// The servers that recognize a repeat of a deduplicated request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DedupScope {
    #[default]
    All,
    Zone,
    Cell,
}

/// A class of requests. An open request keeps the values that were in force when it arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct Frontend {
    pub effect: Effect,
    /// Deduplicated requests: the servers that share the memory of repeats, and how long they remember one.
    pub dedup_scope: DedupScope,
    pub dedup_memory: Span,
    /// The time within which an answer has its full value.
    pub target: Span,
    /// The value of a late answer, and of one in time.
    pub late_value: f64,
    pub value: f64,
    /// After which its client gives up.
    pub timeout: Span,
    /// The most dispatches of one request.
    pub max_dispatches: u32,
}

/// What a customer may use.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The quota: units a second, and the most that may be saved up. A rate of 0: no quota.
    pub rate: f64,
    pub burst: f64,
    /// What a request of the plan earns.
    pub price: f64,
    /// The most requests in flight at once; 0: no cap.
    pub at_once: u32,
    /// What a request past the quota earns and costs.
    pub overrun_value: f64,
    pub overrun_cost: f64,
    /// The hard ceiling, never to be passed: units a second and burst. A rate of 0: no ceiling.
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
}

/// The settings that a gateway decides by.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The number of gateways.
    pub gateways: usize,
    /// The zone of this gateway, and the number of zones.
    pub zone: u16,
    pub zones: usize,
    /// The period of the host's rounds.
    pub period: Span,
    pub frontends: Vec<Frontend>,
    pub plans: Vec<Plan>,
    /// Whether there is a shared counter, and after how long a call to it ends without an answer.
    pub counter: bool,
    pub count_wait: Span,
    /// The most units of one request.
    pub max_units: f64,
    /// Whether the units of a request are known only with its answer.
    pub bills_after: bool,
    /// Whether gateways may send each other messages, and how many a second each takes in.
    pub may_message_peers: bool,
    pub peer_intake: f64,
    /// Whether the server list has to be requested.
    pub list_on_request: bool,
    /// Whether a request may run on several servers at once.
    pub may_duplicate: bool,
    /// Whether a dispatch may be cancelled.
    pub may_cancel: bool,
    /// Whether a denial may say when to come back, and the longest such time.
    pub may_hint: bool,
    pub longest_hint: Span,
    /// A server that was just started has this share of its capacity, and all of it after `warmup_time`.
    pub cold_start_share: f64,
    pub warmup_time: Span,
    /// A cold server fails if it is sent this multiple of its capacity or more over `overload_window`.
    pub overload_multiple: f64,
    pub overload_window: Span,
    /// Whether clients mark their retries.
    pub marks_repeats: bool,
    /// The region of each zone; empty if all zones are equally far.
    pub regions: Vec<u16>,
    /// The initial pool limit per ready server, over all gateways.
    pub start_limit: f64,
    /// Retries: their ratio to requests, and the burst that this gateway may send beyond it.
    pub retry_budget: Option<(f64, f64)>,
    /// Sends a second that one cold server may get from here; `None`: derived from `overload_multiple`.
    pub cold_send_rate: Option<f64>,
    /// Whether late answers are waited for, and a request that may have run until its timeout.
    pub awaits_late_answers: bool,
    /// Seconds that a counter name of the quota is used; `None`: half of the longest life that a counter gives a name.
    pub window: Option<f64>,
}

impl Terms {
    /// Seconds that a counter name of the quota is used. The change to the next one loses the last use of the others.
    pub fn window(&self) -> f64 {
        self.window.unwrap_or(30.0)
    }
    /// The distance of a zone: 0 for the own one, 1 in the same region, 2 in another region.
    pub fn distance(&self, zone: u16) -> u8 {
        let region = |z: u16| self.regions.get(z as usize);
        (zone != self.zone) as u8 + (region(zone) != region(self.zone)) as u8
    }
    /// Whether the terms have the frontend and the plan that a request names.
    pub fn contains(&self, request: &NewRequest) -> bool {
        request.frontend < self.frontends.len() && request.plan < self.plans.len()
    }
}

/// The state of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    /// Takes no new requests.
    Draining,
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Copy, Debug)]
pub struct ServerEntry {
    pub server: u32,
    pub zone: u16,
    pub cell: u16,
    pub state: ServerState,
    pub weight: f64,
    /// When its process started, if known; without it the server counts as warm.
    pub started_at: Option<Timestamp>,
}

/// What a server list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All servers.
    Full,
    /// All servers, from a cache that may be stale.
    Cached,
    /// Nothing: the request for the list failed.
    Failed,
}

/// How a dispatch, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Passed,
    Error,
    /// The server refused it for want of capacity.
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    /// It never left the gateway.
    NotSent,
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    pub id: u64,
    pub frontend: usize,
    /// Whether its client marked it as a retry.
    pub repeat: bool,
    pub units: f64,
    pub customer: u64,
    pub plan: usize,
    /// The number of gateways that its customer's requests come through.
    pub spread: f64,
    /// Until its client's timeout.
    pub time_left: Span,
    /// The zones whose servers it may be sent to, one bit each.
    pub zones: u64,
}

/// The end of a dispatch.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub id: u64,
    /// Which dispatch of the request, from 0.
    pub nth: u16,
    pub outcome: Outcome,
    pub took: Span,
    /// Whether the client has its answer with that.
    pub closed: bool,
    /// The units that the server charges; 0: not known.
    pub billed: f64,
}

/// What the host reports to the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// A server list.
    List { kind: ListKind, rows: Vec<ServerEntry> },
    /// A new request.
    Req(NewRequest),
    /// An answer to the client has begun: the request is not sent again.
    Begun { id: u64, nth: u16 },
    /// The end of a dispatch, with the load that the server reported.
    Ended(Ended, Vec<f32>),
    /// The client has left.
    Left { id: u64 },
    /// A timer has expired.
    Timer { token: u64 },
    /// The result of a probe.
    Probed { server: u32, outcome: Outcome, took: Span, load: Vec<f32> },
    /// A message of another gateway.
    Peer { from: u32, body: Vec<u8> },
    /// The end of a counter call.
    Counted {
        name: u64,
        total: f64,
        /// What is left of the customer's quota with that total, if the counter keeps the level.
        level: Option<f64>,
        outcome: Outcome,
    },
    /// Changed settings; frontends and plans keep their indices, new ones are appended.
    Terms(Box<Terms>),
}

/// What the host has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// End a request that its client may repeat safely, with a time after which to do so.
    Deny { id: u64, back_off: Span },
    /// End a request that may have run and must not be repeated.
    Abort { id: u64 },
    /// Send a request to a server.
    Dispatch { id: u64, server: u32, limit: Span },
    /// Cancel a dispatch.
    Cancel { id: u64, nth: u16 },
    /// Probe a server.
    Probe { server: u32 },
    /// Close the idle connections to a server.
    Close { server: u32 },
    /// Request the server list and its changes.
    Watch { on: bool },
    /// Fetch the server list once.
    Fetch,
    /// Send a message to one gateway or to all.
    Tell { to: Option<u32>, body: Vec<u8> },
    /// Add to a counter name and read its total; the name lives that long after the call.
    Count { name: u64, amount: f64, life: Span },
    /// Set a timer.
    Timer { after: Span, token: u64 },
    /// Write a line to the log.
    Note { text: String },
}
