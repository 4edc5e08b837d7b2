//! From the operator's tables and the settings to the terms of the decisions. Frontends are routes and plans are
//! tenants; each keeps its place for as long as it is in the configuration.

use lupinledge::interface::{DedupScope, Effect, Frontend, Plan, Terms};
use lupinledge::time::Span;
use lupinledge_config::config::RouteKind;
use lupinledge_config::{Part, Route, Service, Settings, Tables, Tenant};
use std::collections::HashMap;

/// The system's own counters keep a name for as long as is wanted: at each roll the use since the last total is
/// forgotten, so they are rare. Its life, twice that, is told in 16 bits at the most.
const WINDOW: f64 = 16.0 * 3600.0;

/// Where the pool limit starts, for each ready server and over all gateways. A request holds its place on the links
/// to the server and back too, which is longer than the work itself where a link is full.
const PLACES_PER_SERVER: f64 = 8.0;

/// Places by name. One that is no longer named may be given to another after two more changes.
#[derive(Debug, Default)]
pub struct Places {
    by_name: HashMap<String, (usize, u64)>,
    free: Vec<usize>,
    turn: u64,
    all: usize,
}

impl Places {
    /// The place of a name, if it has one.
    pub fn of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).map(|p| p.0)
    }

    /// Gives places to all of these names; returns how many places there are.
    pub fn renew<'a>(&mut self, names: impl Iterator<Item = &'a str>) -> usize {
        self.turn += 1;
        for name in names {
            if let Some(p) = self.by_name.get_mut(name) {
                p.1 = self.turn;
                continue;
            }
            let place = self.free.pop().unwrap_or_else(|| {
                self.all += 1;
                self.all - 1
            });
            self.by_name.insert(name.to_string(), (place, self.turn));
        }
        let (turn, free) = (self.turn, &mut self.free);
        self.by_name.retain(|_, p| {
            let stays = p.1 + 2 > turn;
            free.extend(Some(p.0).filter(|_| !stays));
            stays
        });
        self.all
    }
}

/// What holds for all pools of this process.
pub struct World {
    /// Zones by index, as in the settings, and the region of each.
    pub zones: Vec<String>,
    pub regions: Vec<u16>,
    pub zone: u16,
    pub seed: u64,
}

impl World {
    /// From the settings; zones that they do not name are unknown to the decisions.
    pub fn new(s: &Settings, seed: u64) -> World {
        let zones: Vec<String> = s.zones.keys().cloned().collect();
        let mut regions: Vec<&String> = s.zones.values().collect();
        regions.sort();
        regions.dedup();
        let region = |z: &String| regions.iter().position(|r| Some(*r) == s.zones.get(z)).unwrap_or(0) as u16;
        let (regions, zone) = (zones.iter().map(region).collect(), zones.iter().position(|z| *z == s.zone));
        World { regions, zone: zone.unwrap_or(0) as u16, zones, seed }
    }

    /// The index of a zone.
    pub fn index(&self, zone: &str) -> Option<u16> {
        self.zones.iter().position(|z| z == zone).map(|i| i as u16)
    }
}

fn frontend(r: &Route) -> Frontend {
    let value = 3.0 / (1.0 + f64::from(r.priority));
    Frontend {
        effect: match r.kind {
            RouteKind::Idempotent => Effect::Replayable,
            // a repeat under the same key is claimed before it comes here; each request is sent once
            RouteKind::NonIdempotent | RouteKind::Keyed => Effect::NonReplayable,
        },
        group: DedupScope::All,
        memory: Span::ZERO,
        target: Span::from_secs(r.target.min(r.timeout)),
        late_value: 0.3 * value,
        value,
        timeout: Span::from_secs(r.timeout),
        max_dispatches: r.max_attempts,
    }
}

/// `longest`: the longest that any request is held. What a tenant has in flight within its quota is no more than
/// comes in that time: the cap on its leases.
fn plan(t: &Tenant, longest: f64) -> Plan {
    Plan {
        rate: t.rate,
        at_once: (t.rate * longest + t.burst).ceil() as u32 * (t.rate > 0.0) as u32,
        burst: t.bucket_capacity(),
        price: 1.0 / (1.0 + f64::from(t.priority)),
        // what is past the rule's slack costs the whole day
        overrun_cost: 9.0,
        ..FREE
    }
}

/// Of a place that no route has.
const NOWHERE: Frontend = Frontend {
    effect: Effect::NonReplayable,
    group: DedupScope::All,
    memory: Span::ZERO,
    target: Span::millis(1000),
    late_value: 0.0,
    value: 1.0,
    timeout: Span::millis(1000),
    max_dispatches: 1,
};

