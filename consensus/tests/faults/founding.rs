//! The cluster is founded anew by an operator, after losses beyond what is borne.

use crate::world::World;
use lupinledge_consensus::{Ballot, NewClusterError, Node};

const THREE: [Node; 3] = [10, 20, 30];

fn newest(world: &World, node: Node) -> Ballot {
    world.machines[&node].disk.kept.as_ref().expect("it has a state").ballot
}

/// One member whose two others are down, after something was acknowledged.
fn alone(seed: u64) -> (World, Node, Vec<Node>) {
    let mut world = World::new(seed, &THREE);
    for _ in 0..3 {
        world.acknowledge();
    }
    world.run(0.5);
    let one = THREE[seed as usize % 3];
    let others: Vec<Node> = THREE.into_iter().filter(|&node| node != one).collect();
    others.iter().for_each(|&node| world.kill(node));
    (world, one, others)
}

#[test]
fn one_that_is_left_goes_on_and_others_are_admitted() {
    for seed in 0..30 {
        let (mut world, one, others) = alone(seed);
        world.run(4.0);
        assert!(world.leaders().is_empty());
        let held = newest(&world, one);
        assert_eq!(world.found_anew(one, held), Ok(()));
        world.acknowledge();
        // two of the lost come back with their old states, and make a majority of the old members
        others.iter().for_each(|&node| world.start(node));
        world.acknowledge();
        assert!(world.run_until(6.0, |world| world.agreed() && world.members(one).len() == 3), "seed {seed}");
        // and bear a loss as before
        world.kill(one);
        world.acknowledge();
    }
}

#[test]
fn old_members_that_come_back_apart_are_superseded_on_contact() {
    for seed in 0..30 {
        let (mut world, one, others) = alone(seed);
        world.run(4.0);
        let held = newest(&world, one);
        assert_eq!(world.found_anew(one, held), Ok(()));
        world.cut(&[one]);
        others.iter().for_each(|&node| world.start(node));
        assert!(world.run_until(4.0, |world| world.leaders().iter().any(|node| others.contains(node))));
        world.net.cuts.clear();
        assert!(world.run_until(6.0, |world| world.members(one).len() == 3), "seed {seed}");
        world.acknowledge();
        assert!(world.run_until(5.0, |world| world.agreed()), "seed {seed}");
    }
}

#[test]
fn nothing_is_founded_while_a_majority_answers_or_from_another_state() {
    let mut world = World::new(1, &THREE);
    world.acknowledge();
    world.run(4.0);
    let held = newest(&world, 10);
    assert_eq!(world.found_anew(10, held), Err(NewClusterError::MajorityReachable));
    world.kill(20);
    world.kill(30);
    world.run(1.0);
    assert_eq!(
        world.found_anew(10, held),
        Err(NewClusterError::MajorityReachable),
        "they may be back at once"
    );
    world.run(3.0);
    let other = Ballot { index: held.index + 1, ..held };
    assert_eq!(world.found_anew(10, other), Err(NewClusterError::StateMismatch(held)));
    world.kill(10);
    world.start(10);
    assert_eq!(world.found_anew(10, held), Err(NewClusterError::TooSoon));
    world.wipe(10);
    world.start(10);
    world.run(4.0);
    assert_eq!(world.found_anew(10, held), Err(NewClusterError::NoState));
}
