//! A simulated cluster: applies faults and commands to its processes, and checks the edge nodes as time passes.

use crate::core::Core;
use crate::edge::Edge;
use crate::planned_shutdowns::PlannedShutdown;
use crate::process::{Command, Message, Process};
use crate::{Flaw, Net, Node, ReferenceModel, Schedule, World};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The sender of commands; not a machine.
pub(crate) const OPERATOR: Node = 1;
/// Seconds between two checks of the edge nodes.
pub(crate) const CHECK_INTERVAL: f64 = 0.1;
/// The same while the first process that votes is to be killed.
const KILL_CHECK_INTERVAL: f64 = 0.004;

/// A simulated cluster.
pub struct Cluster {
    /// The machines and the network.
    pub world: World<Process, ReferenceModel>,
    /// The core machines, without those lost for good.
    pub cores: Vec<Node>,
    /// The edge machines.
    pub edges: Vec<Node>,
    pub(crate) seeds: Vec<Node>,
    /// Other seeds for single machines, from their next start on.
    pub(crate) seeds_by_node: BTreeMap<Node, Vec<Node>>,
    pub(crate) flaw: Flaw,
    /// Number of members that may have lost their disk at once.
    pub(crate) max_lost_disks: usize,
    /// `.0`: when the cuts end. `.1`: when losses and delays return to normal.
    pub(crate) cuts_and_degradation_end_at: (f64, f64),
    /// Until this time the first process that votes for a new epoch is killed.
    pub(crate) kill_on_vote_until: f64,
    /// Number of machines that were lost for good and replaced.
    pub(crate) lost_machine_replacements: u32,
    /// Orderly shutdowns that are planned or in progress.
    pub(crate) shutdowns: Vec<PlannedShutdown>,
    /// Number of machines that were replaced in an orderly way.
    pub(crate) graceful_replacements: u32,
    pub(crate) sent_configs: Vec<Rc<[u8]>>,
    last_version: u64,
}

impl Cluster {
    /// Creates the machines of a schedule and starts their processes.
    pub fn new(schedule: &Schedule, flaw: Flaw) -> Cluster {
        let net = Net::new(1, f64::from(schedule.max_delay_ms) / 1000.0);
        let cores: Vec<Node> = (1..=schedule.cores.1 as Node).map(|n| 10 * n).collect();
        let edges: Vec<Node> = (1..=schedule.edges as Node).map(|n| 1000 + 10 * n).collect();
        let seeds = cores[..schedule.cores.0].to_vec();
        let max_lost_disks = (cores.len() - 1) / 2;
        let world = World::new(schedule.seed, net, ReferenceModel::default());
        let mut cluster = Cluster {
            world,
            cores,
            edges,
            seeds,
            seeds_by_node: BTreeMap::new(),
            flaw,
            max_lost_disks,
            cuts_and_degradation_end_at: (0.0, 0.0),
            kill_on_vote_until: 0.0,
            lost_machine_replacements: 0,
            shutdowns: Vec::new(),
            graceful_replacements: 0,
            sent_configs: Vec::new(),
            last_version: 0,
        };
        cluster.start_all();
        cluster
    }

    /// Starts all processes that are down.
    fn start_all(&mut self) {
        self.start_cores();
        self.start_edges();
    }

    pub(crate) fn start_cores(&mut self) {
        for node in self.cores.clone() {
            if self.world.process(node).is_none() {
                let seeds = self.seeds_by_node.get(&node).unwrap_or(&self.seeds);
                let (max_lost_disks, flaw) = (self.max_lost_disks, self.flaw);
                self.world.start(node, |context| {
                    Process::Core(Box::new(Core::new(node, context, seeds, max_lost_disks, flaw)))
                });
                self.disturb(0.0);
            }
        }
    }

    pub(crate) fn start_edges(&mut self) {
        for node in self.edges.clone() {
            if self.world.process(node).is_none() {
                let (seeds, flaw) = (self.seeds_by_node.get(&node).unwrap_or(&self.cores), self.flaw);
                self.world
                    .start(node, |context| Process::Edge(Box::new(Edge::new(node, context, seeds, flaw))));
            }
        }
    }

    /// Records that the core or the network is disturbed for `duration` seconds from now on.
    pub(crate) fn disturb(&mut self, duration: f64) {
        let until = self.world.now + duration;
        let model = &mut self.world.observer;
        model.disturbed_until = model.disturbed_until.max(until);
    }

    /// The members of the newest committed value, or the seeds before the first commit.
    pub(crate) fn members(&self) -> BTreeSet<Node> {
        let newest = self.world.observer.newest();
        newest.map_or(&self.seeds, |(_, value, _)| &value.members).iter().copied().collect()
    }

