//! Orders of the operator that were refused: for each a line in the log with the reason, and their number. Who asked may
//! keep no record of the answer, and without a first configuration no gateway serves.

use lupinledge_config::ErrorKind;
use std::cell::Cell;

/// Characters of a reason that are written at most: it quotes what was sent.
const REASON_CHARACTERS: usize = 300;
/// Lines a second: a refused order may be sent again and again.
const LINES_PER_SECOND: u32 = 4;

/// See the module.
#[derive(Default)]
pub struct Refusals {
    count: Cell<u64>,
    /// The current second, and the lines in it.
    lines: Cell<(u64, u32)>,
    untold: Cell<u64>,
}

impl Refusals {
    /// Counts a refusal, and writes a line for it unless enough were written this second. `in_force` is the version
    /// of the configuration that goes on, 0 for none.
    pub fn record(&self, now_s: u64, order: &str, kind: ErrorKind, reason: &str, in_force: u64) {
        self.count.set(self.count.get() + 1);
        if !self.has_room(now_s) {
            self.untold.set(self.untold.get() + 1);
            return;
        }
        let text = bounded(reason);
        let untold = self.untold.take();
        tracing::warn!(event = "refused", order, kind = kind.name(), text, in_force, untold);
    }

    /// Orders that were refused since the start of the process.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    fn has_room(&self, now_s: u64) -> bool {
        let (second, lines) = self.lines.get();
        let lines = if second == now_s { lines } else { 0 };
        self.lines.set((now_s, lines + 1));
        lines < LINES_PER_SECOND
    }
}

/// The text, cut off behind [`REASON_CHARACTERS`].
fn bounded(text: &str) -> String {
    match text.char_indices().nth(REASON_CHARACTERS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_string(),
    }
}

#[cfg(test)]
mod tests;
