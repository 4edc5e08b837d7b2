//! The emulator: servers, the counter and discovery on loopback, with the faults of the scenario.

pub mod environment;
pub mod run_state;
pub mod server;
