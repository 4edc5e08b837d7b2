//! A simulated cluster in virtual time: a core and edge nodes with their drift monitors, on a network that delays and
//! loses messages and can be partitioned. It records independently which configuration each node uses and should use.
#![allow(dead_code)]

use fastrand::Rng;
use lupinledge_config::{Config, Document, Part, Tables};
use lupinledge_drift_detection::{
    verdict::compare, Action, Audit, Detector, DriftMonitor, LocalState, Settings,
};
use lupinledge_membership::{Card, Disseminator, GossipMessage, Node, Outgoing, Source, Update};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub const CORES: usize = 3;
pub const EDGES: usize = 6;
const ALL: usize = CORES + EDGES;
/// Length of a simulation step in seconds; each node serves one request per step.
pub const STEP: f64 = 0.02;
/// Seconds within which a change must be in force.
pub const APPLY: f64 = 2.5;
/// Seconds between two evaluations of a node.
const EVALUATION_INTERVAL: f64 = 0.1;

fn node(i: usize) -> Node {
    Node::from_be_bytes([10, 0, 0, i as u8 + 1])
}

fn index(n: Node) -> usize {
    n.to_be_bytes()[3] as usize - 1
}

/// A configuration of two hosts and three services, different for each `n`.
pub fn config(n: u64) -> Value {
    let rule = |name: String, prefix: &str, service: &str, kind: &str| {
        json!({"name": name, "route_kind": kind, "match": {"path_prefix": prefix},
               "action": {"service": service, "timeout_s": 2 + n % 3, "max_attempts": 1 + n % 2}})
    };
    let service = ["pay", "pay-new"][(n % 2) as usize];
    let tenants: Vec<Value> = (0..6)
        .map(|t| json!({"name": format!("t{t}"), "api_keys": [format!("k{t}-{}", n / 2)], "rate_per_s": 10 + t}))
        .collect();
    json!({
        "version": format!("r{n}"), "base_version": if n > 1 { json!(format!("r{}", n - 1)) } else { json!(0) },
        "tenants": tenants,
        "listeners": [
            {"host": "a.example", "rules": [rule("charge".into(), "/pay/", service, "non_idempotent"),
                rule("card".into(), "/pay/card/", "cards", "non_idempotent")]},
            {"host": "b.example", "rules": [rule("read".into(), "/", "cards", "idempotent")]}],
        "clusters": [{"name": "pay"}, {"name": "pay-new"}, {"name": "cards"}],
    })
}

fn document(serial: u64, config: &Value, evacuated: bool) -> Document {
    let evacuated = if evacuated { vec!["z1".to_string()] } else { Vec::new() };
    Document {
        config: Some(config.to_string().into_bytes()),
        version: serial,
        evacuated_zones: evacuated,
        serial,
        ..Document::default()
    }
}

fn zones() -> BTreeMap<String, String> {
    [("z1", "r"), ("z2", "r")].map(|(z, r)| (z.to_string(), r.to_string())).into()
}

/// An edge node: the tables in use and the detection of drift.
pub struct Edge {
    tables: Tables,
    config: Option<Config>,
    held: Option<Document>,
    serial: u64,
    pub withdrawn: bool,
    audit: Audit,
    monitor: DriftMonitor,
    next_evaluation: f64,
    /// When it began to serve by wrong tables.
    pub wrong_since: Option<f64>,
    /// When it last served by wrong tables.
    pub last_wrong: Option<f64>,
    pub withdrawals: u32,
}

struct Process {
    disseminator: Disseminator,
    edge: Option<Edge>,
    side: usize,
    frozen: bool,
    started_at: f64,
}

