//! The counters against slow plain models: a log of all adds, and a fleet whose true use is known.

use lupinledge_counters::handover::{HandoverEntry, HandoverPart};
use lupinledge_counters::silence::{MEMORY, SILENT};
use lupinledge_counters::store::Quota;
use lupinledge_counters::{Counters, Node, NAMES_MOST};
use std::collections::HashMap;
use std::ops::{Deref, DerefMut};

/// Counters that are whole, with gateways that keep their sums and tell adds.
#[derive(Clone)]
struct Fleet {
    counters: Counters,
    sums: HashMap<u64, (f64, HashMap<Node, f64>)>,
}

impl Fleet {
    fn new(epoch: u64) -> Fleet {
        let mut counters = Counters::new(epoch);
        counters.close(f64::NEG_INFINITY, &[]);
        Fleet { counters, sums: HashMap::new() }
    }

    fn add(&mut self, now: f64, from: Node, name: u64, amount: f64, life: f64) -> f64 {
        let (until, sums) = self.sums.entry(name).or_default();
        if *until < now {
            sums.clear();
        }
        *until = now + life;
        let sum = sums.entry(from).or_default();
        *sum += amount;
        self.counters.put(now, (from, 1), name, *sum, life)
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
struct Added {
    at: f64,
    name: u64,
    amount: f64,
    until: f64,
}

/// Every add since the name last expired.
fn total(log: &[Added], name: u64) -> f64 {
    let (mut sum, mut until) = (0.0, f64::NEG_INFINITY);
    for a in log.iter().filter(|a| a.name == name) {
        sum = if until < a.at { a.amount } else { sum + a.amount };
        until = a.until;
    }
    sum
}

#[test]
fn totals_are_exact_while_nobody_is_silent() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let (mut counters, mut log, mut now) = (Fleet::new(3), Vec::new(), 50.0 * r.f64());
        counters.set_quota(0, Quota { rate: 100.0, size: 20.0 });
        counters.set_quota(1, Quota { rate: 1.0, size: 20.0 });
        for _ in 0..200 {
            now += [0.0, 0.02, 0.4][r.usize(0..3)];
            (0..4).for_each(|node| counters.record_contact(now, node));
            let name = r.u64(0..3) << 24 | r.u64(0..4);
            let (amount, life) = (r.i8(-4..20) as f64, [0.3, 2.0][r.usize(0..2)]);
            log.push(Added { at: now, name, amount, until: now + life });
            assert_eq!(counters.add(now, r.u32(0..4), name, amount, life), total(&log, name));
            assert_eq!(counters.presumed(name), 0.0);
        }
        assert!(counters.epoch() == 3 && counters.len() <= 12 && !counters.is_empty());
    });
}

/// A gateway of the fleet, and what the world knows of it.
struct Gateway {
    demand: f64, // a second
    cut: Option<(f64, f64)>,
    back: Option<f64>, // when it was heard again after its cut
    part: Option<f64>, // while it is known to be silent
    owed: f64,         // used and not yet told
}

/// Its use as of then, from the log of all adds: time that it was out of touch doesn't count.
fn recent(log: &[(usize, f64, f64)], fleet: &[Gateway], n: usize, now: f64) -> f64 {
    let out = |at: f64| match (fleet[n].cut, fleet[n].back) {
        (Some((from, _)), Some(back)) if at < from => back - (from - STEP),
        _ => 0.0,
    };
    let own = log.iter().filter(|(node, _, _)| *node == n);
    own.map(|&(_, at, amount)| amount * (-(now - at - out(at)) / MEMORY).exp()).sum()
}

const STEP: f64 = 1.0 / 16.0;

