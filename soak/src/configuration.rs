//! The configurations that the operator of a soak run sends, and the bounds that the promises refer to.

use serde_json::{json, Value};

/// The zones and their regions.
pub const ZONES: [(&str, &str); 3] = [("north-1", "north"), ("north-2", "north"), ("south-1", "south")];
/// The services that servers run.
pub const SERVICES: [&str; 2] = ["alpha", "beta"];
/// The host of all routes.
pub const HOST: &str = "soak.example";

/// Path prefix of an idempotent route.
pub const READ: &str = "/read/";
/// Path prefix of a route whose requests must not run twice.
pub const PAY: &str = "/pay/";
/// Path prefix of a route that only the regions of [`HOME`] may serve.
pub const HOMED: &str = "/homed/";
/// The route whose requests run once per operation key.
pub const KEYED: &str = "/keyed/";
/// The route that leads to another service with each configuration.
pub const MOVING: &str = "/moving/";

/// The region that may serve [`HOMED`].
pub const HOME: &str = "north";
/// A tenant without a limit, and its key.
pub const FREE: (&str, &str) = ("free", "key-of-free");
/// A tenant with a limit, and its key.
pub const LIMITED: (&str, &str) = ("limited", "key-of-limited");
/// The tenant whose key changes with each configuration.
pub const ROTATING: &str = "rotating";
/// A key that no configuration contains.
pub const UNKNOWN_KEY: &str = "key-of-nobody";
/// The maximum number of servers that one request is sent to.
pub const MAX_ATTEMPTS: usize = 2;

/// The bounds of the promises; times are in seconds.
pub mod bounds {
    /// How long a machine runs undisturbed before it counts as connected.
    pub const CONTACT: f64 = 3.0;
    /// How long after its acknowledgement a configuration has to be in force.
    pub const CONFIG_APPLY: f64 = 2.5;
    /// How long after its acknowledgement an evacuation has to be in force.
    pub const EVACUATE: f64 = 5.0;
    /// Time that a process has to exit after SIGTERM.
    pub const GRACE: f64 = 4.0;
    /// Time allowed for a request that was read but not yet forwarded.
    pub const SLACK: f64 = 0.2;
    /// Time within which a command of the operator has to be acknowledged after it was sent.
    pub const ACK: f64 = 8.0;
    /// How long after the last fault until traffic has to be served again.
    pub const RECOVER: f64 = 15.0;
    /// How long a machine that has returned still counts as lost.
    pub const CATCH_UP: f64 = 4.0;
    /// Window of the quota.
    pub const QUOTA_WINDOW: f64 = 5.0;
    /// Share by which a tenant may exceed its quota.
    pub const QUOTA_EXCESS: f64 = 0.1;
    /// Number of requests by which a tenant may exceed its quota in addition.
    pub const QUOTA_SLACK: f64 = 20.0;
    /// Retries allowed per request, for each service.
    pub const RETRY_RATIO: f64 = 0.2;
    /// Window of the retry budget.
    pub const RETRY_WINDOW: f64 = 10.0;
    /// Retries allowed in addition, in each window.
    pub const RETRY_SLACK: f64 = 58.0;
    /// Time for which an operation key is executed only once. Longer than a run, so that no key expires within one.
    pub const KEY_WINDOW: f64 = 900.0;
    /// Requests per second of the limited tenant.
    pub const RATE: f64 = 20.0;
    /// Burst of the limited tenant.
    pub const BURST: f64 = 10.0;
}

/// The bounds in the form of the settings files.
pub fn settings_bounds() -> Value {
    use bounds::*;
    json!({
        "contact_s": CONTACT, "config_apply_s": CONFIG_APPLY, "evacuate_s": EVACUATE, "grace_s": GRACE,
        "slack_s": SLACK, "ack_s": ACK, "recover_s": RECOVER, "quota_window_s": QUOTA_WINDOW,
        "quota_excess": QUOTA_EXCESS, "quota_slack": QUOTA_SLACK, "retry_ratio": RETRY_RATIO,
        "retry_window_s": RETRY_WINDOW, "retry_slack": RETRY_SLACK, "catch_up_s": CATCH_UP, "drain_s": 2.5,
        "key_window_s": KEY_WINDOW,
    })
}

/// The service that the moving route leads to.
pub fn moving_to(version: u64) -> &'static str {
    SERVICES[(version % 2) as usize]
}

/// The key of the rotating tenant; `mark` distinguishes two configurations with the same number.
pub fn rotating_key(version: u64, mark: u64) -> String {
    format!("key-{version}-{mark}")
}

/// A configuration based on version `base`; different marks make different texts.
pub fn configuration(version: u64, base: u64, mark: u64) -> Value {
    let rule = |prefix: &str, kind: &str, service: &str, homes: &[&str]| {
        json!({"name": prefix.trim_matches('/'), "route_kind": kind, "target_s": 0.8, "priority": 0, "public": false,
               "match": {"path_prefix": prefix},
               "action": {"service": service, "timeout_s": 3, "max_attempts": MAX_ATTEMPTS, "home_regions": homes}})
    };
    let cluster = |name: &str| json!({"name": name, "max_conns": 200, "warmup_s": 0.5, "warmup_per_s": 200});
    let tenant = |name: &str, key: &str, rate: f64, burst: f64| json!({"name": name, "api_keys": [key], "rate_per_s": rate, "burst": burst});
    let base = if base == 0 { json!(0) } else { json!(format!("r{base}")) };
    json!({
        "version": format!("r{version}"), "base_version": base,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_s": 3, "idle_timeout_s": 15},
        "tenants": [tenant(FREE.0, FREE.1, 0.0, 0.0), tenant(LIMITED.0, LIMITED.1, bounds::RATE, bounds::BURST),
                    tenant(ROTATING, &rotating_key(version, mark), 0.0, 0.0)],
        "listeners": [{"host": HOST, "rules": [
            rule(READ, "idempotent", "alpha", &[]), rule(PAY, "non_idempotent", "alpha", &[]),
            rule(HOMED, "non_idempotent", "beta", &[HOME]), rule(MOVING, "idempotent", moving_to(version), &[]),
            rule(KEYED, "keyed", "alpha", &[])]}],
        "clusters": SERVICES.map(cluster),
    })
}
