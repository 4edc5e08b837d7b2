//! One link: what waits to be written, and the task that reads and writes it.

use crate::frame;
use crate::post::Inner;
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

/// So many frames and bytes wait at most.
const FRAMES: usize = 256;
const BYTES: usize = 8 << 20;
/// News wait in rows of their own, behind all other words, until a row has so many frames or bytes. What finds
/// no room is not sent: who lacks it hears so by digests and asks again.
const NEWS_FRAMES: usize = 32;
const NEWS_BYTES: usize = 64 << 10;
/// Buffers larger than this are given back after use.
const LARGE: usize = 64 << 10;
/// A connect may take so long.
const CONNECT: Duration = Duration::from_secs(1);
/// Written bytes may stay without an answer of the other machine for so long.
const UNANSWERED: Duration = Duration::from_millis(1500);
/// The first frame may take so long, and the end of the other direction.
const LINGER: Duration = Duration::from_secs(2);

/// One link.
pub(crate) struct Line {
    pub to: Node,
    queue: RefCell<Queue>,
    wake: Notify,
    /// Nothing more is put in; it ends once all is written.
    ending: Cell<bool>,
    /// Something went over it since the last look.
    pub busy: Cell<bool>,
    /// Looks without anything.
    pub idle: Cell<u32>,
}

#[derive(Default)]
struct Queue {
    bytes: Vec<u8>,
    /// News by urgency: what brings a list of servers alone goes ahead of documents.
    news: [Row; 2],
    /// Frames put in and not written yet, also those being written.
    frames: usize,
    /// Bytes being written.
    out: usize,
}

/// News that wait.
#[derive(Default)]
struct Row {
    frames: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Row {
    fn full(&self) -> bool {
        self.frames.len() >= NEWS_FRAMES || self.bytes >= NEWS_BYTES
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
    /// Frames and bytes of news that wait.
    fn news(&self) -> (usize, usize) {
        let rows = self.news.iter().map(|row| (row.frames.len(), row.bytes));
        rows.fold((0, 0), |sum, row| (sum.0 + row.0, sum.1 + row.1))
    }
}

impl Line {
    pub fn new(to: Node) -> Rc<Line> {
        Rc::new(Line {
            to,
            queue: RefCell::default(),
            wake: Notify::new(),
            ending: Cell::new(false),
            busy: Cell::new(true),
            idle: Cell::new(0),
        })
    }

    /// Says who opens the link, before anything else.
    pub fn greet(&self, me: Node) {
        frame::put_hello(me, &mut self.queue.borrow_mut().bytes);
    }

    /// Puts a word in, and returns its bytes; none if there is no room.
    pub fn put(&self, word: &WireMessage) -> Option<usize> {
        let queue = &mut *self.queue.borrow_mut();
        let row = word.news_row();
        if queue.frames >= FRAMES || row.is_some_and(|row| queue.news[row].full()) {
            return None;
        }
        let room = BYTES.saturating_sub(queue.out + queue.news().1);
        let bytes = match row {
            None => {
                let before = queue.bytes.len();
                frame::put(word, &mut queue.bytes, room).then(|| queue.bytes.len() - before)
            }
            Some(row) => {
                let mut piece = Vec::new();
                let put = frame::put(word, &mut piece, room.saturating_sub(queue.bytes.len()));
                put.then(|| {
                    let bytes = piece.len();
                    queue.news[row].push(piece);
                    bytes
                })
            }
        }?;
        queue.frames += 1;
        self.busy.set(true);
        self.wake.notify_one();
        Some(bytes)
    }

    /// Bytes that wait or are being written.
    pub fn pending(&self) -> usize {
        let queue = self.queue.borrow();
        queue.bytes.len() + queue.news().1 + queue.out
    }

    /// Ends the link once all is written.
    pub fn end(&self) {
        self.ending.set(true);
        self.wake.notify_one();
    }

    /// Frames that were not written.
    fn left(&self) -> usize {
        self.queue.borrow().frames
    }
}

/// Options of each link's socket.
fn tune(stream: SockRef<'_>) -> io::Result<()> {
    stream.set_tcp_nodelay(true)?;
    stream.set_tcp_user_timeout(Some(UNANSWERED))
}

/// Opens a link and serves it until its end.
pub(crate) async fn dial(post: Rc<Inner>, line: Rc<Line>, wait: Duration) {
    if !wait.is_zero() {
        tokio::time::sleep(wait).await;
    }
    let opening = async {
        post.cuts.mended(post.me, line.to).await;
        connect(&post, line.to).await
    };
    let failed = match timeout(CONNECT, opening).await {
        Ok(Ok(stream)) => {
            post.counts.links.set(post.counts.links.get() + 1);
            run(&post, &line, stream, BytesMut::new()).await.is_err()
        }
        Ok(Err(e)) => {
            tracing::debug!("link to {}: {e}", Ipv4Addr::from(line.to));
            true
        }
        Err(_) => {
            tracing::debug!("link to {}: no answer", Ipv4Addr::from(line.to));
            true
        }
    };
    post.ended(&line, line.left(), failed);
}

async fn connect(post: &Inner, to: Node) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    tune(SockRef::from(&socket))?;
    let me = Ipv4Addr::from(post.me);
    if me.is_loopback() {
        // several processes of one machine: the other side is to see which one this is
        socket.bind(SocketAddr::from((me, 0)))?;
    }
    socket.connect(SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::from(to), post.port))).await
}

