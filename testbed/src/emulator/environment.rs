//! The world round the gateways: discovery, the counter and the srvs, and the thread that plays the schedule on
//! discovery and the counter (srvs read the schedule themselves, req by req).

use crate::emulator::run_state::RunState;
use crate::emulator::server::Server;
use crate::gateway_settings::GatewaySettings;
use crate::scenario::{FaultKind, Scenario, Target};
use crate::schedule;
use lupinledge_example::counter::{Behaviour, Counter};
use lupinledge_example::discovery::{catalog_entry, Discovery};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

pub struct Environment {
    pub run_state: Arc<RunState>,
    pub discovery: Arc<Discovery>,
    pub counter: Arc<Counter>,
    /// The counter as the far half of the gateways reach it: the same totals, except while split.
    pub far_counter_addr: SocketAddr,
    pub servers: Vec<Server>,
    schedule_thread: Option<JoinHandle<()>>,
}

fn instance_entry(s: &Server, lifecycle: &str, started_at_ms: u64) -> Value {
    catalog_entry(&format!("lab-s{}", s.n), s.addr, &s.zone, lifecycle, started_at_ms)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// An address on loopback where nothing listens: bound for a moment, then let go.
fn unused_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or(([127, 0, 0, 1], 9).into())
}

impl Environment {
    /// Starts everything on loopback at addresses of its own; the clock of the run starts here.
    pub fn start(scenario: &Scenario, settings: &GatewaySettings) -> std::io::Result<Environment> {
        let run_state = Arc::new(RunState::new(scenario.faults.clone(), scenario.grace_s, settings.clone()));
        let discovery = Arc::new(Discovery::start("127.0.0.1:0")?);
        let mut counter = Counter::start("127.0.0.1:0", Behaviour::Reply)?;
        let far_counter_addr = counter.add_far_address()?;
        let counter = Arc::new(counter);
        let groups = scenario.server_groups();
        let servers = groups
            .iter()
            .enumerate()
            .map(|(n, g)| Server::start(n, &g.zone, g.latency_ms, g.capacity, run_state.clone()))
            .collect::<std::io::Result<Vec<_>>>()?;
        discovery.update_entries(servers.iter().map(|s| instance_entry(s, "active", 0)).collect());
        Ok(Environment { run_state, discovery, counter, far_counter_addr, servers, schedule_thread: None })
    }

    /// Plays the schedule from now on, on a thread of its own, until the run ends.
    pub fn play_schedule(&mut self) {
        let (run_state, discovery, counter) =
            (self.run_state.clone(), self.discovery.clone(), self.counter.clone());
        let servers = self.servers.clone();
        self.schedule_thread = Some(spawn(move || {
            let server = |n: usize| &servers[n];
            for (at, i, begins) in schedule::transitions(&run_state.faults) {
                while run_state.now() < at {
                    if run_state.is_over() {
                        return;
                    }
                    sleep(
                        Duration::from_millis(1)
                            .min(Duration::from_secs_f64((at - run_state.now()).max(0.0))),
                    );
                }
                let f = &run_state.faults[i];
                match (f.target(), f.kind, begins) {
                    (Ok(Target::Server(n)), FaultKind::Drain, true) => {
                        discovery.update_entries(vec![instance_entry(server(n), "leaving", 0)])
                    }
                    (Ok(Target::Server(n)), FaultKind::Drain, false) => {
                        discovery.update_entries(vec![instance_entry(server(n), "left", 0)])
                    }
                    (Ok(Target::Server(n)), FaultKind::Cold { .. }, true) => {
                        discovery.update_entries(vec![instance_entry(server(n), "active", unix_ms())])
                    }
                    (_, FaultKind::Busy, true) => counter.set_behaviour(Behaviour::Busy),
                    (_, FaultKind::Stall, true) => counter.set_behaviour(Behaviour::Silent),
                    (_, FaultKind::Busy | FaultKind::Stall, false) => counter.set_behaviour(Behaviour::Reply),
                    (_, FaultKind::RestartAtZero, true) => counter.reset_totals(),
                    (_, FaultKind::Split, b) => counter.set_split(b),
                    (_, FaultKind::Late, b) => discovery.set_muted(b),
                    (_, FaultKind::Wrong { server: n }, true) => {
                        let s = server(n);
                        discovery.update_entries(vec![catalog_entry(
                            &format!("lab-s{n}"),
                            unused_addr(),
                            &s.zone,
                            "active",
                            0,
                        )])
                    }
                    (_, FaultKind::Wrong { server: n }, false) => {
                        discovery.update_entries(vec![instance_entry(server(n), "active", 0)])
                    }
                    _ => {}
                }
                tracing::debug!(at, fault = f.kind.label(), begins, "schedule");
            }
        }));
    }

    /// Ends the run: srvs stop taking connections and silent ones let go.
    pub fn end(mut self) -> Arc<RunState> {
        self.run_state.end();
        self.counter.set_behaviour(Behaviour::Reply);
        self.discovery.set_muted(false);
        if let Some(p) = self.schedule_thread.take() {
            let _ = p.join();
        }
        self.run_state
    }
}
