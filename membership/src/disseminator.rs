//! Exchange of updates between processes, decided without sockets or a clock. A process finds the others by
//! probes, sends updates on to a few of them, and fetches what it missed when a digest shows that another
//! process is ahead. Its host passes in the time and the received messages, and sends the messages that are
//! returned.

use crate::update_store::{Applied, Patches};
use crate::{Card, Digest, Member, Membership, Node, Packet, Settings, Update, UpdateStore, Version};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of processes in each other region to which an update is sent.
pub const FANOUT_OTHER_REGIONS: usize = 2;
/// Number of processes in the own region to which an update is sent.
pub const FANOUT_OWN_REGION: usize = 4;

/// Seconds until the same peer is asked again for updates.
pub const REQUEST_INTERVAL: f64 = 0.3;
/// Maximum number of peers asked within that time: while an update spreads, all of them are ahead at once.
pub const MAX_RECENT_REQUESTS: usize = 2;

/// A message between processes.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipMessage {
    /// A datagram, which may get lost.
    Probe(Packet),
    /// Asks for what is newer than this digest.
    Fetch(Digest),
    /// Updates, sent unasked or as the reply to [`GossipMessage::Fetch`].
    Update {
        /// The digest of what the sender holds.
        digest: Digest,
        /// A committed document with its version.
        state: Option<(Version, Rc<[u8]>)>,
        /// A list of servers with its version.
        list: Option<(Version, Rc<[u8]>)>,
    },
    /// The same as patches to what the receiver is assumed to hold.
    Patches {
        /// The digest of what the sender holds.
        digest: Digest,
        /// The patches.
        patches: Patches,
    },
}

/// Where an update comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another process. An edge node sends the update on to others of its region; a core member does not,
    /// since that is done by the leader.
    Peer(Node),
    /// This process, which made it: it is sent to all regions.
    Origin,
    /// This process, which received it in a way that needs no sending on (a core member by agreement).
    Settled,
}

/// Messages with their receivers.
pub type Outgoing = Vec<(Node, GossipMessage)>;

/// The updates that this process did not hold before, if any, and the messages to send.
pub type Effects = (Option<Update>, Outgoing);

/// One process's part in the exchange of updates.
pub struct Disseminator {
    membership: Membership,
    store: UpdateStore,
    /// The peers that were asked for updates lately, and when.
    recent_requests: BTreeMap<Node, f64>,
    /// The number of patches of documents, and of lists, that could not be applied since the last update of
    /// that kind.
    failed: (u32, u32),
    sent_bytes: u64,
}

impl Disseminator {
    /// Creates a process without members and updates. With `takes_state`, documents are accepted from others.
    pub fn new(now: f64, settings: Settings, takes_state: bool) -> Disseminator {
        let (membership, store) = (Membership::new(now, settings), UpdateStore::new(takes_state));
        Disseminator { membership, store, recent_requests: BTreeMap::new(), failed: (0, 0), sent_bytes: 0 }
    }

    /// Returns the view of the other processes.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the updates held.
    pub fn store(&self) -> &UpdateStore {
        &self.store
    }

    /// Returns the bytes of documents and lists sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }

    /// The time at which [`Disseminator::tick`] has to be called at the latest.
    pub fn next_wake(&self) -> f64 {
        self.membership.next_wake()
    }

    /// Changes what this process announces about itself; returns whether that differs.
    pub fn set_card(&mut self, change: impl FnOnce(&mut Card)) -> bool {
        let mut card = self.membership.card().clone();
        change(&mut card);
        let differs = card != *self.membership.card();
        if differs {
            self.membership.set_card(card);
        }
        differs
    }

    /// Replaces the seeds, which are asked for members while they are not in the table.
    pub fn set_seeds(&mut self, seeds: Vec<Node>) {
        self.membership.set_seeds(seeds);
    }

    /// Sets the fingerprint of the rules in force for the document of this index; see
    /// [`Digest::fingerprint`].
    pub fn set_fingerprint(&mut self, index: u64, fingerprint: u32) {
        self.store.set_fingerprint(index, fingerprint);
        self.membership.set_digest(self.store.digest());
    }

