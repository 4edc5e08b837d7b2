//! Members that come back with an older copy of their folder: a restored backup, or a disk that lost its last writes.

use crate::world::World;
use lupinledge_consensus::{Node, PersistentState};

const SEEDS: u64 = 300;
/// All processes are back within this time after a power loss of all machines, seconds.
const RESTART_SPREAD: f64 = 1.0;

/// As many members as may be lost come back with older copies, after changes that as many others did not receive
/// because they were cut off. `power_loss`: all machines lose power at that moment.
fn restore_copies(seed: u64, members: &[Node], power_loss: bool) {
    let mut world = World::new(seed, members);
    let count = world.tolerate;
    let mut order = members.to_vec();
    world.rng.shuffle(&mut order);
    let (restored, stale) = (order[..count].to_vec(), order[count..2 * count].to_vec());
    world.acknowledge();
    let copies: Vec<(Node, PersistentState)> = restored
        .iter()
        .map(|node| (*node, world.machines[node].disk.saved_state.clone().expect("it has a state")))
        .collect();
    world.cut(&stale);
    for _ in 0..world.rng.usize(1..4) {
        world.acknowledge();
    }
    let down = if power_loss { members.to_vec() } else { restored };
    down.iter().for_each(|&node| world.kill(node));
    for (node, saved_state) in copies {
        world.machines.entry(node).and_modify(|machine| machine.disk.saved_state = Some(saved_state));
    }
    world.net.cuts.clear();
    let mut starts: Vec<(f64, Node)> =
        down.iter().map(|&node| (world.rng.f64() * RESTART_SPREAD, node)).collect();
    starts.sort_by(|a, b| a.0.total_cmp(&b.0));
    let begin = world.now;
    for (at, node) in starts {
        let wait = begin + at - world.now;
        world.run(wait.max(0.0));
        world.start(node);
    }
    // The check fails if anything that was acknowledged before is lost.
    world.acknowledge();
    assert!(world.run_until(5.0, |world| world.agreed()), "seed {seed}: not all nodes have the newest value");
}

#[test]
fn older_copies_of_folders_lose_nothing() {
    for seed in 0..SEEDS {
        restore_copies(seed, &[10, 20, 30], seed % 3 != 0);
        restore_copies(seed, &[10, 20, 30, 40, 50], seed % 3 != 0);
    }
}

/// Restarts a member with this state on its disk, while the others keep running.
fn restore(world: &mut World, node: Node, saved_state: PersistentState) {
    world.kill(node);
    world.machines.entry(node).and_modify(|machine| machine.disk.saved_state = Some(saved_state));
    world.start(node);
}

fn saved_state(world: &World, node: Node) -> PersistentState {
    world.machines[&node].disk.saved_state.clone().expect("it has a state")
}

#[test]
fn member_that_voted_beyond_its_state_learns_anew() {
    let mut world = World::new(5, &[10, 20, 30]);
    let leader = world.leader();
    let other = world.seeds.iter().copied().find(|&node| node != leader).unwrap();
    world.acknowledge();
    let older = saved_state(&world, other);
    world.acknowledge();
    world.run(0.5);
    restore(&mut world, other, older);
    let is_learning = |world: &mut World| world.process(other).is_some_and(|m| m.replica.is_learning());
    assert!(world.run_until(2.0, is_learning), "it is not notified that it voted beyond its state");
    assert!(world.run_until(3.0, |world| world.agreed()));
    assert!(!is_learning(&mut world));
}

#[test]
fn folder_of_another_cluster_is_ignored() {
    for seed in 0..20 {
        let (mut own, mut other) = (World::new(seed, &[10, 20, 30]), World::new(seed + 100, &[10, 20, 30]));
        for _ in 0..3 {
            own.acknowledge();
        }
        // The state of the other cluster gets higher epochs.
        for _ in 0..3 {
            other.acknowledge();
            let leader = other.leader();
            other.kill(leader);
            other.run(2.0);
            other.start(leader);
            other.acknowledge();
        }
        let leader = own.leader();
        let node = own.seeds.iter().copied().find(|&node| node != leader).unwrap();
        let foreign_state = saved_state(&other, node);
        restore(&mut own, node, foreign_state);
        own.acknowledge();
        own.kill(leader);
        own.run(0.5);
        own.start(leader);
        own.acknowledge();
        assert!(own.run_until(5.0, |world| world.agreed()), "seed {seed}");
    }
}
