//! The parts that both data planes share: sockets, HTTP towards clients and servers, and the exchange that connects
//! them to the decision module.
//!
//! [`transport`] has the sockets, [`clients`] and [`servers`] speak HTTP/1.1 to either side, and [`exchange`] connects
//! the two through the decision module. A data plane supplies what depends on its protocol by implementing
//! [`clients::RequestHandler`], [`exchange::Protocol`] and [`servers::ServerProtocol`]. Everything runs on one thread,
//! in a runtime with `spawn_local`.

pub mod clients;
pub mod clock;
pub mod counters;
pub mod exchange;
pub mod ids;
pub mod logger;
pub mod servers;
pub mod transport;
