//! Rumours that are piggybacked on packets, and the construction of packets.

use crate::membership::Membership;
use crate::{Body, Card, Node, Packet, Rumour, Standing};
use std::collections::VecDeque;

/// Maximum number of processes with queued rumours.
const MAX_QUEUED: usize = 4096;
/// Maximum number of packets in the reply to a request for members.
const MAX_PARTS: usize = 64;
/// Seconds after which a rumour is no longer sent: by then it could undo what has since been settled.
const RUMOUR_LIFETIME: f64 = 5.0;
/// Estimated bytes of a packet without card and rumours, and of a rumour without card.
const PACKET_BYTES: usize = 90;
const RUMOUR_BYTES: usize = 28;

/// The processes about which rumours are to be sent, each with the number of repeats left.
#[derive(Default)]
pub(crate) struct RumourQueue {
    queue: VecDeque<QueuedRumour>,
}

struct QueuedRumour {
    node: Node,
    repeats_left: u8,
    /// Number of repeats that still include the card.
    card_repeats_left: u8,
    /// Time at which the rumour is dropped.
    expires: f64,
}

impl RumourQueue {
    /// Queues a rumour about a process for a number of repeats, with or without its card.
    pub fn push(&mut self, now: f64, node: Node, repeats: u8, card: bool) {
        let previous = self.queue.iter().position(|i| i.node == node).and_then(|i| self.queue.remove(i));
        // A receiver without the card asks for it, so only about half of the repeats carry it.
        let card_repeats_left =
            if card { repeats / 2 + 1 } else { previous.map_or(0, |p| p.card_repeats_left) };
        if self.queue.len() >= MAX_QUEUED {
            self.queue.pop_back();
        }
        self.queue.push_front(QueuedRumour {
            node,
            repeats_left: repeats,
            card_repeats_left,
            expires: now + RUMOUR_LIFETIME,
        });
    }
}

impl Membership {
    /// Drops the queued rumours that report others as suspected or gone.
    pub(crate) fn drop_accusations(&mut self) {
        let table = &self.table.entries;
        let alive =
            |i: &QueuedRumour| table.get(&i.node).is_none_or(|e| e.member.standing == Standing::Alive);
        self.rumours.queue.retain(alive);
    }
}

/// Estimated bytes of a card.
fn card_bytes(card: &Card) -> usize {
    53 + card.region.len() + card.zone.len() + if card.drift.is_some() { 72 } else { 0 }
}

/// Estimated bytes of a rumour.
fn rumour_bytes(rumour: &Rumour) -> usize {
    RUMOUR_BYTES + rumour.card.as_ref().map_or(0, |c| card_bytes(&c.1))
}

impl Membership {
    /// Returns the rumour about a process, which may be this one.
    fn rumour_about(&self, now: f64, node: Node, with_card: bool) -> Option<Rumour> {
        if node != self.settings.me {
            return self
                .table
                .entries
                .get(&node)
                .map(|e| e.rumour(now, with_card, self.settings.suspicion_timeout));
        }
        let (incarnation, refutations, standing) =
            (self.settings.incarnation, self.refutations, Standing::Alive);
        let card = with_card.then(|| (self.card_version, self.settings.card.clone()));
        Some(Rumour { node, incarnation, refutations, standing, age: 0, card })
    }

    /// Builds a packet to a member that may not receive it. Its only rumour is the accusation against the
    /// receiver, which the receiver has to refute.
    pub(crate) fn minimal_packet(&self, now: f64, to: Node, body: Body) -> (Node, Packet) {
        let mut packet = self.packet_without_rumours(to, body);
        let accusation = self.table.entries.get(&to).filter(|e| match e.member.standing {
            Standing::Alive => false,
            Standing::Suspect => e.announced,
            Standing::Gone => true,
        });
        packet.rumours.extend(accusation.map(|e| e.rumour(now, false, self.settings.suspicion_timeout)));
        (to, packet)
    }

    /// Builds a packet to `to` with as many queued rumours as fit.
    pub(crate) fn packet(&mut self, now: f64, to: Node, body: Body) -> (Node, Packet) {
        let (_, mut packet) = self.minimal_packet(now, to, body);
        let mut room = self.settings.max_packet_bytes.saturating_sub(PACKET_BYTES);
        room = room.saturating_sub(packet.card.as_ref().map_or(0, |c| card_bytes(&c.1)));
        room = room.saturating_sub(packet.rumours.len() * RUMOUR_BYTES);
        for _ in 0..self.rumours.queue.len() {
            if room < RUMOUR_BYTES {
                break;
            }
            let Some(mut item) = self.rumours.queue.pop_front() else { break };
            if item.expires < now {
                continue;
            }
            let Some(rumour) = self.rumour_about(now, item.node, item.card_repeats_left > 0) else {
                continue;
            };
            let size = rumour_bytes(&rumour);
            if item.node == to || size > room {
                self.rumours.queue.push_back(item);
                continue;
            }
            room -= size;
            packet.rumours.push(rumour);
            (item.repeats_left, item.card_repeats_left) =
                (item.repeats_left.saturating_sub(1), item.card_repeats_left.saturating_sub(1));
            if item.repeats_left > 0 {
                self.rumours.queue.push_back(item);
            }
        }
        (to, packet)
    }

    /// Builds a packet without rumours.
    pub(crate) fn packet_without_rumours(&self, to: Node, body: Body) -> Packet {
        let is_card_delivered =
            self.table.entries.get(&to).is_some_and(|e| e.delivered_card_version == self.card_version);
        let card = (!is_card_delivered).then(|| (self.card_version, self.settings.card.clone()));
        let (from, incarnation, refutations, digest) =
            (self.settings.me, self.settings.incarnation, self.refutations, self.digest);
        Packet {
            from,
            incarnation,
            refutations,
            load: self.settings.card.load,
            digest,
            card,
            body,
            rumours: Vec::new(),
        }
    }

    /// Builds the reply to a request for members: those that the requester does not have, with their cards,
    /// and with `include_known` also the others without, in as many packets as needed.
    pub(crate) fn members_reply(
        &mut self,
        now: f64,
        to: Node,
        sequence: u32,
        include_known: bool,
        known: &[Node],
    ) -> Vec<(Node, Packet)> {
        let mut parts: Vec<Vec<Rumour>> = vec![Vec::new()];
        let max_bytes =
            self.settings.max_packet_bytes.saturating_sub(PACKET_BYTES + card_bytes(&self.settings.card));
        let mut room = max_bytes;
        for (node, entry) in self.table.entries.iter().filter(|e| *e.0 != to) {
            let is_known = known.binary_search(node).is_ok();
            if is_known && !include_known || !is_known && entry.member.standing != Standing::Alive {
                continue;
            }
            let rumour = entry.rumour(now, !is_known, self.settings.suspicion_timeout);
            let size = rumour_bytes(&rumour);
            if room < size {
                if parts.len() == MAX_PARTS {
                    break;
                }
                parts.push(Vec::new());
                room = max_bytes;
            }
            room = room.saturating_sub(size);
            if let Some(last_part) = parts.last_mut() {
                last_part.push(rumour);
            }
        }
        let part_count = parts.len() as u16;
        let has_own_card = known.binary_search(&self.settings.me).is_ok();
        let packets = parts.into_iter().zip(0..).map(|(rumours, part)| {
            let packet = self.packet_without_rumours(to, Body::Members { sequence, part, part_count });
            let card = if has_own_card {
                packet.card
            } else {
                Some((self.card_version, self.settings.card.clone()))
            };
            (to, Packet { rumours, card, ..packet })
        });
        packets.collect()
    }
}
