//! All others that are known.

use crate::{Card, Digest, Member, Node, Rumour, Standing};
use std::collections::BTreeMap;

/// So many others at most.
const MOST: usize = 2048;

/// Another process with what only the swarm itself has to know of it.
pub(crate) struct Entry {
    pub member: Member,
    /// Its newest turn heard of.
    pub turn: u32,
    /// Issue of its card.
    pub issue: u32,
    /// Issue of the own card that it has.
    pub told: u32,
    /// While suspected: when that ends.
    pub due: f64,
    /// While suspected: when to ask it again.
    pub again: f64,
    /// While suspected: others are told.
    pub open: bool,
}

impl Entry {
    /// Sets the standing; returns whether it is another one.
    pub fn stand(&mut self, now: f64, standing: Standing) -> bool {
        let other = self.member.standing != standing;
        if other {
            self.member.standing = standing;
            self.member.since = now;
        }
        other
    }

    /// Begins a new incarnation, about which nothing is known yet.
    pub fn reborn(&mut self, now: f64, incarnation: u64, turn: u32) {
        self.member.incarnation = incarnation;
        self.member.digest = Digest::default();
        (self.turn, self.issue, self.told) = (turn, 0, 0);
        self.stand(now, Standing::Alive);
    }

    /// Takes a card if it is newer.
    pub fn take_card(&mut self, card: Option<(u32, Card)>) -> bool {
        match card {
            Some((issue, card)) if issue > self.issue => {
                self.issue = issue;
                self.member.card = card;
                true
            }
            _ => false,
        }
    }

    /// Suspects it until `due`.
    pub fn suspect(&mut self, now: f64, due: f64, open: bool) {
        self.stand(now, Standing::Suspect);
        (self.due, self.again, self.open) = (due, now, open);
    }

    /// What is to be said of it.
    pub fn rumour(&self, now: f64, with_card: bool, suspicion: f64) -> Rumour {
        let m = &self.member;
        let age = match m.standing {
            Standing::Suspect => ((suspicion - (self.due - now)).max(0.0) * 100.0) as u16,
            _ => 0,
        };
        let card = (with_card && m.standing == Standing::Alive).then(|| (self.issue, m.card.clone()));
        Rumour { node: m.node, incarnation: m.incarnation, turn: self.turn, standing: m.standing, age, card }
    }
}

/// All others by number.
#[derive(Default)]
pub(crate) struct Table {
    pub map: BTreeMap<Node, Entry>,
}

impl Table {
    /// Adds one that is alive; `false` if there is no room.
    pub fn add(
        &mut self,
        now: f64,
        node: Node,
        incarnation: u64,
        turn: u32,
        (issue, card): (u32, Card),
    ) -> bool {
        if self.map.len() >= MOST && !self.drop_gone() {
            return false;
        }
        let (standing, last_received, digest) = (Standing::Alive, f64::NEG_INFINITY, Digest::default());
        let member = Member { node, incarnation, card, standing, since: now, last_received, digest };
        let entry = Entry { member, turn, issue, told: 0, due: 0.0, again: 0.0, open: false };
        self.map.insert(node, entry);
        true
    }

    /// Makes room by forgetting the one that is gone for longest.
    fn drop_gone(&mut self) -> bool {
        let gone = self.map.values().filter(|e| e.member.standing == Standing::Gone);
        let longest = gone.min_by(|a, b| a.member.since.total_cmp(&b.member.since)).map(|e| e.member.node);
        longest.is_some_and(|node| self.map.remove(&node).is_some())
    }

    /// Forgets those that are gone since before `before`, unless most are gone: then it is this process
    /// that may have been cut off, and it has to find back to them.
    pub fn forget(&mut self, before: f64) {
        let gone = self.map.values().filter(|e| e.member.standing == Standing::Gone).count();
        if gone > 0 && gone * 2 <= self.map.len() {
            self.map.retain(|_, e| e.member.standing != Standing::Gone || e.member.since >= before);
        }
    }

    /// Whether most others are suspected or gone.
    pub fn lonely(&self) -> bool {
        self.with(Standing::Alive).count() * 2 < self.map.len()
    }

    /// Those with this standing.
    pub fn with(&self, standing: Standing) -> impl Iterator<Item = &Entry> {
        self.map.values().filter(move |e| e.member.standing == standing)
    }
}
