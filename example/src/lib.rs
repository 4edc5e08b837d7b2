//! Stand-ins for what is round a gateway: srvs, discovery and the counter, written from their public pages.
//! They serve the toy server and the gateway's tests. Plain threads: they end with the process.

pub mod counter;
pub mod discovery;
pub mod http;
pub mod listener;
pub mod scheduling_delay;
pub mod server;
