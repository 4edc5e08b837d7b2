//! The servers of the list by the index that the decisions know them by.

use super::ServerListEntry;
use lupinledge::time::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A server, as the exchange knows it.
pub(super) struct Server {
    pub name: Rc<str>,
    pub addr: SocketAddr,
    pub zone: u16,
    pub takes_new: bool,
    pub listed: bool,
    /// Its start as far as the list or its address tells.
    pub born: Option<Timestamp>,
    /// Dispatches that have not ended.
    pub out: usize,
}

/// Srvs by index. An index is given to one srv only, and forgotten once that has left the list and no dispatch
/// is out there: where srvs are replaced all day by new ones, the tables stay as small as the list.
#[derive(Default)]
pub(super) struct ServerTable {
    pub by_index: HashMap<u32, Server>,
    pub by_name: HashMap<Rc<str>, u32>,
    pub given: u32,
}

impl ServerTable {
    /// A new srv at the address of another one has started since, whatever the list says of its start.
    pub fn enter(&mut self, e: &ServerListEntry, now: Timestamp) -> u32 {
        if let Some(&i) = self.by_name.get(e.name.as_str()) {
            return i;
        }
        let follows = self.by_index.values().any(|s| s.addr == e.addr);
        self.given += 1;
        let name: Rc<str> = e.name.as_str().into();
        self.by_name.insert(name.clone(), self.given);
        let (addr, born) = (e.addr, Some(now).filter(|_| follows));
        let zone = e.server_entry.zone;
        let srv = Server { name, addr, zone, takes_new: false, listed: false, born, out: 0 };
        self.by_index.insert(self.given, srv);
        self.given
    }
    pub fn forget_gone(&mut self) {
        let ServerTable { by_index, by_name, .. } = self;
        by_index.retain(|_, s| {
            let stays = s.listed || s.out > 0;
            if !stays {
                by_name.remove(&s.name);
            }
            stays
        });
    }
    /// A dispatch to it has ended.
    pub fn back(&mut self, srv: u32) {
        let gone = self.by_index.get_mut(&srv).is_some_and(|s| {
            s.out -= 1;
            !s.listed && s.out == 0
        });
        if gone {
            self.forget_gone();
        }
    }
}
