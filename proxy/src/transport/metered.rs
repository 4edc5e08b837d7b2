//! A stream that counts how much of each message the kernel has accepted, to determine the outcome of a broken
//! connection: a request whose last byte was never written has not run. For the bytes that it reads, it detects when
//! a response has begun, and limits the length of the response.

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

/// The progress of the request that is being written, and of its response.
#[derive(Debug, Default)]
pub struct MessageMeter {
    /// The number of bytes matched of the end of the head; all four once the head is written.
    head_end_matched: Cell<usize>,
    body_left: Cell<usize>,
    started: Cell<bool>,
    /// How many bytes the response may still have.
    response_bytes_left: Cell<usize>,
    response_start: Cell<ResponseStart>,
    response_begun: Notify,
}

/// The progress of the start of a response: `HTTP/1.1 `, then the status, whose first digit shows whether this is an
/// informational (1xx) response that precedes the final one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ResponseStart {
    #[default]
    /// The final response has begun, or no request was sent.
    Begun,
    /// In a status line, with this number of bytes read.
    StatusLine(usize),
    /// In an informational response, with this number of bytes matched of its end.
    Informational(usize),
}

/// The offset of the status in the status line.
const STATUS_OFFSET: usize = 9;

impl MessageMeter {
    /// Starts a request with a body of `body_bytes` whose response may have at most `max_response_bytes`.
    pub fn begin(&self, body_bytes: usize, max_response_bytes: usize) {
        self.head_end_matched.set(0);
        self.body_left.set(body_bytes);
        self.started.set(false);
        self.response_bytes_left.set(max_response_bytes);
        self.response_start.set(ResponseStart::StatusLine(0));
    }
    /// Waits until the final response has begun.
    pub async fn wait_response_begun(&self) {
        while self.response_start.get() != ResponseStart::Begun {
            self.response_begun.notified().await;
        }
    }
    /// Tracks bytes that were read. Returns whether the response is within its limit.
    fn on_read(&self, bytes: &[u8]) -> bool {
        for &byte in bytes {
            self.response_start.set(match self.response_start.get() {
                ResponseStart::Begun => break,
                ResponseStart::StatusLine(STATUS_OFFSET) if byte == b'1' => ResponseStart::Informational(0),
                ResponseStart::StatusLine(STATUS_OFFSET) => {
                    self.response_begun.notify_one();
                    ResponseStart::Begun
                }
                ResponseStart::StatusLine(n) => ResponseStart::StatusLine(n + 1),
                ResponseStart::Informational(matched) if byte != HEAD_END[matched] => {
                    ResponseStart::Informational((byte == b'\r') as usize)
                }
                ResponseStart::Informational(matched) if matched + 1 < HEAD_END.len() => {
                    ResponseStart::Informational(matched + 1)
                }
                ResponseStart::Informational(_) => ResponseStart::StatusLine(0),
            });
        }
        let left = self.response_bytes_left.get().checked_sub(bytes.len());
        self.response_bytes_left.set(left.unwrap_or(0));
        left.is_some()
    }
    /// Whether any byte of the request is written.
    pub fn started(&self) -> bool {
        self.started.get()
    }
    /// Whether the server may run the request: its last byte is written, or the response has begun before that.
    pub fn may_have_run(&self) -> bool {
        self.fully_written() || self.response_start.get() == ResponseStart::Begun
    }
    /// Whether the request's last byte is written.
    pub fn fully_written(&self) -> bool {
        self.head_end_matched.get() == HEAD_END.len() && self.body_left.get() == 0
    }
    /// Tracks bytes that were written.
    fn on_written(&self, mut bytes: &[u8]) {
        self.started.set(self.started.get() || !bytes.is_empty());
        while self.head_end_matched.get() < HEAD_END.len() {
            let Some((&byte, rest)) = bytes.split_first() else { return };
            let matched = self.head_end_matched.get();
            self.head_end_matched.set(if byte == HEAD_END[matched] {
                matched + 1
            } else {
                (byte == b'\r') as usize
            });
            bytes = rest;
        }
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len()));
    }
}

/// The state of an idle connection.
#[derive(Debug, PartialEq)]
pub enum IdleState {
    /// It is open, and nothing was received.
    Clean,
    /// The peer has closed it.
    Closed,
    /// Bytes were received that belong to no response.
    StrayBytes,
}

/// Checks the kernel's receive buffer. The runtime notices received bytes only at its next turn, and a request written
/// before that would go to a closed connection, or find stray bytes before its response.
pub fn check_idle(stream: &TcpStream) -> IdleState {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) if n > 0 => IdleState::StrayBytes,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => IdleState::Clean,
        _ => IdleState::Closed,
    }
}

/// The stream; shared with the caller of [`check_idle`].
pub struct MeteredStream {
    stream: Rc<TcpStream>,
    meter: Rc<MessageMeter>,
}

impl MeteredStream {
    /// Wraps a stream, and returns the meter of what it writes and reads.
    pub fn new(stream: Rc<TcpStream>) -> (MeteredStream, Rc<MessageMeter>) {
        let meter = Rc::new(MessageMeter::default());
        (MeteredStream { stream, meter: meter.clone() }, meter)
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(_) if !self.meter.on_read(&buf.filled()[before..]) => {
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "response too long")))
                }
                result => return Poll::Ready(result.map(drop)),
            }
        }
    }
}

impl AsyncWrite for MeteredStream {
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
                    for buf in bufs {
                        let part = left.min(buf.len());
                        self.meter.on_written(&buf[..part]);
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
