//! The counters compared with simple slow models: a log of all additions, and a fleet whose true usage is known.

use lupinledge_counters::handover::{HandoverEntry, HandoverPart};
use lupinledge_counters::silence::{SILENCE_TIMEOUT, USAGE_DECAY};
use lupinledge_counters::store::Quota;
use lupinledge_counters::{Counters, Node, MAX_NAMES};
use std::collections::HashMap;
use std::ops::{Deref, DerefMut};

/// Complete counters, with gateways that keep their sums and report additions.
#[derive(Clone)]
struct Fleet {
    counters: Counters,
    sums: HashMap<u64, (f64, HashMap<Node, f64>)>,
}

impl Fleet {
    fn new(epoch: u64) -> Fleet {
        let mut counters = Counters::new(epoch);
        counters.complete_handover(f64::NEG_INFINITY, &[]);
        Fleet { counters, sums: HashMap::new() }
    }

    fn add(&mut self, now: f64, from: Node, name: u64, amount: f64, lifetime: f64) -> f64 {
        let (until, sums) = self.sums.entry(name).or_default();
        if *until < now {
            sums.clear();
        }
        *until = now + lifetime;
        let sum = sums.entry(from).or_default();
        *sum += amount;
        self.counters.record_sum(now, (from, 1), name, *sum, lifetime)
    }
}

impl Deref for Fleet {
    type Target = Counters;
    fn deref(&self) -> &Counters {
        &self.counters
    }
}

impl DerefMut for Fleet {
    fn deref_mut(&mut self) -> &mut Counters {
        &mut self.counters
    }
}

const CUSTOMER: u64 = 77;
const NAME: u64 = CUSTOMER << 24 | 6;

#[derive(Clone, Copy)]
struct Addition {
    at: f64,
    name: u64,
    amount: f64,
    until: f64,
}

/// The sum of all additions since the name last expired.
fn total(log: &[Addition], name: u64) -> f64 {
    let (mut sum, mut until) = (0.0, f64::NEG_INFINITY);
    for a in log.iter().filter(|a| a.name == name) {
        sum = if until < a.at { a.amount } else { sum + a.amount };
        until = a.until;
    }
    sum
}

#[test]
fn totals_are_exact_while_no_gateway_is_silent() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let (mut counters, mut log, mut now) = (Fleet::new(3), Vec::new(), 50.0 * r.f64());
        counters.set_quota(0, Quota { rate: 100.0, size: 20.0 });
        counters.set_quota(1, Quota { rate: 1.0, size: 20.0 });
        for _ in 0..200 {
            now += [0.0, 0.02, 0.4][r.usize(0..3)];
            (0..4).for_each(|node| counters.record_contact(now, node));
            let name = r.u64(0..3) << 24 | r.u64(0..4);
            let (amount, lifetime) = (r.i8(-4..20) as f64, [0.3, 2.0][r.usize(0..2)]);
            log.push(Addition { at: now, name, amount, until: now + lifetime });
            assert_eq!(counters.add(now, r.u32(0..4), name, amount, lifetime), total(&log, name));
            assert_eq!(counters.presumed(name), 0.0);
        }
        assert!(counters.epoch() == 3 && counters.len() <= 12 && !counters.is_empty());
    });
}

/// A gateway of the fleet and its true state.
struct Gateway {
    demand: f64, // units a second
    cut: Option<(f64, f64)>,
    back: Option<f64>,  // when its first message after the cut arrived
    share: Option<f64>, // while the holder considers it silent
    unreported: f64,    // used and not reported yet
}

/// The recent usage of gateway `n` at `now`, from the log of all additions; usage does not decay while it is cut off.
fn recent(log: &[(usize, f64, f64)], fleet: &[Gateway], n: usize, now: f64) -> f64 {
    let offline = |at: f64| match (fleet[n].cut, fleet[n].back) {
        (Some((from, _)), Some(back)) if at < from => back - (from - STEP),
        _ => 0.0,
    };
    let own = log.iter().filter(|(node, _, _)| *node == n);
    own.map(|&(_, at, amount)| amount * (-(now - at - offline(at)) / USAGE_DECAY).exp()).sum()
}

const STEP: f64 = 1.0 / 16.0;

