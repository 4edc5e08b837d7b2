//! A hollow gateway: the real membership, news, tables and counter calls over real sockets, and no traffic.

use crate::gauge::unix;
use crate::size::Size;
use crate::tally::{Kind, Line, Sums, With};
use hdrhistogram::Histogram;
use lupinledge_messaging::{decode, parts, units, Post, Word};
use lupinledge_nectar::own::Own;
use lupinledge_propolis::{Document, Tables};
use lupinledge_waggle::{Card, News, Node, Patches, Said, Sends, Settings, Source, Spread};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Wake-ups are moved forward only by more than so many seconds.
const SOON: f64 = 0.002;
/// Calls to the counters whose answer is waited for.
const WAITING_MOST: usize = 4096;
/// A name of use is kept so long, seconds.
const LIFE: f64 = 57_600.0;

/// A call without its answer yet: its tag, since when, and the sums that it told by name.
type Asked = (u64, Instant, Vec<(u64, f64)>);

/// See the module.
pub struct Hollow {
    me: Node,
    region: String,
    began: Instant,
    post: Rc<Post>,
    spread: RefCell<Spread>,
    due: Cell<f64>,
    woken: Notify,
    tables: RefCell<Option<Rc<Tables>>>,
    size: Size,
    own: RefCell<Own>,
    holder: Cell<(u64, Node)>,
    asked: RefCell<VecDeque<Asked>>,
    given: Cell<u64>,
    /// Only some add up what they say and hear: it costs time that is measured too.
    pub sums: Option<RefCell<Sums>>,
    /// Index of the newest document with its tables built, and when that was (seconds since 1970).
    pub at: Cell<(u64, f64)>,
    /// The number of the newest list.
    pub list: Cell<(u64, u64)>,
    /// Microseconds from a counter call to its answer.
    pub trips: RefCell<Histogram<u32>>,
    pub unanswered: Cell<u64>,
}

