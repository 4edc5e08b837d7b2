//! A scenario: the world, the load and the fault schedule of one run, read from TOML (serde) and checked once.
//!
//! Times are seconds from the start of the run (`f64`); rates are reqs per second over all gateways.

use serde::Deserialize;

/// One run as written in its file. Every field but `name` has a default, so a scenario says only what it changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Seeds the arrivals, the customers and the gateways' own seeds.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of the load, s; the run then waits for the last client timeout.
    #[serde(default = "default_duration")]
    pub duration_s: f64,
    #[serde(default = "default_gateways")]
    pub gateways: usize,
    #[serde(default)]
    pub load: Load,
    #[serde(rename = "srvs", default = "default_servers")]
    pub servers: Vec<ServerGroup>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Width of one bucket of the timeline and the plots, s.
    #[serde(default = "default_bucket")]
    pub bucket_s: f64,
    /// Time a drained srv may still be sent to after discovery has told of it, s (the bench's drain grace).
    #[serde(default = "default_grace")]
    pub grace_s: f64,
    /// Span over which each customer's use is set against its quota, s (issue 16 states its bound per minute).
    #[serde(default = "default_quota_window")]
    pub quota_window_s: f64,
}

/// The open-loop arrivals.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean rate, reqs/s, Poisson.
    #[serde(default = "default_rate")]
    pub rate: f64,
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Customers, each with one plan drawn by `plans` shares.
    #[serde(default = "default_customers")]
    pub customers: u32,
    #[serde(default = "default_classes")]
    pub classes: Vec<Share>,
    #[serde(default = "default_plans")]
    pub plans: Vec<Share>,
    /// Share of reqs whose client gives up at a random point before its timeout.
    #[serde(default)]
    pub give_up_early: f64,
    /// Share of denied reqs that the client sends again at once, ignoring `Retry-After`.
    #[serde(default)]
    pub again_too_soon: f64,
    /// Client timeout as a share of the class's deadline, drawn uniformly from this span.
    #[serde(default = "default_timeout_share")]
    pub timeout_share: [f64; 2],
    /// Client threads a gateway; an arrival waits for a free one (its lag is reported).
    #[serde(default = "default_clients")]
    pub clients_per_gateway: usize,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at: f64,
    #[serde(rename = "for")]
    pub span: f64,
    /// Rate multiple during the burst.
    pub times: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    pub name: String,
    pub share: f64,
}

/// Alike srvs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    #[serde(default = "default_count")]
    pub count: usize,
    #[serde(default = "default_zone")]
    pub zone: String,
    /// Time to serve a req, ms.
    #[serde(default = "default_latency")]
    pub latency_ms: u64,
    /// Reqs it runs at once when warm; further ones are turned away (503, `X-Not-Run: 1`).
    #[serde(default = "default_capacity")]
    pub capacity: usize,
}

/// One entry of the schedule: `what` happens to `target` from `at` for `for` seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: f64,
    #[serde(rename = "for", default)]
    pub span: f64,
    /// `srv:N` (N from 0 over all groups in order), `counter` or `discovery`.
    pub target: String,
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The faults the emulator can play. Srv faults apply to reqs that arrive within the window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum FaultKind {
    /// Serves `ms` later than usual.
    Slow { ms: u64 },
    /// Answers 500: it may have run.
    Failing,
    /// Reads the req and says nothing.
    Silent,
    /// Writes part of its answer, then resets.
    ResetMidAnswer,
    /// A `100 Continue` in front of a good answer.
    Informational,
    /// A good answer whose `Billed-Units` is no number.
    SpoiltBilled,
    /// Restarts cold: discovery tells a fresh start; its capacity is `cold_from` of the whole, growing to all over
    /// the window.
    Cold { cold_from: f64 },
    /// Discovery tells `leaving` at `at`; it takes new reqs till the grace ends and leaves at the end of the window.
    Drain,
    /// Counter: every call turned away with `-BUSY`.
    Busy,
    /// Counter: calls are answered only when the window ends.
    Stall,
    /// Counter: all totals forgotten at `at`, as a fresh counter starts.
    RestartAtZero,
    /// Counter: the second half of the gateways reach another side that goes on from the totals at `at` on its
    /// own; at the end the sides heal and the far side's adds are added to the near side's totals.
    Split,
    /// Discovery: watches get nothing during the window, then all they missed.
    Late,
    /// Discovery: the srv `srv` is told at an address where nothing listens, during the window.
    Wrong {
        #[serde(rename = "srv")]
        server: usize,
    },
}

