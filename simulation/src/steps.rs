//! What each step of a schedule does to a cluster.

use crate::cluster::LOOK;
use crate::core::ZONES;
use crate::process::{Command, Process};
use crate::{Cluster, Node, Step};

/// After the holder's last way is cut: when operators begin to hurry, how often and how many times they ask.
const RUSH_AFTER: f64 = 0.5;
const RUSH_EACH: f64 = 0.03;
const RUSH: usize = 30;
const REPLACEMENTS: u32 = 2;
/// Long enough for machines to be in touch again, seconds.
const CONTACT_AND: f64 = crate::reference_model::CONTACT + 0.3;

impl Cluster {
    /// Plays one step.
    pub fn apply_step(&mut self, step: &Step) {
        let newest = self.world.observer.version(0);
        match *step {
            Step::Put(place) => {
                let put = self.new_config(newest);
                self.send_command(place, put);
            }
            Step::ConflictingPuts(one, other) => {
                let (a, b) = (self.new_config(newest), self.new_config(newest));
                self.send_command(one, a);
                self.send_command(other, b);
            }
            Step::StalePut(place) => {
                let put = self.new_config(self.world.observer.version(1));
                self.send_command(place, put);
            }
            Step::RepeatedPut(place) => {
                let old = self.sent.len().checked_sub(1 + self.world.rng.usize(..3));
                if let Some(body) = old.and_then(|old| self.sent.get(old).cloned()) {
                    self.send_command(place, Command::Put(body));
                }
            }
            Step::Get(place) => self.send_command(place, Command::Get),
            Step::Evacuate(place, zone) => {
                self.send_command(place, Command::Evacuate(ZONES[usize::from(zone) % 3]))
            }
            Step::Restore(place, zone) => {
                self.send_command(place, Command::Restore(ZONES[usize::from(zone) % 3]))
            }
            Step::Kill(place) => self.kill(self.core_at(place)),
            Step::Start => self.start_cores(),
            Step::KillAll => self.cores.clone().into_iter().for_each(|node| self.kill(node)),
            Step::Wipe(place) => self.wipe(self.core_at(place)),
            Step::KillOnVote(span) => self.trip_until = self.world.now + f64::from(span) / 1000.0,
            Step::GradualCut(last, span) => self.creep(last, span),
            Step::Freeze(place, span) => {
                let span = f64::from(span) / 1000.0;
                self.world.freeze(self.core_at(place), span);
                self.disturb(span);
            }
            Step::Stall(place, span) => {
                let span = f64::from(span) / 1000.0;
                let until = self.world.now + span;
                let node = self.core_at(place);
                self.world.machines.entry(node).and_modify(|machine| machine.disk.stalled_until = until);
                self.disturb(span);
            }
            Step::FailSaves(place, each) => {
                let node = self.core_at(place);
                self.world.machines.entry(node).and_modify(|m| m.disk.fail_one_in = u64::from(each));
                self.disturb(1e3);
            }
            Step::Replace(place) => self.replace(self.core_at(place)),
            Step::GracefulRestart(place, holder) => self.restart_in_order(place, holder),
            Step::GracefulReplace(place, holder) => self.relieve(place, holder),
            Step::Cut(mask, span) => {
                self.bad_ways(span);
                let nodes = self.cores.iter().chain(&self.edges).zip(0..);
                let side: Vec<Node> =
                    nodes.filter(|(_, n)| mask >> n & 1 == 1).map(|(node, _)| *node).collect();
                self.world.cut(&side);
            }
            Step::CutOneWay(span) => {
                self.bad_ways(span);
                let nodes: Vec<Node> = self.cores.iter().chain(&self.edges).copied().collect();
                for &a in &nodes {
                    for &b in &nodes {
                        if a != b && self.world.rng.u32(..4) == 0 {
                            self.world.net.cuts.insert((a, b));
                        }
                    }
                }
            }
            Step::DegradeNetwork(loss, late, span) => {
                let span = f64::from(span) / 1000.0;
                (self.world.net.loss_percent, self.world.net.late_percent) = (loss.into(), late.into());
                self.heal_at.1 = self.world.now + span;
                self.disturb(span + LOOK);
            }
            Step::KillEdge(place) => self.kill_edge(self.edge_at(place)),
            Step::StartEdges => self.start_edges(),
            Step::FreezeEdge(place, span) => {
                let (node, span) = (self.edge_at(place), f64::from(span) / 1000.0);
                self.world.freeze(node, span);
                self.world.observer.edge_disturbed_until.insert(node, self.world.now + span);
            }
            Step::Heal => {
                self.heal();
                self.run(CONTACT_AND);
                for _ in 0..6 {
                    let put = self.new_config(self.world.observer.version(0));
                    self.send_command(None, put);
                    self.run(0.7);
                }
            }
        }
    }

    fn creep(&mut self, last: u8, span: u16) {
        let Some(holder) = self.leaders().first().copied() else { return };
        let last = self.core_at(last);
        let (now, later): (Vec<Node>, Vec<Node>) =
            self.cores.iter().filter(|node| **node != holder).partition(|node| **node != last);
        self.bad_ways(span + 2000);
        self.world.net.cut(&[holder], &now);
        self.run(f64::from(span) / 1000.0);
        self.world.net.cut(&[holder], &later);
        self.run(RUSH_AFTER);
        for _ in 0..RUSH {
            let put = self.new_config(self.world.observer.version(0));
            self.send_command(None, put);
            self.send_command(None, Command::Get);
            self.run(RUSH_EACH);
        }
    }

    pub(crate) fn kill_edge(&mut self, node: Node) {
        if let Some(edge) = self.world.process(node).and_then(Process::edge) {
            let incarnation = edge.incarnation;
            self.world.observer.sums.ended((node, incarnation));
        }
        self.world.kill(node);
    }

    pub(crate) fn kill(&mut self, node: Node) {
        self.world.kill(node);
        self.disturb(0.0);
    }

    fn wipe(&mut self, node: Node) {
        if self.impaired_members() < self.tolerate && self.settled() {
            self.world.wipe(node);
            self.world.observer.wiped(node);
            self.disturb(0.0);
        }
    }

    /// A machine is lost for good, and another one comes at a new address.
    fn replace(&mut self, node: Node) {
        if self.replacements == REPLACEMENTS || self.impaired_members() > 0 || !self.settled() {
            return;
        }
        self.replacements += 1;
        self.kill(node);
        self.cores.retain(|&other| other != node);
        self.newcomer(node % 100 + 100 * self.replacements);
    }

    fn bad_ways(&mut self, span: u16) {
        let span = f64::from(span) / 1000.0;
        self.heal_at.0 = self.heal_at.0.max(self.world.now + span);
        let left = self.heal_at.0 - self.world.now;
        self.disturb(left + LOOK);
    }
}
