//! Agreement under all faults at once, by seed: nothing acknowledged is lost, and calm brings service back.

use crate::world::{Member, World};
use lupinledge_consensus::Node;
use std::collections::BTreeSet;

const SEEDS: u64 = 400;
const TROUBLE: f64 = 25.0;
/// So soon after calm a proposal has to be acknowledged.
const BACK: f64 = 4.0;

/// A site in trouble: which faults are under way.
struct Site {
    world: World,
    /// The core machines that aren't lost for good.
    nodes: Vec<Node>,
    /// How many disks may be empty at once.
    tolerate: usize,
    /// Lost for good, and not struck yet.
    lost: Option<Node>,
    heal_at: f64,
    replacements: u32,
}

impl Site {
    fn new(seed: u64) -> Site {
        let (seeds, nodes): (Vec<Node>, Vec<Node>) = match seed % 4 {
            0 => (vec![10, 20, 30], vec![10, 20, 30, 40, 50]),
            1 => (vec![10, 20, 30, 40, 50], vec![10, 20, 30, 40, 50]),
            _ => (vec![10, 20, 30], vec![10, 20, 30]),
        };
        let tolerate = (nodes.len() - 1) / 2;
        let mut world = World::bearing(seed, &seeds, tolerate);
        for &node in nodes.iter().filter(|node| !seeds.contains(node)) {
            world.start(node);
        }
        world.net.loss = world.rng.u32(..4) * 7;
        world.net.late = world.rng.u32(..3);
        world.net.delay = [0.003, 0.03, 0.12][world.rng.usize(..3)];
        Site { world, nodes, tolerate, lost: None, heal_at: 0.0, replacements: 0 }
    }

    /// Members whose disk is empty or not learnt anew yet, or which are lost.
    fn weak(&self) -> usize {
        let members = self.members();
        members
            .iter()
            .filter(|&node| !self.nodes.contains(node) || self.world.machines[node].disk.kept.is_none())
            .count()
    }

    /// The newest members that was committed anywhere; the founding one before.
    fn members(&self) -> BTreeSet<Node> {
        let newest = self.world.watch.log.values().next_back();
        newest.map_or(&self.world.seeds, |value| &value.members).iter().copied().collect()
    }

    /// Do all that count hold a disk, and does no change of the members go on?
    fn settled(&self) -> bool {
        let joined = self.world.watch.log.values().next_back().is_some_and(|value| value.outgoing.is_empty());
        let members = self.members();
        joined && self.nodes.iter().all(|node| members.contains(node)) && members.len() == self.nodes.len()
    }

    fn any(&mut self) -> Node {
        self.nodes[self.world.rng.usize(..self.nodes.len())]
    }

    fn step(&mut self) {
        let world = &mut self.world;
        if !world.net.cuts.is_empty() && world.now >= self.heal_at {
            world.net.cuts.clear();
        }
        for node in self.nodes.clone() {
            if self.world.process(node).is_none() && self.world.rng.u32(..6) == 0 {
                self.world.start(node);
            }
        }
        match self.world.rng.u32(..100) {
            0..3 => self.freeze(),
            3..6 => self.cut(),
            6..9 => {
                let node = self.any();
                self.world.kill(node);
            }
            9..11 => self.wipe(),
            11..12 => {
                for node in self.nodes.clone() {
                    self.world.kill(node);
                }
                self.wipe();
            }
            12..14 => self.trouble_disk(),
            14..15 => self.replace(),
            _ => {}
        }
        self.ask();
    }

    fn freeze(&mut self) {
        let node = self.any();
        let span = 0.3 + self.world.rng.f64() * 4.5;
        self.world.freeze(node, span);
    }

    fn cut(&mut self) {
        let world = &mut self.world;
        self.heal_at = world.now + 0.5 + world.rng.f64() * 6.0;
        if world.rng.bool() {
            let side: Vec<Node> = self.nodes.iter().copied().filter(|_| world.rng.bool()).collect();
            world.cut(&side);
        } else {
            // One way only, and not everybody.
            for &a in &self.nodes {
                for &b in &self.nodes {
                    if a != b && world.rng.u32(..4) == 0 {
                        world.net.cuts.insert((a, b));
                    }
                }
            }
        }
    }

    fn wipe(&mut self) {
        let node = self.any();
        if self.weak() < self.tolerate && self.lost.is_none() && self.settled() {
            self.world.wipe(node);
        }
    }

    fn trouble_disk(&mut self) {
        let node = self.any();
        let until = self.world.now + self.world.rng.f64() * 4.0;
        let refuses = self.world.rng.u64(..3);
        if let Some(machine) = self.world.machines.get_mut(&node) {
            machine.disk.stalled_until = until;
            machine.disk.refuses = refuses * 2;
        }
    }

