//! What is heard, and what it changes.

use crate::swarm::Membership;
use crate::ways::{Relay, RELAYS};
use crate::{Body, Card, Node, Packet, Rumour, Standing};

/// So many rumours of a packet are looked at.
const RUMOURS: usize = 256;
/// One heard directly so many seconds ago is not suspected by hearsay.
const FRESH: f64 = 0.6;
/// One that others suspect has at least so long to tell this process otherwise, and one that they gave up.
const SUSPECT: f64 = 0.6;
const GIVEN_UP: f64 = 0.4;

impl Membership {
    /// Takes a packet; its sender (`packet.from`) has been checked by the host.
    pub fn receive(&mut self, now: f64, packet: Packet) -> Vec<(Node, Packet)> {
        self.wake(now);
        let Packet { from, incarnation, turn, load, digest, card, body, rumours } = packet;
        let mut out = Vec::new();
        if from == self.set.me || from == 0 {
            return out;
        }
        if !self.take_sender(now, from, incarnation, turn, card) {
            // a start under an older incarnation: it is told of the newer one, and takes a still newer one
            if matches!(&body, Body::Ping { .. } | Body::Hello { .. }) {
                let suspicion = self.set.suspicion;
                let word = self.table.map.get(&from).map(|e| e.rumour(now, false, suspicion));
                let mut answer = self.bare(from, Body::Ping { n: 0 });
                answer.rumours.extend(word);
                out.push((from, answer));
            }
            return out;
        }
        if let Some(entry) = self.table.map.get_mut(&from) {
            entry.member.last_received = now;
            entry.member.digest = digest;
            entry.member.card.load = load;
        }
        self.note_ahead(from, digest);
        let pieces = matches!(&body, Body::Members { n, .. } if self.ways.asked(*n));
        for rumour in rumours.into_iter().take(RUMOURS) {
            self.rumour(now, from, rumour, pieces, &mut out);
        }
        match body {
            Body::Ping { n } => out.push(self.packet(now, from, Body::Ack { n, of: self.set.me })),
            Body::Ack { n, of } => self.answered(now, from, n, of, &mut out),
            Body::PingReq { n, of } => self.ask_for(now, from, n, of, &mut out),
            Body::Hello { n, all, known } => {
                if self.ways.may_tell(now) {
                    out.extend(self.all_members(now, from, n, all, &known));
                }
            }
            Body::Members { n, part, of } => {
                self.has_card(from);
                self.ways.piece(n, part, of);
            }
        }
        self.settle(now);
        out
    }

    /// Learns from a packet that its sender is there; `false` if it is a former incarnation of it.
    fn take_sender(
        &mut self,
        now: f64,
        from: Node,
        incarnation: u64,
        turn: u32,
        card: Option<(u32, Card)>,
    ) -> bool {
        let gone = |e: &crate::table::Entry| e.member.standing == Standing::Gone;
        if self.table.map.get(&from).is_some_and(gone) && self.table.lonely() {
            // this process was cut off: the others are to hear nothing against each other for that
            self.drop_against();
        }
        let Some(entry) = self.table.map.get_mut(&from) else {
            match card {
                Some(card) => {
                    if self.table.add(now, from, incarnation, turn, card) {
                        self.talk.put(now, from, self.repeats(), true);
                        self.dirty = true;
                    }
                }
                None => self.ways.lack(from, false),
            }
            return true;
        };
        if incarnation < entry.member.incarnation {
            return false;
        }
        let mut news = false;
        let was = entry.member.standing;
        if incarnation > entry.member.incarnation {
            entry.reborn(now, incarnation, turn);
            news = true;
        } else if turn > entry.turn {
            entry.turn = turn;
            entry.stand(now, Standing::Alive);
            news = true;
        } else if was == Standing::Suspect {
            entry.stand(now, Standing::Alive);
        }
        let with_card = entry.take_card(card);
        self.dirty |= with_card || was != entry.member.standing;
        if entry.issue == 0 {
            // its card is of a former incarnation
            self.ways.lack(from, false);
        }
        let back = was == Standing::Gone && entry.member.standing == Standing::Alive;
        if news || with_card {
            self.talk.put(now, from, self.repeats(), with_card);
        }
        if back {
            self.ways.hurry(now);
            // where many are gone it may be this process that was cut off
            if self.table.with(Standing::Gone).count() * 4 >= self.table.map.len() {
                self.ways.lack(from, true);
            }
        }
        true
    }

    /// An answer to number `n` came, which says that `of` is there.
    fn answered(&mut self, now: f64, from: Node, n: u32, of: Node, out: &mut Vec<(Node, Packet)>) {
        if from == of {
            self.has_card(from);
            if let Some(i) = self.ways.relays.iter().position(|r| r.n == n && r.of == of) {
                let relay = self.ways.relays.swap_remove(i);
                out.push(self.packet(now, relay.to, Body::Ack { n: relay.asked, of }));
            }
        }
        let Some(i) = self.ways.probes.iter().position(|p| p.n == n && p.of == of) else { return };
        self.ways.probes.swap_remove(i);
        self.ways.probes.retain(|p| p.of != of);
        if let Some(entry) = self.table.map.get_mut(&of) {
            if entry.member.standing == Standing::Suspect {
                entry.stand(now, Standing::Alive);
                self.dirty = true;
            }
        }
    }