/// Gateways check 16 times a second whether their customer may use more: the total must not exceed
/// `rate * time + burst`. Some are cut off for a while and continue unseen with their share of the rate. Totals equal
/// the true usage, and the quota is kept, except for what a gateway uses in the second before it counts as silent.
#[test]
fn unreachable_and_reachable_gateways_together_stay_within_the_quota() {
    bolero::check!().with_type::<u64>().with_iterations(60).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let (rate, burst) = (60.0 + 200.0 * r.f64(), 60.0 * r.f64());
        let random_cut = |r: &mut fastrand::Rng| {
            let from = STEP * r.u32(192..256) as f64; // usage is steady by then
            (r.u8(0..3) == 0).then(|| (from, from + STEP * r.u32(4..96) as f64))
        };
        let gateway = |r: &mut fastrand::Rng| {
            let (demand, cut) = (rate * (0.1 + r.f64()), random_cut(r));
            Gateway { demand, cut, back: None, share: None, unreported: 0.0 }
        };
        let mut fleet: Vec<Gateway> = (0..r.usize(2..9)).map(|_| gateway(&mut r)).collect();
        let (mut counters, mut log, mut used) = (Fleet::new(1), Vec::new(), 0.0);
        counters.set_quota(CUSTOMER, Quota { rate, size: 20.0 });
        for now in (0..400).map(|i| i as f64 * STEP) {
            let away = |g: &Gateway| g.cut.is_some_and(|(from, to)| now >= from && now < to);
            let last = |g: &Gateway| g.cut.map_or(now, |(from, _)| from - STEP);
            let unreachable = |g: &Gateway| g.cut.is_some_and(|(from, _)| now >= from) && g.back.is_none();
            let newly_silent: Vec<usize> = (0..fleet.len())
                .filter(|&n| {
                    unreachable(&fleet[n])
                        && fleet[n].share.is_none()
                        && now - last(&fleet[n]) > SILENCE_TIMEOUT
                })
                .collect();
            let usage_of = |n: &usize| recent(&log, &fleet, *n, last(&fleet[*n]));
            let mut shares = Vec::new();
            if !newly_silent.is_empty() {
                let active =
                    (0..fleet.len()).filter(|n| fleet[*n].share.is_none() && !newly_silent.contains(n));
                let active: f64 = active.map(|n| recent(&log, &fleet, n, now)).sum();
                let all = active + newly_silent.iter().map(usage_of).sum::<f64>();
                let unassigned = 1.0 - fleet.iter().filter_map(|g| g.share).sum::<f64>();
                shares = newly_silent.iter().map(|n| unassigned * usage_of(n) / all).collect();
            }
            counters.tick(now);
            for (&n, share) in newly_silent.iter().zip(shares) {
                fleet[n].share = Some(share);
                fleet[n].unreported = rate * share * (now - STEP - last(&fleet[n]));
                used += fleet[n].unreported;
            }
            for g in fleet.iter_mut() {
                let more = g.share.map_or(0.0, |share| rate * share * STEP);
                (g.unreported, used) = (g.unreported + more, used + more);
            }
            let online: Vec<usize> = (0..fleet.len()).filter(|&n| !away(&fleet[n])).collect();
            for n in online {
                let unreported = std::mem::take(&mut fleet[n].unreported);
                if fleet[n].cut.is_some_and(|(_, to)| now >= to) && fleet[n].back.is_none() {
                    // a gateway away for less than a second never counted as silent, so its usage kept decaying
                    fleet[n].back = Some(if fleet[n].share.is_some() { now } else { last(&fleet[n]) });
                    fleet[n].share = None;
                }
                let total = counters.add(now, n as u32, NAME, unreported, 60.0);
                assert!((total - used).abs() < 1e-6, "total {total}, {used} used by {now}");
                let want = fleet[n].demand * STEP;
                let sent = if total + want <= rate * now + burst { want } else { 0.0 };
                counters.add(now, n as u32, NAME, sent, 60.0);
                log.extend([(n, now, unreported), (n, now, sent)]);
                used += sent;
            }
            let bound = rate * (now + SILENCE_TIMEOUT + STEP) + burst + 1e-6;
            assert!(used <= bound, "{used} used by {now}, limit {bound}");
        }
        assert_eq!(counters.presumed(NAME), 0.0);
    });
}

/// Steady usage: gateway n uses 10 n units a second.
fn steady(counters: &mut Fleet, from: f64, to: f64, active: &[u32]) -> f64 {
    let (mut now, mut total) = (from, 0.0);
    while now < to {
        active.iter().for_each(|&n| total = counters.add(now, n, NAME, n as f64 * 10.0 * 0.05, 60.0));
        now += 0.05;
    }
    total
}

