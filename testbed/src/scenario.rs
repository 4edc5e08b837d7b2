//! A scenario: the environment, the load and the fault schedule of one run, parsed from TOML and validated once.
//!
//! Times are seconds from the start of the run (`f64`); rates are requests per second, summed over all gateways.

use serde::Deserialize;

/// One run as its file describes it. Every field but `name` has a default, so a file lists only what it changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Names the run in reports and the default output folder.
    pub name: String,
    /// Seed of the arrivals and the customers; each gateway's own seed is derived from it.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of the load, s; the run then waits for the last client timeout.
    #[serde(default = "default_duration")]
    pub duration_s: f64,
    /// Number of gateway processes.
    #[serde(default = "default_gateways")]
    pub gateways: usize,
    /// The load that clients generate.
    #[serde(default)]
    pub load: Load,
    /// The emulated servers.
    #[serde(rename = "srvs", default = "default_servers")]
    pub servers: Vec<ServerGroup>,
    /// The fault schedule.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Width of one bucket of the timeline and the plots, s.
    #[serde(default = "default_bucket")]
    pub bucket_s: f64,
    /// How long a draining server may still receive requests after discovery announced the drain, s (the
    /// drain grace period of the bench).
    #[serde(default = "default_grace")]
    pub grace_s: f64,
    /// Window in which each customer's usage is compared with its quota, s (issue 16 states the bound per minute).
    #[serde(default = "default_quota_window")]
    pub quota_window_s: f64,
}

/// The open-loop load: clients send at the scheduled times, whether or not earlier requests have ended.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean rate of the Poisson arrivals, requests/s.
    #[serde(default = "default_rate")]
    pub rate: f64,
    /// Time ranges with a higher rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Number of customers; the plan of each is drawn by the shares in `plans`.
    #[serde(default = "default_customers")]
    pub customers: u32,
    /// Request classes and their shares of the load.
    #[serde(default = "default_classes")]
    pub classes: Vec<Share>,
    /// Plans and their shares of the customers.
    #[serde(default = "default_plans")]
    pub plans: Vec<Share>,
    /// Share of requests whose client gives up at a random time before its timeout.
    #[serde(default)]
    pub give_up_early: f64,
    /// Share of denied requests that the client retries immediately, ignoring `Retry-After`.
    #[serde(default)]
    pub again_too_soon: f64,
    /// Range from which the client timeout is drawn uniformly, as a share of the class's deadline.
    #[serde(default = "default_timeout_share")]
    pub timeout_share: [f64; 2],
    /// Client threads per gateway; an arrival waits until one is free, and reports show that lag.
    #[serde(default = "default_clients")]
    pub clients_per_gateway: usize,
}

/// A time range with a higher rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, s.
    pub at: f64,
    /// Duration, s.
    #[serde(rename = "for")]
    pub span: f64,
    /// Factor on the rate during the burst.
    pub times: f64,
}

/// The relative weight of a class or a plan.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    pub name: String,
    pub share: f64,
}

/// Servers with the same properties.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// Number of servers.
    #[serde(default = "default_count")]
    pub count: usize,
    /// The zone that discovery reports.
    #[serde(default = "default_zone")]
    pub zone: String,
    /// Service time of a request, ms.
    #[serde(default = "default_latency")]
    pub latency_ms: u64,
    /// Requests a warm server runs concurrently; it rejects more (503, `X-Not-Run: 1`).
    #[serde(default = "default_capacity")]
    pub capacity: usize,
}

/// One entry of the fault schedule: the fault `what` applies to `target` from `at` for `for` seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, s.
    pub at: f64,
    /// Duration, s.
    #[serde(rename = "for", default)]
    pub span: f64,
    /// `srv:N` (N counts from 0 over all groups in order), `counter` or `discovery`.
    pub target: String,
    /// The fault to emulate.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The faults that the emulator supports. Server faults apply to requests that arrive within the window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case", tag = "kind", deny_unknown_fields)]
pub enum FaultKind {
    /// Server: responds `ms` later than usual.
    Slow { ms: u64 },
    /// Server: responds with 500; the request may have run.
    Failing,
    /// Server: reads the request and never responds.
    Silent,
    /// Server: writes part of its response, then resets the connection.
    ResetMidAnswer,
    /// Server: sends `100 Continue` before a correct response.
    Informational,
    /// Server: sends a correct response whose `Billed-Units` is not a number.
    SpoiltBilled,
    /// Server: restarts cold. Discovery reports a new start time, and the capacity grows linearly over the window
    /// from the share `cold_from` to its full value.
    Cold { cold_from: f64 },
    /// Server: discovery reports `leaving` at `at`. The server accepts new requests until the grace period ends and
    /// is reported as `left` at the end of the window.
    Drain,
    /// Counter: rejects every call with `-BUSY`.
    Busy,
    /// Counter: replies to calls only after the window ends.
    Stall,
    /// Counter: loses all totals at `at`, as a newly started counter.
    RestartAtZero,
    /// Counter: the second half of the gateways reaches a separate side that continues from the totals at `at`. At
    /// the end of the window the amounts added on the far side are merged into the totals of the near side.
    Split,
    /// Discovery: watches receive nothing during the window, then all updates they missed.
    Late,
    /// Discovery: reports one server at an address where nothing listens, during the window.
    Wrong {
        /// Index of that server.
        #[serde(rename = "srv")]
        server: usize,
    },
}

impl FaultKind {
    /// Whether the fault applies to a server (rather than the counter or discovery).
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
    /// Whether the fault applies to the counter.
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

/// The component that a fault applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Server(usize),
    Counter,
    Discovery,
}

