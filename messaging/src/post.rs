//! The way out and in for words.

use crate::counts::{add, Counts};
use crate::cuts::Cuts;
use crate::link::{self, Line};
use crate::{decode, encode, Node, WireMessage};
use eyre::WrapErr;
use socket2::{Domain, Protocol, SockAddr, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

/// The longest datagram.
const DATAGRAM: usize = 1400;
/// So many words of the process to itself wait at most.
const SELF: usize = 256;
/// So many links at most, each way.
const LINKS: usize = 1024;
/// After a link failed, the next one to that process is not opened for so long.
const BACKOFF: Duration = Duration::from_millis(100);
/// Idle links are looked for so often, and end after so many looks (twice as many if another one opened it).
const LOOK: Duration = Duration::from_secs(10);
const LOOKS: u32 = 3;
/// A pause after an error of a listening socket.
const PAUSE: Duration = Duration::from_millis(50);

/// The sockets of this process for its own kind: datagrams and links. Single-threaded; to be used within a
/// `LocalRuntime` or a `LocalSet`. It stays until [`Post::close`].
pub struct Transport {
    inner: Rc<Inner>,
    tasks: Vec<AbortHandle>,
}

pub(crate) struct Inner {
    pub me: Node,
    pub port: u16,
    pub counts: Counts,
    on_word: Rc<dyn Fn(Node, WireMessage)>,
    udp: UdpSocket,
    buf: RefCell<Vec<u8>>,
    peers: RefCell<BTreeMap<Node, Peer>>,
    /// Links taken, also those without a greeting yet.
    taken: Cell<usize>,
    own: RefCell<VecDeque<WireMessage>>,
    own_wake: Notify,
    lines: RefCell<slab::Slab<AbortHandle>>,
    closed: Cell<bool>,
    pub cuts: Cuts,
}

/// The links with another process.
#[derive(Default)]
struct Peer {
    /// Opened by this process.
    out: Option<Rc<Line>>,
    /// Opened by the other.
    back: Option<Rc<Line>>,
    not_before: Option<Instant>,
}

/// A bound, non-blocking socket.
fn bound(kind: Type, protocol: Protocol, at: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, kind.nonblocking().cloexec(), Some(protocol))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(at))?;
    Ok(socket)
}

impl Transport {
    /// Binds UDP and TCP at this port of `me`. Words are handed to `on_word` from tasks of the post, also
    /// those that the process sends to itself.
    pub fn open(me: Node, port: u16, on_word: Rc<dyn Fn(Node, WireMessage)>) -> eyre::Result<Rc<Transport>> {
        let at = SocketAddr::from((Ipv4Addr::from(me), port));
        let udp = bound(Type::DGRAM, Protocol::UDP, at).wrap_err_with(|| format!("datagrams at {at}"))?;
        let tcp = bound(Type::STREAM, Protocol::TCP, at).wrap_err_with(|| format!("links at {at}"))?;
        tcp.listen(256).wrap_err_with(|| format!("links at {at}"))?;
        let listener = TcpListener::from_std(tcp.into())?;
        let inner = Rc::new(Inner {
            me,
            port,
            counts: Counts::default(),
            on_word,
            udp: UdpSocket::from_std(udp.into())?,
            buf: RefCell::default(),
            peers: RefCell::default(),
            taken: Cell::new(0),
            own: RefCell::default(),
            own_wake: Notify::new(),
            lines: RefCell::default(),
            closed: Cell::new(false),
            cuts: Cuts::told(),
        });
        let tasks = vec![
            spawn_local(inner.clone().datagrams()).abort_handle(),
            spawn_local(inner.clone().links(listener)).abort_handle(),
            spawn_local(inner.clone().to_self()).abort_handle(),
            spawn_local(inner.clone().look()).abort_handle(),
        ];
        Ok(Rc::new(Transport { inner, tasks }))
    }

    /// Sends a datagram, which may get lost; more than 1400 bytes are dropped.
    pub fn send_datagram(&self, to: Node, word: &WireMessage) {
        let inner = &self.inner;
        if to == inner.me {
            return inner.keep(word);
        }
        let mut buf = inner.buf.borrow_mut();
        buf.clear();
        let open = !inner.closed.get() && !inner.cuts.between(inner.me, to);
        let fits = open && encode(word, &mut buf).is_ok() && buf.len() <= DATAGRAM;
        let at = SockAddr::from(SocketAddrV4::new(Ipv4Addr::from(to), inner.port));
        // straight to the system: the runtime would first wait to hear that the socket takes something
        if fits && SockRef::from(&inner.udp).send_to(&buf, &at).is_ok() {
            add(&inner.counts.datagrams, 1);
            add(&inner.counts.bytes[word.kind()], buf.len());
        } else {
            add(&inner.counts.dropped, 1);
        }
    }

    /// Sends over a link, in order with all that was sent before, unless the link fails.
    pub fn send(&self, to: Node, word: &WireMessage) {
        if to == self.inner.me {
            return self.inner.keep(word);
        }
        let counts = &self.inner.counts;
        match self.inner.line(to).and_then(|line| line.put(word)) {
            Some(bytes) => {
                add(&counts.sent, 1);
                add(&counts.bytes[word.kind()], bytes);
            }
            None => add(&counts.dropped, 1),
        }
    }

    /// What happened so far.
    pub fn counts(&self) -> &Counts {
        &self.inner.counts
    }

    /// Bytes that wait for links or are being written.
    pub fn pending(&self) -> usize {
        let peers = self.inner.peers.borrow();
        peers.values().flat_map(|p| p.out.iter().chain(&p.back)).map(|line| line.pending()).sum()
    }

