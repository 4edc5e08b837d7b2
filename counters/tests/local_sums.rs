//! A gateway's own sums: bounded, and a sum that was sent is not evicted before its name expires.

use lupinledge_counters::local_sums::{LocalSums, MAX_NAMES};
use lupinledge_counters::Counters;

const LIFETIME: f64 = 60.0;

fn name(customer: usize) -> u64 {
    (customer as u64) << 24
}

/// Adds 5 units twice to more names than have room: a name is counted both times or not at all. An evicted sum would
/// restart at 0 and reduce the holder's total.
#[test]
fn a_full_table_evicts_no_sum_that_was_sent() {
    let (mut sums, mut counters) = (LocalSums::default(), Counters::new(1));
    counters.complete_handover(0.0, &[]);
    for (round, now) in [(1.0, 0.0), (2.0, 30.0)] {
        for customer in 0..MAX_NAMES + 1000 {
            // a name with room in the first round has room in the second
            let has_room = customer < MAX_NAMES;
            let sum = sums.add(now, name(customer), 5.0, LIFETIME);
            assert_eq!(sum.is_some(), has_room, "{customer}");
            let total = sum.map(|sum| counters.record_sum(now, (1, 1), name(customer), sum, LIFETIME));
            assert_eq!(total, has_room.then_some(5.0 * round), "{customer}");
        }
    }
    assert_eq!(sums.handover(30.0).len(), MAX_NAMES);
}

#[test]
fn expired_names_make_room() {
    let mut sums = LocalSums::default();
    (0..MAX_NAMES).for_each(|customer| assert!(sums.add(0.0, name(customer), 1.0, 4.0).is_some()));
    assert_eq!(sums.add(3.9, name(MAX_NAMES), 1.0, LIFETIME), None);
    assert_eq!(sums.add(5.0, name(MAX_NAMES), 1.0, LIFETIME), Some(1.0));
    assert_eq!(sums.handover(5.0).len(), 1);
}
