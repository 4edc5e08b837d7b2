//! Orderly shutdown of members: single scenarios.

use crate::world::World;
use lupinledge_consensus::Node;

const FIVE: [Node; 5] = [10, 20, 30, 40, 50];

const THREE: [Node; 3] = [10, 20, 30];

impl World {
    /// The members as far as this node knows.
    fn members_of(&self, node: Node) -> Vec<Node> {
        self.process(node).map_or(Vec::new(), |member| member.replica.members().to_vec())
    }

    /// Whether the node is down or may stop.
    fn can_stop(&self, node: Node) -> bool {
        self.process(node).is_none_or(|member| member.replica.can_stop())
    }

    /// Waits until exactly one node leads, and returns it.
    fn wait_for_leader(&mut self) -> Node {
        assert!(self.run_until(4.0, |world| world.leaders().len() == 1), "there is no single leader");
        self.leaders()[0]
    }

    /// Starts a new node and waits until all of `known_by` have it as a member.
    fn admit(&mut self, new: Node, known_by: &[Node]) {
        self.start(new);
        let all =
            self.run_until(6.0, |world| known_by.iter().all(|&node| world.members_of(node).contains(&new)));
        assert!(all, "{new} is not admitted");
        self.run(0.5);
    }

    /// Tells the node to shut down and stops it as soon as it may stop; returns how long that took.
    fn shut_down(&mut self, node: Node) -> f64 {
        let from = self.now;
        self.leave(node);
        assert!(self.run_until(3.0, |world| world.can_stop(node)), "{node} may not stop");
        self.kill(node);
        self.now - from
    }
}

#[test]
fn leaving_member_with_a_replacement_is_removed_and_notified_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let leader = world.wait_for_leader();
        world.admit(40, &THREE);
        let other = THREE.into_iter().find(|&node| node != leader).unwrap();
        assert!(world.shut_down(other) < 0.7, "seed {seed}");
        assert!(!world.members_of(leader).contains(&other) && world.members_of(leader).len() == 3);
    }
}

#[test]
fn leaving_leader_removes_itself_and_hands_over_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let leader = world.wait_for_leader();
        world.admit(40, &THREE);
        world.propose(leader);
        assert!(world.shut_down(leader) < 0.7, "seed {seed}");
        let from = world.now;
        let next = world.wait_for_leader();
        assert!(world.now - from < 0.6, "seed {seed}: after {} s", world.now - from);
        assert!(!world.members_of(next).contains(&leader) && world.members_of(next).len() == 3);
    }
}

#[test]
fn without_a_replacement_a_leaving_member_stops_at_once_and_stays_member() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        world.wait_for_leader();
        world.run(0.5);
        for node in THREE {
            assert_eq!(world.shut_down(node), 0.0);
            world.run(1.0);
            world.start(node);
            world.wait_for_leader();
            world.run(1.0);
            assert!(THREE.iter().all(|&other| world.members_of(other) == THREE), "seed {seed}");
        }
    }
}

#[test]
fn stopped_member_is_replaced_by_the_next_joining_node() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let leader = world.wait_for_leader();
        world.run(0.5);
        world.shut_down(leader);
        let next = world.wait_for_leader();
        world.start(40);
        let replaced = world.run_until(0.8, |world| {
            let members = world.members_of(next);
            members.contains(&40) && !members.contains(&leader)
        });
        assert!(replaced, "seed {seed}: {:?}", world.members_of(next));
    }
}

#[test]
fn member_cut_off_while_all_others_were_replaced_rejoins() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        world.wait_for_leader();
        world.run(0.5);
        for new in [40, 50, 60] {
            world.start(new);
        }
        let newest =
            |world: &World| world.observer.log.values().next_back().map(|value| value.members.clone());
        world.cut(&[30]);
        world.run(6.0);
        for old in [10, 20] {
            world.shut_down(old);
            world.run(2.5);
        }
        assert_eq!(newest(&world), Some(vec![40, 50, 60]), "seed {seed}");
        world.net.cuts.clear();
        world.hint(30, &[40, 50, 60]);
        assert!(world.run_until(4.0, |world| world.members_of(30) == [30, 40, 50, 60]), "seed {seed}");
    }
}

/// Only the named successor becomes a candidate: several at once would reject each other.
#[test]
fn leaving_leader_names_its_successor() {
    for seed in 0..60 {
        let mut world = World::tolerating(seed, &FIVE, 1);
        world.net.max_delay = 0.06;
        let leader = world.wait_for_leader();
        world.run(1.0);
        world.shut_down(leader);
        let from = world.now;
        world.wait_for_leader();
        assert!(world.now - from < 0.6, "seed {seed}: after {} s", world.now - from);
    }
}

