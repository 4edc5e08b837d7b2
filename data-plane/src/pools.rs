//! One pool per service, with its own decisions, servers and connections; the counters are shared. New
//! tables, server lists and gateway counts are set here, and every pool is updated to match.

mod server_lists;

use crate::counter_client::CounterClient;
use crate::server_protocol::GatewayProtocol;
use crate::stable_indexes::StableIndexes;
use crate::terms::{
    find_deviation, has_kind_of, terms, update_frontends_and_plans, FrontendsAndPlans, NodeContext,
};
use lupinledge::state::Basis;
use lupinledge::time::{Span, Timestamp};
use lupinledge_config::{Part, Route, Settings, Tables, Tenant};
use lupinledge_gossip::metrics::MetricSink;
use lupinledge_messaging::list::ServerList;
use lupinledge_proxy::clock::Clock;
use lupinledge_proxy::counters::Counters;
use lupinledge_proxy::exchange::{Exchange, IndexesInUse};
use lupinledge_proxy::servers::{ServerConnections, ServerLimits};
use lupinledge_proxy::transport::body::MemoryBudget;
use lupinledge_proxy::transport::descriptors::DescriptorPool;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A server that turned cold shortly before its zone was restored is warm at the latest this many seconds
/// after a whole warm-up.
const WARMUP_MARGIN: f64 = 0.5;

/// Share of the process's memory that may hold servers' answers.
const ANSWER_MEMORY_SHARE: f64 = 0.3;

/// The pool of one service; dropping it stops its task.
struct Pool {
    exchange: Rc<Exchange<GatewayProtocol>>,
    /// The task that runs the exchange.
    task: tokio::task::AbortHandle,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The inputs in force and the pools that follow them.
#[derive(Default)]
struct PoolSet {
    /// The tables in force.
    tables: Rc<Tables>,
    /// The newest server list.
    list: ServerList,
    /// The number of gateways that share the limits.
    gateways: usize,
    /// The index of each route's frontend.
    routes: StableIndexes,
    /// The index of each tenant's plan, less one.
    tenants: StableIndexes,
    frontends_and_plans: FrontendsAndPlans,
    /// The pools by service name.
    pools: HashMap<String, Pool>,
    /// Pools of services that are no longer configured, with the services' names, kept until their requests are over.
    retired: Vec<(String, Pool)>,
    /// Start of each server's warm-up, for servers that a list has reported as cold.
    warmup_started: HashMap<String, Timestamp>,
    /// Zones that are no longer evacuated, with the number of the list that was known then, and the time
    /// until which their servers may be cold without a list having reported it.
    unconfirmed_zones: HashMap<String, ((u64, u64), Timestamp)>,
}

impl PoolSet {
    /// All pools with their services' names, also those of services that are no longer configured.
    fn all(&self) -> impl Iterator<Item = (&String, &Pool)> {
        self.pools.iter().chain(self.retired.iter().map(|(service, pool)| (service, pool)))
    }
}

/// All pools of this process.
pub struct Pools {
    settings: RefCell<Rc<Settings>>,
    node: NodeContext,
    /// The cluster's clock.
    pub clock: Clock,
    /// The metrics of requests and connections.
    pub counters: Rc<Counters>,
    counter_client: Rc<CounterClient>,
    /// File descriptors for connections to servers.
    descriptors: Rc<DescriptorPool>,
    /// Memory budget for servers' answers, shared by all pools.
    answer_memory: Arc<MemoryBudget>,
    pool_set: RefCell<PoolSet>,
    /// If set, nothing is sent, and clients are told to retry after this many seconds.
    suspension: Cell<Option<f64>>,
    /// How often sending was suspended.
    suspension_count: Cell<u64>,
}

impl Pools {
    /// Creates the pools without any service; `seed` is for the decisions' random numbers.
    pub fn new(
        settings: Rc<Settings>,
        clock: Clock,
        counter_client: Rc<CounterClient>,
        descriptors: Rc<DescriptorPool>,
        seed: u64,
    ) -> Rc<Pools> {
        let node = NodeContext::new(&settings, seed);
        let answer_memory =
            MemoryBudget::new((settings.limits.memory_mb * 1e6 * ANSWER_MEMORY_SHARE) as usize);
        let (counters, pool_set) =
            (Rc::default(), RefCell::new(PoolSet { gateways: 1, ..PoolSet::default() }));
        let settings = RefCell::new(settings);
        Rc::new(Pools {
            settings,
            node,
            clock,
            counters,
            counter_client,
            descriptors,
            answer_memory,
            pool_set,
            suspension: Cell::default(),
            suspension_count: Cell::default(),
        })
    }

