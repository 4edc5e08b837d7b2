//! Single fault scenarios.

use crate::world::World;
use lupinledge_consensus::Node;

const THREE: [Node; 3] = [10, 20, 30];
const FIVE: [Node; 5] = [10, 20, 30, 40, 50];

impl World {
    /// Waits until exactly one node leads, and returns it.
    pub fn leader(&mut self) -> Node {
        assert!(self.run_until(4.0, |world| world.leaders().len() == 1), "there is no single leader");
        self.leaders()[0]
    }

    /// Gets one more entry acknowledged; returns the number of acknowledged entries.
    pub fn acknowledge(&mut self) -> u64 {
        assert!(self.try_acknowledge(), "no entry was acknowledged");
        self.observer.acknowledgements
    }

    /// Proposes an entry; returns whether one is acknowledged within four seconds.
    pub fn try_acknowledge(&mut self) -> bool {
        let acknowledgements = self.observer.acknowledgements;
        self.run_until(4.0, |world| {
            if world.observer.acknowledgements == acknowledgements {
                world.leaders().into_iter().for_each(|node| world.propose(node));
            }
            world.observer.acknowledgements > acknowledgements
        })
    }

    /// Whether all running nodes have the newest acknowledged value as committed.
    pub fn agreed(&self) -> bool {
        self.running().into_iter().all(|node| {
            let committed = self.process(node).and_then(|member| member.replica.committed());
            committed.is_some_and(|(ballot, _)| ballot.index >= self.observer.acked)
        })
    }

    /// The members as far as this node knows.
    pub fn members(&self, node: Node) -> Vec<Node> {
        self.process(node).map_or(Vec::new(), |member| member.replica.members().to_vec())
    }

    fn others(&self, node: Node) -> Vec<Node> {
        self.running().into_iter().filter(|&other| other != node).collect()
    }
}

#[test]
fn first_member_in_rank_leads_and_all_members_receive_commits() {
    let mut world = World::new(1, &THREE);
    assert_eq!(world.leader(), 10);
    world.acknowledge();
    world.run(0.3);
    assert!(world.agreed());
    world.read_barrier(10);
    world.read_barrier(20);
    world.run(0.2);
    assert_eq!((world.observer.confirmations, world.pending_requests()), (1, 0));
}

#[test]
fn single_member_commits_alone() {
    let mut world = World::new(1, &[10]);
    assert_eq!(world.leader(), 10);
    world.acknowledge();
    world.read_barrier(10);
    world.run(0.1);
    assert_eq!(world.observer.confirmations, 1);
}

#[test]
fn idle_cluster_sends_few_messages() {
    let mut world = World::new(1, &THREE);
    world.leader();
    let messages_before = world.net.messages_sent;
    world.run(10.0);
    assert!(
        world.net.messages_sent - messages_before <= 280,
        "{} messages in 10 s",
        world.net.messages_sent - messages_before
    );
}

#[test]
fn member_with_wiped_disk_does_not_vote() {
    let mut world = World::new(2, &THREE);
    let a = world.leader();
    let others = world.others(a);
    let (b, c) = (others[0], others[1]);
    world.cut(&[c]);
    let acknowledgements = world.acknowledge();
    world.kill(b);
    world.wipe(a);
    world.net.cuts.clear();
    world.start(a);
    // Only an outdated member and one with an empty disk are left: they must not elect a leader.
    assert!(!world.run_until(20.0, |world| !world.leaders().is_empty()));
    assert!(world.process(a).is_some_and(|member| member.replica.is_learning()));
    world.start(b);
    assert_eq!(world.acknowledge(), acknowledgements + 1);
    assert!(world.run_until(3.0, |world| world.agreed()));
    assert!(!world.process(a).is_some_and(|member| member.replica.is_learning()));
}

#[test]
fn two_of_five_lose_their_disks_while_the_others_lose_power() {
    let mut world = World::new(3, &FIVE);
    let a = world.leader();
    let others = world.others(a);
    world.cut(&others[2..]);
    let acknowledgements = world.acknowledge();
    world.wipe(a);
    world.wipe(others[0]);
    others[1..].iter().for_each(|&node| world.kill(node));
    world.net.cuts.clear();
    FIVE.iter().for_each(|&node| world.start(node));
    assert_eq!(world.acknowledge(), acknowledgements + 1);
    assert!(world.run_until(3.0, |world| world.agreed()));
}

