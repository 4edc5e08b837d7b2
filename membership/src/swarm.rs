//! One process's view of all others.

use crate::edges::Edges;
use crate::table::Table;
use crate::talk::Talk;
use crate::ways::Ways;
use crate::{Card, Digest, Member, Node, Standing};
use std::collections::VecDeque;

/// What a swarm is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process.
    pub me: Node,
    /// Its incarnation: greater at each start (the time of day will do; it is corrected by the others if it went
    /// back).
    pub incarnation: u64,
    /// What it tells about itself.
    pub card: Card,
    /// Whom to ask at first, and again while they are not known to be there.
    pub seeds: Vec<Node>,
    /// Seconds between two probes.
    pub period: f64,
    /// An answer is awaited for so long before others are asked.
    pub ack: f64,
    /// A suspected process has so long to say otherwise.
    pub suspicion: f64,
    /// One gone for so long is forgotten (unless most are gone).
    pub forget: f64,
    /// For all that is random.
    pub seed: u64,
    /// Estimated bytes of the largest packet.
    pub packet_most: usize,
}

impl Settings {
    /// The usual figures.
    pub fn new(me: Node, incarnation: u64, card: Card, seeds: Vec<Node>, seed: u64) -> Settings {
        let (period, ack, suspicion, forget, packet_most) = (0.4, 0.25, 1.2, 60.0, 1100);
        Settings { me, incarnation, card, seeds, period, ack, suspicion, forget, seed, packet_most }
    }

    fn tidy(&mut self) {
        self.seeds.retain(|s| *s != self.me && *s != 0);
        self.seeds.sort_unstable();
        self.seeds.dedup();
    }
}

/// One process's view of all others.
pub struct Membership {
    pub(crate) set: Settings,
    pub(crate) table: Table,
    pub(crate) talk: Talk,
    pub(crate) chance: fastrand::Rng,
    /// Last call with a time.
    pub(crate) last: f64,
    pub(crate) turn: u32,
    pub(crate) issue: u32,
    pub(crate) digest: Digest,
    pub(crate) ways: Ways,
    /// Who was heard to hold something newer.
    pub(crate) ahead: VecDeque<(Node, Digest)>,
    pub(crate) edges: Edges,
    /// The table changed since edges were counted.
    pub(crate) dirty: bool,
}

/// So many that are ahead are kept.
const AHEAD: usize = 8;

impl Membership {
    /// A view that knows nobody yet.
    pub fn new(now: f64, settings: Settings) -> Membership {
        let mut chance = fastrand::Rng::with_seed(settings.seed ^ (u64::from(settings.me) << 24));
        let mut set = settings;
        set.tidy();
        set.period = set.period.max(0.01);
        let ways = Ways::new(now, chance.f64() * set.period, chance.u32(..));
        let mut swarm = Membership {
            set,
            table: Table::default(),
            talk: Talk::default(),
            chance,
            last: now,
            turn: 0,
            issue: 1,
            digest: Digest::default(),
            ways,
            ahead: VecDeque::new(),
            edges: Edges::default(),
            dirty: true,
        };
        swarm.settle(now);
        swarm
    }

    /// What this process tells about itself from now on. All hear of it, but of the load only with direct
    /// words.
    pub fn set_card(&mut self, card: Card) {
        self.set.card.load = card.load;
        if self.set.card != card {
            self.ways.herald |= (card.ready, card.leaving) != (self.set.card.ready, self.set.card.leaving);
            self.set.card = card;
            self.issue += 1;
            self.talk.put(self.last, self.set.me, self.repeats(), true);
            self.dirty = true;
        }
    }

    /// Whom to ask from now on while they are not known to be there.
    pub fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.set.seeds = seeds;
        self.set.tidy();
    }

    /// What this process holds from now on.
    pub fn set_digest(&mut self, digest: Digest) {
        if digest.newer(&self.digest) {
            self.ways.hasten = true;
        }
        self.digest = digest;
    }

    /// The own card.
    pub fn card(&self) -> &Card {
        &self.set.card
    }

    /// The own digest.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The own incarnation, as corrected by the others.
    pub fn incarnation(&self) -> u64 {
        self.set.incarnation
    }

    /// All others that are known, in order of their numbers.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.map.values().map(|e| &e.member)
    }

    /// A certain other.
    pub fn member(&self, node: Node) -> Option<&Member> {
        self.table.map.get(&node).map(|e| &e.member)
    }

    /// The largest number of edge nodes (with this one, if it is one) that were not gone at once over the
    /// last `span` seconds.
    pub fn max_edge_count(&self, now: f64, span: f64) -> usize {
        self.edges.most(now, span)
    }

    /// A process that was heard to hold something newer than this one; told once a hearing.
    pub fn take_ahead(&mut self) -> Option<(Node, Digest)> {
        while let Some((node, digest)) = self.ahead.pop_front() {
            if digest.newer(&self.digest) {
                return Some((node, digest));
            }
        }
        None
    }

    /// Remembers one that holds something newer, if it does.
    pub(crate) fn note_ahead(&mut self, node: Node, digest: Digest) {
        if digest.newer(&self.digest) {
            self.ahead.retain(|a| a.0 != node);
            if self.ahead.len() == AHEAD {
                self.ahead.pop_front();
            }
            self.ahead.push_back((node, digest));
        }
    }

    /// At most `n` others that are alive, by chance, of those that pass.
    pub fn sample_alive(&mut self, n: usize, pass: impl Fn(&Member) -> bool) -> Vec<Node> {
        let alive = self.table.with(Standing::Alive).filter(|e| pass(&e.member));
        let mut nodes: Vec<Node> = alive.map(|e| e.member.node).collect();
        let n = n.min(nodes.len());
        for i in 0..n {
            let other = self.chance.usize(i..nodes.len());
            nodes.swap(i, other);
        }
        nodes.truncate(n);
        nodes
    }

    /// How often a word is repeated: enough to reach all, with some lost.
    pub(crate) fn repeats(&self) -> u8 {
        let known = self.table.map.len() + 2;
        2 * (usize::BITS - known.leading_zeros()) as u8 + 1
    }

    /// Counts anew what depends on the table.
    pub(crate) fn settle(&mut self, now: f64) {
        if std::mem::take(&mut self.dirty) {
            let edge = |c: &Card| usize::from(!c.core);
            let there = self.table.map.values().filter(|e| e.member.standing != Standing::Gone);
            let count = edge(&self.set.card) + there.map(|e| edge(&e.member.card)).sum::<usize>();
            self.edges.note(now, count);
            self.ways.stale();
        }
    }
}
