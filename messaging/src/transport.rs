//! Sends and receives messages over datagrams and links.

use crate::counts::{count, Counts};
use crate::link::{self, Link};
use crate::partitions::Partitions;
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

/// The maximum length of a datagram.
const MAX_DATAGRAM: usize = 1400;
/// Maximum number of waiting messages of the process to itself.
const MAX_TO_SELF: usize = 256;
/// Maximum number of links in each direction.
const MAX_LINKS: usize = 1024;
/// After a link failed, a new one to that process is not opened for this time.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// The interval of idle checks, and the number of checks without use after which a link is closed (twice as
/// many if the other process opened it).
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
const MAX_IDLE_CHECKS: u32 = 3;
/// The pause after an error of a listening socket.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// The sockets of this process for messages to other processes of the system: datagrams and links.
/// Single-threaded, to be used within a `LocalRuntime` or a `LocalSet`. It stays open until
/// [`Transport::close`].
pub struct Transport {
    inner: Rc<Inner>,
    tasks: Vec<AbortHandle>,
}

/// The part of a transport that its tasks share.
pub(crate) struct Inner {
    pub me: Node,
    pub port: u16,
    pub counts: Counts,
    on_message: Rc<dyn Fn(Node, WireMessage)>,
    udp: UdpSocket,
    buffer: RefCell<Vec<u8>>,
    peers: RefCell<BTreeMap<Node, Peer>>,
    /// The number of accepted links, including those whose first frame has not arrived.
    accepted_links: Cell<usize>,
    to_self: RefCell<VecDeque<WireMessage>>,
    to_self_ready: Notify,
    link_tasks: RefCell<slab::Slab<AbortHandle>>,
    closed: Cell<bool>,
    pub partitions: Partitions,
}

/// The links with another process.
#[derive(Default)]
struct Peer {
    /// Opened by this process.
    outgoing: Option<Rc<Link>>,
    /// Opened by the other process.
    incoming: Option<Rc<Link>>,
    not_before: Option<Instant>,
}

/// Returns a bound, non-blocking socket.
fn bind_socket(kind: Type, protocol: Protocol, address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, kind.nonblocking().cloexec(), Some(protocol))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(address))?;
    Ok(socket)
}

impl Transport {
    /// Binds UDP and TCP sockets at this port of `me`. Received messages, and those of the process to itself,
    /// are passed to `on_message` from tasks of the transport.
    pub fn open(
        me: Node,
        port: u16,
        on_message: Rc<dyn Fn(Node, WireMessage)>,
    ) -> eyre::Result<Rc<Transport>> {
        let address = SocketAddr::from((Ipv4Addr::from(me), port));
        let udp = bind_socket(Type::DGRAM, Protocol::UDP, address)
            .wrap_err_with(|| format!("binding the UDP socket {address}"))?;
        let tcp = bind_socket(Type::STREAM, Protocol::TCP, address)
            .wrap_err_with(|| format!("binding the TCP socket {address}"))?;
        tcp.listen(256).wrap_err_with(|| format!("listening at {address}"))?;
        let listener = TcpListener::from_std(tcp.into())?;
        let inner = Rc::new(Inner {
            me,
            port,
            counts: Counts::default(),
            on_message,
            udp: UdpSocket::from_std(udp.into())?,
            buffer: RefCell::default(),
            peers: RefCell::default(),
            accepted_links: Cell::new(0),
            to_self: RefCell::default(),
            to_self_ready: Notify::new(),
            link_tasks: RefCell::default(),
            closed: Cell::new(false),
            partitions: Partitions::from_env(),
        });
        let tasks = vec![
            spawn_local(inner.clone().receive_datagrams()).abort_handle(),
            spawn_local(inner.clone().accept_links(listener)).abort_handle(),
            spawn_local(inner.clone().deliver_to_self()).abort_handle(),
            spawn_local(inner.clone().close_idle_links()).abort_handle(),
        ];
        Ok(Rc::new(Transport { inner, tasks }))
    }

