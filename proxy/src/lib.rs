//! What both data planes share: sockets, client and server HTTP sides, the exchange around the decisions.
//!
//! [`transport`] holds sockets, [`clients`] and [`servers`] speak HTTP/1.1 to either side, [`exchange`] brings the
//! two together around the decisions. What differs by wire comes in through [`clients::RequestHandler`],
//! [`exchange::Protocol`] and [`servers::ServerProtocol`]. All of it belongs to one thread, in a runtime that has
//! `spawn_local`.

pub mod clients;
pub mod clock;
pub mod counters;
pub mod exchange;
pub mod ids;
pub mod logger;
pub mod servers;
/// Sockets: listening, dialling, counting bytes and descriptors, following framing, why a connection ended.
pub mod transport;
