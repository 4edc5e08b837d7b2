//! The environment of the gateways: discovery, the counter and the servers, and the thread that applies scheduled
//! faults to discovery and the counter (servers look up the schedule for each request).

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

/// The emulated components that the gateways of a run connect to.
pub struct Environment {
    /// Clock, schedule and arrivals of the run.
    pub run_state: Arc<RunState>,
    /// The emulated discovery service.
    pub discovery: Arc<Discovery>,
    /// The emulated counter.
    pub counter: Arc<Counter>,
    /// Address of the counter for the second half of the gateways: the same totals, except during a split.
    pub far_counter_addr: SocketAddr,
    /// The emulated servers, in the order of `srv:N`.
    pub servers: Vec<Server>,
    schedule_thread: Option<JoinHandle<()>>,
}

/// The catalog entry of a server.
fn instance_entry(server: &Server, lifecycle: &str, started_at_ms: u64) -> Value {
    catalog_entry(&format!("lab-s{}", server.index), server.addr, &server.zone, lifecycle, started_at_ms)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A loopback address where nothing listens: a port that was bound and released again.
fn unused_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).unwrap_or(([127, 0, 0, 1], 9).into())
}

impl Environment {
    /// Starts every component on a free loopback port; the clock of the run starts here.
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

    /// Applies the fault schedule on a separate thread until the run ends.
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
                let fault = &run_state.faults[i];
                match (fault.target(), fault.kind, begins) {
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
                    (_, FaultKind::Split, begins) => counter.set_split(begins),
                    (_, FaultKind::Late, begins) => discovery.set_muted(begins),
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
                tracing::debug!(at, fault = fault.kind.label(), begins, "schedule");
            }
        }));
    }

    /// Ends the run: servers stop accepting connections, and requests without a response are released.
    pub fn end(mut self) -> Arc<RunState> {
        self.run_state.end();
        self.counter.set_behaviour(Behaviour::Reply);
        self.discovery.set_muted(false);
        if let Some(thread) = self.schedule_thread.take() {
            let _ = thread.join();
        }
        self.run_state
    }
}
