//! The emulator: stand-ins for srvs, the counter and discovery on loopback, with the scenario's faults.

pub mod shared;
pub mod srv;
pub mod world;