    /// It has answered, so it got a packet with the card.
    fn has_card(&mut self, from: Node) {
        let issue = self.issue;
        if let Some(entry) = self.table.map.get_mut(&from) {
            entry.told = issue;
        }
    }

    /// Asks `of` for another one.
    fn ask_for(&mut self, now: f64, from: Node, asked: u32, of: Node, out: &mut Vec<(Node, Packet)>) {
        if of == self.set.me {
            return out.push(self.packet(now, from, Body::Ack { n: asked, of }));
        }
        if self.table.map.contains_key(&of) && self.ways.relays.len() < RELAYS {
            let n = self.ways.number();
            self.ways.relays.push(Relay { n, of, to: from, asked, due: now + 1.0 });
            out.push(self.packet(now, of, Body::Ping { n }));
        }
    }

    /// Takes a rumour told by `teller`; `piece` if it is of an answer that was asked for.
    fn rumour(&mut self, now: f64, teller: Node, word: Rumour, piece: bool, out: &mut Vec<(Node, Packet)>) {
        if word.node == self.set.me {
            return self.about_me(now, &word);
        }
        if word.node == 0 {
            return;
        }
        let Some(entry) = self.table.map.get_mut(&word.node) else {
            if word.standing == Standing::Alive {
                match word.card {
                    Some(card) => {
                        let added = self.table.add(now, word.node, word.incarnation, word.turn, card);
                        // a piece is known to its teller and most others
                        if added && !piece {
                            self.talk.put(now, word.node, self.repeats(), true);
                        }
                        self.dirty |= added;
                    }
                    None => self.ways.lack(teller, false),
                }
            }
            return;
        };
        if word.incarnation < entry.member.incarnation {
            return;
        }
        let was = entry.member.standing;
        let mut news = false;
        if word.incarnation > entry.member.incarnation {
            entry.reborn(now, word.incarnation, word.turn);
            news = true;
        }
        let with_card = entry.take_card(word.card);
        if word.turn > entry.turn && word.standing == Standing::Alive {
            entry.turn = word.turn;
            entry.stand(now, Standing::Alive);
            news = true;
        } else if piece
            && word.standing == Standing::Alive
            && word.turn == entry.turn
            && was == Standing::Gone
        {
            // the own verdict may come from having been cut off
            entry.stand(now, Standing::Alive);
        } else if word.standing != Standing::Alive && word.turn >= entry.turn {
            entry.turn = word.turn;
            let left = match word.standing {
                Standing::Suspect => (self.set.suspicion - f64::from(word.age) / 100.0).max(SUSPECT),
                _ => GIVEN_UP,
            };
            match entry.member.standing {
                Standing::Alive if now - entry.member.last_received < FRESH => {
                    // if it is there it can say so itself once it knows
                    if entry.again <= now {
                        entry.again = now + FRESH / 2.0;
                        let (standing, card) = (word.standing, None);
                        let n = self.verify(now, word.node);
                        let mut tell = self.bare(word.node, Body::Ping { n });
                        tell.rumours.push(Rumour { standing, card, ..word });
                        out.push((word.node, tell));
                    }
                    return;
                }
                Standing::Alive => {
                    entry.suspect(now, now + left, true);
                    news = true;
                }
                Standing::Suspect => {
                    news = !std::mem::replace(&mut entry.open, true);
                    entry.due = entry.due.min(now + left);
                }
                Standing::Gone => {}
            }
        }
        let standing = entry.member.standing;
        self.dirty |= with_card || was != standing;
        if was == Standing::Gone && standing == Standing::Alive && !piece {
            self.ways.hurry(now);
        }
        if news || with_card {
            self.talk.put(now, word.node, self.repeats(), with_card);
        }
    }

    /// Others say something of this process.
    fn about_me(&mut self, now: f64, word: &Rumour) {
        let against = word.standing != Standing::Alive && word.turn >= self.turn;
        if word.incarnation > self.set.incarnation {
            self.set.incarnation = word.incarnation.saturating_add(1);
            self.turn = 0;
        } else if word.incarnation == self.set.incarnation && (against || word.turn > self.turn) {
            self.turn = word.turn.saturating_add(1);
        } else {
            return;
        }
        let anew = word.standing != Standing::Suspect;
        if anew {
            // who gave this one up may have forgotten its card
            self.table.map.values_mut().for_each(|e| e.told = 0);
        }
        self.talk.put(now, self.set.me, self.repeats(), anew);
    }
}
