//! The whole control plane of one machine: its parts, and what comes in for each.

use crate::agree::Agree;
use crate::brood::Brood;
use crate::clock::Clock;
use crate::counts::Counts;
use crate::news::News;
use crate::store::{Opened, Store};
use crate::swarm::Members;
use eyre::{eyre, WrapErr};
use lupinledge_propolis::Settings;
use lupinledge_queen::Node;
use lupinledge_waggle::Card;
use lupinledge_wax::{Post, Word};
use std::cell::{Cell, OnceCell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// What clients may keep an answer of the directory for.
const TTL: f64 = 2.0;
const UPKEEP: Duration = Duration::from_secs(1);
/// The holder's clock is looked at so often, in turns of the upkeep.
const CLOCK_EACH: u64 = 10;

pub struct Hive {
    pub settings: RefCell<Rc<Settings>>,
    pub clock: Rc<Clock>,
    pub agree: Rc<Agree>,
    pub brood: Rc<Brood>,
    pub leaving: Cell<bool>,
    /// Changes that wait or run, and whose turn it is.
    pub queued: Cell<usize>,
    pub turn: Mutex<()>,
    members: Rc<Members>,
    counts: Rc<Counts>,
    post: Rc<Post>,
    news: OnceCell<Rc<News>>,
}

/// The machines behind addresses, in the agreed order.
pub fn nodes(addresses: &[SocketAddr]) -> Vec<Node> {
    let v4 = |a: &SocketAddr| match a.ip() {
        IpAddr::V4(ip) => Some(Node::from(ip)),
        IpAddr::V6(_) => None,
    };
    let mut nodes: Vec<Node> = addresses.iter().filter_map(v4).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes
}

impl Hive {
    /// Reads the disk, and starts all parts.
    pub async fn start(settings: Settings) -> eyre::Result<Rc<Hive>> {
        let clock = Rc::new(Clock::start(settings.node()));
        let folder = settings.data_dir.clone().ok_or_else(|| eyre!("`data_dir`: the core needs a disk"))?;
        let platform = settings.cloud_api.clone().ok_or_else(|| eyre!("`cloud_api`: missing"))?;
        let Opened { store, found, ends } = Store::open(folder)?;
        let kept = found.await.wrap_err("`data_dir`")?;
        let empty = kept.is_none();

        let seeds = nodes(&settings.seeds);
        let seed = clock.life.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(clock.me);
        let founding = lupinledge_queen::Settings {
            me: clock.me,
            seeds: seeds.clone(),
            bootstrap: settings.bootstrap,
            seed,
        };
        let agree = Agree::start(clock.clone(), founding, kept, store).wrap_err("`data_dir`")?;
        let card = Card {
            core: true,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            front: None,
            control: settings.listen.control,
            ready: false,
            leaving: false,
            load: 0,
        };
        let around = lupinledge_waggle::Settings::new(clock.me, clock.life, card, seeds, seed);
        let members = Members::start(clock.clone(), around);
        let brood = Brood::start(agree.clone(), platform.address, platform.rate_per_s);
        let counts = Counts::new(clock.clone(), agree.clone(), settings.zones.clone());

        let here: Rc<OnceCell<Rc<Hive>>> = Rc::default();
        let on_word = {
            let here = here.clone();
            Rc::new(move |from: Node, word: Word| {
                if let Some(hive) = here.get() {
                    hive.heard(from, word);
                }
            })
        };
        let port = settings.peer_port();
        let post = Post::open(clock.me, port, on_word).wrap_err_with(|| format!("`port_range`: {port}"))?;
        let hive = Rc::new(Hive {
            settings: RefCell::new(Rc::new(settings)),
            clock: clock.clone(),
            agree: agree.clone(),
            brood: brood.clone(),
            leaving: Cell::new(false),
            queued: Cell::new(0),
            turn: Mutex::new(()),
            members: members.clone(),
            counts,
            post: post.clone(),
            news: OnceCell::new(),
        });
        let _ = here.set(hive.clone());
        let news = News::start(clock, agree.clone(), brood, members.clone(), post.clone());
        let _ = hive.news.set(news);
        members.run(post.clone());
        agree.run(post.clone(), ends);
        hive.counts.run(members, post);
        tokio::task::spawn_local(hive.clone().upkeep());
        tracing::info!(event = "started", node = %hive.settings.borrow().ip, port, empty);
        Ok(hive)
    }

    fn heard(&self, from: Node, word: Word) {
        self.counts.lives(from);
        match word {
            Word::Probe(packet) => self.members.heard(from, packet),
            Word::Queen(msg) => self.agree.heard(from, msg),
            Word::Want(digest) => self.news.get().into_iter().for_each(|n| n.wanted(from, &digest)),
            Word::News { list, .. } => self.news.get().into_iter().for_each(|n| n.heard(list.clone())),
            Word::Count { tag, life, calls } => self.counts.heard(&self.post, (from, life), tag, &calls),
            Word::Told { life, told } => self.counts.told(from, life, &told),
            Word::Clock { sent } if self.agree.leads().is_some() => {
                self.post.cast(from, &Word::ClockIs { sent, hive: self.clock.hive() });
            }
            Word::ClockIs { sent, hive } if self.holds(from) => self.clock.adopt(sent, hive),
            Word::Clock { .. } | Word::ClockIs { .. } | Word::Counted { .. } | Word::Hold { .. } => {}
        }
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
                holder
                    .into_iter()
                    .for_each(|(node, _)| self.post.cast(node, &Word::Clock { sent: self.clock.now() }));
            }
            if !self.agree.member() {
                let mut cores = nodes(&self.settings.borrow().seeds);
                self.members.with(|members| cores.extend(members.filter(|m| m.card.core).map(|m| m.node)));
                self.agree.hint(&cores);
            }
            turns += 1;
            sleep(UPKEEP).await;
        }
    }

    /// Goes by other settings from here on. Sockets stay: addresses do not change while a process runs.
    pub fn retell(&self, settings: Settings) {
        self.agree.hint(&nodes(&settings.seeds));
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Where clients of a region may go.
    pub fn fronts(&self, region: &str) -> Vec<SocketAddr> {
        self.members.fronts(region)
    }

    /// For how long an answer of the directory is good.
    pub fn ttl(&self) -> f64 {
        TTL.min(self.settings.borrow().bounds.ttl_max_s)
    }

    /// From here on no new command is taken, and the others know why.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.members.tell(|card| card.leaving = true);
    }

    /// Nothing goes out any more.
    pub fn end(&self) {
        self.agree.fall_silent();
        let counts = self.post.counts();
        let (sent, cast, dropped) = (counts.sent.get(), counts.cast.get(), counts.dropped.get());
        let (news, unreadable) = (self.news.get().map_or(0, |n| n.bytes.get()), self.brood.unreadable.get());
        tracing::info!(event = "ended", sent, cast, dropped, news, unreadable);
        self.post.close();
    }
}
