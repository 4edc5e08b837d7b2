use super::*;

fn fault(at: f64, span: f64, target: &str, kind: FaultKind) -> Fault {
    Fault { at, span, target: target.into(), kind }
}

#[test]
fn limit_of_a_cold_server_grows_to_its_capacity() {
    let f = [fault(2.0, 10.0, "srv:1", FaultKind::Cold { cold_from: 0.3 })];
    assert_eq!(server_limit(&f, 1, 10, 1.0), (10, false));
    assert_eq!(server_limit(&f, 1, 10, 2.0), (3, true));
    assert_eq!(server_limit(&f, 1, 10, 7.0), (6, true));
    assert_eq!(server_limit(&f, 0, 10, 7.0), (10, false));
    assert_eq!(server_limit(&f, 1, 10, 12.0), (10, false));
    assert_eq!(server_limit(&f, 1, 2, 2.0), (1, true));
}

#[test]
fn later_fault_takes_precedence_and_drains_are_remembered() {
    let f = [
        fault(1.0, 5.0, "srv:0", FaultKind::Failing),
        fault(2.0, 1.0, "srv:0", FaultKind::Silent),
        fault(3.0, 1.0, "srv:0", FaultKind::Drain),
    ];
    assert_eq!(active_fault(&f, Target::Server(0), 2.5).map(|f| f.kind), Some(FaultKind::Silent));
    assert_eq!(active_fault(&f, Target::Server(0), 4.5).map(|f| f.kind), Some(FaultKind::Failing));
    assert_eq!(active_fault(&f, Target::Counter, 2.5).map(|f| f.kind), None);
    assert_eq!(drain_announced_at(&f, 0, 2.9), None);
    assert_eq!(drain_announced_at(&f, 0, 9.0), Some(3.0));
    let m = transitions(&f);
    assert_eq!(m.first(), Some(&(1.0, 0, true)));
    assert_eq!(m.last(), Some(&(6.0, 0, false)));
}
