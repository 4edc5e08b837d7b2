//! Periodic work: probes, suspicions and their timeouts.

use crate::membership::Membership;
use crate::schedule::Probe;
use crate::{Body, Member, Node, Packet, Standing};

/// A gap between two calls longer than this many seconds means that this process was paused.
const MAX_CALL_GAP: f64 = 1.0;
/// Suspected members are pinged again after this many seconds, and at most this many of them per call.
const SUSPECT_PING_INTERVAL: f64 = 0.25;
const MAX_SUSPECT_PINGS: usize = 16;
/// A suspicion is announced to others this many seconds after it began.
const ANNOUNCE_AFTER: f64 = 0.25;
/// When a member becomes suspected, up to this many others are probed at once, namely those from which
/// nothing arrived for `SILENT_AFTER` seconds.
const MAX_SILENT_PROBES: usize = 9;
const SILENT_AFTER: f64 = 0.6;
/// Number of other members that are asked to ping a member indirectly.
const INDIRECT_PINGS: usize = 2;

impl Membership {
    /// Does the work that is due and returns the packets to send. To be called at [`Membership::next_wake`].
    pub fn tick(&mut self, now: f64) -> Vec<(Node, Packet)> {
        self.note_call(now);
        let mut out = Vec::new();
        self.check_overdue_probes(now, &mut out);
        self.ping_suspects(now, &mut out);
        self.refresh_derived(now);
        if now >= self.schedule.next_probe {
            self.schedule.early_probe = false;
            let late = now - self.schedule.next_probe;
            self.schedule.next_probe =
                if late > self.settings.probe_period { now } else { self.schedule.next_probe }
                    + self.settings.probe_period;
            self.send_probe(now, &mut out);
        } else if self.schedule.early_probe && now >= self.schedule.early_probe_after {
            self.schedule.early_probe = false;
            self.schedule.early_probe_after = now + self.settings.probe_period;
            self.send_probe(now, &mut out);
        }
        if std::mem::take(&mut self.schedule.notify_core) {
            let core: Vec<Node> = self
                .table
                .with_standing(Standing::Alive)
                .filter(|e| e.member.card.core)
                .map(|e| e.member.node)
                .collect();
            for node in core {
                let sequence = self.schedule.next_sequence();
                out.push(self.minimal_packet(now, node, Body::Ping { sequence }));
            }
        }
        if now >= self.schedule.next_retry {
            self.retry_unreachable(now, &mut out);
        }
        self.query_members(now, &mut out);
        self.refresh_derived(now);
        out
    }

    /// The time at which [`Membership::tick`] has work to do next, if nothing is received until then.
    pub fn next_wake(&self) -> f64 {
        let schedule = &self.schedule;
        let mut next =
            if schedule.notify_core { self.last_call } else { schedule.next_probe.min(schedule.next_retry) };
        if schedule.early_probe {
            next = next.min(schedule.early_probe_after);
        }
        schedule.probes.iter().for_each(|p| next = next.min(p.due));
        if schedule.startup_queries_left > 0 && !self.table.entries.is_empty() {
            next = next.min(schedule.next_startup_query);
        }
        match &schedule.query {
            Some(query) => next = next.min(query.due),
            None if schedule.members_source.is_some() => next = next.min(schedule.next_query_after),
            None => {}
        }
        for entry in self.table.with_standing(Standing::Suspect) {
            next = next.min(entry.suspect_until).min(entry.next_ping);
        }
        next
    }

    /// Records the time of a call. After this process was paused, the missing answers say nothing about the
    /// others: pending probes are dropped and suspicions start anew.
    pub(crate) fn note_call(&mut self, now: f64) {
        let gap = now - self.last_call;
        self.last_call = now;
        if gap <= MAX_CALL_GAP {
            return;
        }
        self.schedule.probes.clear();
        self.schedule.relays.clear();
        self.schedule.query = None;
        let suspect_until = now + self.settings.suspicion_timeout;
        for entry in self.table.entries.values_mut().filter(|e| e.member.standing == Standing::Suspect) {
            (entry.suspect_until, entry.next_ping) = (suspect_until, now);
        }
        self.schedule.next_probe = now;
        self.schedule.retry_soon(now);
        // Updates may have been missed in the meantime.
        if let Some(other) = self.sample_alive(1, |_| true).first() {
            self.schedule.request_members(*other, true);
        }
        self.schedule.next_query_after = self.schedule.next_query_after.min(now);
    }

