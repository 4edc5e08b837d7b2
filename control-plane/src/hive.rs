//! The whole control plane of one machine: its parts, and what comes in for each.

use crate::agree::Agree;
use crate::brood::Brood;
use crate::clock::Clock;
use crate::command::{Command, Reply};
use crate::counts::Counts;
use crate::directory::Directory;
use crate::nodes;
use crate::operations::{Beginning, Operations};
use crate::refusals::Refusals;
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

/// What clients may keep an answer of the directory for.
const TTL: f64 = 2.0;
/// A process that is about to end may have the data folder for as long: its `grace_s`, and some.
const FOLDER_WAIT: Duration = Duration::from_secs(10);
const UPKEEP: Duration = Duration::from_secs(1);
/// The holder's clock is looked at so often, in turns of the upkeep.
const CLOCK_EACH: u64 = 10;

pub struct Hive {
    pub settings: RefCell<Rc<Settings>>,
    pub clock: Rc<Clock>,
    pub agree: Rc<Agree>,
    pub brood: Rc<Brood>,
    pub leaving: Cell<bool>,
    /// The newest version that was acknowledged from here.
    pub acknowledged: Cell<u64>,
    pub refusals: Refusals,
    /// Index and prints of the document that is held.
    intent: Cell<(u64, Fingerprints)>,
    /// Changes that wait or run, and who waits for them.
    pub turns: RefCell<ChangeQueue<Command>>,
    pub callers: RefCell<BTreeMap<CallerId, oneshot::Sender<Reply>>>,
    gossip: Rc<Gossip>,
    directory: Directory,
    /// The homes of hosts, and of which document.
    homes: RefCell<(Option<Ballot>, HomeRegions)>,
    counts: Rc<Counts>,
    operations: Rc<Operations>,
    _lock: FolderLock,
}

fn platform_of(settings: &Settings) -> eyre::Result<CloudApi> {
    settings.cloud_api.clone().ok_or_else(|| eyre!("`cloud_api`: missing"))
}

impl Hive {
    /// Reads the disk, and starts all parts.
    pub async fn start(settings: Settings) -> eyre::Result<Rc<Hive>> {
        let clock = Rc::new(Clock::start(settings.node_id()));
        let folder = settings.data_dir.clone().ok_or_else(|| eyre!("`data_dir`: the core needs a disk"))?;
        let platform = platform_of(&settings)?;
        let owner = format!("{} (process {})", settings.ip, std::process::id());
        let lock = FolderLock::acquire(folder.clone(), owner, FOLDER_WAIT).await.wrap_err("`data_dir`")?;
        let OpenedStore { store, content, results } = Store::open(DataDir(folder.clone()))?;
        let found = content.await.wrap_err("`data_dir`")?;
        let empty = !matches!(found, Stored::State(_));

        let seeds = seeds_of(&settings);
        let seed = clock.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(clock.me);
        let tolerate = settings.tolerate.machines as usize;
        let founding = lupinledge_consensus::Settings {
            me: clock.me,
            seeds,
            bootstrap: settings.bootstrap,
            seed,
            tolerate,
        };
        let agree = Agree::start(clock.clone(), founding, found, store).wrap_err("`data_dir`")?;
        let empty = empty || agree.amnesiac();
        let beginning = Beginning { folder, limits: settings.limits.clone(), seed, learns: agree.amnesiac() };
        let operations = Operations::start(clock.clone(), beginning).await.wrap_err("`data_dir`")?;
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
        let brood = Brood::start(agree.clone(), platform.address, platform.rate_per_s);
        let counts = Counts::new(clock.clone(), agree.clone(), settings.zones.clone());

        let port = settings.peer_port();
        let hive = Rc::new(Hive {
            settings: RefCell::new(Rc::new(settings)),
            clock,
            agree: agree.clone(),
            brood,
            leaving: Cell::new(false),
            acknowledged: Cell::new(0),
            refusals: Refusals::default(),
            intent: Cell::default(),
            turns: RefCell::default(),
            callers: RefCell::default(),
            gossip: gossip.clone(),
            directory: Directory::default(),
            homes: RefCell::default(),
            counts,
            operations: operations.clone(),
            _lock: lock,
        });
        let host: Rc<dyn Host> = hive.clone();
        gossip.set_host(Rc::downgrade(&host));
        hive.counts.run(gossip.clone());
        tokio::task::spawn_local(gossip.clone().run());
        operations.run(gossip.post().clone());
        let on_value = move |index, value: &_| operations.committed(index, value);
        agree.run(gossip.post().clone(), results, Box::new(on_value));
        tokio::task::spawn_local(hive.clone().tell());
        tokio::task::spawn_local(hive.clone().upkeep());
        tracing::info!(event = "started", node = %hive.settings.borrow().ip, port, empty);
        Ok(hive)
    }

