//! Digests and cards reach all, and what it costs.

mod net;

use lupinledge_membership::{Digest, Member, Membership, Settings, Standing};
use net::{card, index, node, Net};

/// A calm network whose hosts pull what is newer; returns in how many seconds something new at one reached
/// all.
fn spread(seed: u64, n: usize, loss: f64) -> f64 {
    let mut net = Net::new(n, 3, loss, seed);
    net.pulls = true;
    net.run(106.0 + (seed % 8) as f64 * 0.05);
    let from = net.chance.usize(0..n);
    let new = Digest { epoch: 3, holder: node(from), state: (3, 1), list: (3, 7), fingerprint: 0 };
    net.set_digest(from, new);
    let start = net.now;
    while net.procs.iter().flat_map(|p| &p.swarm).any(|s| *s.digest() != new) {
        net.run(net.now + 0.02);
        assert!(net.now < start + 10.0, "never");
    }
    net.now - start
}

#[test]
fn digests_reach_all_in_time() {
    bolero::check!().exhaustive().with_generator(0u64..80).for_each(|seed| {
        let took = spread(*seed, 12, 0.1);
        assert!(took <= 1.5, "{took}");
    });
}

#[test]
fn digests_reach_many_in_time() {
    let took: Vec<f64> = (0..6).map(|seed| spread(seed, 64, 0.05)).collect();
    assert!(took.iter().all(|t| *t <= 2.0), "{took:?}");
}

#[test]
fn few_packets_a_second() {
    for (n, loss) in [(12, 0.0), (12, 0.05), (64, 0.0), (64, 0.05)] {
        let mut net = Net::new(n, 3, loss, 7);
        net.run(110.0);
        let before: u64 = net.procs.iter().map(|p| p.sent).sum();
        net.run(130.0);
        let rate = (net.procs.iter().map(|p| p.sent).sum::<u64>() - before) as f64 / 20.0 / n as f64;
        println!("{n} nodes, loss {loss}: {rate:.2} packets a second and node");
        assert!(rate <= 8.0, "{n} {loss}: {rate}");
    }
}

/// Who tells clients where to go knows within one way whether a process may be named.
#[test]
fn the_core_hears_at_once_who_is_ready() {
    let mut net = Net::new(24, 3, 0.0, 5);
    net.run(106.0);
    for ready in [false, true] {
        net.set_card(9, lupinledge_membership::Card { ready, ..card(9, 3) });
        net.run(net.now + 0.065);
        for proc in &net.procs[..3] {
            let seen = proc.swarm.as_ref().and_then(|s| s.member(node(9))).map(|m| m.card.ready);
            assert_eq!(seen, Some(ready));
        }
    }
}

#[test]
fn cards_reach_all() {
    let mut net = Net::new(24, 3, 0.05, 3);
    net.run(106.0);
    let new = lupinledge_membership::Card { ready: false, leaving: true, ..card(9, 3) };
    net.set_card(9, new.clone());
    net.run(108.5);
    for (i, proc) in net.procs.iter().enumerate().filter(|p| p.0 != 9) {
        let seen = proc.swarm.as_ref().and_then(|s| s.member(node(9))).map(|m| m.card.clone());
        assert_eq!(seen.as_ref(), Some(&new), "{i}");
    }
    // its load is told directly, without being passed on
    net.set_card(9, lupinledge_membership::Card { load: 20, ..new.clone() });
    net.run(net.now + 15.0);
    let seen = net.procs[0].swarm.as_ref().and_then(|s| s.member(node(9))).map(|m| m.card.load);
    assert_eq!(seen, Some(20));
}

#[test]
fn edges_are_counted_over_time() {
    let mut net = Net::new(12, 2, 0.0, 5);
    net.run(105.0);
    [4, 5, 6].iter().for_each(|i| net.kill(*i));
    net.run(111.0);
    let most = |net: &Net, i: usize, span| {
        net.procs[i].swarm.as_ref().map(|s| s.max_edge_count(net.now + i as f64, span))
    };
    assert_eq!(most(&net, 0, 1.0), Some(6));
    assert_eq!(most(&net, 7, 1.0), Some(6));
    assert_eq!(most(&net, 7, 9.0), Some(9));
}

#[test]
fn one_cut_off_for_long_finds_back() {
    let mut net = Net::new(16, 2, 0.02, 11);
    net.run(106.0);
    net.cut(|i| usize::from(i == 7));
    // the others forget it; it does not forget them
    net.run(280.0);
    assert!((0..16).filter(|i| *i != 7).all(|i| net.view(i, 7).is_none()));
    assert!((0..16).filter(|i| *i != 7).all(|i| net.view(7, i) == Some(Standing::Gone)));
    net.cut(|_| 0);
    net.run(284.0);
    net.check(3.0, 4.0, false).unwrap();
}

#[test]
fn ahead_and_few() {
    let mut net = Net::new(12, 3, 0.0, 2);
    net.run(105.0);
    let new = Digest { state: (1, 1), ..Digest::default() };
    net.set_digest(4, new);
    net.run(107.0);
    let swarm = net.procs[5].swarm.as_mut().unwrap();
    assert_eq!(swarm.take_ahead(), Some((node(4), new)));
    let edge = |m: &Member| !m.card.core;
    let mut some = swarm.sample_alive(5, edge);
    some.sort_unstable();
    some.dedup();
    assert_eq!(some.len(), 5);
    assert!(some.iter().all(|n| index(*n) >= 3 && index(*n) != 5));
    assert_eq!(swarm.sample_alive(100, edge).len(), 8);
}

/// Other seeds take the place of those before, and this process is none of them.
#[test]
fn other_seeds_are_asked() {
    let (me, one, two) = (node(0), node(1), node(2));
    let settings = Settings::new(me, 1, card(0, 1), vec![one], 7);
    let mut swarm = Membership::new(0.0, settings);
    let asked = |swarm: &mut Membership, from: u32| {
        let out = (from * 20..(from + 5) * 20).flat_map(|t| swarm.tick(f64::from(t) / 20.0));
        out.map(|(to, _)| to).collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(asked(&mut swarm, 0), [one].into());
    swarm.set_seeds(vec![two, me]);
    asked(&mut swarm, 5); // a question that is under way is asked to its end
    assert_eq!(asked(&mut swarm, 10), [two].into());
}