impl Fault {
    /// Parses the target; the error quotes it.
    pub fn target(&self) -> Result<Target, String> {
        match self.target.as_str() {
            "counter" => Ok(Target::Counter),
            "discovery" => Ok(Target::Discovery),
            t => t
                .strip_prefix("srv:")
                .and_then(|n| n.parse().ok())
                .map(Target::Server)
                .ok_or(format!("`target`: `{t}` is not one of srv:N, counter, discovery")),
        }
    }
    /// End of the fault, s.
    pub fn end(&self) -> f64 {
        self.at + self.span
    }
}

/// Classes of the example gateway configuration; a scenario may use only these.
pub const CLASSES: [&str; 3] = ["quote", "order", "notice"];
/// Plans of the example gateway configuration; a scenario may use only these.
pub const PLANS: [&str; 3] = ["free", "team", "house"];
/// Maximum number of gateways in a run: what one machine runs beside the emulator (issue 14 requires 20).
pub const MAX_GATEWAYS: usize = 20;
/// Maximum number of servers; bounds the threads.
pub const MAX_SERVERS: usize = 64;
/// Maximum number of customers; bounds memory.
pub const MAX_CUSTOMERS: u32 = 10_000;
/// Maximum rate, requests/s; bounds memory, as a request record has about 80 bytes.
pub const MAX_RATE: f64 = 5_000.0;

impl Scenario {
    /// Parses and validates a scenario; the error names the invalid field.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Number of servers over all groups.
    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|g| g.count).sum()
    }

    /// The group of each server, in the order of `srv:N`.
    pub fn server_groups(&self) -> Vec<&ServerGroup> {
        self.servers.iter().flat_map(|g| std::iter::repeat_n(g, g.count)).collect()
    }

    /// Validates all values; the error names the invalid field.
    pub fn check(&self) -> Result<(), String> {
        let check_range = |v: f64, lo: f64, hi: f64, field: &str| {
            if v.is_finite() && (lo..=hi).contains(&v) {
                Ok(())
            } else {
                Err(format!("`{field}`: {v} is not between {lo} and {hi}"))
            }
        };
        check_range(self.duration_s, 0.5, 3600.0, "duration_s")?;
        check_range(self.gateways as f64, 1.0, MAX_GATEWAYS as f64, "gateways")?;
        check_range(self.bucket_s, 0.05, 60.0, "bucket_s")?;
        check_range(self.grace_s, 0.0, 10.0, "grace_s")?;
        check_range(self.quota_window_s, 1.0, 3600.0, "quota_window_s")?;
        let load = &self.load;
        check_range(load.rate, 0.0, MAX_RATE, "load.rate")?;
        check_range(load.customers as f64, 1.0, MAX_CUSTOMERS as f64, "load.customers")?;
        check_range(load.give_up_early, 0.0, 1.0, "load.give_up_early")?;
        check_range(load.again_too_soon, 0.0, 1.0, "load.again_too_soon")?;
        check_range(load.clients_per_gateway as f64, 1.0, 512.0, "load.clients_per_gateway")?;
        let [lo, hi] = load.timeout_share;
        check_range(lo, 0.05, 1.0, "load.timeout_share")?;
        check_range(hi, lo, 1.0, "load.timeout_share")?;
        for burst in &load.bursts {
            check_range(burst.at, 0.0, self.duration_s, "load.bursts.at")?;
            check_range(burst.span, 0.0, self.duration_s, "load.bursts.for")?;
            check_range(burst.times * load.rate, 0.0, MAX_RATE, "load.bursts.times")?;
        }
        check_shares(&load.classes, &CLASSES, "load.classes")?;
        check_shares(&load.plans, &PLANS, "load.plans")?;
        if self.server_count() == 0 || self.server_count() > MAX_SERVERS {
            return Err(format!("`srvs`: {} servers, must be 1 to {MAX_SERVERS}", self.server_count()));
        }
        for group in &self.servers {
            check_range(group.capacity as f64, 1.0, 4096.0, "srvs.capacity")?;
            check_range(group.latency_ms as f64, 0.0, 60_000.0, "srvs.latency_ms")?;
        }
        for fault in &self.faults {
            check_range(fault.at, 0.0, self.duration_s, "faults.at")?;
            check_range(fault.span, 0.0, self.duration_s, "faults.for")?;
            let target = fault.target()?;
            let fits = match target {
                Target::Server(n) => fault.kind.applies_to_server() && n < self.server_count(),
                Target::Counter => fault.kind.applies_to_counter(),
                Target::Discovery => {
                    matches!(fault.kind, FaultKind::Late)
                        || matches!(fault.kind, FaultKind::Wrong { server } if server < self.server_count())
                }
            };
            if !fits {
                return Err(format!("`faults`: {} does not apply to {}", fault.kind.label(), fault.target));
            }
            if let FaultKind::Cold { cold_from } = fault.kind {
                check_range(cold_from, 0.01, 1.0, "faults.cold_from")?;
            }
        }
        Ok(())
    }
}

/// Checks that the list is not empty, uses only known names and has positive shares.
fn check_shares(list: &[Share], known: &[&str], field: &str) -> Result<(), String> {
    if list.is_empty() {
        return Err(format!("`{field}`: empty"));
    }
    for s in list {
        if !known.contains(&s.name.as_str()) {
            return Err(format!("`{field}`: `{}` is not one of {known:?}", s.name));
        }
        if !(s.share.is_finite() && s.share > 0.0) {
            return Err(format!("`{field}`: the share of `{}` must be above 0", s.name));
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
/// Clients of the bench set the timeout of a try to between about half of its class's deadline and all of it.
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
/// Enough that load without faults never fills a server: scenarios test faults, not the size of servers.
fn default_capacity() -> usize {
    64
}
