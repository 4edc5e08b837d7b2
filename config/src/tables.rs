//! What the data plane looks up: built once for each document, read for each request.

use crate::config::{self, Config, RouteKind};
use crate::document::Document;
use crate::error::ConfigError;
use crate::fingerprint::{of_part, Fingerprints, Hash, Part};
use crate::host::{normalized_host, without_port};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Routes, tenants, services, limits and zones of one document.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    version: u64,
    routes: Vec<Route>,
    hosts: HashMap<String, Vec<usize>>, // routes of the host, the longest prefix first
    keys: HashMap<String, usize>,
    keyed: bool,
    tenants: Vec<Tenant>,
    services: Vec<Service>,
    limits: Limits,
    evacuated: HashSet<String>,
    zones: HashMap<String, String>,
    print: Fingerprints,
}

/// Where the requests of a host and prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// Host and prefix, which no other route has.
    pub key: String,
    /// Length of the host in `key`, in bytes.
    pub host_len: usize,
    /// Indexes into [`Tables::services`], each with its weight (0 or more).
    pub services: Vec<(usize, f64)>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Seconds that a request may be held.
    pub timeout: f64,
    /// Seconds within which an answer earns its full worth.
    pub target: f64,
    /// Rank, 0 is highest.
    pub priority: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Servers that one try may be sent to, 1 or more.
    pub max_attempts: u32,
    /// Regions that may serve it; empty for all.
    pub home_regions: Vec<String>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Servers are told it.
    pub name: String,
    /// Number in the names of its counters (40 bits), the same on all machines and in all versions.
    pub id: u64,
    /// Requests a second over all gateways; 0 for no limit.
    pub rate: f64,
    /// Requests beyond that rate.
    pub burst: f64,
    /// Rank, 0 is highest; it outranks the route's.
    pub priority: u32,
    /// Regions that may serve it; empty for all.
    pub home_regions: Vec<String>,
}

impl Tenant {
    /// How much its quota leaves at once. Of a large burst a fifth is kept for what gateways decide alone, without each
    /// other's last sends; a small one, whose clumps are few, is read with some room, far within what the rule leaves.
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
    /// As in the platform's list.
    pub name: String,
    /// Where servers are asked whether they are well.
    pub health_path: String,
    /// Connections that a server takes from all callers together; 0 where it isn't told.
    pub max_conns: u32,
    /// Seconds that a server stays cold.
    pub warmup_s: f64,
    /// Requests a second that a cold server bears; 0 where it isn't told.
    pub warmup_per_s: f64,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Seconds that the headers may take.
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
    /// The service for a request, by weight; `r` is drawn evenly from 0 to below 1. None where no service has
    /// a weight above 0.
    pub fn choose_service(&self, r: f64) -> Option<usize> {
        let open = self.services.iter().filter(|s| s.1 > 0.0);
        let mut left = r.clamp(0.0, 1.0) * open.clone().map(|s| s.1).sum::<f64>();
        let mut last = None;
        for &(service, weight) in open {
            if left < weight {
                return Some(service);
            }
            left -= weight;
            last = Some(service);
        }
        last
    }

    /// Host, without port and in small letters.
    pub fn host(&self) -> &str {
        &self.key[..self.host_len]
    }

    /// Path prefix, with slashes at both ends.
    pub fn prefix(&self) -> &str {
        &self.key[self.host_len..]
    }
}

impl Tables {
    /// Tables of a document; `zones` is the map of zones to regions from the settings. A document that holds
    /// no configuration gives tables without routes.
    pub fn new(document: &Document, zones: &BTreeMap<String, String>) -> Result<Tables, ConfigError> {
        let mut tables = match &document.config {
            Some(bytes) => Tables::of(Config::parse(bytes)?),
            None => Tables::default(),
        };
        tables.version = document.version;
        tables.evacuated = document.evacuated_zones.iter().cloned().collect();
        tables.zones = zones.iter().map(|(z, r)| (z.clone(), r.clone())).collect();
        tables.print = Fingerprints::of(&tables);
        Ok(tables)
    }

    fn of(config: Config) -> Tables {
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
        tables.keyed = config.tenants.is_some();
        for (i, mut t) in config.tenants.into_iter().flatten().enumerate() {
            tables.keys.extend(std::mem::take(&mut t.api_keys).into_iter().map(|key| (key, i)));
            tables.tenants.push(tenant(t));
        }
        tables
    }

