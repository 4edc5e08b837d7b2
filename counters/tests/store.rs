//! The store of a customer's quota at the holder of the counters, against a plain model, over silences and holders.

use lupinledge_counters::handover::HandoverPart;
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::silence::SILENT;
use lupinledge_counters::store::Quota;
use lupinledge_counters::{Counters, Node};

const NAME: u64 = 7 << 24;
const LIFE: f64 = 3600.0;
const QUOTA: Quota = Quota { rate: 20.0, size: 13.0 };
const NEAR: f64 = 1e-6;

/// Counters that are whole, with the quota.
fn counters() -> Counters {
    let mut counters = Counters::new(1);
    counters.close(0.0, &[]);
    counters.set_quota(7, QUOTA);
    counters
}

/// A gateway that adds so much; what is left, as it is told.
fn add(counters: &mut Counters, now: f64, (node, own): &mut (Node, LocalSums), amount: f64) -> f64 {
    let sum = own.add(now, NAME, amount, LIFE).expect("there is room");
    counters.put(now, (*node, 1), NAME, sum, LIFE);
    let answer = counters.answer(NAME);
    own.record_total(now, NAME, sum, answer);
    answer.level.expect("a store")
}

fn near(left: f64, right: f64) {
    assert!((left - right).abs() < NEAR, "{left} for {right}");
}

#[test]
fn each_gateway_is_told_what_is_left_whatever_it_knew_before() {
    let mut counters = counters();
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut level, mut now) = (QUOTA.size, 0.0);
    let mut gateways: Vec<(Node, LocalSums)> = (1..=40).map(|node| (node, LocalSums::default())).collect();
    for nth in 0..4_000 {
        let pause = rng.f64() * 0.1;
        now += pause;
        // a gateway now and then gives back what it added, as of a request that was refused
        let amount = if nth % 3 == 2 { -1.0 } else { 2.0 };
        level = ((level + QUOTA.rate * pause).min(QUOTA.size) - amount).min(QUOTA.size);
        near(add(&mut counters, now, &mut gateways[rng.usize(..40)], amount), level);
        // nobody falls silent
        gateways.iter().for_each(|gateway| counters.record_contact(now, gateway.0));
    }
}

#[test]
fn leases_and_customers_without_a_quota_have_no_store() {
    let mut counters = counters();
    counters.put(1.0, (1, 1), NAME | 1, 5.0, LIFE);
    counters.put(1.0, (1, 1), 8 << 24, 5.0, LIFE);
    assert_eq!(counters.level(NAME | 1), None);
    assert_eq!(counters.level(8 << 24), None);
    near(counters.level(NAME).expect("a store"), QUOTA.size);
    counters.set_quota(7, Quota { rate: 0.0, size: 0.0 });
    assert_eq!(counters.level(NAME), None);
}

#[test]
fn another_quota_leaves_no_more_than_there_was() {
    let mut counters = counters();
    let gateway = &mut (1, LocalSums::default());
    near(add(&mut counters, 1.0, gateway, 10.0), 3.0);
    counters.set_quota(7, Quota { rate: 40.0, size: 30.0 });
    near(counters.level(NAME).expect("a store"), 3.0);
    near(add(&mut counters, 1.5, gateway, 0.0), 23.0);
    counters.set_quota(7, QUOTA);
    near(counters.level(NAME).expect("a store"), 13.0);
}

/// A silent gateway's part is taken out as it is presumed; once it tells, only what it used beyond that. What it did not
/// use does not come back: the others had it taken off them while it could have been used.
#[test]
fn the_part_of_a_silent_gateway_is_taken_out_once() {
    for used in [0.0, 15.0, 60.0] {
        let mut counters = counters();
        let (talking, silent) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
        add(&mut counters, 1.0, talking, 5.0);
        add(&mut counters, 1.0, silent, 5.0);
        // the other goes on, so the part of the silent one is what it used of all until it is missed
        let mut now = 1.0;
        while now < 5.0 - NEAR {
            now += 0.1;
            add(&mut counters, now, talking, 1.0);
        }
        let level = counters.level(NAME).expect("a store");
        let presumed = counters.presumed(NAME);
        assert!((15.0..=50.0).contains(&presumed), "{presumed}");
        assert!(level < QUOTA.size - SILENT, "{level}");
        near(add(&mut counters, now, silent, used), level - (used - presumed).max(0.0));
    }
}

/// What gateways tell of what they read lets the next holder go on where the one before stood.
#[test]
fn a_new_holder_goes_on_with_the_store() {
    let mut old = counters();
    let mut gateways: Vec<(Node, LocalSums)> = (1..=3).map(|node| (node, LocalSums::default())).collect();
    let mut left = 0.0;
    for (nth, gateway) in gateways.iter_mut().enumerate() {
        left = add(&mut old, 100.0 + nth as f64 * 0.01, gateway, 5.0);
    }
    // one adds more, of which the holder's answer is lost
    let unanswered = gateways[0].1.add(100.03, NAME, 2.0, LIFE);
    assert_eq!(unanswered, Some(7.0));
    for gone in 0..=2 {
        let mut new = Counters::new(2);
        new.set_quota(7, QUOTA);
        for (node, own) in gateways.iter().skip(gone) {
            new.tell(100.1, (*node, 1), &HandoverPart::single(own.handover(100.1)));
        }
        new.close(100.1, &[]);
        let two_more = if gone == 0 { 2.0 } else { 0.0 };
        let filled = QUOTA.rate * (100.1 - 100.02);
        near(new.level(NAME).expect("a store"), (left + filled).min(QUOTA.size) - two_more);
    }
}

