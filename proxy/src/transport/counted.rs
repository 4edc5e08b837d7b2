//! A stream that counts what the machine has taken of each message written, so that the outcome of a broken
//! connection can be told: a req whose last byte was never written has never run. Of what it brings it tells
//! when an answer has begun, and bounds it.

use socket2::SockRef;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// How far the message now being written has come.
#[derive(Debug, Default)]
pub struct Meter {
    /// Bytes of the head's end seen so far; all four once the head is written.
    head_end: Cell<usize>,
    body_left: Cell<usize>,
    started: Cell<bool>,
    /// Bytes that the answer may still have.
    room: Cell<usize>,
    front: Cell<Front>,
    answering: Notify,
}

/// How far an answer's front has come: `HTTP/1.1 `, then the status, whose first digit says whether this is only
/// told ahead of the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Front {
    #[default]
    Off,
    Line(usize),
    /// In a head told ahead; so many bytes of its end seen.
    Ahead(usize),
}

/// Where the status stands in an answer's first line.
const STATUS: usize = 9;

impl Meter {
    /// A message with a body of that many bytes comes next, and an answer of so many at most.
    pub fn begin(&self, body: usize, answer: usize) {
        self.head_end.set(0);
        self.body_left.set(body);
        self.started.set(false);
        self.room.set(answer);
        self.front.set(Front::Line(0));
    }
    /// Until the answer itself has begun.
    pub async fn answering(&self) {
        while self.front.get() != Front::Off {
            self.answering.notified().await;
        }
    }
    /// Takes note of what was read; whether there was room for it.
    fn read(&self, bytes: &[u8]) -> bool {
        for &b in bytes {
            self.front.set(match self.front.get() {
                Front::Off => break,
                Front::Line(STATUS) if b == b'1' => Front::Ahead(0),
                Front::Line(STATUS) => {
                    self.answering.notify_one();
                    Front::Off
                }
                Front::Line(n) => Front::Line(n + 1),
                Front::Ahead(seen) if b != HEAD_END[seen] => Front::Ahead((b == b'\r') as usize),
                Front::Ahead(seen) if seen + 1 < HEAD_END.len() => Front::Ahead(seen + 1),
                Front::Ahead(_) => Front::Line(0),
            });
        }
        let left = self.room.get().checked_sub(bytes.len());
        self.room.set(left.unwrap_or(0));
        left.is_some()
    }
    /// Whether any byte of the message is written.
    pub fn started(&self) -> bool {
        self.started.get()
    }
    /// Whether the srv may run it: it has the last byte, or has begun to answer before.
    pub fn may_run(&self) -> bool {
        self.whole() || self.front.get() == Front::Off
    }
    /// Whether its last byte is.
    pub fn whole(&self) -> bool {
        self.head_end.get() == HEAD_END.len() && self.body_left.get() == 0
    }
    fn wrote(&self, mut bytes: &[u8]) {
        self.started.set(self.started.get() || !bytes.is_empty());
        while self.head_end.get() < HEAD_END.len() {
            let Some((&b, rest)) = bytes.split_first() else { return };
            let seen = self.head_end.get();
            self.head_end.set(if b == HEAD_END[seen] { seen + 1 } else { (b == b'\r') as usize });
            bytes = rest;
        }
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len()));
    }
}

/// What an idle connection holds.
#[derive(Debug, PartialEq)]
pub enum Rest {
    Quiet,
    /// The other side has closed it.
    Over,
    /// Bytes that belong to no message asked for.
    Stray,
}

/// Looks into the machine's buffer: the runtime hears of what came there only at its next turn, and a message
/// written meanwhile would meet a connection that is closed, or find another's bytes before its answer.
pub fn at_rest(stream: &TcpStream) -> Rest {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) if n > 0 => Rest::Stray,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Rest::Quiet,
        _ => Rest::Over,
    }
}

/// The stream; shared with who looks into its buffer, see [`at_rest`].
pub struct Counted {
    stream: Rc<TcpStream>,
    meter: Rc<Meter>,
}

impl Counted {
    /// With the meter of what it writes and reads.
    pub fn new(stream: Rc<TcpStream>) -> (Counted, Rc<Meter>) {
        let meter = Rc::new(Meter::default());
        (Counted { stream, meter: meter.clone() }, meter)
    }
}

impl AsyncRead for Counted {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(_) if !self.meter.read(&buf.filled()[before..]) => {
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "too long an answer")))
                }
                end => return Poll::Ready(end.map(drop)),
            }
        }
    }
}

impl AsyncWrite for Counted {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write_vectored(bufs) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
                Ok(n) => {
                    let mut left = n;
                    for b in bufs {
                        let part = left.min(b.len());
                        self.meter.wrote(&b[..part]);
                        left -= part;
                    }
                    return Poll::Ready(Ok(n));
                }
            }
        }
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
