//! What each step of a schedule does to a site.

use crate::core::ZONES;
use crate::process::{Command, Process};
use crate::site::LOOK;
use crate::{Node, Site, Step};

/// After the holder's last way is cut: when operators begin to hurry, how often and how many times they ask.
const RUSH_AFTER: f64 = 0.5;
const RUSH_EACH: f64 = 0.03;
const RUSH: usize = 30;
const REPLACEMENTS: u32 = 2;
/// Long enough for machines to be in touch again, seconds.
const CONTACT_AND: f64 = crate::truth::CONTACT + 0.3;

impl Site {
    /// Plays one step.
    pub fn step(&mut self, step: &Step) {
        let newest = self.world.observer.version(0);
        match *step {
            Step::Put(place) => {
                let put = self.config(newest);
                self.ask(place, put);
            }
            Step::Twins(one, other) => {
                let (a, b) = (self.config(newest), self.config(newest));
                self.ask(one, a);
                self.ask(other, b);
            }
            Step::Late(place) => {
                let put = self.config(self.world.observer.version(1));
                self.ask(place, put);
            }
            Step::Again(place) => {
                let old = self.sent.len().checked_sub(1 + self.world.rng.usize(..3));
                if let Some(body) = old.and_then(|old| self.sent.get(old).cloned()) {
                    self.ask(place, Command::Put(body));
                }
            }
            Step::Get(place) => self.ask(place, Command::Get),
            Step::Evacuate(place, zone) => self.ask(place, Command::Evacuate(ZONES[usize::from(zone) % 3])),
            Step::Restore(place, zone) => self.ask(place, Command::Restore(ZONES[usize::from(zone) % 3])),
            Step::Kill(place) => self.kill(self.core(place)),
            Step::Start => self.start_cores(),
            Step::KillAll => self.cores.clone().into_iter().for_each(|node| self.kill(node)),
            Step::Wipe(place) => self.wipe(self.core(place)),
            Step::Trip(span) => self.trip_until = self.world.now + f64::from(span) / 1000.0,
            Step::Creep(last, span) => self.creep(last, span),
            Step::Freeze(place, span) => {
                let span = f64::from(span) / 1000.0;
                self.world.freeze(self.core(place), span);
                self.rough(span);
            }
            Step::Stall(place, span) => {
                let span = f64::from(span) / 1000.0;
                let until = self.world.now + span;
                let node = self.core(place);
                self.world.machines.entry(node).and_modify(|machine| machine.disk.stalled_until = until);
                self.rough(span);
            }
            Step::Refuse(place, each) => {
                let node = self.core(place);
                self.world.machines.entry(node).and_modify(|m| m.disk.fail_one_in = u64::from(each));
                self.rough(1e3);
            }
            Step::Replace(place) => self.replace(self.core(place)),
            Step::Leave(place, holder) => self.restart_in_order(place, holder),
            Step::Relieve(place, holder) => self.relieve(place, holder),
            Step::Cut(mask, span) => {
                self.bad_ways(span);
                let nodes = self.cores.iter().chain(&self.edges).zip(0..);
                let side: Vec<Node> =
                    nodes.filter(|(_, n)| mask >> n & 1 == 1).map(|(node, _)| *node).collect();
                self.world.cut(&side);
            }
            Step::OneWay(span) => {
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
            Step::Weather(loss, late, span) => {
                let span = f64::from(span) / 1000.0;
                (self.world.net.loss_percent, self.world.net.late_percent) = (loss.into(), late.into());
                self.heal_at.1 = self.world.now + span;
                self.rough(span + LOOK);
            }
            Step::KillEdge(place) => self.kill_edge(self.edge(place)),
            Step::StartEdges => self.start_edges(),
            Step::FreezeEdge(place, span) => {
                let (node, span) = (self.edge(place), f64::from(span) / 1000.0);
                self.world.freeze(node, span);
                self.world.observer.rough.insert(node, self.world.now + span);
            }
            Step::Calm => {
                self.calm();
                self.pass(CONTACT_AND);
                for _ in 0..6 {
                    let put = self.config(self.world.observer.version(0));
                    self.ask(None, put);
                    self.pass(0.7);
                }
            }
        }
    }

    fn creep(&mut self, last: u8, span: u16) {
        let Some(holder) = self.leaders().first().copied() else { return };
        let last = self.core(last);
        let (now, later): (Vec<Node>, Vec<Node>) =
            self.cores.iter().filter(|node| **node != holder).partition(|node| **node != last);
        self.bad_ways(span + 2000);
        self.world.net.cut(&[holder], &now);
        self.pass(f64::from(span) / 1000.0);
        self.world.net.cut(&[holder], &later);
        self.pass(RUSH_AFTER);
        for _ in 0..RUSH {
            let put = self.config(self.world.observer.version(0));
            self.ask(None, put);
            self.ask(None, Command::Get);
            self.pass(RUSH_EACH);
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
        self.rough(0.0);
    }

    fn wipe(&mut self, node: Node) {
        if self.weak() < self.tolerate && self.settled() {
            self.world.wipe(node);
            self.world.observer.wiped(node);
            self.rough(0.0);
        }
    }

    /// A machine is lost for good, and another one comes at a new address.
    fn replace(&mut self, node: Node) {
        if self.replacements == REPLACEMENTS || self.weak() > 0 || !self.settled() {
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
        self.rough(left + LOOK);
    }
}
