//! Parses and checks configurations and settings files, and builds lookup tables from them. Does no I/O.
//!
//! - [`error`]: the closed list of error kinds, with the status of each.
//! - [`config`]: a configuration as the operator sends it; [`mod@check`]: its checks across fields.
//! - [`document`]: the document that the core agrees on, and how orders change it.
//! - [`accepted`]: the history of accepted configurations.
//! - [`order`]: how an operator's order is handled on top of a document.
//! - [`change_queue`]: the queue that runs changes one after the other.
//! - [`tables`]: the lookup tables of the data plane: routes, tenants, services, zones.
//! - [`mod@reference`]: a simple reference implementation of routing, with random requests to check the tables.
//! - [`fingerprint`]: fingerprints of the parts of the tables, independent of the order of entries.
//! - [`home_regions`]: the regions that may serve every route of a host.
//! - [`host`]: normalization of hosts.
//! - [`settings`]: the settings file of a process.
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
mod parse;
pub mod reference;
pub mod settings;
pub mod tables;

pub use accepted::AcceptedConfigs;
pub use change_queue::ChangeQueue;
pub use check::check;
pub use config::Config;
pub use document::{Document, PutResult};
pub use error::{ConfigError, ErrorKind};
pub use fingerprint::{comparable, Fingerprints, Part};
pub use home_regions::HomeRegions;
pub use order::{Answer, Decision, Order};
pub use settings::Settings;
pub use tables::{Route, Service, Tables, Tenant, CORRUPTION_ENABLED};
