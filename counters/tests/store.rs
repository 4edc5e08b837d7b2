//! The store of a customer's quota at the holder, compared with a simple model, across silences and changes of holder.

use lupinledge_counters::handover::HandoverPart;
use lupinledge_counters::local_sums::LocalSums;
use lupinledge_counters::silence::SILENCE_TIMEOUT;
use lupinledge_counters::store::Quota;
use lupinledge_counters::{Counters, Node};

const NAME: u64 = 7 << 24;
const LIFETIME: f64 = 3600.0;
const QUOTA: Quota = Quota { rate: 20.0, size: 13.0 };
const TOLERANCE: f64 = 1e-6;

/// Complete counters with the quota set.
fn counters() -> Counters {
    let mut counters = Counters::new(1);
    counters.complete_handover(0.0, &[]);
    counters.set_quota(7, QUOTA);
    counters
}

/// A gateway adds `amount`; returns the level that it receives.
fn add(counters: &mut Counters, now: f64, (node, sums): &mut (Node, LocalSums), amount: f64) -> f64 {
    let sum = sums.add(now, NAME, amount, LIFETIME).expect("there is room");
    counters.record_sum(now, (*node, 1), NAME, sum, LIFETIME);
    let answer = counters.answer(NAME);
    sums.record_total(now, NAME, sum, answer);
    answer.level.expect("the customer has a store")
}

fn assert_near(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < TOLERANCE, "{actual} instead of {expected}");
}

#[test]
fn each_gateway_receives_the_current_level() {
    let mut counters = counters();
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut level, mut now) = (QUOTA.size, 0.0);
    let mut gateways: Vec<(Node, LocalSums)> = (1..=40).map(|node| (node, LocalSums::default())).collect();
    for nth in 0..4_000 {
        let pause = rng.f64() * 0.1;
        now += pause;
        // now and then a gateway refunds what it added, as for a rejected request
        let amount = if nth % 3 == 2 { -1.0 } else { 2.0 };
        level = ((level + QUOTA.rate * pause).min(QUOTA.size) - amount).min(QUOTA.size);
        assert_near(add(&mut counters, now, &mut gateways[rng.usize(..40)], amount), level);
        // no gateway becomes silent
        gateways.iter().for_each(|gateway| counters.record_contact(now, gateway.0));
    }
}

#[test]
fn requests_in_flight_and_customers_without_a_quota_have_no_store() {
    let mut counters = counters();
    counters.record_sum(1.0, (1, 1), NAME | 1, 5.0, LIFETIME);
    counters.record_sum(1.0, (1, 1), 8 << 24, 5.0, LIFETIME);
    assert_eq!(counters.level(NAME | 1), None);
    assert_eq!(counters.level(8 << 24), None);
    assert_near(counters.level(NAME).expect("the customer has a store"), QUOTA.size);
    counters.set_quota(7, Quota { rate: 0.0, size: 0.0 });
    assert_eq!(counters.level(NAME), None);
}

#[test]
fn a_changed_quota_does_not_raise_the_level() {
    let mut counters = counters();
    let gateway = &mut (1, LocalSums::default());
    assert_near(add(&mut counters, 1.0, gateway, 10.0), 3.0);
    counters.set_quota(7, Quota { rate: 40.0, size: 30.0 });
    assert_near(counters.level(NAME).expect("the customer has a store"), 3.0);
    assert_near(add(&mut counters, 1.5, gateway, 0.0), 23.0);
    counters.set_quota(7, QUOTA);
    assert_near(counters.level(NAME).expect("the customer has a store"), 13.0);
}

/// The share of a silent gateway is taken out while it is presumed; once it reports, only what it used beyond that is
/// taken out. What it did not use is not put back: the other gateways had to do without it while it could have been
/// used.
#[test]
fn the_share_of_a_silent_gateway_is_taken_out_once() {
    for used in [0.0, 15.0, 60.0] {
        let mut counters = counters();
        let (active, silent) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
        add(&mut counters, 1.0, active, 5.0);
        add(&mut counters, 1.0, silent, 5.0);
        // the other gateway continues, so the silent one's share is its part of all usage until it becomes silent
        let mut now = 1.0;
        while now < 5.0 - TOLERANCE {
            now += 0.1;
            add(&mut counters, now, active, 1.0);
        }
        let level = counters.level(NAME).expect("the customer has a store");
        let presumed = counters.presumed(NAME);
        assert!((15.0..=50.0).contains(&presumed), "{presumed}");
        assert!(level < QUOTA.size - SILENCE_TIMEOUT, "{level}");
        assert_near(add(&mut counters, now, silent, used), level - (used - presumed).max(0.0));
    }
}

/// With the levels that gateways received, the next holder continues where the previous one stopped.
#[test]
fn a_new_holder_continues_the_store() {
    let mut old = counters();
    let mut gateways: Vec<(Node, LocalSums)> = (1..=3).map(|node| (node, LocalSums::default())).collect();
    let mut level_before = 0.0;
    for (nth, gateway) in gateways.iter_mut().enumerate() {
        level_before = add(&mut old, 100.0 + nth as f64 * 0.01, gateway, 5.0);
    }
    // one gateway adds more, and the holder's answer is lost
    let unanswered = gateways[0].1.add(100.03, NAME, 2.0, LIFETIME);
    assert_eq!(unanswered, Some(7.0));
    for missing in 0..=2 {
        let mut new = Counters::new(2);
        new.set_quota(7, QUOTA);
        for (node, sums) in gateways.iter().skip(missing) {
            new.receive_handover(100.1, (*node, 1), &HandoverPart::single(sums.handover(100.1)));
        }
        new.complete_handover(100.1, &[]);
        let two_more = if missing == 0 { 2.0 } else { 0.0 };
        let filled = QUOTA.rate * (100.1 - 100.02);
        assert_near(
            new.level(NAME).expect("the customer has a store"),
            (level_before + filled).min(QUOTA.size) - two_more,
        );
    }
}