impl Hollow {
    /// The nth gateway at this address; all processes use the same port.
    pub fn open(
        size: &Size,
        nth: usize,
        ip: Ipv4Addr,
        port: u16,
        seeds: Vec<Node>,
        tallies: bool,
    ) -> eyre::Result<Rc<Hollow>> {
        let (me, (zone, region)) = (Node::from(ip), size.place(nth));
        let front = Some((ip, 80).into());
        let (core, control, ready, leaving, rules, load) = (false, None, true, false, None, 0);
        let card = Card { core, region: region.clone(), zone, front, control, ready, leaving, rules, load };
        let life = (unix() * 1e3) as u64;
        let set = Settings::new(me, life, card, seeds, life ^ u64::from(me) << 32);
        let this: Rc<RefCell<Weak<Hollow>>> = Rc::default();
        let to = this.clone();
        let on_word = Rc::new(move |from, word| {
            let hollow = to.borrow().upgrade();
            hollow.into_iter().for_each(|h| h.heard(from, &word));
        });
        let hollow = Rc::new(Hollow {
            me,
            region,
            began: Instant::now(),
            post: Post::open(me, port, on_word)?,
            spread: RefCell::new(Spread::new(0.0, set, true)),
            due: Cell::new(0.0),
            woken: Notify::new(),
            tables: RefCell::default(),
            size: size.clone(),
            own: RefCell::default(),
            holder: Cell::default(),
            asked: RefCell::default(),
            given: Cell::new(0),
            sums: tallies.then(RefCell::default),
            at: Cell::default(),
            list: Cell::default(),
            trips: RefCell::new(Histogram::new_with_bounds(1, 60_000_000, 2)?),
            unanswered: Cell::new(0),
        });
        *this.borrow_mut() = Rc::downgrade(&hollow);
        Ok(hollow)
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// How many others it knows.
    pub fn known(&self) -> usize {
        self.spread.borrow().swarm().members().count()
    }

    /// Does what is due, for good.
    pub async fn run(self: Rc<Self>) {
        loop {
            let wait = (self.due.get() - self.now()).clamp(0.001, 1.0);
            tokio::select! {
                biased;
                _ = tokio::time::sleep(Duration::from_secs_f64(wait)) => {}
                _ = self.woken.notified() => {}
            }
            let out = self.spread.borrow_mut().tick(self.now());
            self.due.set(self.spread.borrow().next_wake());
            self.send(out);
        }
    }

    /// So many requests a second, each a word to the holder as a forager tells it: a charge and a lease.
    pub async fn count(self: Rc<Self>, per_s: f64) {
        let mut rng = fastrand::Rng::with_seed(u64::from(self.me));
        let gap = || Duration::from_secs_f64(1.0 / per_s);
        let mut next = tokio::time::Instant::now() + gap().mul_f64(rng.f64());
        loop {
            tokio::time::sleep_until(next).await;
            next += gap().mul_f64(-(1.0 - rng.f64()).ln());
            let Some(tables) = self.tables.borrow().clone().filter(|t| !t.tenants().is_empty()) else {
                continue;
            };
            let customer = tables.tenants()[rng.usize(..tables.tenants().len())].customer;
            let (now, mut own) = (self.now(), self.own.borrow_mut());
            let names = [customer << 24, customer << 24 | 1];
            let sums = names.into_iter().filter_map(|name| Some((name, own.add(now, name, 1.0, LIFE)?)));
            let sums: Vec<(u64, f64)> = sums.collect();
            drop(own);
            let tag = self.given.get() + 1;
            self.given.set(tag);
            let calls = sums.iter().map(|(name, sum)| (*name, parts(*sum), LIFE as u16)).collect();
            let mut asked = self.asked.borrow_mut();
            if asked.len() >= WAITING_MOST {
                asked.pop_front();
                self.unanswered.set(self.unanswered.get() + 1);
            }
            asked.push_back((tag, Instant::now(), sums.to_vec()));
            drop(asked);
            self.say(self.holder.get().1, &Word::Count { tag, incarnation: 1, calls });
        }
    }

    fn line(&self, node: Node, out: bool, kind: Kind) -> Line {
        let spread = self.spread.borrow();
        let member = spread.swarm().member(node);
        let with = match member {
            _ if node == spread.held().epoch().1 => With::Holder,
            Some(m) if !m.card.core => With::Edge,
            _ => With::Core,
        };
        let far = member.is_none_or(|m| m.card.region != self.region);
        Line { out, kind, with, far }
    }

    fn note(&self, node: Node, out: bool, word: &Word) {
        if let Some(sums) = &self.sums {
            sums.borrow_mut().add(self.line(node, out, Kind::of(word)), word);
        }
    }

    fn say(&self, to: Node, word: &Word) {
        self.note(to, true, word);
        match Kind::of(word).datagram() {
            true => self.post.cast(to, word),
            false => self.post.send(to, word),
        }
    }

    fn send(&self, out: Sends) {
        let bytes = |b: Rc<[u8]>| ByteBuf::from(b.to_vec());
        for (to, said) in out {
            let word = match said {
                Said::Probe(packet) => Word::Probe(packet),
                Said::Want(digest) => Word::Want(digest),
                Said::News { digest, state, list } => Word::News {
                    digest,
                    state: state.map(|(n, b)| (n, bytes(b))),
                    list: list.map(|(n, b)| (n, bytes(b))),
                },
                Said::Patches { digest, patches: Patches { state, list } } => {
                    let (state, list) = (state.map(|(n, p)| (n, p.into())), list.map(|(n, p)| (n, p.into())));
                    Word::Patches { digest, state, list }
                }
            };
            self.say(to, &word);
        }
    }

    fn heard(&self, from: Node, word: &Word) {
        self.note(from, false, word);
        let bytes = |b: &ByteBuf| Rc::from(b.as_slice());
        let said = match word {
            Word::Probe(packet) => Said::Probe(packet.clone()),
            Word::Want(digest) => Said::Want(*digest),
            Word::News { digest, state, list } => Said::News {
                digest: *digest,
                state: state.as_ref().map(|(n, b)| (*n, bytes(b))),
                list: list.as_ref().map(|(n, b)| (*n, bytes(b))),
            },
            Word::Patches { digest, state, list } => {
                let (state, list) = (state.clone(), list.clone());
                let (state, list) = (state.map(|(n, p)| (n, p.into())), list.map(|(n, p)| (n, p.into())));
                Said::Patches { digest: *digest, patches: Patches { state, list } }
            }
            Word::Hold { epoch } => {
                let news = News { epoch: Some((*epoch, from)), ..News::default() };
                let turn = self.spread.borrow_mut().tell(news, Source::Settled);
                self.done(turn.0, turn.1);
                return self.tell();
            }
            Word::Counted { tag, totals, .. } => return self.counted(*tag, totals),
            _ => return,
        };
        let turn = self.spread.borrow_mut().heard(self.now(), from, said);
        self.done(turn.0, turn.1);
    }

    fn done(&self, fresh: Option<News>, out: Sends) {
        let next = self.spread.borrow().next_wake();
        if next < self.due.replace(next) - SOON {
            self.woken.notify_one();
        }
        self.send(out);
        let Some(fresh) = fresh else { return };
        if let Some(holder) = fresh.epoch.filter(|h| self.holder.replace(*h) != *h) {
            self.holder.set(holder);
            self.tell();
        }
        self.list.set(fresh.list.map_or(self.list.get(), |l| l.0));
        let Some(((_, index), bytes)) = fresh.state.filter(|s| !s.1.is_empty()) else { return };
        let document = decode::<Document>(&bytes).ok();
        if let Some(tables) = document.and_then(|d| Tables::new(&d, &self.size.places()).ok()) {
            self.spread.borrow_mut().set_print(index, tables.print().folded());
            *self.tables.borrow_mut() = Some(Rc::new(tables));
            self.at.set((index, unix()));
        }
    }

    /// To a new holder, what the one before was told.
    fn tell(&self) {
        let told = self.own.borrow().told(self.now());
        let told = told.into_iter().map(|t| (t.name, t.sum, t.within, t.total, t.life as f32)).collect();
        let (epoch, holder) = self.holder.get();
        self.say(holder, &Word::Told { incarnation: 1, told, epoch });
    }

    fn counted(&self, tag: u64, totals: &[i64]) {
        let mut asked = self.asked.borrow_mut();
        let Some((_, sent, calls)) = asked.iter().position(|a| a.0 == tag).and_then(|i| asked.remove(i))
        else {
            return;
        };
        let mut own = self.own.borrow_mut();
        calls.iter().zip(totals).for_each(|((name, sum), total)| own.total(*name, *sum, units(*total)));
        self.trips.borrow_mut().saturating_record(sent.elapsed().as_micros() as u64);
    }
}
