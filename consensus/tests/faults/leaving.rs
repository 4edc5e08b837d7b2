//! Leaving in order, by name.

use crate::world::World;
use lupinledge_consensus::Node;

const FIVE: [Node; 5] = [10, 20, 30, 40, 50];

const THREE: [Node; 3] = [10, 20, 30];

impl World {
    fn counts(&self, node: Node) -> Vec<Node> {
        self.process(node).map_or(Vec::new(), |member| member.queen.members().to_vec())
    }

    fn left(&self, node: Node) -> bool {
        self.process(node).is_none_or(|member| member.queen.can_stop())
    }

    fn held(&mut self) -> Node {
        assert!(self.run_until(4.0, |world| world.leaders().len() == 1), "nobody leads");
        self.leaders()[0]
    }

    /// A newcomer is started, and counts on all of these.
    fn joined(&mut self, new: Node, by: &[Node]) {
        self.start(new);
        let all = self.run_until(6.0, |world| by.iter().all(|&node| world.counts(node).contains(&new)));
        assert!(all, "{new} is admitted");
        self.run(0.5);
    }

    /// It is told to end, and ends when it may; how long that took.
    fn ends(&mut self, node: Node) -> f64 {
        let from = self.now;
        self.leave(node);
        assert!(self.run_until(3.0, |world| world.left(node)), "{node} waits");
        self.kill(node);
        self.now - from
    }
}

#[test]
fn one_with_a_successor_is_struck_and_told_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let holder = world.held();
        world.joined(40, &THREE);
        let other = THREE.into_iter().find(|&node| node != holder).unwrap();
        assert!(world.ends(other) < 0.7, "seed {seed}");
        assert!(!world.counts(holder).contains(&other) && world.counts(holder).len() == 3);
    }
}

#[test]
fn a_holder_strikes_itself_and_hands_over_at_once() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let holder = world.held();
        world.joined(40, &THREE);
        world.propose(holder);
        assert!(world.ends(holder) < 0.7, "seed {seed}");
        let from = world.now;
        let next = world.held();
        assert!(world.now - from < 0.6, "seed {seed}: after {} s", world.now - from);
        assert!(!world.counts(next).contains(&holder) && world.counts(next).len() == 3);
    }
}

#[test]
fn without_a_successor_nobody_waits_and_nobody_is_struck() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        world.held();
        world.run(0.5);
        for node in THREE {
            assert_eq!(world.ends(node), 0.0);
            world.run(1.0);
            world.start(node);
            world.held();
            world.run(1.0);
            assert!(THREE.iter().all(|&other| world.counts(other) == THREE), "seed {seed}");
        }
    }
}

#[test]
fn who_left_makes_room_for_the_next_that_comes() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let holder = world.held();
        world.run(0.5);
        world.ends(holder);
        let next = world.held();
        world.start(40);
        let swapped = world.run_until(0.8, |world| {
            let members = world.counts(next);
            members.contains(&40) && !members.contains(&holder)
        });
        assert!(swapped, "seed {seed}: {:?}", world.counts(next));
    }
}

#[test]
fn one_that_was_cut_off_while_all_it_knew_were_replaced_comes_back() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        world.held();
        world.run(0.5);
        for new in [40, 50, 60] {
            world.start(new);
        }
        let newest = |world: &World| world.watch.log.values().next_back().map(|value| value.members.clone());
        world.cut(&[30]);
        world.run(6.0);
        for old in [10, 20] {
            world.ends(old);
            world.run(2.5);
        }
        assert_eq!(newest(&world), Some(vec![40, 50, 60]), "seed {seed}");
        world.net.cuts.clear();
        world.hint(30, &[40, 50, 60]);
        assert!(world.run_until(4.0, |world| world.counts(30) == [30, 40, 50, 60]), "seed {seed}");
    }
}

