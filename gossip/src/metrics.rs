//! The metrics of a process as text, one line each: the name, a space and the number.

use lupinledge_invariants::{violations, Invariant};
use std::fmt::Write;

/// Receives the name and value of a metric.
pub type MetricSink<'a> = dyn FnMut(&str, u64) + 'a;

/// Renders the violations of each invariant, followed by the metrics that `write_metrics` adds.
pub fn render(write_metrics: impl FnOnce(&mut MetricSink)) -> String {
    let mut text = String::new();
    let mut sink = |name: &str, value: u64| {
        // Writing into memory cannot fail.
        let _ = writeln!(text, "{name} {value}");
    };
    for invariant in Invariant::ALL {
        sink(&format!("invariant_violations.{}", invariant.name()), violations(invariant));
    }
    write_metrics(&mut sink);
    text
}
