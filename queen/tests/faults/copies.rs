//! Members that come back with an older copy of their folder: a restored backup, or a disk that lost its last writes.

use crate::world::World;
use lupinledge_queen::{Kept, Node};

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
    let copies: Vec<(Node, Kept)> = restored
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
