//! Drives what every process of the system does with the others: it knows them by probes, passes news on to a
//! few, and mends gaps by comparing digests. Both programs gossip the same way; what they do with what they hear is
//! theirs ([`Host`]).
//!
//! The decisions are in `lupinledge-membership`; here are the clock and the links.

pub mod cli;
pub mod log;
pub mod metrics;
pub mod settings;

use lupinledge_config::Settings;
use lupinledge_membership::{
    self as membership, Card, Disseminator, Effects, GossipMessage, Membership, Outgoing, Patches,
};
pub use lupinledge_membership::{Source, Update, UpdateStore};
use lupinledge_messaging::{Node, Transport, WireMessage};
use serde_bytes::ByteBuf;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// What a program does with what it hears.
pub trait Host {
    /// Something newer than what was held is held now.
    fn on_update(&self, news: Update);
    /// Another word, not one of the gossip.
    fn on_message(&self, from: Node, word: WireMessage);
    /// Any word came from that process; called before anything else is made of it.
    fn on_contact(&self, _from: Node) {}
}

/// Wake-ups are moved forward only by more than so many seconds.
const SOON: f64 = 0.002;

/// One process among the others.
pub struct Gossip {
    me: Node,
    began: Instant,
    post: Rc<Transport>,
    spread: RefCell<Disseminator>,
    host: RefCell<Option<Weak<dyn Host>>>,
    /// When the spread is to be called next.
    due: Cell<f64>,
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

impl Gossip {
    /// Binds the sockets for words of the own kind. `takes_state`: documents come from others by news; else only by
    /// [`Gossip::tell`]. Fails if the port is taken.
    pub fn open(settings: &Settings, card: Card, takes_state: bool) -> eyre::Result<Rc<Gossip>> {
        let me = node_of(settings.ip);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut swarm = membership::Settings::new(
            me,
            unix.as_millis() as u64,
            card,
            seeds_of(settings),
            unix.as_nanos() as u64 ^ u64::from(me) << 32,
        );
        swarm.max_packet_bytes = 1100;
        let me_again: Rc<RefCell<Weak<Gossip>>> = Rc::default();
        let to = me_again.clone();
        let on_word = Rc::new(move |from, word| {
            if let Some(gossip) = to.borrow().upgrade() {
                gossip.heard(from, word);
            }
        });
        let post = Transport::open(me, settings.port_range.0, on_word)?;
        let gossip = Rc::new(Gossip {
            me,
            began: Instant::now(),
            post,
            spread: RefCell::new(Disseminator::new(0.0, swarm, takes_state)),
            host: RefCell::new(None),
            due: Cell::new(0.0),
            woken: Notify::new(),
        });
        *me_again.borrow_mut() = Rc::downgrade(&gossip);
        Ok(gossip)
    }

