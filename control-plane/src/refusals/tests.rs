use super::*;

#[test]
fn a_reason_is_cut_between_characters() {
    assert_eq!(bounded("short"), "short");
    let exact = "é".repeat(REASON_CHARACTERS);
    assert_eq!(bounded(&exact), exact);
    assert_eq!(bounded(&format!("{exact}x")), format!("{exact}..."));
}

#[test]
fn all_are_counted_and_a_few_a_second_are_told() {
    let refusals = Refusals::default();
    let record = |second| refusals.record(second, "configuration", ErrorKind::Invalid, "version", 0);
    (0..10).for_each(|_| record(1));
    assert_eq!((refusals.count(), refusals.untold.get()), (10, 6));
    record(2);
    assert_eq!((refusals.count(), refusals.untold.get()), (11, 0));
}