    /// Removes the document and asks for it again: the leader, other core members and some edge nodes of
    /// the own region.
    pub fn refetch_state(&mut self) -> Outgoing {
        self.store.forget_state();
        self.membership.set_digest(self.store.digest());
        let (digest, holder) = (self.store.digest(), self.store.epoch().1);
        let region = self.membership.card().region.clone();
        let mut targets = self
            .membership
            .sample_alive(FANOUT_OTHER_REGIONS, |m| m.card.core && m.card.ready && m.node != holder);
        targets.extend(
            self.membership.sample_alive(FANOUT_OTHER_REGIONS, |m| {
                !m.card.core && m.card.ready && m.card.region == region
            }),
        );
        targets.extend(Some(holder).filter(|holder_id| self.membership.member(*holder_id).is_some()));
        targets.into_iter().map(|n| (n, GossipMessage::Fetch(digest))).collect()
    }

    /// Does the work that is due and returns the messages to send.
    pub fn tick(&mut self, now: f64) -> Outgoing {
        let mut out = probe_messages(self.membership.tick(now));
        out.extend(self.fetch_from_ahead(now));
        out
    }

    /// Handles a message from another process.
    pub fn receive(&mut self, now: f64, from: Node, message: GossipMessage) -> Effects {
        match message {
            GossipMessage::Probe(packet) if packet.from == from => {
                let mut out = probe_messages(self.membership.receive(now, packet));
                let digest = self.membership.member(from).map(|m| m.digest).unwrap_or_default();
                let fresh = self.store.take_digest(&digest);
                let (fresh, messages) = self.finish(Source::Peer(from), fresh);
                out.extend(messages);
                out.extend(self.fetch_from_ahead(now));
                (fresh, out)
            }
            GossipMessage::Probe(_) => (None, Vec::new()),
            GossipMessage::Fetch(digest) => {
                let update = self.store.newer_than(&digest);
                let has_updates = update != Update::default();
                let messages =
                    if has_updates { self.encode(&update, true, Some(&digest)) } else { Vec::new() };
                (None, messages.into_iter().map(|m| (from, m)).collect())
            }
            GossipMessage::Update { digest, state, list } => {
                let epoch = self.store.take_digest(&digest).epoch;
                let fresh = self.store.take(false, Update { epoch: None, state, list });
                self.finish(Source::Peer(from), Update { epoch, ..fresh })
            }
            GossipMessage::Patches { digest, patches } => {
                let epoch = self.store.take_digest(&digest).epoch;
                let Applied { updates, failed } = self.store.apply_patches(patches);
                let fresh = self.store.take(false, updates);
                let (fresh, mut out) = self.finish(Source::Peer(from), Update { epoch, ..fresh });
                self.failed.0 += u32::from(failed.0);
                self.failed.1 += u32::from(failed.1);
                if failed != (false, false) {
                    out.extend(self.fetch(now, from));
                }
                (fresh, out)
            }
        }
    }

    /// Handles an update that this process made itself or received in another way.
    pub fn publish(&mut self, update: Update, from: Source) -> Effects {
        let fresh = self.store.take(true, update);
        self.finish(from, fresh)
    }

    /// Completes the handling of an update: sets the own digest and sends the update on.
    fn finish(&mut self, from: Source, fresh: Update) -> Effects {
        self.failed.0 = if fresh.state.is_some() { 0 } else { self.failed.0 };
        self.failed.1 = if fresh.list.is_some() { 0 } else { self.failed.1 };
        self.membership.set_digest(self.store.digest());
        let out = self.pass_on(from, &fresh);
        ((fresh != Update::default()).then_some(fresh), out)
    }

