//! One process's view of all other processes.

use crate::edge_count::EdgeCounts;
use crate::rumour_queue::RumourQueue;
use crate::schedule::Schedule;
use crate::table::Table;
use crate::{Card, Digest, Member, Node, Standing};
use std::collections::VecDeque;

/// The configuration of a [`Membership`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The id of this process.
    pub me: Node,
    /// Its incarnation, greater at each start. The time of day is good enough: if the clock went back, the
    /// others send the newer incarnation and this process picks one above it.
    pub incarnation: u64,
    /// What this process announces about itself.
    pub card: Card,
    /// The processes asked for members at first, and again while they are not in the table.
    pub seeds: Vec<Node>,
    /// Seconds between two probes.
    pub probe_period: f64,
    /// Seconds to wait for an answer before indirect pings are sent.
    pub ack_timeout: f64,
    /// Seconds that a suspected process has to refute the suspicion.
    pub suspicion_timeout: f64,
    /// Seconds after which a member that is gone is removed, unless more than half are gone.
    pub forget_after: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Upper limit of a packet's estimated bytes.
    pub max_packet_bytes: usize,
}

impl Settings {
    /// Returns the settings with the default intervals.
    pub fn new(me: Node, incarnation: u64, card: Card, seeds: Vec<Node>, seed: u64) -> Settings {
        let (probe_period, ack_timeout, suspicion_timeout, forget_after, max_packet_bytes) =
            (0.4, 0.25, 1.2, 60.0, 1100);
        Settings {
            me,
            incarnation,
            card,
            seeds,
            probe_period,
            ack_timeout,
            suspicion_timeout,
            forget_after,
            seed,
            max_packet_bytes,
        }
    }

    fn normalise_seeds(&mut self) {
        self.seeds.retain(|s| *s != self.me && *s != 0);
        self.seeds.sort_unstable();
        self.seeds.dedup();
    }
}

/// One process's view of all other processes.
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) table: Table,
    pub(crate) rumours: RumourQueue,
    pub(crate) rng: fastrand::Rng,
    /// The time of the last call.
    pub(crate) last_call: f64,
    pub(crate) refutations: u32,
    pub(crate) card_version: u32,
    pub(crate) digest: Digest,
    pub(crate) schedule: Schedule,
    /// Members whose digest is newer than the own one, oldest first.
    pub(crate) peers_ahead: VecDeque<(Node, Digest)>,
    pub(crate) edge_counts: EdgeCounts,
    /// The table changed since the derived data were computed.
    pub(crate) table_changed: bool,
}

/// Maximum length of `peers_ahead`.
const MAX_PEERS_AHEAD: usize = 8;

impl Membership {
    /// Creates a view without members.
    pub fn new(now: f64, settings: Settings) -> Membership {
        let mut rng = fastrand::Rng::with_seed(settings.seed ^ (u64::from(settings.me) << 24));
        let mut settings = settings;
        settings.normalise_seeds();
        settings.probe_period = settings.probe_period.max(0.01);
        let schedule = Schedule::new(now, rng.f64() * settings.probe_period, rng.u32(..));
        let mut membership = Membership {
            settings,
            table: Table::default(),
            rumours: RumourQueue::default(),
            rng,
            last_call: now,
            refutations: 0,
            card_version: 1,
            digest: Digest::default(),
            schedule,
            peers_ahead: VecDeque::new(),
            edge_counts: EdgeCounts::default(),
            table_changed: true,
        };
        membership.refresh_derived(now);
        membership
    }

    /// Replaces the own card. The change is spread to all, but a change of only the load is sent just with
    /// direct packets.
    pub fn set_card(&mut self, card: Card) {
        self.settings.card.load = card.load;
        if self.settings.card != card {
            self.schedule.notify_core |=
                (card.ready, card.leaving) != (self.settings.card.ready, self.settings.card.leaving);
            self.settings.card = card;
            self.card_version += 1;
            self.rumours.push(self.last_call, self.settings.me, self.repeats(), true);
            self.table_changed = true;
        }
    }

    /// Replaces the seeds, which are asked for members while they are not in the table.
    pub fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.settings.seeds = seeds;
        self.settings.normalise_seeds();
    }

    /// Replaces the own digest.
    pub fn set_digest(&mut self, digest: Digest) {
        if digest.newer(&self.digest) {
            self.schedule.early_probe = true;
        }
        self.digest = digest;
    }

    /// Returns the own card.
    pub fn card(&self) -> &Card {
        &self.settings.card
    }

    /// Returns the own digest.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the own incarnation, as corrected by the others.
    pub fn incarnation(&self) -> u64 {
        self.settings.incarnation
    }

    /// Iterates over all other known processes, ordered by id.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.entries.values().map(|e| &e.member)
    }

    /// Returns the member with this id.
    pub fn member(&self, node: Node) -> Option<&Member> {
        self.table.entries.get(&node).map(|e| &e.member)
    }

    /// Returns the largest number of edge nodes that were not gone at the same time during the last `span`
    /// seconds. This process counts if it is an edge node.
    pub fn max_edge_count(&self, now: f64, span: f64) -> usize {
        self.edge_counts.max_over(now, span)
    }

    /// Removes and returns a member whose digest is newer than the own one. Each received digest is returned
    /// at most once.
    pub fn take_ahead(&mut self) -> Option<(Node, Digest)> {
        while let Some((node, digest)) = self.peers_ahead.pop_front() {
            if digest.newer(&self.digest) {
                return Some((node, digest));
            }
        }
        None
    }

    /// Records a member if its digest is newer than the own one.
    pub(crate) fn note_ahead(&mut self, node: Node, digest: Digest) {
        if digest.newer(&self.digest) {
            self.peers_ahead.retain(|a| a.0 != node);
            if self.peers_ahead.len() == MAX_PEERS_AHEAD {
                self.peers_ahead.pop_front();
            }
            self.peers_ahead.push_back((node, digest));
        }
    }

    /// Returns at most `count` random members that are alive and match.
    pub fn sample_alive(&mut self, count: usize, matches: impl Fn(&Member) -> bool) -> Vec<Node> {
        let alive = self.table.with_standing(Standing::Alive).filter(|e| matches(&e.member));
        let mut nodes: Vec<Node> = alive.map(|e| e.member.node).collect();
        let count = count.min(nodes.len());
        for i in 0..count {
            let other = self.rng.usize(i..nodes.len());
            nodes.swap(i, other);
        }
        nodes.truncate(count);
        nodes
    }

    /// The number of times a rumour is sent: enough to reach all with some packets lost.
    pub(crate) fn repeats(&self) -> u8 {
        let known = self.table.entries.len() + 2;
        2 * (usize::BITS - known.leading_zeros()) as u8 + 1
    }

    /// Recomputes the data derived from the table if the table changed.
    pub(crate) fn refresh_derived(&mut self, now: f64) {
        if std::mem::take(&mut self.table_changed) {
            let as_count = |c: &Card| usize::from(!c.core);
            let present = self.table.entries.values().filter(|e| e.member.standing != Standing::Gone);
            let count =
                as_count(&self.settings.card) + present.map(|e| as_count(&e.member.card)).sum::<usize>();
            self.edge_counts.record(now, count);
            self.schedule.mark_targets_stale();
        }
    }
}
