//! How well quotas held: each customer's units that ran at srvs in each window of the run, against the most its
//! plan allows in such a window, and denials of customers that still had room. Pure, from the record alone.
//!
//! A req takes one unit (the load tool sends `units=1`). A uniqued req answered from a srv's memory takes none.

use crate::gateway_settings::GatewaySettings;
use crate::record::{Outcome, Record};
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
/// A client try takes its units once, however many attempts reached srvs: each req id counts at its first run.
/// A window's denials count as ones with room when the window used less than `room_below` of what the store
/// fills with in it (the store's own content may have gone in the window before).
pub fn windows(record: &Record, settings: &GatewaySettings, span_s: f64, room_below: f64) -> Vec<Window> {
    let plans = crate::rules::customer_plans(record);
    let slot = |t: f64| (t / span_s).floor().max(0.0) as u64;
    let mut first: BTreeMap<u64, (u32, f64)> = BTreeMap::new();
    for a in record.arrivals.iter().filter(|a| a.ran && !a.repeat_of_key) {
        let e = first.entry(a.id).or_insert((a.customer, a.at));
        e.1 = e.1.min(a.at);
    }
    let plan = |c: &u32| plans.get(c).and_then(|p| settings.plans.get(*p as usize));
    let mut out: BTreeMap<(u32, u64), Window> = BTreeMap::new();
    fn window(
        out: &mut BTreeMap<(u32, u64), Window>,
        c: u32,
        w: u64,
        allowed: Option<f64>,
        span_s: f64,
    ) -> Option<&mut Window> {
        let allowed = allowed?;
        let t = w as f64 * span_s;
        Some(out.entry((c, w)).or_insert(Window { customer: c, t, used: 0.0, allowed, denied_with_room: 0 }))
    }
    let allowed = |c: &u32| plan(c).and_then(|p| p.allowed(span_s));
    for (c, at) in first.values() {
        if let Some(w) = window(&mut out, *c, slot(*at), allowed(c), span_s) {
            w.used += 1.0;
        }
    }
    for r in record.requests.iter().filter(|r| r.outcome == Outcome::Denied) {
        if let Some(w) = window(&mut out, r.customer, slot(r.sent), allowed(&r.customer), span_s) {
            w.denied_with_room += 1;
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

/// The worst overshoot of any window, and how many windows were over by more than `bound`.
pub fn worst(ws: &[Window], bound: f64) -> (f64, usize) {
    let most = ws.iter().map(Window::over).fold(0.0, f64::max);
    (most, ws.iter().filter(|w| w.over() > bound).count())
}

#[cfg(test)]
mod tests;
