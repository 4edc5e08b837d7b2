//! The process among the others: what it holds of the news becomes what the pools work by.

use crate::ledger::Ledger;
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

/// The number of gateways that what all may do together is divided by: the most there were lately.
const LATELY: f64 = 45.0;
const UPKEEP: Duration = Duration::from_millis(500);
/// The hive's clock is asked for again after so long.
const ASK: Duration = Duration::from_millis(100);
/// Seconds from the start until this process is ready, as measured: where there is a holder, and from when on a new
/// one is to be expected.
const JOIN: f64 = 0.25;
const TAKEOVER: f64 = 1.7;

/// Before the clock is known there are no pools; news wait for them in the gossip.
pub struct Nest {
    settings: RefCell<Rc<Settings>>,
    gossip: Rc<Gossip>,
    ledger: Rc<Ledger>,
    operations: Rc<Operations>,
    pools: RefCell<Option<Rc<Pools>>>,
    estimate: RefCell<ClockEstimate>,
    asked: RefCell<SentRequests>,
    serial: Cell<u64>,
    /// The document in force: its bytes, and its configuration as read.
    kept: RefCell<Option<Rc<[u8]>>>,
    config: RefCell<Option<Rc<Config>>>,
    /// Members of the hive to which a link was opened at the start.
    linked: RefCell<BTreeSet<Node>>,
    pub woken: Notify,
}