/// Of requests that need no key.
const FREE: Plan = Plan {
    rate: 0.0,
    burst: 0.0,
    price: 1.0,
    at_once: 0,
    overrun_value: 0.0,
    overrun_cost: 1.0,
    ceiling_rate: 0.0,
    ceiling_burst: 0.0,
};

/// The frontends and plans of a configuration, at their places; the first plan is that of no tenant. With each
/// frontend, the services that its requests may go to.
pub fn lines(tables: &Tables, routes: &mut Places, tenants: &mut Places) -> Lines {
    let mut frontends =
        vec![(NOWHERE, Vec::new()); routes.renew(tables.routes().iter().map(|r| r.key.as_str()))];
    for r in tables.routes() {
        let services = r.services.iter().filter(|s| s.1 > 0.0).map(|s| s.0).collect::<Vec<_>>();
        routes.of(&r.key).into_iter().for_each(|i| frontends[i] = (frontend(r), services.clone()));
    }
    let longest = tables.routes().iter().map(|r| r.timeout).fold(0.0, f64::max);
    let mut plans = vec![FREE; 1 + tenants.renew(tables.tenants().iter().map(|t| t.name.as_str()))];
    for t in tables.tenants() {
        tenants.of(&t.name).into_iter().for_each(|i| plans[1 + i] = plan(t, longest));
    }
    (frontends, plans)
}

/// A route or tenant whose rules in a pool's terms are not those of the tables; the part, and its name.
pub fn stray(t: &Terms, s: &Settings, tables: &Tables, places: [&Places; 2]) -> Option<(Part, String)> {
    let same = |r: &Route| {
        let (due, is) = (frontend(r), places[0].of(&r.key).and_then(|i| t.frontends.get(i))?);
        let replays = |f: &Frontend| matches!(f.effect, Effect::Replayable);
        let says = |f: &Frontend| (f.timeout.secs(), f.target.secs(), f.max_dispatches, replays(f));
        (says(&due) == says(is)).then_some(())
    };
    let longest = tables.routes().iter().map(|r| r.timeout).fold(0.0, f64::max);
    let kept = |c: &Tenant| {
        let (due, is) = (plan(c, longest), places[1].of(&c.name).and_then(|i| t.plans.get(1 + i))?);
        let says = |p: &Plan| (p.rate, p.burst, p.at_once, p.price);
        (says(&due) == says(is)).then_some(())
    };
    let route = tables.routes().iter().find(|r| same(r).is_none()).map(|r| (Part::Routes, r.name.clone()));
    let tenant =
        || tables.tenants().iter().find(|c| kept(c).is_none()).map(|c| (Part::Tenants, c.name.clone()));
    let budget = t.retry_budget.map(|f| f.0) != Some(0.9 * s.bounds.retry_ratio);
    route.or_else(tenant).or_else(|| budget.then(|| (Part::Limits, "retry_ratio".into())))
}

/// See [`lines`].
pub type Lines = (Vec<(Frontend, Vec<usize>)>, Vec<Plan>);

/// The terms of one service's pool. What all gateways may do together is divided by `gateways`; halves, so that
/// those that were killed and come back may do their part twice within a window.
pub fn terms(
    s: &Settings,
    w: &World,
    (nth, service): (usize, &Service),
    gateways: usize,
    lines: &Lines,
) -> Terms {
    let (b, each) = (&s.bounds, 1.0 / gateways.max(1) as f64);
    let bound = service.warmup_per_s * b.warmup_excess + b.warmup_slack;
    Terms {
        seed: w.seed,
        gateways,
        zone: w.zone,
        zones: w.zones.len(),
        period: Span::ZERO,
        // what never comes to this pool has no value beside what does
        frontends: lines
            .0
            .iter()
            .map(|(f, s)| Frontend { value: f.value * s.contains(&nth) as u8 as f64, ..*f })
            .collect(),
        plans: lines.1.clone(),
        counter: true,
        count_wait: Span::millis(350),
        max_units: 1.0,
        may_duplicate: true,
        may_cancel: true,
        may_hint: true,
        longest_hint: Span::from_secs(1.0),
        warm_after: Span::from_secs(service.warmup_s.max(0.001)),
        fall_window: Span::from_secs(4.0),
        regions: w.regions.clone(),
        start_limit: PLACES_PER_SERVER,
        retry_budget: Some((0.9 * b.retry_ratio, 0.45 * b.retry_slack * each)),
        cold_send_rate: Some(0.45 * bound * each),
        awaits_late_answers: true,
        window: Some(WINDOW),
        ..Terms::default()
    }
}

#[cfg(test)]
mod tests;