/// The named successor stops before it can become a candidate: the others do so after a short delay.
#[test]
fn lost_successor_delays_the_election_only_briefly() {
    for seed in 0..60 {
        let mut world = World::tolerating(seed, &FIVE, 2);
        world.net.max_delay = 0.06;
        let leader = world.wait_for_leader();
        world.run(1.0);
        let next = FIVE.into_iter().find(|&node| node != leader).unwrap();
        world.start(60);
        assert!(world.run_until(4.0, |world| world.members_of(leader).contains(&60)), "seed {seed}");
        world.leave(leader);
        assert!(world.run_until(3.0, |world| world.can_stop(leader)), "seed {seed}");
        world.kill(leader);
        world.kill(next);
        let from = world.now;
        world.wait_for_leader();
        assert!(world.now - from < 2.5, "seed {seed}: after {} s", world.now - from);
    }
}

/// Otherwise the next leader would measure the silence of the lost member from zero.
#[test]
fn leaving_leader_removes_lost_members_first() {
    for seed in 0..60 {
        let mut world = World::tolerating(seed, &FIVE, 1);
        let leader = world.wait_for_leader();
        world.run(1.0);
        let lost = FIVE.into_iter().rfind(|&node| node != leader).unwrap();
        world.kill(lost);
        world.run(0.1 + seed as f64 * 0.02);
        assert!(world.shut_down(leader) < 2.0, "seed {seed}");
        let next = world.wait_for_leader();
        assert!(!world.members_of(next).contains(&lost), "seed {seed}: {:?}", world.members_of(next));
    }
}

/// A member leaves unnoticed while the leader is cut off for a moment; the next joining node replaces it.
#[test]
fn no_node_is_admitted_beside_a_member_that_left_unnoticed() {
    for seed in 0..100 {
        let mut world = World::new(seed, &THREE);
        let leader = world.wait_for_leader();
        world.run(0.5);
        let lost = THREE.into_iter().rfind(|&node| node != leader).unwrap();
        world.cut(&[leader]);
        world.run(0.05 + (seed % 10) as f64 * 0.03);
        assert_eq!(
            world.shut_down(lost),
            0.0,
            "it stays a member and stops at once, as no node waits to be admitted"
        );
        world.start(40);
        world.run(0.1 + (seed / 10) as f64 * 0.03);
        world.net.cuts.clear();
        let admitted = |world: &mut World| world.members_of(40).contains(&40);
        assert!(world.run_until(6.0, admitted), "seed {seed}");
        let both_members =
            world.observer.log.values().find(|v| v.members.contains(&40) && v.members.contains(&lost));
        assert_eq!(both_members.map(|v| &v.members), None, "seed {seed}");
    }
}

/// The first answer contains a membership change in progress, and one of its members never answers. Once the change is
/// complete, fewer answers are enough.
#[test]
fn joining_node_learns_during_a_membership_change() {
    for seed in 0..200 {
        let mut world = World::tolerating(seed, &[10, 20, 30, 40], 1);
        world.net.max_delay = 0.03;
        let leader = world.wait_for_leader();
        world.run(1.0);
        let [leaving, frozen] =
            [0, 1].map(|nth| *world.members_of(leader).iter().filter(|m| **m != leader).nth(nth).unwrap());
        world.freeze(frozen, 30.0);
        world.leave(leaving);
        world.run((seed % 20) as f64 * 0.01);
        // It gets to know the leaving member only from the others, too late.
        world.seeds.retain(|&node| node != leaving);
        world.start(50);
        assert!(world.run_until(3.0, |world| world.can_stop(leaving)), "seed {seed}");
        world.kill(leaving);
        let has_learnt =
            |world: &mut World| world.process(50).is_some_and(|member| !member.replica.is_learning());
        assert!(world.run_until(1.0, has_learnt), "seed {seed}: it still waits for {frozen}");
    }
}

/// A member was down while it was removed. Then all nodes restart, and it becomes a candidate and gets promises from
/// the members it knew before there is a leader. The first refusal tells it that it is no longer a member, and it asks
/// to be admitted.
#[test]
fn member_removed_while_down_learns_of_it_from_a_refusal() {
    for seed in 0..200 {
        let mut world = World::new(seed, &THREE);
        world.net.max_delay = [0.01, 0.03, 0.06][seed as usize % 3];
        let leader = world.wait_for_leader();
        world.run(0.5);
        let removed = THREE.into_iter().rfind(|&node| node != leader).unwrap();
        world.kill(removed);
        world.admit(5, &[leader]);
        let newest =
            |world: &World| world.observer.log.values().next_back().map(|value| value.members.clone());
        assert!(!newest(&world).unwrap().contains(&removed), "seed {seed}");
        let members = newest(&world).unwrap();
        members.iter().for_each(|&node| world.kill(node));
        members.iter().for_each(|&node| world.start(node));
        world.run((seed % 10) as f64 * 0.05);
        world.start(removed);
        let admitted = |world: &mut World| newest(world).unwrap().contains(&removed);
        assert!(world.run_until(2.5, admitted), "seed {seed}: {:?}", newest(&world));
    }
}

