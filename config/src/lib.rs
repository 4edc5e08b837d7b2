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

pub mod check;
pub mod config;
mod differ;
pub mod doc;
pub mod homes;
pub mod host;
pub mod kind;
pub mod order;
pub mod plain;
pub mod print;
mod read;
pub mod settings;
pub mod tables;
pub mod taken;
pub mod turns;

pub use check::check;
pub use config::Config;
pub use doc::{Document, Verdict};
pub use homes::Homes;
pub use kind::{Fault, Kind};
pub use order::{Answer, Judged, Order};
pub use print::{comparable, Part, Print};
pub use settings::Settings;
pub use tables::{Route, Service, Tables, Tenant, DRIFTS};
pub use taken::Taken;
pub use turns::Turns;
