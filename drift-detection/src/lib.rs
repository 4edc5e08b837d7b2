//! Whether a node routes by the rules that were set last, and when it has to drop out and may return; no I/O.
//!
//! - [`audit`]: the node looks at its own tables, a part at a time, and probes them.
//! - [`verdict`]: what follows from the own tables and from what others tell, at this moment.
//! - [`monitor`]: what follows from verdicts over time: in doubt, out, returning.
//!
//! All times are in seconds of one steady clock. See `docs/intent-watch.md`.

pub mod audit;
pub mod monitor;
pub mod verdict;

pub use audit::{Audit, Finding};
pub use monitor::{Action, DriftMonitor, Settings, Standing};
pub use verdict::{Detector, LocalState, Verdict};
