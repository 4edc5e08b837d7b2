use super::*;
use crate::record::ClientRequest;

#[test]
fn summary_counts_requests_by_outcome_and_time() {
    let s = Scenario::parse("name = \"t\"\nduration_s = 2\nbucket_s = 1\n").unwrap();
    let settings = GatewaySettings::parse(include_str!("../../../example/config.json")).unwrap();
    let request = |sent: f64, outcome, latency: f64| ClientRequest {
        id: 1,
        gateway: 0,
        customer: 0,
        class: 0,
        plan: 2,
        due: sent,
        sent,
        timeout: 1.0,
        outcome,
        ended: sent + latency,
        is_retry: false,
    };
    let r = Record {
        requests: vec![
            request(0.1, Outcome::Passed, 0.01),
            request(0.2, Outcome::Passed, 0.9),
            request(1.5, Outcome::Denied, 0.0),
            request(1.6, Outcome::GaveUp, 0.2),
        ],
        ..Record::default()
    };
    let sum = Summary::of(&s, &settings, &r, vec![], 0);
    assert_eq!((sum.counts[&Outcome::Passed], sum.counts[&Outcome::Denied], sum.requests), (2, 1, 4));
    assert_eq!(sum.missed, 2, "the slow response and the denial");
    assert!((sum.missed_share() - 2.0 / 3.0).abs() < 1e-9);
    assert_eq!((sum.timeline[0].passed, sum.timeline[1].denied, sum.timeline[1].other), (2, 1, 0));
    assert!(sum.rules_kept());
    assert!(compare(&sum, &sum).contains("| goodput /s | 1 | 1 | 1 |"));
}
