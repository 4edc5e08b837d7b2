//! The list of servers as it is exchanged.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The servers as the platform reported them to the duty holder.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct ServerList {
    /// The epoch of the duty holder, and its number of this list.
    pub number: (u64, u64),
    /// One entry per server.
    pub rows: Vec<ListedServer>,
}

/// A server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its id, which requests name in `Lupinledge-Expect-Instance`.
    pub id: String,
    /// The service that it runs.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Maximum number of requests at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new requests.
    pub draining: bool,
    /// Seconds of its warm-up left when the list was fetched.
    pub warmup_left_s: f32,
}

impl ServerList {
    /// Encodes the list.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(16 + self.rows.len() * 64);
        // Writing plain data into memory cannot fail.
        let _ = crate::encode(self, &mut bytes);
        bytes
    }

    /// Decodes a list; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<ServerList> {
        crate::decode(bytes).ok()
    }
}
