//! What both data planes share: sockets, client and server HTTP sides, the exchange around the decisions.
//!
//! [`transport`] holds sockets, [`clients`] and [`srvs`] speak HTTP/1.1 to either side, [`exchange`] brings the
//! two together around the decisions. What differs by wire comes in through [`clients::Answering`],
//! [`exchange::Wire`] and [`srvs::ServerWire`]. All of it belongs to one thread, in a runtime that has
//! `spawn_local`.

pub mod clients;
pub mod clock;
pub mod counters;
pub mod exchange;
pub mod ids;
pub mod logger;
pub mod srvs;
/// Sockets: listening, dialling, counting bytes and descriptors, following framing, why a connection ended.
pub mod transport;