/// Gateways ask 16 times a second whether their customer has room: the total may not pass
/// `rate * time + burst`. Some are cut off for a while, and go on unseen with the part of the rate that they
/// had. The totals tell the true use, and the quota is kept, but for what a gateway uses within the second
/// before it is known to be silent.
#[test]
fn gateways_out_of_touch_and_the_others_stay_within_the_quota() {
    bolero::check!().with_type::<u64>().with_iterations(60).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let (rate, burst) = (60.0 + 200.0 * r.f64(), 60.0 * r.f64());
        let cut = |r: &mut fastrand::Rng| {
            let from = STEP * r.u32(192..256) as f64; // by then use has settled
            (r.u8(0..3) == 0).then(|| (from, from + STEP * r.u32(4..96) as f64))
        };
        let gateway = |r: &mut fastrand::Rng| {
            let (demand, cut) = (rate * (0.1 + r.f64()), cut(r));
            Gateway { demand, cut, back: None, part: None, owed: 0.0 }
        };
        let mut fleet: Vec<Gateway> = (0..r.usize(2..9)).map(|_| gateway(&mut r)).collect();
        let (mut counters, mut log, mut used) = (Fleet::new(1), Vec::new(), 0.0);
        counters.set_quota(CUSTOMER, Quota { rate, size: 20.0 });
        for now in (0..400).map(|i| i as f64 * STEP) {
            let away = |g: &Gateway| g.cut.is_some_and(|(from, to)| now >= from && now < to);
            let last = |g: &Gateway| g.cut.map_or(now, |(from, _)| from - STEP);
            let unheard = |g: &Gateway| g.cut.is_some_and(|(from, _)| now >= from) && g.back.is_none();
            let fallen: Vec<usize> = (0..fleet.len())
                .filter(|&n| unheard(&fleet[n]) && fleet[n].part.is_none() && now - last(&fleet[n]) > SILENT)
                .collect();
            let of = |n: &usize| recent(&log, &fleet, *n, last(&fleet[*n]));
            let mut parts = Vec::new();
            if !fallen.is_empty() {
                let talking = (0..fleet.len()).filter(|n| fleet[*n].part.is_none() && !fallen.contains(n));
                let talking: f64 = talking.map(|n| recent(&log, &fleet, n, now)).sum();
                let all = talking + fallen.iter().map(of).sum::<f64>();
                let free = 1.0 - fleet.iter().filter_map(|g| g.part).sum::<f64>();
                parts = fallen.iter().map(|n| free * of(n) / all).collect();
            }
            counters.tick(now);
            for (&n, part) in fallen.iter().zip(parts) {
                fleet[n].part = Some(part);
                fleet[n].owed = rate * part * (now - STEP - last(&fleet[n]));
                used += fleet[n].owed;
            }
            for g in fleet.iter_mut() {
                let more = g.part.map_or(0.0, |part| rate * part * STEP);
                (g.owed, used) = (g.owed + more, used + more);
            }
            let there: Vec<usize> = (0..fleet.len()).filter(|&n| !away(&fleet[n])).collect();
            for n in there {
                let owed = std::mem::take(&mut fleet[n].owed);
                if fleet[n].cut.is_some_and(|(_, to)| now >= to) && fleet[n].back.is_none() {
                    // one that was away for less than a second was never silent: its use faded on
                    fleet[n].back = Some(if fleet[n].part.is_some() { now } else { last(&fleet[n]) });
                    fleet[n].part = None;
                }
                let told = counters.add(now, n as u32, NAME, owed, 60.0);
                assert!((told - used).abs() < 1e-6, "{told} told, {used} used by {now}");
                let want = fleet[n].demand * STEP;
                let sent = if told + want <= rate * now + burst { want } else { 0.0 };
                counters.add(now, n as u32, NAME, sent, 60.0);
                log.extend([(n, now, owed), (n, now, sent)]);
                used += sent;
            }
            let bound = rate * (now + SILENT + STEP) + burst + 1e-6;
            assert!(used <= bound, "{used} used by {now}, bound {bound}");
        }
        assert_eq!(counters.presumed(NAME), 0.0);
    });
}

/// Steady use: gateway n uses 10 n a second.
fn steady(counters: &mut Fleet, from: f64, to: f64, talking: &[u32]) -> f64 {
    let (mut now, mut told) = (from, 0.0);
    while now < to {
        talking.iter().for_each(|&n| told = counters.add(now, n, NAME, n as f64 * 10.0 * 0.05, 60.0));
        now += 0.05;
    }
    told
}

