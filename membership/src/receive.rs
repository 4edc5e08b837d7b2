//! Handling of received packets and the changes they make to the member table.

use crate::membership::Membership;
use crate::schedule::{Relay, MAX_RELAYS};
use crate::{Body, Card, Node, Packet, Rumour, Standing};

/// Maximum number of rumours evaluated per packet; the rest is ignored.
const MAX_RUMOURS: usize = 256;
/// A member from which a packet arrived within this many seconds is not suspected because of a rumour.
const RECENT: f64 = 0.6;
/// Minimum number of seconds that a member has to refute a suspicion received from others, and a report that
/// it is gone.
const MIN_SUSPICION: f64 = 0.6;
const MIN_AFTER_GONE: f64 = 0.4;

impl Membership {
    /// Handles a received packet and returns the packets to send. The host has checked that the packet came
    /// from `packet.from`.
    pub fn receive(&mut self, now: f64, packet: Packet) -> Vec<(Node, Packet)> {
        self.note_call(now);
        let Packet { from, incarnation, refutations, load, digest, card, body, rumours } = packet;
        let mut out = Vec::new();
        if from == self.settings.me || from == 0 {
            return out;
        }
        if !self.update_sender(now, from, incarnation, refutations, card) {
            // The sender restarted with an older incarnation. Send it the newer one, so that it picks a still
            // newer one.
            if matches!(&body, Body::Ping { .. } | Body::MembersRequest { .. }) {
                let suspicion_timeout = self.settings.suspicion_timeout;
                let rumour = self.table.entries.get(&from).map(|e| e.rumour(now, false, suspicion_timeout));
                let mut answer = self.packet_without_rumours(from, Body::Ping { sequence: 0 });
                answer.rumours.extend(rumour);
                out.push((from, answer));
            }
            return out;
        }
        if let Some(entry) = self.table.entries.get_mut(&from) {
            entry.member.last_received = now;
            entry.member.digest = digest;
            entry.member.card.load = load;
        }
        self.note_ahead(from, digest);
        let is_reply =
            matches!(&body, Body::Members { sequence, .. } if self.schedule.is_current_query(*sequence));
        for rumour in rumours.into_iter().take(MAX_RUMOURS) {
            self.take_rumour(now, from, rumour, is_reply, &mut out);
        }
        match body {
            Body::Ping { sequence } => {
                out.push(self.packet(now, from, Body::Ack { sequence, target: self.settings.me }))
            }
            Body::Ack { sequence, target } => self.receive_ack(now, from, sequence, target, &mut out),
            Body::PingReq { sequence, target } => self.ping_for(now, from, sequence, target, &mut out),
            Body::MembersRequest { sequence, include_known, known } => {
                if self.schedule.may_reply(now) {
                    out.extend(self.members_reply(now, from, sequence, include_known, &known));
                }
            }
            Body::Members { sequence, part, part_count } => {
                self.mark_card_delivered(from);
                self.schedule.receive_part(sequence, part, part_count);
            }
        }
        self.refresh_derived(now);
        out
    }

