//! Detects whether a node routes by the current configuration, and decides when it has to withdraw from service and when
//! it may return. No I/O.
//!
//! - [`audit`]: the node checks its own routing tables, one part at a time, and probes them with sample requests.
//! - [`verdict`]: the conclusion from its own tables and the state that other nodes report, at one moment.
//! - [`monitor`]: the conclusion from verdicts over time: in service, suspected, withdrawn, returning.
//!
//! All times are in seconds of one monotonic clock. The document for operators is `docs/intent-watch.md`.

pub mod audit;
pub mod monitor;
pub mod verdict;

pub use audit::{Audit, Finding};
pub use monitor::{Action, DriftMonitor, Settings, Status};
pub use verdict::{Detector, LocalState, Verdict};
