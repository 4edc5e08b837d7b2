use super::*;
use crate::record::{Arrival, ClientRequest};

fn settings() -> GatewaySettings {
    GatewaySettings::parse(include_str!("../../../example/config.json"))
        .expect("the example configuration is valid")
}
fn arrival(id: u64, class: u8) -> Arrival {
    Arrival {
        server: 0,
        at: 1.0,
        id,
        class,
        customer: 1,
        ran: true,
        repeat_of_key: false,
        running: 0,
        limit: 4,
        cold: false,
        since_drain_announced: f64::NAN,
        customer_open: vec![(0, id)],
    }
}
fn request(outcome: Outcome) -> ClientRequest {
    ClientRequest {
        id: 9,
        gateway: 0,
        customer: 1,
        class: 0,
        plan: 1,
        due: 0.0,
        sent: 0.0,
        timeout: 1.0,
        outcome,
        ended: 0.5,
        is_retry: false,
    }
}

#[test]
fn each_violation_is_attributed_to_its_rule() {
    let settings = settings();
    let notice = settings.classes.iter().position(|c| c.effect == Effect::Once).unwrap() as u8;
    let mut r = Record {
        requests: vec![request(Outcome::Passed)],
        arrivals: vec![arrival(5, notice)],
        ..Record::default()
    };
    assert!(no_violations(&check(&r, &settings, 1.0)));
    r.arrivals.push(arrival(5, notice));
    r.arrivals.push(Arrival { since_drain_announced: 1.2, ..arrival(6, 0) });
    r.arrivals.push(Arrival { cold: true, running: 4, ..arrival(7, 0) });
    r.arrivals.push(Arrival { customer_open: vec![(0, 1), (0, 2), (1, 3)], ..arrival(8, 0) });
    r.requests.push(request(Outcome::Late));
    let v = check(&r, &settings, 1.0);
    assert!(Rule::ALL.iter().all(|rule| v[rule].count == 1), "{v:?}");
}

#[test]
fn permitted_behaviour_is_no_violation() {
    let settings = settings();
    let order = settings.classes.iter().position(|c| c.effect == Effect::ByKey).unwrap() as u8;
    let r = Record {
        requests: vec![request(Outcome::GaveUp), request(Outcome::Denied)],
        arrivals: vec![
            arrival(5, 0),
            arrival(5, 0),
            arrival(6, order),
            Arrival { repeat_of_key: true, ..arrival(6, order) },
            Arrival { since_drain_announced: 1.04, ..arrival(7, 0) },
            Arrival { cold: true, running: 3, ..arrival(8, 0) },
            Arrival { customer_open: vec![(0, 1), (0, 2)], ..arrival(9, 0) },
        ],
        ..Record::default()
    };
    assert!(no_violations(&check(&r, &settings, 1.0)));
}
