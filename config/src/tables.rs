//! The tables that the data plane looks up for each request; they are built once for each document.

use crate::config::{self, Config, RouteKind};
use crate::document::Document;
use crate::error::ConfigError;
use crate::fingerprint::{compute, Fingerprints, Hash, Part};
use crate::host::{normalized_host, without_port};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Routes, tenants, services, limits and zones of one document, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    version: u64,
    routes: Vec<Route>,
    /// Indexes of the routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Index of the tenant by API key.
    keys: HashMap<String, usize>,
    requires_key: bool,
    tenants: Vec<Tenant>,
    services: Vec<Service>,
    limits: Limits,
    evacuated_zones: HashSet<String>,
    /// Region by zone.
    zones: HashMap<String, String>,
    fingerprints: Fingerprints,
}

/// How the requests of a host with a path prefix are forwarded.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operator's name for the route.
    pub name: String,
    /// Host and path prefix, concatenated; unique among the routes.
    pub key: String,
    /// Length of the host in `key`, in bytes.
    pub host_len: usize,
    /// Indexes into [`Tables::services`], each with its weight (0 or more).
    pub services: Vec<(usize, f64)>,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Seconds after which a request is given up.
    pub timeout: f64,
    /// Seconds within which a response has its full value.
    pub target: f64,
    /// Priority, 0 is highest.
    pub priority: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// The most servers that one attempt of the client may be sent to, 1 or more.
    pub max_dispatches: u32,
    /// Regions that may serve the requests; empty for all.
    pub home_regions: Vec<String>,
}

/// A tenant, whose requests carry one of its API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name, which is sent to servers in a request header.
    pub name: String,
    /// A 40-bit hash of the name, the same on all machines and in all versions; part of the names of the tenant's
    /// counters.
    pub id: u64,
    /// Requests per second over all gateways; 0 for no limit.
    pub rate: f64,
    /// Requests allowed beyond that rate.
    pub burst: f64,
    /// Priority, 0 is highest; takes precedence over the priority of the route.
    pub priority: u32,
    /// Regions that may serve the requests; empty for all.
    pub home_regions: Vec<String>,
}

impl Tenant {
    /// The capacity of the token bucket that enforces the quota. Of a large burst, a fifth is reserved for requests
    /// that gateways admit on their own before they receive each other's latest counts. A small burst causes few such
    /// requests, so its bucket is made slightly larger than the burst, well within the excess that the rule allows.
    pub fn bucket_capacity(&self) -> f64 {
        match self.rate > 0.0 {
            true => (0.8 * self.burst + 6.0).min(self.burst + 3.0),
            false => 0.0,
        }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name, as in the platform's list of servers.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that a server accepts from all callers together; 0 if unknown.
    pub max_conns: u32,
    /// Seconds that a server takes to warm up.
    pub warmup_s: f64,
    /// Requests per second that a server handles while it warms up; 0 if unknown.
    pub warmup_per_s: f64,
}

/// Limits on requests and client connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The most bytes of a request line with its headers.
    pub max_header_bytes: usize,
    /// The most bytes of a request body.
    pub max_body_bytes: u64,
    /// Seconds within which the headers must arrive.
    pub header_timeout: f64,
    /// Seconds that a connection may stay idle.
    pub idle_timeout: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits::from(config::Limits::default())
    }
}

impl From<config::Limits> for Limits {
    fn from(l: config::Limits) -> Limits {
        Limits {
            max_header_bytes: l.max_header_bytes as usize,
            max_body_bytes: l.max_body_bytes as u64,
            header_timeout: l.header_timeout_s,
            idle_timeout: l.idle_timeout_s,
        }
    }
}

impl Route {
    /// Chooses a service for a request in proportion to the weights; `fraction` is drawn uniformly from 0 to below 1.
    /// Returns `None` if no service has a weight above 0.
    pub fn choose_service(&self, fraction: f64) -> Option<usize> {
        let candidates = self.services.iter().filter(|s| s.1 > 0.0);
        let mut remaining = fraction.clamp(0.0, 1.0) * candidates.clone().map(|s| s.1).sum::<f64>();
        let mut last = None;
        for &(service, weight) in candidates {
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
            last = Some(service);
        }
        last
    }

    /// The host, without port and in lower case.
    pub fn host(&self) -> &str {
        &self.key[..self.host_len]
    }

    /// The path prefix, with slashes at both ends.
    pub fn prefix(&self) -> &str {
        &self.key[self.host_len..]
    }
}

impl Tables {
    /// Builds the tables of a document; `zones` maps zones to regions, from the settings. A document without
    /// configuration gives tables without routes.
    pub fn new(document: &Document, zones: &BTreeMap<String, String>) -> Result<Tables, ConfigError> {
        let mut tables = match &document.config {
            Some(bytes) => Tables::from_config(Config::parse(bytes)?),
            None => Tables::default(),
        };
        tables.version = document.version;
        tables.evacuated_zones = document.evacuated_zones.iter().cloned().collect();
        tables.zones = zones.iter().map(|(z, r)| (z.clone(), r.clone())).collect();
        tables.fingerprints = Fingerprints::of(&tables);
        Ok(tables)
    }

