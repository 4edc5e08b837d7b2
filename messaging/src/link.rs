//! A link to another process: its send queue, and the tasks that read and write it.

use crate::frame;
use crate::transport::Inner;
use crate::{Node, WireMessage};
use bytes::BytesMut;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Maximum number of frames that wait in a link, without updates, and of bytes.
const MAX_FRAMES: usize = 256;
const MAX_BYTES: usize = 8 << 20;
/// Updates wait in queues of their own, documents behind all other messages, until a queue has this many frames or
/// bytes. An update that finds no room is not sent: a receiver that lacks it sees that when it compares
/// digests, and fetches it.
const MAX_UPDATE_FRAMES: usize = 32;
const MAX_UPDATE_BYTES: usize = 64 << 10;
/// Buffers with a larger capacity are freed after use.
const KEPT_CAPACITY: usize = 64 << 10;
/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time that written bytes may stay unacknowledged by the other machine.
const ACK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time for the first frame to arrive, and for the other direction to end.
const HELLO_AND_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// A link to another process.
pub(crate) struct Link {
    pub to: Node,
    queue: RefCell<Queue>,
    wake: Notify,
    /// No more messages are accepted; the link ends once everything is written.
    closing: Cell<bool>,
    /// Whether something was sent or received since the last idle check.
    pub used: Cell<bool>,
    /// The number of idle checks since the last use.
    pub idle_checks: Cell<u32>,
}

/// The frames of a link that are not written yet.
#[derive(Default)]
struct Queue {
    bytes: Vec<u8>,
    /// Whether the bytes begin with the first frame of the link.
    begins_with_hello: bool,
    /// Updates by urgency: those with only a list of servers go ahead of documents.
    updates: [UpdateQueue; 2],
    /// Frames accepted and not written yet, including those being written.
    frames: usize,
    /// Bytes being written.
    writing: usize,
}

/// Updates that wait to be written.
#[derive(Default)]
struct UpdateQueue {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl UpdateQueue {
    fn is_full(&self) -> bool {
        self.frames.len() >= MAX_UPDATE_FRAMES || self.bytes >= MAX_UPDATE_BYTES
    }

    fn push(&mut self, frame: Vec<u8>) {
        self.bytes += frame.len();
        self.frames.push_back(frame);
    }

    fn pop(&mut self) -> Option<Vec<u8>> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }
}

impl Queue {
    /// Moves what is to be written next to the empty buffer, and returns the number of its frames: all messages that
    /// are no updates, behind one list of servers if any waits; other updates only where nothing else waits. On a
    /// full link other messages always wait, and a list must not wait for the end of that.
    fn take_next(&mut self, out: &mut Vec<u8>) -> usize {
        let mut frames = self.frames - self.update_totals().0;
        std::mem::swap(&mut self.bytes, out);
        let next = match out.is_empty() {
            true => self.updates.len(),
            false if std::mem::take(&mut self.begins_with_hello) => 0,
            false => 1,
        };
        if let Some(mut update) = self.updates[..next].iter_mut().find_map(UpdateQueue::pop) {
            update.append(out);
            (*out, frames) = (update, frames + 1);
        }
        self.writing = out.len();
        frames
    }

    /// Returns the number of frames and bytes of waiting updates.
    fn update_totals(&self) -> (usize, usize) {
        let lengths = self.updates.iter().map(|waiting| (waiting.frames.len(), waiting.bytes));
        lengths.fold((0, 0), |sum, waiting| (sum.0 + waiting.0, sum.1 + waiting.1))
    }
}

impl Link {
    pub fn new(to: Node) -> Rc<Link> {
        Rc::new(Link {
            to,
            queue: RefCell::default(),
            wake: Notify::new(),
            closing: Cell::new(false),
            used: Cell::new(true),
            idle_checks: Cell::new(0),
        })
    }

    /// Enqueues the first frame, which names the process that opens the link.
    pub fn enqueue_hello(&self, me: Node) {
        let queue = &mut *self.queue.borrow_mut();
        frame::append_hello(me, &mut queue.bytes);
        queue.begins_with_hello = true;
    }

    /// Enqueues a message and returns its bytes, or `None` if there is no room.
    pub fn enqueue(&self, message: &WireMessage) -> Option<usize> {
        let queue = &mut *self.queue.borrow_mut();
        let update_queue = message.update_queue();
        let has_room = match update_queue {
            None => queue.frames - queue.update_totals().0 < MAX_FRAMES,
            Some(index) => !queue.updates[index].is_full(),
        };
        if !has_room {
            return None;
        }
        let room = MAX_BYTES.saturating_sub(queue.writing + queue.update_totals().1);
        let bytes = match update_queue {
            None => {
                let before = queue.bytes.len();
                frame::append(message, &mut queue.bytes, room).then(|| queue.bytes.len() - before)
            }
            Some(index) => {
                let mut frame_bytes = Vec::new();
                let appended =
                    frame::append(message, &mut frame_bytes, room.saturating_sub(queue.bytes.len()));
                appended.then(|| {
                    let bytes = frame_bytes.len();
                    queue.updates[index].push(frame_bytes);
                    bytes
                })
            }
        }?;
        queue.frames += 1;
        self.used.set(true);
        self.wake.notify_one();
        Some(bytes)
    }

    /// Returns the bytes that wait or are being written.
    pub fn pending(&self) -> usize {
        let queue = self.queue.borrow();
        queue.bytes.len() + queue.update_totals().1 + queue.writing
    }

