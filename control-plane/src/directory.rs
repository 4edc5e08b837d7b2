//! Selects the gateways whose addresses clients are given.

use lupinledge_membership::{Member, Standing};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Most addresses in one answer.
const MAX_GATEWAYS: usize = 64;

/// Selects among the edge nodes, rotating when there are more than fit into one answer.
#[derive(Default)]
pub struct Directory {
    next_start: Cell<usize>,
}

impl Directory {
    /// Client addresses of the gateways for clients of `region` that resolve a host with these home regions.
    ///
    /// With at least two gateways in the client's region, only these. Otherwise these and the gateways in the host's
    /// home regions, as requests that arrive there are already in a home region. If that selects none, or the host has
    /// no home regions, all gateways.
    pub fn gateway_addresses<'a>(
        &self,
        members: impl Iterator<Item = &'a Member>,
        region: &str,
        homes: Option<&BTreeSet<String>>,
    ) -> Vec<SocketAddr> {
        let edges = members
            .filter(|m| !m.card.core && m.card.ready && !m.card.leaving && m.card.client_address.is_some());
        let (alive, suspected): (Vec<_>, Vec<_>) =
            edges.filter(|m| m.standing != Standing::Gone).partition(|m| m.standing == Standing::Alive);
        // suspected gateways are used only if no gateway is alive
        let candidates = if alive.is_empty() { suspected } else { alive };
        let in_region: Vec<_> = candidates.iter().filter(|m| m.card.region == region).copied().collect();
        let is_home =
            |m: &&Member| m.card.region == region || homes.is_none_or(|h| h.contains(&m.card.region));
        let selected = if in_region.len() >= 2 {
            in_region
        } else {
            candidates.iter().copied().filter(is_home).collect()
        };
        let selected = if selected.is_empty() { candidates } else { selected };
        // with more gateways than fit, each call returns the next ones
        let first =
            self.next_start.replace(self.next_start.get().wrapping_add(MAX_GATEWAYS)) % selected.len().max(1);
        let gateway_addresses =
            selected[first.min(selected.len())..].iter().chain(&selected[..first.min(selected.len())]);
        gateway_addresses.take(MAX_GATEWAYS).filter_map(|m| m.card.client_address).collect()
    }
}

#[cfg(test)]
mod tests;
