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
    pub max_dispatches: u32,
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
}

impl Terms {
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
    List { kind: ListKind, rows: Vec<SrvRow> },
    Req(NewReq),
    Begun { id: u64, nth: u16 },
    Ended(Ended, Vec<f32>),
    Left { id: u64 },
    Timer { token: u64 },
    Probed { srv: u32, how: Outcome, took: Span, load: Vec<f32> },
    Peer { from: u32, body: Vec<u8> },
    Counted { name: u64, total: f64, how: Outcome },
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
