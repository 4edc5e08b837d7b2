//! Violations are counted by invariant, and what is logged of them is bounded.

use lupinledge_invariants::{check, violations, Invariant};
use std::cell::Cell;

#[test]
fn violations_are_counted_and_few_are_described() {
    let described = Cell::new(0);
    let describe = || {
        described.set(described.get() + 1);
        String::new()
    };
    check(Invariant::RunOnce, true, describe);
    assert_eq!((violations(Invariant::RunOnce), described.get()), (0, 0));
    (0..100).for_each(|_| check(Invariant::RunOnce, false, describe));
    assert_eq!((violations(Invariant::RunOnce), described.get()), (100, 20));
    assert_eq!(violations(Invariant::HomeZone), 0);
}

#[test]
fn each_has_a_name_and_a_count_of_its_own() {
    for (i, invariant) in Invariant::ALL.into_iter().enumerate() {
        assert_eq!(invariant as usize, i);
        let same_name = Invariant::ALL.into_iter().filter(|other| other.name() == invariant.name());
        assert_eq!(same_name.count(), 1);
    }
}