/// Half of the members answer: any majority, even without the learning member, includes one of them.
#[test]
fn wiped_member_of_four_learns_from_two() {
    for seed in 0..60 {
        let mut world = World::tolerating(seed, &[10, 20, 30, 40], 1);
        let leader = world.wait_for_leader();
        world.propose(leader);
        world.run(1.0);
        let others: Vec<Node> = world.members_of(leader).into_iter().filter(|&node| node != leader).collect();
        let acked = world.observer.acked;
        // One member is lost when another one's disk is: before it is removed, three of four need to have the state.
        [others[0], leader].iter().for_each(|&node| world.kill(node));
        world.wipe(others[1]);
        world.start(others[1]);
        world.start(leader);
        let recovered = world.run_until(4.0, |world| {
            world.leaders().into_iter().for_each(|node| world.propose(node));
            world.observer.acked > acked
        });
        assert!(recovered, "seed {seed}: no proposal is acknowledged");
    }
}

/// The node is either admitted while it waits and then removed, or its request has expired before it stops.
#[test]
fn joining_node_that_leaves_is_no_member_after_it_stopped() {
    for seed in 0..100 {
        let mut world = World::new(seed, &THREE);
        world.net.max_delay = 0.06;
        world.wait_for_leader();
        world.run(0.5);
        world.start(40);
        let has_learnt =
            |world: &mut World| world.process(40).is_some_and(|member| !member.replica.is_learning());
        assert!(world.run_until(3.0, has_learnt), "seed {seed}");
        world.run((seed % 10) as f64 * 0.02);
        assert!(world.shut_down(40) < 2.5, "seed {seed}");
        let end = world.observer.log.keys().next_back().copied().unwrap_or(0);
        world.run(3.0);
        let after = world.observer.log.range(end + 1..).find(|(_, value)| value.members.contains(&40));
        assert_eq!(after.map(|(_, value)| &value.members), None, "seed {seed}");
        assert!(!world.observer.log.values().next_back().unwrap().members.contains(&40), "seed {seed}");
    }
}

/// A new node is not settled before its admission is committed, and neither is any node that has received the change:
/// until then, one more loss may be too many.
#[test]
fn node_is_settled_once_the_membership_change_is_committed() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let leader = world.wait_for_leader();
        let is_settled =
            |world: &World, node: Node| world.process(node).is_some_and(|m| m.replica.is_settled());
        assert!(
            world.run_until(2.0, |world| THREE.iter().all(|&node| is_settled(world, node))),
            "seed {seed}"
        );
        world.start(40);
        // It considers itself a member as soon as it has received the change.
        assert!(world.run_until(6.0, |world| world.members_of(leader).contains(&40)));
        assert!(!is_settled(&world, leader), "seed {seed}: settled although a change is in progress");
        let all = [10, 20, 30, 40];
        assert!(world.run_until(6.0, |world| all.iter().all(|&node| is_settled(world, node))), "seed {seed}");
        assert!(all.iter().all(|&node| world.members_of(node) == all), "seed {seed}");
    }
}

/// Guards against refused operation keys: a second member was removed before the others had fetched what the first held.
#[test]
fn removals_wait_while_the_host_defers_them_for_a_bounded_time() {
    for seed in 0..20 {
        let mut world = World::tolerating(seed, &FIVE, 1);
        let leader = world.wait_for_leader();
        world.run(1.0);
        let leaving = FIVE.into_iter().rfind(|&node| node != leader).unwrap();
        let from = world.now;
        let defer = |world: &mut World, deferred: bool| {
            world.call(leader, |member, now, _| member.replica.defer_removals(now, deferred));
        };
        defer(&mut world, true);
        world.leave(leaving);
        let removed = world.run_until(4.0, |world| {
            defer(world, true);
            !world.members_of(leader).contains(&leaving)
        });
        assert!(removed, "seed {seed}: put off for ever");
        assert!(world.now - from > 2.5, "seed {seed}: removed after {} s", world.now - from);
    }
}
