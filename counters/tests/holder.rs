//! The holder's counters when the handover of a gateway is late or was sent for a different epoch.

use lupinledge_counters::handover::{HandoverEntry, HandoverPart};
use lupinledge_counters::holder::{Answer, CounterHolder, GatewayStatus, HandoverStatus, REORDER_WINDOW};
use lupinledge_counters::{Node, Total};

const NAME: u64 = 1 << 24;

fn status(node: Node, alive: bool) -> GatewayStatus {
    GatewayStatus { node, alive, leaving: false, gone: false }
}

/// A total of a customer without a quota.
fn counted(counted: f64) -> Total {
    Total { counted, level: None }
}

/// A gateway that was unreachable when the counters became complete is asked for its handover once it is back;
/// otherwise its sum would be counted twice.
#[test]
fn a_missing_handover_is_requested_when_the_gateway_is_back() {
    let mut holder = CounterHolder::default();
    holder.start_epoch(1.0, 2);
    assert_eq!(holder.poll(1.0, &[status(7, true), status(8, false)]), HandoverStatus::Collecting(vec![7]));
    let handover = |sum, counted_in_total, total| {
        HandoverPart::single(vec![HandoverEntry {
            name: NAME,
            sum,
            counted_in_total,
            total,
            life: 60.0,
            store: None,
        }])
    };
    holder.receive_handover(1.1, 2, (7, 1), &handover(4.0, 4.0, 10.0));
    assert_eq!(holder.apply_call(1.1, (7, 1), 1, [(NAME, 4.0, 60.0)].into_iter()), None);
    let answer = Answer { from: (7, 1), tag: 1, totals: vec![counted(10.0)] };
    assert_eq!(
        holder.poll(1.2, &[status(7, true), status(8, false)]),
        HandoverStatus::Completed(vec![answer], 1)
    );
    let counted_twice = holder.apply_call(3.0, (8, 1), 1, [(NAME, 6.0, 60.0)].into_iter());
    assert_eq!(counted_twice, Some(vec![counted(16.0)]));
    assert_eq!(holder.poll(3.1, &[status(7, true), status(8, true)]), HandoverStatus::Serving(vec![8]));
    holder.receive_handover(3.2, 2, (8, 1), &handover(6.0, 6.0, 10.0));
    assert_eq!(holder.poll(3.3, &[status(7, true), status(8, true)]), HandoverStatus::Serving(vec![]));
    assert_eq!(holder.apply_call(3.3, (8, 1), 2, [(NAME, 6.0, 60.0)].into_iter()), Some(vec![counted(10.0)]));
}

/// A late handover that was sent for a different epoch is ignored, also if the same node held both epochs. The gateway
/// is asked again.
#[test]
fn a_handover_for_a_different_epoch_is_ignored() {
    let mut holder = CounterHolder::default();
    holder.start_epoch(1.0, 2);
    holder.start_epoch(2.0, 4);
    let part = HandoverPart::single(vec![HandoverEntry {
        name: NAME,
        sum: 9.0,
        counted_in_total: 9.0,
        total: 90.0,
        life: 60.0,
        store: None,
    }]);
    for epoch in [2, 3, 5] {
        holder.receive_handover(2.1, epoch, (7, 1), &part);
        assert_eq!(
            holder.poll(2.1, &[status(7, true)]),
            HandoverStatus::Collecting(vec![7]),
            "epoch {epoch}"
        );
    }
    holder.receive_handover(2.2, 4, (7, 1), &part);
    assert!(matches!(holder.poll(2.2, &[status(7, true)]), HandoverStatus::Completed(..)));
}

/// Sums never decrease because of reordering: a call that was overtaken by a later one of the same incarnation is
/// ignored, also where call numbers wrap around. Other incarnations are counted separately.
#[test]
fn an_overtaken_call_is_ignored() {
    for first in [1_u64, 0xfffe, 0xffff] {
        let mut holder = CounterHolder::default();
        holder.start_epoch(1.0, 2);
        assert!(matches!(holder.poll(2.0, &[]), HandoverStatus::Completed(..)));
        let tag = |n: u64| 3 << 16 | (first + n) & 0xffff;
        let mut now = 3.0;
        let mut count = |incarnation, tag, sum| {
            let calls = [(NAME, sum, 60.0)].into_iter();
            now += 0.01;
            holder.apply_call(now, (7, incarnation), tag, calls).expect("totals")[0].counted
        };
        assert_eq!(count(3, tag(0), 2.0), 2.0);
        assert_eq!(count(3, tag(2), 8.0), 8.0);
        assert_eq!(count(3, tag(1), 5.0), 8.0, "overtaken");
        assert_eq!(count(3, tag(2), 8.0), 8.0, "duplicated");
        assert_eq!(count(3, tag(3), 7.0), 7.0, "an amount that was not counted is subtracted");
        assert_eq!(count(4, 4 << 16 | 1, 1.0), 8.0, "new incarnation");
        // after an absence in which its numbers may have wrapped around, a call is counted at once
        let calls = [(NAME, 9.0, 60.0)].into_iter();
        assert_eq!(
            holder.apply_call(now + REORDER_WINDOW, (7, 4), 4 << 16 | 0x9000, calls),
            Some(vec![counted(16.0)])
        );
    }
}