#[test]
fn a_silent_ones_part_goes_on_until_it_is_heard() {
    let mut c = Fleet::new(1);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    let before = steady(&mut c, 0.0, 20.0, &[1, 2, 3, 4]);
    assert_eq!(c.presumed(NAME), 0.0);
    steady(&mut c, 20.0, 20.9, &[1, 2, 3]);
    assert_eq!(c.presumed(NAME), 0.0); // not yet a second
    let told = steady(&mut c, 20.9, 25.0, &[1, 2, 3]);
    let presumed = c.presumed(NAME); // from its last word, at 19.95
    assert!((presumed - 40.0 * 5.0).abs() < 8.0, "{presumed}");
    assert!((told - before - 60.0 * 5.0 - presumed).abs() < 1e-6);
    steady(&mut c, 25.0, 30.0, &[1, 2]);
    let both = c.presumed(NAME);
    assert!((both - 40.0 * 10.0 - 30.0 * 5.0).abs() < 20.0, "{both}");
    // a name born meanwhile has what came after its birth
    let next = c.add(30.0, 1, NAME + 2, 0.0, 60.0);
    assert_eq!(next, 0.0);
    c.add(30.4, 2, CUSTOMER << 24 | 2, 0.0, 60.0);
    let next = c.add(30.4, 1, NAME + 2, 0.0, 60.0);
    assert!((next - 70.0 * 0.4).abs() < 2.0, "{next}");
    // what is in flight, and other customers, have nothing presumed
    assert_eq!(c.add(30.4, 1, NAME + 1, 3.0, 2.0) + c.add(30.4, 1, 5 << 24, 4.0, 2.0), 7.0);
    let all = c.add(30.4, 1, NAME, 0.0, 60.0);
    let back = c.add(30.5, 4, NAME, 420.0, 60.0);
    assert!(back < all + 100.0, "its report takes the place of the presumption");
    c.forget(3);
    assert_eq!(c.presumed(NAME), 0.0);
}

