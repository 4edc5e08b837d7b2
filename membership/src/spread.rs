//! What a process does with the others, decided without sockets or clock: it knows them by probes, passes news on to
//! a few, and mends gaps by comparing digests. Its host gives it the time and what was heard, and sends what comes
//! back.

use crate::held::{Opened, Patches};
use crate::{Card, Digest, Member, Membership, Node, Packet, Settings, Update, UpdateStore, Version};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Pieces of news go to so many in each other region, and to so many in the own one.
pub const ABROAD: usize = 2;
pub const NEAR: usize = 4;

/// The same peer is asked again for what it is ahead in after so many seconds.
pub const ASK_AGAIN: f64 = 0.3;
/// So many peers are asked in that time at most: all of them are ahead at once while changes are on their way.
pub const ASKED: usize = 2;

/// What processes say to each other.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipMessage {
    /// A datagram, which may get lost.
    Probe(Packet),
    /// Send me what is newer than this.
    Fetch(Digest),
    /// What is newer, or what was asked for.
    Update {
        /// What the sender holds.
        digest: Digest,
        /// A committed document with its stamp.
        state: Option<(Version, Rc<[u8]>)>,
        /// A list of servers with its number.
        list: Option<(Version, Rc<[u8]>)>,
    },
    /// The same as patches to what the receiver is taken to hold.
    Patches {
        /// What the sender holds.
        digest: Digest,
        /// What is newer.
        patches: Patches,
    },
}

/// Whom news come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another process. An edge node passes them on near itself; the core has its holder for that.
    Peer(Node),
    /// This process, as their origin: they go out to all regions.
    Origin,
    /// This process, which learnt them in a way that needs no passing on (a member of the core by agreement).
    Settled,
}

/// Words and whom they are for.
pub type Outgoing = Vec<(Node, GossipMessage)>;

/// What this process has not held before, and what is to be sent for it.
pub type Effects = (Option<Update>, Outgoing);

/// See the module.
pub struct Disseminator {
    swarm: Membership,
    held: UpdateStore,
    /// Who was asked for news, and when.
    asked: BTreeMap<Node, f64>,
    /// Patches that could not be used, of documents and of lists, since the last news of that kind.
    missed: (u32, u32),
    sent: u64,
}

impl Disseminator {
    /// Knows nobody and holds nothing yet. `takes_state`: documents come from others by news.
    pub fn new(now: f64, settings: Settings, takes_state: bool) -> Disseminator {
        let (swarm, held) = (Membership::new(now, settings), UpdateStore::new(takes_state));
        Disseminator { swarm, held, asked: BTreeMap::new(), missed: (0, 0), sent: 0 }
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.swarm
    }

    /// What is held.
    pub fn store(&self) -> &UpdateStore {
        &self.held
    }