/// All processes, the network between them, and the recorded results.
pub struct Cluster {
    pub now: f64,
    processes: Vec<Process>,
    in_flight: BTreeMap<(u64, u64), (usize, usize, GossipMessage)>,
    messages_sent: u64,
    pub rng: Rng,
    /// Documents by index, with the time of their acknowledgement.
    documents: Vec<(f64, Document, Rc<[u8]>, Tables)>,
    epoch: u64,
    holder: usize,
    monitoring: bool,
    /// Withdrawals of nodes whose tables were right.
    pub false_withdrawals: u32,
    /// Withdrawals by detector.
    pub detected: [u32; 3],
    /// Steps in which no node was in service.
    pub empty_steps: u32,
    pub requests: u64,
    pub served_wrong: u64,
    pub rejected: u64,
    /// For each drift, the seconds until the last request served by wrong tables.
    pub durations: Vec<f64>,
    next: f64,
}

fn encode(d: &Document) -> Rc<[u8]> {
    Rc::from(serde_json::to_vec(d).unwrap())
}

fn same_tables(a: &Tables, b: &Tables) -> bool {
    Part::ALL.into_iter().all(|p| a.recompute_fingerprint(p) == b.recompute_fingerprint(p))
}

impl Cluster {
    /// A cluster with all processes started and one document in force.
    pub fn start(seed: u64, monitoring: bool) -> Cluster {
        let mut cluster = Cluster {
            now: 0.0,
            processes: Vec::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            rng: Rng::with_seed(seed),
            documents: Vec::new(),
            epoch: 1,
            holder: 0,
            monitoring,
            false_withdrawals: 0,
            detected: [0; 3],
            empty_steps: 0,
            requests: 0,
            served_wrong: 0,
            rejected: 0,
            durations: Vec::new(),
            next: 0.0,
        };
        (0..ALL).for_each(|i| {
            let p = cluster.new_process(i);
            cluster.processes.push(p);
        });
        cluster.run(1.5);
        cluster.commit(true);
        cluster.run(4.0);
        cluster
    }

    fn new_process(&mut self, i: usize) -> Process {
        let core = i < CORES;
        let client_address = (!core).then(|| ([10, 0, 0, i as u8 + 1], 80).into());
        let (region, zone) = ("r".to_string(), "z1".to_string());
        let (control_address, drift, load) = (None, None, 0);
        let card = Card {
            core,
            region,
            zone,
            client_address,
            control_address,
            ready: true,
            leaving: false,
            drift,
            load,
        };
        let seeds = (0..CORES).map(node).collect();
        let incarnation = 1 + (self.now * 1000.0) as u64;
        let settings =
            lupinledge_membership::Settings::new(node(i), incarnation, card, seeds, self.rng.u64(..));
        let edge = (!core).then(|| Edge {
            tables: Tables::default(),
            config: None,
            held: None,
            serial: 0,
            withdrawn: false,
            audit: Audit::new(self.rng.u64(..)),
            monitor: DriftMonitor::new(0.0, Settings::new(APPLY)),
            next_evaluation: self.now + self.rng.f64() * EVALUATION_INTERVAL,
            wrong_since: None,
            last_wrong: None,
            withdrawals: 0,
        });
        Process {
            disseminator: Disseminator::new(0.0, settings, !core),
            edge,
            side: 0,
            frozen: false,
            started_at: self.now,
        }
    }

    pub fn edges(&self) -> impl Iterator<Item = &Edge> {
        self.processes.iter().filter_map(|p| p.edge.as_ref())
    }

    /// The core commits one more document; unreachable members receive it later.
    pub fn commit(&mut self, new_config: bool) {
        let n = self.documents.len() as u64 + 1;
        let evacuated = new_config != self.documents.last().is_none_or(|d| d.1.evacuated_zones.is_empty());
        let config = if new_config { config(n) } else { config(self.documents.len().max(1) as u64) };
        let d = document(n, &config, evacuated);
        let tables = Tables::new(&d, &zones()).unwrap();
        self.documents.push((self.now, d.clone(), encode(&d), tables));
        self.update_core();
    }

