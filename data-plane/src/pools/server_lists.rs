//! The servers of each pool: from the newest list, and from what is known of warm-ups and evacuated zones.

use super::{PoolSet, Pools};
use lupinledge::interface::{ListKind, ServerEntry, ServerState};
use lupinledge::time::Timestamp;
use lupinledge_messaging::list::{ListedServer, ServerList};
use lupinledge_proxy::exchange::ServerListEntry;
use std::collections::HashSet;

/// A server whose warm-up ends this many seconds later than known has restarted its warm-up; smaller
/// differences are inaccuracies of the list.
const WARMUP_TOLERANCE: f64 = 0.5;

impl Pools {
    /// Opens zones whose servers must be warm by now. A list without changes is not sent, so this can't wait
    /// for one.
    pub fn expire_unconfirmed_zones(&self) {
        let now = self.clock.now();
        let before = self.pool_set.borrow().unconfirmed_zones.len();
        self.pool_set.borrow_mut().unconfirmed_zones.retain(|_, (_, until)| now < *until);
        if self.pool_set.borrow().unconfirmed_zones.len() < before {
            self.distribute_servers();
        }
    }

    /// Sets a newer list of servers.
    pub fn set_server_list(&self, list: ServerList) {
        {
            let pool_set = &mut *self.pool_set.borrow_mut();
            pool_set.unconfirmed_zones.retain(|_, (known, _)| list.number <= *known);
            let listed_ids: HashSet<&str> = list.rows.iter().map(|server| server.id.as_str()).collect();
            pool_set.warmup_started.retain(|id, _| listed_ids.contains(id.as_str()));
            for server in &list.rows {
                self.record_warmup(pool_set, server);
            }
            pool_set.list = list;
        }
        self.distribute_servers();
    }

    /// Records when a server's warm-up began, so that the decisions consider it warm once it has ended.
    fn record_warmup(&self, pool_set: &mut PoolSet, server: &ListedServer) {
        let service = pool_set.tables.services().iter().find(|s| s.name == server.service);
        let warmup = service.map_or(f64::from(server.warmup_left_s), |s| s.warmup_s);
        if server.warmup_left_s <= 0.0 {
            return;
        }
        let now = self.clock.now();
        let warmup_end = now.secs() + f64::from(server.warmup_left_s);
        let known_end = pool_set.warmup_started.get(&server.id).map(|b| b.secs() + warmup);
        if known_end.is_none_or(|k| warmup_end > k + WARMUP_TOLERANCE) {
            pool_set.warmup_started.insert(server.id.clone(), Timestamp::from_secs(warmup_end - warmup));
        }
    }

    /// Gives each pool its servers of the list, also the pools of removed services, in which requests may wait. Servers
    /// in evacuated zones get no new requests, nor do those in a zone that was just restored until a list reports how
    /// warm they are.
    pub(super) fn distribute_servers(&self) {
        let pool_set = &*self.pool_set.borrow();
        for (service, pool) in pool_set.all() {
            let entry = |server: &ListedServer| {
                let zone = self.node.index(&server.zone)?;
                let takes_no_requests = self.suspension.get().is_some()
                    || server.draining
                    || pool_set.tables.is_evacuated(&server.zone)
                    || pool_set.unconfirmed_zones.contains_key(&server.zone);
                let state = if takes_no_requests { ServerState::Draining } else { ServerState::Ready };
                // a server that was never reported cold counts as warm since time 0
                let started_at = Some(
                    pool_set.warmup_started.get(&server.id).copied().unwrap_or(Timestamp::from_secs(0.0)),
                );
                let server_entry = ServerEntry {
                    server: 0,
                    zone,
                    cell: 0,
                    state,
                    weight: f64::from(server.slots),
                    started_at,
                };
                Some(ServerListEntry { name: server.id.clone(), addr: server.address, server_entry })
            };
            let rows = pool_set.list.rows.iter().filter(|server| server.service == *service);
            pool.exchange.update_servers(ListKind::Full, rows.filter_map(entry).collect());
        }
    }
}
