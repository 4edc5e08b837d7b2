//! Tells clients where they may go.

use lupinledge_membership::{Member, Standing};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const FRONTS_MOST: usize = 64;

/// The edge nodes, told in turns.
#[derive(Default)]
pub struct Directory {
    turn: Cell<usize>,
}

impl Directory {
    /// Fronts for clients of a region that ask for a host with such homes: the region's own if it has two; else those
    /// with the ones in the homes, where nobody's request is away from home; else, and without homes, all.
    pub fn fronts<'a>(
        &self,
        members: impl Iterator<Item = &'a Member>,
        region: &str,
        homes: Option<&BTreeSet<String>>,
    ) -> Vec<SocketAddr> {
        let edges = members
            .filter(|m| !m.card.core && m.card.ready && !m.card.leaving && m.card.client_address.is_some());
        let (alive, doubted): (Vec<_>, Vec<_>) =
            edges.filter(|m| m.standing != Standing::Gone).partition(|m| m.standing == Standing::Alive);
        // one that is only suspected is better than none
        let all = if alive.is_empty() { doubted } else { alive };
        let near: Vec<_> = all.iter().filter(|m| m.card.region == region).copied().collect();
        let home = |m: &&Member| m.card.region == region || homes.is_none_or(|h| h.contains(&m.card.region));
        let chosen = if near.len() >= 2 { near } else { all.iter().copied().filter(home).collect() };
        let chosen = if chosen.is_empty() { all } else { chosen };
        // of more than fit, each call gets others
        let first = self.turn.replace(self.turn.get().wrapping_add(FRONTS_MOST)) % chosen.len().max(1);
        let fronts = chosen[first.min(chosen.len())..].iter().chain(&chosen[..first.min(chosen.len())]);
        fronts.take(FRONTS_MOST).filter_map(|m| m.card.client_address).collect()
    }
}

#[cfg(test)]
mod tests;
