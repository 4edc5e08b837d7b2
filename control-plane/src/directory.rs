//! Tells clients where they may go.

use lupinledge_membership::{Member, Standing};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const MAX_GATEWAYS: usize = 64;

/// The edge nodes, told in turns.
#[derive(Default)]
pub struct Directory {
    next_start: Cell<usize>,
}

impl Directory {
    /// Fronts for clients of a region that ask for a host with such homes: the region's own if it has two; else those
    /// with the ones in the homes, where nobody's request is away from home; else, and without homes, all.
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
        // one that is only suspected is better than none
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
        // of more than fit, each call gets others
        let first =
            self.next_start.replace(self.next_start.get().wrapping_add(MAX_GATEWAYS)) % selected.len().max(1);
        let gateway_addresses =
            selected[first.min(selected.len())..].iter().chain(&selected[..first.min(selected.len())]);
        gateway_addresses.take(MAX_GATEWAYS).filter_map(|m| m.card.client_address).collect()
    }
}

#[cfg(test)]
mod tests;
