//! Test doubles of the components around a gateway: servers, discovery and the counter, implemented from their public
//! pages. The toy environment and the tests of the gateways use them. They run on plain threads, which end with the
//! process.

pub mod counter;
pub mod discovery;
pub mod http;
pub mod listener;
pub mod scheduling_delay;
pub mod server;