    fn update_core(&mut self) {
        let n = self.documents.len() as u64;
        let side = self.processes[self.holder].side;
        for i in (0..CORES).rev() {
            if self.processes[i].side == side {
                let state = Some(((self.epoch, n), self.documents[n as usize - 1].2.clone()));
                let update = Update { epoch: Some((self.epoch, node(self.holder))), state, list: None };
                let from = if i == self.holder { Source::Origin } else { Source::Settled };
                self.call(i, |s, _| s.publish(update, from));
                let print = self.documents[n as usize - 1].3.fingerprints().combined();
                self.processes[i].disseminator.set_fingerprint(n, print);
            }
        }
    }

    /// Another core process becomes the holder, and commits the newest document under its epoch.
    pub fn new_holder(&mut self) {
        self.epoch += 1;
        let side = self.processes[self.holder].side;
        let mut others = (0..CORES).filter(|i| *i != self.holder && self.processes[*i].side == side);
        self.holder = others.next_back().unwrap_or(self.holder);
        self.update_core();
    }

    /// Partitions the network: messages only reach processes on the same side.
    pub fn partition(&mut self, side: impl Fn(usize) -> usize) {
        (0..ALL).for_each(|i| self.processes[i].side = side(i));
        self.update_core();
    }

    pub fn freeze(&mut self, edge: usize, frozen: bool) {
        self.processes[CORES + edge].frozen = frozen;
    }

    /// Corrupts the tables in the memory of a node.
    pub fn drift(&mut self, edge: usize, corruption: &str) {
        let e = self.processes[CORES + edge].edge.as_mut().unwrap();
        e.tables.corrupt(corruption);
    }

    /// Sends a node a forged message with this document under the given epoch and index.
    pub fn forge(&mut self, edge: usize, stamp: (u64, u64), document: &Document) {
        let state = Some((stamp, encode(document)));
        let message = GossipMessage::Update { digest: Default::default(), state, list: None };
        self.call(CORES + edge, |s, now| s.receive(now, node(CORES + (edge + 1) % EDGES), message));
    }

    /// The index of the newest document, and the document.
    pub fn newest(&self) -> (u64, &Document) {
        let d = self.documents.last().unwrap();
        (self.documents.len() as u64, &d.1)
    }

    /// The document before the newest.
    pub fn previous(&self) -> Document {
        self.documents[self.documents.len().saturating_sub(2)].1.clone()
    }

    /// The newest document with the tenants of a different configuration, under the newest number.
    pub fn mixed(&self) -> Document {
        let n = self.documents.len() as u64;
        let mut mixed = config(n);
        mixed["tenants"] = config(n + 2)["tenants"].clone();
        Document { config: Some(mixed.to_string().into_bytes()), ..self.newest().1.clone() }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Restarts a node without state; the first document that it receives is the previous one, under the newest index.
    pub fn restart(&mut self, edge: usize) {
        let i = CORES + edge;
        let (p, old, n) = (self.new_process(i), self.previous(), self.documents.len() as u64);
        let side = self.processes[i].side;
        self.processes[i] = Process { side, ..p };
        self.forge(edge, (self.epoch, n), &old);
    }

    fn call(&mut self, i: usize, f: impl FnOnce(&mut Disseminator, f64) -> lupinledge_membership::Effects) {
        let now = self.now - self.processes[i].started_at;
        let (received, out) = f(&mut self.processes[i].disseminator, now);
        self.send(i, out);
        if let Some((_, bytes)) = received.and_then(|f| f.state) {
            self.apply(i, serde_json::from_slice(&bytes).unwrap());
        }
    }

    fn apply(&mut self, i: usize, d: Document) {
        let Some(e) = &mut self.processes[i].edge else { return };
        if d.serial > e.serial {
            e.serial = d.serial;
            e.tables = Tables::new(&d, &zones()).unwrap();
            e.audit.reset();
            e.config = d.config.as_ref().and_then(|c| Config::parse(c).ok());
            e.held = Some(d);
        }
    }

    fn send(&mut self, from: usize, out: Outgoing) {
        for (to, message) in out {
            let to = index(to);
            let lost = matches!(message, GossipMessage::Probe(_)) && self.rng.f64() < 0.03;
            if lost || self.processes[from].side != self.processes[to].side {
                continue;
            }
            let delay = if self.rng.u8(0..20) == 0 { 0.3 } else { 0.002 + 0.06 * self.rng.f64() };
            self.messages_sent += 1;
            self.in_flight
                .insert((((self.now + delay) * 1e6) as u64, self.messages_sent), (from, to, message));
        }
    }

    /// Runs the simulation for `duration` seconds.
    pub fn run(&mut self, duration: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            while let Some(m) = self.in_flight.first_entry().filter(|m| m.key().0 <= (self.now * 1e6) as u64)
            {
                let (from, to, message) = m.remove();
                if !self.processes[to].frozen {
                    self.call(to, |s, now| s.receive(now, node(from), message));
                }
            }
            for i in 0..ALL {
                if self.processes[i].frozen {
                    continue;
                }
                if self.processes[i].disseminator.next_wake() <= self.now - self.processes[i].started_at {
                    self.call(i, |s, now| (None, s.tick(now)));
                }
                if self.processes[i].edge.as_ref().is_some_and(|e| e.next_evaluation <= self.now) {
                    self.evaluate(i);
                }
            }
            self.serve();
        }
    }

