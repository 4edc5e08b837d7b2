//! A configuration as the operator sends it, with the checks that a field carries by itself; those across
//! fields are in [`mod@crate::check`]. What the pages don't name is ignored.

use crate::read::{not_negative, or_default, positive, printable};
use garde::Validate;
use serde::de::{Deserializer, Error, Visitor};
use serde::Deserialize;
use std::fmt;

/// A whole configuration.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Config {
    /// Its own number.
    #[garde(skip)]
    pub version: Version,
    /// The version that it builds on; 0 for the first.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub base_version: Version,
    /// What a client may send, and how long it may take.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(dive)]
    pub limits: Limits,
    /// The tenants; where this is missing, requests need no key.
    #[serde(default)]
    #[garde(length(max = 20_000), dive)]
    pub tenants: Option<Vec<Tenant>>,
    /// The routes, by host.
    #[garde(length(max = 20_000), dive)]
    pub listeners: Vec<Listener>,
    /// The services.
    #[garde(length(max = 20_000), dive)]
    pub clusters: Vec<Cluster>,
}

/// The number of a configuration: `r12`, or plainly 12.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

impl Version {
    /// `r` and a number of up to 19 digits.
    pub fn parse(text: &str) -> Option<Version> {
        let digits = text.strip_prefix('r')?;
        let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
        plain.then(|| digits.parse().ok().map(Version)).flatten()
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl<'de> Deserialize<'de> for Version {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Seen;
        impl Visitor<'_> for Seen {
            type Value = Version;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a version such as \"r12\"")
            }
            fn visit_u64<E: Error>(self, v: u64) -> Result<Version, E> {
                Ok(Version(v))
            }
            fn visit_str<E: Error>(self, v: &str) -> Result<Version, E> {
                let short: String = v.chars().take(40).collect();
                Version::parse(v).ok_or_else(|| E::custom(format!("{short:?} is no version such as \"r12\"")))
            }
        }
        d.deserialize_any(Seen)
    }
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Limits {
    /// Bytes of a request's line and headers.
    #[garde(custom(positive))]
    pub max_header_bytes: f64,
    /// Bytes of a request's body.
    #[garde(custom(not_negative))]
    pub max_body_bytes: f64,
    /// Seconds that the headers may take.
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

/// A customer.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Tenant {
    /// Servers are told it.
    #[garde(length(min = 1, max = 4096), custom(printable))]
    pub name: String,
    /// Who shows one of these is this tenant.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 20_000), inner(length(min = 1, max = 4096)))]
    pub api_keys: Vec<String>,
    /// Rank, 0 is highest; it outranks the route's.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub priority: f64,
    /// Requests a second over all gateways; 0 for no limit.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub rate_per_s: f64,
    /// Requests beyond that rate.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub burst: f64,
    /// Regions it may be served in; empty for all.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096))]
    pub home_regions: Vec<String>,
}

/// The routes of a host.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Listener {
    /// As in the header of requests.
    #[garde(length(min = 1, max = 4096), custom(printable), custom(bare))]
    pub host: String,
    /// The routes.
    #[garde(length(max = 20_000), dive)]
    pub rules: Vec<Rule>,
}

/// A route.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Rule {
    /// For people.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096), custom(printable))]
    pub name: String,
    /// Whether requests may run more than once.
    #[garde(skip)]
    pub route_kind: RouteKind,
    /// Seconds within which an answer earns its full worth.
    #[serde(default)]
    #[garde(inner(custom(not_negative)))]
    pub target_s: Option<f64>,
    /// Rank, 0 is highest.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub priority: f64,
    /// Whether requests need no key.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(skip)]
    pub public: bool,
    /// Which requests.
    #[garde(dive)]
    pub r#match: Match,
    /// Where to, and how.
    #[garde(dive)]
    pub action: Action,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once for each try.
    NonIdempotent,
    /// Requests of a tenant that share an operation key run at most once between them.
    Keyed,
}

/// Which requests a route takes.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Match {
    /// Starts and ends with a slash.
    #[garde(length(max = 16_384), custom(printable), custom(slashed))]
    pub path_prefix: String,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Action {
    /// One service.
    #[serde(default)]
    #[garde(skip)]
    pub service: Option<String>,
    /// Several, by weight; it goes before `service`.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096), dive)]
    pub split: Vec<Split>,
    /// Seconds that a request may be held.
    #[garde(custom(positive))]
    pub timeout_s: f64,
    /// Servers that one try may be sent to.
    #[serde(default = "one")]
    #[garde(custom(not_negative))]
    pub max_attempts: f64,
    /// Regions it may be served in; empty for all.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(length(max = 4096))]
    pub home_regions: Vec<String>,
}

/// A service's part of a route.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Split {
    /// Its name.
    #[garde(skip)]
    pub service: String,
    /// In proportion to the other weights.
    #[serde(default = "one")]
    #[garde(custom(not_negative))]
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Validate)]
pub struct Cluster {
    /// As in the platform's list.
    #[garde(length(min = 1, max = 4096), custom(printable))]
    pub name: String,
    /// Where servers are asked whether they are well.
    #[serde(default = "health")]
    #[garde(length(max = 16_384), custom(printable), custom(rooted))]
    pub health_path: String,
    /// Connections that a server takes from all callers together; 0 where it isn't told.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub max_conns: f64,
    /// Seconds that a server stays cold.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub warmup_s: f64,
    /// Requests a second that a cold server bears; 0 where it isn't told.
    #[serde(default, deserialize_with = "or_default")]
    #[garde(custom(not_negative))]
    pub warmup_per_s: f64,
}

fn one() -> f64 {
    1.0
}

fn health() -> String {
    "/health".to_string()
}

fn bare(host: &str, _: &()) -> garde::Result {
    match host.contains(['/', ' ']) {
        true => Err(garde::Error::new("has to be a host alone")),
        false => Ok(()),
    }
}

fn rooted(path: &str, _: &()) -> garde::Result {
    match path.starts_with('/') && !path.contains(' ') {
        true => Ok(()),
        false => Err(garde::Error::new("has to start with a slash and hold no space")),
    }
}

fn slashed(path: &str, _: &()) -> garde::Result {
    match path.starts_with('/') && path.ends_with('/') {
        true => Ok(()),
        false => Err(garde::Error::new("has to start and end with a slash")),
    }
}