    /// A machine is lost for good, and another one comes at a new address.
    fn replace(&mut self) {
        if self.settled() {
            self.lost = None;
        }
        if self.lost.is_some() || self.replacements == 2 || self.weak() > 0 || !self.settled() {
            return;
        }
        let node = self.any();
        self.replacements += 1;
        self.lost = Some(node);
        self.world.kill(node);
        self.nodes.retain(|&other| other != node);
        let new = node % 100 + 100 * self.replacements;
        self.nodes.push(new);
        self.world.start(new);
    }

    fn ask(&mut self) {
        let node = self.any();
        match self.world.rng.u32(..6) {
            0 => self.world.propose(node),
            1 => self.world.confirm(node),
            2..4 => {
                for node in self.world.leaders() {
                    self.world.propose(node);
                    self.world.confirm(node);
                }
            }
            _ => {}
        }
    }

    /// The state of each, for a failed assertion.
    fn told(&self) -> String {
        let mut told = format!("{:?}", self.nodes);
        for (node, machine) in &self.world.machines {
            if let Some(Member { queen, leads, .. }) = &machine.life {
                let ballot = queen.committed().map(|(ballot, _)| ballot.index);
                let (members, amnesiac) = (queen.members(), queen.is_learning());
                told += &format!("\n  {node}: {ballot:?} {members:?} amnesiac {amnesiac} leads {leads:?}");
                told += &format!("\n     {:?}", machine.disk.kept);
            }
        }
        told
    }

    /// All faults end; what is down starts.
    fn calm(&mut self) {
        let world = &mut self.world;
        world.net.cuts.clear();
        world.net.loss = world.net.loss.min(2);
        world.net.late = 0;
        let now = world.now;
        for machine in world.machines.values_mut() {
            machine.frozen_until = machine.frozen_until.min(now);
            machine.disk.stalled_until = machine.disk.stalled_until.min(now);
            machine.disk.refuses = 0;
        }
        for node in self.nodes.clone() {
            if self.world.process(node).is_none() {
                self.world.start(node);
            }
        }
    }
}

/// One day of trouble; returns how much was acknowledged, confirmed, sent.
fn day(seed: u64) -> (u64, u64, u64) {
    let mut site = Site::new(seed);
    while site.world.now < TROUBLE {
        let span = 0.02 + site.world.rng.f64() * 0.1;
        site.world.run(span);
        site.step();
    }
    site.calm();
    let (acks, from) = (site.world.watch.acks, site.world.now);
    let back = site.world.run_until(BACK, |world| {
        for node in world.leaders() {
            world.propose(node);
        }
        world.watch.acks > acks
    });
    assert!(back, "no service {BACK} s after calm at {from}: {}", site.told());
    let whole = site.world.run_until(12.0, |world| {
        let newest = world.watch.log.keys().next_back().copied();
        let agreed = world.running().into_iter().all(|node| {
            let queen = world.process(node).map(|member| &member.queen);
            let ballot = queen.and_then(|queen| queen.committed()).map(|(ballot, _)| ballot.index);
            ballot == newest
                && queen.is_some_and(|queen| !queen.is_learning() && queen.members().contains(&node))
        });
        agreed && world.leaders().len() == 1 && world.unanswered() == 0
    });
    assert!(whole, "not of one mind again: {}", site.told());
    let check = &site.world.watch;
    assert!(check.log.keys().next_back().is_some_and(|&newest| newest >= check.acked));
    (check.acks, check.confirms, site.world.net.words)
}

#[test]
fn nothing_is_lost_and_calm_brings_service_back() {
    let sums = std::sync::Mutex::new((0, 0, 0));
    bolero::check!().exhaustive().with_generator(0..SEEDS).cloned().for_each(|seed| {
        let (acks, confirms, words) = day(seed);
        let mut sums = sums.lock().unwrap();
        *sums = (sums.0 + acks, sums.1 + confirms, sums.2 + words);
    });
    let (acks, confirms, words) = *sums.lock().unwrap();
    eprintln!("{acks} acknowledged, {confirms} confirmed, {words} words");
    assert!(acks > SEEDS * 10 && confirms > SEEDS * 10, "too little was done to say anything");
}

/// As many other days as wanted: `FROM=1000 TO=100000 cargo test --release -p lupinledge-consensus -- --ignored`.
#[test]
#[ignore = "takes as long as it is told to"]
fn many_more_days() {
    let bound = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let (from, to): (u64, u64) = (bound("FROM").unwrap_or(SEEDS), bound("TO").unwrap_or(10 * SEEDS));
    let bad: Vec<u64> = (from..to).filter(|&seed| std::panic::catch_unwind(|| day(seed)).is_err()).collect();
    assert!(bad.is_empty(), "seeds {bad:?}");
}
