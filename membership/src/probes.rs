//! What is asked without having been asked.

use crate::swarm::Membership;
use crate::ways::Probe;
use crate::{Body, Member, Node, Packet, Standing};

/// A gap in the calls longer than this means that this process stood still.
const GAP: f64 = 1.0;
/// Suspected ones are asked again after this many seconds, and so many of them at once.
const AGAIN: f64 = 0.25;
const AT_ONCE: usize = 16;
/// Others are told of a suspicion this many seconds after it came up.
const HUSH: f64 = 0.25;
/// Where one is suspected, so many others not heard for so many seconds are asked at once.
const ALARM: usize = 9;
const SILENT: f64 = 0.6;
/// So many are asked to ask another one.
const HELPERS: usize = 2;

impl Membership {
    /// Does what is due; to be called at [`Swarm::next_wake`].
    pub fn tick(&mut self, now: f64) -> Vec<(Node, Packet)> {
        self.wake(now);
        let mut out = Vec::new();
        self.overdue(now, &mut out);
        self.suspects(now, &mut out);
        self.settle(now);
        if now >= self.ways.next {
            self.ways.hasten = false;
            let late = now - self.ways.next;
            self.ways.next = if late > self.set.period { now } else { self.ways.next } + self.set.period;
            self.probe(now, &mut out);
        } else if self.ways.hasten && now >= self.ways.hastened {
            self.ways.hasten = false;
            self.ways.hastened = now + self.set.period;
            self.probe(now, &mut out);
        }
        if std::mem::take(&mut self.ways.herald) {
            let core: Vec<Node> = self
                .table
                .with(Standing::Alive)
                .filter(|e| e.member.card.core)
                .map(|e| e.member.node)
                .collect();
            for node in core {
                let n = self.ways.number();
                out.push(self.doubtful(now, node, Body::Ping { n }));
            }
        }
        if now >= self.ways.slow {
            self.slow(now, &mut out);
        }
        self.ask_members(now, &mut out);
        self.settle(now);
        out
    }

    /// When there is something to do next, if nothing is heard until then.
    pub fn next_wake(&self) -> f64 {
        let ways = &self.ways;
        let mut next = if ways.herald { self.last } else { ways.next.min(ways.slow) };
        if ways.hasten {
            next = next.min(ways.hastened);
        }
        ways.probes.iter().for_each(|p| next = next.min(p.due));
        if ways.greetings > 0 && !self.table.map.is_empty() {
            next = next.min(ways.greet);
        }
        match &ways.asked {
            Some(asked) => next = next.min(asked.due),
            None if ways.lacking.is_some() => next = next.min(ways.ask_not_before),
            None => {}
        }
        for entry in self.table.with(Standing::Suspect) {
            next = next.min(entry.due).min(entry.again);
        }
        next
    }

    /// Notes the time of a call. After a standstill this process does not judge others by its own gap.
    pub(crate) fn wake(&mut self, now: f64) {
        let gap = now - self.last;
        self.last = now;
        if gap <= GAP {
            return;
        }
        self.ways.probes.clear();
        self.ways.relays.clear();
        self.ways.asked = None;
        let again = now + self.set.suspicion;
        for entry in self.table.map.values_mut().filter(|e| e.member.standing == Standing::Suspect) {
            (entry.due, entry.again) = (again, now);
        }
        self.ways.next = now;
        self.ways.hurry(now);
        // much may have been said meanwhile
        if let Some(other) = self.sample_alive(1, |_| true).first() {
            self.ways.lack(*other, true);
        }
        self.ways.ask_not_before = self.ways.ask_not_before.min(now);
    }

    /// Probes that got no answer: others are asked, then it is suspected.
    fn overdue(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        self.ways.relays.retain(|r| r.due > now);
        let mut i = 0;
        while i < self.ways.probes.len() {
            let probe = &mut self.ways.probes[i];
            if probe.due > now {
                i += 1;
                continue;
            }
            let (n, of, alone) = (probe.n, probe.of, probe.alone);
            let alive = |m: &Member| m.standing == Standing::Alive && m.last_received < probe.sent;
            let alive = self.table.map.get(&of).is_some_and(|e| alive(&e.member));
            if alive && !probe.helped {
                (probe.helped, probe.due) = (true, now + self.set.ack);
                out.push(self.doubtful(now, of, Body::Ping { n }));
                if !alone {
                    self.help(now, n, of, out);
                }
                i += 1;
                continue;
            }
            self.ways.probes.swap_remove(i);
            if let Some(entry) = self.table.map.get_mut(&of).filter(|_| alive) {
                entry.suspect(now, now + self.set.suspicion, false);
                self.dirty = true;
                self.alarm(now, of, out);
            }
        }
    }

