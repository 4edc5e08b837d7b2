//! Drives what every process of the system does with the others: it knows them by probes, passes news on to a
//! few, and mends gaps by comparing digests. Both programs dance the same way; what they do with what they hear is
//! theirs ([`Host`]).
//!
//! The decisions are in `lupinledge-waggle`; here are the clock, the links and what is held.

pub mod cli;
mod held;
pub mod log;
pub mod settings;

pub use held::{Held, News};
use lupinledge_propolis::Settings;
use lupinledge_waggle::{self as waggle, Card, Digest, Member, Standing, Swarm};
use lupinledge_wax::{Node, Post, Word};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// What a program does with what it hears.
pub trait Host {
    /// Something newer than what was held is held now.
    fn news(&self, news: News);
    /// Another word, not one of the dance.
    fn word(&self, from: Node, word: Word);
}

/// Pieces of news go to so many in each other region, and to so many in the own one.
const ABROAD: usize = 2;
const NEAR: usize = 4;

/// The same peer is asked again for what it is ahead in after so long.
const ASK_AGAIN: f64 = 0.3;

/// One process among the others.
pub struct Dance {
    me: Node,
    region: String,
    began: Instant,
    post: Rc<Post>,
    swarm: RefCell<Swarm>,
    held: RefCell<Held>,
    host: RefCell<Option<Weak<dyn Host>>>,
    /// Whom was asked last for news, and when.
    asked: Cell<(Node, f64)>,
    woken: Notify,
}

/// The id of the process at an address.
pub fn node_of(ip: Ipv4Addr) -> Node {
    u32::from(ip)
}

/// The ids of the seeds.
pub fn seeds_of(s: &Settings) -> Vec<Node> {
    let ip = |a: &SocketAddr| match a {
        SocketAddr::V4(a) => Some(node_of(*a.ip())),
        SocketAddr::V6(_) => None,
    };
    let mut seeds: Vec<Node> = s.seeds.iter().filter_map(ip).collect();
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}

impl Dance {
    /// Binds the sockets for words of the own kind. `takes_state`: documents come from others by news; else only by
    /// [`Dance::tell`]. Fails if the port is taken.
    pub fn open(settings: &Settings, card: Card, takes_state: bool) -> eyre::Result<Rc<Dance>> {
        let me = node_of(settings.ip);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut swarm = waggle::Settings::new(
            me,
            unix.as_millis() as u64,
            card,
            seeds_of(settings).into_iter().filter(|s| *s != me).collect(),
            unix.as_nanos() as u64 ^ u64::from(me) << 32,
        );
        swarm.packet_most = 1100;
        let me_again: Rc<RefCell<Weak<Dance>>> = Rc::default();
        let to = me_again.clone();
        let on_word = Rc::new(move |from, word| {
            if let Some(dance) = to.borrow().upgrade() {
                dance.heard(from, word);
            }
        });
        let post = Post::open(me, settings.port_range.0, on_word)?;
        let dance = Rc::new(Dance {
            me,
            region: settings.region.clone(),
            began: Instant::now(),
            post,
            swarm: RefCell::new(Swarm::new(0.0, swarm)),
            held: RefCell::new(Held::new(takes_state)),
            host: RefCell::new(None),
            asked: Cell::new((0, f64::MIN)),
            woken: Notify::new(),
        });
        *me_again.borrow_mut() = Rc::downgrade(&dance);
        Ok(dance)
    }

    /// Who hears from now on. What came before is held, but was told to nobody.
    pub fn attend(&self, host: Weak<dyn Host>) {
        *self.host.borrow_mut() = Some(host);
    }

    /// The id of this process.
    pub fn me(&self) -> Node {
        self.me
    }

    /// Seconds of the steady clock since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// The way to others for words of the host's own.
    pub fn post(&self) -> &Rc<Post> {
        &self.post
    }

    /// Looks at the others.
    pub fn with<T>(&self, look: impl FnOnce(&Swarm) -> T) -> T {
        look(&self.swarm.borrow())
    }

    /// What is held now.
    pub fn held<T>(&self, look: impl FnOnce(&Held) -> T) -> T {
        look(&self.held.borrow())
    }

    /// Tells of this process itself from now on.
    pub fn set_card(&self, change: impl FnOnce(&mut Card)) {
        let mut card = self.swarm.borrow().card().clone();
        change(&mut card);
        if card != *self.swarm.borrow().card() {
            self.swarm.borrow_mut().set_card(card);
            self.woken.notify_one();
        }
    }

