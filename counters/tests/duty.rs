//! What the duty holder does with its counters when gateways tell late, or what was meant for another epoch.

use lupinledge_counters::duty::{Answer, Duty, Look, Seen, LATE};
use lupinledge_counters::told::{Part, Told};
use lupinledge_counters::{Node, Total};

const NAME: u64 = 1 << 24;

fn seen(node: Node, alive: bool) -> Seen {
    Seen { node, alive, leaving: false, gone: false }
}

/// One that was out of reach as the counters became whole is asked when it is back, so that it is not counted
/// twice.
/// A total of a customer without a quota.
fn counted(counted: f64) -> Total {
    Total { counted, level: None }
}

#[test]
fn who_has_not_told_is_asked_again() {
    let mut duty = Duty::default();
    duty.hold(1.0, 2);
    assert_eq!(duty.look(1.0, &[seen(7, true), seen(8, false)]), Look::Ask(vec![7]));
    let told = |sum, within, total| {
        Part::whole(vec![Told { name: NAME, sum, within, total, life: 60.0, store: None }])
    };
    duty.tell(1.1, 2, (7, 1), &told(4.0, 4.0, 10.0));
    assert_eq!(duty.count(1.1, (7, 1), 1, [(NAME, 4.0, 60.0)].into_iter()), None);
    let answer = Answer { from: (7, 1), tag: 1, totals: vec![counted(10.0)] };
    assert_eq!(duty.look(1.2, &[seen(7, true), seen(8, false)]), Look::Closed(vec![answer], 1));
    let twice = duty.count(3.0, (8, 1), 1, [(NAME, 6.0, 60.0)].into_iter());
    assert_eq!(twice, Some(vec![counted(16.0)]));
    assert_eq!(duty.look(3.1, &[seen(7, true), seen(8, true)]), Look::Whole(vec![8]));
    duty.tell(3.2, 2, (8, 1), &told(6.0, 6.0, 10.0));
    assert_eq!(duty.look(3.3, &[seen(7, true), seen(8, true)]), Look::Whole(vec![]));
    assert_eq!(duty.count(3.3, (8, 1), 2, [(NAME, 6.0, 60.0)].into_iter()), Some(vec![counted(10.0)]));
}

/// What a gateway told the holder of another epoch, and comes late, is none of this one's: the same machine may have
/// held both. It is asked again.
#[test]
fn told_to_another_epoch() {
    let mut duty = Duty::default();
    duty.hold(1.0, 2);
    duty.hold(2.0, 4);
    let told =
        Part::whole(vec![Told { name: NAME, sum: 9.0, within: 9.0, total: 90.0, life: 60.0, store: None }]);
    for late in [2, 3, 5] {
        duty.tell(2.1, late, (7, 1), &told);
        assert_eq!(duty.look(2.1, &[seen(7, true)]), Look::Ask(vec![7]), "of {late}");
    }
    duty.tell(2.2, 4, (7, 1), &told);
    assert!(matches!(duty.look(2.2, &[seen(7, true)]), Look::Closed(..)));
}

/// Sums don't go back: a call that a later one of the same start has overtaken adds nothing, also where numbers begin
/// again; another start's count by themselves.
#[test]
fn an_overtaken_call_adds_nothing() {
    for first in [1_u64, 0xfffe, 0xffff] {
        let mut duty = Duty::default();
        duty.hold(1.0, 2);
        assert!(matches!(duty.look(2.0, &[]), Look::Closed(..)));
        let tag = |n: u64| 3 << 16 | (first + n) & 0xffff;
        let mut now = 3.0;
        let mut count = |incarnation, tag, sum| {
            let calls = [(NAME, sum, 60.0)].into_iter();
            now += 0.01;
            duty.count(now, (7, incarnation), tag, calls).expect("totals")[0].counted
        };
        assert_eq!(count(3, tag(0), 2.0), 2.0);
        assert_eq!(count(3, tag(2), 8.0), 8.0);
        assert_eq!(count(3, tag(1), 5.0), 8.0, "overtaken");
        assert_eq!(count(3, tag(2), 8.0), 8.0, "doubled");
        assert_eq!(count(3, tag(3), 7.0), 7.0, "what was not counted is taken off again");
        assert_eq!(count(4, 4 << 16 | 1, 1.0), 8.0, "another start");
        // out of reach for so long that its numbers went round: it counts at once again
        let calls = [(NAME, 9.0, 60.0)].into_iter();
        assert_eq!(duty.count(now + LATE, (7, 4), 4 << 16 | 0x9000, calls), Some(vec![counted(16.0)]));
    }
}
