//! Edge nodes with their watch and a core, in virtual time, on a network that delays, loses and cuts; with a plain
//! account of what each node has in force and what it ought to have.
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
/// A step, in seconds; each node is asked once a step.
pub const STEP: f64 = 0.02;
/// When a change has to be in force.
pub const APPLY: f64 = 2.5;
const LOOK: f64 = 0.1;

fn node(i: usize) -> Node {
    Node::from_be_bytes([10, 0, 0, i as u8 + 1])
}

fn index(n: Node) -> usize {
    n.to_be_bytes()[3] as usize - 1
}

/// A configuration of two hosts and three services, another one for each number.
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
        evacuated,
        serial,
        ..Document::default()
    }
}

fn zones() -> BTreeMap<String, String> {
    [("z1", "r"), ("z2", "r")].map(|(z, r)| (z.to_string(), r.to_string())).into()
}

/// What a node has in force and how it watches it.
pub struct Edge {
    tables: Tables,
    config: Option<Config>,
    kept: Option<Document>,
    serial: u64,
    pub shut: bool,
    audit: Audit,
    watch: DriftMonitor,
    look: f64,
    /// When it began to have wrong rules in force, and when it served by them last.
    pub wrong: Option<f64>,
    pub last_wrong: Option<f64>,
    pub outs: u32,
}

struct Process {
    spread: Disseminator,
    edge: Option<Edge>,
    side: usize,
    frozen: bool,
    began: f64,
}

pub struct World {
    pub now: f64,
    procs: Vec<Process>,
    mail: BTreeMap<(u64, u64), (usize, usize, GossipMessage)>,
    posted: u64,
    pub chance: Rng,
    /// Documents by index, with the time of their acknowledgement.
    docs: Vec<(f64, Document, Rc<[u8]>, Tables)>,
    epoch: u64,
    holder: usize,
    watching: bool,
    /// Nodes that went out although what they had in force was right.
    pub unjust: u32,
    pub judged: [u32; 3],
    /// Steps at which all nodes were out.
    pub empty: u32,
    pub asked: u64,
    pub served_wrong: u64,
    pub promised: u64,
    /// Seconds from a drift to the last request served by it.
    pub took: Vec<f64>,
    next: f64,
}

fn bytes(d: &Document) -> Rc<[u8]> {
    Rc::from(serde_json::to_vec(d).unwrap())
}

fn same(a: &Tables, b: &Tables) -> bool {
    Part::ALL.into_iter().all(|p| a.reprint(p) == b.reprint(p))
}

impl World {
    /// All started, and one document in force.
    pub fn start(seed: u64, watching: bool) -> World {
        let mut w = World {
            now: 0.0,
            procs: Vec::new(),
            mail: BTreeMap::new(),
            posted: 0,
            chance: Rng::with_seed(seed),
            docs: Vec::new(),
            epoch: 1,
            holder: 0,
            watching,
            unjust: 0,
            judged: [0; 3],
            empty: 0,
            asked: 0,
            served_wrong: 0,
            promised: 0,
            took: Vec::new(),
            next: 0.0,
        };
        (0..ALL).for_each(|i| {
            let p = w.process(i);
            w.procs.push(p);
        });
        w.run(1.5);
        w.commit(true);
        w.run(4.0);
        w
    }

    fn process(&mut self, i: usize) -> Process {
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
        let set =
            lupinledge_membership::Settings::new(node(i), incarnation, card, seeds, self.chance.u64(..));
        let edge = (!core).then(|| Edge {
            tables: Tables::default(),
            config: None,
            kept: None,
            serial: 0,
            shut: false,
            audit: Audit::new(self.chance.u64(..)),
            watch: DriftMonitor::new(0.0, Settings::new(APPLY)),
            look: self.now + self.chance.f64() * LOOK,
            wrong: None,
            last_wrong: None,
            outs: 0,
        });
        Process { spread: Disseminator::new(0.0, set, !core), edge, side: 0, frozen: false, began: self.now }
    }