    /// Who hears from now on. What came before is held, but was told to nobody.
    pub fn set_host(&self, host: Weak<dyn Host>) {
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
    pub fn post(&self) -> &Rc<Transport> {
        &self.post
    }

    /// Looks at the others.
    pub fn with_membership<T>(&self, look: impl FnOnce(&Membership) -> T) -> T {
        look(self.spread.borrow().membership())
    }

    /// What is held now.
    pub fn with_store<T>(&self, look: impl FnOnce(&UpdateStore) -> T) -> T {
        look(self.spread.borrow().store())
    }

    /// Bytes of documents and lists sent so far.
    pub fn update_bytes_sent(&self) -> u64 {
        self.spread.borrow().sent_bytes()
    }

    /// Figures of the messages between own processes.
    pub fn write_metrics(&self, line: &mut metrics::MetricSink) {
        let counts = self.post.counts();
        line("messages.sent", counts.sent.get());
        line("messages.cast", counts.datagrams.get());
        line("messages.heard", counts.received.get());
        line("messages.dropped", counts.dropped.get());
        line("messages.unreadable", counts.unreadable.get());
        line("messages.links", counts.links.get());
        line("messages.waiting_bytes", self.post.pending() as u64);
        line("news.sent_bytes", self.update_bytes_sent());
    }

    /// Tells of this process itself from now on.
    pub fn set_card(&self, change: impl FnOnce(&mut Card)) {
        if self.spread.borrow_mut().set_card(change) {
            self.woken.notify_one();
        }
    }

    /// What is done by the document of this index, in short: others compare it with what they would do.
    pub fn set_fingerprint(&self, index: u64, print: u32) {
        self.spread.borrow_mut().set_fingerprint(index, print);
    }

    /// Forgets the document and asks the others for it.
    pub fn refetch_state(&self) {
        let out = self.spread.borrow_mut().refetch_state();
        self.send(out);
    }

    /// Goes by other settings from here on: by their seeds. Sockets stay, and so does what is told of this process.
    pub fn apply_settings(&self, settings: &Settings) {
        self.spread.borrow_mut().set_seeds(seeds_of(settings));
    }

    /// Looks for these, too, from here on while they are not known to be there.
    pub fn set_seeds(&self, nodes: Vec<Node>) {
        self.spread.borrow_mut().set_seeds(nodes);
    }

    /// Largest number of edge nodes that were there at once over the last so many seconds.
    pub fn max_edge_count(&self, span: f64) -> usize {
        self.with_membership(|s| s.max_edge_count(self.now(), span))
    }

    /// Does what is due, for good.
    pub async fn run(self: Rc<Self>) {
        loop {
            let wait = self.due.get() - self.now();
            tokio::select! {
                biased;
                _ = tokio::time::sleep(Duration::from_secs_f64(wait.clamp(0.001, 1.0))) => {}
                _ = self.woken.notified() => {}
            }
            let out = self.spread.borrow_mut().tick(self.now());
            self.due.set(self.spread.borrow().next_wake());
            self.send(out);
        }
    }

    fn heard(&self, from: Node, word: WireMessage) {
        self.to_host(|h| h.on_contact(from));
        let bytes = |b: ByteBuf| Rc::from(b.into_vec());
        let said = match word {
            WireMessage::Probe(packet) => GossipMessage::Probe(packet),
            WireMessage::Fetch(digest) => GossipMessage::Fetch(digest),
            WireMessage::Update { digest, state, list } => GossipMessage::Update {
                digest,
                state: state.map(|(n, b)| (n, bytes(b))),
                list: list.map(|(n, b)| (n, bytes(b))),
            },
            WireMessage::Patches { digest, state, list } => {
                let (state, list) = (state.map(|(n, p)| (n, p.into())), list.map(|(n, p)| (n, p.into())));
                GossipMessage::Patches { digest, patches: Patches { state, list } }
            }
            // ahead of the digests, so that the counters are out of reach for as short as can be
            WireMessage::NewHolder { epoch } => {
                self.publish(Update { epoch: Some((epoch, from)), ..Update::default() }, Source::Settled);
                return self.to_host(|h| h.on_message(from, WireMessage::NewHolder { epoch }));
            }
            other => return self.to_host(|h| h.on_message(from, other)),
        };
        let turn = self.spread.borrow_mut().receive(self.now(), from, said);
        self.done(turn);
    }

    fn to_host(&self, call: impl FnOnce(&dyn Host)) {
        let host = self.host.borrow().as_ref().and_then(Weak::upgrade);
        if let Some(host) = host {
            call(&*host);
        }
    }

    /// Something that this process has settled itself or heard in another way. Its host hears of it like of any
    /// other news.
    pub fn publish(&self, news: Update, from: Source) {
        let turn = self.spread.borrow_mut().publish(news, from);
        self.done(turn);
    }

    fn done(&self, (fresh, out): Effects) {
        let next = self.spread.borrow().next_wake();
        if next < self.due.replace(next) - SOON {
            self.woken.notify_one();
        }
        self.send(out);
        fresh.into_iter().for_each(|fresh| self.to_host(|h| h.on_update(fresh)));
    }

    fn send(&self, out: Outgoing) {
        for (to, said) in out {
            match said {
                GossipMessage::Probe(packet) => self.post.send_datagram(to, &WireMessage::Probe(packet)),
                GossipMessage::Fetch(digest) => self.post.send(to, &WireMessage::Fetch(digest)),
                GossipMessage::Update { digest, state, list } => {
                    let bytes = |b: Rc<[u8]>| ByteBuf::from(b.to_vec());
                    let (state, list) = (state.map(|(n, b)| (n, bytes(b))), list.map(|(n, b)| (n, bytes(b))));
                    self.post.send(to, &WireMessage::Update { digest, state, list });
                }
                GossipMessage::Patches { digest, patches: Patches { state, list } } => {
                    let (state, list) = (state.map(|(n, p)| (n, p.into())), list.map(|(n, p)| (n, p.into())));
                    self.post.send(to, &WireMessage::Patches { digest, state, list });
                }
            }
        }
    }
}
