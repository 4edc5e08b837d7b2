//! Derives the terms of the decision module from the operator's tables and the settings. Routes become
//! frontends and tenants become plans; each keeps its index for as long as it is configured.

use crate::stable_indexes::StableIndexes;
use lupinledge::interface::{DedupScope, Effect, Frontend, Plan, Terms};
use lupinledge::time::Span;
use lupinledge_config::config::RouteKind;
use lupinledge_config::{Part, Route, Service, Settings, Tables, Tenant};
use lupinledge_proxy::exchange::IndexesInUse;

/// Length of a counter window in seconds. The counters keep a name for as long as they are asked to, and each
/// change of window forgets the use since the last total, so windows are long. A name lives for two windows;
/// its life is sent in at most 16 bits.
const COUNTER_WINDOW: f64 = 16.0 * 3600.0;

/// Initial pool limit per ready server, over all gateways. A request also occupies its place while it travels
/// to the server and back, which takes longer than the work itself when a link is full.
const INITIAL_LIMIT_PER_SERVER: f64 = 8.0;

/// Facts about this node that apply to all of its pools.
pub struct NodeContext {
    /// The zones of the settings; a zone's index is its position.
    pub zones: Vec<String>,
    /// The region of each zone.
    pub regions: Vec<u16>,
    /// The index of the node's own zone.
    pub zone: u16,
    /// The seed of the decisions' random numbers.
    pub seed: u64,
}

impl NodeContext {
    /// Reads the facts from the settings. Zones that the settings do not name are unknown to the decisions.
    pub fn new(settings: &Settings, seed: u64) -> NodeContext {
        let zones: Vec<String> = settings.zones.keys().cloned().collect();
        let mut regions: Vec<&String> = settings.zones.values().collect();
        regions.sort();
        regions.dedup();
        let region =
            |z: &String| regions.iter().position(|r| Some(*r) == settings.zones.get(z)).unwrap_or(0) as u16;
        let (regions, zone) =
            (zones.iter().map(region).collect(), zones.iter().position(|z| *z == settings.zone));
        NodeContext { regions, zone: zone.unwrap_or(0) as u16, zones, seed }
    }

    /// The index of a zone.
    pub fn index(&self, zone: &str) -> Option<u16> {
        self.zones.iter().position(|z| z == zone).map(|i| i as u16)
    }
}

/// The frontend of a route.
fn frontend(route: &Route) -> Frontend {
    let value = 3.0 / (1.0 + f64::from(route.priority));
    Frontend {
        effect: match route.kind {
            RouteKind::Idempotent => Effect::Replayable,
            // a repeated operation key is detected by its claim before this point, so each request is sent at
            // most once
            RouteKind::NonIdempotent | RouteKind::Keyed => Effect::NonReplayable,
        },
        dedup_scope: DedupScope::All,
        dedup_memory: Span::ZERO,
        target: Span::from_secs(route.target.min(route.timeout)),
        late_value: 0.3 * value,
        value,
        timeout: Span::from_secs(route.timeout),
        max_dispatches: route.max_dispatches,
    }
}

/// The plan of a tenant. `longest` is the longest time that any request is held; within its quota a tenant
/// has no more requests in flight than arrive in that time, which caps its leases.
fn plan(tenant: &Tenant, longest: f64) -> Plan {
    Plan {
        rate: tenant.rate,
        at_once: (tenant.rate * longest + tenant.burst).ceil() as u32 * (tenant.rate > 0.0) as u32,
        burst: tenant.bucket_capacity(),
        price: 1.0 / (1.0 + f64::from(tenant.priority)),
        // requests beyond the tolerance of the quota rule fail the whole day
        overrun_cost: 9.0,
        ..UNLIMITED_PLAN
    }
}

/// The frontend at an index that no route has.
const UNUSED_FRONTEND: Frontend = Frontend {
    effect: Effect::NonReplayable,
    dedup_scope: DedupScope::All,
    dedup_memory: Span::ZERO,
    target: Span::millis(1000),
    late_value: 0.0,
    value: 1.0,
    timeout: Span::millis(1000),
    max_dispatches: 1,
};

/// The plan of requests that need no API key.
const UNLIMITED_PLAN: Plan = Plan {
    rate: 0.0,
    burst: 0.0,
    price: 1.0,
    at_once: 0,
    overrun_value: 0.0,
    overrun_cost: 1.0,
    ceiling_rate: 0.0,
    ceiling_burst: 0.0,
};

