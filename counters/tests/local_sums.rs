//! A gateway's own sums: bounded, and none that was told is forgotten while its name lives.

use lupinledge_counters::local_sums::{LocalSums, NAMES_MOST};
use lupinledge_counters::Counters;

const LIFE: f64 = 60.0;

fn name(customer: usize) -> u64 {
    (customer as u64) << 24
}

/// Twice by 5 units, of a few names more than have room: each second total grows by 5, or nothing was counted at all.
#[test]
fn a_full_table_forgets_nothing_that_was_told() {
    let (mut own, mut counters) = (LocalSums::default(), Counters::new(1));
    counters.close(0.0, &[]);
    for (round, now) in [(1.0, 0.0), (2.0, 30.0)] {
        for customer in 0..NAMES_MOST + 1000 {
            // it has room once, and then again
            let room = customer < NAMES_MOST;
            let sum = own.add(now, name(customer), 5.0, LIFE);
            assert_eq!(sum.is_some(), room, "{customer}");
            let total = sum.map(|sum| counters.put(now, (1, 1), name(customer), sum, LIFE));
            assert_eq!(total, room.then_some(5.0 * round), "{customer}");
        }
    }
    assert_eq!(own.handover(30.0).len(), NAMES_MOST);
}

#[test]
fn names_that_ended_make_room() {
    let mut own = LocalSums::default();
    (0..NAMES_MOST).for_each(|customer| assert!(own.add(0.0, name(customer), 1.0, 4.0).is_some()));
    assert_eq!(own.add(3.9, name(NAMES_MOST), 1.0, LIFE), None);
    assert_eq!(own.add(5.0, name(NAMES_MOST), 1.0, LIFE), Some(1.0));
    assert_eq!(own.handover(5.0).len(), 1);
}