impl FaultKind {
    /// Whether it is played by a srv (rather than the counter or discovery).
    pub fn applies_to_server(&self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            Slow { .. }
                | Failing
                | Silent
                | ResetMidAnswer
                | Informational
                | SpoiltBilled
                | Cold { .. }
                | Drain
        )
    }
    pub fn applies_to_counter(&self) -> bool {
        matches!(self, FaultKind::Busy | FaultKind::Stall | FaultKind::RestartAtZero | FaultKind::Split)
    }
    /// Short name for tables and plots.
    pub fn label(&self) -> &'static str {
        use FaultKind::*;
        match self {
            Slow { .. } => "slow",
            Failing => "failing",
            Silent => "silent",
            ResetMidAnswer => "reset mid-answer",
            Informational => "1xx in front",
            SpoiltBilled => "spoilt Billed-Units",
            Cold { .. } => "cold start",
            Drain => "drain",
            Busy => "counter BUSY",
            Stall => "counter stall",
            RestartAtZero => "counter restart at zero",
            Split => "counter split",
            Late => "discovery late",
            Wrong { .. } => "discovery wrong",
        }
    }
}

/// Where a fault lands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Server(usize),
    Counter,
    Discovery,
}

impl Fault {
    /// The target; an error names it.
    pub fn target(&self) -> Result<Target, String> {
        match self.target.as_str() {
            "counter" => Ok(Target::Counter),
            "discovery" => Ok(Target::Discovery),
            t => t
                .strip_prefix("srv:")
                .and_then(|n| n.parse().ok())
                .map(Target::Server)
                .ok_or(format!("`target`: `{t}` is none of srv:N, counter, discovery")),
        }
    }
    pub fn end(&self) -> f64 {
        self.at + self.span
    }
}

/// Classes and plans that the example configuration of the gateway names; a scenario may use only these.
pub const CLASSES: [&str; 3] = ["quote", "order", "notice"];
pub const PLANS: [&str; 3] = ["free", "team", "house"];
/// Most gateways one run starts: what this machine runs beside the emulator (issue 14 names 20).
pub const MAX_GATEWAYS: usize = 20;
/// Most srvs, customers and reqs a second: keep threads and records bounded (a req record is some 80 bytes).
pub const MAX_SERVERS: usize = 64;
pub const MAX_CUSTOMERS: u32 = 10_000;
pub const MAX_RATE: f64 = 5_000.0;

