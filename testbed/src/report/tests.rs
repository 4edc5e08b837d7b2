use super::*;
use crate::record::Req;

#[test]
fn a_summary_counts_and_buckets_its_reqs() {
    let s = Scenario::parse("name = \"t\"\nduration_s = 2\nbucket_s = 1\n").unwrap();
    let terms = LabTerms::parse(include_str!("../../../example/config.json")).unwrap();
    let req = |sent: f64, end, latency: f64| Req {
        id: 1,
        gateway: 0,
        customer: 0,
        class: 0,
        plan: 2,
        due: sent,
        sent,
        timeout: 1.0,
        end,
        ended: sent + latency,
        again: false,
    };
    let r = Record {
        reqs: vec![
            req(0.1, End::Passed, 0.01),
            req(0.2, End::Passed, 0.9),
            req(1.5, End::Denied, 0.0),
            req(1.6, End::GaveUp, 0.2),
        ],
        ..Record::default()
    };
    let sum = Summary::of(&s, &terms, &r, vec![], 0);
    assert_eq!((sum.counts[&End::Passed], sum.counts[&End::Denied], sum.reqs), (2, 1, 4));
    assert_eq!(sum.missed, 2, "the slow pass and the denial");
    assert!((sum.missed_share() - 2.0 / 3.0).abs() < 1e-9);
    assert_eq!((sum.timeline[0].passed, sum.timeline[1].denied, sum.timeline[1].other), (2, 1, 0));
    assert!(sum.kept());
    assert!(compare(&sum, &sum).contains("| goodput /s | 1 | 1 | 1 |"));
}