#[test]
fn the_share_of_a_silent_gateway_continues_until_it_is_back() {
    let mut c = Fleet::new(1);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    let before = steady(&mut c, 0.0, 20.0, &[1, 2, 3, 4]);
    assert_eq!(c.presumed(NAME), 0.0);
    steady(&mut c, 20.0, 20.9, &[1, 2, 3]);
    assert_eq!(c.presumed(NAME), 0.0); // less than a second
    let total = steady(&mut c, 20.9, 25.0, &[1, 2, 3]);
    let presumed = c.presumed(NAME); // from its last message, at 19.95
    assert!((presumed - 40.0 * 5.0).abs() < 8.0, "{presumed}");
    assert!((total - before - 60.0 * 5.0 - presumed).abs() < 1e-6);
    steady(&mut c, 25.0, 30.0, &[1, 2]);
    let both = c.presumed(NAME);
    assert!((both - 40.0 * 10.0 - 30.0 * 5.0).abs() < 20.0, "{both}");
    // a name created meanwhile includes what is presumed since its creation
    let next = c.add(30.0, 1, NAME + 2, 0.0, 60.0);
    assert_eq!(next, 0.0);
    c.add(30.4, 2, CUSTOMER << 24 | 2, 0.0, 60.0);
    let next = c.add(30.4, 1, NAME + 2, 0.0, 60.0);
    assert!((next - 70.0 * 0.4).abs() < 2.0, "{next}");
    // nothing is presumed for requests in flight or for other customers
    assert_eq!(c.add(30.4, 1, NAME + 1, 3.0, 2.0) + c.add(30.4, 1, 5 << 24, 4.0, 2.0), 7.0);
    let total_with_presumption = c.add(30.4, 1, NAME, 0.0, 60.0);
    let total_after_report = c.add(30.5, 4, NAME, 420.0, 60.0);
    assert!(total_after_report < total_with_presumption + 100.0, "its report replaces the presumption");
    c.remove_gateway(3);
    assert_eq!(c.presumed(NAME), 0.0);
}

#[test]
fn shares_of_silent_gateways_never_exceed_the_rate() {
    let mut c = Fleet::new(1);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    steady(&mut c, 0.0, 10.0, &[1, 2, 3, 4]);
    let (mut at, mut active) = (10.0, vec![1, 2, 3, 4, 9]);
    while active.len() > 1 {
        active.remove(0);
        steady(&mut c, at, at + 3.0, &active);
        at += 3.0;
    }
    let first = c.presumed(NAME);
    steady(&mut c, at, at + 2.0, &[9]);
    let second = c.presumed(NAME) - first;
    assert!(second > 0.0 && second <= 100.0 * 2.0 + 1e-6, "{second}");
    c.set_quota(CUSTOMER, Quota { rate: 0.0, size: 20.0 });
    assert_eq!(c.presumed(NAME), 0.0);
}

#[test]
fn a_pause_of_the_holder_makes_no_gateway_silent() {
    let mut c = Fleet::new(1);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    steady(&mut c, 0.0, 10.0, &[1, 2]);
    let before = c.add(10.0, 1, NAME, 0.0, 60.0);
    assert_eq!(c.add(14.0, 1, NAME, 0.0, 60.0), before); // the holder was paused for four seconds
    let mut other = c.clone(); // here 2 stays silent since its last message, which the pause moves forward
    (0..5).for_each(|i| other.record_contact(14.25 + 0.25 * i as f64, 1));
    assert!((other.presumed(NAME) - 1.3 * 67.0).abs() < 5.0, "{}", other.presumed(NAME));
    c.record_contact(14.3, 2); // a message without counts
    assert_eq!(c.add(14.9, 1, NAME, 0.0, 60.0), before);
    for i in 0..8 {
        c.tick(14.9 + 0.25 * i as f64);
    }
    assert!(c.presumed(NAME) > 0.0);
    c.record_sum(3.0, (1, 1), NAME, f64::NAN, f64::NAN); // a clock that went back, and values that are not numbers
    c.tick(f64::NAN);
    assert!(c.presumed(NAME).is_finite());
}

#[test]
fn names_are_bounded_and_those_in_use_are_kept() {
    let mut c = Fleet::new(1);
    for i in 0..MAX_NAMES as u64 + 5000 {
        c.add(i as f64 * 1e-5, 1, i << 24, 1.0, 60.0);
        if i % 1000 == 0 {
            assert_eq!(c.add(i as f64 * 1e-5, 1, 3, 1.0, 600.0), (i / 1000 + 1) as f64);
        }
    }
    assert!(c.len() <= MAX_NAMES && c.len() > MAX_NAMES * 9 / 10);
    c.tick(1000.0);
    assert!(c.is_empty());
}