    /// Ends the link once everything is written.
    pub fn close(&self) {
        self.closing.set(true);
        self.wake.notify_one();
    }

    /// Returns the number of frames that were not written.
    fn unsent_frames(&self) -> usize {
        self.queue.borrow().frames
    }
}

/// Sets the options of a link's socket.
fn set_options(stream: SockRef<'_>) -> io::Result<()> {
    stream.set_tcp_nodelay(true)?;
    stream.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

/// Opens a link after `delay` and serves it until its end.
pub(crate) async fn open(transport: Rc<Inner>, link: Rc<Link>, delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let connecting = async {
        transport.partitions.wait_until_connected(transport.me, link.to).await;
        connect(&transport, link.to).await
    };
    let failed = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => {
            transport.counts.links.set(transport.counts.links.get() + 1);
            run(&transport, &link, stream, BytesMut::new()).await.is_err()
        }
        Ok(Err(e)) => {
            tracing::debug!("link to {}: {e}", Ipv4Addr::from(link.to));
            true
        }
        Err(_) => {
            tracing::debug!("link to {}: connecting timed out", Ipv4Addr::from(link.to));
            true
        }
    };
    transport.link_ended(&link, link.unsent_frames(), failed);
}

/// Connects to a process.
async fn connect(transport: &Inner, to: Node) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    set_options(SockRef::from(&socket))?;
    let me = Ipv4Addr::from(transport.me);
    if me.is_loopback() {
        // With several processes on one machine, the source address tells the other side which one this is.
        socket.bind(SocketAddr::from((me, 0)))?;
    }
    socket.connect(SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from(to), transport.port))).await
}

/// Serves a link that another process opened, until its end.
pub(crate) async fn accept(transport: Rc<Inner>, mut stream: TcpStream, from: SocketAddr) {
    let mut buf = BytesMut::with_capacity(512);
    let hello = async {
        loop {
            match frame::take_next(&mut buf) {
                Ok(Some(first_frame)) => return frame::parse_hello(&first_frame),
                Ok(None) if buf.len() > 16 => return None,
                Ok(None) => {}
                Err(_) => return None,
            }
            if stream.read_buf(&mut buf).await.ok()? == 0 {
                return None;
            }
        }
    };
    let node = timeout(HELLO_AND_CLOSE_TIMEOUT, hello).await.ok().flatten();
    let matches = |node: &Node| from.ip() == Ipv4Addr::from(*node) && *node != transport.me;
    let Some(node) = node.filter(matches) else {
        tracing::debug!("{from}: link without a valid first frame");
        transport.count_unreadable();
        return;
    };
    if set_options(SockRef::from(&stream)).is_err() {
        return;
    }
    let link = Link::new(node);
    transport.counts.links.set(transport.counts.links.get() + 1);
    transport.register_incoming(&link);
    let failed = run(&transport, &link, stream, buf).await.is_err();
    transport.link_ended(&link, link.unsent_frames(), failed);
}

/// Reads and writes until both directions have ended, or one failed.
async fn run(transport: &Inner, link: &Rc<Link>, stream: TcpStream, buf: BytesMut) -> io::Result<()> {
    let (mut reader, mut writer) = stream.into_split();
    let mut reader_task = std::pin::pin!(read(transport, link, &mut reader, buf));
    let mut writer_task = std::pin::pin!(write(transport, link, &mut writer));
    let finished = tokio::select! {
        result = &mut reader_task => result.map(|_| true),
        result = &mut writer_task => result.map(|_| false),
    };
    // No more messages are accepted; what was enqueued or sent before is still written and read.
    transport.unregister(link);
    link.close();
    match finished {
        Ok(true) => timeout(HELLO_AND_CLOSE_TIMEOUT, writer_task).await?,
        Ok(false) => timeout(HELLO_AND_CLOSE_TIMEOUT, reader_task).await?,
        Err(e) => Err(e),
    }
}

/// Passes received messages to the transport until the other side ends its direction.
async fn read(
    transport: &Inner,
    link: &Link,
    reader: &mut OwnedReadHalf,
    mut buf: BytesMut,
) -> io::Result<()> {
    loop {
        loop {
            let Ok(frame) = frame::take_next(&mut buf) else {
                transport.count_unreadable();
                return Err(io::ErrorKind::InvalidData.into());
            };
            let Some(frame) = frame else { break };
            link.used.set(true);
            transport.partitions.wait_until_connected(transport.me, link.to).await;
            transport.receive(link.to, &frame);
        }
        if buf.is_empty() && buf.capacity() > KEPT_CAPACITY {
            buf = BytesMut::new();
        }
        // The capacity is bounded: a length alone must not make this process allocate much.
        buf.reserve(frame::missing_bytes(&buf).clamp(2048, KEPT_CAPACITY));
        if reader.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
    }
}

/// Writes what is enqueued until the link is closed.
async fn write(transport: &Inner, link: &Link, writer: &mut OwnedWriteHalf) -> io::Result<()> {
    let mut out = Vec::new();
    loop {
        let frames = link.queue.borrow_mut().take_next(&mut out);
        if out.is_empty() {
            if link.closing.get() {
                return writer.shutdown().await;
            }
            link.wake.notified().await;
            continue;
        }
        timeout(ACK_TIMEOUT, transport.partitions.wait_until_connected(transport.me, link.to)).await?;
        writer.write_all(&out).await?;
        let mut queue = link.queue.borrow_mut();
        queue.writing = 0;
        queue.frames -= frames;
        out.clear();
        if out.capacity() > KEPT_CAPACITY {
            out = Vec::new();
        }
    }
}
