//! The configurations that the operator of a soak run sends, and the figures of the promises.

use serde_json::{json, Value};

/// The zones and their regions.
pub const ZONES: [(&str, &str); 3] = [("north-1", "north"), ("north-2", "north"), ("south-1", "south")];
/// The services that servers run.
pub const SERVICES: [&str; 2] = ["alpha", "beta"];
/// The host of all routes.
pub const HOST: &str = "soak.example";

/// Path prefixes of the routes.
pub const READ: &str = "/read/";
pub const PAY: &str = "/pay/";
pub const HOMED: &str = "/homed/";
/// The route whose requests run once per operation key.
pub const KEYED: &str = "/keyed/";
/// The route that leads to another service with each configuration.
pub const MOVING: &str = "/moving/";

/// The regions that may serve [`HOMED`].
pub const HOME: &str = "north";
/// A tenant without a limit, and its key.
pub const FREE: (&str, &str) = ("free", "key-of-free");
/// A tenant with a limit, and its key.
pub const LIMITED: (&str, &str) = ("limited", "key-of-limited");
/// The tenant whose key changes with each configuration.
pub const ROTATING: &str = "rotating";
/// A key that no configuration holds.
pub const UNKNOWN_KEY: &str = "key-of-nobody";
/// Servers that one try may be sent to.
pub const MAX_ATTEMPTS: usize = 2;

/// The figures of the promises, in seconds where they are times.
pub mod bounds {
    pub const CONTACT: f64 = 3.0;
    pub const CONFIG_APPLY: f64 = 2.5;
    pub const EVACUATE: f64 = 5.0;
    pub const GRACE: f64 = 4.0;
    pub const SLACK: f64 = 0.2;
    pub const ACK: f64 = 8.0;
    pub const RECOVER: f64 = 15.0;
    pub const CATCH_UP: f64 = 4.0;
    pub const QUOTA_WINDOW: f64 = 5.0;
    pub const QUOTA_EXCESS: f64 = 0.1;
    pub const QUOTA_SLACK: f64 = 20.0;
    pub const RETRY_RATIO: f64 = 0.2;
    pub const RETRY_WINDOW: f64 = 10.0;
    pub const RETRY_SLACK: f64 = 58.0;
    /// Longer than a run of the soak: no key is free again within one.
    pub const KEY_WINDOW: f64 = 900.0;
    /// Of the limited tenant.
    pub const RATE: f64 = 20.0;
    pub const BURST: f64 = 10.0;
}

/// The bounds as the settings files tell them.
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

/// The key of the rotating tenant; `mark` tells two configurations of one number apart.
pub fn rotating_key(version: u64, mark: u64) -> String {
    format!("key-{version}-{mark}")
}

/// A configuration on top of another; different marks make different texts.
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
