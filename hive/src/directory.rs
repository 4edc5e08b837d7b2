//! Tells clients where they may go.

use lupinledge_waggle::{Member, Standing};
use std::cell::Cell;
use std::net::SocketAddr;

const FRONTS_MOST: usize = 64;

/// The edge nodes, told in turns.
#[derive(Default)]
pub struct Directory {
    turn: Cell<usize>,
}

impl Directory {
    /// Fronts for clients of a region: its own if it has two, else all.
    pub fn fronts<'a>(&self, members: impl Iterator<Item = &'a Member>, region: &str) -> Vec<SocketAddr> {
        let edges =
            members.filter(|m| !m.card.core && m.card.ready && !m.card.leaving && m.card.front.is_some());
        let (alive, doubted): (Vec<_>, Vec<_>) =
            edges.filter(|m| m.standing != Standing::Gone).partition(|m| m.standing == Standing::Alive);
        // one that is only suspected is better than none
        let all = if alive.is_empty() { doubted } else { alive };
        let near: Vec<_> = all.iter().filter(|m| m.card.region == region).copied().collect();
        let chosen = if near.len() >= 2 { near } else { all };
        // of more than fit, each call gets others
        let first = self.turn.replace(self.turn.get().wrapping_add(FRONTS_MOST)) % chosen.len().max(1);
        let fronts = chosen[first.min(chosen.len())..].iter().chain(&chosen[..first.min(chosen.len())]);
        fronts.take(FRONTS_MOST).filter_map(|m| m.card.front).collect()
    }
}
