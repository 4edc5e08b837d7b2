//! The interface of the decision module: the terms handed at start, events in, actions out.
//! A host calls `Control::new` once and `Control::round` for each batch of events.

use crate::time::{Point, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Replayable,
    Uniqued,
    NonReplayable,
}

/// The srvs that drop repeats of a uniqued req.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug)]
pub struct Frontend {
    pub effect: Effect,
    pub group: Group,
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
    pub largest: f64,
    pub settles: bool,
    pub peers: bool,
    pub peer_intake: f64,
    pub ask_list: bool,
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
    pub start_each: f64,
    /// Further dispatches: their ratio to reqs, and how many may be past it from here.
    pub further: Option<(f64, f64)>,
    /// Sends a second that one cold srv may get from here; none: by `fall_multiple`.
    pub cold_sends: Option<f64>,
    /// Late answers are waited for, and a req that may have run to its end.
    pub patient: bool,
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
    pub fn cover(&self, req: &NewReq) -> bool {
        req.frontend < self.frontends.len() && req.plan < self.plans.len()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SrvState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct SrvRow {
    pub srv: u32,
    pub zone: u16,
    pub cell: u16,
    pub state: SrvState,
    pub weight: f64,
    pub born: Option<Point>,
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
pub struct NewReq {
    pub id: u64,
    pub frontend: usize,
    pub repeat: bool,
    pub units: f64,
    pub customer: u64,
    pub plan: usize,
    pub spread: f64,
    pub left: Span,
    /// The zones whose srvs may have it, a bit each.
    pub zones: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub id: u64,
    pub nth: u16,
    pub how: Outcome,
    pub took: Span,
    pub closed: bool,
    pub billed: f64,
}

#[derive(Clone, Debug)]
pub enum Event {
    List {
        kind: ListKind,
        rows: Vec<SrvRow>,
    },
    Req(NewReq),
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
        srv: u32,
        how: Outcome,
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
        how: Outcome,
    },
    /// Other terms from here on; frontends and plans keep their places, new ones come behind.
    Terms(Box<Terms>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Deny { id: u64, back_off: Span },
    Abort { id: u64 },
    Dispatch { id: u64, srv: u32, limit: Span },
    Cancel { id: u64, nth: u16 },
    Probe { srv: u32 },
    Close { srv: u32 },
    Watch { on: bool },
    Fetch,
    Tell { to: Option<u32>, body: Vec<u8> },
    Count { name: u64, amount: f64, life: Span },
    Timer { after: Span, token: u64 },
    Note { text: String },
}
