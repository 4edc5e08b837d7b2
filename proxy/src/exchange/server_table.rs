//! The servers of the server list, by the index that the decision module uses for them.

use super::ServerListEntry;
use lupinledge::time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The exchange's state of one server.
pub(super) struct Server {
    /// Its external name.
    pub name: Rc<str>,
    /// Its address in the latest list.
    pub addr: SocketAddr,
    /// The index of its zone.
    pub zone: u16,
    /// Whether new dispatches may be sent to it.
    pub accepts_new: bool,
    /// Whether it is in the server list.
    pub listed: bool,
    /// When it started, as far as the list or the reuse of its address shows.
    pub started_at: Option<Timestamp>,
    /// The number of dispatches that have not ended.
    pub active_dispatches: usize,
}

/// Servers by index and by name. An index is used for one server only. A server is removed once it has left the list
/// and has no active dispatch: where servers are replaced continuously, the tables stay as small as the list.
#[derive(Default)]
pub(super) struct ServerTable {
    /// The servers by index.
    pub by_index: HashMap<u32, Server>,
    /// The indexes by external name.
    pub by_name: HashMap<Rc<str>, u32>,
    /// The last index that was assigned.
    pub last_index: u32,
}

impl ServerTable {
    /// The index of a server, which is added if it is new. A new server at the address of another one has started
    /// since, whatever the list says of its start.
    pub fn index_of(&mut self, entry: &ServerListEntry, now: Timestamp) -> u32 {
        if let Some(&index) = self.by_name.get(entry.name.as_str()) {
            return index;
        }
        let reuses_address = self.by_index.values().any(|s| s.addr == entry.addr);
        self.last_index += 1;
        let name: Rc<str> = entry.name.as_str().into();
        self.by_name.insert(name.clone(), self.last_index);
        let (addr, started_at) = (entry.addr, Some(now).filter(|_| reuses_address));
        let zone = entry.server_entry.zone;
        let server =
            Server { name, addr, zone, accepts_new: false, listed: false, started_at, active_dispatches: 0 };
        self.by_index.insert(self.last_index, server);
        self.last_index
    }
    /// Removes servers that are not in the list and have no active dispatch.
    pub fn remove_gone(&mut self) {
        let ServerTable { by_index, by_name, .. } = self;
        by_index.retain(|_, server| {
            let keep = server.listed || server.active_dispatches > 0;
            if !keep {
                by_name.remove(&server.name);
            }
            keep
        });
    }
    /// Notes that a dispatch to a server has ended.
    pub fn dispatch_ended(&mut self, server: u32) {
        let gone = self.by_index.get_mut(&server).is_some_and(|s| {
            s.active_dispatches -= 1;
            !s.listed && s.active_dispatches == 0
        });
        if gone {
            self.remove_gone();
        }
    }
}
