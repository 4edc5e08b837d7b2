//! Applies the steps of a schedule to a cluster.

use crate::cluster::CHECK_INTERVAL;
use crate::core::ZONES;
use crate::process::{Command, Process};
use crate::{Cluster, Node, Step};

/// For [`Step::GradualCut`], after the holder's last route is cut: seconds until the operators send commands, seconds
/// between two rounds, and number of rounds.
const COMMANDS_DELAY: f64 = 0.5;
const COMMANDS_INTERVAL: f64 = 0.03;
const COMMANDS_COUNT: usize = 30;
const MAX_REPLACEMENTS: u32 = 2;
/// Long enough for all machines to be in touch again, seconds.
const HEAL_TIME: f64 = crate::reference_model::CONTACT_TIMEOUT + 0.3;

impl Cluster {
    /// Applies one step.
    pub fn apply_step(&mut self, step: &Step) {
        let newest = self.world.observer.version(0);
        match *step {
            Step::Put(index) => {
                let put = self.new_config(newest);
                self.send_command(index, put);
            }
            Step::ConflictingPuts(first, second) => {
                let (a, b) = (self.new_config(newest), self.new_config(newest));
                self.send_command(first, a);
                self.send_command(second, b);
            }
            Step::StalePut(index) => {
                let put = self.new_config(self.world.observer.version(1));
                self.send_command(index, put);
            }
            Step::RepeatedPut(index) => {
                let old = self.sent_configs.len().checked_sub(1 + self.world.rng.usize(..3));
                if let Some(body) = old.and_then(|old| self.sent_configs.get(old).cloned()) {
                    self.send_command(index, Command::Put(body));
                }
            }
            Step::Get(index) => self.send_command(index, Command::Get),
            Step::Evacuate(index, zone) => {
                self.send_command(index, Command::Evacuate(ZONES[usize::from(zone) % 3]))
            }
            Step::Restore(index, zone) => {
                self.send_command(index, Command::Restore(ZONES[usize::from(zone) % 3]))
            }
            Step::Kill(index) => self.kill(self.core_at(index)),
            Step::Start => self.start_cores(),
            Step::KillAll => self.cores.clone().into_iter().for_each(|node| self.kill(node)),
            Step::Wipe(index) => self.wipe(self.core_at(index)),
            Step::KillOnVote(duration) => {
                self.kill_on_vote_until = self.world.now + f64::from(duration) / 1000.0
            }
            Step::GradualCut(last, duration) => self.gradual_cut(last, duration),
            Step::Freeze(index, duration) => {
                let duration = f64::from(duration) / 1000.0;
                self.world.freeze(self.core_at(index), duration);
                self.disturb(duration);
            }
            Step::Stall(index, duration) => {
                let duration = f64::from(duration) / 1000.0;
                let until = self.world.now + duration;
                let node = self.core_at(index);
                self.world.machines.entry(node).and_modify(|machine| machine.disk.stalled_until = until);
                self.disturb(duration);
            }
            Step::FailSaves(index, fail_one_in) => {
                let node = self.core_at(index);
                self.world.machines.entry(node).and_modify(|m| m.disk.fail_one_in = u64::from(fail_one_in));
                self.disturb(1e3);
            }
            Step::Replace(index) => self.replace(self.core_at(index)),
            Step::GracefulRestart(index, holder) => self.graceful_restart(index, holder),
            Step::GracefulReplace(index, holder) => self.graceful_replace(index, holder),
            Step::Cut(mask, duration) => {
                self.disturb_network(duration);
                let nodes = self.cores.iter().chain(&self.edges).zip(0..);
                let side: Vec<Node> =
                    nodes.filter(|(_, n)| mask >> n & 1 == 1).map(|(node, _)| *node).collect();
                self.world.cut(&side);
            }
            Step::CutOneWay(duration) => {
                self.disturb_network(duration);
                let nodes: Vec<Node> = self.cores.iter().chain(&self.edges).copied().collect();
                for &a in &nodes {
                    for &b in &nodes {
                        if a != b && self.world.rng.u32(..4) == 0 {
                            self.world.net.cuts.insert((a, b));
                        }
                    }
                }
            }
            Step::DegradeNetwork(loss_percent, late_percent, duration) => {
                let duration = f64::from(duration) / 1000.0;
                (self.world.net.loss_percent, self.world.net.late_percent) =
                    (loss_percent.into(), late_percent.into());
                self.cuts_and_degradation_end_at.1 = self.world.now + duration;
                self.disturb(duration + CHECK_INTERVAL);
            }
            Step::KillEdge(index) => self.kill_edge(self.edge_at(index)),
            Step::StartEdges => self.start_edges(),
            Step::FreezeEdge(index, duration) => {
                let (node, duration) = (self.edge_at(index), f64::from(duration) / 1000.0);
                self.world.freeze(node, duration);
                self.world.observer.edge_disturbed_until.insert(node, self.world.now + duration);
            }
            Step::Heal => {
                self.heal();
                self.run(HEAL_TIME);
                for _ in 0..6 {
                    let put = self.new_config(self.world.observer.version(0));
                    self.send_command(None, put);
                    self.run(0.7);
                }
            }
        }
    }

    fn gradual_cut(&mut self, last: u8, duration: u16) {
        let Some(holder) = self.leaders().first().copied() else { return };
        let last = self.core_at(last);
        let (now, later): (Vec<Node>, Vec<Node>) =
            self.cores.iter().filter(|node| **node != holder).partition(|node| **node != last);
        self.disturb_network(duration + 2000);
        self.world.net.cut(&[holder], &now);
        self.run(f64::from(duration) / 1000.0);
        self.world.net.cut(&[holder], &later);
        self.run(COMMANDS_DELAY);
        for _ in 0..COMMANDS_COUNT {
            let put = self.new_config(self.world.observer.version(0));
            self.send_command(None, put);
            self.send_command(None, Command::Get);
            self.run(COMMANDS_INTERVAL);
        }
    }

    pub(crate) fn kill_edge(&mut self, node: Node) {
        if let Some(edge) = self.world.process(node).and_then(Process::edge) {
            let incarnation = edge.incarnation;
            self.world.observer.counters.ended((node, incarnation));
        }
        self.world.kill(node);
    }

    pub(crate) fn kill(&mut self, node: Node) {
        self.world.kill(node);
        self.disturb(0.0);
    }

    /// Wipes a core machine, unless that is more than the cluster tolerates now.
    fn wipe(&mut self, node: Node) {
        if self.impaired_members() < self.max_lost_disks && self.membership_settled() {
            self.world.wipe(node);
            self.world.observer.disk_wiped(node);
            self.disturb(0.0);
        }
    }

    /// Removes a core machine for good, and adds an empty one at a new address.
    fn replace(&mut self, node: Node) {
        if self.lost_machine_replacements == MAX_REPLACEMENTS
            || self.impaired_members() > 0
            || !self.membership_settled()
        {
            return;
        }
        self.lost_machine_replacements += 1;
        self.kill(node);
        self.cores.retain(|&other| other != node);
        self.add_core(node % 100 + 100 * self.lost_machine_replacements);
    }

    /// Keeps the cuts for at least `duration` milliseconds from now on.
    fn disturb_network(&mut self, duration: u16) {
        let duration = f64::from(duration) / 1000.0;
        self.cuts_and_degradation_end_at.0 =
            self.cuts_and_degradation_end_at.0.max(self.world.now + duration);
        let remaining = self.cuts_and_degradation_end_at.0 - self.world.now;
        self.disturb(remaining + CHECK_INTERVAL);
    }
}
