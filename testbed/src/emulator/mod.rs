//! The emulator: stand-ins for srvs, the counter and discovery on loopback, with the scenario's faults.

pub mod environment;
pub mod run_state;
pub mod server;