    /// Largest number of edge nodes that were there at once over the last so many seconds.
    pub fn edges(&self, span: f64) -> usize {
        self.swarm.borrow().most_edges(self.now(), span)
    }

    /// Does what is due, for good.
    pub async fn run(self: Rc<Self>) {
        loop {
            let wait = self.swarm.borrow().next_wake() - self.now();
            tokio::select! {
                biased;
                _ = tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.001, 1.0))) => {}
                _ = self.woken.notified() => {}
            }
            let out = self.swarm.borrow_mut().tick(self.now());
            self.cast(out);
            self.ask();
        }
    }

    fn cast(&self, out: Vec<(Node, waggle::Packet)>) {
        out.into_iter().for_each(|(to, p)| self.post.cast(to, &Word::Probe(p)));
    }

    fn heard(&self, from: Node, word: Word) {
        match word {
            Word::Probe(p) if p.from == from => {
                let out = self.swarm.borrow_mut().heard(self.now(), p);
                self.cast(out);
                // the holder's epoch travels in digests alone
                let digests: Vec<Digest> =
                    self.with(|s| s.member(from).map(|m| m.digest).into_iter().collect());
                for d in digests {
                    self.take(from, News { epoch: Some((d.epoch, d.holder)), ..News::default() });
                }
                self.ask();
            }
            Word::Probe(_) => {}
            Word::Want(digest) => {
                let word = self.held.borrow().beyond(&digest);
                word.into_iter().for_each(|w| self.post.send(from, &w));
            }
            Word::News { digest, state, list, .. } => {
                let state = state.map(|(stamp, bytes)| (stamp, Rc::from(bytes.into_vec())));
                let list = list.map(|(number, bytes)| (number, Rc::from(bytes.into_vec())));
                self.take(from, News { epoch: Some((digest.epoch, digest.holder)), state, list });
            }
            // ahead of the digests, so that the counters are out of reach for as short as can be
            Word::Hold { epoch } => {
                self.take(from, News { epoch: Some((epoch, from)), ..News::default() });
                self.to_host(|h| h.word(from, Word::Hold { epoch }));
            }
            other => self.to_host(|h| h.word(from, other)),
        }
    }

    fn to_host(&self, call: impl FnOnce(&dyn Host)) {
        let host = self.host.borrow().as_ref().and_then(Weak::upgrade);
        if let Some(host) = host {
            call(&*host);
        }
    }

    /// Something that this process has settled itself or heard in another way.
    pub fn tell(&self, news: News) {
        self.take(self.me, news);
    }

    /// Keeps what is newer, tells the host, and passes it on.
    fn take(&self, from: Node, news: News) {
        let Some(fresh) = self.held.borrow_mut().take(from == self.me, news) else { return };
        let digest = self.held.borrow().digest();
        self.swarm.borrow_mut().set_digest(digest);
        self.pass_on(from, &fresh);
        self.to_host(|h| h.news(fresh));
    }

    /// Its origin sends news to a few in each region, those to a few near them; digests mend the rest.
    fn pass_on(&self, from: Node, news: &News) {
        if news.state.is_none() && news.list.is_none() {
            return; // an epoch alone rides on the probes
        }
        let word = self.held.borrow().word(news);
        let mut to: Vec<Node> = Vec::new();
        {
            let mut swarm = self.swarm.borrow_mut();
            let there = |m: &Member| m.standing != Standing::Gone && m.node != from;
            let near = |m: &Member| there(m) && m.card.region == self.region;
            if from == self.me {
                let mut regions: Vec<String> = swarm.members().map(|m| m.card.region.clone()).collect();
                regions.sort();
                regions.dedup();
                for r in regions.iter().filter(|r| **r != self.region) {
                    to.extend(swarm.few(ABROAD, |m| there(m) && !m.card.core && m.card.region == *r));
                }
                to.extend(swarm.few(usize::MAX, |m| there(m) && m.card.core));
            }
            to.extend(swarm.few(NEAR, |m| near(m) && !m.card.core));
        }
        to.sort_unstable();
        to.dedup();
        to.into_iter().for_each(|n| self.post.send(n, &word));
    }

    /// Asks a peer that was heard to be ahead.
    fn ask(&self) {
        let Some((peer, digest)) = self.swarm.borrow_mut().ahead() else { return };
        let (own, now) = (self.held.borrow().digest(), self.now());
        let lacks = self.held.borrow().lacks(&digest);
        let (last, at) = self.asked.get();
        if lacks && !(last == peer && now - at < ASK_AGAIN) {
            self.asked.set((peer, now));
            self.post.send(peer, &Word::Want(own));
        }
    }
}