/// A holder fails, possibly together with some gateways, and the next one receives the handovers. With all gateways
/// present, totals continue exactly, and repeated handovers change nothing. What missing gateways had reported stays
/// counted, is subtracted again when they are back, and their share continues meanwhile.
#[test]
fn a_new_holder_continues_from_the_handovers() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let (gateways, mut now) = (r.u32(2..9), 0.0);
        let (mut old, mut reported, mut all) = (Counters::new(1), HashMap::<u32, HandoverEntry>::new(), 0.0);
        old.complete_handover(0.0, &[]);
        old.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
        for _ in 0..r.u32(20..200) {
            now += 0.01;
            (1..=gateways).for_each(|n| old.record_contact(now, n));
            let (node, amount) = (r.u32(1..=gateways), r.u8(0..3) as f64);
            let empty = HandoverEntry {
                name: NAME,
                sum: 0.0,
                counted_in_total: 0.0,
                total: 0.0,
                life: 60.0,
                store: None,
            };
            let t = reported.entry(node).or_insert(empty);
            t.sum += amount;
            all += amount;
            (t.total, t.counted_in_total) = (old.record_sum(now, (node, 1), NAME, t.sum, 60.0), t.sum);
            assert_eq!(t.total, all);
        }
        let gone: Vec<u32> = (1..=gateways).filter(|_| r.u8(0..3) == 0).collect();
        let gone_sum: f64 = gone.iter().filter_map(|n| reported.get(n)).map(|t| t.sum).sum();
        // the newest total that a remaining gateway has received; 0 if there is none
        let known =
            reported.iter().filter(|(n, _)| !gone.contains(n)).map(|(_, t)| t.total).fold(0.0, f64::max);
        let sum_without_gone: f64 = all - gone_sum;
        let mut new = Counters::new(2);
        new.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
        for n in (1..=gateways).filter(|n| !gone.contains(n)) {
            let part = HandoverPart::single(reported.get(&n).copied().into_iter().collect());
            (0..r.u8(1..3)).for_each(|_| new.receive_handover(now, (n, 1), &part));
            assert!(new.has_handover_from(n) && !new.is_complete());
        }
        new.complete_handover(now, &gone);
        let first = gateways + 1;
        let total = new.record_sum(now, (first, 1), NAME, 0.0, 60.0);
        assert_eq!(total, sum_without_gone.max(known), "{gone:?}, {reported:?}");
        if !gone.is_empty() && known > sum_without_gone {
            for i in 1..=20 {
                (1..=gateways + 1)
                    .filter(|n| !gone.contains(n))
                    .for_each(|n| new.record_contact(now + 0.1 * i as f64, n));
                new.tick(now + 0.1 * i as f64);
            }
            let presumed = new.presumed(NAME);
            assert!(presumed > 0.0 && presumed <= 100.0 * 2.0 + 1e-6, "{presumed}");
        }
        // the gone gateways are back with the sums they had reported: nothing is counted twice
        now += 2.0;
        gone.iter().for_each(|n| {
            new.receive_handover(
                now,
                (*n, 1),
                &HandoverPart::single(reported.get(n).copied().into_iter().collect()),
            )
        });
        let total = new.record_sum(now, (first, 1), NAME, 0.0, 60.0);
        assert!((total - all).abs() < 1e-6, "{total} counted, {all} sent; {gone:?}, {reported:?}");
    });
}

/// Most of the lost usage belongs to processes that ended; the missing gateway is presumed to continue only its own
/// share.
#[test]
fn usage_of_ended_processes_does_not_continue() {
    let mut c = Counters::new(2);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    let handover = |sum: f64| {
        HandoverPart::single(vec![HandoverEntry {
            name: NAME,
            sum,
            counted_in_total: sum,
            total: 1000.0,
            life: 60.0,
            store: None,
        }])
    };
    c.receive_handover(0.0, (1, 1), &handover(100.0));
    c.receive_handover(0.0, (2, 1), &handover(100.0));
    c.receive_handover(0.0, (3, 2), &handover(0.0)); // restarted: some of the 800 lost units were its own
    c.complete_handover(0.0, &[4]);
    assert_eq!(c.total(NAME), 1000.0, "all usage stays counted");
    for i in 1..=40 {
        (1..=3).for_each(|n| c.record_contact(0.1 * i as f64, n));
    }
    let presumed = c.presumed(NAME);
    assert!(
        (100.0..180.0).contains(&presumed),
        "{presumed} presumed: a third should continue, not four fifths"
    );
}
