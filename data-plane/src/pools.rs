//! One pool a service: its own decisions, servers and connections; the counters are common to all. What is wanted
//! (tables, list of servers, number of gateways) is told here, and the pools are brought to it.

use crate::ledger::Ledger;
use crate::terms::{lines, stray, terms, Lines, Places, World};
use crate::wire::Trail;
use lupinledge::interface::{ListKind, ServerEntry, ServerState};
use lupinledge::state::Basis;
use lupinledge::time::{Span, Timestamp};
use lupinledge_config::{Part, Route, Settings, Tables, Tenant};
use lupinledge_gossip::metrics::MetricSink;
use lupinledge_messaging::list::{ListedServer, ServerList};
use lupinledge_proxy::clock::Clock;
use lupinledge_proxy::counters::Counters;
use lupinledge_proxy::exchange::{Exchange, ServerListEntry};
use lupinledge_proxy::servers::{ServerConnections, ServerLimits};
use lupinledge_proxy::transport::body::MemoryBudget;
use lupinledge_proxy::transport::descriptors::DescriptorPool;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A warm-up that ends so much later than was known has begun anew; less is the list's own unsharpness.
const COLD_AGAIN: f64 = 0.5;

/// A server that turned cold shortly before its zone was taken back is warm so long after its warm-up at the latest.
const UNSURE: f64 = 0.5;

/// Bytes of answers that may be held at once, of the process's memory.
const ANSWERS: f64 = 0.3;

struct Pool {
    exchange: Rc<Exchange<Trail>>,
    drive: tokio::task::AbortHandle,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.drive.abort();
    }
}

#[derive(Default)]
struct Wanted {
    tables: Rc<Tables>,
    list: ServerList,
    gateways: usize,
    routes: Places,
    tenants: Places,
    lines: Lines,
    pools: HashMap<String, Pool>,
    /// Pools of services that are in no configuration any more, until their requests are over.
    retired: Vec<Pool>,
    /// When the warm-up of a server began, of those that were met cold.
    born: HashMap<String, Timestamp>,
    /// Zones taken back, the list that was known then, and until when their servers may be cold without a list
    /// having told so.
    unsure: HashMap<String, ((u64, u64), Timestamp)>,
}

/// See the module.
pub struct Pools {
    settings: RefCell<Rc<Settings>>,
    world: World,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    ledger: Rc<Ledger>,
    places: Rc<DescriptorPool>,
    /// For the answers of servers, over all pools.
    answers: Arc<MemoryBudget>,
    wanted: RefCell<Wanted>,
    /// Nothing is sent; clients that come are to come back after so many seconds.
    shut: Cell<Option<f64>>,
    /// How often it was shut.
    shuts: Cell<u64>,
}

impl Pools {
    pub fn new(
        settings: Rc<Settings>,
        clock: Clock,
        ledger: Rc<Ledger>,
        places: Rc<DescriptorPool>,
        seed: u64,
    ) -> Rc<Pools> {
        let world = World::new(&settings, seed);
        let answers = MemoryBudget::new((settings.limits.memory_mb * 1e6 * ANSWERS) as usize);
        let (counters, wanted) = (Rc::default(), RefCell::new(Wanted { gateways: 1, ..Wanted::default() }));
        let settings = RefCell::new(settings);
        Rc::new(Pools {
            settings,
            world,
            clock,
            counters,
            ledger,
            places,
            answers,
            wanted,
            shut: Cell::default(),
            shuts: Cell::default(),
        })
    }

    /// The tables in force.
    pub fn tables(&self) -> Rc<Tables> {
        self.wanted.borrow().tables.clone()
    }

