//! Accuracy of quotas: for each customer and time window, the units that ran at servers compared with the maximum its
//! plan allows in such a window, and the denials of customers below their quota. Pure functions of the record.
//!
//! A request uses one unit (the load generator sends `units=1`). A request answered from a server's stored answers
//! uses none.

use crate::gateway_settings::GatewaySettings;
use crate::record::{Outcome, Record};
use std::collections::BTreeMap;

/// The usage of one customer in one time window.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    /// Index of the customer.
    pub customer: u32,
    /// Start of the window, s.
    pub t: f64,
    /// Units used.
    pub used: f64,
    /// Maximum units that the plan allows in a window.
    pub allowed: f64,
    /// Number of denials, if the usage in the window was below the share `room_below` of the refill; otherwise 0.
    pub denied_with_room: usize,
}

impl Window {
    /// Usage above the allowance, as a share of it: 0.05 is 5% over.
    pub fn over(&self) -> f64 {
        (self.used / self.allowed - 1.0).max(0.0)
    }
}

/// The windows of every active customer whose plan has a rate limit, ordered by customer and time.
/// A request uses its units once, however many attempts reached servers: each request id counts at its first run.
/// The denials of a window count as denials with room if it used less than the share `room_below` of the token
/// bucket's refill in that time (the stored tokens may have been used in the window before).
pub fn windows(record: &Record, settings: &GatewaySettings, span_s: f64, room_below: f64) -> Vec<Window> {
    let plans = crate::rules::customer_plans(record);
    let window_index = |t: f64| (t / span_s).floor().max(0.0) as u64;
    let mut first_runs: BTreeMap<u64, (u32, f64)> = BTreeMap::new();
    for a in record.arrivals.iter().filter(|a| a.ran && !a.repeat_of_key) {
        let first_run = first_runs.entry(a.id).or_insert((a.customer, a.at));
        first_run.1 = first_run.1.min(a.at);
    }
    let plan = |c: &u32| plans.get(c).and_then(|p| settings.plans.get(*p as usize));
    let mut out: BTreeMap<(u32, u64), Window> = BTreeMap::new();
    fn window_at(
        out: &mut BTreeMap<(u32, u64), Window>,
        customer_id: u32,
        index: u64,
        allowed: Option<f64>,
        span_s: f64,
    ) -> Option<&mut Window> {
        let allowed = allowed?;
        let t = index as f64 * span_s;
        Some(out.entry((customer_id, index)).or_insert(Window {
            customer: customer_id,
            t,
            used: 0.0,
            allowed,
            denied_with_room: 0,
        }))
    }
    let allowed = |c: &u32| plan(c).and_then(|p| p.allowed(span_s));
    for (c, at) in first_runs.values() {
        if let Some(customer_window) = window_at(&mut out, *c, window_index(*at), allowed(c), span_s) {
            customer_window.used += 1.0;
        }
    }
    for r in record.requests.iter().filter(|r| r.outcome == Outcome::Denied) {
        if let Some(customer_window) =
            window_at(&mut out, r.customer, window_index(r.sent), allowed(&r.customer), span_s)
        {
            customer_window.denied_with_room += 1;
        }
    }
    for w in out.values_mut() {
        let fill = plan(&w.customer).map_or(0.0, |p| p.units_per_s * span_s);
        if w.used >= room_below * fill {
            w.denied_with_room = 0;
        }
    }
    out.into_values().collect()
}

/// The largest overshoot of any window, and the number of windows over by more than `bound`.
pub fn worst(windows: &[Window], bound: f64) -> (f64, usize) {
    let largest = windows.iter().map(Window::over).fold(0.0, f64::max);
    (largest, windows.iter().filter(|w| w.over() > bound).count())
}

#[cfg(test)]
mod tests;
