use super::*;

#[test]
fn a_report_goes_again_only_where_nothing_was_added() {
    let mut l = Ledger::new(3);
    l.spent(7, 2.0);
    l.spent(7, 1.0);
    l.spent(9, 4.0);
    let first = l.due();
    assert_eq!(
        first.iter().map(|r| (r.customer, r.units, r.seq)).collect::<Vec<_>>(),
        [(7, 3.0, 0), (9, 4.0, 1)]
    );
    assert!(l.due().is_empty(), "nothing twice while out");
    l.ended(0, Outcome::NotAdded);
    l.ended(1, Outcome::InDoubt);
    l.ended(1, Outcome::Added);
    assert_eq!((l.reported, l.in_doubt), (0.0, 4.0), "an ended report ends once");
    let again = l.due();
    assert_eq!(again, [Report { gateway: 3, seq: 2, customer: 7, units: 3.0 }]);
    l.ended(2, Outcome::Added);
    assert_eq!((l.reported, l.unsettled()), (3.0, 0.0));
}