    fn from_config(config: Config) -> Tables {
        let mut tables = Tables { limits: config.limits.into(), ..Tables::default() };
        tables.services = config.clusters.into_iter().map(service).collect();
        let by_name: HashMap<_, _> =
            tables.services.iter().enumerate().map(|(i, s)| (s.name.clone(), i)).collect();
        for l in config.listeners {
            let host = normalized_host(&l.host);
            tables.routes.extend(l.rules.into_iter().map(|rule| route(&host, rule, &by_name)));
        }
        for (i, r) in tables.routes.iter().enumerate() {
            tables.hosts.entry(r.host().to_string()).or_default().push(i);
        }
        for list in tables.hosts.values_mut() {
            list.sort_by_key(|&i| std::cmp::Reverse(tables.routes[i].key.len()));
        }
        tables.requires_key = config.tenants.is_some();
        for (i, mut t) in config.tenants.into_iter().flatten().enumerate() {
            tables.keys.extend(std::mem::take(&mut t.api_keys).into_iter().map(|key| (key, i)));
            tables.tenants.push(tenant(t));
        }
        tables
    }

    /// The route of a request: the one of its host with the longest prefix that matches the path.
    ///
    /// `host` is the header as received (port and letter case are ignored), `path` the raw path (a query is ignored).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let bare_host = without_port(host);
        let list = match bare_host.bytes().any(|b| b.is_ascii_uppercase()) {
            true => self.hosts.get(&bare_host.to_ascii_lowercase()),
            false => self.hosts.get(bare_host),
        }?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        list.iter().filter_map(|&i| self.routes.get(i)).find(|r| path.starts_with(r.prefix()))
    }

    /// The tenant that has the API key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.keys.get(key).and_then(|&i| self.tenants.get(i))
    }

    /// Whether requests need an API key except on public routes: the configuration has a list of tenants, even an
    /// empty one.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Whether the zone's region is among the home regions of the route and of the tenant; an empty list allows all
    /// regions.
    pub fn is_allowed_in(&self, route: &Route, tenant: Option<&Tenant>, zone: &str) -> bool {
        let region = self.region(zone);
        let allows_region = |regions: &[String]| {
            regions.is_empty() || regions.iter().any(|allowed| Some(allowed.as_str()) == region)
        };
        allows_region(&route.home_regions) && tenant.is_none_or(|t| allows_region(&t.home_regions))
    }

    /// Whether the zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// The region of the zone.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// The version of the configuration; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All tenants.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }

    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Limits on requests and client connections.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The fingerprints of the parts, computed when the tables were built.
    pub fn fingerprints(&self) -> Fingerprints {
        self.fingerprints
    }

    /// Computes the fingerprint of a part from the tables in memory. If it differs from [`Tables::fingerprints`], the
    /// tables were changed since they were built.
    pub fn recompute_fingerprint(&self, part: Part) -> u64 {
        compute(self, part)
    }

    pub(crate) fn by_host(&self) -> impl Iterator<Item = (&str, &[usize])> {
        self.hosts.iter().map(|(h, list)| (h.as_str(), list.as_slice()))
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = (&str, usize)> {
        self.keys.iter().map(|(k, &i)| (k.as_str(), i))
    }

    pub(crate) fn evacuations(&self) -> impl Iterator<Item = &str> {
        self.evacuated_zones.iter().map(String::as_str)
    }

    /// Corrupts the tables in memory as a fault would, for tests; `kind` names the corruption. Does nothing unless
    /// [`CORRUPTION_ENABLED`].
    #[cfg_attr(not(feature = "drift"), allow(unused_variables))]
    pub fn corrupt(&mut self, kind: &str) {
        #[cfg(feature = "drift")]
        assert!(kind != "panic", "requested by the test");
        #[cfg(feature = "drift")]
        match (kind, self.services.len()) {
            ("service", n @ 2..) => {
                let targets = self.routes.iter_mut().flat_map(|r| &mut r.services);
                targets.for_each(|s| s.0 = (s.0 + 1) % n);
            }
            ("retry", _) => self.routes.iter_mut().for_each(|r| r.max_dispatches += 1),
            ("prefix", _) => self.hosts.values_mut().for_each(|list| list.reverse()),
            ("key", _) => drop(self.keys.insert("revoked".into(), 0)),
            ("half", _) => drop(self.tenants.pop()),
            ("evacuation", _) => self.evacuated_zones.clear(),
            _ => {}
        }
    }
}

/// Whether [`Tables::corrupt`] has an effect in this build.
pub const CORRUPTION_ENABLED: bool = cfg!(feature = "drift");

fn route(host: &str, rule: config::Rule, by_name: &HashMap<String, usize>) -> Route {
    let action = rule.action;
    let weighted_services: Vec<(String, f64)> = match action.split.is_empty() {
        true => action.service.into_iter().map(|s| (s, 1.0)).collect(),
        false => action.split.into_iter().map(|s| (s.service, s.weight)).collect(),
    };
    Route {
        name: rule.name,
        key: format!("{host}{}", rule.r#match.path_prefix),
        host_len: host.len(),
        services: weighted_services.iter().filter_map(|(s, w)| by_name.get(s).map(|&i| (i, *w))).collect(),
        kind: rule.route_kind,
        timeout: action.timeout_s,
        target: rule.target_s.filter(|t| *t > 0.0).unwrap_or(action.timeout_s),
        priority: rule.priority as u32,
        public: rule.public,
        max_dispatches: (action.max_attempts as u32).max(1),
        home_regions: sorted_unique(action.home_regions),
    }
}

fn tenant(t: config::Tenant) -> Tenant {
    Tenant {
        id: Hash::of(t.name.as_bytes()) >> 24,
        rate: t.rate_per_s,
        burst: t.burst,
        priority: t.priority as u32,
        home_regions: sorted_unique(t.home_regions),
        name: t.name,
    }
}

fn service(c: config::Cluster) -> Service {
    let max_conns = c.max_conns as u32;
    let config::Cluster { name, health_path, warmup_s, warmup_per_s, .. } = c;
    Service { name, health_path, max_conns, warmup_s, warmup_per_s }
}

fn sorted_unique(mut names: Vec<String>) -> Vec<String> {
    names.sort();
    names.dedup();
    names
}