    /// Updates the entry of a packet's sender, which is alive. Returns `false` if the packet is from an
    /// earlier incarnation of the sender.
    fn update_sender(
        &mut self,
        now: f64,
        from: Node,
        incarnation: u64,
        refutations: u32,
        card: Option<(u32, Card)>,
    ) -> bool {
        let gone = |e: &crate::table::Entry| e.member.standing == Standing::Gone;
        if self.table.entries.get(&from).is_some_and(gone) && self.table.mostly_unreachable() {
            // This process was partitioned from the others. Drop the queued accusations, which result from
            // that.
            self.drop_accusations();
        }
        let Some(entry) = self.table.entries.get_mut(&from) else {
            match card {
                Some(card) => {
                    if self.table.add(now, from, incarnation, refutations, card) {
                        self.rumours.push(now, from, self.repeats(), true);
                        self.table_changed = true;
                    }
                }
                None => self.schedule.request_members(from, false),
            }
            return true;
        };
        if incarnation < entry.member.incarnation {
            return false;
        }
        let mut changed = false;
        let previous = entry.member.standing;
        if incarnation > entry.member.incarnation {
            entry.start_incarnation(now, incarnation, refutations);
            changed = true;
        } else if refutations > entry.refutations {
            entry.refutations = refutations;
            entry.set_standing(now, Standing::Alive);
            changed = true;
        } else if previous == Standing::Suspect {
            entry.set_standing(now, Standing::Alive);
        }
        let with_card = entry.update_card(card);
        self.table_changed |= with_card || previous != entry.member.standing;
        if entry.card_version == 0 {
            // The stored card is from an earlier incarnation.
            self.schedule.request_members(from, false);
        }
        let returned = previous == Standing::Gone && entry.member.standing == Standing::Alive;
        if changed || with_card {
            self.rumours.push(now, from, self.repeats(), with_card);
        }
        if returned {
            self.schedule.retry_soon(now);
            // Where many members are gone, it may be this process that was partitioned: ask for the standing
            // of all.
            if self.table.with_standing(Standing::Gone).count() * 4 >= self.table.entries.len() {
                self.schedule.request_members(from, true);
            }
        }
        true
    }

    /// Handles the acknowledgement of ping `sequence` which reports that `target` is alive.
    fn receive_ack(
        &mut self,
        now: f64,
        from: Node,
        sequence: u32,
        target: Node,
        out: &mut Vec<(Node, Packet)>,
    ) {
        if from == target {
            self.mark_card_delivered(from);
            if let Some(i) =
                self.schedule.relays.iter().position(|r| r.sequence == sequence && r.target == target)
            {
                let relay = self.schedule.relays.swap_remove(i);
                out.push(self.packet(
                    now,
                    relay.requester,
                    Body::Ack { sequence: relay.requester_sequence, target },
                ));
            }
        }
        let Some(i) = self.schedule.probes.iter().position(|p| p.sequence == sequence && p.target == target)
        else {
            return;
        };
        self.schedule.probes.swap_remove(i);
        self.schedule.probes.retain(|p| p.target != target);
        if let Some(entry) = self.table.entries.get_mut(&target) {
            if entry.member.standing == Standing::Suspect {
                entry.set_standing(now, Standing::Alive);
                self.table_changed = true;
            }
        }
    }

    /// Records that a member has the own card: it answered a packet that carried it.
    fn mark_card_delivered(&mut self, from: Node) {
        let card_version = self.card_version;
        if let Some(entry) = self.table.entries.get_mut(&from) {
            entry.delivered_card_version = card_version;
        }
    }

    /// Pings `target` on behalf of `from`.
    fn ping_for(
        &mut self,
        now: f64,
        from: Node,
        requester_sequence: u32,
        target: Node,
        out: &mut Vec<(Node, Packet)>,
    ) {
        if target == self.settings.me {
            return out.push(self.packet(now, from, Body::Ack { sequence: requester_sequence, target }));
        }
        if self.table.entries.contains_key(&target) && self.schedule.relays.len() < MAX_RELAYS {
            let sequence = self.schedule.next_sequence();
            self.schedule.relays.push(Relay {
                sequence,
                target,
                requester: from,
                requester_sequence,
                due: now + 1.0,
            });
            out.push(self.packet(now, target, Body::Ping { sequence }));
        }
    }

