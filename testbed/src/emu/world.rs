//! The world round the gateways: discovery, the counter and the srvs, and the thread that plays the schedule on
//! discovery and the counter (srvs read the schedule themselves, req by req).

use crate::emu::shared::Shared;
use crate::emu::srv::Srv;
use crate::scenario::{Scenario, Target, What};
use crate::schedule;
use crate::terms::LabTerms;
use lupinledge_example::counter::{Behaviour, Counter};
use lupinledge_example::discovery::{catalog_entry, Discovery};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub struct World {
    pub shared: Arc<Shared>,
    pub discovery: Arc<Discovery>,
    pub counter: Arc<Counter>,
    /// The counter as the far half of the gateways reach it: the same totals, except while split.
    pub counter_far: SocketAddr,
    pub srvs: Vec<Srv>,
    player: Option<JoinHandle<()>>,
}

fn row(s: &Srv, lifecycle: &str, born: u64) -> Value {
    catalog_entry(&format!("lab-s{}", s.n), s.addr, &s.zone, lifecycle, born)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// An address on loopback where nothing listens: bound for a moment, then let go.
fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or(([127, 0, 0, 1], 9).into())
}

impl World {
    /// Starts everything on loopback at addresses of its own; the clock of the run starts here.
    pub fn start(s: &Scenario, terms: &LabTerms) -> std::io::Result<World> {
        let shared = Arc::new(Shared::new(s.faults.clone(), s.grace_s, terms.clone()));
        let discovery = Arc::new(Discovery::start("127.0.0.1:0")?);
        let mut counter = Counter::start("127.0.0.1:0", Behaviour::Reply)?;
        let counter_far = counter.add_far_address()?;
        let counter = Arc::new(counter);
        let groups = s.srv_groups();
        let srvs = groups
            .iter()
            .enumerate()
            .map(|(n, g)| Srv::start(n, &g.zone, g.latency_ms, g.capacity, shared.clone()))
            .collect::<std::io::Result<Vec<_>>>()?;
        discovery.update_entries(srvs.iter().map(|s| row(s, "active", 0)).collect());
        Ok(World { shared, discovery, counter, counter_far, srvs, player: None })
    }

    /// Plays the schedule from now on, on a thread of its own, until the run ends.
    pub fn play(&mut self) {
        let (shared, discovery, counter) =
            (self.shared.clone(), self.discovery.clone(), self.counter.clone());
        let srvs = self.srvs.clone();
        self.player = Some(spawn(move || {
            let srv = |n: usize| &srvs[n];
            for (at, i, begins) in schedule::moments(&shared.faults) {
                while shared.now() < at {
                    if shared.over() {
                        return;
                    }
                    sleep(
                        Duration::from_millis(1).min(Duration::from_secs_f64((at - shared.now()).max(0.0))),
                    );
                }
                let f = &shared.faults[i];
                match (f.target(), f.what, begins) {
                    (Ok(Target::Srv(n)), What::Drain, true) => {
                        discovery.update_entries(vec![row(srv(n), "leaving", 0)])
                    }
                    (Ok(Target::Srv(n)), What::Drain, false) => {
                        discovery.update_entries(vec![row(srv(n), "left", 0)])
                    }
                    (Ok(Target::Srv(n)), What::Cold { .. }, true) => {
                        discovery.update_entries(vec![row(srv(n), "active", unix_ms())])
                    }
                    (_, What::Busy, true) => counter.set_behaviour(Behaviour::Busy),
                    (_, What::Stall, true) => counter.set_behaviour(Behaviour::Silent),
                    (_, What::Busy | What::Stall, false) => counter.set_behaviour(Behaviour::Reply),
                    (_, What::RestartAtZero, true) => counter.reset_totals(),
                    (_, What::Split, b) => counter.set_split(b),
                    (_, What::Late, b) => discovery.set_muted(b),
                    (_, What::Wrong { srv: n }, true) => {
                        let s = srv(n);
                        discovery.update_entries(vec![catalog_entry(
                            &format!("lab-s{n}"),
                            nowhere(),
                            &s.zone,
                            "active",
                            0,
                        )])
                    }
                    (_, What::Wrong { srv: n }, false) => {
                        discovery.update_entries(vec![row(srv(n), "active", 0)])
                    }
                    _ => {}
                }
                tracing::debug!(at, fault = f.what.label(), begins, "schedule");
            }
        }));
    }

    /// Ends the run: srvs stop taking connections and silent ones let go.
    pub fn end(mut self) -> Arc<Shared> {
        self.shared.end();
        self.counter.set_behaviour(Behaviour::Reply);
        self.discovery.set_muted(false);
        if let Some(p) = self.player.take() {
            let _ = p.join();
        }
        self.shared
    }
}