impl Scenario {
    /// Reads and checks a scenario; the error names the field at fault.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let s: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        s.check()?;
        Ok(s)
    }

    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|g| g.count).sum()
    }

    /// Each srv's group, in the order of `srv:N`.
    pub fn server_groups(&self) -> Vec<&ServerGroup> {
        self.servers.iter().flat_map(|g| std::iter::repeat_n(g, g.count)).collect()
    }

    pub fn check(&self) -> Result<(), String> {
        let span = |v: f64, lo: f64, hi: f64, field: &str| {
            if v.is_finite() && (lo..=hi).contains(&v) {
                Ok(())
            } else {
                Err(format!("`{field}`: {v} is not within {lo} to {hi}"))
            }
        };
        span(self.duration_s, 0.5, 3600.0, "duration_s")?;
        span(self.gateways as f64, 1.0, MAX_GATEWAYS as f64, "gateways")?;
        span(self.bucket_s, 0.05, 60.0, "bucket_s")?;
        span(self.grace_s, 0.0, 10.0, "grace_s")?;
        span(self.quota_window_s, 1.0, 3600.0, "quota_window_s")?;
        let l = &self.load;
        span(l.rate, 0.0, MAX_RATE, "load.rate")?;
        span(l.customers as f64, 1.0, MAX_CUSTOMERS as f64, "load.customers")?;
        span(l.give_up_early, 0.0, 1.0, "load.give_up_early")?;
        span(l.again_too_soon, 0.0, 1.0, "load.again_too_soon")?;
        span(l.clients_per_gateway as f64, 1.0, 512.0, "load.clients_per_gateway")?;
        let [lo, hi] = l.timeout_share;
        span(lo, 0.05, 1.0, "load.timeout_share")?;
        span(hi, lo, 1.0, "load.timeout_share")?;
        for b in &l.bursts {
            span(b.at, 0.0, self.duration_s, "load.bursts.at")?;
            span(b.span, 0.0, self.duration_s, "load.bursts.for")?;
            span(b.times * l.rate, 0.0, MAX_RATE, "load.bursts.times")?;
        }
        shares(&l.classes, &CLASSES, "load.classes")?;
        shares(&l.plans, &PLANS, "load.plans")?;
        if self.server_count() == 0 || self.server_count() > MAX_SERVERS {
            return Err(format!("`srvs`: {} srvs, wants 1 to {MAX_SERVERS}", self.server_count()));
        }
        for g in &self.servers {
            span(g.capacity as f64, 1.0, 4096.0, "srvs.capacity")?;
            span(g.latency_ms as f64, 0.0, 60_000.0, "srvs.latency_ms")?;
        }
        for f in &self.faults {
            span(f.at, 0.0, self.duration_s, "faults.at")?;
            span(f.span, 0.0, self.duration_s, "faults.for")?;
            let t = f.target()?;
            let fits = match t {
                Target::Server(n) => f.kind.applies_to_server() && n < self.server_count(),
                Target::Counter => f.kind.applies_to_counter(),
                Target::Discovery => {
                    matches!(f.kind, FaultKind::Late)
                        || matches!(f.kind, FaultKind::Wrong { server } if server < self.server_count())
                }
            };
            if !fits {
                return Err(format!("`faults`: {} can't be played on {}", f.kind.label(), f.target));
            }
            if let FaultKind::Cold { cold_from } = f.kind {
                span(cold_from, 0.01, 1.0, "faults.cold_from")?;
            }
        }
        Ok(())
    }
}

fn shares(list: &[Share], known: &[&str], field: &str) -> Result<(), String> {
    if list.is_empty() {
        return Err(format!("`{field}`: empty"));
    }
    for s in list {
        if !known.contains(&s.name.as_str()) {
            return Err(format!("`{field}`: `{}` is none of {known:?}", s.name));
        }
        if !(s.share.is_finite() && s.share > 0.0) {
            return Err(format!("`{field}`: share of `{}` is not above 0", s.name));
        }
    }
    Ok(())
}

impl Default for Load {
    fn default() -> Load {
        toml::from_str("").expect("defaults")
    }
}

fn default_seed() -> u64 {
    1
}
fn default_duration() -> f64 {
    10.0
}
fn default_gateways() -> usize {
    1
}
fn default_bucket() -> f64 {
    0.5
}
fn default_grace() -> f64 {
    1.0
}
fn default_quota_window() -> f64 {
    60.0
}
fn default_rate() -> f64 {
    50.0
}
fn default_customers() -> u32 {
    20
}
fn default_classes() -> Vec<Share> {
    vec![Share { name: "quote".into(), share: 1.0 }]
}
fn default_plans() -> Vec<Share> {
    vec![Share { name: "house".into(), share: 1.0 }]
}
/// Clients of the bench give a try from about half of its class's deadline to all of it.
fn default_timeout_share() -> [f64; 2] {
    [0.5, 1.0]
}
fn default_clients() -> usize {
    64
}
fn default_servers() -> Vec<ServerGroup> {
    vec![ServerGroup {
        count: 2,
        zone: default_zone(),
        latency_ms: default_latency(),
        capacity: default_capacity(),
    }]
}
fn default_count() -> usize {
    1
}
fn default_zone() -> String {
    "east".into()
}
fn default_latency() -> u64 {
    20
}
/// Enough that calm load never fills a srv: faults, not the srv's size, are what a scenario plays.
fn default_capacity() -> usize {
    64
}