/// One that tells only when the totals are whole has taken out what it added since, and nothing twice.
#[test]
fn a_late_teller_takes_out_what_is_new_alone() {
    let mut old = counters();
    let (early, late) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut old, 100.0, late, 5.0);
    let left = add(&mut old, 100.0, early, 4.0);
    late.1.add(100.0, NAME, 3.0, LIFE);
    let mut new = Counters::new(2);
    new.set_quota(7, QUOTA);
    new.tell(100.0, (1, 1), &HandoverPart::single(early.1.handover(100.0)));
    new.close(100.0, &[2]);
    near(new.level(NAME).expect("a store"), left);
    let told = HandoverPart::single(late.1.handover(100.0));
    new.tell(100.0, (2, 1), &told);
    near(new.level(NAME).expect("a store"), left - 3.0);
    new.tell(100.0, (2, 1), &told);
    near(new.level(NAME).expect("a store"), left - 3.0);
}

/// Nobody is left who read it: it begins full, less what those that begin anew have used alone.
#[test]
fn a_store_that_nobody_read_begins_full() {
    let mut new = Counters::new(2);
    new.set_quota(7, QUOTA);
    let mut own = LocalSums::default();
    own.add(100.0, NAME, 4.0, LIFE);
    new.tell(100.0, (1, 1), &HandoverPart::single(own.handover(100.0)));
    new.close(100.0, &[]);
    near(new.level(NAME).expect("a store"), QUOTA.size - 4.0);
}

/// The newest reading counts: an older one does not know where the store was full in between.
#[test]
fn a_new_holder_goes_by_the_newest_reading() {
    let mut old = counters();
    let (early, late) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut old, 100.0, early, 10.0);
    add(&mut old, 100.3, late, 5.0);
    let left = old.level(NAME).expect("a store") + QUOTA.rate;
    for order in [[0, 1], [1, 0]] {
        let mut new = Counters::new(2);
        new.set_quota(7, QUOTA);
        for nth in order {
            let (node, own) = [&*early, &*late][nth];
            new.tell(101.3, (*node, 1), &HandoverPart::single(own.handover(101.3)));
        }
        new.close(101.3, &[]);
        near(new.level(NAME).expect("a store"), left.min(QUOTA.size));
    }
}

/// What was taken out for a silent gateway stays taken out when it is gone for good.
#[test]
fn nothing_comes_back_for_a_gateway_that_left() {
    let mut counters = counters();
    let (talking, silent) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut counters, 1.0, talking, 5.0);
    add(&mut counters, 1.0, silent, 5.0);
    let mut now = 1.0;
    while now < 3.0 - NEAR {
        now += 0.1;
        add(&mut counters, now, talking, 2.0);
    }
    let level = counters.level(NAME).expect("a store");
    assert!(counters.presumed(NAME) > 5.0 && level < QUOTA.size - 5.0);
    counters.forget(2);
    near(counters.level(NAME).expect("a store"), level);
}

/// A gateway that is back tells its calls of the silence, and takes those of refused requests off again: what had been
/// taken out for it does not come back by that way either.
#[test]
fn refunds_behind_a_silence_give_back_no_more_than_was_charged() {
    let mut counters = counters();
    let (talking, silent) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut counters, 1.0, talking, 5.0);
    add(&mut counters, 1.0, silent, 5.0);
    let mut now = 1.0;
    while now < 4.0 - NEAR {
        now += 0.1;
        add(&mut counters, now, talking, 2.0);
    }
    let (level, presumed) = (counters.level(NAME).expect("a store"), counters.presumed(NAME));
    near(add(&mut counters, now, silent, 8.0), level - (8.0 - presumed).max(0.0));
    near(add(&mut counters, now, silent, -8.0), level);
    near(add(&mut counters, now, silent, 1.0), level - 1.0);
    // one that says what it is doing now, long after it is back, used nothing of it in the silence
    let quiet = &mut (3, LocalSums::default());
    add(&mut counters, now, quiet, 5.0);
    for _ in 0..20 {
        now += 0.1;
        add(&mut counters, now, talking, 2.0);
    }
    counters.record_contact(now, 3);
    for _ in 0..20 {
        now += 0.1;
        add(&mut counters, now, talking, 2.0);
        counters.record_contact(now, 3);
    }
    let level = counters.level(NAME).expect("a store");
    near(add(&mut counters, now, quiet, 3.0), level - 3.0);
}