/// The one that is named stands alone: several at once would put each other off.
#[test]
fn a_leaving_holder_names_the_next() {
    for seed in 0..60 {
        let mut world = World::bearing(seed, &FIVE, 1);
        world.net.delay = 0.06;
        let holder = world.held();
        world.run(1.0);
        world.ends(holder);
        let from = world.now;
        world.held();
        assert!(world.now - from < 0.6, "seed {seed}: after {} s", world.now - from);
    }
}

/// The named one ends before it can stand: the others do, after a moment.
#[test]
fn one_that_was_named_and_is_gone_is_not_waited_for() {
    for seed in 0..60 {
        let mut world = World::bearing(seed, &FIVE, 2);
        world.net.delay = 0.06;
        let holder = world.held();
        world.run(1.0);
        let next = FIVE.into_iter().find(|&node| node != holder).unwrap();
        world.start(60);
        assert!(world.run_until(4.0, |world| world.counts(holder).contains(&60)), "seed {seed}");
        world.leave(holder);
        assert!(world.run_until(3.0, |world| world.left(holder)), "seed {seed}");
        world.kill(holder);
        world.kill(next);
        let from = world.now;
        world.held();
        assert!(world.now - from < 2.5, "seed {seed}: after {} s", world.now - from);
    }
}

/// Else the next holder would judge the silence of the one that is gone from the beginning.
#[test]
fn a_leaving_holder_strikes_who_is_gone_first() {
    for seed in 0..60 {
        let mut world = World::bearing(seed, &FIVE, 1);
        let holder = world.held();
        world.run(1.0);
        let gone = FIVE.into_iter().rfind(|&node| node != holder).unwrap();
        world.kill(gone);
        world.run(0.1 + seed as f64 * 0.02);
        assert!(world.ends(holder) < 2.0, "seed {seed}");
        let next = world.held();
        assert!(!world.counts(next).contains(&gone), "seed {seed}: {:?}", world.counts(next));
    }
}

/// One leaves unheard while the holder is cut off for a moment; who comes next takes its place.
#[test]
fn nobody_is_admitted_beside_one_that_left_unheard() {
    for seed in 0..100 {
        let mut world = World::new(seed, &THREE);
        let holder = world.held();
        world.run(0.5);
        let gone = THREE.into_iter().rfind(|&node| node != holder).unwrap();
        world.cut(&[holder]);
        world.run(0.05 + (seed % 10) as f64 * 0.03);
        assert_eq!(world.ends(gone), 0.0, "it counts on, as nobody waits");
        world.start(40);
        world.run(0.1 + (seed / 10) as f64 * 0.03);
        world.net.cuts.clear();
        let admitted = |world: &mut World| world.counts(40).contains(&40);
        assert!(world.run_until(6.0, admitted), "seed {seed}");
        let beside = world.watch.log.values().find(|v| v.members.contains(&40) && v.members.contains(&gone));
        assert_eq!(beside.map(|v| &v.members), None, "seed {seed}");
    }
}

/// What it was told first holds members that are being changed, one of whom it never hears; then fewer are enough.
#[test]
fn a_newcomer_learns_on_while_members_change() {
    for seed in 0..200 {
        let mut world = World::bearing(seed, &[10, 20, 30, 40], 1);
        world.net.delay = 0.03;
        let holder = world.held();
        world.run(1.0);
        let [leaver, frozen] =
            [0, 1].map(|nth| *world.counts(holder).iter().filter(|m| **m != holder).nth(nth).unwrap());
        world.freeze(frozen, 30.0);
        world.leave(leaver);
        world.run((seed % 20) as f64 * 0.01);
        // it hears of the leaver from the others, too late
        world.seeds.retain(|&node| node != leaver);
        world.start(50);
        assert!(world.run_until(3.0, |world| world.left(leaver)), "seed {seed}");
        world.kill(leaver);
        let learnt = |world: &mut World| world.process(50).is_some_and(|member| !member.queen.is_learning());
        assert!(world.run_until(1.0, learnt), "seed {seed}: it waits for {frozen}");
    }
}

