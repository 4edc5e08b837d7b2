//! What the duty holder does with its counters when gateways tell late, or what was meant for another epoch.

use lupinledge_counters::handover::{HandoverEntry, HandoverPart};
use lupinledge_counters::holder::{Answer, CounterHolder, GatewayStatus, HandoverStatus, LATE};
use lupinledge_counters::{Node, Total};

const NAME: u64 = 1 << 24;

fn seen(node: Node, alive: bool) -> GatewayStatus {
    GatewayStatus { node, alive, leaving: false, gone: false }
}

/// One that was out of reach as the counters became whole is asked when it is back, so that it is not counted
/// twice.
/// A total of a customer without a quota.
fn counted(counted: f64) -> Total {
    Total { counted, level: None }
}

#[test]
fn who_has_not_told_is_asked_again() {
    let mut duty = CounterHolder::default();
    duty.start_epoch(1.0, 2);
    assert_eq!(duty.poll(1.0, &[seen(7, true), seen(8, false)]), HandoverStatus::Collecting(vec![7]));
    let told = |sum, within, total| {
        HandoverPart::single(vec![HandoverEntry { name: NAME, sum, within, total, life: 60.0, store: None }])
    };
    duty.receive_handover(1.1, 2, (7, 1), &told(4.0, 4.0, 10.0));
    assert_eq!(duty.apply_call(1.1, (7, 1), 1, [(NAME, 4.0, 60.0)].into_iter()), None);
    let answer = Answer { from: (7, 1), tag: 1, totals: vec![counted(10.0)] };
    assert_eq!(duty.poll(1.2, &[seen(7, true), seen(8, false)]), HandoverStatus::Completed(vec![answer], 1));
    let twice = duty.apply_call(3.0, (8, 1), 1, [(NAME, 6.0, 60.0)].into_iter());
    assert_eq!(twice, Some(vec![counted(16.0)]));
    assert_eq!(duty.poll(3.1, &[seen(7, true), seen(8, true)]), HandoverStatus::Serving(vec![8]));
    duty.receive_handover(3.2, 2, (8, 1), &told(6.0, 6.0, 10.0));
    assert_eq!(duty.poll(3.3, &[seen(7, true), seen(8, true)]), HandoverStatus::Serving(vec![]));
    assert_eq!(duty.apply_call(3.3, (8, 1), 2, [(NAME, 6.0, 60.0)].into_iter()), Some(vec![counted(10.0)]));
}

/// What a gateway told the holder of another epoch, and comes late, is none of this one's: the same machine may have
/// held both. It is asked again.
#[test]
fn told_to_another_epoch() {
    let mut duty = CounterHolder::default();
    duty.start_epoch(1.0, 2);
    duty.start_epoch(2.0, 4);
    let told = HandoverPart::single(vec![HandoverEntry {
        name: NAME,
        sum: 9.0,
        within: 9.0,
        total: 90.0,
        life: 60.0,
        store: None,
    }]);
    for late in [2, 3, 5] {
        duty.receive_handover(2.1, late, (7, 1), &told);
        assert_eq!(duty.poll(2.1, &[seen(7, true)]), HandoverStatus::Collecting(vec![7]), "of {late}");
    }
    duty.receive_handover(2.2, 4, (7, 1), &told);
    assert!(matches!(duty.poll(2.2, &[seen(7, true)]), HandoverStatus::Completed(..)));
}

/// Sums don't go back: a call that a later one of the same start has overtaken adds nothing, also where numbers begin
/// again; another start's count by themselves.
#[test]
fn an_overtaken_call_adds_nothing() {
    for first in [1_u64, 0xfffe, 0xffff] {
        let mut duty = CounterHolder::default();
        duty.start_epoch(1.0, 2);
        assert!(matches!(duty.poll(2.0, &[]), HandoverStatus::Completed(..)));
        let tag = |n: u64| 3 << 16 | (first + n) & 0xffff;
        let mut now = 3.0;
        let mut count = |incarnation, tag, sum| {
            let calls = [(NAME, sum, 60.0)].into_iter();
            now += 0.01;
            duty.apply_call(now, (7, incarnation), tag, calls).expect("totals")[0].counted
        };
        assert_eq!(count(3, tag(0), 2.0), 2.0);
        assert_eq!(count(3, tag(2), 8.0), 8.0);
        assert_eq!(count(3, tag(1), 5.0), 8.0, "overtaken");
        assert_eq!(count(3, tag(2), 8.0), 8.0, "doubled");
        assert_eq!(count(3, tag(3), 7.0), 7.0, "what was not counted is taken off again");
        assert_eq!(count(4, 4 << 16 | 1, 1.0), 8.0, "another start");
        // out of reach for so long that its numbers went round: it counts at once again
        let calls = [(NAME, 9.0, 60.0)].into_iter();
        assert_eq!(duty.apply_call(now + LATE, (7, 4), 4 << 16 | 0x9000, calls), Some(vec![counted(16.0)]));
    }
}
