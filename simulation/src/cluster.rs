//! A cluster in trouble: plays the steps of a schedule against the processes.

use crate::core::Core;
use crate::edge::Edge;
use crate::planned_shutdowns::PendingShutdown;
use crate::process::{Command, Message, Process};
use crate::{Flaw, Net, Node, ReferenceModel, Schedule, World};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Who sends commands; no machine.
pub(crate) const OPERATOR: Node = 1;
/// The edge nodes are looked at so often, seconds.
pub(crate) const LOOK: f64 = 0.1;
/// While a process is to be caught in the act.
const GRAIN: f64 = 0.004;

/// See the module.
pub struct Cluster {
    /// The machines.
    pub world: World<Process, ReferenceModel>,
    /// The core machines that aren't lost for good.
    pub cores: Vec<Node>,
    /// The edge machines.
    pub edges: Vec<Node>,
    pub(crate) seeds: Vec<Node>,
    /// Seeds of single machines from their next start on.
    pub(crate) own_seeds: BTreeMap<Node, Vec<Node>>,
    pub(crate) flaw: Flaw,
    /// How many disks may be empty at once.
    pub(crate) tolerate: usize,
    /// Until when the ways are cut, and the weather is bad.
    pub(crate) heal_at: (f64, f64),
    /// Until when the first that votes anew loses power.
    pub(crate) trip_until: f64,
    pub(crate) replacements: u32,
    /// Those that are to end in order, and how many got a successor for that.
    pub(crate) leavers: Vec<PendingShutdown>,
    pub(crate) relieved: u32,
    pub(crate) sent: Vec<Rc<[u8]>>,
    versions: u64,
}

impl Cluster {
    /// All machines start.
    pub fn new(plan: &Schedule, flaw: Flaw) -> Cluster {
        let net = Net::new(1, f64::from(plan.delay) / 1000.0);
        let cores: Vec<Node> = (1..=plan.cores.1 as Node).map(|n| 10 * n).collect();
        let edges: Vec<Node> = (1..=plan.edges as Node).map(|n| 1000 + 10 * n).collect();
        let seeds = cores[..plan.cores.0].to_vec();
        let tolerate = (cores.len() - 1) / 2;
        let world = World::new(plan.seed, net, ReferenceModel::default());
        let mut cluster = Cluster {
            world,
            cores,
            edges,
            seeds,
            own_seeds: BTreeMap::new(),
            flaw,
            tolerate,
            heal_at: (0.0, 0.0),
            trip_until: 0.0,
            replacements: 0,
            leavers: Vec::new(),
            relieved: 0,
            sent: Vec::new(),
            versions: 0,
        };
        cluster.start();
        cluster
    }

    /// Starts what is down.
    fn start(&mut self) {
        self.start_cores();
        self.start_edges();
    }

    pub(crate) fn start_cores(&mut self) {
        for node in self.cores.clone() {
            if self.world.process(node).is_none() {
                let seeds = self.own_seeds.get(&node).unwrap_or(&self.seeds);
                let (tolerate, flaw) = (self.tolerate, self.flaw);
                self.world.start(node, |context| {
                    Process::Core(Box::new(Core::new(node, context, seeds, tolerate, flaw)))
                });
                self.disturb(0.0);
            }
        }
    }

    pub(crate) fn start_edges(&mut self) {
        for node in self.edges.clone() {
            if self.world.process(node).is_none() {
                let (seeds, flaw) = (self.own_seeds.get(&node).unwrap_or(&self.cores), self.flaw);
                self.world
                    .start(node, |context| Process::Edge(Box::new(Edge::new(node, context, seeds, flaw))));
            }
        }
    }

    /// There is trouble of the core or the network for so long from now on.
    pub(crate) fn disturb(&mut self, span: f64) {
        let until = self.world.now + span;
        let truth = &mut self.world.observer;
        truth.disturbed_until = truth.disturbed_until.max(until);
    }

    /// The newest members that was committed anywhere; the founding one before.
    pub(crate) fn members(&self) -> BTreeSet<Node> {
        let newest = self.world.observer.newest();
        newest.map_or(&self.seeds, |(_, value, _)| &value.members).iter().copied().collect()
    }

    /// Members whose disk is empty or not learnt anew yet, or which are lost.
    pub(crate) fn impaired_members(&self) -> usize {
        let empty =
            |node| self.world.machines.get(node).is_none_or(|machine| machine.disk.saved_state.is_none());
        self.members().iter().filter(|&node| !self.cores.contains(node) || empty(node)).count()
    }

