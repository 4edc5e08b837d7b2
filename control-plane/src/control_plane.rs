//! The control plane of one machine: its components, and the dispatch of messages to them.

use crate::clock::Clock;
use crate::command::{Command, Reply};
use crate::consensus_driver::{self, ConsensusDriver};
use crate::counter_service::CounterService;
use crate::directory::Directory;
use crate::nodes;
use crate::operations::{Operations, StartParameters};
use crate::refusals::Refusals;
use crate::server_list::ServerListPoller;
use eyre::{eyre, WrapErr};
use lupinledge_config::change_queue::{CallerId, ChangeQueue};
use lupinledge_config::settings::CloudApi;
use lupinledge_config::{Document, Fingerprints, HomeRegions, Settings, Tables};
use lupinledge_consensus::{Ballot, Node};
use lupinledge_gossip::{metrics, seeds_of, Gossip, Host, Source, Update};
use lupinledge_membership::{Card, Member, Standing};
use lupinledge_messaging::list::ServerList;
use lupinledge_messaging::{decode, WireMessage};
use lupinledge_storage::{DataDir, FolderLock, OpenedStore, Store, Stored};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// How long clients may cache a directory answer, seconds.
const DIRECTORY_TTL_S: f64 = 2.0;
/// How long a stopping process may still hold the lock of the data folder: its `grace_s` and a margin.
const LOCK_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of [`ControlPlane::maintain`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// The leader's clock is requested once in this many maintenance rounds.
const CLOCK_SYNC_ROUNDS: u64 = 10;

/// The components of the control plane on one machine.
pub struct ControlPlane {
    pub settings: RefCell<Rc<Settings>>,
    pub clock: Rc<Clock>,
    pub consensus: Rc<ConsensusDriver>,
    pub servers: Rc<ServerListPoller>,
    /// Set once this process is shutting down and takes no more commands.
    pub leaving: Cell<bool>,
    /// The newest configuration version that this process has acknowledged.
    pub acknowledged_version: Cell<u64>,
    pub refusals: Refusals,
    /// Index and fingerprints of the newest document here.
    fingerprints: Cell<(u64, Fingerprints)>,
    /// Changes that wait or run, and the callers that wait for them.
    pub change_queue: RefCell<ChangeQueue<Command>>,
    /// Reply channels of the waiting callers.
    pub waiting_callers: RefCell<BTreeMap<CallerId, oneshot::Sender<Reply>>>,
    gossip: Rc<Gossip>,
    directory: Directory,
    /// The home regions of hosts, and the ballot of the document that they are from.
    host_homes: RefCell<(Option<Ballot>, HomeRegions)>,
    counters: Rc<CounterService>,
    operations: Rc<Operations>,
    _lock: FolderLock,
}

/// The platform settings, which the control plane requires.
fn cloud_api_settings(settings: &Settings) -> eyre::Result<CloudApi> {
    settings.cloud_api.clone().ok_or_else(|| eyre!("`cloud_api`: missing"))
}

impl ControlPlane {
    /// Loads the stored state and starts all components.
    pub async fn start(settings: Settings) -> eyre::Result<Rc<ControlPlane>> {
        let clock = Rc::new(Clock::start(settings.node_id()));
        let folder = settings
            .data_dir
            .clone()
            .ok_or_else(|| eyre!("`data_dir`: missing, required on core machines"))?;
        let platform = cloud_api_settings(&settings)?;
        let owner = format!("{} (process {})", settings.ip, std::process::id());
        let lock = FolderLock::acquire(folder.clone(), owner, LOCK_TIMEOUT).await.wrap_err("`data_dir`")?;
        let OpenedStore { store, content, results } = Store::open(DataDir(folder.clone()))?;
        let stored = content.await.wrap_err("`data_dir`")?;
        let empty = !matches!(stored, Stored::State(_));

        let seeds = seeds_of(&settings);
        let seed = clock.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(clock.node);
        let tolerate = settings.tolerate.machines as usize;
        let consensus_settings = lupinledge_consensus::Settings {
            me: clock.node,
            seeds,
            bootstrap: settings.bootstrap,
            seed,
            tolerate,
        };
        let consensus = ConsensusDriver::start(clock.clone(), consensus_settings, stored, store)
            .wrap_err("`data_dir`")?;
        let empty = empty || consensus.is_learning();
        let parameters = StartParameters {
            folder,
            limits: settings.limits.clone(),
            seed,
            must_learn: consensus.is_learning(),
        };
        let operations = Operations::start(clock.clone(), parameters).await.wrap_err("`data_dir`")?;
        let card = Card {
            core: true,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            client_address: None,
            control_address: settings.listen.control,
            ready: false,
            leaving: false,
            drift: None,
            load: 0,
        };
        let gossip = Gossip::open(&settings, card, false).wrap_err("`port_range`")?;
        let zones: Vec<String> = settings.zones.keys().cloned().collect();
        let platform = (platform.address, platform.rate_per_s);
        let servers = ServerListPoller::start(consensus.clone(), platform, zones);
        let counters = CounterService::new(clock.clone(), consensus.clone(), settings.zones.clone());

        let port = settings.peer_port();
        let control_plane = Rc::new(ControlPlane {
            settings: RefCell::new(Rc::new(settings)),
            clock,
            consensus: consensus.clone(),
            servers,
            leaving: Cell::new(false),
            acknowledged_version: Cell::new(0),
            refusals: Refusals::default(),
            fingerprints: Cell::default(),
            change_queue: RefCell::default(),
            waiting_callers: RefCell::default(),
            gossip: gossip.clone(),
            directory: Directory::default(),
            host_homes: RefCell::default(),
            counters,
            operations: operations.clone(),
            _lock: lock,
        });
        let host: Rc<dyn Host> = control_plane.clone();
        gossip.set_host(Rc::downgrade(&host));
        control_plane.counters.run(gossip.clone());
        tokio::task::spawn_local(gossip.clone().run());
        operations.run(gossip.post().clone());
        let voter = operations.clone();
        let consensus_host = consensus_driver::Host {
            on_commit: Box::new(move |index, value| operations.committed(index, value)),
            defers_removals: Box::new(move || voter.is_catching_up()),
        };
        consensus.run(gossip.post().clone(), results, consensus_host);
        tokio::task::spawn_local(control_plane.clone().publish_updates());
        tokio::task::spawn_local(control_plane.clone().maintain());
        tracing::info!(event = "started", node = %control_plane.settings.borrow().ip, port, empty);
        Ok(control_plane)
    }

    /// Publishes committed documents, leader changes and newer server lists over gossip.
    async fn publish_updates(self: Rc<ControlPlane>) {
        loop {
            tokio::select! {
                _ = self.consensus.updated.notified() => {}
                _ = self.servers.updated.notified() => {}
            }
            let list = self.servers.list();
            let newer = self.gossip.with_store(|store| list.number > store.digest().list);
            let committed_document =
                self.consensus.committed_document().filter(|committed| committed.ballot > Ballot::default());
            let update = Update {
                epoch: self.consensus.last_known_leader().map(|(leader, epoch)| (epoch, leader)),
                state: committed_document.map(|committed| {
                    ((committed.ballot.epoch, committed.ballot.index), committed.edge_bytes.clone())
                }),
                list: newer.then(|| (list.number, Rc::from(list.encode()))),
            };
            // documents of a former leader were published by that leader; digests reveal gaps
            let leads = self.consensus.leading_epoch().is_some();
            self.gossip.publish(update, if leads { Source::Origin } else { Source::Settled });
            self.publish_fingerprint();
            let ready = self.gossip.with_store(|store| store.newest().state.is_some());
            self.gossip.set_card(|card| card.ready = ready);
        }
    }

    /// Publishes the fingerprint of the newest document here, if its index has changed.
    fn publish_fingerprint(&self) {
        let held = self.gossip.with_store(|store| store.newest().state.clone());
        let Some(((_, index), bytes)) = held.filter(|h| self.fingerprints.get().0 != h.0 .1) else { return };
        let zones = self.settings.borrow().zones.clone();
        let tables = decode::<Document>(&bytes).ok().and_then(|d| Tables::new(&d, &zones).ok());
        if let Some(tables) = tables {
            self.fingerprints.set((index, tables.fingerprints()));
            self.gossip.set_fingerprint(index, tables.fingerprints().combined());
        }
    }

    /// All known processes, and how their rules compare with the newest document here, as JSON.
    pub fn nodes(&self) -> serde_json::Value {
        let (index, fingerprints) = self.fingerprints.get();
        let own = self.gossip.with_store(|store| store.digest());
        let now = self.gossip.now();
        let nodes = self.gossip.with_membership(|membership| {
            membership
                .members()
                .map(|member| nodes::node_row(now, member, own, fingerprints))
                .collect::<Vec<_>>()
        });
        let leader = self
            .consensus
            .leading_epoch()
            .map(|_| self.clock.node)
            .or_else(|| self.consensus.redirect_target());
        let leader = leader.map(|node| std::net::Ipv4Addr::from(node).to_string());
        let parts = nodes::named_parts(&fingerprints.parts());
        serde_json::json!({"index": index, "parts": parts, "holder": leader, "nodes": nodes})
    }

    /// The metrics of this process as text.
    pub fn metrics(&self) -> String {
        let (committed_document, list) = (self.consensus.committed_document(), self.servers.list());
        let (ballot, version, serial) = committed_document.map_or_else(Default::default, |committed| {
            (committed.ballot, committed.document.version, committed.document.serial)
        });
        metrics::render(|line| {
            line("configuration.version", version);
            line("configuration.acknowledged", self.acknowledged_version.get());
            line("orders.refused", self.refusals.count());
            line("document.serial", serial);
            line("document.epoch", ballot.epoch);
            line("document.index", ballot.index);
            line("core.leads", u64::from(self.consensus.leading_epoch().is_some()));
            line("core.member", u64::from(self.consensus.is_member()));
            line("core.settled", u64::from(self.consensus.is_settled()));
            line("core.members", self.consensus.members().len() as u64);
            line("changes.callers", self.waiting_callers.borrow().len() as u64);
            line("servers.list_epoch", list.number.0);
            line("servers.list_number", list.number.1);
            line("servers.listed", list.rows.len() as u64);
            line("servers.unreadable", self.servers.unreadable_rows.get());
            let (read_time, pages) = self.servers.last_read.get();
            line("servers.read_ms", read_time.as_millis() as u64);
            line("servers.read_pages", pages as u64);
            self.operations.write_metrics(line);
            self.gossip.write_metrics(line);
        })
    }

    /// The leader according to gossip, provided that it is alive, its epoch is not older than the newest known here,
    /// and this process receives no consensus messages from it or a majority.
    pub fn gossiped_leader(&self) -> Option<Node> {
        let (epoch, node) = self.gossip.with_store(|store| store.epoch());
        let known = self.consensus.last_known_leader().map_or(0, |(_, epoch)| epoch);
        let alive = |member: &Member| member.card.core && member.standing == Standing::Alive;
        let reachable = node != self.clock.node
            && self.gossip.with_membership(|membership| membership.member(node).is_some_and(alive));
        (reachable && epoch >= known && self.consensus.is_isolated_from(node)).then_some(node)
    }

    /// Whether a node is the current leader.
    fn is_leader(&self, node: Node) -> bool {
        self.consensus.leader().is_some_and(|(leader, _)| leader == node)
    }

    /// Periodically synchronizes the clock and updates the gossip seeds and consensus hints.
    async fn maintain(self: Rc<ControlPlane>) {
        let (mut synced_leader, mut rounds) = (None, 0_u64);
        loop {
            if self.consensus.leading_epoch().is_some() {
                self.clock.mark_authoritative();
            }
            let leader = self.consensus.leader().filter(|(node, _)| *node != self.clock.node);
            if leader.is_some() && (synced_leader != leader || rounds % CLOCK_SYNC_ROUNDS == 0) {
                synced_leader = leader;
                leader.into_iter().for_each(|(node, _)| {
                    self.gossip
                        .post()
                        .send_datagram(node, &WireMessage::ClockRequest { sent: self.clock.start_request() })
                });
            }
            let mut core_nodes = seeds_of(&self.settings.borrow());
            // if both sides of a partition restart with seeds of their own side only, just the consensus members link
            // them
            self.gossip.set_seeds(core_nodes.iter().copied().chain(self.consensus.members()).collect());
            if !self.consensus.is_member() || self.consensus.leader().is_none() {
                self.gossip.with_membership(|membership| {
                    core_nodes.extend(membership.members().filter(|m| m.card.core).map(|m| m.node))
                });
                self.consensus.set_hints(&core_nodes);
            }
            rounds += 1;
            sleep(MAINTENANCE_INTERVAL).await;
        }
    }

    /// Applies changed settings. The listening addresses are kept, as they do not change while a process runs.
    pub fn apply_settings(&self, settings: Settings) -> eyre::Result<()> {
        let platform = cloud_api_settings(&settings)?;
        self.servers.set_platform(platform.address, platform.rate_per_s);
        self.gossip.apply_settings(&settings);
        self.consensus.set_hints(&seeds_of(&settings));
        let listen = self.settings.borrow().listen.clone();
        *self.settings.borrow_mut() = Rc::new(Settings { listen, ..settings });
        Ok(())
    }

    /// Gateway addresses for clients of a region that resolve a host.
    pub fn gateway_addresses(&self, region: &str, host: &str) -> Vec<SocketAddr> {
        if let Some(committed_document) = self
            .consensus
            .committed_document()
            .filter(|committed| self.host_homes.borrow().0 != Some(committed.ballot))
        {
            *self.host_homes.borrow_mut() =
                (Some(committed_document.ballot), HomeRegions::new(&committed_document.document));
        }
        let host_homes = self.host_homes.borrow();
        self.gossip.with_membership(|membership| {
            self.directory.gateway_addresses(membership.members(), region, host_homes.1.for_host(host))
        })
    }

    /// How long a directory answer is valid, seconds.
    pub fn directory_ttl_s(&self) -> f64 {
        DIRECTORY_TTL_S.min(self.settings.borrow().bounds.ttl_max_s)
    }

    /// Stops accepting commands, and announces over gossip that this process is leaving.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.gossip.set_card(|card| card.leaving = true);
    }

    /// Stops all sending.
    pub fn shut_down(&self) {
        self.consensus.shut_down();
        let counts = self.gossip.post().counts();
        let (sent, cast, dropped) = (counts.sent.get(), counts.datagrams.get(), counts.dropped.get());
        let (update_bytes, unreadable) =
            (self.gossip.update_bytes_sent(), self.servers.unreadable_rows.get());
        tracing::info!(event = "ended", sent, cast, dropped, news = update_bytes, unreadable);
        self.gossip.post().close();
    }
}

