//! Digests and cards reach all processes, with a bounded number of packets.

mod net;

use lupinledge_membership::{Digest, Member, Membership, Settings, Standing};
use net::{card, index, node, Net};

/// Runs a network without faults whose hosts fetch what is newer. Returns the seconds until a new digest of
/// one process reached all.
fn seconds_to_reach_all(seed: u64, n: usize, loss: f64) -> f64 {
    let mut net = Net::new(n, 3, loss, seed);
    net.pull_digests = true;
    net.run(106.0 + (seed % 8) as f64 * 0.05);
    let from = net.rng.usize(0..n);
    let new = Digest { epoch: 3, holder: node(from), state: (3, 1), list: (3, 7), fingerprint: 0 };
    net.set_digest(from, new);
    let start = net.now;
    while net.procs.iter().flat_map(|p| &p.membership).any(|m| *m.digest() != new) {
        net.run(net.now + 0.02);
        assert!(net.now < start + 10.0, "digest did not reach all processes");
    }
    net.now - start
}

#[test]
fn digests_reach_all_processes_in_time() {
    bolero::check!().exhaustive().with_generator(0u64..80).for_each(|seed| {
        let took = seconds_to_reach_all(*seed, 12, 0.1);
        assert!(took <= 1.5, "{took}");
    });
}

#[test]
fn digests_reach_many_processes_in_time() {
    let took: Vec<f64> = (0..6).map(|seed| seconds_to_reach_all(seed, 64, 0.05)).collect();
    assert!(took.iter().all(|t| *t <= 2.0), "{took:?}");
}

#[test]
fn the_packet_rate_is_bounded() {
    for (n, loss) in [(12, 0.0), (12, 0.05), (64, 0.0), (64, 0.05)] {
        let mut net = Net::new(n, 3, loss, 7);
        net.run(110.0);
        let before: u64 = net.procs.iter().map(|p| p.sent).sum();
        net.run(130.0);
        let rate = (net.procs.iter().map(|p| p.sent).sum::<u64>() - before) as f64 / 20.0 / n as f64;
        println!("{n} nodes, loss {loss}: {rate:.2} packets per second and node");
        assert!(rate <= 8.0, "{n} {loss}: {rate}");
    }
}

/// The core directs clients, so it gets a change of readiness within one one-way delay.
#[test]
fn the_core_gets_a_change_of_readiness_at_once() {
    let mut net = Net::new(24, 3, 0.0, 5);
    net.run(106.0);
    for ready in [false, true] {
        net.set_card(9, lupinledge_membership::Card { ready, ..card(9, 3) });
        net.run(net.now + 0.065);
        for proc in &net.procs[..3] {
            let seen = proc.membership.as_ref().and_then(|m| m.member(node(9))).map(|m| m.card.ready);
            assert_eq!(seen, Some(ready));
        }
    }
}

#[test]
fn cards_reach_all_processes() {
    let mut net = Net::new(24, 3, 0.05, 3);
    net.run(106.0);
    let new = lupinledge_membership::Card { ready: false, leaving: true, ..card(9, 3) };
    net.set_card(9, new.clone());
    net.run(108.5);
    for (i, proc) in net.procs.iter().enumerate().filter(|p| p.0 != 9) {
        let seen = proc.membership.as_ref().and_then(|m| m.member(node(9))).map(|m| m.card.clone());
        assert_eq!(seen.as_ref(), Some(&new), "{i}");
    }
    // The load is sent with direct packets only.
    net.set_card(9, lupinledge_membership::Card { load: 20, ..new.clone() });
    net.run(net.now + 15.0);
    let seen = net.procs[0].membership.as_ref().and_then(|m| m.member(node(9))).map(|m| m.card.load);
    assert_eq!(seen, Some(20));
}

#[test]
fn edge_nodes_are_counted_over_time() {
    let mut net = Net::new(12, 2, 0.0, 5);
    net.run(105.0);
    [4, 5, 6].iter().for_each(|i| net.kill(*i));
    net.run(111.0);
    let max_edges = |net: &Net, i: usize, span| {
        net.procs[i].membership.as_ref().map(|m| m.max_edge_count(net.now + i as f64, span))
    };
    assert_eq!(max_edges(&net, 0, 1.0), Some(6));
    assert_eq!(max_edges(&net, 7, 1.0), Some(6));
    assert_eq!(max_edges(&net, 7, 9.0), Some(9));
}

#[test]
fn a_process_partitioned_for_long_rejoins() {
    let mut net = Net::new(16, 2, 0.02, 11);
    net.run(106.0);
    net.set_partitions(|i| usize::from(i == 7));
    // The others remove it from their tables; it keeps them.
    net.run(280.0);
    assert!((0..16).filter(|i| *i != 7).all(|i| net.view(i, 7).is_none()));
    assert!((0..16).filter(|i| *i != 7).all(|i| net.view(7, i) == Some(Standing::Gone)));
    net.set_partitions(|_| 0);
    net.run(284.0);
    net.check(3.0, 4.0, false).unwrap();
}

#[test]
fn members_ahead_and_samples() {
    let mut net = Net::new(12, 3, 0.0, 2);
    net.run(105.0);
    let new = Digest { state: (1, 1), ..Digest::default() };
    net.set_digest(4, new);
    net.run(107.0);
    let membership = net.procs[5].membership.as_mut().unwrap();
    assert_eq!(membership.take_ahead(), Some((node(4), new)));
    let is_edge = |m: &Member| !m.card.core;
    let mut sampled = membership.sample_alive(5, is_edge);
    sampled.sort_unstable();
    sampled.dedup();
    assert_eq!(sampled.len(), 5);
    assert!(sampled.iter().all(|n| index(*n) >= 3 && index(*n) != 5));
    assert_eq!(membership.sample_alive(100, is_edge).len(), 8);
}

/// New seeds replace the previous ones, and this process is never its own seed.
#[test]
fn replaced_seeds_are_asked() {
    let (me, one, two) = (node(0), node(1), node(2));
    let settings = Settings::new(me, 1, card(0, 1), vec![one], 7);
    let mut membership = Membership::new(0.0, settings);
    let receivers = |membership: &mut Membership, from: u32| {
        let out = (from * 20..(from + 5) * 20).flat_map(|t| membership.tick(f64::from(t) / 20.0));
        out.map(|(to, _)| to).collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!(receivers(&mut membership, 0), [one].into());
    membership.set_seeds(vec![two, me]);
    receivers(&mut membership, 5); // a pending request is first repeated until it is given up
    assert_eq!(receivers(&mut membership, 10), [two].into());
}