    /// Sends a message as a datagram, which may get lost; one of more than 1400 bytes is dropped.
    pub fn send_datagram(&self, to: Node, message: &WireMessage) {
        let inner = &self.inner;
        if to == inner.me {
            return inner.send_to_self(message);
        }
        let mut buffer = inner.buffer.borrow_mut();
        buffer.clear();
        let is_open = !inner.closed.get() && !inner.partitions.separates(inner.me, to);
        let is_ready = is_open && encode(message, &mut buffer).is_ok() && buffer.len() <= MAX_DATAGRAM;
        let address = SockAddr::from(SocketAddrV4::new(Ipv4Addr::from(to), inner.port));
        // Sent by a direct system call: the runtime would first wait for the socket to become writable.
        if is_ready && SockRef::from(&inner.udp).send_to(&buffer, &address).is_ok() {
            count(&inner.counts.datagrams, 1);
            count(&inner.counts.bytes[message.kind()], buffer.len());
        } else {
            count(&inner.counts.dropped, 1);
        }
    }

    /// Sends a message over a link, in order after all messages sent before, unless the link fails.
    pub fn send(&self, to: Node, message: &WireMessage) {
        if to == self.inner.me {
            return self.inner.send_to_self(message);
        }
        let counts = &self.inner.counts;
        match self.inner.link_to(to).and_then(|link| link.enqueue(message)) {
            Some(bytes) => {
                count(&counts.sent, 1);
                count(&counts.bytes[message.kind()], bytes);
            }
            None => count(&counts.dropped, 1),
        }
    }

    /// Returns the counters.
    pub fn counts(&self) -> &Counts {
        &self.inner.counts
    }

    /// Returns the bytes that wait for links or are being written.
    pub fn pending(&self) -> usize {
        let peers = self.inner.peers.borrow();
        peers.values().flat_map(|p| p.outgoing.iter().chain(&p.incoming)).map(|link| link.pending()).sum()
    }

    /// Ends all links and tasks; nothing is sent or received afterwards.
    pub fn close(&self) {
        self.inner.closed.set(true);
        self.tasks.iter().for_each(AbortHandle::abort);
        self.inner.link_tasks.borrow_mut().drain().for_each(|task| task.abort());
        self.inner.peers.borrow_mut().clear();
    }
}

impl Inner {
    /// Enqueues a message of the process to itself.
    fn send_to_self(&self, message: &WireMessage) {
        let mut to_self = self.to_self.borrow_mut();
        if to_self.len() >= MAX_TO_SELF || self.closed.get() {
            return count(&self.counts.dropped, 1);
        }
        to_self.push_back(message.clone());
        self.to_self_ready.notify_one();
    }

    async fn deliver_to_self(self: Rc<Self>) {
        loop {
            self.to_self_ready.notified().await;
            // Messages sent meanwhile are delivered in the next turn.
            let messages = std::mem::take(&mut *self.to_self.borrow_mut());
            for message in messages {
                count(&self.counts.received, 1);
                (self.on_message)(self.me, message);
            }
        }
    }