    /// What has not come yet of what requests are sent by; none once every service has its servers told.
    pub fn lacks(&self) -> Option<&'static str> {
        let wanted = self.wanted.borrow();
        if wanted.pools.is_empty() {
            return Some("configuration");
        }
        (wanted.list.number == (0, 0)).then_some("servers")
    }

    /// The pool of a service, and the places of a route and a tenant in its terms.
    pub fn pool(
        &self,
        service: &str,
        route: &Route,
        tenant: Option<&Tenant>,
    ) -> Option<(Rc<Exchange<Trail>>, usize, usize)> {
        let w = self.wanted.borrow();
        let plan = tenant.map_or(Some(0), |t| w.tenants.of(&t.name).map(|i| i + 1))?;
        Some((w.pools.get(service)?.exchange.clone(), w.routes.of(&route.key)?, plan))
    }

    /// The zones whose servers may have the request, a bit each; all where it has no homes. Evacuations are the
    /// list's.
    pub fn zones(&self, tables: &Tables, route: &Route, tenant: Option<&Tenant>) -> u64 {
        if route.home_regions.is_empty() && tenant.is_none_or(|t| t.home_regions.is_empty()) {
            return u64::MAX;
        }
        let may = |z: &String| tables.is_allowed_in(route, tenant, z);
        let zones = self.world.zones.iter().take(63).enumerate();
        zones.filter(|(_, z)| may(z)).fold(0, |bits, (i, _)| bits | 1 << i)
    }

    /// Through how many pools a tenant's requests may come, over all gateways: each decides by itself while the
    /// counters are out of reach, and their parts have to add up to one.
    pub fn spread(&self) -> f64 {
        let w = self.wanted.borrow();
        (w.gateways * w.pools.len()).max(1) as f64
    }

    /// Whether the rules are in doubt, and how often they were: nothing is sent then, what was not sent yet is
    /// turned away with the hint, and what was sent goes on.
    pub fn shut(&self) -> (Option<f64>, u64) {
        (self.shut.get(), self.shuts.get())
    }

    /// See [`Pools::shut`]; to be called again as long as it lasts, for what comes back unsent.
    pub fn set_shut(&self, hint: Option<f64>) {
        let before = self.shut.replace(hint);
        if before.is_some() != hint.is_some() {
            self.shuts.set(self.shuts.get() + hint.is_some() as u64);
            self.deal();
        }
        let w = self.wanted.borrow();
        let open = w.pools.values().chain(&w.retired).filter(|_| hint.is_some());
        open.for_each(|p| p.exchange.deny_waiting(Span::from_secs(hint.unwrap_or_default())));
    }

    /// A route or tenant whose rules in a pool are not those of the tables; one pool a call.
    pub fn stray(&self, turn: usize) -> Option<(Part, String)> {
        let w = self.wanted.borrow();
        let name = &w.tables.services().get(turn % w.tables.services().len().max(1))?.name;
        let (terms, settings) = (w.pools.get(name)?.exchange.terms(), self.settings.borrow());
        stray(&terms, &settings, &w.tables, [&w.routes, &w.tenants])
    }

    /// A fault of tests, see [`Tables::drift`].
    pub fn drift(&self, how: &str) {
        Rc::make_mut(&mut self.wanted.borrow_mut().tables).corrupt(how);
    }

    /// Figures of requests, servers and rules.
    pub fn figures(&self, line: &mut MetricSink) {
        let w = self.wanted.borrow();
        line("configuration.version", w.tables.version());
        line("servers.list_epoch", w.list.number.0);
        line("servers.list_number", w.list.number.1);
        line("servers.listed", w.list.rows.len() as u64);
        line("rules.in_doubt", u64::from(self.shut.get().is_some()));
        line("rules.doubted", self.shuts.get());
        drop(w);
        line("requests.unanswered", self.unanswered() as u64);
        for (name, admitted) in Basis::NAMES.iter().zip(self.admissions()) {
            line(&format!("admitted.{name}"), admitted);
        }
        self.counters.each(line);
    }

    /// Requests that were sent, by what their admission rested on. Pools whose service is gone for good are left out.
    fn admissions(&self) -> [u64; Basis::ALL] {
        let w = self.wanted.borrow();
        let mut all = [0; Basis::ALL];
        for pool in w.pools.values().chain(&w.retired) {
            all.iter_mut().zip(pool.exchange.admissions()).for_each(|(sum, of_pool)| *sum += of_pool);
        }
        all
    }

    /// Requests without an answer.
    pub fn unanswered(&self) -> usize {
        let w = self.wanted.borrow();
        w.pools.values().chain(&w.retired).map(|p| p.exchange.unanswered()).sum()
    }

    /// Other tables are in force from here on.
    pub fn follow(&self, tables: Rc<Tables>) {
        {
            let w = &mut *self.wanted.borrow_mut();
            let back = |z: &&String| w.tables.is_evacuated(z) && !tables.is_evacuated(z);
            let back: Vec<String> = self.world.zones.iter().filter(back).cloned().collect();
            let longest = tables.services().iter().map(|s| s.warmup_s).fold(0.0, f64::max);
            let until = self.clock.now().later(longest + UNSURE);
            w.unsure.extend(back.into_iter().map(|z| (z, (w.list.number, until))));
            w.tables = tables;
            w.lines = lines(&w.tables, &mut w.routes, &mut w.tenants);
            let named: HashSet<&str> = w.tables.services().iter().map(|s| s.name.as_str()).collect();
            let gone: Vec<String> = w.pools.keys().filter(|n| !named.contains(n.as_str())).cloned().collect();
            w.retired.extend(gone.iter().filter_map(|n| w.pools.remove(n)));
            w.retired.retain(|p| p.exchange.unanswered() > 0);
        }
        self.settle();
        self.deal();
    }

    /// Goes by the bounds of other settings from here on.
    pub fn retell(&self, settings: Rc<Settings>) {
        *self.settings.borrow_mut() = settings;
        self.settle();
    }

    /// For how long an operation key runs once, seconds.
    pub fn key_window(&self) -> f64 {
        self.settings.borrow().bounds.key_window_s
    }

    /// Another number of gateways, if it differs.
    pub fn among(&self, gateways: usize) {
        if std::mem::replace(&mut self.wanted.borrow_mut().gateways, gateways) != gateways {
            self.settle();
        }
    }

    /// Opens zones whose servers are warm by now even if no list changed: one that changes nothing is not told.
    pub fn lapse(&self) {
        let now = self.clock.now();
        let before = self.wanted.borrow().unsure.len();
        self.wanted.borrow_mut().unsure.retain(|_, (_, until)| now < *until);
        if self.wanted.borrow().unsure.len() < before {
            self.deal();
        }
    }

    /// A newer list of servers.
    pub fn list(&self, list: ServerList) {
        {
            let w = &mut *self.wanted.borrow_mut();
            w.unsure.retain(|_, (known, _)| list.number <= *known);
            let there: HashSet<&str> = list.rows.iter().map(|r| r.id.as_str()).collect();
            w.born.retain(|id, _| there.contains(id.as_str()));
            for r in &list.rows {
                self.warm(w, r);
            }
            w.list = list;
        }
        self.deal();
    }

    /// Notes when a server's warm-up began, so that the decisions see it warm as it ends.
    fn warm(&self, w: &mut Wanted, r: &ListedServer) {
        let service = w.tables.services().iter().find(|s| s.name == r.service);
        let whole = service.map_or(f64::from(r.warmup_left_s), |s| s.warmup_s);
        if r.warmup_left_s <= 0.0 {
            return;
        }
        let now = self.clock.now();
        let ends = now.secs() + f64::from(r.warmup_left_s);
        let known = w.born.get(&r.id).map(|b| b.secs() + whole);
        if known.is_none_or(|k| ends > k + COLD_AGAIN) {
            w.born.insert(r.id.clone(), Timestamp::from_secs(ends - whole));
        }
    }

    /// Brings every pool to the terms wanted; opens those that are new.
    fn settle(&self) {
        let w = &mut *self.wanted.borrow_mut();
        for (nth, s) in w.tables.services().iter().enumerate() {
            let terms = terms(&self.settings.borrow(), &self.world, (nth, s), w.gateways, &w.lines);
            match w.pools.get(&s.name) {
                Some(p) => p.exchange.set_terms(terms),
                None => drop(w.pools.insert(s.name.clone(), self.open(terms))),
            }
        }
    }

    fn open(&self, terms: lupinledge::interface::Terms) -> Pool {
        let exchange: Rc<Exchange<Trail>> = Exchange::new(terms, self.clock, self.counters.clone());
        let bounds = ServerLimits {
            connect_timeout: Duration::from_millis(400),
            max_idle: Duration::from_secs(8),
            honor_keep_alive: true,
            min_idle_before_reuse: Duration::from_millis(3),
            response_timeout: Duration::from_millis(1500),
            max_body_bytes: 4 << 20,
            max_head_bytes: 32 << 10,
            tcp_user_timeout: Some(Duration::from_millis(1500)),
        };
        let srvs = ServerConnections::new(&exchange, Trail, bounds, self.places.clone());
        srvs.set_memory_budget(self.answers.clone());
        exchange.attach(srvs, Some(self.ledger.account(Rc::downgrade(&exchange))));
        let drive = tokio::task::spawn_local(exchange.clone().run()).abort_handle();
        Pool { exchange, drive }
    }

    /// Deals the servers of the list out to the pools. Those of evacuated zones take nothing new; so do those of a
    /// zone that was just taken back, until a list tells how cold they are.
    fn deal(&self) {
        let w = &*self.wanted.borrow();
        for (service, pool) in &w.pools {
            let entry = |r: &ListedServer| {
                let zone = self.world.index(&r.zone)?;
                let shut = self.shut.get().is_some()
                    || r.draining
                    || w.tables.is_evacuated(&r.zone)
                    || w.unsure.contains_key(&r.zone);
                let state = if shut { ServerState::Draining } else { ServerState::Ready };
                // one met warm has been so for ever
                let started_at = Some(w.born.get(&r.id).copied().unwrap_or(Timestamp::from_secs(0.0)));
                let server_entry =
                    ServerEntry { server: 0, zone, cell: 0, state, weight: f64::from(r.slots), started_at };
                Some(ServerListEntry { name: r.id.clone(), addr: r.address, server_entry })
            };
            let rows = w.list.rows.iter().filter(|r| r.service == *service);
            pool.exchange.update_servers(ListKind::Full, rows.filter_map(entry).collect());
        }
    }
}
