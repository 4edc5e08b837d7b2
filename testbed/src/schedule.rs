//! The fault schedule as pure functions of time: which fault is active for a target at a given time.

use crate::scenario::{Fault, FaultKind, Target};

/// The fault active for `target` at `t`, s; of overlapping faults the one that began last.
pub fn active_fault(faults: &[Fault], target: Target, t: f64) -> Option<&Fault> {
    faults
        .iter()
        .filter(|f| f.target().ok() == Some(target) && f.at <= t && t < f.end())
        .max_by(|a, b| a.at.total_cmp(&b.at))
}

/// The number of requests that a server runs concurrently at `t`, and whether it is cold. During a cold start the
/// limit grows linearly from the share `cold_from` of `capacity` to all of it, and is at least 1.
pub fn server_limit(faults: &[Fault], server: usize, capacity: usize, t: f64) -> (usize, bool) {
    match active_fault(faults, Target::Server(server), t) {
        Some(f @ Fault { kind: FaultKind::Cold { cold_from }, .. }) => {
            let part = cold_from + (1.0 - cold_from) * ((t - f.at) / f.span.max(1e-9)).clamp(0.0, 1.0);
            (((capacity as f64) * part).floor().max(1.0) as usize, true)
        }
        _ => (capacity, false),
    }
}

/// When discovery announced the drain of `server`: the start of its last drain window that began by `t`.
pub fn drain_announced_at(faults: &[Fault], server: usize, t: f64) -> Option<f64> {
    faults
        .iter()
        .filter(|f| {
            f.kind == FaultKind::Drain && f.target().ok() == Some(Target::Server(server)) && f.at <= t
        })
        .map(|f| f.at)
        .max_by(f64::total_cmp)
}

/// Start and end of each fault, sorted by time, as (time, index of the fault, whether it begins).
pub fn transitions(faults: &[Fault]) -> Vec<(f64, usize, bool)> {
    let mut transitions_by_time: Vec<(f64, usize, bool)> =
        faults.iter().enumerate().flat_map(|(i, f)| [(f.at, i, true), (f.end(), i, false)]).collect();
    transitions_by_time.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
    transitions_by_time
}

#[cfg(test)]
mod tests;
