//! The slow plain reading of a configuration, as the pages have it: lists are scanned, nothing is indexed. What the
//! tables decide is compared with it, in tests and by processes that probe themselves.

use crate::config::{Config, RouteKind, Rule};
use crate::host::normalized_host;
use crate::Tables;

/// A request as far as routing reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// As in the header.
    pub host: String,
    /// The raw path, maybe with a query.
    pub path: String,
    /// The key, if one came.
    pub key: Option<String>,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingResult {
    /// The route's name.
    pub route: String,
    /// Services with their weights, those above 0, sorted.
    pub services: Vec<(String, f64)>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Seconds, tries.
    pub timeout: f64,
    pub attempts: u32,
    /// The key's tenant with its rate, burst and priority; none for no known key.
    pub tenant: Option<(String, f64, f64, u32)>,
    /// It is refused: it needs a key and has no known one.
    pub refused: bool,
}

fn parts(rule: &Rule) -> Vec<(String, f64)> {
    let action = &rule.action;
    let split = action.split.iter().map(|s| (s.service.clone(), s.weight));
    match action.split.is_empty() {
        true => action.service.iter().map(|s| (s.clone(), 1.0)).collect(),
        false => split.collect(),
    }
}

fn sorted(mut parts: Vec<(String, f64)>) -> Vec<(String, f64)> {
    parts.retain(|p| p.1 > 0.0);
    parts.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    parts
}

/// By the configuration itself. None for no route.
pub fn route_by_scan(config: &Config, probe: &Probe) -> Option<RoutingResult> {
    let path: String = probe.path.chars().take_while(|c| !matches!(c, '?' | '#')).collect();
    let listeners =
        config.listeners.iter().filter(|l| normalized_host(&l.host) == normalized_host(&probe.host));
    let fits = listeners.flat_map(|l| &l.rules).filter(|r| path.starts_with(&r.r#match.path_prefix));
    let rule = fits.max_by_key(|r| r.r#match.path_prefix.len())?;
    let tenant =
        config.tenants.iter().flatten().find(|t| t.api_keys.iter().any(|k| Some(k) == probe.key.as_ref()));
    Some(RoutingResult {
        route: rule.name.clone(),
        services: sorted(parts(rule)),
        kind: rule.route_kind,
        timeout: rule.action.timeout_s,
        attempts: (rule.action.max_attempts as u32).max(1),
        tenant: tenant.map(|t| (t.name.clone(), t.rate_per_s, t.burst, t.priority as u32)),
        refused: config.tenants.is_some() && !rule.public && tenant.is_none(),
    })
}

/// By the tables that forwarding reads.
pub fn route_with_tables(tables: &Tables, probe: &Probe) -> Option<RoutingResult> {
    let route = tables.route(&probe.host, &probe.path)?;
    let name = |i: usize| tables.services().get(i).map_or(String::new(), |s| s.name.clone());
    let tenant = probe.key.as_ref().and_then(|k| tables.tenant(k));
    Some(RoutingResult {
        route: route.name.clone(),
        services: sorted(route.services.iter().map(|&(i, w)| (name(i), w)).collect()),
        kind: route.kind,
        timeout: route.timeout,
        attempts: route.max_attempts,
        tenant: tenant.map(|t| (t.name.clone(), t.rate, t.burst, t.priority)),
        refused: tables.requires_key() && !route.public && tenant.is_none(),
    })
}

/// A request drawn from the intent: mostly one that it serves, now and then one that it only nearly does.
pub fn random_probe(config: &Config, r: &mut fastrand::Rng) -> Option<Probe> {
    let listener = r.choice(&config.listeners)?;
    let rule = r.choice(&listener.rules)?;
    let host = match r.u8(0..4) {
        0 => listener.host.to_ascii_uppercase(),
        1 => normalized_host(&listener.host) + ":8389",
        _ => listener.host.clone(),
    };
    let prefix = &rule.r#match.path_prefix;
    let path = match r.u8(0..8) {
        0 => prefix.trim_end_matches('/').to_string(),
        1 => format!("{prefix}?x=/"),
        _ => format!("{prefix}{:x}", r.u16(..)),
    };
    let tenant = r.choice(config.tenants.as_deref().unwrap_or_default());
    let key = tenant.and_then(|t| r.choice(&t.api_keys)).cloned();
    let key = match r.u8(0..8) {
        0 => None,
        1 => key.map(|k| k + "x"),
        _ => key,
    };
    Some(Probe { host, path, key })
}