    fn evaluate(&mut self, i: usize) {
        let now = self.now - self.processes[i].started_at;
        let p = &mut self.processes[i];
        let Some(e) = &mut p.edge else { return };
        e.next_evaluation = self.now + EVALUATION_INTERVAL;
        let found = e.audit.step(&e.tables, e.config.as_ref(), None);
        let (index, print) = (p.disseminator.store().digest().state.1, e.audit.live_print().combined());
        p.disseminator.set_fingerprint(index, print);
        if !self.monitoring {
            return;
        }
        let own =
            LocalState { index, print, faulty_part: found.map(|f| f.part), verified: e.audit.is_clean() };
        let others =
            compare(now, &own, p.disseminator.store().epoch().1, p.disseminator.membership().members());
        let actions = e.monitor.evaluate(now, &own, &others);
        for action in actions {
            self.perform(i, action);
        }
    }

    fn perform(&mut self, i: usize, action: Action) {
        let consistent = self.is_consistent(i);
        let p = &mut self.processes[i];
        let Some(e) = &mut p.edge else { return };
        match action {
            Action::Withdraw { detector, .. } => {
                (e.withdrawn, e.withdrawals) = (true, e.withdrawals + 1);
                self.false_withdrawals += consistent as u32;
                self.detected[detector as usize] += 1;
                p.disseminator.set_card(|c| c.ready = false);
            }
            Action::Rebuild => {
                let (held, serial) = (e.held.clone(), std::mem::take(&mut e.serial));
                held.into_iter().for_each(|d| self.apply(i, d));
                let e = self.processes[i].edge.as_mut().unwrap();
                e.serial = e.serial.max(serial);
            }
            Action::Refetch => {
                e.serial = if e.withdrawn { 0 } else { e.serial.saturating_sub(1) };
                let out = p.disseminator.refetch_state();
                self.send(i, out);
            }
            Action::AcceptClients => e.withdrawn = false,
            Action::Announce => drop(p.disseminator.set_card(|c| c.ready = true)),
        }
    }

    /// Whether a node's tables are acceptable: those of the newest document, or of an earlier one if it was replaced only
    /// recently or the node is partitioned from the holder.
    fn has_acceptable_tables(&self, i: usize) -> bool {
        let Some(e) = &self.processes[i].edge else { return true };
        let partitioned = self.processes[i].side != self.processes[self.holder].side;
        self.documents.iter().enumerate().any(|(n, d)| {
            let since = self.documents.get(n + 1).map(|next| self.now - next.0);
            (partitioned || since.is_none_or(|s| s < APPLY + 1.0)) && same_tables(&e.tables, &d.3)
        })
    }