impl Nest {
    pub fn new(
        settings: Rc<Settings>,
        gossip: Rc<Gossip>,
        ledger: Rc<Ledger>,
        operations: Rc<Operations>,
    ) -> Rc<Nest> {
        let (pools, estimate) = (RefCell::default(), RefCell::default());
        let nest = Rc::new(Nest {
            settings: RefCell::new(settings),
            gossip,
            ledger,
            operations,
            pools,
            estimate,
            asked: RefCell::default(),
            serial: Cell::new(0),
            kept: RefCell::default(),
            config: RefCell::default(),
            linked: RefCell::default(),
            woken: Notify::new(),
        });
        let host: Rc<dyn Host> = nest.clone();
        nest.gossip.set_host(Rc::downgrade(&host));
        nest
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Goes by other settings from here on: by their seeds and bounds. Sockets, zones, and what the process may use
    /// stay as at the start.
    pub fn retell(&self, settings: Settings) {
        self.gossip.apply_settings(&settings);
        let zones = self.settings().zones.clone();
        let settings = Rc::new(Settings { zones, ..settings });
        *self.settings.borrow_mut() = settings.clone();
        let pools = self.pools.borrow().clone();
        pools.into_iter().for_each(|p| p.retell(settings.clone()));
    }

    /// Asks for the hive's clock until it is known; after `most`, the own one has to do. The holder alone answers,
    /// and who that is may be settled at any moment: all that may be it are asked.
    pub async fn clock(&self, most: Duration) -> lupinledge_proxy::clock::Clock {
        let began = Instant::now();
        let (mut asked, mut again) = (0, began);
        loop {
            if let Some(now) = self.estimate.borrow().remote_time(self.gossip.now()) {
                return lupinledge_proxy::clock::Clock::starting_at(now);
            }
            if began.elapsed() > most {
                tracing::warn!(event = "clock", from = "own");
                return lupinledge_proxy::clock::Clock::start();
            }
            let holder = self.gossip.with_store(|h| h.epoch().1);
            if Instant::now() >= again || holder != asked {
                (asked, again) = (holder, Instant::now() + ASK);
                self.ask(holder);
            }
            let _ = tokio::time::timeout_at(again, self.woken.notified()).await;
        }
    }

    fn ask(&self, holder: Node) {
        let mut hives = seeds_of(&self.settings());
        hives.push(holder);
        let there = |m: &&Member| m.card.core && m.standing == Standing::Alive && m.last_received.is_finite();
        let there: Vec<Node> =
            self.gossip.with_membership(|s| s.members().filter(there).map(|m| m.node).collect());
        hives.extend(&there);
        hives.sort_unstable();
        hives.dedup();
        let sent = self.gossip.now();
        self.asked.borrow_mut().add(sent);
        for hive in hives.into_iter().filter(|h| *h != 0) {
            self.gossip.post().send_datagram(hive, &WireMessage::ClockRequest { sent });
        }
        // also, from here on there is a link for the news; to one that may be down it would hang for long
        let mut linked = self.linked.borrow_mut();
        let own = self.gossip.with_store(|h| h.digest());
        there
            .into_iter()
            .filter(|h| linked.insert(*h))
            .for_each(|h| self.gossip.post().send(h, &WireMessage::Fetch(own)));
    }

    /// In how many seconds this process may be ready, by what it has heard yet.
    pub fn soon(&self) -> f64 {
        match self.gossip.with_store(|h| h.epoch().1) {
            0 => (TAKEOVER - self.gossip.now()).max(2.0 * JOIN),
            _ => JOIN,
        }
    }

    /// From here on news go to the pools; what is held already does at once.
    pub fn open(&self, pools: Rc<Pools>) {
        *self.pools.borrow_mut() = Some(pools);
        let newest = self.gossip.with_store(|h| h.newest().clone());
        self.on_update(newest);
    }

    /// Looks after what time alone changes.
    pub async fn upkeep(self: Rc<Self>) {
        loop {
            if let Some(pools) = &*self.pools.borrow() {
                pools.among(self.gossip.max_edge_count(LATELY).max(1));
                pools.lapse();
            }
            tokio::time::sleep(UPKEEP).await;
        }
    }

    /// Figures of what is held and of the messages between own processes.
    pub fn figures(&self, line: &mut MetricSink) {
        line("document.serial", self.serial.get());
        line("counters.epoch", self.gossip.with_store(|h| h.epoch().0));
        line("gateways", self.gossip.max_edge_count(LATELY) as u64);
        self.operations.figures(line);
        self.gossip.write_metrics(line);
    }

    /// What was read of the document in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// The tables that the document in force gives when they are built now.
    pub fn due(&self) -> Option<Tables> {
        let kept = self.kept.borrow().clone()?;
        self.built(&kept).ok().map(|b| b.1)
    }

    /// Builds the tables from nothing, of the document in force.
    pub fn rebuild(&self) {
        let kept = self.kept.borrow().clone();
        let serial = self.serial.replace(0);
        kept.into_iter().for_each(|k| self.document(&k));
        self.serial.set(self.serial.get().max(serial));
    }

    /// Asks for the document; it will be taken again. `any`: also one that is older than that in force.
    pub fn afresh(&self, any: bool) {
        self.serial.set(if any { 0 } else { self.serial.get().saturating_sub(1) });
        self.gossip.refetch_state();
    }

    fn built(&self, bytes: &[u8]) -> Result<(Document, Tables), String> {
        let d = decode::<Document>(bytes).map_err(|e| e.to_string())?;
        let tables = Tables::new(&d, &self.settings().zones).map_err(|e| e.to_string())?;
        Ok((d, tables))
    }

    fn document(&self, bytes: &Rc<[u8]>) {
        let pools = self.pools.borrow().clone();
        let Some(pools) = pools else { return };
        match self.built(bytes) {
            Ok((d, _)) if d.serial <= self.serial.get() => {}
            Ok((d, tables)) => {
                let (old, new) = (pools.tables().version(), tables.version());
                // serial 0: the tables in force are in doubt, and any others are better
                let forward = self.serial.get() == 0 || new >= old;
                check(Invariant::ConfigurationMonotonic, forward, || format!("version {new} after {old}"));
                self.serial.set(d.serial);
                tracing::info!(event = "follow", serial = d.serial, version = tables.version());
                *self.kept.borrow_mut() = Some(bytes.clone());
                *self.config.borrow_mut() = d.config.and_then(|c| Config::parse(&c).ok()).map(Rc::new);
                pools.follow(Rc::new(tables));
            }
            Err(fault) => tracing::error!(event = "document_unread", %fault),
        }
    }
}

impl Host for Nest {
    fn on_update(&self, news: Update) {
        if let Some((epoch, holder)) = news.epoch {
            self.ledger.holder(epoch, holder);
        }
        // before the first configuration there is an empty document
        if let Some((_, bytes)) = news.state.as_ref().filter(|s| !s.1.is_empty()) {
            self.document(bytes);
        }
        let pools = self.pools.borrow().clone();
        if let (Some((_, bytes)), Some(pools)) = (&news.list, pools) {
            match ServerList::decode(bytes) {
                Some(list) => pools.list(list),
                None => tracing::error!(event = "list_unread"),
            }
        }
        self.woken.notify_one();
    }

    fn on_message(&self, from: Node, word: WireMessage) {
        match word {
            WireMessage::Totals { tag, round, totals } => self.ledger.counted(from, tag, round, &totals),
            WireMessage::NewHolder { epoch } => self.ledger.asked(epoch, from),
            WireMessage::Operation(message) => self.operations.heard(from, message),
            WireMessage::ClockReply { sent, hive } if self.asked.borrow().contains(sent) => {
                self.estimate.borrow_mut().sample(sent, hive, self.gossip.now());
                self.woken.notify_one();
            }
            _ => {}
        }
    }
}
