//! A configuration as the operator sends it, with the checks of single fields; those across fields are in
//! [`mod@crate::check`]. Unknown fields are ignored.

use crate::parse::{not_negative, or_default, positive, printable};
use garde::Validate;
use serde::de::{Deserializer, Error, Visitor};
use serde::Deserialize;
use std::fmt;

/// A whole configuration.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Config {
    /// The version of this configuration.
    #[garde(skip)]
    pub version: Version,
    /// The version that it replaces; 0 for the first.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub base_version: Version,
    /// Limits on requests and client connections.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(dive)]
    pub limits: Limits,
    /// The tenants; without this field, requests need no key.
    #[serde(default)]
    #[garde(length(max = 20_000), dive)]
    pub tenants: Option<Vec<Tenant>>,
    /// The routes, grouped by host; `listeners` is the outer name.
    #[garde(length(max = 20_000), dive)]
    pub listeners: Vec<Listener>,
    /// The services; `clusters` is the outer name.
    #[garde(length(max = 20_000), dive)]
    pub clusters: Vec<Cluster>,
}

/// The version of a configuration, written as `"r12"` or 12.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    /// Parses `r` followed by decimal digits; `None` also if the number exceeds 64 bits.
    pub fn parse(text: &str) -> Option<Version> {
        let digits = text.strip_prefix('r')?;
        let only_digits = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
        only_digits.then(|| digits.parse().ok().map(Version)).flatten()
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct VersionVisitor;
        impl Visitor<'_> for VersionVisitor {
            type Value = Version;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a version such as \"r12\"")
            }
            fn visit_u64<E: Error>(self, v: u64) -> Result<Version, E> {
                Ok(Version(v))
            }
            fn visit_str<E: Error>(self, v: &str) -> Result<Version, E> {
                let short: String = v.chars().take(40).collect();
                Version::parse(v)
                    .ok_or_else(|| E::custom(format!("{short:?} is not a version such as \"r12\"")))
            }
        }
        d.deserialize_any(VersionVisitor)
    }
}

/// Limits on requests and client connections.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// The most bytes of a request line with its headers.
    #[garde(custom(positive))]
    pub max_header_bytes: f64,
    /// The most bytes of a request body.
    #[garde(custom(not_negative))]
    pub max_body_bytes: f64,
    /// Seconds within which the headers must arrive.
    #[garde(custom(positive))]
    pub header_timeout_s: f64,
    /// Seconds that a connection may stay idle.
    #[garde(custom(positive))]
    pub idle_timeout_s: f64,
}

impl Default for Limits {
    fn default() -> Self {
        let max_body_bytes = (64 << 20) as f64;
        Limits { max_header_bytes: 16384.0, max_body_bytes, header_timeout_s: 3.0, idle_timeout_s: 15.0 }
    }
}

/// A tenant, whose requests carry one of its API keys.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Tenant {
    /// The name, which is sent to servers in a request header.
    #[garde(length(min = 1, max = 4096), custom(printable))]
    pub name: String,
    /// Requests with one of these keys belong to the tenant.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 20_000), inner(length(min = 1, max = 4096)))]
    pub api_keys: Vec<String>,
    /// Priority, 0 is highest; takes precedence over the priority of the route.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub priority: f64,
    /// Requests per second over all gateways; 0 for no limit.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub rate_per_s: f64,
    /// Requests allowed beyond that rate.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub burst: f64,
    /// Regions that may serve the requests; empty for all.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096))]
    pub home_regions: Vec<String>,
}

/// The routes of one host.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Listener {
    /// The host as in the header of requests; port and letter case are ignored.
    #[garde(length(min = 1, max = 4096), custom(printable), custom(host_only))]
    pub host: String,
    /// The routes.
    #[garde(length(max = 20_000), dive)]
    pub rules: Vec<Rule>,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Rule {
    /// A name for people.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096), custom(printable))]
    pub name: String,
    /// Whether requests may be executed more than once.
    #[garde(skip)]
    pub route_kind: RouteKind,
    /// Seconds within which a response has its full value; `action.timeout_s` if missing or 0.
    #[serde(default)]
    #[garde(inner(custom(not_negative)))]
    pub target_s: Option<f64>,
    /// Priority, 0 is highest.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub priority: f64,
    /// Whether requests need no API key.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub public: bool,
    /// Which requests the route matches.
    #[garde(dive)]
    pub r#match: Match,
    /// How the requests are forwarded.
    #[garde(dive)]
    pub action: Action,
}

/// Whether the requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests may be executed more than once.
    Idempotent,
    /// A request is executed at most once for each attempt of the client.
    NonIdempotent,
    /// Of the requests of a tenant with the same operation key, at most one is executed.
    Keyed,
}

/// Which requests a route matches.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Match {
    /// Prefix of the path; starts and ends with a slash.
    #[garde(length(max = 16_384), custom(printable), custom(slash_at_both_ends))]
    pub path_prefix: String,
}

/// How the requests of a route are forwarded.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Action {
    /// The service, if there is only one.
    #[serde(default)]
    #[garde(skip)]
    pub service: Option<String>,
    /// Several services, by weight; takes precedence over `service`.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096), dive)]
    pub split: Vec<Split>,
    /// Seconds after which a request is given up.
    #[garde(custom(positive))]
    pub timeout_s: f64,
    /// The most times that one request of the client may be sent to a server.
    #[serde(default = "default_one")]
    #[garde(custom(not_negative))]
    pub max_attempts: f64,
    /// Regions that may serve the requests; empty for all.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096))]
    pub home_regions: Vec<String>,
}

/// The share of a service in a route.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Split {
    /// Name of the service.
    #[garde(skip)]
    pub service: String,
    /// The share, relative to the other weights.
    #[serde(default = "default_one")]
    #[garde(custom(not_negative))]
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Cluster {
    /// The name, as in the platform's list of servers.
    #[garde(length(min = 1, max = 4096), custom(printable))]
    pub name: String,
    /// Path of the health check.
    #[serde(default = "default_health_path")]
    #[garde(length(max = 16_384), custom(printable), custom(absolute_path))]
    pub health_path: String,
    /// Connections that a server accepts from all callers together; 0 if unknown.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub max_conns: f64,
    /// Seconds that a server takes to warm up.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub warmup_s: f64,
    /// Requests per second that a server handles while it warms up; 0 if unknown.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub warmup_per_s: f64,
}

fn default_one() -> f64 {
    1.0
}

fn default_health_path() -> String {
    "/health".to_string()
}

fn host_only(host: &str, _: &()) -> garde::Result {
    match host.contains(['/', ' ']) {
        true => Err(garde::Error::new("must be a host without path or spaces")),
        false => Ok(()),
    }
}

fn absolute_path(path: &str, _: &()) -> garde::Result {
    match path.starts_with('/') && !path.contains(' ') {
        true => Ok(()),
        false => Err(garde::Error::new("must start with a slash and contain no space")),
    }
}

fn slash_at_both_ends(path: &str, _: &()) -> garde::Result {
    match path.starts_with('/') && path.ends_with('/') {
        true => Ok(()),
        false => Err(garde::Error::new("must start and end with a slash")),
    }
}