    /// Makes what was agreed on, and the list that was read here, news for the others.
    async fn tell(self: Rc<Hive>) {
        loop {
            tokio::select! {
                _ = self.agree.news.notified() => {}
                _ = self.brood.renewed.notified() => {}
            }
            let list = self.brood.list();
            let newer = self.gossip.with_store(|h| list.number > h.digest().list);
            let agreed = self.agree.agreed().filter(|a| a.ballot > Ballot::default());
            let news = Update {
                epoch: self.agree.last_holder().map(|(holder, epoch)| (epoch, holder)),
                state: agreed.map(|a| ((a.ballot.epoch, a.ballot.index), a.bytes.clone())),
                list: newer.then(|| (list.number, Rc::from(list.encode()))),
            };
            // what a former holder had to tell was told by it; gaps are found by digests
            let leads = self.agree.leads().is_some();
            self.gossip.publish(news, if leads { Source::Origin } else { Source::Settled });
            self.print();
            let ready = self.gossip.with_store(|h| h.newest().state.is_some());
            self.gossip.set_card(|card| card.ready = ready);
        }
    }

    /// Tells the others what the document says that is held here, in short.
    fn print(&self) {
        let held = self.gossip.with_store(|h| h.newest().state.clone());
        let Some(((_, index), bytes)) = held.filter(|h| self.intent.get().0 != h.0 .1) else { return };
        let zones = self.settings.borrow().zones.clone();
        let tables = decode::<Document>(&bytes).ok().and_then(|d| Tables::new(&d, &zones).ok());
        if let Some(tables) = tables {
            self.intent.set((index, tables.fingerprints()));
            self.gossip.set_fingerprint(index, tables.fingerprints().combined());
        }
    }

    /// All processes that are known, and whether they do what the document says that is held here.
    pub fn nodes(&self) -> serde_json::Value {
        let (index, intent) = self.intent.get();
        let own = self.gossip.with_store(|h| h.digest());
        let now = self.gossip.now();
        let nodes = self
            .gossip
            .with_membership(|s| s.members().map(|m| nodes::row(now, m, own, intent)).collect::<Vec<_>>());
        let holder = self.agree.leads().map(|_| self.clock.me).or_else(|| self.agree.route());
        let holder = holder.map(|node| std::net::Ipv4Addr::from(node).to_string());
        let parts = nodes::parts(&intent.parts());
        serde_json::json!({"index": index, "parts": parts, "holder": holder, "nodes": nodes})
    }

    /// The figures of this process as text.
    pub fn metrics(&self) -> String {
        let (agreed, list) = (self.agree.agreed(), self.brood.list());
        let (ballot, version, serial) =
            agreed.map_or_else(Default::default, |a| (a.ballot, a.document.version, a.document.serial));
        metrics::render(|line| {
            line("configuration.version", version);
            line("configuration.acknowledged", self.acknowledged.get());
            line("orders.refused", self.refusals.count());
            line("document.serial", serial);
            line("document.epoch", ballot.epoch);
            line("document.index", ballot.index);
            line("core.leads", u64::from(self.agree.leads().is_some()));
            line("core.member", u64::from(self.agree.member()));
            line("core.settled", u64::from(self.agree.settled()));
            line("core.members", self.agree.members().len() as u64);
            line("changes.callers", self.callers.borrow().len() as u64);
            line("servers.list_epoch", list.number.0);
            line("servers.list_number", list.number.1);
            line("servers.listed", list.rows.len() as u64);
            line("servers.unreadable", self.brood.unreadable.get());
            self.operations.figures(line);
            self.gossip.write_metrics(line);
        })
    }

    /// Whom others name as the holder where this process is cut off from it: of no earlier epoch than it knows, and alive.
    pub fn told_holder(&self) -> Option<Node> {
        let (epoch, node) = self.gossip.with_store(|h| h.epoch());
        let known = self.agree.last_holder().map_or(0, |(_, epoch)| epoch);
        let alive = |m: &Member| m.card.core && m.standing == Standing::Alive;
        let there =
            node != self.clock.me && self.gossip.with_membership(|s| s.member(node).is_some_and(alive));
        (there && epoch >= known && self.agree.cut_from(node)).then_some(node)
    }

