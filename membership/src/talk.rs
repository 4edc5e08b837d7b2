//! Words about others that ride along with packets, and packets.

use crate::swarm::Membership;
use crate::{Body, Card, Node, Packet, Rumour, Standing};
use std::collections::VecDeque;

/// So many processes are talked about at once.
const MOST: usize = 4096;
/// So many pieces answer a question for members.
const PIECES: usize = 64;
/// News is told for so many seconds at most: later it would stir up what is settled.
const OLD: f64 = 5.0;
/// Estimated bytes of a packet without card and rumours, and of a rumour without card.
const PACKET: usize = 90;
const RUMOUR: usize = 28;

/// Whom to talk about, and how often yet.
#[derive(Default)]
pub(crate) struct Talk {
    queue: VecDeque<Item>,
}

struct Item {
    node: Node,
    left: u8,
    /// So often yet with the card.
    cards: u8,
    /// It is of no more interest then.
    until: f64,
}

impl Talk {
    /// There is news of this one: to be told so often, with its card or without.
    pub fn put(&mut self, now: f64, node: Node, repeats: u8, card: bool) {
        let old = self.queue.iter().position(|i| i.node == node).and_then(|i| self.queue.remove(i));
        // who misses the card asks for it
        let cards = if card { repeats / 2 + 1 } else { old.map_or(0, |o| o.cards) };
        if self.queue.len() >= MOST {
            self.queue.pop_back();
        }
        self.queue.push_front(Item { node, left: repeats, cards, until: now + OLD });
    }
}

impl Membership {
    /// Forgets what was to be told against others.
    pub(crate) fn drop_against(&mut self) {
        let table = &self.table.map;
        let alive = |i: &Item| table.get(&i.node).is_none_or(|e| e.member.standing == Standing::Alive);
        self.talk.queue.retain(alive);
    }
}

/// Estimated bytes of a card.
fn card_bytes(card: &Card) -> usize {
    53 + card.region.len() + card.zone.len() + if card.drift.is_some() { 72 } else { 0 }
}

/// Estimated bytes of a rumour.
fn bytes(rumour: &Rumour) -> usize {
    RUMOUR + rumour.card.as_ref().map_or(0, |c| card_bytes(&c.1))
}

impl Membership {
    /// What is to be said of a process, this one included.
    fn word_of(&self, now: f64, node: Node, with_card: bool) -> Option<Rumour> {
        if node != self.set.me {
            return self.table.map.get(&node).map(|e| e.rumour(now, with_card, self.set.suspicion));
        }
        let (incarnation, turn, standing) = (self.set.incarnation, self.turn, Standing::Alive);
        let card = with_card.then(|| (self.issue, self.set.card.clone()));
        Some(Rumour { node, incarnation, turn, standing, age: 0, card })
    }

    /// A packet to one that may not get it: only with what is said against it, to which it has to answer.
    pub(crate) fn doubtful(&self, now: f64, to: Node, body: Body) -> (Node, Packet) {
        let mut packet = self.bare(to, body);
        let against = self.table.map.get(&to).filter(|e| match e.member.standing {
            Standing::Alive => false,
            Standing::Suspect => e.open,
            Standing::Gone => true,
        });
        packet.rumours.extend(against.map(|e| e.rumour(now, false, self.set.suspicion)));
        (to, packet)
    }

    /// A packet to `to`, with the rumours that have room in it.
    pub(crate) fn packet(&mut self, now: f64, to: Node, body: Body) -> (Node, Packet) {
        let (_, mut packet) = self.doubtful(now, to, body);
        let mut room = self.set.packet_most.saturating_sub(PACKET);
        room = room.saturating_sub(packet.card.as_ref().map_or(0, |c| card_bytes(&c.1)));
        room = room.saturating_sub(packet.rumours.len() * RUMOUR);
        for _ in 0..self.talk.queue.len() {
            if room < RUMOUR {
                break;
            }
            let Some(mut item) = self.talk.queue.pop_front() else { break };
            if item.until < now {
                continue;
            }
            let Some(word) = self.word_of(now, item.node, item.cards > 0) else { continue };
            let size = bytes(&word);
            if item.node == to || size > room {
                self.talk.queue.push_back(item);
                continue;
            }
            room -= size;
            packet.rumours.push(word);
            (item.left, item.cards) = (item.left.saturating_sub(1), item.cards.saturating_sub(1));
            if item.left > 0 {
                self.talk.queue.push_back(item);
            }
        }
        (to, packet)
    }

    /// A packet without rumours.
    pub(crate) fn bare(&self, to: Node, body: Body) -> Packet {
        let has_card = self.table.map.get(&to).is_some_and(|e| e.told == self.issue);
        let card = (!has_card).then(|| (self.issue, self.set.card.clone()));
        let (from, incarnation, turn, digest) = (self.set.me, self.set.incarnation, self.turn, self.digest);
        Packet { from, incarnation, turn, load: self.set.card.load, digest, card, body, rumours: Vec::new() }
    }

    /// Those that the asker does not know yet with their cards, and with `all` the others without, in as
    /// many packets as it takes.
    pub(crate) fn all_members(
        &mut self,
        now: f64,
        to: Node,
        n: u32,
        all: bool,
        known: &[Node],
    ) -> Vec<(Node, Packet)> {
        let mut pieces: Vec<Vec<Rumour>> = vec![Vec::new()];
        let most = self.set.packet_most.saturating_sub(PACKET + card_bytes(&self.set.card));
        let mut room = most;
        for (node, entry) in self.table.map.iter().filter(|e| *e.0 != to) {
            let knows = known.binary_search(node).is_ok();
            if knows && !all || !knows && entry.member.standing != Standing::Alive {
                continue;
            }
            let word = entry.rumour(now, !knows, self.set.suspicion);
            let size = bytes(&word);
            if room < size {
                if pieces.len() == PIECES {
                    break;
                }
                pieces.push(Vec::new());
                room = most;
            }
            room = room.saturating_sub(size);
            if let Some(piece) = pieces.last_mut() {
                piece.push(word);
            }
        }
        let of = pieces.len() as u16;
        let knows_me = known.binary_search(&self.set.me).is_ok();
        let packets = pieces.into_iter().zip(0..).map(|(rumours, part)| {
            let bare = self.bare(to, Body::Members { n, part, of });
            let card = if knows_me { bare.card } else { Some((self.issue, self.set.card.clone())) };
            (to, Packet { rumours, card, ..bare })
        });
        packets.collect()
    }
}