    /// The route of a request: of its host's, the one with the longest prefix that begins the path.
    ///
    /// `host` is the header as it came (a port and the size of letters say nothing), `path` the raw path; a
    /// query is cut off.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let bare = without_port(host);
        let list = match bare.bytes().any(|b| b.is_ascii_uppercase()) {
            true => self.hosts.get(&bare.to_ascii_lowercase()),
            false => self.hosts.get(bare),
        }?;
        let path = path.split(['?', '#']).next().unwrap_or_default();
        list.iter().filter_map(|&i| self.routes.get(i)).find(|r| path.starts_with(r.prefix()))
    }

    /// The tenant that holds the key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.keys.get(key).and_then(|&i| self.tenants.get(i))
    }

    /// Whether requests need a key, but on public routes: the configuration has tenants, maybe none of them.
    pub fn requires_key(&self) -> bool {
        self.keyed
    }

    /// Whether the zone's region is a home of both the route and the tenant, where they have homes.
    pub fn is_allowed_in(&self, route: &Route, tenant: Option<&Tenant>, zone: &str) -> bool {
        let region = self.region(zone);
        let home = |homes: &[String]| homes.is_empty() || homes.iter().any(|h| Some(h.as_str()) == region);
        home(&route.home_regions) && tenant.is_none_or(|t| home(&t.home_regions))
    }

    /// Whether the zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// The zone's region.
    pub fn region(&self, zone: &str) -> Option<&str> {
        self.zones.get(zone).map(String::as_str)
    }

    /// Number of the configuration; 0 where there is none.
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

    /// What clients may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Fingerprints of the parts, made when the tables were built.
    pub fn fingerprints(&self) -> Fingerprints {
        self.print
    }

    /// A part's fingerprint worked out anew from what is in memory now: another one than when the tables were built
    /// means that they were changed since.
    pub fn recompute_fingerprint(&self, part: Part) -> u64 {
        of_part(self, part)
    }

    pub(crate) fn by_host(&self) -> impl Iterator<Item = (&str, &[usize])> {
        self.hosts.iter().map(|(h, list)| (h.as_str(), list.as_slice()))
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = (&str, usize)> {
        self.keys.iter().map(|(k, &i)| (k.as_str(), i))
    }

    pub(crate) fn evacuations(&self) -> impl Iterator<Item = &str> {
        self.evacuated.iter().map(String::as_str)
    }

    /// Changes the tables in memory behind everybody's back, as a fault would: only where tests built it in, else
    /// nothing happens. See [`CORRUPTION_ENABLED`].
    #[cfg_attr(not(feature = "drift"), allow(unused_variables))]
    pub fn corrupt(&mut self, how: &str) {
        #[cfg(feature = "drift")]
        assert!(how != "panic", "as the test asks for");
        #[cfg(feature = "drift")]
        match (how, self.services.len()) {
            ("service", n @ 2..) => {
                let to = self.routes.iter_mut().flat_map(|r| &mut r.services);
                to.for_each(|s| s.0 = (s.0 + 1) % n);
            }
            ("retry", _) => self.routes.iter_mut().for_each(|r| r.max_attempts += 1),
            ("prefix", _) => self.hosts.values_mut().for_each(|list| list.reverse()),
            ("key", _) => drop(self.keys.insert("revoked".into(), 0)),
            ("half", _) => drop(self.tenants.pop()),
            ("evacuation", _) => self.evacuated.clear(),
            _ => {}
        }
    }
}

/// Whether [`Tables::drift`] does anything in this build.
pub const CORRUPTION_ENABLED: bool = cfg!(feature = "drift");

fn route(host: &str, rule: config::Rule, by_name: &HashMap<String, usize>) -> Route {
    let action = rule.action;
    let parts: Vec<(String, f64)> = match action.split.is_empty() {
        true => action.service.into_iter().map(|s| (s, 1.0)).collect(),
        false => action.split.into_iter().map(|s| (s.service, s.weight)).collect(),
    };
    Route {
        name: rule.name,
        key: format!("{host}{}", rule.r#match.path_prefix),
        host_len: host.len(),
        services: parts.iter().filter_map(|(s, w)| by_name.get(s).map(|&i| (i, *w))).collect(),
        kind: rule.route_kind,
        timeout: action.timeout_s,
        target: rule.target_s.filter(|t| *t > 0.0).unwrap_or(action.timeout_s),
        priority: rule.priority as u32,
        public: rule.public,
        max_attempts: (action.max_attempts as u32).max(1),
        home_regions: sorted(action.home_regions),
    }
}

fn tenant(t: config::Tenant) -> Tenant {
    Tenant {
        id: Hash::of(t.name.as_bytes()) >> 24,
        rate: t.rate_per_s,
        burst: t.burst,
        priority: t.priority as u32,
        home_regions: sorted(t.home_regions),
        name: t.name,
    }
}

fn service(c: config::Cluster) -> Service {
    let max_conns = c.max_conns as u32;
    let config::Cluster { name, health_path, warmup_s, warmup_per_s, .. } = c;
    Service { name, health_path, max_conns, warmup_s, warmup_per_s }
}

fn sorted(mut names: Vec<String>) -> Vec<String> {
    names.sort();
    names.dedup();
    names
}
