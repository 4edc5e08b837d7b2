//! How well quotas held: each customer's units that ran at srvs in each window of the run, against the most its
//! plan allows in such a window, and denials of customers that still had room. Pure, from the record alone.
//!
//! A req takes one unit (the load tool sends `units=1`). A uniqued req answered from a srv's memory takes none.

use crate::record::{End, Record};
use crate::terms::LabTerms;
use std::collections::BTreeMap;

/// One customer's window.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    pub customer: u32,
    /// Start of the window, s.
    pub t: f64,
    pub used: f64,
    pub allowed: f64,
    /// Its denials while its use in the window was still below `room_below` of what it is allowed.
    pub denied_with_room: usize,
}

impl Window {
    /// Use above what is allowed, as a share of it: 0.05 is 5% over.
    pub fn over(&self) -> f64 {
        (self.used / self.allowed - 1.0).max(0.0)
    }
}

/// The windows of every customer with a rated plan that sent anything, in order of customer and time.
/// `room_below` is the share of the allowance under which a denial counts as one with room (0.95 by issue 16).
pub fn windows(record: &Record, terms: &LabTerms, span_s: f64, room_below: f64) -> Vec<Window> {
    let plans: BTreeMap<u32, u8> = record.reqs.iter().map(|r| (r.customer, r.plan)).collect();
    let slot = |t: f64| (t / span_s).floor().max(0.0) as u64;
    let mut used: BTreeMap<(u32, u64), f64> = BTreeMap::new();
    let mut runs: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
    for a in record.arrivals.iter().filter(|a| a.ran && !a.repeat_of_key) {
        *used.entry((a.customer, slot(a.at))).or_default() += 1.0;
        runs.entry(a.customer).or_default().push(a.at);
    }
    let mut out: BTreeMap<(u32, u64), Window> = BTreeMap::new();
    let allowed =
        |c: &u32| plans.get(c).and_then(|p| terms.plans.get(*p as usize)).and_then(|p| p.allowed(span_s));
    for ((c, w), u) in &used {
        if let Some(allowed) = allowed(c) {
            out.insert(
                (*c, *w),
                Window { customer: *c, t: *w as f64 * span_s, used: *u, allowed, denied_with_room: 0 },
            );
        }
    }
    for r in record.reqs.iter().filter(|r| r.end == End::Denied) {
        let Some(allowed) = allowed(&r.customer) else { continue };
        let w = slot(r.sent);
        let start = w as f64 * span_s;
        let before =
            runs.get(&r.customer).map_or(0, |ts| ts.iter().filter(|t| (start..r.sent).contains(*t)).count());
        if (before as f64) < room_below * allowed * ((r.sent - start) / span_s).max(0.0) {
            let e = out.entry((r.customer, w));
            e.or_insert(Window {
                customer: r.customer,
                t: start,
                used: 0.0,
                allowed,
                denied_with_room: 0,
            })
            .denied_with_room += 1;
        }
    }
    out.into_values().collect()
}

/// The worst overshoot of any window, and how many windows were over by more than `bound`.
pub fn worst(ws: &[Window], bound: f64) -> (f64, usize) {
    let most = ws.iter().map(Window::over).fold(0.0, f64::max);
    (most, ws.iter().filter(|w| w.over() > bound).count())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{Arrival, Req};

    fn arrival(customer: u32, at: f64) -> Arrival {
        Arrival {
            srv: 0,
            at,
            id: 1,
            class: 0,
            customer,
            ran: true,
            repeat_of_key: false,
            running: 0,
            limit: 9,
            cold: false,
            since_drain: f64::NAN,
            customer_open: vec![],
        }
    }

    #[test]
    fn use_over_the_bucket_is_found_and_denials_with_room_are_counted() {
        let terms = LabTerms::parse(include_str!("../../example/config.json")).unwrap();
        let free = terms.plan("free").unwrap() as u8;
        let allowed = terms.plans[free as usize].allowed(10.0).unwrap();
        let req = |customer, sent, end| Req {
            id: 1,
            gateway: 0,
            customer,
            class: 0,
            plan: free,
            due: sent,
            sent,
            timeout: 1.0,
            end,
            ended: sent,
            again: false,
        };
        let mut r =
            Record { reqs: vec![req(1, 0.0, End::Passed), req(2, 5.0, End::Denied)], ..Record::default() };
        let n = (allowed * 1.2).round() as usize;
        r.arrivals = (0..n).map(|i| arrival(1, i as f64 * 9.0 / n as f64)).collect();
        let ws = windows(&r, &terms, 10.0, 0.95);
        assert_eq!(ws.len(), 2);
        assert!((ws[0].over() - (n as f64 / allowed - 1.0)).abs() < 1e-9);
        assert_eq!(ws[1].denied_with_room, 1, "customer 2 had used nothing");
        assert_eq!(worst(&ws, 0.05).1, 1);
        r.arrivals.truncate(allowed as usize);
        assert_eq!(worst(&windows(&r, &terms, 10.0, 0.95), 0.05), (0.0, 0));
    }
}