    /// The tables in force.
    pub fn tables(&self) -> Rc<Tables> {
        self.pool_set.borrow().tables.clone()
    }

    /// The input that is still missing before requests can be sent; `None` once there are a configuration and
    /// a server list.
    pub fn missing_input(&self) -> Option<&'static str> {
        let pool_set = self.pool_set.borrow();
        if pool_set.pools.is_empty() {
            return Some("configuration");
        }
        (pool_set.list.number == (0, 0)).then_some("servers")
    }

    /// The pool of a service, and the indexes of a route and a tenant in its terms. `None` also if the route has
    /// another kind now than the caller read.
    pub fn pool(
        &self,
        service: &str,
        route: &Route,
        tenant: Option<&Tenant>,
    ) -> Option<(Rc<Exchange<GatewayProtocol>>, usize, usize)> {
        let pool_set = self.pool_set.borrow();
        let plan = tenant.map_or(Some(0), |t| pool_set.tenants.index_of(&t.name).map(|i| i + 1))?;
        let frontend = pool_set
            .routes
            .index_of(&route.key)
            .filter(|index| has_kind_of(&pool_set.frontends_and_plans, *index, route))?;
        Some((pool_set.pools.get(service)?.exchange.clone(), frontend, plan))
    }

    /// The zones whose servers may get the request, one bit each; all if neither route nor tenant has home
    /// regions. Evacuated zones are handled with the server list.
    pub fn zones(&self, tables: &Tables, route: &Route, tenant: Option<&Tenant>) -> u64 {
        if route.home_regions.is_empty() && tenant.is_none_or(|t| t.home_regions.is_empty()) {
            return u64::MAX;
        }
        let is_allowed = |z: &String| tables.is_allowed_in(route, tenant, z);
        let zones = self.node.zones.iter().take(63).enumerate();
        zones.filter(|(_, z)| is_allowed(z)).fold(0, |bits, (i, _)| bits | 1 << i)
    }

    /// The number of pools, over all gateways, that a tenant's requests may arrive through. While the
    /// counters are unreachable each pool decides by itself, and the shares of all pools must add up to one.
    pub fn spread(&self) -> f64 {
        let pool_set = self.pool_set.borrow();
        (pool_set.gateways * pool_set.pools.len()).max(1) as f64
    }

    /// Whether sending is suspended because the rules are in doubt, and how often it was. While suspended,
    /// nothing is sent: requests that have not been sent are refused with the hint, and those that were sent
    /// continue.
    pub fn suspension(&self) -> (Option<f64>, u64) {
        (self.suspension.get(), self.suspension_count.get())
    }

    /// Suspends or resumes sending, see [`Pools::suspension`]. To be called repeatedly during a suspension,
    /// as requests may come back unsent.
    pub fn set_suspension(&self, hint: Option<f64>) {
        let before = self.suspension.replace(hint);
        if before.is_some() != hint.is_some() {
            self.suspension_count.set(self.suspension_count.get() + hint.is_some() as u64);
            self.distribute_servers();
        }
        let pool_set = self.pool_set.borrow();
        let affected = pool_set.all().filter(|_| hint.is_some());
        affected.for_each(|(_, p)| p.exchange.deny_waiting(Span::from_secs(hint.unwrap_or_default())));
    }

    /// Finds a route or tenant whose rules in a pool differ from the tables. Each call checks one pool.
    pub fn find_deviation(&self, pool_number: usize) -> Option<(Part, String)> {
        let pool_set = self.pool_set.borrow();
        let name =
            &pool_set.tables.services().get(pool_number % pool_set.tables.services().len().max(1))?.name;
        let (terms, settings) = (pool_set.pools.get(name)?.exchange.terms(), self.settings.borrow());
        find_deviation(&terms, &settings, &pool_set.tables, [&pool_set.routes, &pool_set.tenants])
    }

    /// Injects a fault in tests, see [`Tables::corrupt`].
    pub fn corrupt_tables(&self, drift_kind: &str) {
        Rc::make_mut(&mut self.pool_set.borrow_mut().tables).corrupt(drift_kind);
    }

    /// Writes the metrics of requests, servers and rules.
    pub fn write_metrics(&self, line: &mut MetricSink) {
        let pool_set = self.pool_set.borrow();
        line("configuration.version", pool_set.tables.version());
        line("servers.list_epoch", pool_set.list.number.0);
        line("servers.list_number", pool_set.list.number.1);
        line("servers.listed", pool_set.list.rows.len() as u64);
        line("rules.in_doubt", u64::from(self.suspension.get().is_some()));
        line("rules.doubted", self.suspension_count.get());
        drop(pool_set);
        line("requests.unanswered", self.unanswered() as u64);
        for (name, admitted) in Basis::NAMES.iter().zip(self.admissions()) {
            line(&format!("admitted.{name}"), admitted);
        }
        self.counters.each(line);
    }