    pub fn edges(&self) -> impl Iterator<Item = &Edge> {
        self.procs.iter().filter_map(|p| p.edge.as_ref())
    }

    /// The core agrees on one more document; a member out of reach learns it later.
    pub fn commit(&mut self, change: bool) {
        let n = self.docs.len() as u64 + 1;
        let evacuated = change != self.docs.last().is_none_or(|d| d.1.evacuated.is_empty());
        let config = if change { config(n) } else { config(self.docs.len().max(1) as u64) };
        let d = document(n, &config, evacuated);
        let tables = Tables::new(&d, &zones()).unwrap();
        self.docs.push((self.now, d.clone(), bytes(&d), tables));
        self.tell_core();
    }

    fn tell_core(&mut self) {
        let n = self.docs.len() as u64;
        let side = self.procs[self.holder].side;
        for i in (0..CORES).rev() {
            if self.procs[i].side == side {
                let state = Some(((self.epoch, n), self.docs[n as usize - 1].2.clone()));
                let news = Update { epoch: Some((self.epoch, node(self.holder))), state, list: None };
                let from = if i == self.holder { Source::Origin } else { Source::Settled };
                self.call(i, |s, _| s.publish(news, from));
                let print = self.docs[n as usize - 1].3.print().folded();
                self.procs[i].spread.set_fingerprint(n, print);
            }
        }
    }

    /// Another of the core holds the duty, and commits what it found under its epoch.
    pub fn new_holder(&mut self) {
        self.epoch += 1;
        let side = self.procs[self.holder].side;
        let mut others = (0..CORES).filter(|i| *i != self.holder && self.procs[*i].side == side);
        self.holder = others.next_back().unwrap_or(self.holder);
        self.tell_core();
    }

    /// Those of another side are not reached.
    pub fn cut(&mut self, side: impl Fn(usize) -> usize) {
        (0..ALL).for_each(|i| self.procs[i].side = side(i));
        self.tell_core();
    }

    pub fn freeze(&mut self, edge: usize, frozen: bool) {
        self.procs[CORES + edge].frozen = frozen;
    }

    /// A fault in the memory of a node.
    pub fn drift(&mut self, edge: usize, how: &str) {
        let e = self.procs[CORES + edge].edge.as_mut().unwrap();
        e.tables.drift(how);
    }

    /// A forged word: these bytes are said to be the document of that stamp.
    pub fn forge(&mut self, edge: usize, stamp: (u64, u64), what: &Document) {
        let state = Some((stamp, bytes(what)));
        let said = GossipMessage::Update { digest: Default::default(), state, list: None };
        self.call(CORES + edge, |s, now| s.receive(now, node(CORES + (edge + 1) % EDGES), said));
    }

    /// The newest document, and how many there are.
    pub fn newest(&self) -> (u64, &Document) {
        let d = self.docs.last().unwrap();
        (self.docs.len() as u64, &d.1)
    }

    pub fn former(&self) -> Document {
        self.docs[self.docs.len().saturating_sub(2)].1.clone()
    }

