//! The list of servers as passed on.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The servers as the platform told them to the duty holder.
#[derive(Clone, Debug, PartialEq, Default, Serialize, Deserialize)]
pub struct ServerList {
    /// Epoch of the holder, and its number of this list.
    pub number: (u64, u64),
    /// One a server.
    pub rows: Vec<ListedServer>,
}

/// A server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its id, to be named in `Lupinledge-Expect-Instance`.
    pub id: String,
    /// The service it runs.
    pub service: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// So many requests at once.
    pub slots: u32,
    /// It is about to leave and takes nothing new.
    pub draining: bool,
    /// Seconds of its warm-up left when the list was fetched.
    pub warmup_left_s: f32,
}

impl ServerList {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(16 + self.rows.len() * 64);
        // plain data into memory: nothing of it can fail
        let _ = crate::encode(self, &mut bytes);
        bytes
    }

    /// From bytes; `None` if they are not such a list.
    pub fn decode(bytes: &[u8]) -> Option<ServerList> {
        crate::decode(bytes).ok()
    }
}
