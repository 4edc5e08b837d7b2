//! The figures of a process as text, a line each: the name, a space, the number.

use lupinledge_invariants::{violations, Invariant};
use std::fmt::Write;

/// Takes a figure's name and number.
pub type MetricSink<'a> = dyn FnMut(&str, u64) + 'a;

/// The violations of each invariant, then what `figures` adds.
pub fn render(figures: impl FnOnce(&mut MetricSink)) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64| {
        // nothing written into memory fails
        let _ = writeln!(text, "{name} {value}");
    };
    for invariant in Invariant::ALL {
        line(&format!("invariant_violations.{}", invariant.name()), violations(invariant));
    }
    figures(&mut line);
    text
}
