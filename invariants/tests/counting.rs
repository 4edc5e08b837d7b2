//! Violations are counted for each invariant, and the number of logged violations is bounded.

use lupinledge_invariants::{check, violations, Invariant};
use std::cell::Cell;

#[test]
fn all_violations_are_counted_and_at_most_20_are_logged() {
    let logged = Cell::new(0);
    let detail = || {
        logged.set(logged.get() + 1);
        String::new()
    };
    check(Invariant::RunOnce, true, detail);
    assert_eq!((violations(Invariant::RunOnce), logged.get()), (0, 0));
    (0..100).for_each(|_| check(Invariant::RunOnce, false, detail));
    assert_eq!((violations(Invariant::RunOnce), logged.get()), (100, 20));
    assert_eq!(violations(Invariant::HomeZone), 0);
}

#[test]
fn each_invariant_has_a_distinct_name_and_counter() {
    for (i, invariant) in Invariant::ALL.into_iter().enumerate() {
        assert_eq!(invariant as usize, i);
        let same_name = Invariant::ALL.into_iter().filter(|other| other.name() == invariant.name());
        assert_eq!(same_name.count(), 1);
    }
}