    /// Half of the newest configuration with half of the one before, under the newest number.
    pub fn half(&self) -> Document {
        let n = self.docs.len() as u64;
        let mut mixed = config(n);
        mixed["tenants"] = config(n + 2)["tenants"].clone();
        Document { config: Some(mixed.to_string().into_bytes()), ..self.newest().1.clone() }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A node starts anew, with nothing, and hears an old document first, under the newest stamp.
    pub fn restart(&mut self, edge: usize) {
        let i = CORES + edge;
        let (p, old, n) = (self.process(i), self.former(), self.docs.len() as u64);
        let side = self.procs[i].side;
        self.procs[i] = Process { side, ..p };
        self.forge(edge, (self.epoch, n), &old);
    }

    fn call(&mut self, i: usize, f: impl FnOnce(&mut Disseminator, f64) -> lupinledge_membership::Effects) {
        let now = self.now - self.procs[i].began;
        let (fresh, out) = f(&mut self.procs[i].spread, now);
        self.post(i, out);
        if let Some((_, bytes)) = fresh.and_then(|f| f.state) {
            self.document(i, serde_json::from_slice(&bytes).unwrap());
        }
    }

    fn document(&mut self, i: usize, d: Document) {
        let Some(e) = &mut self.procs[i].edge else { return };
        if d.serial > e.serial {
            e.serial = d.serial;
            e.tables = Tables::new(&d, &zones()).unwrap();
            e.audit.reset();
            e.config = d.config.as_ref().and_then(|c| Config::read(c).ok());
            e.kept = Some(d);
        }
    }

    fn post(&mut self, from: usize, out: Outgoing) {
        for (to, said) in out {
            let to = index(to);
            let lost = matches!(said, GossipMessage::Probe(_)) && self.chance.f64() < 0.03;
            if lost || self.procs[from].side != self.procs[to].side {
                continue;
            }
            let way = if self.chance.u8(0..20) == 0 { 0.3 } else { 0.002 + 0.06 * self.chance.f64() };
            self.posted += 1;
            self.mail.insert((((self.now + way) * 1e6) as u64, self.posted), (from, to, said));
        }
    }

    /// Runs for so many seconds.
    pub fn run(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            while let Some(m) = self.mail.first_entry().filter(|m| m.key().0 <= (self.now * 1e6) as u64) {
                let (from, to, said) = m.remove();
                if !self.procs[to].frozen {
                    self.call(to, |s, now| s.receive(now, node(from), said));
                }
            }
            for i in 0..ALL {
                if self.procs[i].frozen {
                    continue;
                }
                if self.procs[i].spread.next_wake() <= self.now - self.procs[i].began {
                    self.call(i, |s, now| (None, s.tick(now)));
                }
                if self.procs[i].edge.as_ref().is_some_and(|e| e.look <= self.now) {
                    self.look(i);
                }
            }
            self.serve();
        }
    }

    fn look(&mut self, i: usize) {
        let now = self.now - self.procs[i].began;
        let p = &mut self.procs[i];
        let Some(e) = &mut p.edge else { return };
        e.look = self.now + LOOK;
        let found = e.audit.step(&e.tables, e.config.as_ref(), None);
        let (index, print) = (p.spread.store().digest().state.1, e.audit.live_print().folded());
        p.spread.set_fingerprint(index, print);
        if !self.watching {
            return;
        }
        let own =
            LocalState { index, print, faulty_part: found.map(|f| f.part), verified: e.audit.is_clean() };
        let others = compare(now, &own, p.spread.store().epoch().1, p.spread.membership().members());
        let acts = e.watch.evaluate(now, &own, &others);
        for act in acts {
            self.act(i, act);
        }
    }

    fn act(&mut self, i: usize, act: Action) {
        let right = self.matching(i);
        let p = &mut self.procs[i];
        let Some(e) = &mut p.edge else { return };
        match act {
            Action::Withdraw { detector, .. } => {
                (e.shut, e.outs) = (true, e.outs + 1);
                self.unjust += right as u32;
                self.judged[detector as usize] += 1;
                p.spread.set_card(|c| c.ready = false);
            }
            Action::Rebuild => {
                let (kept, serial) = (e.kept.clone(), std::mem::take(&mut e.serial));
                kept.into_iter().for_each(|d| self.document(i, d));
                let e = self.procs[i].edge.as_mut().unwrap();
                e.serial = e.serial.max(serial);
            }
            Action::Refetch => {
                e.serial = if e.shut { 0 } else { e.serial.saturating_sub(1) };
                let out = p.spread.refetch_state();
                self.post(i, out);
            }
            Action::AcceptClients => e.shut = false,
            Action::Announce => drop(p.spread.set_card(|c| c.ready = true)),
        }
    }

    /// Whether a node has in force what it may have: the newest, or one before while that is not long ago, or while
    /// the node can't have heard of it.
    fn right(&self, i: usize) -> bool {
        let Some(e) = &self.procs[i].edge else { return true };
        let cut = self.procs[i].side != self.procs[self.holder].side;
        self.docs.iter().enumerate().any(|(n, d)| {
            let since = self.docs.get(n + 1).map(|next| self.now - next.0);
            (cut || since.is_none_or(|s| s < APPLY + 1.0)) && same(&e.tables, &d.3)
        })
    }

