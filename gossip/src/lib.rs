//! Runs the gossip of a process with the others: it finds them by probes, sends updates on to a few of them,
//! and fetches what it missed when digests differ. The gateway and the control plane gossip in the same way;
//! how they handle what they receive is theirs ([`Host`]).
//!
//! The decisions are made in `lupinledge-membership`; this crate adds the clock and the transport.

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

/// How a program handles what it receives.
pub trait Host {
    /// Called when a newer update is held.
    fn on_update(&self, update: Update);
    /// Called for any message that does not belong to the gossip.
    fn on_message(&self, from: Node, message: WireMessage);
    /// Called for each message from a process, before it is handled.
    fn on_contact(&self, _from: Node) {}
}

/// The next tick is moved forward only by more than this many seconds.
const MIN_ADVANCE: f64 = 0.002;

/// The gossip of one process.
pub struct Gossip {
    me: Node,
    started: Instant,
    transport: Rc<Transport>,
    disseminator: RefCell<Disseminator>,
    host: RefCell<Option<Weak<dyn Host>>>,
    /// The time of the next call of [`Disseminator::tick`].
    next_tick: Cell<f64>,
    tick_changed: Notify,
}

/// Returns the id of the process at an address.
pub fn node_of(ip: Ipv4Addr) -> Node {
    u32::from(ip)
}

/// Returns the ids of the seeds.
pub fn seeds_of(settings: &Settings) -> Vec<Node> {
    let ipv4 = |a: &SocketAddr| match a {
        SocketAddr::V4(a) => Some(node_of(*a.ip())),
        SocketAddr::V6(_) => None,
    };
    let mut seeds: Vec<Node> = settings.seeds.iter().filter_map(ipv4).collect();
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}

impl Gossip {
    /// Binds the sockets for messages between the processes of the system. With `takes_state`, documents are
    /// accepted from others; otherwise they come only by [`Gossip::publish`]. Fails if the port is in use.
    pub fn open(settings: &Settings, card: Card, takes_state: bool) -> eyre::Result<Rc<Gossip>> {
        let me = node_of(settings.ip);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut membership_settings = membership::Settings::new(
            me,
            unix_time.as_millis() as u64,
            card,
            seeds_of(settings),
            unix_time.as_nanos() as u64 ^ u64::from(me) << 32,
        );
        membership_settings.max_packet_bytes = 1100;
        let weak_gossip: Rc<RefCell<Weak<Gossip>>> = Rc::default();
        let receiver = weak_gossip.clone();
        let on_message = Rc::new(move |from, message| {
            if let Some(gossip) = receiver.borrow().upgrade() {
                gossip.receive(from, message);
            }
        });
        let transport = Transport::open(me, settings.port_range.0, on_message)?;
        let gossip = Rc::new(Gossip {
            me,
            started: Instant::now(),
            transport,
            disseminator: RefCell::new(Disseminator::new(0.0, membership_settings, takes_state)),
            host: RefCell::new(None),
            next_tick: Cell::new(0.0),
            tick_changed: Notify::new(),
        });
        *weak_gossip.borrow_mut() = Rc::downgrade(&gossip);
        Ok(gossip)
    }

    /// Sets the host that is called from now on. Updates received before are held, but were not passed to a
    /// host.
    pub fn set_host(&self, host: Weak<dyn Host>) {
        *self.host.borrow_mut() = Some(host);
    }

    /// Returns the id of this process.
    pub fn me(&self) -> Node {
        self.me
    }

    /// Returns the seconds of the steady clock since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Returns the transport, for the host's own messages.
    pub fn post(&self) -> &Rc<Transport> {
        &self.transport
    }

    /// Calls a function with the view of the other processes.
    pub fn with_membership<T>(&self, inspect: impl FnOnce(&Membership) -> T) -> T {
        inspect(self.disseminator.borrow().membership())
    }

    /// Calls a function with the updates held.
    pub fn with_store<T>(&self, inspect: impl FnOnce(&UpdateStore) -> T) -> T {
        inspect(self.disseminator.borrow().store())
    }

    /// Returns the bytes of documents and lists sent so far.
    pub fn update_bytes_sent(&self) -> u64 {
        self.disseminator.borrow().sent_bytes()
    }

    /// Writes the metrics of the messages between processes.
    pub fn write_metrics(&self, sink: &mut metrics::MetricSink) {
        let counts = self.transport.counts();
        sink("messages.sent", counts.sent.get());
        sink("messages.cast", counts.datagrams.get());
        sink("messages.heard", counts.received.get());
        sink("messages.dropped", counts.dropped.get());
        sink("messages.unreadable", counts.unreadable.get());
        sink("messages.links", counts.links.get());
        sink("messages.waiting_bytes", self.transport.pending() as u64);
        sink("news.sent_bytes", self.update_bytes_sent());
    }

