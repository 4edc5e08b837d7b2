//! The fault schedule as a pure function of time: which fault holds for a target at a point of the run.

use crate::scenario::{Fault, FaultKind, Target};

/// The fault that holds for `target` at `t`, s; of overlapping ones the one that began last.
pub fn active_fault(faults: &[Fault], target: Target, t: f64) -> Option<&Fault> {
    faults
        .iter()
        .filter(|f| f.target().ok() == Some(target) && f.at <= t && t < f.end())
        .max_by(|a, b| a.at.total_cmp(&b.at))
}

/// What a srv can run at once at `t`, given its warm `capacity`: a cold start climbs linearly from `cold_from`
/// of it to all of it over the window, and never below one.
pub fn server_limit(faults: &[Fault], server: usize, capacity: usize, t: f64) -> (usize, bool) {
    match active_fault(faults, Target::Server(server), t) {
        Some(f @ Fault { kind: FaultKind::Cold { cold_from }, .. }) => {
            let part = cold_from + (1.0 - cold_from) * ((t - f.at) / f.span.max(1e-9)).clamp(0.0, 1.0);
            (((capacity as f64) * part).floor().max(1.0) as usize, true)
        }
        _ => (capacity, false),
    }
}

/// When discovery was told that `srv` leaves, where it was by `t`: the start of its last drain window begun by then.
pub fn drain_announced_at(faults: &[Fault], server: usize, t: f64) -> Option<f64> {
    faults
        .iter()
        .filter(|f| {
            f.kind == FaultKind::Drain && f.target().ok() == Some(Target::Server(server)) && f.at <= t
        })
        .map(|f| f.at)
        .max_by(f64::total_cmp)
}

/// The points of the run at which the emulator has something to change, sorted: each fault's start and end.
pub fn transitions(faults: &[Fault]) -> Vec<(f64, usize, bool)> {
    let mut m: Vec<(f64, usize, bool)> =
        faults.iter().enumerate().flat_map(|(i, f)| [(f.at, i, true), (f.end(), i, false)]).collect();
    m.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(&b.2)));
    m
}

#[cfg(test)]
mod tests;