    /// Whether a node's tables are those of the document that it holds, and it is not behind for too long.
    fn is_consistent(&self, i: usize) -> bool {
        let (p, n) = (&self.processes[i], self.documents.len());
        if n == 0 {
            return true;
        }
        let held = (p.disseminator.store().digest().state.1 as usize).clamp(0, n);
        let held = if held == 0 { n } else { held };
        let partitioned = p.side != self.processes[self.holder].side;
        let overdue = self.documents.get(held).is_some_and(|next| self.now - next.0 > APPLY && !partitioned);
        p.edge.as_ref().is_some_and(|e| !overdue && same_tables(&e.tables, &self.documents[held - 1].3))
    }

    fn serve(&mut self) {
        let mut serving = BTreeSet::new();
        for i in CORES..ALL {
            let (acceptable, frozen) = (self.has_acceptable_tables(i), self.processes[i].frozen);
            let Some(e) = &mut self.processes[i].edge else { continue };
            if e.held.is_none() || frozen {
                continue;
            }
            self.requests += 1;
            match (acceptable, e.withdrawn) {
                (true, false) => drop(serving.insert(i)),
                (false, false) => {
                    serving.insert(i);
                    e.wrong_since = e.wrong_since.or(Some(self.now - STEP));
                    e.last_wrong = Some(self.now);
                    self.served_wrong += 1;
                }
                (_, true) => self.rejected += 1,
            }
            // an episode has ended once the node has been right or withdrawn for a while
            if let (Some(from), Some(last)) = (e.wrong_since, e.last_wrong) {
                if self.now - last > 3.0 {
                    self.durations.push(last - from);
                    (e.wrong_since, e.last_wrong) = (None, None);
                }
            }
        }
        if serving.is_empty() && self.documents.len() > 1 {
            self.empty_steps += 1;
        }
    }
}

/// The causes of a drift.
pub const CAUSES: [&str; 9] =
    ["service", "retry", "prefix", "key", "half", "forged-old", "forged-half", "restart", "evacuation-lost"];
/// Circumstances in the cluster at the time of the drift.
pub const CIRCUMSTANCES: [&str; 6] = ["calm", "core-cut", "evacuation", "race", "holder", "freeze"];

/// Simulates a drift of `count` nodes at once; without `monitoring`, nodes do not react to it.
pub fn simulate(seed: u64, cause: &str, circumstance: &str, count: usize, monitoring: bool) -> Cluster {
    let mut cluster = Cluster::start(seed, monitoring);
    cluster.commit(false);
    let extra = cluster.rng.f64();
    cluster.run(4.0 + extra);
    cluster.commit(true);
    let delay = cluster.rng.f64() * 0.4;
    match circumstance {
        // one core process without edge nodes is cut off, or two edge nodes without a core process
        "core-cut" if cluster.rng.bool() => cluster.partition(|i| (i == 2) as usize),
        "core-cut" => cluster.partition(|i| (i >= ALL - 2) as usize),
        "evacuation" => cluster.commit(false),
        "race" => {
            cluster.run(0.04);
            cluster.commit(true);
        }
        "holder" => cluster.new_holder(),
        "freeze" => cluster.freeze(EDGES - 1, true),
        _ => {}
    }
    // forged messages arrive before the true ones
    let (n, _) = cluster.newest();
    for edge in 0..count {
        let (epoch, previous, mixed) = (cluster.epoch(), cluster.previous(), cluster.mixed());
        match cause {
            "forged-old" => cluster.forge(edge, (epoch, n), &previous),
            "forged-half" => cluster.forge(edge, (epoch, n), &mixed),
            "restart" => cluster.restart(edge),
            _ => {}
        }
    }
    cluster.run(delay);
    for edge in 0..count {
        match cause {
            "evacuation-lost" => cluster.drift(edge, "evacuation"),
            "forged-old" | "forged-half" | "restart" => {}
            corruption => cluster.drift(edge, corruption),
        }
    }
    cluster.run(3.0);
    cluster.freeze(EDGES - 1, false);
    cluster.partition(|_| 0);
    if circumstance == "holder" {
        cluster.new_holder();
    }
    cluster.run(14.0);
    cluster
}

/// The index of a detector in [`Cluster::detected`].
pub fn detector_index(detector: Detector) -> usize {
    detector as usize
}