    /// Ends all links and tasks; nothing is sent or heard after it.
    pub fn close(&self) {
        self.inner.closed.set(true);
        self.tasks.iter().for_each(AbortHandle::abort);
        self.inner.lines.borrow_mut().drain().for_each(|line| line.abort());
        self.inner.peers.borrow_mut().clear();
    }
}

impl Inner {
    /// A word of the process to itself.
    fn keep(&self, word: &WireMessage) {
        let mut own = self.own.borrow_mut();
        if own.len() >= SELF || self.closed.get() {
            return add(&self.counts.dropped, 1);
        }
        own.push_back(word.clone());
        self.own_wake.notify_one();
    }

    async fn to_self(self: Rc<Self>) {
        loop {
            self.own_wake.notified().await;
            // what is sent meanwhile is for the next turn
            let words = std::mem::take(&mut *self.own.borrow_mut());
            for word in words {
                add(&self.counts.received, 1);
                (self.on_word)(self.me, word);
            }
        }
    }

    async fn datagrams(self: Rc<Self>) {
        let mut buf = [0; DATAGRAM + 1];
        loop {
            match self.udp.recv_from(&mut buf).await {
                Ok((len, SocketAddr::V4(from))) if from.port() == self.port && len <= DATAGRAM => {
                    let from = Node::from(*from.ip());
                    if !self.cuts.between(self.me, from) {
                        self.word(from, &buf[..len]);
                    }
                }
                Ok(_) => self.unreadable(),
                Err(e) => {
                    tracing::debug!("datagrams: {e}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn links(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) if self.taken.get() < LINKS => {
                    self.taken.set(self.taken.get() + 1);
                    let post = self.clone();
                    self.spawn(async move {
                        link::accept(post.clone(), stream, from).await;
                        post.taken.set(post.taken.get() - 1);
                    });
                }
                Ok(_) => self.unreadable(),
                Err(e) => {
                    tracing::debug!("links: {e}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Runs the task of a link, so that it ends with the post.
    fn spawn(self: &Rc<Self>, task: impl std::future::Future<Output = ()> + 'static) {
        let mut lines = self.lines.borrow_mut();
        let entry = lines.vacant_entry();
        let (key, post) = (entry.key(), self.clone());
        let task = spawn_local(async move {
            task.await;
            post.lines.borrow_mut().try_remove(key);
        });
        entry.insert(task.abort_handle());
    }

    /// What came from this process, as bytes.
    pub fn word(&self, from: Node, bytes: &[u8]) {
        match decode::<WireMessage>(bytes) {
            Ok(WireMessage::Probe(packet)) if packet.from != from => self.unreadable(),
            Ok(word) if from != self.me => {
                add(&self.counts.received, 1);
                (self.on_word)(from, word);
            }
            Ok(_) => self.unreadable(),
            Err(e) => {
                tracing::debug!("{}: {e}", IpAddr::from(Ipv4Addr::from(from)));
                self.unreadable();
            }
        }
    }

    pub fn unreadable(&self) {
        add(&self.counts.unreadable, 1);
    }

    /// The link to send over, opened if there is none.
    fn line(self: &Rc<Self>, to: Node) -> Option<Rc<Line>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(line) = peers.get(&to).and_then(|p| p.out.as_ref().or(p.back.as_ref())) {
            return Some(line.clone());
        }
        if to == 0 || self.closed.get() || (peers.len() >= LINKS && !peers.contains_key(&to)) {
            return None;
        }
        let peer = peers.entry(to).or_default();
        let line = Line::new(to);
        line.greet(self.me);
        peer.out = Some(line.clone());
        let wait =
            peer.not_before.take().map_or(Duration::ZERO, |t| t.saturating_duration_since(Instant::now()));
        drop(peers);
        self.spawn(link::dial(self.clone(), line.clone(), wait));
        Some(line)
    }

    /// The other process opened this link: answers go back over it.
    pub fn taken(&self, line: &Rc<Line>) {
        self.peers.borrow_mut().entry(line.to).or_default().back = Some(line.clone());
    }

    /// Nothing more is to be put into this link.
    pub fn retire(&self, line: &Rc<Line>) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&line.to) {
            peer.out.take_if(|l| Rc::ptr_eq(l, line));
            peer.back.take_if(|l| Rc::ptr_eq(l, line));
        }
    }

    /// The link has ended, with so many frames left in it.
    pub fn ended(&self, line: &Rc<Line>, left: usize, failed: bool) {
        self.retire(line);
        add(&self.counts.dropped, left);
        if let Some(peer) = self.peers.borrow_mut().get_mut(&line.to).filter(|_| failed) {
            peer.not_before = Some(Instant::now() + BACKOFF);
        }
    }

    /// Looks for links over which nothing went for long, and ends them.
    async fn look(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let now = Instant::now();
            self.peers.borrow_mut().retain(|_, peer| {
                let waits = peer.not_before.is_some_and(|t| t > now);
                let idle = |line: &mut Rc<Line>, looks: u32| {
                    let idle = if line.busy.take() { 0 } else { line.idle.get() + 1 };
                    line.idle.set(idle);
                    if idle >= looks {
                        line.end();
                    }
                    idle >= looks
                };
                peer.out.take_if(|line| idle(line, LOOKS));
                peer.back.take_if(|line| idle(line, 2 * LOOKS));
                waits || peer.out.is_some() || peer.back.is_some()
            });
        }
    }
}
