//! The cluster state that this process has received: updates from the gossip are decoded here and applied to
//! the pools.

use crate::counter_client::CounterClient;
use crate::operations::Operations;
use crate::pools::Pools;
use lupinledge_config::{Config, Document, Settings, Tables};
use lupinledge_gossip::metrics::MetricSink;
use lupinledge_gossip::{seeds_of, Gossip, Host, Update};
use lupinledge_invariants::{check, Invariant};
use lupinledge_membership::{Member, Standing};
use lupinledge_messaging::clock::{ClockEstimate, SentRequests};
use lupinledge_messaging::list::ServerList;
use lupinledge_messaging::{decode, Node, WireMessage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Limits for all gateways together are divided by the largest number of gateways seen within this many
/// seconds.
const GATEWAY_COUNT_WINDOW: f64 = 45.0;
/// How often periodic tasks run.
const TASK_INTERVAL: Duration = Duration::from_millis(500);
/// How often the cluster's clock is requested until it is known.
const CLOCK_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Expected seconds from the start until this process is ready, as measured: `EXPECTED_JOIN` if there is a
/// holder; without one, a new holder can be expected after `EXPECTED_TAKEOVER`.
const EXPECTED_JOIN: f64 = 0.25;
const EXPECTED_TAKEOVER: f64 = 1.7;

/// The state received from other processes. There are no pools before the cluster's clock is known; until
/// then updates wait in the gossip.
pub struct NodeState {
    settings: RefCell<Rc<Settings>>,
    gossip: Rc<Gossip>,
    counter_client: Rc<CounterClient>,
    operations: Rc<Operations>,
    pools: RefCell<Option<Rc<Pools>>>,
    /// The estimate of the cluster's clock.
    estimate: RefCell<ClockEstimate>,
    /// Clock requests that were sent.
    clock_requests: RefCell<SentRequests>,
    /// The serial of the document in force; 0 if any document is to be accepted.
    serial: Cell<u64>,
    /// The document in force, encoded.
    document_bytes: RefCell<Option<Rc<[u8]>>>,
    /// The configuration of the document in force.
    config: RefCell<Option<Rc<Config>>>,
    /// Core members that a connection was opened to at the start.
    connected_cores: RefCell<BTreeSet<Node>>,
    /// Notified when an update or a clock reply has arrived.
    pub received: Notify,
}

impl NodeState {
    /// Creates the state and registers it as the gossip's host.
    pub fn new(
        settings: Rc<Settings>,
        gossip: Rc<Gossip>,
        counter_client: Rc<CounterClient>,
        operations: Rc<Operations>,
    ) -> Rc<NodeState> {
        let (pools, estimate) = (RefCell::default(), RefCell::default());
        let node_state = Rc::new(NodeState {
            settings: RefCell::new(settings),
            gossip,
            counter_client,
            operations,
            pools,
            estimate,
            clock_requests: RefCell::default(),
            serial: Cell::new(0),
            document_bytes: RefCell::default(),
            config: RefCell::default(),
            connected_cores: RefCell::default(),
            received: Notify::new(),
        });
        let host: Rc<dyn Host> = node_state.clone();
        node_state.gossip.set_host(Rc::downgrade(&host));
        node_state
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Applies other settings: their seeds and bounds. Sockets, zones and resource limits stay as they were
    /// at the start.
    pub fn apply_settings(&self, settings: Settings) {
        self.gossip.apply_settings(&settings);
        let zones = self.settings().zones.clone();
        let settings = Rc::new(Settings { zones, ..settings });
        *self.settings.borrow_mut() = settings.clone();
        let pools = self.pools.borrow().clone();
        pools.into_iter().for_each(|p| p.apply_settings(settings.clone()));
    }

    /// Requests the cluster's clock until it is known; after `max_wait` the process's own clock is used. Only
    /// the holder answers, and the holder may change at any moment, so all candidates are asked.
    pub async fn fetch_clock(&self, max_wait: Duration) -> lupinledge_proxy::clock::Clock {
        let started_at = Instant::now();
        let (mut asked_holder, mut next_request_at) = (0, started_at);
        loop {
            if let Some(now) = self.estimate.borrow().remote_time(self.gossip.now()) {
                return lupinledge_proxy::clock::Clock::starting_at(now);
            }
            if started_at.elapsed() > max_wait {
                tracing::warn!(event = "clock", from = "own");
                return lupinledge_proxy::clock::Clock::start();
            }
            let holder = self.gossip.with_store(|h| h.epoch().1);
            if Instant::now() >= next_request_at || holder != asked_holder {
                (asked_holder, next_request_at) = (holder, Instant::now() + CLOCK_REQUEST_INTERVAL);
                self.request_clock(holder);
            }
            let _ = tokio::time::timeout_at(next_request_at, self.received.notified()).await;
        }
    }

    /// Sends a clock request to the holder and to all processes that may become it.
    fn request_clock(&self, holder: Node) {
        let mut candidates = seeds_of(&self.settings());
        candidates.push(holder);
        let reachable =
            |m: &&Member| m.card.core && m.standing == Standing::Alive && m.last_received.is_finite();
        let reachable: Vec<Node> =
            self.gossip.with_membership(|s| s.members().filter(reachable).map(|m| m.node).collect());
        candidates.extend(&reachable);
        candidates.sort_unstable();
        candidates.dedup();
        let sent = self.gossip.now();
        self.clock_requests.borrow_mut().add(sent);
        for candidate in candidates.into_iter().filter(|h| *h != 0) {
            self.gossip.post().send_datagram(candidate, &WireMessage::ClockRequest { sent });
        }
        // also opens a connection for updates to each of them; connecting to one that may be down would hang
        // for long
        let mut connected_cores = self.connected_cores.borrow_mut();
        let digest = self.gossip.with_store(|h| h.digest());
        reachable
            .into_iter()
            .filter(|h| connected_cores.insert(*h))
            .for_each(|h| self.gossip.post().send(h, &WireMessage::Fetch(digest)));
    }

    /// Estimates the seconds until this process is ready, from what it has received so far.
    pub fn seconds_until_ready(&self) -> f64 {
        match self.gossip.with_store(|h| h.epoch().1) {
            0 => (EXPECTED_TAKEOVER - self.gossip.now()).max(2.0 * EXPECTED_JOIN),
            _ => EXPECTED_JOIN,
        }
    }

    /// Applies updates to the pools from now on, starting with the newest state that is held.
    pub fn set_pools(&self, pools: Rc<Pools>) {
        *self.pools.borrow_mut() = Some(pools);
        let newest = self.gossip.with_store(|h| h.newest().clone());
        self.on_update(newest);
    }

    /// Runs the tasks that depend on time alone, forever.
    pub async fn run_periodic_tasks(self: Rc<Self>) {
        loop {
            if let Some(pools) = &*self.pools.borrow() {
                pools.set_gateway_count(self.gossip.max_edge_count(GATEWAY_COUNT_WINDOW).max(1));
                pools.expire_unconfirmed_zones();
            }
            tokio::time::sleep(TASK_INTERVAL).await;
        }
    }

    /// Writes the metrics of the state held here and of the messages between the system's own processes.
    pub fn write_metrics(&self, line: &mut MetricSink) {
        line("document.serial", self.serial.get());
        line("counters.epoch", self.gossip.with_store(|h| h.epoch().0));
        line("gateways", self.gossip.max_edge_count(GATEWAY_COUNT_WINDOW) as u64);
        self.operations.write_metrics(line);
        self.gossip.write_metrics(line);
    }

    /// The configuration of the document in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Builds the tables anew from the document in force, without applying them.
    pub fn build_tables(&self) -> Option<Tables> {
        let document_bytes = self.document_bytes.borrow().clone()?;
        self.decode_and_build(&document_bytes).ok().map(|b| b.1)
    }

    /// Builds the tables anew from the document in force and applies them.
    pub fn rebuild_tables(&self) {
        let document_bytes = self.document_bytes.borrow().clone();
        let serial = self.serial.replace(0);
        document_bytes.into_iter().for_each(|bytes| self.apply_document(&bytes));
        self.serial.set(self.serial.get().max(serial));
    }

    /// Requests the document, which is then applied again. With `any`, a document older than the one in force
    /// is accepted too.
    pub fn refetch_document(&self, any: bool) {
        self.serial.set(if any { 0 } else { self.serial.get().saturating_sub(1) });
        self.gossip.refetch_state();
    }

    /// Decodes a document and builds its tables.
    fn decode_and_build(&self, bytes: &[u8]) -> Result<(Document, Tables), String> {
        let document = decode::<Document>(bytes).map_err(|e| e.to_string())?;
        let tables = Tables::new(&document, &self.settings().zones).map_err(|e| e.to_string())?;
        Ok((document, tables))
    }

    /// Applies a document, unless a newer one is in force.
    fn apply_document(&self, bytes: &Rc<[u8]>) {
        let pools = self.pools.borrow().clone();
        let Some(pools) = pools else { return };
        match self.decode_and_build(bytes) {
            Ok((document, _)) if document.serial <= self.serial.get() => {}
            Ok((document, tables)) => {
                let (old, new) = (pools.tables().version(), tables.version());
                // serial 0: the tables in force are in doubt, and any others are accepted
                let forward = self.serial.get() == 0 || new >= old;
                check(Invariant::ConfigurationMonotonic, forward, || format!("version {new} after {old}"));
                self.serial.set(document.serial);
                tracing::info!(event = "follow", serial = document.serial, version = tables.version());
                *self.document_bytes.borrow_mut() = Some(bytes.clone());
                *self.config.borrow_mut() = document.config.and_then(|c| Config::parse(&c).ok()).map(Rc::new);
                pools.set_tables(Rc::new(tables));
            }
            Err(fault) => tracing::error!(event = "document_unread", %fault),
        }
    }
}

impl Host for NodeState {
    fn on_update(&self, update: Update) {
        if let Some((epoch, holder)) = update.epoch {
            self.counter_client.set_holder(epoch, holder);
        }
        // before the first configuration there is an empty document
        if let Some((_, bytes)) = update.state.as_ref().filter(|s| !s.1.is_empty()) {
            self.apply_document(bytes);
        }
        let pools = self.pools.borrow().clone();
        if let (Some((_, bytes)), Some(pools)) = (&update.list, pools) {
            match ServerList::decode(bytes) {
                Some(list) => pools.set_server_list(list),
                None => tracing::error!(event = "list_unread"),
            }
        }
        self.received.notify_one();
    }

    fn on_message(&self, from: Node, message: WireMessage) {
        match message {
            WireMessage::Totals { tag, round, totals } => {
                self.counter_client.on_totals(from, tag, round, &totals)
            }
            WireMessage::NewHolder { epoch } => self.counter_client.on_report_request(epoch, from),
            WireMessage::Operation(operation) => self.operations.handle_message(from, operation),
            WireMessage::ClockReply { sent, replied_at } if self.clock_requests.borrow().contains(sent) => {
                self.estimate.borrow_mut().sample(sent, replied_at, self.gossip.now());
                self.received.notify_one();
            }
            _ => {}
        }
    }
}
