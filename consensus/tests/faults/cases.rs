//! Named cases.

use crate::world::World;
use lupinledge_consensus::Node;

const THREE: [Node; 3] = [10, 20, 30];
const FIVE: [Node; 5] = [10, 20, 30, 40, 50];

impl World {
    /// The only one that leads, once there is one.
    pub fn leader(&mut self) -> Node {
        assert!(self.run_until(4.0, |world| world.leaders().len() == 1), "nobody leads");
        self.leaders()[0]
    }

    /// Gets one more entry acknowledged; returns the number of acknowledged ones.
    pub fn acknowledge(&mut self) -> u64 {
        assert!(self.acknowledges(), "nothing is acknowledged");
        self.watch.acks
    }

    /// Whether one more entry gets acknowledged within four seconds.
    pub fn acknowledges(&mut self) -> bool {
        let acks = self.watch.acks;
        self.run_until(4.0, |world| {
            if world.watch.acks == acks {
                world.leaders().into_iter().for_each(|node| world.propose(node));
            }
            world.watch.acks > acks
        })
    }

    /// Does everybody who runs know the newest acknowledged value as committed?
    pub fn agreed(&self) -> bool {
        self.running().into_iter().all(|node| {
            let committed = self.process(node).and_then(|member| member.queen.committed());
            committed.is_some_and(|(ballot, _)| ballot.index >= self.watch.acked)
        })
    }

    pub fn members(&self, node: Node) -> Vec<Node> {
        self.process(node).map_or(Vec::new(), |member| member.queen.members().to_vec())
    }

    fn others(&self, node: Node) -> Vec<Node> {
        self.running().into_iter().filter(|&other| other != node).collect()
    }
}

#[test]
fn the_first_in_order_leads_and_all_learn_what_is_committed() {
    let mut world = World::new(1, &THREE);
    assert_eq!(world.leader(), 10);
    world.acknowledge();
    world.run(0.3);
    assert!(world.agreed());
    world.confirm(10);
    world.confirm(20);
    world.run(0.2);
    assert_eq!((world.watch.confirms, world.unanswered()), (1, 0));
}

#[test]
fn one_alone_agrees_with_itself() {
    let mut world = World::new(1, &[10]);
    assert_eq!(world.leader(), 10);
    world.acknowledge();
    world.confirm(10);
    world.run(0.1);
    assert_eq!(world.watch.confirms, 1);
}

#[test]
fn quiet_costs_little() {
    let mut world = World::new(1, &THREE);
    world.leader();
    let words = world.net.words;
    world.run(10.0);
    assert!(world.net.words - words <= 280, "{} words in 10 s", world.net.words - words);
}

#[test]
fn a_wiped_member_is_no_voter() {
    let mut world = World::new(2, &THREE);
    let a = world.leader();
    let rest = world.others(a);
    let (b, c) = (rest[0], rest[1]);
    world.cut(&[c]);
    let acks = world.acknowledge();
    world.kill(b);
    world.wipe(a);
    world.net.cuts.clear();
    world.start(a);
    // Only the stale one and the empty one are left: they must not go on.
    assert!(!world.run_until(20.0, |world| !world.leaders().is_empty()));
    assert!(world.process(a).is_some_and(|member| member.queen.is_learning()));
    world.start(b);
    assert_eq!(world.acknowledge(), acks + 1);
    assert!(world.run_until(3.0, |world| world.agreed()));
    assert!(!world.process(a).is_some_and(|member| member.queen.is_learning()));
}

#[test]
fn two_of_five_lose_their_disks_while_the_others_lose_power() {
    let mut world = World::new(3, &FIVE);
    let a = world.leader();
    let rest = world.others(a);
    world.cut(&rest[2..]);
    let acks = world.acknowledge();
    world.wipe(a);
    world.wipe(rest[0]);
    rest[1..].iter().for_each(|&node| world.kill(node));
    world.net.cuts.clear();
    FIVE.iter().for_each(|&node| world.start(node));
    assert_eq!(world.acknowledge(), acks + 1);
    assert!(world.run_until(3.0, |world| world.agreed()));
}

#[test]
fn a_thawed_holder_gets_nothing_confirmed() {
    (0..20).for_each(thawed);
}