impl Host for ControlPlane {
    /// Takes over server lists only; documents and epochs arrive through consensus.
    fn on_update(&self, update: Update) {
        let Some((number, data)) = update.list.filter(|l| l.0 > self.servers.list().number) else { return };
        match ServerList::decode(&data).filter(|list| list.number == number) {
            Some(list) => self.servers.receive(list),
            None => tracing::warn!(event = "list_spoilt"),
        }
    }

    fn on_message(&self, from: Node, message: WireMessage) {
        match message {
            WireMessage::Consensus(msg) => self.consensus.handle_message(from, msg),
            WireMessage::CounterSums { tag, incarnation, calls } => {
                self.counters.apply_sums(self.gossip.post(), (from, incarnation), tag, &calls)
            }
            WireMessage::CounterReport { incarnation, reports, epoch, part } => {
                self.counters.receive_handover((from, incarnation), epoch, &reports, part)
            }
            WireMessage::Operation(message) => self.operations.handle_message(from, message),
            WireMessage::ClockRequest { sent } if self.consensus.leading_epoch().is_some() => {
                self.gossip.post().send_datagram(
                    from,
                    &WireMessage::ClockReply { sent, replied_at: self.clock.cluster_time() },
                );
            }
            WireMessage::ClockReply { sent, replied_at } if self.is_leader(from) => {
                self.clock.adopt(sent, replied_at)
            }
            _ => {}
        }
    }

    fn on_contact(&self, from: Node) {
        self.counters.record_contact(from);
    }
}
