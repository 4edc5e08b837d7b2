use super::*;

#[test]
fn a_reason_is_truncated_between_characters() {
    assert_eq!(truncated("short"), "short");
    let exact = "é".repeat(MAX_REASON_CHARACTERS);
    assert_eq!(truncated(&exact), exact);
    assert_eq!(truncated(&format!("{exact}x")), format!("{exact}..."));
}

#[test]
fn all_refusals_are_counted_and_a_few_per_second_logged() {
    let refusals = Refusals::default();
    let record = |second| refusals.record(second, "configuration", ErrorKind::Invalid, "version", 0);
    (0..10).for_each(|_| record(1));
    assert_eq!((refusals.count(), refusals.suppressed.get()), (10, 6));
    record(2);
    assert_eq!((refusals.count(), refusals.suppressed.get()), (11, 0));
}