#[test]
fn silent_ones_never_have_more_than_the_whole() {
    let mut c = Fleet::new(1);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    steady(&mut c, 0.0, 10.0, &[1, 2, 3, 4]);
    let (mut at, mut talking) = (10.0, vec![1, 2, 3, 4, 9]);
    while talking.len() > 1 {
        talking.remove(0);
        steady(&mut c, at, at + 3.0, &talking);
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
fn an_own_pause_is_nobodys_silence() {
    let mut c = Fleet::new(1);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    steady(&mut c, 0.0, 10.0, &[1, 2]);
    let before = c.add(10.0, 1, NAME, 0.0, 60.0);
    assert_eq!(c.add(14.0, 1, NAME, 0.0, 60.0), before); // frozen for four seconds
    let mut other = c.clone(); // here 2 stays silent, from its last word on, which was later by the pause
    (0..5).for_each(|i| other.record_contact(14.25 + 0.25 * i as f64, 1));
    assert!((other.presumed(NAME) - 1.3 * 67.0).abs() < 5.0, "{}", other.presumed(NAME));
    c.record_contact(14.3, 2); // a word that is no count
    assert_eq!(c.add(14.9, 1, NAME, 0.0, 60.0), before);
    for i in 0..8 {
        c.tick(14.9 + 0.25 * i as f64);
    }
    assert!(c.presumed(NAME) > 0.0);
    c.put(3.0, (1, 1), NAME, f64::NAN, f64::NAN); // a clock that went back, figures that are none
    c.tick(f64::NAN);
    assert!(c.presumed(NAME).is_finite());
}

#[test]
fn names_are_bounded_and_those_in_use_stay() {
    let mut c = Fleet::new(1);
    for i in 0..NAMES_MOST as u64 + 5000 {
        c.add(i as f64 * 1e-5, 1, i << 24, 1.0, 60.0);
        if i % 1000 == 0 {
            assert_eq!(c.add(i as f64 * 1e-5, 1, 3, 1.0, 600.0), (i / 1000 + 1) as f64);
        }
    }
    assert!(c.len() <= NAMES_MOST && c.len() > NAMES_MOST * 9 / 10);
    c.tick(1000.0);
    assert!(c.is_empty());
}

/// A holder is lost, and with it or not some gateways; the next is told what there was. With all there, totals go
/// on to the unit, and words that are told twice change nothing; what those that are not there had told stays
/// counted, is taken off again as they come back, and their part goes on meanwhile.
#[test]
fn a_new_holder_goes_on_from_what_gateways_tell() {
    bolero::check!().with_type::<u64>().with_iterations(300).for_each(|seed| {
        let mut r = fastrand::Rng::with_seed(*seed);
        let (gateways, mut now) = (r.u32(2..9), 0.0);
        let (mut old, mut own, mut all) = (Counters::new(1), HashMap::<u32, HandoverEntry>::new(), 0.0);
        old.close(0.0, &[]);
        old.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
        for _ in 0..r.u32(20..200) {
            now += 0.01;
            (1..=gateways).for_each(|n| old.record_contact(now, n));
            let (node, amount) = (r.u32(1..=gateways), r.u8(0..3) as f64);
            let none =
                HandoverEntry { name: NAME, sum: 0.0, within: 0.0, total: 0.0, life: 60.0, store: None };
            let t = own.entry(node).or_insert(none);
            t.sum += amount;
            all += amount;
            (t.total, t.within) = (old.put(now, (node, 1), NAME, t.sum, 60.0), t.sum);
            assert_eq!(t.total, all);
        }
        let gone: Vec<u32> = (1..=gateways).filter(|_| r.u8(0..3) == 0).collect();
        let away: f64 = gone.iter().filter_map(|n| own.get(n)).map(|t| t.sum).sum();
        // the newest total is known to one that is there, or there is nothing to know it by
        let known = own.iter().filter(|(n, _)| !gone.contains(n)).map(|(_, t)| t.total).fold(0.0, f64::max);
        let within: f64 = all - away;
        let mut new = Counters::new(2);
        new.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
        for n in (1..=gateways).filter(|n| !gone.contains(n)) {
            let told = HandoverPart::single(own.get(&n).copied().into_iter().collect());
            (0..r.u8(1..3)).for_each(|_| new.tell(now, (n, 1), &told));
            assert!(new.told(n) && !new.is_complete());
        }
        new.close(now, &gone);
        let first = gateways + 1;
        let total = new.put(now, (first, 1), NAME, 0.0, 60.0);
        assert_eq!(total, within.max(known), "{gone:?}, {own:?}");
        if !gone.is_empty() && known > within {
            for i in 1..=20 {
                (1..=gateways + 1)
                    .filter(|n| !gone.contains(n))
                    .for_each(|n| new.record_contact(now + 0.1 * i as f64, n));
                new.tick(now + 0.1 * i as f64);
            }
            let presumed = new.presumed(NAME);
            assert!(presumed > 0.0 && presumed <= 100.0 * 2.0 + 1e-6, "{presumed}");
        }
        // back, with what they had told and no more: nothing is counted twice
        now += 2.0;
        gone.iter().for_each(|n| {
            new.tell(now, (*n, 1), &HandoverPart::single(own.get(n).copied().into_iter().collect()))
        });
        let total = new.put(now, (first, 1), NAME, 0.0, 60.0);
        assert!((total - all).abs() < 1e-6, "{total} counted, {all} sent; {gone:?}, {own:?}");
    });
}

/// Most of what was lost was used by processes that ended; the one that is missing goes on with its own part of it.
#[test]
fn what_ended_processes_used_does_not_go_on() {
    let mut c = Counters::new(2);
    c.set_quota(CUSTOMER, Quota { rate: 100.0, size: 20.0 });
    let told = |sum: f64| {
        HandoverPart::single(vec![HandoverEntry {
            name: NAME,
            sum,
            within: sum,
            total: 1000.0,
            life: 60.0,
            store: None,
        }])
    };
    c.tell(0.0, (1, 1), &told(100.0));
    c.tell(0.0, (2, 1), &told(100.0));
    c.tell(0.0, (3, 2), &told(0.0)); // started anew: some of the 800 that are lost were its own
    c.close(0.0, &[4]);
    assert_eq!(c.total(NAME), 1000.0, "all stays counted");
    for i in 1..=40 {
        (1..=3).for_each(|n| c.record_contact(0.1 * i as f64, n));
    }
    let presumed = c.presumed(NAME);
    assert!((100.0..180.0).contains(&presumed), "{presumed} presumed: a third goes on, not four fifths");
}
