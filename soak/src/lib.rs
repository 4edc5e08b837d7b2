//! A soak test of the whole system: real processes on loopback, emulated servers, platform, clients and operator
//! around them, random faults that overlap in time, and a verdict on the system's promises by what was seen outside.
//!
//! A run is a function of its seed as far as the schedule of faults, requests and server behaviour goes; the
//! interleaving of processes is the machine's. `docs/soak.md` tells how to use it.

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