/// Updates the frontends and plans to a configuration. The first plan is for requests without a tenant. What is
/// no longer configured stays as it was while its index is reserved, since open requests may refer to it.
pub fn update_frontends_and_plans(
    (frontends, plans): &mut FrontendsAndPlans,
    tables: &Tables,
    (route_indexes, tenant_indexes): (&mut StableIndexes, &mut StableIndexes),
    in_use: &IndexesInUse,
) {
    let route_keys = tables.routes().iter().map(|route| route.key.as_str());
    let route_count = route_indexes.assign_indexes(route_keys, &in_use.frontends);
    frontends.resize(route_count, (UNUSED_FRONTEND, Vec::new()));
    // services are numbered by the configuration, so that the numbers of an earlier one are void
    frontends.iter_mut().for_each(|(_, services)| services.clear());
    for route in tables.routes() {
        let services = route.services.iter().filter(|s| s.1 > 0.0).map(|s| s.0).collect::<Vec<_>>();
        if let Some(index) = route_indexes.index_of(&route.key) {
            frontends[index] = (frontend(route), services);
        }
    }
    let longest_timeout = tables.routes().iter().map(|route| route.timeout).fold(0.0, f64::max);
    let tenant_names = tables.tenants().iter().map(|tenant| tenant.name.as_str());
    // plan 0 belongs to no tenant
    let tenants_in_use = in_use.plans.iter().filter_map(|plan| plan.checked_sub(1)).collect();
    let tenant_count = tenant_indexes.assign_indexes(tenant_names, &tenants_in_use);
    plans.resize(1 + tenant_count, UNLIMITED_PLAN);
    for tenant in tables.tenants() {
        if let Some(index) = tenant_indexes.index_of(&tenant.name) {
            plans[1 + index] = plan(tenant, longest_timeout);
        }
    }
}

/// Whether a route's requests may be sent again after they may have run under these frontends just as under the
/// route itself. They may not if the route's kind was changed since the request was read.
pub fn has_kind_of(frontends_and_plans: &FrontendsAndPlans, index: usize, route: &Route) -> bool {
    frontends_and_plans.0.get(index).is_some_and(|(current, _)| current.effect == frontend(route).effect)
}

/// Finds a route or tenant whose rules in a pool's terms differ from the tables; returns the part of the
/// configuration and the name.
pub fn find_deviation(
    terms: &Terms,
    settings: &Settings,
    tables: &Tables,
    indexes: [&StableIndexes; 2],
) -> Option<(Part, String)> {
    let matching_route = |r: &Route| {
        let (expected, actual) =
            (frontend(r), indexes[0].index_of(&r.key).and_then(|i| terms.frontends.get(i))?);
        let replays = |f: &Frontend| matches!(f.effect, Effect::Replayable);
        let rules = |f: &Frontend| (f.timeout.secs(), f.target.secs(), f.max_dispatches, replays(f));
        (rules(&expected) == rules(actual)).then_some(())
    };
    let longest_timeout = tables.routes().iter().map(|r| r.timeout).fold(0.0, f64::max);
    let matching_tenant = |tenant_row: &Tenant| {
        let (expected, actual) = (
            plan(tenant_row, longest_timeout),
            indexes[1].index_of(&tenant_row.name).and_then(|i| terms.plans.get(1 + i))?,
        );
        let rules = |p: &Plan| (p.rate, p.burst, p.at_once, p.price);
        (rules(&expected) == rules(actual)).then_some(())
    };
    let route =
        tables.routes().iter().find(|r| matching_route(r).is_none()).map(|r| (Part::Routes, r.name.clone()));
    let tenant = || {
        tables
            .tenants()
            .iter()
            .find(|tenant_row| matching_tenant(tenant_row).is_none())
            .map(|tenant_row| (Part::Tenants, tenant_row.name.clone()))
    };
    let budget_differs = terms.retry_budget.map(|f| f.0) != Some(0.9 * settings.bounds.retry_ratio);
    route.or_else(tenant).or_else(|| budget_differs.then(|| (Part::Limits, "retry_ratio".into())))
}

/// All frontends by index, each with the services that its requests may go to, and all plans.
pub type FrontendsAndPlans = (Vec<(Frontend, Vec<usize>)>, Vec<Plan>);

/// Builds the terms of one service's pool. Limits for all gateways together are divided by `gateways` and
/// then halved, so that gateways that are killed and restarted within a window may use their share twice.
pub fn terms(
    settings: &Settings,
    node: &NodeContext,
    (service_index, service): (usize, &Service),
    gateways: usize,
    frontends_and_plans: &FrontendsAndPlans,
) -> Terms {
    let (bounds, gateway_share) = (&settings.bounds, 1.0 / gateways.max(1) as f64);
    let cold_bound = service.warmup_per_s * bounds.warmup_excess + bounds.warmup_slack;
    Terms {
        seed: node.seed,
        gateways,
        zone: node.zone,
        zones: node.zones.len(),
        period: Span::ZERO,
        // routes that never use this pool get no value compared with those that do
        frontends: frontends_and_plans
            .0
            .iter()
            .map(|(f, services)| Frontend {
                value: f.value * services.contains(&service_index) as u8 as f64,
                ..*f
            })
            .collect(),
        plans: frontends_and_plans.1.clone(),
        counter: true,
        count_wait: Span::millis(350),
        max_units: 1.0,
        may_duplicate: true,
        may_cancel: true,
        may_hint: true,
        longest_hint: Span::from_secs(1.0),
        warmup_time: Span::from_secs(service.warmup_s.max(0.001)),
        overload_window: Span::from_secs(4.0),
        regions: node.regions.clone(),
        start_limit: INITIAL_LIMIT_PER_SERVER,
        retry_budget: Some((0.9 * bounds.retry_ratio, 0.45 * bounds.retry_slack * gateway_share)),
        cold_send_rate: Some(0.45 * cold_bound * gateway_share),
        awaits_late_answers: true,
        window: Some(COUNTER_WINDOW),
        ..Terms::default()
    }
}

#[cfg(test)]
mod tests;
