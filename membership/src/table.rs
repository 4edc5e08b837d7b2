//! The table of all other known processes.

use crate::{Card, Digest, Member, Node, Rumour, Standing};
use std::collections::BTreeMap;

/// Maximum number of members; a further one replaces the member that is gone for longest.
const MAX_MEMBERS: usize = 2048;

/// A member with the data that only this crate needs.
pub(crate) struct Entry {
    pub member: Member,
    /// Its highest refutation count received in this incarnation.
    pub refutations: u32,
    /// Version of its card; 0 if the card is from an earlier incarnation.
    pub card_version: u32,
    /// Version of the own card that the member has.
    pub delivered_card_version: u32,
    /// While suspected: the time at which it is declared gone.
    pub suspect_until: f64,
    /// While suspected: the time of the next ping.
    pub next_ping: f64,
    /// While suspected: the suspicion has been announced to others, or came from others.
    pub announced: bool,
}

impl Entry {
    /// Sets the standing and returns whether it changed.
    pub fn set_standing(&mut self, now: f64, standing: Standing) -> bool {
        let changed = self.member.standing != standing;
        if changed {
            self.member.standing = standing;
            self.member.since = now;
        }
        changed
    }

    /// Begins a new incarnation, of which only the refutation count is known.
    pub fn start_incarnation(&mut self, now: f64, incarnation: u64, refutations: u32) {
        self.member.incarnation = incarnation;
        self.member.digest = Digest::default();
        (self.refutations, self.card_version, self.delivered_card_version) = (refutations, 0, 0);
        self.set_standing(now, Standing::Alive);
    }

    /// Replaces the card if `card` is newer; returns whether it was.
    pub fn update_card(&mut self, card: Option<(u32, Card)>) -> bool {
        match card {
            Some((card_version, card)) if card_version > self.card_version => {
                self.card_version = card_version;
                self.member.card = card;
                true
            }
            _ => false,
        }
    }

    /// Marks the member as suspected until `suspect_until`.
    pub fn suspect(&mut self, now: f64, suspect_until: f64, announced: bool) {
        self.set_standing(now, Standing::Suspect);
        (self.suspect_until, self.next_ping, self.announced) = (suspect_until, now, announced);
    }

    /// Returns the rumour about this member.
    pub fn rumour(&self, now: f64, with_card: bool, suspicion_timeout: f64) -> Rumour {
        let member = &self.member;
        let age = match member.standing {
            Standing::Suspect => ((suspicion_timeout - (self.suspect_until - now)).max(0.0) * 100.0) as u16,
            _ => 0,
        };
        let card = (with_card && member.standing == Standing::Alive)
            .then(|| (self.card_version, member.card.clone()));
        Rumour {
            node: member.node,
            incarnation: member.incarnation,
            refutations: self.refutations,
            standing: member.standing,
            age,
            card,
        }
    }
}

/// All other processes by their id.
#[derive(Default)]
pub(crate) struct Table {
    pub entries: BTreeMap<Node, Entry>,
}

impl Table {
    /// Adds a member that is alive; `false` if the table is full.
    pub fn add(
        &mut self,
        now: f64,
        node: Node,
        incarnation: u64,
        refutations: u32,
        (card_version, card): (u32, Card),
    ) -> bool {
        if self.entries.len() >= MAX_MEMBERS && !self.evict_longest_gone() {
            return false;
        }
        let (standing, last_received, digest) = (Standing::Alive, f64::NEG_INFINITY, Digest::default());
        let member = Member { node, incarnation, card, standing, since: now, last_received, digest };
        let entry = Entry {
            member,
            refutations,
            card_version,
            delivered_card_version: 0,
            suspect_until: 0.0,
            next_ping: 0.0,
            announced: false,
        };
        self.entries.insert(node, entry);
        true
    }

    /// Removes the member that is gone for longest to make room.
    fn evict_longest_gone(&mut self) -> bool {
        let gone = self.entries.values().filter(|e| e.member.standing == Standing::Gone);
        let longest = gone.min_by(|a, b| a.member.since.total_cmp(&b.member.since)).map(|e| e.member.node);
        longest.is_some_and(|node| self.entries.remove(&node).is_some())
    }

    /// Removes the members that are gone since before `before`, unless more than half are gone. In that case
    /// this process may be partitioned and needs the entries to find the others again.
    pub fn remove_gone_before(&mut self, before: f64) {
        let gone = self.entries.values().filter(|e| e.member.standing == Standing::Gone).count();
        if gone > 0 && gone * 2 <= self.entries.len() {
            self.entries.retain(|_, e| e.member.standing != Standing::Gone || e.member.since >= before);
        }
    }

    /// Returns whether more than half of the others are suspected or gone.
    pub fn mostly_unreachable(&self) -> bool {
        self.with_standing(Standing::Alive).count() * 2 < self.entries.len()
    }

    /// Iterates over the members with this standing.
    pub fn with_standing(&self, standing: Standing) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(move |e| e.member.standing == standing)
    }
}
