//! Random faults of voters, gateways, disks and links.

use super::{Event, World};
use lupinledge_operations::Node;

impl World {
    fn lost_count(&self) -> usize {
        let current_members = self.current_members();
        current_members.iter().filter(|node| self.is_lost(**node)).count()
    }

    fn is_lost(&self, node: Node) -> bool {
        self.machines
            .get(&node)
            .is_none_or(|machine| machine.voter.is_none() || machine.paused || self.now < machine.lost_until)
            || self
                .machines
                .get(&node)
                .and_then(|machine| machine.voter.as_ref())
                .is_some_and(|voter| !voter.can_vote())
    }

    pub(super) fn inject_fault(&mut self) {
        if self.faults_ended {
            return;
        }
        let interval = 0.2 + self.rng.f64() * 1.5;
        self.schedule(interval, Event::Fault);
        let machines = self.current_members();
        let machine = machines[self.rng.usize(..machines.len())];
        let gateways: Vec<Node> = self.gateways.keys().copied().collect();
        let gateway = gateways[self.rng.usize(..gateways.len())];
        let may_fail = self.lost_count() < self.plan.max_lost && !self.is_lost(machine);
        // a new machine counts as lost until it votes, and so does a removed one
        if self.plan.resizes && may_fail && self.rng.f64() < 0.5 {
            return self.resize(machine);
        }
        match self.rng.u8(..12) {
            0 => self.kill_gateway(gateway),
            1 => {
                if let Some(gateway) = self.gateways.get_mut(&gateway) {
                    gateway.paused = true;
                }
                let delay = self.rng.f64() * 4.0;
                self.schedule(delay, Event::Resume { node: gateway });
            }
            2 if may_fail => self.wipe(machine, 0.2, 1.5),
            3 if may_fail => self.wipe_behind_cut_links(machine, gateway),
            4 if may_fail => self.stop_machine(machine, true, 0.3, 2.0),
            5 if may_fail => self.stop_machine(machine, false, 0.1, 1.0),
            6 if may_fail => {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.paused = true;
                }
                let delay = self.rng.f64() * 3.0;
                self.schedule(delay, Event::Resume { node: machine });
            }
            7 => machines.iter().for_each(|&machine| self.stop_machine(machine, true, 0.2, 0.8)),
            8 => self.kill_all(),
            9 => {
                let side: Vec<Node> = gateways.iter().copied().filter(|_| self.rng.bool()).collect();
                self.cut_links
                    .extend(side.iter().map(|gateway| (machine.min(*gateway), machine.max(*gateway))));
                let delay = self.rng.f64() * 2.0;
                self.schedule(delay, Event::Resume { node: 0 });
            }
            10 if self.plan.replacements && may_fail => self.replace_member(machine),
            // some voters lose their disks while all others lose power
            11 if self.lost_count() == 0 => self.lose_power_and_disks(),
            _ => {}
        }
    }

    pub(super) fn kill_all(&mut self) {
        for machine in self.current_members() {
            self.stop_machine(machine, false, 0.1, 0.8);
        }
    }

    /// Wipes the disks of as many voters as may be lost while all others lose power.
    pub(super) fn lose_power_and_disks(&mut self) {
        let machines = self.current_members();
        let mut wiped: Vec<Node> =
            machines.iter().copied().filter(|&machine| !self.is_lost(machine)).collect();
        self.rng.shuffle(&mut wiped);
        wiped.truncate(self.plan.max_lost.saturating_sub(self.lost_count()));
        wiped.iter().for_each(|&machine| self.wipe(machine, 0.2, 1.5));
        for machine in machines.into_iter().filter(|machine| !wiped.contains(machine)) {
            self.stop_machine(machine, true, 0.2, 0.6);
        }
    }

    fn kill_gateway(&mut self, node: Node) {
        if let Some(gateway) = self.gateways.get_mut(&node) {
            gateway.up = false;
        }
        let delay = self.rng.f64() * 2.0;
        self.schedule(delay, Event::Restart { node });
    }

    /// Stops a voter's process. If `power` is set, unsynced journal entries are lost, some or all.
    pub(super) fn stop_machine(&mut self, node: Node, power: bool, min_delay: f64, max_delay: f64) {
        let Some(machine) = self.machines.get_mut(&node).filter(|m| m.voter.is_some()) else { return };
        machine.voter = None;
        let kept = match power {
            true => {
                machine.synced + self.rng.usize(..=machine.journal.len().saturating_sub(machine.synced)) / 2
            }
            false => machine.journal.len(),
        };
        machine.journal.truncate(kept);
        machine.synced = machine.journal.len();
        let delay = min_delay + self.rng.f64() * (max_delay - min_delay);
        self.schedule(delay, Event::Restart { node });
    }

    /// Leaves a gateway with links to one voter only, which loses its disk and learns while claims of that gateway wait.
    fn wipe_behind_cut_links(&mut self, machine: Node, gateway: Node) {
        let others: Vec<Node> = self.machines.keys().copied().filter(|&node| node != machine).collect();
        self.cut_links.extend(others.iter().map(|&node| (node.min(gateway), node.max(gateway))));
        let wipe_delay = 0.1 + self.rng.f64() * 0.4;
        self.schedule(wipe_delay, Event::Wipe { node: machine });
        let delay = wipe_delay + 0.2 + self.rng.f64() * 0.8;
        self.schedule(delay, Event::Resume { node: 0 });
    }

    pub(super) fn wipe(&mut self, node: Node, min_delay: f64, max_delay: f64) {
        let others = self.current_members().into_iter().filter(|&other| other != node && self.is_lost(other));
        if others.count() >= self.plan.max_lost {
            return;
        }
        self.stop_machine(node, true, min_delay, max_delay);
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.journal.clear();
            machine.synced = 0;
            machine.lost_until = self.now + 3.0;
        }
    }

    pub(super) fn restart(&mut self, node: Node) {
        if self.gateways.contains_key(&node) {
            return self.add_gateway(node);
        }
        let down =
            self.machines.get(&node).is_some_and(|machine| machine.voter.is_none() && !machine.removed);
        if down {
            self.start_machine(node, false);
        }
    }

    pub(super) fn resume(&mut self, node: Node) {
        if node == 0 {
            return self.cut_links.clear();
        }
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.paused = false;
        }
        if let Some(gateway) = self.gateways.get_mut(&node) {
            gateway.paused = false;
        }
    }

    /// Ends all faults and restarts every process.
    pub(super) fn end_faults(&mut self) {
        self.faults_ended = true;
        self.cut_links.clear();
        let nodes: Vec<Node> = self.machines.keys().chain(self.gateways.keys()).copied().collect();
        for node in nodes {
            self.resume(node);
            if self.pid_of(node).is_none() {
                self.restart(node);
            }
        }
    }
}
