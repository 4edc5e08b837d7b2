//! The process among the others: what it holds of the news becomes what the pools work by.

use crate::ledger::Ledger;
use crate::pools::Pools;
use lupinledge_dance::{seeds_of, Dance, Host, News};
use lupinledge_propolis::{Document, Settings, Tables};
use lupinledge_waggle::{Member, Standing};
use lupinledge_wax::clock::Estimate;
use lupinledge_wax::list::List;
use lupinledge_wax::{decode, Node, Word};
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

/// Before the clock is known there are no pools; news wait for them in the dance.
pub struct Nest {
    settings: RefCell<Rc<Settings>>,
    dance: Rc<Dance>,
    ledger: Rc<Ledger>,
    pools: RefCell<Option<Rc<Pools>>>,
    estimate: RefCell<Estimate>,
    serial: Cell<u64>,
    /// Members of the hive to which a link was opened at the start.
    linked: RefCell<BTreeSet<Node>>,
    pub woken: Notify,
}

impl Nest {
    pub fn new(settings: Rc<Settings>, dance: Rc<Dance>, ledger: Rc<Ledger>) -> Rc<Nest> {
        let (pools, estimate) = (RefCell::default(), RefCell::default());
        let nest = Rc::new(Nest {
            settings: RefCell::new(settings),
            dance,
            ledger,
            pools,
            estimate,
            serial: Cell::new(0),
            linked: RefCell::default(),
            woken: Notify::new(),
        });
        let host: Rc<dyn Host> = nest.clone();
        nest.dance.attend(Rc::downgrade(&host));
        nest
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Goes by other settings from here on: by their seeds and bounds. Sockets, zones, and what the process may use
    /// stay as at the start.
    pub fn retell(&self, settings: Settings) {
        self.dance.retell(&settings);
        let zones = self.settings().zones.clone();
        let settings = Rc::new(Settings { zones, ..settings });
        *self.settings.borrow_mut() = settings.clone();
        let pools = self.pools.borrow().clone();
        pools.into_iter().for_each(|p| p.retell(settings.clone()));
    }

    /// Asks for the hive's clock until it is known; after `most`, the own one has to do. The holder alone answers,
    /// and who that is may be settled at any moment: all that may be it are asked.
    pub async fn clock(&self, most: Duration) -> lupinledge_comb::clock::Clock {
        let began = Instant::now();
        let (mut asked, mut again) = (0, began);
        loop {
            if let Some(now) = self.estimate.borrow().theirs(self.dance.now()) {
                return lupinledge_comb::clock::Clock::showing(now);
            }
            if began.elapsed() > most {
                tracing::warn!(event = "clock", from = "own");
                return lupinledge_comb::clock::Clock::start();
            }
            let holder = self.dance.held(|h| h.epoch().1);
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
        let there = |m: &&Member| m.card.core && m.standing == Standing::Alive && m.heard.is_finite();
        let there: Vec<Node> = self.dance.with(|s| s.members().filter(there).map(|m| m.node).collect());
        hives.extend(&there);
        hives.sort_unstable();
        hives.dedup();
        for hive in hives.into_iter().filter(|h| *h != 0) {
            self.dance.post().cast(hive, &Word::Clock { sent: self.dance.now() });
        }
        // also, from here on there is a link for the news; to one that may be down it would hang for long
        let mut linked = self.linked.borrow_mut();
        let own = self.dance.held(|h| h.digest());
        there
            .into_iter()
            .filter(|h| linked.insert(*h))
            .for_each(|h| self.dance.post().send(h, &Word::Want(own)));
    }

    /// In how many seconds this process may be ready, by what it has heard yet.
    pub fn soon(&self) -> f64 {
        match self.dance.held(|h| h.epoch().1) {
            0 => (TAKEOVER - self.dance.now()).max(2.0 * JOIN),
            _ => JOIN,
        }
    }

    /// From here on news go to the pools; what is held already does at once.
    pub fn open(&self, pools: Rc<Pools>) {
        *self.pools.borrow_mut() = Some(pools);
        let newest = self.dance.held(|h| h.newest().clone());
        self.news(newest);
    }

    /// Looks after what time alone changes.
    pub async fn upkeep(self: Rc<Self>) {
        loop {
            if let Some(pools) = &*self.pools.borrow() {
                pools.among(self.dance.edges(LATELY).max(1));
                pools.lapse();
            }
            tokio::time::sleep(UPKEEP).await;
        }
    }

    fn document(&self, bytes: &[u8]) {
        let pools = self.pools.borrow().clone();
        let Some(pools) = pools else { return };
        let tables = decode::<Document>(bytes).map_err(|e| e.to_string()).and_then(|d| {
            let tables = Tables::new(&d, &self.settings().zones).map_err(|e| e.to_string())?;
            Ok((d.serial, tables))
        });
        match tables {
            Ok((serial, _)) if serial <= self.serial.get() => {}
            Ok((serial, tables)) => {
                self.serial.set(serial);
                tracing::info!(event = "follow", serial, version = tables.version());
                pools.follow(Rc::new(tables));
            }
            Err(fault) => tracing::error!(event = "document_unread", %fault),
        }
    }
}

impl Host for Nest {
    fn news(&self, news: News) {
        if let Some((epoch, holder)) = news.epoch {
            self.ledger.holder(epoch, holder);
        }
        // before the first configuration there is an empty document
        if let Some((_, bytes)) = news.state.as_ref().filter(|s| !s.1.is_empty()) {
            self.document(bytes);
        }
        let pools = self.pools.borrow().clone();
        if let (Some((_, bytes)), Some(pools)) = (&news.list, pools) {
            match List::decode(bytes) {
                Some(list) => pools.list(list),
                None => tracing::error!(event = "list_unread"),
            }
        }
        self.woken.notify_one();
    }

    fn word(&self, from: Node, word: Word) {
        match word {
            Word::Counted { tag, totals, .. } => self.ledger.counted(from, tag, &totals),
            Word::Hold { epoch } => self.ledger.asked(epoch, from),
            Word::ClockIs { sent, hive } => {
                self.estimate.borrow_mut().sample(sent, hive, self.dance.now());
                self.woken.notify_one();
            }
            _ => {}
        }
    }
}