    /// Whether a node does what the document says that it holds, and is not behind for too long.
    fn matching(&self, i: usize) -> bool {
        let (p, n) = (&self.procs[i], self.docs.len());
        if n == 0 {
            return true;
        }
        let held = (p.spread.store().digest().state.1 as usize).clamp(0, n);
        let held = if held == 0 { n } else { held };
        let cut = p.side != self.procs[self.holder].side;
        let late = self.docs.get(held).is_some_and(|next| self.now - next.0 > APPLY && !cut);
        p.edge.as_ref().is_some_and(|e| !late && same(&e.tables, &self.docs[held - 1].3))
    }

    fn serve(&mut self) {
        let mut serving = BTreeSet::new();
        for i in CORES..ALL {
            let (right, frozen) = (self.right(i), self.procs[i].frozen);
            let Some(e) = &mut self.procs[i].edge else { continue };
            if e.kept.is_none() || frozen {
                continue;
            }
            self.asked += 1;
            match (right, e.shut) {
                (true, false) => drop(serving.insert(i)),
                (false, false) => {
                    serving.insert(i);
                    e.wrong = e.wrong.or(Some(self.now - STEP));
                    e.last_wrong = Some(self.now);
                    self.served_wrong += 1;
                }
                (_, true) => self.promised += 1,
            }
            // an episode is over once the node has been right, or out, for a while
            if let (Some(from), Some(last)) = (e.wrong, e.last_wrong) {
                if self.now - last > 3.0 {
                    self.took.push(last - from);
                    (e.wrong, e.last_wrong) = (None, None);
                }
            }
        }
        if serving.is_empty() && self.docs.len() > 1 {
            self.empty += 1;
        }
    }
}

/// One drift of a schedule: what happens to which node, and what happens around it.
pub const CAUSES: [&str; 9] =
    ["service", "retry", "prefix", "key", "half", "forged-old", "forged-half", "restart", "evacuation-lost"];
pub const AROUND: [&str; 6] = ["calm", "core-cut", "evacuation", "race", "holder", "freeze"];

/// Plays some drifts of these kinds; with `count` nodes at once.
pub fn play(seed: u64, cause: &str, around: &str, count: usize, watching: bool) -> World {
    let mut w = World::start(seed, watching);
    w.commit(false);
    let more = w.chance.f64();
    w.run(4.0 + more);
    w.commit(true);
    let early = w.chance.f64() * 0.4;
    match around {
        // the cut part has one member of the core and no edge node, or two edge nodes without any core
        "core-cut" if w.chance.bool() => w.cut(|i| (i == 2) as usize),
        "core-cut" => w.cut(|i| (i >= ALL - 2) as usize),
        "evacuation" => w.commit(false),
        "race" => {
            w.run(0.04);
            w.commit(true);
        }
        "holder" => w.new_holder(),
        "freeze" => w.freeze(EDGES - 1, true),
        _ => {}
    }
    // what is forged comes before what is true
    let (n, _) = w.newest();
    for edge in 0..count {
        let (epoch, former, half) = (w.epoch(), w.former(), w.half());
        match cause {
            "forged-old" => w.forge(edge, (epoch, n), &former),
            "forged-half" => w.forge(edge, (epoch, n), &half),
            "restart" => w.restart(edge),
            _ => {}
        }
    }
    w.run(early);
    for edge in 0..count {
        match cause {
            "evacuation-lost" => w.drift(edge, "evacuation"),
            "forged-old" | "forged-half" | "restart" => {}
            how => w.drift(edge, how),
        }
    }
    w.run(3.0);
    w.freeze(EDGES - 1, false);
    w.cut(|_| 0);
    if around == "holder" {
        w.new_holder();
    }
    w.run(14.0);
    w
}

/// The judge's place in [`World::judged`].
pub fn judge(j: Detector) -> usize {
    j as usize
}