#[test]
fn leader_resumed_after_a_pause_gets_nothing_confirmed() {
    (0..20).for_each(resumed_leader_confirms_nothing);
}

fn resumed_leader_confirms_nothing(seed: u64) {
    let mut world = World::new(seed, &THREE);
    let old = world.leader();
    world.acknowledge();
    world.read_barrier(old);
    world.freeze(old, 4.0);
    let acknowledgements = world.observer.acknowledgements;
    let others_acknowledged = world.run_until(3.5, |world| {
        if world.observer.acknowledgements == acknowledgements {
            world.others(old).into_iter().for_each(|node| world.propose(node));
        }
        world.observer.acknowledgements > acknowledgements
    });
    assert!(others_acknowledged, "the others did not elect a leader and commit");
    let confirmations = world.observer.confirmations;
    // At the moment the leader resumes, answers to older heartbeats are waiting to be read.
    world.freeze(old, 0.0);
    world.propose(old);
    world.read_barrier(old);
    world.run(0.01);
    assert_eq!(world.process(old).and_then(|member| member.leading_epoch), None);
    world.run(3.0);
    // The read barrier from before the pause may still be confirmed by answers from before the pause.
    assert!(world.observer.confirmations <= confirmations + 1);
    assert_eq!((world.observer.acknowledgements, world.pending_requests()), (acknowledgements + 1, 0));
    assert!(world.agreed());
}

#[test]
fn minority_neither_commits_nor_confirms() {
    let mut world = World::new(5, &FIVE);
    let old = world.leader();
    world.acknowledge();
    let other = world.others(old)[0];
    world.cut(&[old, other]);
    world.propose(old);
    world.read_barrier(old);
    let (acknowledgements, confirmations) = (world.observer.acknowledgements, world.observer.confirmations);
    assert!(world.run_until(4.0, |world| world.leaders().iter().any(|&node| node != old && node != other)));
    assert!(world.run_until(2.0, |world| world.pending_requests() == 0));
    for _ in 0..20 {
        for node in [old, other] {
            world.propose(node);
            world.read_barrier(node);
        }
        world.run(0.1);
    }
    assert_eq!(
        (world.observer.acknowledgements, world.observer.confirmations),
        (acknowledgements, confirmations)
    );
    world.acknowledge();
    world.net.cuts.clear();
    assert!(world.run_until(2.0, |world| world.agreed()));
}

#[test]
fn replaced_member_is_removed_and_its_replacement_votes() {
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
    // The new member and one of the old members are a majority now.
    world.kill(20);
    world.acknowledge();
    world.wipe(40);
    world.start(20);
    world.start(40);
    world.acknowledge();
    assert!(world.run_until(3.0, |world| world.agreed()));
}

#[test]
fn cluster_grows_from_three_to_five_and_tolerates_two_losses() {
    let mut world = World::tolerating(7, &THREE, 2);
    world.start(40);
    world.start(50);
    assert!(world.run_until(6.0, |world| FIVE.iter().all(|&node| world.members(node) == FIVE)));
    world.run(0.5);
    world.acknowledge();
    world.kill(10);
    world.kill(20);
    world.acknowledge();
    world.run(8.0);
    assert_eq!(world.members(30), FIVE, "no member is removed without a replacement");
    world.start(60);
    world.start(70);
    assert!(world.run_until(9.0, |world| world.members(70) == [30, 40, 50, 60, 70]));
}

#[test]
fn removed_member_that_comes_back_is_admitted_again() {
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
fn leader_with_a_stalled_disk_steps_down() {
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
fn all_members_restart_from_their_disks() {
    let mut world = World::new(10, &THREE);
    world.leader();
    for round in 1..=5 {
        world.acknowledge();
        THREE.iter().for_each(|&node| world.kill(node));
        world.run(0.5);
        THREE.iter().for_each(|&node| world.start(node));
        let restarted_at = world.now;
        assert_eq!(world.acknowledge(), 2 * round);
        assert!(world.now - restarted_at < 0.8, "first acknowledgement after {} s", world.now - restarted_at);
    }
    world.run(0.5);
    assert!(world.agreed());
}
