//! Members that come back with an older copy of their folder: a restored backup, or a disk that lost its last writes.

use crate::world::World;
use lupinledge_consensus::{Node, PersistentState};

const SEEDS: u64 = 300;
/// All processes are back this soon after a loss of power everywhere.
const SPREAD: f64 = 1.0;

/// As many members as may be lost come back with older copies, after changes that others of them were cut off from.
/// `all`: everybody loses power at that moment.
fn copies(seed: u64, members: &[Node], all: bool) {
    let mut world = World::new(seed, members);
    let count = world.tolerate;
    let mut order = members.to_vec();
    world.rng.shuffle(&mut order);
    let (restored, stale) = (order[..count].to_vec(), order[count..2 * count].to_vec());
    world.acknowledge();
    let copies: Vec<(Node, PersistentState)> = restored
        .iter()
        .map(|node| (*node, world.machines[node].disk.kept.clone().expect("it has a state")))
        .collect();
    world.cut(&stale);
    for _ in 0..world.rng.usize(1..4) {
        world.acknowledge();
    }
    let down = if all { members.to_vec() } else { restored };
    down.iter().for_each(|&node| world.kill(node));
    for (node, kept) in copies {
        world.machines.entry(node).and_modify(|machine| machine.disk.kept = Some(kept));
    }
    world.net.cuts.clear();
    let mut starts: Vec<(f64, Node)> = down.iter().map(|&node| (world.rng.f64() * SPREAD, node)).collect();
    starts.sort_by(|a, b| a.0.total_cmp(&b.0));
    let begin = world.now;
    for (at, node) in starts {
        let wait = begin + at - world.now;
        world.run(wait.max(0.0));
        world.start(node);
    }
    // the check fails where what was acknowledged before is lost
    world.acknowledge();
    assert!(world.run_until(5.0, |world| world.agreed()), "seed {seed}: not all know the newest");
}

#[test]
fn older_copies_of_folders_lose_nothing() {
    for seed in 0..SEEDS {
        copies(seed, &[10, 20, 30], seed % 3 != 0);
        copies(seed, &[10, 20, 30, 40, 50], seed % 3 != 0);
    }
}

/// Puts that state on a member's disk while the others serve on, and starts it again.
fn put_back(world: &mut World, node: Node, kept: PersistentState) {
    world.kill(node);
    world.machines.entry(node).and_modify(|machine| machine.disk.kept = Some(kept));
    world.start(node);
}

fn kept(world: &World, node: Node) -> PersistentState {
    world.machines[&node].disk.kept.clone().expect("it has a state")
}

#[test]
fn one_that_voted_for_more_than_it_holds_learns_anew() {
    let mut world = World::new(5, &[10, 20, 30]);
    let holder = world.leader();
    let other = world.seeds.iter().copied().find(|&node| node != holder).unwrap();
    world.acknowledge();
    let older = kept(&world, other);
    world.acknowledge();
    world.run(0.5);
    put_back(&mut world, other, older);
    let amnesiac = |world: &mut World| world.process(other).is_some_and(|m| m.queen.is_learning());
    assert!(world.run_until(2.0, amnesiac), "nobody told it");
    assert!(world.run_until(3.0, |world| world.agreed()));
    assert!(!amnesiac(&mut world));
}

#[test]
fn a_folder_of_another_cluster_counts_nowhere() {
    for seed in 0..20 {
        let (mut own, mut other) = (World::new(seed, &[10, 20, 30]), World::new(seed + 100, &[10, 20, 30]));
        for _ in 0..3 {
            own.acknowledge();
        }
        // what the other one holds is under higher epochs
        for _ in 0..3 {
            other.acknowledge();
            let holder = other.leader();
            other.kill(holder);
            other.run(2.0);
            other.start(holder);
            other.acknowledge();
        }
        let holder = own.leader();
        let node = own.seeds.iter().copied().find(|&node| node != holder).unwrap();
        let foreign = kept(&other, node);
        put_back(&mut own, node, foreign);
        own.acknowledge();
        own.kill(holder);
        own.run(0.5);
        own.start(holder);
        own.acknowledge();
        assert!(own.run_until(5.0, |world| world.agreed()), "seed {seed}");
    }
}