    /// Do just those count that are there, and does no change of the members go on?
    pub(crate) fn settled(&self) -> bool {
        let joined = self.world.observer.newest().is_some_and(|(_, value, _)| value.outgoing.is_empty());
        joined && self.members() == self.cores.iter().copied().collect()
    }

    /// Those who took themselves for a holder backed by a majority when they last ran.
    pub fn leaders(&self) -> Vec<Node> {
        let leads = |node: &Node| self.world.process(*node)?.core()?.leading_epoch();
        self.cores.iter().copied().filter(|node| leads(node).is_some()).collect()
    }

    /// Lets the time pass, and looks at the edge nodes.
    pub fn run(&mut self, span: f64) {
        let end = self.world.now + span;
        while self.world.now < end && self.world.observer.violation.is_none() {
            let armed = self.trip_until > self.world.now;
            let next = if armed { GRAIN } else { LOOK }.min(end - self.world.now);
            self.world.observer.turned = None;
            self.world.run(next);
            if let Some(node) = self.world.observer.turned.filter(|_| armed) {
                self.trip_until = 0.0;
                self.kill(node);
                self.start_cores();
            }
            let now = self.world.now;
            if now >= self.heal_at.0 {
                self.world.net.cuts.clear();
            }
            if now >= self.heal_at.1 {
                (self.world.net.loss_percent, self.world.net.late_percent) = (1, 0);
            }
            self.advance_shutdowns();
            self.look();
        }
    }

    /// An edge node in touch follows what was acknowledged.
    fn look(&mut self) {
        let now = self.world.now;
        if !self.world.observer.is_calm(now) {
            return;
        }
        let needed = self.world.observer.needed(now);
        for node in &self.edges {
            let Some(machine) = self.world.machines.get(node) else { continue };
            let Some(edge) = machine.process.as_ref().and_then(Process::edge) else { continue };
            let touch = self.world.observer.touch(now, *node);
            let held = edge.document.as_ref().map_or(0, |document| document.0.index);
            if touch && edge.ready && held < needed {
                let text = format!("{node} is in touch and holds {held}, but {needed} was acknowledged");
                return self.world.observer.fail(text);
            }
        }
    }

    pub(crate) fn core_at(&self, place: u8) -> Node {
        self.cores[usize::from(place) % self.cores.len()]
    }

    pub(crate) fn edge_at(&self, place: u8) -> Node {
        self.edges[usize::from(place) % self.edges.len()]
    }

    /// Sends a command; to all that take themselves for the holder where no place is told.
    pub fn send_command(&mut self, place: Option<u8>, command: Command) {
        let to = place.map_or_else(|| self.leaders(), |place| vec![self.core_at(place)]);
        for node in to {
            self.send_command_to(node, command.clone());
        }
    }

    /// Sends a command to a machine; returns its number.
    pub(crate) fn send_command_to(&mut self, node: Node, command: Command) -> u64 {
        let id = self.world.next_id();
        self.world.observer.asked(id, command.clone());
        self.world.send(OPERATOR, node, Message::Command(id, command), true);
        id
    }

    /// A new configuration on top of a version.
    pub fn new_config(&mut self, base: u64) -> Command {
        self.versions = self.versions.max(base) + 1;
        let (version, seed) = (self.versions, self.sent.len());
        let text = format!(
            "{{\"version\":\"r{version}\",\"base_version\":\"r{base}\",\"nth\":{seed},\"listeners\":[],\"clusters\":[]}}"
        );
        let body: Rc<[u8]> = text.into_bytes().into();
        self.sent.push(body.clone());
        Command::Put(body)
    }

    /// All faults end; what is down starts.
    pub fn heal(&mut self) {
        let now = self.world.now;
        self.heal_at = (now, now);
        self.world.net.cuts.clear();
        (self.world.net.loss_percent, self.world.net.late_percent) = (1, 0);
        for machine in self.world.machines.values_mut() {
            machine.frozen_until = machine.frozen_until.min(now);
            machine.disk.stalled_until = machine.disk.stalled_until.min(now);
            machine.disk.fail_one_in = 0;
        }
        self.world.observer.healed(now);
        self.finish_shutdowns();
        self.start();
    }
}