    /// Changes what this process announces about itself.
    pub fn set_card(&self, change: impl FnOnce(&mut Card)) {
        if self.disseminator.borrow_mut().set_card(change) {
            self.tick_changed.notify_one();
        }
    }

    /// Sets the fingerprint of the rules in force for the document of this index. Others compare it with
    /// their own.
    pub fn set_fingerprint(&self, index: u64, fingerprint: u32) {
        self.disseminator.borrow_mut().set_fingerprint(index, fingerprint);
    }

    /// Removes the document and asks the others for it.
    pub fn refetch_state(&self) {
        let out = self.disseminator.borrow_mut().refetch_state();
        self.send(out);
    }

    /// Applies changed settings: only their seeds. The sockets and the own card stay as they are.
    pub fn apply_settings(&self, settings: &Settings) {
        self.disseminator.borrow_mut().set_seeds(seeds_of(settings));
    }

    /// Replaces the seeds, which are asked for members while they are not in the table.
    pub fn set_seeds(&self, nodes: Vec<Node>) {
        self.disseminator.borrow_mut().set_seeds(nodes);
    }

    /// Returns the largest number of edge nodes that were present at the same time during the last `span`
    /// seconds.
    pub fn max_edge_count(&self, span: f64) -> usize {
        self.with_membership(|m| m.max_edge_count(self.now(), span))
    }

    /// Does the periodic work; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let delay = self.next_tick.get() - self.now();
            tokio::select! {
                biased;
                _ = tokio::time::sleep(Duration::from_secs_f64(delay.clamp(0.001, 1.0))) => {}
                _ = self.tick_changed.notified() => {}
            }
            let out = self.disseminator.borrow_mut().tick(self.now());
            self.next_tick.set(self.disseminator.borrow().next_wake());
            self.send(out);
        }
    }

    /// Handles a received message: gossip messages here, all others in the host.
    fn receive(&self, from: Node, message: WireMessage) {
        self.with_host(|host| host.on_contact(from));
        let bytes = |b: ByteBuf| Rc::from(b.into_vec());
        let gossip_message = match message {
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
            // Published before the digests report it, to shorten the time in which the counters are not
            // reachable.
            WireMessage::NewHolder { epoch } => {
                self.publish(Update { epoch: Some((epoch, from)), ..Update::default() }, Source::Settled);
                return self.with_host(|host| host.on_message(from, WireMessage::NewHolder { epoch }));
            }
            other => return self.with_host(|host| host.on_message(from, other)),
        };
        let effects = self.disseminator.borrow_mut().receive(self.now(), from, gossip_message);
        self.finish(effects);
    }

    /// Calls the host, if one is set.
    fn with_host(&self, call: impl FnOnce(&dyn Host)) {
        let host = self.host.borrow().as_ref().and_then(Weak::upgrade);
        if let Some(host) = host {
            call(&*host);
        }
    }

    /// Handles an update that this process made itself or received in another way. It is passed to the host
    /// like any other update.
    pub fn publish(&self, update: Update, from: Source) {
        let effects = self.disseminator.borrow_mut().publish(update, from);
        self.finish(effects);
    }

    /// Reschedules the next tick, sends the messages and passes a new update to the host.
    fn finish(&self, (new_update, out): Effects) {
        let next = self.disseminator.borrow().next_wake();
        if next < self.next_tick.replace(next) - MIN_ADVANCE {
            self.tick_changed.notify_one();
        }
        self.send(out);
        new_update.into_iter().for_each(|new_update| self.with_host(|host| host.on_update(new_update)));
    }

    /// Sends probes as datagrams and all other messages over links.
    fn send(&self, out: Outgoing) {
        for (to, message) in out {
            match message {
                GossipMessage::Probe(packet) => self.transport.send_datagram(to, &WireMessage::Probe(packet)),
                GossipMessage::Fetch(digest) => self.transport.send(to, &WireMessage::Fetch(digest)),
                GossipMessage::Update { digest, state, list } => {
                    let bytes = |b: Rc<[u8]>| ByteBuf::from(b.to_vec());
                    let (state, list) = (state.map(|(n, b)| (n, bytes(b))), list.map(|(n, b)| (n, bytes(b))));
                    self.transport.send(to, &WireMessage::Update { digest, state, list });
                }
                GossipMessage::Patches { digest, patches: Patches { state, list } } => {
                    let (state, list) = (state.map(|(n, p)| (n, p.into())), list.map(|(n, p)| (n, p.into())));
                    self.transport.send(to, &WireMessage::Patches { digest, state, list });
                }
            }
        }
    }
}