fn thawed(seed: u64) {
    let mut world = World::new(seed, &THREE);
    let old = world.leader();
    world.acknowledge();
    world.confirm(old);
    world.freeze(old, 4.0);
    let acks = world.watch.acks;
    let done = world.run_until(3.5, |world| {
        if world.watch.acks == acks {
            world.others(old).into_iter().for_each(|node| world.propose(node));
        }
        world.watch.acks > acks
    });
    assert!(done, "the others go on");
    let confirms = world.watch.confirms;
    // At the moment it thaws, with answers to older heartbeats waiting to be read.
    world.freeze(old, 0.0);
    world.propose(old);
    world.confirm(old);
    world.run(0.01);
    assert_eq!(world.process(old).and_then(|member| member.leads), None);
    world.run(3.0);
    // What was asked before it froze may be confirmed by answers of that time, as of that time.
    assert!(world.watch.confirms <= confirms + 1);
    assert_eq!((world.watch.acks, world.unanswered()), (acks + 1, 0));
    assert!(world.agreed());
}

#[test]
fn a_minority_neither_commits_nor_confirms() {
    let mut world = World::new(5, &FIVE);
    let old = world.leader();
    world.acknowledge();
    let friend = world.others(old)[0];
    world.cut(&[old, friend]);
    world.propose(old);
    world.confirm(old);
    let (acks, confirms) = (world.watch.acks, world.watch.confirms);
    assert!(world.run_until(4.0, |world| world.leaders().iter().any(|&node| node != old && node != friend)));
    assert!(world.run_until(2.0, |world| world.unanswered() == 0));
    for _ in 0..20 {
        for node in [old, friend] {
            world.propose(node);
            world.confirm(node);
        }
        world.run(0.1);
    }
    assert_eq!((world.watch.acks, world.watch.confirms), (acks, confirms));
    world.acknowledge();
    world.net.cuts.clear();
    assert!(world.run_until(2.0, |world| world.agreed()));
}

#[test]
fn a_replaced_member_is_struck_and_the_new_one_votes() {
    let mut world = World::new(6, &THREE);
    world.leader();
    world.acknowledge();
    world.kill(10);
    world.run(1.0);
    world.start(40);
    let joined =
        world.run_until(9.0, |world| world.members(20) == [20, 30, 40] && world.members(40) == [20, 30, 40]);
    assert!(joined, "{:?}", world.members(20));
    world.run(0.5);
    // The new one and one of the old ones are a majority now.
    world.kill(20);
    world.acknowledge();
    world.wipe(40);
    world.start(20);
    world.start(40);
    world.acknowledge();
    assert!(world.run_until(3.0, |world| world.agreed()));
}

#[test]
fn five_grow_from_three_and_bear_two_losses() {
    let mut world = World::bearing(7, &THREE, 2);
    world.start(40);
    world.start(50);
    assert!(world.run_until(6.0, |world| FIVE.iter().all(|&node| world.members(node) == FIVE)));
    world.run(0.5);
    world.acknowledge();
    world.kill(10);
    world.kill(20);
    world.acknowledge();
    world.run(8.0);
    assert_eq!(world.members(30), FIVE, "nobody is struck without a successor");
    world.start(60);
    world.start(70);
    assert!(world.run_until(9.0, |world| world.members(70) == [30, 40, 50, 60, 70]));
}

#[test]
fn a_struck_member_that_comes_back_is_admitted_again() {
    let mut world = World::new(8, &THREE);
    world.start(40);
    assert!(world.run_until(6.0, |world| world.members(10) == [10, 20, 30, 40]));
    world.kill(10);
    assert!(world.run_until(12.0, |world| world.members(20) == [20, 30, 40]));
    world.start(10);
    assert!(world.run_until(6.0, |world| world.members(10) == [10, 20, 30, 40]));
    world.acknowledge();
}

#[test]
fn a_holder_with_a_stalled_disk_steps_down() {
    let mut world = World::new(9, &THREE);
    let old = world.leader();
    let until = world.now + 8.0;
    world.machines.entry(old).and_modify(|machine| machine.disk.stalled_until = until);
    world.acknowledge();
    assert!(world.run_until(4.0, |world| world.leaders().iter().any(|&node| node != old)));
    world.acknowledge();
    world.run(3.0);
    assert!(world.now < until && !world.leaders().contains(&old));
    world.run(8.0);
    assert!(world.agreed());
}

#[test]
fn everything_restarts_from_the_disks() {
    let mut world = World::new(10, &THREE);
    world.leader();
    for round in 1..=5 {
        world.acknowledge();
        THREE.iter().for_each(|&node| world.kill(node));
        world.run(0.5);
        THREE.iter().for_each(|&node| world.start(node));
        let began = world.now;
        assert_eq!(world.acknowledge(), 2 * round);
        assert!(world.now - began < 0.8, "back after {} s", world.now - began);
    }
    world.run(0.5);
    assert!(world.agreed());
}
