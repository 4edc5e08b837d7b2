use super::*;
use crate::record::{Arrival, ClientRequest};

fn arrival(customer: u32, at: f64) -> Arrival {
    Arrival {
        server: 0,
        at,
        id: (at * 1e6) as u64 + customer as u64,
        class: 0,
        customer,
        ran: true,
        repeat_of_key: false,
        running: 0,
        limit: 9,
        cold: false,
        since_drain_announced: f64::NAN,
        customer_open: vec![],
    }
}

#[test]
fn detects_usage_above_the_allowance_and_counts_denials_with_room() {
    let settings = GatewaySettings::parse(include_str!("../../../example/config.json")).unwrap();
    let free = settings.plan("free").unwrap() as u8;
    let allowed = settings.plans[free as usize].allowed(10.0).unwrap();
    let request = |customer, sent, outcome| ClientRequest {
        id: 1,
        gateway: 0,
        customer,
        class: 0,
        plan: free,
        due: sent,
        sent,
        timeout: 1.0,
        outcome,
        ended: sent,
        is_retry: false,
    };
    let mut r = Record {
        requests: vec![request(1, 0.0, Outcome::Passed), request(2, 5.0, Outcome::Denied)],
        ..Record::default()
    };
    let n = (allowed * 1.2).round() as usize;
    r.arrivals = (0..n).map(|i| arrival(1, i as f64 * 9.0 / n as f64)).collect();
    r.arrivals.push(r.arrivals[0].clone());
    let ws = windows(&r, &settings, 10.0, 0.95);
    assert_eq!(ws.len(), 2);
    assert!((ws[0].over() - (n as f64 / allowed - 1.0)).abs() < 1e-9);
    assert_eq!(ws[1].denied_with_room, 1, "customer 2 had not used any units");
    assert_eq!(ws[0].used, n as f64, "a second attempt of a request uses no second unit");
    assert_eq!(worst(&ws, 0.05).1, 1);
    r.arrivals.truncate(allowed as usize);
    assert_eq!(worst(&windows(&r, &settings, 10.0, 0.95), 0.05), (0.0, 0));
}
