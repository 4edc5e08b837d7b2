//! The testbed: runs gateways against emulated servers, counter and discovery with scheduled faults, generates load,
//! checks the rules and writes reports. The program is `lupinledge-lab`.

pub mod arrivals;
pub mod broken_gateway;
pub mod emulator;
pub mod fleet;
pub mod gateway_settings;
pub mod load;
pub mod plot;
pub mod quota;
pub mod record;
pub mod report;
pub mod rules;
pub mod run;
pub mod scenario;
pub mod schedule;
