//! An operator forces a new cluster after more losses than are tolerated.

use crate::world::World;
use lupinledge_consensus::{Ballot, NewClusterError, Node};

const THREE: [Node; 3] = [10, 20, 30];

fn newest(world: &World, node: Node) -> Ballot {
    world.machines[&node].disk.saved_state.as_ref().expect("it has a state").ballot
}

/// A member whose two peers are down, after entries were acknowledged: the world, the survivor, and the others.
fn lone_survivor(seed: u64) -> (World, Node, Vec<Node>) {
    let mut world = World::new(seed, &THREE);
    for _ in 0..3 {
        world.acknowledge();
    }
    world.run(0.5);
    let survivor = THREE[seed as usize % 3];
    let others: Vec<Node> = THREE.into_iter().filter(|&node| node != survivor).collect();
    others.iter().for_each(|&node| world.kill(node));
    (world, survivor, others)
}

#[test]
fn survivor_continues_and_the_others_are_admitted() {
    for seed in 0..30 {
        let (mut world, survivor, others) = lone_survivor(seed);
        world.run(4.0);
        assert!(world.leaders().is_empty());
        let held = newest(&world, survivor);
        assert_eq!(world.force_new_cluster(survivor, held), Ok(()));
        world.acknowledge();
        // Two lost members come back with their old states; they are a majority of the old members.
        others.iter().for_each(|&node| world.start(node));
        world.acknowledge();
        assert!(
            world.run_until(6.0, |world| world.agreed() && world.members(survivor).len() == 3),
            "seed {seed}"
        );
        // The cluster tolerates a loss as before.
        world.kill(survivor);
        world.acknowledge();
    }
}

#[test]
fn old_members_that_come_back_separately_are_superseded_on_contact() {
    for seed in 0..30 {
        let (mut world, survivor, others) = lone_survivor(seed);
        world.run(4.0);
        let held = newest(&world, survivor);
        assert_eq!(world.force_new_cluster(survivor, held), Ok(()));
        world.cut(&[survivor]);
        others.iter().for_each(|&node| world.start(node));
        assert!(world.run_until(4.0, |world| world.leaders().iter().any(|node| others.contains(node))));
        world.net.cuts.clear();
        assert!(world.run_until(6.0, |world| world.members(survivor).len() == 3), "seed {seed}");
        world.acknowledge();
        assert!(world.run_until(5.0, |world| world.agreed()), "seed {seed}");
    }
}

#[test]
fn no_new_cluster_while_a_majority_answers_or_from_another_state() {
    let mut world = World::new(1, &THREE);
    world.acknowledge();
    world.run(4.0);
    let held = newest(&world, 10);
    assert_eq!(world.force_new_cluster(10, held), Err(NewClusterError::MajorityReachable));
    world.kill(20);
    world.kill(30);
    world.run(1.0);
    assert_eq!(
        world.force_new_cluster(10, held),
        Err(NewClusterError::MajorityReachable),
        "they may come back at any moment"
    );
    world.run(3.0);
    let other = Ballot { index: held.index + 1, ..held };
    assert_eq!(world.force_new_cluster(10, other), Err(NewClusterError::StateMismatch(held)));
    world.kill(10);
    world.start(10);
    assert_eq!(world.force_new_cluster(10, held), Err(NewClusterError::TooSoon));
    world.wipe(10);
    world.start(10);
    world.run(4.0);
    assert_eq!(world.force_new_cluster(10, held), Err(NewClusterError::NoState));
}