    /// The number of requests that were sent, by the basis of their admission. Pools of services that were
    /// removed for good are left out.
    fn admissions(&self) -> [u64; Basis::ALL] {
        let pool_set = self.pool_set.borrow();
        let mut all = [0; Basis::ALL];
        for (_, pool) in pool_set.all() {
            all.iter_mut().zip(pool.exchange.admissions()).for_each(|(sum, of_pool)| *sum += of_pool);
        }
        all
    }

    /// The number of requests without an answer.
    pub fn unanswered(&self) -> usize {
        let pool_set = self.pool_set.borrow();
        pool_set.all().map(|(_, p)| p.exchange.unanswered()).sum()
    }

    /// Puts other tables into force.
    pub fn set_tables(&self, tables: Rc<Tables>) {
        {
            let pool_set = &mut *self.pool_set.borrow_mut();
            let restored = |z: &&String| pool_set.tables.is_evacuated(z) && !tables.is_evacuated(z);
            let restored: Vec<String> = self.node.zones.iter().filter(restored).cloned().collect();
            let longest_warmup = tables.services().iter().map(|s| s.warmup_s).fold(0.0, f64::max);
            let until = self.clock.now().later(longest_warmup + WARMUP_MARGIN);
            pool_set
                .unconfirmed_zones
                .extend(restored.into_iter().map(|z| (z, (pool_set.list.number, until))));
            pool_set.tables = tables;
            let mut in_use = IndexesInUse::default();
            for (_, pool) in pool_set.all() {
                pool.exchange.collect_indexes_in_use(&mut in_use);
            }
            update_frontends_and_plans(
                &mut pool_set.frontends_and_plans,
                &pool_set.tables,
                (&mut pool_set.routes, &mut pool_set.tenants),
                &in_use,
            );
            let configured: HashSet<&str> =
                pool_set.tables.services().iter().map(|s| s.name.as_str()).collect();
            let removed: Vec<String> =
                pool_set.pools.keys().filter(|n| !configured.contains(n.as_str())).cloned().collect();
            pool_set.retired.extend(removed.iter().filter_map(|n| pool_set.pools.remove_entry(n)));
            pool_set.retired.retain(|(_, p)| p.exchange.unanswered() > 0);
        }
        self.apply_terms();
        self.distribute_servers();
    }

    /// Applies the bounds of other settings.
    pub fn apply_settings(&self, settings: Rc<Settings>) {
        *self.settings.borrow_mut() = settings;
        self.apply_terms();
    }

    /// Seconds for which an operation key runs at most once.
    pub fn key_window(&self) -> f64 {
        self.settings.borrow().bounds.key_window_s
    }

    /// Sets the number of gateways.
    pub fn set_gateway_count(&self, gateways: usize) {
        if std::mem::replace(&mut self.pool_set.borrow_mut().gateways, gateways) != gateways {
            self.apply_terms();
        }
    }

    /// Updates the terms of every pool and opens pools for new services.
    fn apply_terms(&self) {
        let pool_set = &mut *self.pool_set.borrow_mut();
        for (nth, s) in pool_set.tables.services().iter().enumerate() {
            let terms = terms(
                &self.settings.borrow(),
                &self.node,
                (nth, s),
                pool_set.gateways,
                &pool_set.frontends_and_plans,
            );
            match pool_set.pools.get(&s.name) {
                Some(p) => p.exchange.set_terms(terms),
                None => drop(pool_set.pools.insert(s.name.clone(), self.open(terms))),
            }
        }
    }

    /// Opens a pool and starts its task.
    fn open(&self, terms: lupinledge::interface::Terms) -> Pool {
        let exchange: Rc<Exchange<GatewayProtocol>> = Exchange::new(terms, self.clock, self.counters.clone());
        let limits = ServerLimits {
            connect_timeout: Duration::from_millis(400),
            max_idle: Duration::from_secs(8),
            honor_keep_alive: true,
            min_idle_before_reuse: Duration::from_millis(3),
            response_timeout: Duration::from_millis(1500),
            max_body_bytes: 4 << 20,
            max_head_bytes: 32 << 10,
            tcp_user_timeout: Some(Duration::from_millis(1500)),
        };
        let connections =
            ServerConnections::new(&exchange, GatewayProtocol, limits, self.descriptors.clone());
        connections.set_memory_budget(self.answer_memory.clone());
        exchange.attach(connections, Some(self.counter_client.counter_for_pool(Rc::downgrade(&exchange))));
        let task = tokio::task::spawn_local(exchange.clone().run()).abort_handle();
        Pool { exchange, task }
    }
}