/// For a handover that arrives after the totals are complete, only what was added since is taken out, and only once.
#[test]
fn a_late_handover_takes_out_only_new_usage() {
    let mut old = counters();
    let (early, late) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut old, 100.0, late, 5.0);
    let level_before = add(&mut old, 100.0, early, 4.0);
    late.1.add(100.0, NAME, 3.0, LIFETIME);
    let mut new = Counters::new(2);
    new.set_quota(7, QUOTA);
    new.receive_handover(100.0, (1, 1), &HandoverPart::single(early.1.handover(100.0)));
    new.complete_handover(100.0, &[2]);
    assert_near(new.level(NAME).expect("the customer has a store"), level_before);
    let part = HandoverPart::single(late.1.handover(100.0));
    new.receive_handover(100.0, (2, 1), &part);
    assert_near(new.level(NAME).expect("the customer has a store"), level_before - 3.0);
    new.receive_handover(100.0, (2, 1), &part);
    assert_near(new.level(NAME).expect("the customer has a store"), level_before - 3.0);
}

/// No remaining gateway has a reading: the store starts full, minus what new gateways have used.
#[test]
fn a_store_without_a_reading_starts_full() {
    let mut new = Counters::new(2);
    new.set_quota(7, QUOTA);
    let mut sums = LocalSums::default();
    sums.add(100.0, NAME, 4.0, LIFETIME);
    new.receive_handover(100.0, (1, 1), &HandoverPart::single(sums.handover(100.0)));
    new.complete_handover(100.0, &[]);
    assert_near(new.level(NAME).expect("the customer has a store"), QUOTA.size - 4.0);
}

/// The newest reading is used: an older one cannot show whether the store was full in between.
#[test]
fn a_new_holder_uses_the_newest_reading() {
    let mut old = counters();
    let (early, late) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut old, 100.0, early, 10.0);
    add(&mut old, 100.3, late, 5.0);
    let level_before = old.level(NAME).expect("the customer has a store") + QUOTA.rate;
    for order in [[0, 1], [1, 0]] {
        let mut new = Counters::new(2);
        new.set_quota(7, QUOTA);
        for nth in order {
            let (node, sums) = [&*early, &*late][nth];
            new.receive_handover(101.3, (*node, 1), &HandoverPart::single(sums.handover(101.3)));
        }
        new.complete_handover(101.3, &[]);
        assert_near(new.level(NAME).expect("the customer has a store"), level_before.min(QUOTA.size));
    }
}

/// What was taken out for a silent gateway is not put back when the gateway is gone for good.
#[test]
fn nothing_is_put_back_for_a_gateway_that_left() {
    let mut counters = counters();
    let (active, silent) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut counters, 1.0, active, 5.0);
    add(&mut counters, 1.0, silent, 5.0);
    let mut now = 1.0;
    while now < 3.0 - TOLERANCE {
        now += 0.1;
        add(&mut counters, now, active, 2.0);
    }
    let level = counters.level(NAME).expect("the customer has a store");
    assert!(counters.presumed(NAME) > 5.0 && level < QUOTA.size - 5.0);
    counters.remove_gateway(2);
    assert_near(counters.level(NAME).expect("the customer has a store"), level);
}

/// A gateway that is back reports its usage during the silence and refunds that of rejected requests: these refunds must
/// not put back what had been taken out for it in advance either.
#[test]
fn refunds_after_a_silence_put_back_no_more_than_was_charged() {
    let mut counters = counters();
    let (active, silent) = (&mut (1, LocalSums::default()), &mut (2, LocalSums::default()));
    add(&mut counters, 1.0, active, 5.0);
    add(&mut counters, 1.0, silent, 5.0);
    let mut now = 1.0;
    while now < 4.0 - TOLERANCE {
        now += 0.1;
        add(&mut counters, now, active, 2.0);
    }
    let (level, presumed) =
        (counters.level(NAME).expect("the customer has a store"), counters.presumed(NAME));
    assert_near(add(&mut counters, now, silent, 8.0), level - (8.0 - presumed).max(0.0));
    assert_near(add(&mut counters, now, silent, -8.0), level);
    assert_near(add(&mut counters, now, silent, 1.0), level - 1.0);
    // what a gateway reports long after it is back was not used during the silence
    let quiet = &mut (3, LocalSums::default());
    add(&mut counters, now, quiet, 5.0);
    for _ in 0..20 {
        now += 0.1;
        add(&mut counters, now, active, 2.0);
    }
    counters.record_contact(now, 3);
    for _ in 0..20 {
        now += 0.1;
        add(&mut counters, now, active, 2.0);
        counters.record_contact(now, 3);
    }
    let level = counters.level(NAME).expect("the customer has a store");
    assert_near(add(&mut counters, now, quiet, 3.0), level - 3.0);
}