    /// Selects the receivers of an update. Its origin sends it to a few processes in each region and to the
    /// core; edge nodes send it to a few in their region. Processes that are missed fetch it when they
    /// compare digests.
    fn pass_on(&mut self, from: Source, update: &Update) -> Outgoing {
        let own = self.membership.card().clone();
        let is_origin = from == Source::Origin;
        // An epoch without other updates is spread by the digests in probes.
        if update.state.is_none() && update.list.is_none()
            || !is_origin && (own.core || from == Source::Settled)
        {
            return Vec::new();
        }
        let is_edge = |m: &Member| !m.card.core && from != Source::Peer(m.node);
        let mut edge_nodes =
            self.membership.sample_alive(FANOUT_OWN_REGION, |m| is_edge(m) && m.card.region == own.region);
        let mut core_members = Vec::new();
        if is_origin {
            let mut regions: Vec<String> = self.membership.members().map(|m| m.card.region.clone()).collect();
            regions.sort_unstable();
            regions.dedup();
            for region_name in regions.iter().filter(|region_name| **region_name != own.region) {
                edge_nodes.extend(
                    self.membership
                        .sample_alive(FANOUT_OTHER_REGIONS, |m| is_edge(m) && m.card.region == *region_name),
                );
            }
            // Core members get documents by agreement.
            core_members = self
                .membership
                .sample_alive(if update.list.is_some() { usize::MAX } else { 0 }, |m| m.card.core);
        }
        let mut out = Vec::new();
        for (to, with_state) in
            edge_nodes.into_iter().map(|n| (n, true)).chain(core_members.into_iter().map(|n| (n, false)))
        {
            // A receiver that holds nothing needs the full content.
            let empty_digest = self
                .membership
                .member(to)
                .map(|m| m.digest)
                .filter(|digest| lacks_some_kind(digest, update, with_state));
            out.extend(
                self.encode(update, with_state, empty_digest.as_ref())
                    .into_iter()
                    .map(|message| (to, message)),
            );
        }
        out
    }

    /// Builds the messages for a receiver with that digest, or for receivers that hold the previous version.
    /// Without the document unless `with_state`. A list has messages of its own, so that it does not wait where
    /// documents wait.
    fn encode(&mut self, update: &Update, with_state: bool, receiver: Option<&Digest>) -> Vec<GossipMessage> {
        let state = update.state.clone().filter(|_| with_state);
        let update = Update { epoch: None, state, list: update.list.clone() };
        let (patches, full) = self.store.patches(update, receiver);
        let digest = self.store.digest();
        let patched_bytes = patches.state.iter().chain(&patches.list).map(|p| p.1.bytes.len() as u64);
        self.sent_bytes += patched_bytes.sum::<u64>();
        self.sent_bytes += full.state.iter().chain(&full.list).map(|p| p.1.len() as u64).sum::<u64>();
        let patches_of = |state, list| GossipMessage::Patches { digest, patches: Patches { state, list } };
        let full_of = |state, list| GossipMessage::Update { digest, state, list };
        let messages = [
            patches.list.map(|list| patches_of(None, Some(list))),
            full.list.map(|list| full_of(None, Some(list))),
            patches.state.map(|state| patches_of(Some(state), None)),
            full.state.map(|state| full_of(Some(state), None)),
        ];
        messages.into_iter().flatten().collect()
    }

    /// Asks a peer whose digest is newer than the own one.
    fn fetch_from_ahead(&mut self, now: f64) -> Option<(Node, GossipMessage)> {
        let (peer, digest) = self.membership.take_ahead()?;
        if !self.store.lacks(&digest) {
            return None;
        }
        self.fetch(now, peer)
    }

    /// Asks a peer for what is newer than held, unless enough peers were asked lately. Once two patches of a
    /// kind could not be applied, it asks for the full content.
    fn fetch(&mut self, now: f64, peer: Node) -> Option<(Node, GossipMessage)> {
        self.recent_requests.retain(|_, at| now - *at < REQUEST_INTERVAL);
        if self.recent_requests.len() >= MAX_RECENT_REQUESTS || self.recent_requests.contains_key(&peer) {
            return None;
        }
        self.recent_requests.insert(peer, now);
        let mut digest = self.store.digest();
        if self.failed.0 > 1 {
            digest.state = (0, 0);
        }
        if self.failed.1 > 1 {
            digest.list = (0, 0);
        }
        Some((peer, GossipMessage::Fetch(digest)))
    }
}

/// Returns whether a process with that digest holds no version of something that is to be sent.
fn lacks_some_kind(digest: &Digest, update: &Update, with_state: bool) -> bool {
    with_state && update.state.is_some() && digest.state == (0, 0)
        || update.list.is_some() && digest.list == (0, 0)
}

/// Wraps packets as messages.
fn probe_messages(out: Vec<(Node, Packet)>) -> Outgoing {
    out.into_iter().map(|(to, packet)| (to, GossipMessage::Probe(packet))).collect()
}