    /// `of` was just suspected: there may be more like it, or this process may be cut off. So others that
    /// were not heard lately are asked at once, most of them of its region.
    fn alarm(&mut self, now: f64, of: Node, out: &mut Vec<(Node, Packet)>) {
        let Some(region) = self.table.map.get(&of).map(|e| e.member.card.region.as_str()) else { return };
        let (mut same, mut other) = (Vec::new(), Vec::new());
        for member in
            self.table.with(Standing::Alive).map(|e| &e.member).filter(|m| m.last_received < now - SILENT)
        {
            if self.ways.probes.iter().all(|p| p.of != member.node) {
                if member.card.region == region { &mut same } else { &mut other }.push(member.node);
            }
        }
        self.chance.shuffle(&mut same);
        self.chance.shuffle(&mut other);
        let most = ALARM - (ALARM / 3).min(other.len());
        same.truncate(most);
        other.truncate(ALARM - same.len());
        for of in same.into_iter().chain(other) {
            let n = self.ways.number();
            let due = now + self.set.ack;
            self.ways.probes.push(Probe { n, of, sent: now, due, helped: false, alone: true });
            out.push(self.doubtful(now, of, Body::Ping { n }));
        }
    }

    /// The number of a probe for one that spoke though others doubt it, unless one is under way: words of before it
    /// ended may have waited here while this process stood still, and only an answer says that it is there.
    pub(crate) fn verify(&mut self, now: f64, of: Node) -> u32 {
        if let Some(probe) = self.ways.probes.iter().find(|p| p.of == of) {
            return probe.n;
        }
        let (n, due) = (self.ways.number(), now + self.set.ack);
        self.ways.probes.push(Probe { n, of, sent: now, due, helped: false, alone: true });
        n
    }

    /// Asks others to ask that one.
    fn help(&mut self, now: f64, n: u32, of: Node, out: &mut Vec<(Node, Packet)>) {
        for helper in self.sample_alive(HELPERS, |m| m.node != of) {
            out.push(self.packet(now, helper, Body::PingReq { n, of }));
        }
    }

    /// Suspected ones are asked again until their time is over.
    fn suspects(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        let due = |e: &&crate::table::Entry| now >= e.due || now >= e.again;
        let nodes: Vec<Node> =
            self.table.with(Standing::Suspect).filter(due).map(|e| e.member.node).collect();
        let repeats = self.repeats();
        let few = nodes.len() <= HELPERS;
        let mut asked = 0;
        for node in nodes {
            let Some(entry) = self.table.map.get_mut(&node) else { continue };
            if now >= entry.due {
                entry.stand(now, Standing::Gone);
                self.dirty = true;
                self.talk.put(now, node, repeats, false);
                continue;
            }
            entry.again = now + AGAIN;
            let own = !entry.open;
            if own && now >= entry.member.since + HUSH {
                entry.open = true;
                self.talk.put(now, node, repeats, false);
            }
            asked += 1;
            if asked <= AT_ONCE {
                let n = self.ways.number();
                let due = now + 2.0 * self.set.ack;
                self.ways.probes.push(Probe { n, of: node, sent: now, due, helped: true, alone: true });
                out.push(self.doubtful(now, node, Body::Ping { n }));
                if own && few {
                    self.help(now, n, node, out);
                }
            }
        }
    }

    /// The usual probe of the period: every second one along a ring, so that each is asked by somebody in
    /// time, the others by chance, near and far.
    fn probe(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        self.sort_out();
        self.ways.round = self.ways.round.wrapping_add(1);
        let chosen = match self.ways.round % 4 {
            0 | 2 => self.ways.ring.first().copied(),
            1 => self.far_one().or_else(|| self.near_one()),
            _ => self.near_one().or_else(|| self.far_one()),
        };
        let Some(of) = chosen else { return };
        let n = self.ways.number();
        self.ways.probes.push(Probe {
            n,
            of,
            sent: now,
            due: now + self.set.ack,
            helped: false,
            alone: false,
        });
        out.push(self.packet(now, of, Body::Ping { n }));
    }

    /// The next one of the own region, each once a round.
    fn near_one(&mut self) -> Option<Node> {
        if self.ways.near_left.is_empty() {
            self.ways.near_left.clone_from(&self.ways.near);
            self.chance.shuffle(&mut self.ways.near_left);
        }
        self.ways.near_left.pop()
    }

    /// Any one of any other region; small regions are not asked less than large ones.
    fn far_one(&mut self) -> Option<Node> {
        let region = self.chance.choice(&self.ways.far)?;
        self.chance.choice(region).copied()
    }

    /// Sorts the ones that are alive by where they are.
    fn sort_out(&mut self) {
        if !std::mem::take(&mut self.ways.stale) {
            return;
        }
        let me = (self.set.card.region.as_str(), self.set.me);
        let alive = self.table.with(Standing::Alive);
        let mut all: Vec<(&str, Node)> =
            alive.map(|e| (e.member.card.region.as_str(), e.member.node)).collect();
        all.sort_unstable();
        let place = all.partition_point(|a| *a < me);
        let ways = &mut self.ways;
        (ways.ring, ways.near, ways.far) = (Vec::new(), Vec::new(), Vec::new());
        let mut region = None;
        for (place_region, node) in &all {
            if *place_region == me.0 {
                ways.near.push(*node);
            } else {
                if region != Some(place_region) {
                    region = Some(place_region);
                    ways.far.push(Vec::new());
                }
                ways.far.last_mut().into_iter().for_each(|f| f.push(*node));
            }
        }
        ways.ring.extend(all[place..].iter().chain(&all[..place]).map(|a| a.1));
        ways.near_left.retain(|n| ways.near.contains(n));
    }
}