    /// Handles a rumour from `reporter`. `is_reply` is set if the rumour is part of the reply to an own
    /// request for members.
    fn take_rumour(
        &mut self,
        now: f64,
        reporter: Node,
        rumour: Rumour,
        is_reply: bool,
        out: &mut Vec<(Node, Packet)>,
    ) {
        if rumour.node == self.settings.me {
            return self.refute(now, &rumour);
        }
        if rumour.node == 0 {
            return;
        }
        let Some(entry) = self.table.entries.get_mut(&rumour.node) else {
            if rumour.standing == Standing::Alive {
                match rumour.card {
                    Some(card) => {
                        let added =
                            self.table.add(now, rumour.node, rumour.incarnation, rumour.refutations, card);
                        // The sender and most others already have what is in a reply.
                        if added && !is_reply {
                            self.rumours.push(now, rumour.node, self.repeats(), true);
                        }
                        self.table_changed |= added;
                    }
                    None => self.schedule.request_members(reporter, false),
                }
            }
            return;
        };
        if rumour.incarnation < entry.member.incarnation {
            return;
        }
        let previous = entry.member.standing;
        let mut changed = false;
        if rumour.incarnation > entry.member.incarnation {
            entry.start_incarnation(now, rumour.incarnation, rumour.refutations);
            changed = true;
        }
        let with_card = entry.update_card(rumour.card);
        if rumour.refutations > entry.refutations && rumour.standing == Standing::Alive {
            entry.refutations = rumour.refutations;
            entry.set_standing(now, Standing::Alive);
            changed = true;
        } else if is_reply
            && rumour.standing == Standing::Alive
            && rumour.refutations == entry.refutations
            && previous == Standing::Gone
        {
            // This process may have declared it gone while it was partitioned itself.
            entry.set_standing(now, Standing::Alive);
        } else if rumour.standing != Standing::Alive && rumour.refutations >= entry.refutations {
            entry.refutations = rumour.refutations;
            let time_left = match rumour.standing {
                Standing::Suspect => {
                    (self.settings.suspicion_timeout - f64::from(rumour.age) / 100.0).max(MIN_SUSPICION)
                }
                _ => MIN_AFTER_GONE,
            };
            match entry.member.standing {
                Standing::Alive if now - entry.member.last_received < RECENT => {
                    // Send the accusation to the member, which can refute it if it is alive.
                    if entry.next_ping <= now {
                        entry.next_ping = now + RECENT / 2.0;
                        let (standing, card) = (rumour.standing, None);
                        let sequence = self.verification_ping(now, rumour.node);
                        let mut notice = self.packet_without_rumours(rumour.node, Body::Ping { sequence });
                        notice.rumours.push(Rumour { standing, card, ..rumour });
                        out.push((rumour.node, notice));
                    }
                    return;
                }
                Standing::Alive => {
                    entry.suspect(now, now + time_left, true);
                    changed = true;
                }
                Standing::Suspect => {
                    changed = !std::mem::replace(&mut entry.announced, true);
                    entry.suspect_until = entry.suspect_until.min(now + time_left);
                }
                Standing::Gone => {}
            }
        }
        let standing = entry.member.standing;
        self.table_changed |= with_card || previous != standing;
        if previous == Standing::Gone && standing == Standing::Alive && !is_reply {
            self.schedule.retry_soon(now);
        }
        if changed || with_card {
            self.rumours.push(now, rumour.node, self.repeats(), with_card);
        }
    }

    /// Handles a rumour about this process: refutes it with a higher refutation count, or a newer
    /// incarnation.
    fn refute(&mut self, now: f64, rumour: &Rumour) {
        let accused = rumour.standing != Standing::Alive && rumour.refutations >= self.refutations;
        if rumour.incarnation > self.settings.incarnation {
            self.settings.incarnation = rumour.incarnation.saturating_add(1);
            self.refutations = 0;
        } else if rumour.incarnation == self.settings.incarnation
            && (accused || rumour.refutations > self.refutations)
        {
            self.refutations = rumour.refutations.saturating_add(1);
        } else {
            return;
        }
        let resend_card = rumour.standing != Standing::Suspect;
        if resend_card {
            // Members that declared this process gone may have dropped its card.
            self.table.entries.values_mut().for_each(|e| e.delivered_card_version = 0);
        }
        self.rumours.push(now, self.settings.me, self.repeats(), resend_card);
    }
}
