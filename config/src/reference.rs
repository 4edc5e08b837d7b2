//! A slow and simple reference implementation of routing, which scans the configuration without any index. Tests, and
//! processes that probe themselves, compare the results of the tables with it.

use crate::config::{Config, RouteKind, Rule};
use crate::host::normalized_host;
use crate::Tables;

/// The parts of a request that routing depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingInput {
    /// The host as in the header.
    pub host: String,
    /// The raw path, possibly with a query.
    pub path: String,
    /// The API key, if the request has one.
    pub key: Option<String>,
}

/// How a request is routed.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingResult {
    /// Name of the route.
    pub route: String,
    /// The services with a weight above 0, each with its weight, sorted.
    pub services: Vec<(String, f64)>,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Seconds after which a request is given up.
    pub timeout: f64,
    /// The most servers that one attempt of the client may be sent to.
    pub attempts: u32,
    /// Name, rate, burst and priority of the tenant that has the API key; `None` without a known key.
    pub tenant: Option<(String, f64, f64, u32)>,
    /// Whether the request is refused because it needs an API key and has no known one.
    pub refused: bool,
}

fn weighted_services(rule: &Rule) -> Vec<(String, f64)> {
    let action = &rule.action;
    let split = action.split.iter().map(|s| (s.service.clone(), s.weight));
    match action.split.is_empty() {
        true => action.service.iter().map(|s| (s.clone(), 1.0)).collect(),
        false => split.collect(),
    }
}

fn sorted(mut services: Vec<(String, f64)>) -> Vec<(String, f64)> {
    services.retain(|s| s.1 > 0.0);
    services.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    services
}

/// Routes a request by scanning the configuration. Returns `None` if no route matches.
pub fn route_by_scan(config: &Config, probe: &RoutingInput) -> Option<RoutingResult> {
    let path: String = probe.path.chars().take_while(|c| !matches!(c, '?' | '#')).collect();
    let listeners =
        config.listeners.iter().filter(|l| normalized_host(&l.host) == normalized_host(&probe.host));
    let matching = listeners.flat_map(|l| &l.rules).filter(|r| path.starts_with(&r.r#match.path_prefix));
    let rule = matching.max_by_key(|r| r.r#match.path_prefix.len())?;
    let tenant =
        config.tenants.iter().flatten().find(|t| t.api_keys.iter().any(|k| Some(k) == probe.key.as_ref()));
    Some(RoutingResult {
        route: rule.name.clone(),
        services: sorted(weighted_services(rule)),
        kind: rule.route_kind,
        timeout: rule.action.timeout_s,
        attempts: (rule.action.max_attempts as u32).max(1),
        tenant: tenant.map(|t| (t.name.clone(), t.rate_per_s, t.burst, t.priority as u32)),
        refused: config.tenants.is_some() && !rule.public && tenant.is_none(),
    })
}

/// Routes a request with the tables that forwarding uses. Returns `None` if no route matches.
pub fn route_with_tables(tables: &Tables, probe: &RoutingInput) -> Option<RoutingResult> {
    let route = tables.route(&probe.host, &probe.path)?;
    let name = |i: usize| tables.services().get(i).map_or(String::new(), |s| s.name.clone());
    let tenant = probe.key.as_ref().and_then(|k| tables.tenant(k));
    Some(RoutingResult {
        route: route.name.clone(),
        services: sorted(route.services.iter().map(|&(i, w)| (name(i), w)).collect()),
        kind: route.kind,
        timeout: route.timeout,
        attempts: route.max_dispatches,
        tenant: tenant.map(|t| (t.name.clone(), t.rate, t.burst, t.priority)),
        refused: tables.requires_key() && !route.public && tenant.is_none(),
    })
}

/// Draws a random request for the configuration: mostly one that it serves, sometimes one that is slightly off.
pub fn random_probe(config: &Config, rng: &mut fastrand::Rng) -> Option<RoutingInput> {
    let listener = rng.choice(&config.listeners)?;
    let rule = rng.choice(&listener.rules)?;
    let host = match rng.u8(0..4) {
        0 => listener.host.to_ascii_uppercase(),
        1 => normalized_host(&listener.host) + ":8389",
        _ => listener.host.clone(),
    };
    let prefix = &rule.r#match.path_prefix;
    let path = match rng.u8(0..8) {
        0 => prefix.trim_end_matches('/').to_string(),
        1 => format!("{prefix}?x=/"),
        _ => format!("{prefix}{:x}", rng.u16(..)),
    };
    let tenant = rng.choice(config.tenants.as_deref().unwrap_or_default());
    let key = tenant.and_then(|t| rng.choice(&t.api_keys)).cloned();
    let key = match rng.u8(0..8) {
        0 => None,
        1 => key.map(|k| k + "x"),
        _ => key,
    };
    Some(RoutingInput { host, path, key })
}
