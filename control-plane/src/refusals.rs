//! Refused orders of the operator: logged with the reason, and counted. The caller may keep no record of the answer,
//! and without a first configuration no gateway serves.

use lupinledge_config::ErrorKind;
use std::cell::Cell;

/// Longest reason in the log, in characters; a reason quotes parts of the request.
const MAX_REASON_CHARACTERS: usize = 300;
/// Most log lines per second, as a refused order may be repeated.
const MAX_LINES_PER_SECOND: u32 = 4;

/// Counts and logs refused orders, see the module.
#[derive(Default)]
pub struct Refusals {
    count: Cell<u64>,
    /// The current second, and the number of lines in it.
    lines: Cell<(u64, u32)>,
    /// Refusals since the last line that were counted but not logged.
    suppressed: Cell<u64>,
}

impl Refusals {
    /// Counts a refusal, and logs it unless the limit of lines for this second is reached. `in_force` is the version
    /// of the configuration that stays in force, 0 for none.
    pub fn record(&self, now_s: u64, order: &str, kind: ErrorKind, reason: &str, in_force: u64) {
        self.count.set(self.count.get() + 1);
        if !self.may_log(now_s) {
            self.suppressed.set(self.suppressed.get() + 1);
            return;
        }
        let text = truncated(reason);
        let untold = self.suppressed.take();
        tracing::warn!(event = "refused", order, kind = kind.name(), text, in_force, untold);
    }

    /// Refused orders since the start of the process.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts a line in this second; returns whether it is within the limit.
    fn may_log(&self, now_s: u64) -> bool {
        let (second, lines) = self.lines.get();
        let lines = if second == now_s { lines } else { 0 };
        self.lines.set((now_s, lines + 1));
        lines < MAX_LINES_PER_SECOND
    }
}

/// The text, truncated after [`MAX_REASON_CHARACTERS`].
fn truncated(text: &str) -> String {
    match text.char_indices().nth(MAX_REASON_CHARACTERS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_string(),
    }
}

#[cfg(test)]
mod tests;