    fn holds(&self, node: Node) -> bool {
        self.agree.holder().is_some_and(|(holder, _)| holder == node)
    }

    /// What has to be looked after now and then.
    async fn upkeep(self: Rc<Hive>) {
        let (mut asked, mut turns) = (None, 0_u64);
        loop {
            if self.agree.leads().is_some() {
                self.clock.leads();
            }
            let holder = self.agree.holder().filter(|(node, _)| *node != self.clock.me);
            if holder.is_some() && (asked != holder || turns % CLOCK_EACH == 0) {
                asked = holder;
                holder.into_iter().for_each(|(node, _)| {
                    self.gossip
                        .post()
                        .send_datagram(node, &WireMessage::ClockRequest { sent: self.clock.ask() })
                });
            }
            let mut cores = seeds_of(&self.settings.borrow());
            // where both sides of a cut start anew under seeds of their own side, only the agreement leads across it
            self.gossip.set_seeds(cores.iter().copied().chain(self.agree.members()).collect());
            if !self.agree.member() || self.agree.holder().is_none() {
                self.gossip
                    .with_membership(|s| cores.extend(s.members().filter(|m| m.card.core).map(|m| m.node)));
                self.agree.hint(&cores);
            }
            turns += 1;
            sleep(UPKEEP).await;
        }
    }

    /// Goes by other settings from here on. Sockets stay: addresses do not change while a process runs.
    pub fn retell(&self, settings: Settings) -> eyre::Result<()> {
        let platform = platform_of(&settings)?;
        self.brood.retell(platform.address, platform.rate_per_s);
        self.gossip.apply_settings(&settings);
        self.agree.hint(&seeds_of(&settings));
        let listen = self.settings.borrow().listen.clone();
        *self.settings.borrow_mut() = Rc::new(Settings { listen, ..settings });
        Ok(())
    }

    /// Where clients of a region may go that ask for a host.
    pub fn fronts(&self, region: &str, host: &str) -> Vec<SocketAddr> {
        if let Some(agreed) = self.agree.agreed().filter(|a| self.homes.borrow().0 != Some(a.ballot)) {
            *self.homes.borrow_mut() = (Some(agreed.ballot), HomeRegions::new(&agreed.document));
        }
        let homes = self.homes.borrow();
        self.gossip.with_membership(|s| self.directory.fronts(s.members(), region, homes.1.for_host(host)))
    }

    /// For how long an answer of the directory is good.
    pub fn ttl(&self) -> f64 {
        TTL.min(self.settings.borrow().bounds.ttl_max_s)
    }

    /// From here on no new command is taken, and the others know why.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.gossip.set_card(|card| card.leaving = true);
    }

    /// Nothing goes out any more.
    pub fn end(&self) {
        self.agree.fall_silent();
        let counts = self.gossip.post().counts();
        let (sent, cast, dropped) = (counts.sent.get(), counts.datagrams.get(), counts.dropped.get());
        let (news, unreadable) = (self.gossip.update_bytes_sent(), self.brood.unreadable.get());
        tracing::info!(event = "ended", sent, cast, dropped, news, unreadable);
        self.gossip.post().close();
    }
}

impl Host for Hive {
    /// Documents come by agreement, and epochs with it.
    fn on_update(&self, news: Update) {
        let Some((number, bytes)) = news.list.filter(|l| l.0 > self.brood.list().number) else { return };
        match ServerList::decode(&bytes).filter(|l| l.number == number) {
            Some(list) => self.brood.heard(list),
            None => tracing::warn!(event = "list_spoilt"),
        }
    }

    fn on_message(&self, from: Node, word: WireMessage) {
        match word {
            WireMessage::Consensus(msg) => self.agree.heard(from, msg),
            WireMessage::CounterSums { tag, incarnation, calls } => {
                self.counts.heard(self.gossip.post(), (from, incarnation), tag, &calls)
            }
            WireMessage::CounterReport { incarnation, told, epoch, part } => {
                self.counts.told((from, incarnation), epoch, &told, part)
            }
            WireMessage::Operation(message) => self.operations.heard(from, message),
            WireMessage::ClockRequest { sent } if self.agree.leads().is_some() => {
                self.gossip
                    .post()
                    .send_datagram(from, &WireMessage::ClockReply { sent, hive: self.clock.hive() });
            }
            WireMessage::ClockReply { sent, hive } if self.holds(from) => self.clock.adopt(sent, hive),
            _ => {}
        }
    }

    fn on_contact(&self, from: Node) {
        self.counts.lives(from);
    }
}