    /// Number of members that are lost for good, or whose disk is empty because they have not recovered yet.
    pub(crate) fn impaired_members(&self) -> usize {
        let has_no_saved_state =
            |node| self.world.machines.get(node).is_none_or(|machine| machine.disk.saved_state.is_none());
        self.members().iter().filter(|&node| !self.cores.contains(node) || has_no_saved_state(node)).count()
    }

    /// Whether the members are exactly the present core machines, and no membership change is in progress.
    pub(crate) fn membership_settled(&self) -> bool {
        let unchanging = self.world.observer.newest().is_some_and(|(_, value, _)| value.outgoing.is_empty());
        unchanging && self.members() == self.cores.iter().copied().collect()
    }

    /// The nodes that considered themselves leaders with a majority when their replicas last handled an input.
    pub fn leaders(&self) -> Vec<Node> {
        let leads = |node: &Node| self.world.process(*node)?.core()?.leading_epoch();
        self.cores.iter().copied().filter(|node| leads(node).is_some()).collect()
    }

    /// Runs for `duration` seconds, ends faults that are due and checks the edge nodes.
    pub fn run(&mut self, duration: f64) {
        let end = self.world.now + duration;
        while self.world.now < end && self.world.observer.violation.is_none() {
            let kill_on_vote = self.kill_on_vote_until > self.world.now;
            let interval =
                if kill_on_vote { KILL_CHECK_INTERVAL } else { CHECK_INTERVAL }.min(end - self.world.now);
            self.world.observer.last_voter = None;
            self.world.run(interval);
            if let Some(node) = self.world.observer.last_voter.filter(|_| kill_on_vote) {
                self.kill_on_vote_until = 0.0;
                self.kill(node);
                self.start_cores();
            }
            let now = self.world.now;
            if now >= self.cuts_and_degradation_end_at.0 {
                self.world.net.cuts.clear();
            }
            if now >= self.cuts_and_degradation_end_at.1 {
                (self.world.net.loss_percent, self.world.net.late_percent) = (1, 0);
            }
            self.advance_shutdowns();
            self.check_edges();
        }
    }

    /// Checks that each ready edge node in touch holds every change that was acknowledged long enough ago.
    fn check_edges(&mut self) {
        let now = self.world.now;
        if !self.world.observer.is_calm(now) {
            return;
        }
        let required = self.world.observer.required_index(now);
        for node in &self.edges {
            let Some(machine) = self.world.machines.get(node) else { continue };
            let Some(edge) = machine.process.as_ref().and_then(Process::edge) else { continue };
            let in_touch = self.world.observer.in_touch(now, *node);
            let held = edge.document.as_ref().map_or(0, |document| document.0.index);
            if in_touch && edge.ready && held < required {
                let text =
                    format!("{node} is in touch and holds index {held}, but {required} was acknowledged");
                return self.world.observer.fail(text);
            }
        }
    }

    pub(crate) fn core_at(&self, index: u8) -> Node {
        self.cores[usize::from(index) % self.cores.len()]
    }

    pub(crate) fn edge_at(&self, index: u8) -> Node {
        self.edges[usize::from(index) % self.edges.len()]
    }

    /// Sends a command to the core machine with this index; to all nodes that consider themselves leaders if `None`.
    pub fn send_command(&mut self, index: Option<u8>, command: Command) {
        let to = index.map_or_else(|| self.leaders(), |index| vec![self.core_at(index)]);
        for node in to {
            self.send_command_to(node, command.clone());
        }
    }

    /// Sends a command to a machine; returns the command's id.
    pub(crate) fn send_command_to(&mut self, node: Node, command: Command) -> u64 {
        let id = self.world.next_id();
        self.world.observer.command_sent(id, command.clone());
        self.world.send(OPERATOR, node, Message::Command(id, command), true);
        id
    }

    /// A put of a new configuration on a base version.
    pub fn new_config(&mut self, base: u64) -> Command {
        self.last_version = self.last_version.max(base) + 1;
        let (version, nth) = (self.last_version, self.sent_configs.len());
        let text = format!(
            "{{\"version\":\"r{version}\",\"base_version\":\"r{base}\",\"nth\":{nth},\"listeners\":[],\"clusters\":[]}}"
        );
        let body: Rc<[u8]> = text.into_bytes().into();
        self.sent_configs.push(body.clone());
        Command::Put(body)
    }

    /// Ends all faults and starts all processes that are down.
    pub fn heal(&mut self) {
        let now = self.world.now;
        self.cuts_and_degradation_end_at = (now, now);
        self.world.net.cuts.clear();
        (self.world.net.loss_percent, self.world.net.late_percent) = (1, 0);
        for machine in self.world.machines.values_mut() {
            machine.frozen_until = machine.frozen_until.min(now);
            machine.disk.stalled_until = machine.disk.stalled_until.min(now);
            machine.disk.fail_one_in = 0;
        }
        self.world.observer.healed(now);
        self.finish_shutdowns();
        self.start_all();
    }
}