    /// Bytes of documents and lists sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent
    }

    /// When [`Spread::tick`] is to be called at the latest.
    pub fn next_wake(&self) -> f64 {
        self.swarm.next_wake()
    }

    /// What this process tells about itself from now on; whether that differs.
    pub fn set_card(&mut self, change: impl FnOnce(&mut Card)) -> bool {
        let mut card = self.swarm.card().clone();
        change(&mut card);
        let differs = card != *self.swarm.card();
        if differs {
            self.swarm.set_card(card);
        }
        differs
    }

    /// Whom to ask from now on while they are not known to be there.
    pub fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.swarm.set_seeds(seeds);
    }

    /// What is done by the document of this index, in short; see [`Digest::print`].
    pub fn set_fingerprint(&mut self, index: u64, print: u32) {
        self.held.set_fingerprint(index, print);
        self.swarm.set_digest(self.held.digest());
    }

    /// Forgets the document, and asks for it afresh: the holder, others of the core, and some near by.
    pub fn refetch_state(&mut self) -> Outgoing {
        self.held.forget_state();
        self.swarm.set_digest(self.held.digest());
        let (want, holder) = (self.held.digest(), self.held.epoch().1);
        let region = self.swarm.card().region.clone();
        let mut whom = self.swarm.sample_alive(ABROAD, |m| m.card.core && m.card.ready && m.node != holder);
        whom.extend(
            self.swarm.sample_alive(ABROAD, |m| !m.card.core && m.card.ready && m.card.region == region),
        );
        whom.extend(Some(holder).filter(|h| self.swarm.member(*h).is_some()));
        whom.into_iter().map(|n| (n, GossipMessage::Fetch(want))).collect()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) -> Outgoing {
        let mut out = probes(self.swarm.tick(now));
        out.extend(self.ask(now));
        out
    }

    /// Another process said this.
    pub fn receive(&mut self, now: f64, from: Node, said: GossipMessage) -> Effects {
        match said {
            GossipMessage::Probe(packet) if packet.from == from => {
                let mut out = probes(self.swarm.receive(now, packet));
                let digest = self.swarm.member(from).map(|m| m.digest).unwrap_or_default();
                let fresh = self.held.take_digest(&digest);
                let (fresh, sends) = self.took(Source::Peer(from), fresh);
                out.extend(sends);
                out.extend(self.ask(now));
                (fresh, out)
            }
            GossipMessage::Probe(_) => (None, Vec::new()),
            GossipMessage::Fetch(digest) => {
                let news = self.held.newer_than(&digest);
                let some = news != Update::default();
                let said = if some { self.say(&news, true, Some(&digest)) } else { Vec::new() };
                (None, said.into_iter().map(|s| (from, s)).collect())
            }
            GossipMessage::Update { digest, state, list } => {
                let epoch = self.held.take_digest(&digest).epoch;
                let fresh = self.held.take(false, Update { epoch: None, state, list });
                self.took(Source::Peer(from), Update { epoch, ..fresh })
            }
            GossipMessage::Patches { digest, patches } => {
                let epoch = self.held.take_digest(&digest).epoch;
                let Opened { news, missed } = self.held.apply_patches(patches);
                let fresh = self.held.take(false, news);
                let (fresh, mut out) = self.took(Source::Peer(from), Update { epoch, ..fresh });
                self.missed.0 += u32::from(missed.0);
                self.missed.1 += u32::from(missed.1);
                if missed != (false, false) {
                    out.extend(self.want(now, from));
                }
                (fresh, out)
            }
        }
    }

    /// Something that this process has settled itself or heard in another way.
    pub fn publish(&mut self, news: Update, from: Source) -> Effects {
        let fresh = self.held.take(true, news);
        self.took(from, fresh)
    }

    fn took(&mut self, from: Source, fresh: Update) -> Effects {
        self.missed.0 = if fresh.state.is_some() { 0 } else { self.missed.0 };
        self.missed.1 = if fresh.list.is_some() { 0 } else { self.missed.1 };
        self.swarm.set_digest(self.held.digest());
        let out = self.pass_on(from, &fresh);
        ((fresh != Update::default()).then_some(fresh), out)
    }

    /// Its origin sends news to a few in each region and to the core, edge nodes to a few near them; digests mend
    /// the rest.
    fn pass_on(&mut self, from: Source, news: &Update) -> Outgoing {
        let own = self.swarm.card().clone();
        let wide = from == Source::Origin;
        // an epoch alone rides on the probes
        if news.state.is_none() && news.list.is_none() || !wide && (own.core || from == Source::Settled) {
            return Vec::new();
        }
        let edge = |m: &Member| !m.card.core && from != Source::Peer(m.node);
        let mut edges = self.swarm.sample_alive(NEAR, |m| edge(m) && m.card.region == own.region);
        let mut cores = Vec::new();
        if wide {
            let mut regions: Vec<String> = self.swarm.members().map(|m| m.card.region.clone()).collect();
            regions.sort_unstable();
            regions.dedup();
            for r in regions.iter().filter(|r| **r != own.region) {
                edges.extend(self.swarm.sample_alive(ABROAD, |m| edge(m) && m.card.region == *r));
            }
            // documents come to the core by agreement
            cores =
                self.swarm.sample_alive(if news.list.is_some() { usize::MAX } else { 0 }, |m| m.card.core);
        }
        let mut out = Vec::new();
        for (to, all) in edges.into_iter().map(|n| (n, true)).chain(cores.into_iter().map(|n| (n, false))) {
            // one that was heard to hold nothing needs all of it
            let bare = self.swarm.member(to).map(|m| m.digest).filter(|d| bare(d, news, all));
            out.extend(self.say(news, all, bare.as_ref()).into_iter().map(|said| (to, said)));
        }
        out
    }

    /// As words for one that holds what the digest tells, or what was held here before; without the document if not
    /// `all`.
    fn say(&mut self, news: &Update, all: bool, of: Option<&Digest>) -> Vec<GossipMessage> {
        let state = news.state.clone().filter(|_| all);
        let news = Update { epoch: None, state, list: news.list.clone() };
        let (patches, whole) = self.held.patches(news, of);
        let digest = self.held.digest();
        let patched = patches.state.iter().chain(&patches.list).map(|p| p.1.bytes.len() as u64);
        self.sent += patched.sum::<u64>();
        self.sent += whole.state.iter().chain(&whole.list).map(|p| p.1.len() as u64).sum::<u64>();
        let some = patches != Patches::default();
        let patched = some.then_some(GossipMessage::Patches { digest, patches });
        let Update { state, list, .. } = whole;
        let whole =
            (state.is_some() || list.is_some()).then_some(GossipMessage::Update { digest, state, list });
        patched.into_iter().chain(whole).collect()
    }

    /// Asks a peer that was heard to be ahead.
    fn ask(&mut self, now: f64) -> Option<(Node, GossipMessage)> {
        let (peer, digest) = self.swarm.take_ahead()?;
        if !self.held.lacks(&digest) {
            return None;
        }
        self.want(now, peer)
    }

    /// Asks for what is newer than held, unless enough were asked lately. After a second patch of a kind that could
    /// not be used, for the whole.
    fn want(&mut self, now: f64, peer: Node) -> Option<(Node, GossipMessage)> {
        self.asked.retain(|_, at| now - *at < ASK_AGAIN);
        if self.asked.len() >= ASKED || self.asked.contains_key(&peer) {
            return None;
        }
        self.asked.insert(peer, now);
        let mut want = self.held.digest();
        if self.missed.0 > 1 {
            want.state = (0, 0);
        }
        if self.missed.1 > 1 {
            want.list = (0, 0);
        }
        Some((peer, GossipMessage::Fetch(want)))
    }
}

/// Whether one with that digest has nothing of what is to be sent.
fn bare(of: &Digest, news: &Update, all: bool) -> bool {
    all && news.state.is_some() && of.state == (0, 0) || news.list.is_some() && of.list == (0, 0)
}

fn probes(out: Vec<(Node, Packet)>) -> Outgoing {
    out.into_iter().map(|(to, packet)| (to, GossipMessage::Probe(packet))).collect()
}
