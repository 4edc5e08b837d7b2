//! The interface of the decision module: the terms handed at start, events in, actions out.
//! A host calls `Control::new` once and `Control::round` for each batch of events.

use crate::time::{Span, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Replayable,
    Deduplicated,
    NonReplayable,
}

/// The srvs that drop repeats of a uniqued req.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug)]
pub struct Frontend {
    pub effect: Effect,
    pub group: DedupScope,
    pub memory: Span,
    pub target: Span,
    pub late_value: f64,
    pub value: f64,
    pub timeout: Span,
    /// Srvs that one req may be sent to.
    pub max_dispatches: u32,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub rate: f64,
    pub burst: f64,
    pub price: f64,
    pub at_once: u32,
    pub overrun_value: f64,
    pub overrun_cost: f64,
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
}

/// What holds for this gateway from its start on.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub seed: u64,
    pub gateways: usize,
    pub zone: u16,
    pub zones: usize,
    pub period: Span,
    pub frontends: Vec<Frontend>,
    pub plans: Vec<Plan>,
    pub counter: bool,
    pub count_wait: Span,
    pub max_units: f64,
    pub bills_after: bool,
    pub peers: bool,
    pub peer_intake: f64,
    pub list_on_request: bool,
    pub may_duplicate: bool,
    pub may_cancel: bool,
    pub may_hint: bool,
    pub longest_hint: Span,
    pub cold_from: f64,
    pub warm_after: Span,
    pub fall_multiple: f64,
    pub fall_window: Span,
    /// Whether clients mark their repeats.
    pub marks_repeats: bool,
    /// The region of each zone; empty where all are as far.
    pub regions: Vec<u16>,
    /// Where the pool limit starts, for each ready srv and all gateways together.
    pub start_limit: f64,
    /// Further dispatches: their ratio to reqs, and how many may be past it from here.
    pub retry_budget: Option<(f64, f64)>,
    /// Sends a second that one cold srv may get from here; none: by `fall_multiple`.
    pub cold_send_rate: Option<f64>,
    /// Late answers are waited for, and a req that may have run to its end.
    pub awaits_late_answers: bool,
    /// For how many seconds a name of use stands; none: for half of the longest life that a counter gives one.
    pub window: Option<f64>,
}

impl Terms {
    /// Seconds for which a name of use stands. Each roll to the next forgets the others' last use.
    pub fn window(&self) -> f64 {
        self.window.unwrap_or(30.0)
    }
    /// How far a zone is: 0 the own one, 1 near, 2 in another region.
    pub fn distance(&self, zone: u16) -> u8 {
        let region = |z: u16| self.regions.get(z as usize);
        (zone != self.zone) as u8 + (region(zone) != region(self.zone)) as u8
    }
    /// Whether the terms have the frontend and the plan that a req names.
    pub fn contains(&self, req: &NewRequest) -> bool {
        req.frontend < self.frontends.len() && req.plan < self.plans.len()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct ServerEntry {
    pub server: u32,
    pub zone: u16,
    pub cell: u16,
    pub state: ServerState,
    pub weight: f64,
    pub started_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Delta,
    Full,
    Cached,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Passed,
    Error,
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    NotSent,
}

#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    pub id: u64,
    pub frontend: usize,
    pub repeat: bool,
    pub units: f64,
    pub customer: u64,
    pub plan: usize,
    pub spread: f64,
    pub time_left: Span,
    /// The zones whose srvs may have it, a bit each.
    pub zones: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub id: u64,
    pub nth: u16,
    pub outcome: Outcome,
    pub took: Span,
    pub closed: bool,
    pub billed: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        kind: ListKind,
        rows: Vec<ServerEntry>,
    },
    Req(NewRequest),
    Begun {
        id: u64,
        nth: u16,
    },
    Ended(Ended, Vec<f32>),
    Left {
        id: u64,
    },
    Timer {
        token: u64,
    },
    Probed {
        server: u32,
        outcome: Outcome,
        took: Span,
        load: Vec<f32>,
    },
    Peer {
        from: u32,
        body: Vec<u8>,
    },
    Counted {
        name: u64,
        total: f64,
        /// What is left of the customer's quota at once with that total, where the counter keeps it.
        level: Option<f64>,
        outcome: Outcome,
    },
    /// Other terms from here on; frontends and plans keep their places, new ones come behind.
    Terms(Box<Terms>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Deny { id: u64, back_off: Span },
    Abort { id: u64 },
    Dispatch { id: u64, server: u32, limit: Span },
    Cancel { id: u64, nth: u16 },
    Probe { server: u32 },
    Close { server: u32 },
    Watch { on: bool },
    Fetch,
    Tell { to: Option<u32>, body: Vec<u8> },
    Count { name: u64, amount: f64, life: Span },
    Timer { after: Span, token: u64 },
    Note { text: String },
}