    /// Handles probes without an answer: first sends indirect pings through others, then suspects the target.
    fn check_overdue_probes(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        self.schedule.relays.retain(|r| r.due > now);
        let mut i = 0;
        while i < self.schedule.probes.len() {
            let probe = &mut self.schedule.probes[i];
            if probe.due > now {
                i += 1;
                continue;
            }
            let (sequence, target, direct_only) = (probe.sequence, probe.target, probe.direct_only);
            let is_alive = |m: &Member| m.standing == Standing::Alive && m.last_received < probe.sent;
            let alive = self.table.entries.get(&target).is_some_and(|e| is_alive(&e.member));
            if alive && !probe.indirect {
                (probe.indirect, probe.due) = (true, now + self.settings.ack_timeout);
                out.push(self.minimal_packet(now, target, Body::Ping { sequence }));
                if !direct_only {
                    self.request_indirect_pings(now, sequence, target, out);
                }
                i += 1;
                continue;
            }
            self.schedule.probes.swap_remove(i);
            if let Some(entry) = self.table.entries.get_mut(&target).filter(|_| alive) {
                entry.suspect(now, now + self.settings.suspicion_timeout, false);
                self.table_changed = true;
                self.probe_silent_members(now, target, out);
            }
        }
    }

    /// Probes other members that were silent lately, most of them from the region of `target`, which was just
    /// suspected: more members may have failed with it, or this process may be partitioned.
    fn probe_silent_members(&mut self, now: f64, target: Node, out: &mut Vec<(Node, Packet)>) {
        let Some(region) = self.table.entries.get(&target).map(|e| e.member.card.region.as_str()) else {
            return;
        };
        let (mut same, mut other) = (Vec::new(), Vec::new());
        for member in self
            .table
            .with_standing(Standing::Alive)
            .map(|e| &e.member)
            .filter(|m| m.last_received < now - SILENT_AFTER)
        {
            if self.schedule.probes.iter().all(|p| p.target != member.node) {
                if member.card.region == region { &mut same } else { &mut other }.push(member.node);
            }
        }
        self.rng.shuffle(&mut same);
        self.rng.shuffle(&mut other);
        let most = MAX_SILENT_PROBES - (MAX_SILENT_PROBES / 3).min(other.len());
        same.truncate(most);
        other.truncate(MAX_SILENT_PROBES - same.len());
        for target in same.into_iter().chain(other) {
            let sequence = self.schedule.next_sequence();
            let due = now + self.settings.ack_timeout;
            self.schedule.probes.push(Probe {
                sequence,
                target,
                sent: now,
                due,
                indirect: false,
                direct_only: true,
            });
            out.push(self.minimal_packet(now, target, Body::Ping { sequence }));
        }
    }

    /// Returns the sequence number for pinging a member that sent a packet though others accuse it, and
    /// records the probe unless one is pending. Packets that it sent before it ended may have waited here
    /// while this process was paused, so only an answer to a new ping shows that it is alive.
    pub(crate) fn verification_ping(&mut self, now: f64, target: Node) -> u32 {
        if let Some(probe) = self.schedule.probes.iter().find(|p| p.target == target) {
            return probe.sequence;
        }
        let (sequence, due) = (self.schedule.next_sequence(), now + self.settings.ack_timeout);
        self.schedule.probes.push(Probe {
            sequence,
            target,
            sent: now,
            due,
            indirect: false,
            direct_only: true,
        });
        sequence
    }

    /// Asks other members to ping `target`.
    fn request_indirect_pings(
        &mut self,
        now: f64,
        sequence: u32,
        target: Node,
        out: &mut Vec<(Node, Packet)>,
    ) {
        for helper in self.sample_alive(INDIRECT_PINGS, |m| m.node != target) {
            out.push(self.packet(now, helper, Body::PingReq { sequence, target }));
        }
    }