/// It was down while the members changed; all start again, and it asks and is promised by those it knew before any
/// holder is there. It hears with the first refusal that it doesn't count any more, and asks to be admitted.
#[test]
fn one_that_was_struck_unknowingly_learns_so_from_a_refusal() {
    for seed in 0..200 {
        let mut world = World::new(seed, &THREE);
        world.net.delay = [0.01, 0.03, 0.06][seed as usize % 3];
        let holder = world.held();
        world.run(0.5);
        let struck = THREE.into_iter().rfind(|&node| node != holder).unwrap();
        world.kill(struck);
        world.joined(5, &[holder]);
        let newest = |world: &World| world.watch.log.values().next_back().map(|value| value.members.clone());
        assert!(!newest(&world).unwrap().contains(&struck), "seed {seed}");
        let members = newest(&world).unwrap();
        members.iter().for_each(|&node| world.kill(node));
        members.iter().for_each(|&node| world.start(node));
        world.run((seed % 10) as f64 * 0.05);
        world.start(struck);
        let admitted = |world: &mut World| newest(world).unwrap().contains(&struck);
        assert!(world.run_until(2.5, admitted), "seed {seed}: {:?}", newest(&world));
    }
}

/// Half of the members are heard: any majority without the one that learns meets them.
#[test]
fn a_wiped_member_of_four_learns_from_two() {
    for seed in 0..60 {
        let mut world = World::bearing(seed, &[10, 20, 30, 40], 1);
        let holder = world.held();
        world.propose(holder);
        world.run(1.0);
        let others: Vec<Node> = world.counts(holder).into_iter().filter(|&node| node != holder).collect();
        let acked = world.watch.acked;
        // one is gone as another one's disk is lost: before it is struck, three of four have to hold
        [others[0], holder].iter().for_each(|&node| world.kill(node));
        world.wipe(others[1]);
        world.start(others[1]);
        world.start(holder);
        let back = world.run_until(4.0, |world| {
            world.leaders().into_iter().for_each(|node| world.propose(node));
            world.watch.acked > acked
        });
        assert!(back, "seed {seed}: no service");
    }
}

/// It is admitted while it waits, and struck then, or forgotten before it ends.
#[test]
fn who_asked_to_be_admitted_and_leaves_counts_no_more_once_it_has_ended() {
    for seed in 0..100 {
        let mut world = World::new(seed, &THREE);
        world.net.delay = 0.06;
        world.held();
        world.run(0.5);
        world.start(40);
        let learnt = |world: &mut World| world.process(40).is_some_and(|member| !member.queen.is_learning());
        assert!(world.run_until(3.0, learnt), "seed {seed}");
        world.run((seed % 10) as f64 * 0.02);
        assert!(world.ends(40) < 2.5, "seed {seed}");
        let end = world.watch.log.keys().next_back().copied().unwrap_or(0);
        world.run(3.0);
        let after = world.watch.log.range(end + 1..).find(|(_, value)| value.members.contains(&40));
        assert_eq!(after.map(|(_, value)| &value.members), None, "seed {seed}");
        assert!(!world.watch.log.values().next_back().unwrap().members.contains(&40), "seed {seed}");
    }
}

/// A newcomer is not settled in before its admission is committed, nor is anybody who knows of it: until then one more
/// loss may be one too many.
#[test]
fn settled_once_the_change_is_committed() {
    for seed in 0..20 {
        let mut world = World::new(seed, &THREE);
        let holder = world.held();
        let settled = |world: &World, node: Node| world.process(node).is_some_and(|m| m.queen.is_settled());
        assert!(world.run_until(2.0, |world| THREE.iter().all(|&node| settled(world, node))), "seed {seed}");
        world.start(40);
        // it counts by its own word as soon as it was told of the change
        assert!(world.run_until(6.0, |world| world.counts(holder).contains(&40)));
        assert!(!settled(&world, holder), "seed {seed}: a change is under way");
        let all = [10, 20, 30, 40];
        assert!(world.run_until(6.0, |world| all.iter().all(|&node| settled(world, node))), "seed {seed}");
        assert!(all.iter().all(|&node| world.counts(node) == all), "seed {seed}");
    }
}