/// Serves a link that another process opened, until its end.
pub(crate) async fn accept(post: Rc<Inner>, mut stream: TcpStream, from: SocketAddr) {
    let mut buf = BytesMut::with_capacity(512);
    let greeted = async {
        loop {
            match frame::next(&mut buf) {
                Ok(Some(first)) => return frame::hello(&first),
                Ok(None) if buf.len() > 16 => return None,
                Ok(None) => {}
                Err(_) => return None,
            }
            if stream.read_buf(&mut buf).await.ok()? == 0 {
                return None;
            }
        }
    };
    let node = timeout(LINGER, greeted).await.ok().flatten();
    let matches = |node: &Node| from.ip() == Ipv4Addr::from(*node) && *node != post.me;
    let Some(node) = node.filter(matches) else {
        tracing::debug!("{from}: a link without its greeting");
        post.unreadable();
        return;
    };
    if tune(SockRef::from(&stream)).is_err() {
        return;
    }
    let line = Line::new(node);
    post.counts.links.set(post.counts.links.get() + 1);
    post.taken(&line);
    let failed = run(&post, &line, stream, buf).await.is_err();
    post.ended(&line, line.left(), failed);
}

/// Reads and writes until both directions have ended, or one failed.
async fn run(post: &Inner, line: &Rc<Line>, stream: TcpStream, buf: BytesMut) -> io::Result<()> {
    let (mut r, mut w) = stream.into_split();
    let mut reading = std::pin::pin!(read(post, line, &mut r, buf));
    let mut writing = std::pin::pin!(write(post, line, &mut w));
    let first = tokio::select! {
        done = &mut reading => done.map(|_| true),
        done = &mut writing => done.map(|_| false),
    };
    // nothing more goes into it; what came before its end is still read and written
    post.retire(line);
    line.end();
    match first {
        Ok(true) => timeout(LINGER, writing).await?,
        Ok(false) => timeout(LINGER, reading).await?,
        Err(e) => Err(e),
    }
}

async fn read(post: &Inner, line: &Line, r: &mut OwnedReadHalf, mut buf: BytesMut) -> io::Result<()> {
    loop {
        loop {
            let Ok(frame) = frame::next(&mut buf) else {
                post.unreadable();
                return Err(io::ErrorKind::InvalidData.into());
            };
            let Some(frame) = frame else { break };
            line.busy.set(true);
            post.cuts.mended(post.me, line.to).await;
            post.word(line.to, &frame);
        }
        if buf.is_empty() && buf.capacity() > LARGE {
            buf = BytesMut::new();
        }
        // never by what a length claims alone
        buf.reserve(frame::missing(&buf).clamp(2048, LARGE));
        if r.read_buf(&mut buf).await? == 0 {
            return Ok(());
        }
    }
}

async fn write(post: &Inner, line: &Line, w: &mut OwnedWriteHalf) -> io::Result<()> {
    let mut out = Vec::new();
    loop {
        let frames = {
            let queue = &mut *line.queue.borrow_mut();
            std::mem::swap(&mut queue.bytes, &mut out);
            let mut frames = queue.frames - queue.news().0;
            if out.is_empty() {
                if let Some(piece) = queue.news.iter_mut().find_map(Row::pop) {
                    (out, frames) = (piece, 1);
                }
            }
            queue.out = out.len();
            frames
        };
        if out.is_empty() {
            if line.ending.get() {
                return w.shutdown().await;
            }
            line.wake.notified().await;
            continue;
        }
        timeout(UNANSWERED, post.cuts.mended(post.me, line.to)).await?;
        w.write_all(&out).await?;
        let mut queue = line.queue.borrow_mut();
        queue.out = 0;
        queue.frames -= frames;
        out.clear();
        if out.capacity() > LARGE {
            out = Vec::new();
        }
    }
}