    /// Pings suspected members again and declares them gone when their time is over.
    fn ping_suspects(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        let is_due = |e: &&crate::table::Entry| now >= e.suspect_until || now >= e.next_ping;
        let nodes: Vec<Node> =
            self.table.with_standing(Standing::Suspect).filter(is_due).map(|e| e.member.node).collect();
        let repeats = self.repeats();
        let ask_helpers = nodes.len() <= INDIRECT_PINGS;
        let mut pinged = 0;
        for node in nodes {
            let Some(entry) = self.table.entries.get_mut(&node) else { continue };
            if now >= entry.suspect_until {
                entry.set_standing(now, Standing::Gone);
                self.table_changed = true;
                self.rumours.push(now, node, repeats, false);
                continue;
            }
            entry.next_ping = now + SUSPECT_PING_INTERVAL;
            let own_suspicion = !entry.announced;
            if own_suspicion && now >= entry.member.since + ANNOUNCE_AFTER {
                entry.announced = true;
                self.rumours.push(now, node, repeats, false);
            }
            pinged += 1;
            if pinged <= MAX_SUSPECT_PINGS {
                let sequence = self.schedule.next_sequence();
                let due = now + 2.0 * self.settings.ack_timeout;
                self.schedule.probes.push(Probe {
                    sequence,
                    target: node,
                    sent: now,
                    due,
                    indirect: true,
                    direct_only: true,
                });
                out.push(self.minimal_packet(now, node, Body::Ping { sequence }));
                if own_suspicion && ask_helpers {
                    self.request_indirect_pings(now, sequence, node, out);
                }
            }
        }
    }

    /// Sends the probe of a period. Every second probe goes along a ring, so that each member is probed by
    /// some other one in time. The remaining probes go to random members of the own region and of other
    /// regions in turn.
    fn send_probe(&mut self, now: f64, out: &mut Vec<(Node, Packet)>) {
        self.sort_targets();
        self.schedule.probe_round = self.schedule.probe_round.wrapping_add(1);
        let chosen = match self.schedule.probe_round % 4 {
            0 | 2 => self.schedule.ring.first().copied(),
            1 => self.random_in_other_region().or_else(|| self.next_in_own_region()),
            _ => self.next_in_own_region().or_else(|| self.random_in_other_region()),
        };
        let Some(target) = chosen else { return };
        let sequence = self.schedule.next_sequence();
        self.schedule.probes.push(Probe {
            sequence,
            target,
            sent: now,
            due: now + self.settings.ack_timeout,
            indirect: false,
            direct_only: false,
        });
        out.push(self.packet(now, target, Body::Ping { sequence }));
    }

    /// Returns the next member of the own region in random order, each once per round.
    fn next_in_own_region(&mut self) -> Option<Node> {
        if self.schedule.own_region_left.is_empty() {
            self.schedule.own_region_left.clone_from(&self.schedule.own_region);
            self.rng.shuffle(&mut self.schedule.own_region_left);
        }
        self.schedule.own_region_left.pop()
    }

    /// Returns a random member of a random other region, so that small regions are probed as often as large ones.
    fn random_in_other_region(&mut self) -> Option<Node> {
        let region = self.rng.choice(&self.schedule.other_regions)?;
        self.rng.choice(region).copied()
    }

    /// Groups the members that are alive by region.
    fn sort_targets(&mut self) {
        if !std::mem::take(&mut self.schedule.targets_stale) {
            return;
        }
        let me = (self.settings.card.region.as_str(), self.settings.me);
        let alive = self.table.with_standing(Standing::Alive);
        let mut all: Vec<(&str, Node)> =
            alive.map(|e| (e.member.card.region.as_str(), e.member.node)).collect();
        all.sort_unstable();
        let place = all.partition_point(|a| *a < me);
        let schedule = &mut self.schedule;
        (schedule.ring, schedule.own_region, schedule.other_regions) = (Vec::new(), Vec::new(), Vec::new());
        let mut region = None;
        for (place_region, node) in &all {
            if *place_region == me.0 {
                schedule.own_region.push(*node);
            } else {
                if region != Some(place_region) {
                    region = Some(place_region);
                    schedule.other_regions.push(Vec::new());
                }
                schedule.other_regions.last_mut().into_iter().for_each(|group| group.push(*node));
            }
        }
        schedule.ring.extend(all[place..].iter().chain(&all[..place]).map(|a| a.1));
        schedule.own_region_left.retain(|node| schedule.own_region.contains(node));
    }
}
