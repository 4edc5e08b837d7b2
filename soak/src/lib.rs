//! A soak test of the whole system: real processes on loopback with emulated servers, platform, clients and operator,
//! random faults that overlap in time, and checks of the system's promises by what is observed from outside.
//!
//! The seed of a run determines the schedule of faults, the requests and the behaviour of servers; the interleaving of
//! processes is left to the machine. `docs/soak.md` describes how to use it.

pub mod admissions;
pub mod backend;
pub mod checks;
pub mod client;
pub mod cluster;
pub mod configuration;
pub mod faults;
pub mod keyed_client;
pub mod operation_checks;
pub mod operator;
pub mod platform;
pub mod record;
pub mod run;
