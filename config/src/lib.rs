//! Configurations and settings files: decoded, checked, made into tables; no I/O.
//!
//! - [`kind`]: the closed list of the kinds of errors, with the table from kind to answer.
//! - [`config`]: a configuration as the operator sends it; [`mod@check`]: the checks of it.
//! - [`doc`]: the document that the core agrees on, and how orders change it.
//! - [`order`]: what an operator's order comes to on top of a document.
//! - [`tables`]: what the data plane looks up: routes, tenants, services, zones.
//! - [`plain`]: the slow plain reading of a configuration, and requests drawn from it.
//! - [`mod@print`]: fingerprints of the parts of the tables, the same whatever the order things came in.
//! - [`homes`]: the regions that are homes to a whole host.
//! - [`settings`]: the settings file of a process.
//! - [`taken`]: what is remembered of the configurations that were taken.
//! - [`turns`]: changes one after the other, and who waits for them.
//!
//! All times are in seconds.

pub mod accepted;
pub mod change_queue;
pub mod check;
pub mod config;
mod difference;
pub mod document;
pub mod error;
pub mod fingerprint;
pub mod home_regions;
pub mod host;
pub mod order;
mod read;
pub mod reference;
pub mod settings;
pub mod tables;

pub use accepted::AcceptedConfigs;
pub use change_queue::ChangeQueue;
pub use check::check;
pub use config::Config;
pub use document::{Document, Verdict};
pub use error::{ConfigError, ErrorKind};
pub use fingerprint::{comparable, Fingerprints, Part};
pub use home_regions::HomeRegions;
pub use order::{Answer, Decision, Order};
pub use settings::Settings;
pub use tables::{Route, Service, Tables, Tenant, CORRUPTION_ENABLED};