    async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            match self.udp.recv_from(&mut buffer).await {
                Ok((len, SocketAddr::V4(from))) if from.port() == self.port && len <= MAX_DATAGRAM => {
                    let from = Node::from(*from.ip());
                    if !self.partitions.separates(self.me, from) {
                        self.receive(from, &buffer[..len]);
                    }
                }
                Ok(_) => self.count_unreadable(),
                Err(e) => {
                    tracing::debug!("receiving a datagram failed: {e}");
                    tokio::time::sleep(ERROR_PAUSE).await;
                }
            }
        }
    }

    async fn accept_links(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) if self.accepted_links.get() < MAX_LINKS => {
                    self.accepted_links.set(self.accepted_links.get() + 1);
                    let transport = self.clone();
                    self.spawn(async move {
                        link::accept(transport.clone(), stream, from).await;
                        transport.accepted_links.set(transport.accepted_links.get() - 1);
                    });
                }
                Ok(_) => self.count_unreadable(),
                Err(e) => {
                    tracing::debug!("accepting a link failed: {e}");
                    tokio::time::sleep(ERROR_PAUSE).await;
                }
            }
        }
    }

    /// Runs the task of a link, and registers it so that it ends with the transport.
    fn spawn(self: &Rc<Self>, task: impl std::future::Future<Output = ()> + 'static) {
        let mut tasks = self.link_tasks.borrow_mut();
        let entry = tasks.vacant_entry();
        let (key, transport) = (entry.key(), self.clone());
        let task = spawn_local(async move {
            task.await;
            transport.link_tasks.borrow_mut().try_remove(key);
        });
        entry.insert(task.abort_handle());
    }

    /// Handles the bytes of a message from another process.
    pub fn receive(&self, from: Node, bytes: &[u8]) {
        match decode::<WireMessage>(bytes) {
            Ok(WireMessage::Probe(packet)) if packet.from != from => self.count_unreadable(),
            Ok(message) if from != self.me => {
                count(&self.counts.received, 1);
                (self.on_message)(from, message);
            }
            Ok(_) => self.count_unreadable(),
            Err(e) => {
                tracing::debug!("undecodable message from {}: {e}", IpAddr::from(Ipv4Addr::from(from)));
                self.count_unreadable();
            }
        }
    }

    /// Counts something received that could not be decoded or came from a wrong address.
    pub fn count_unreadable(&self) {
        count(&self.counts.unreadable, 1);
    }

    /// Returns the link to a process, and opens one if there is none.
    fn link_to(self: &Rc<Self>, to: Node) -> Option<Rc<Link>> {
        let mut peers = self.peers.borrow_mut();
        if let Some(link) = peers.get(&to).and_then(|p| p.outgoing.as_ref().or(p.incoming.as_ref())) {
            return Some(link.clone());
        }
        if to == 0 || self.closed.get() || (peers.len() >= MAX_LINKS && !peers.contains_key(&to)) {
            return None;
        }
        let peer = peers.entry(to).or_default();
        let link = Link::new(to);
        link.enqueue_hello(self.me);
        peer.outgoing = Some(link.clone());
        let delay =
            peer.not_before.take().map_or(Duration::ZERO, |t| t.saturating_duration_since(Instant::now()));
        drop(peers);
        self.spawn(link::open(self.clone(), link.clone(), delay));
        Some(link)
    }

    /// Registers a link that the other process opened, so that answers go back over it.
    pub fn register_incoming(&self, link: &Rc<Link>) {
        self.peers.borrow_mut().entry(link.to).or_default().incoming = Some(link.clone());
    }

    /// Removes a link, so that no more messages are enqueued in it.
    pub fn unregister(&self, link: &Rc<Link>) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&link.to) {
            peer.outgoing.take_if(|l| Rc::ptr_eq(l, link));
            peer.incoming.take_if(|l| Rc::ptr_eq(l, link));
        }
    }

    /// Handles the end of a link with this number of frames unsent.
    pub fn link_ended(&self, link: &Rc<Link>, unsent_frames: usize, failed: bool) {
        self.unregister(link);
        count(&self.counts.dropped, unsent_frames);
        if let Some(peer) = self.peers.borrow_mut().get_mut(&link.to).filter(|_| failed) {
            peer.not_before = Some(Instant::now() + RECONNECT_DELAY);
        }
    }

    /// Closes links that were not used for some time.
    async fn close_idle_links(self: Rc<Self>) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            let now = Instant::now();
            self.peers.borrow_mut().retain(|_, peer| {
                let must_wait = peer.not_before.is_some_and(|t| t > now);
                let close_if_idle = |link: &mut Rc<Link>, max_checks: u32| {
                    let idle_checks = if link.used.take() { 0 } else { link.idle_checks.get() + 1 };
                    link.idle_checks.set(idle_checks);
                    if idle_checks >= max_checks {
                        link.close();
                    }
                    idle_checks >= max_checks
                };
                peer.outgoing.take_if(|link| close_if_idle(link, MAX_IDLE_CHECKS));
                peer.incoming.take_if(|link| close_if_idle(link, 2 * MAX_IDLE_CHECKS));
                must_wait || peer.outgoing.is_some() || peer.incoming.is_some()
            });
        }
    }
}
