//! The raw bytes of a client's connection, followed as far as framing goes: hyper takes a `Content-Length` beside
//! a `Transfer-Encoding` out before anyone sees it, and a req so framed may hide another one in its body.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// So much of a line is kept: enough for the two names and any length that fits a number.
const LINE: usize = 96;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum At {
    /// Before a req's first byte.
    #[default]
    Between,
    Head,
    Body(u64),
    /// In a body without a length told ahead: its connection is not used again.
    Coded,
}

/// Where a connection's bytes stand.
#[derive(Debug, Default)]
pub struct RequestFraming {
    at: Cell<At>,
    line: RefCell<Vec<u8>>,
    /// The last byte read of an open head.
    last: Cell<u8>,
    lines: Cell<u32>,
    length: Cell<Option<u64>>,
    coded: Cell<bool>,
    begun: Cell<Option<Instant>>,
    heads: Cell<u64>,
    fault: Cell<Option<&'static str>>,
    wrote: Cell<Option<Instant>>,
}

impl RequestFraming {
    /// When a byte was written last: until an answer is written its connection is in use.
    pub fn wrote(&self) -> Option<Instant> {
        self.wrote.get()
    }
    /// Since when a head is open.
    pub fn begun(&self) -> Option<Instant> {
        self.begun.get()
    }
    /// What makes all that comes on the connection doubtful.
    pub fn fault(&self) -> Option<&'static str> {
        self.fault.get()
    }
    /// The connection can't be used after the req that it has now.
    pub fn last(&self) -> bool {
        self.at.get() == At::Coded || self.fault.get().is_some()
    }

    fn written(&self, done: &Poll<io::Result<usize>>) {
        if matches!(done, Poll::Ready(Ok(1..))) {
            self.wrote.set(Some(Instant::now()));
        }
    }

    fn read(&self, mut bytes: &[u8]) {
        while let Some(&first) = bytes.first() {
            match self.at.get() {
                At::Coded => return,
                At::Body(left) => {
                    let n = left.min(bytes.len() as u64);
                    bytes = &bytes[n as usize..];
                    self.at.set(if n < left { At::Body(left - n) } else { At::Between });
                }
                At::Between if first == b'\r' || first == b'\n' => bytes = &bytes[1..],
                At::Between => {
                    // a body that goes on past its length, and no further req
                    if self.heads.get() > 0 && !first.is_ascii_uppercase() {
                        self.fault.set(Some("Content-Length: not the body's"));
                    }
                    self.begun.set(Some(Instant::now()));
                    self.at.set(At::Head);
                }
                At::Head => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let (part, rest) = bytes.split_at(end.map_or(bytes.len(), |n| n + 1));
                    let mut line = self.line.borrow_mut();
                    let room = LINE - line.len();
                    line.extend_from_slice(&part[..part.len().min(room)]);
                    if end.is_some() {
                        let before = part.iter().rev().nth(1).copied().unwrap_or(self.last.get());
                        if before != b'\r' {
                            self.fault.set(Some("head: a line that ends in LF alone"));
                        }
                        self.line(&line);
                        line.clear();
                    }
                    self.last.set(part[part.len() - 1]);
                    bytes = rest;
                }
            }
        }
    }

    fn line(&self, line: &[u8]) {
        self.lines.set(self.lines.get() + 1);
        if line.trim_ascii().is_empty() {
            let (length, coded) = (self.length.take().unwrap_or(0), self.coded.take());
            self.at.set(match coded {
                true => At::Coded,
                false if length > 0 => At::Body(length),
                false => At::Between,
            });
            self.begun.set(None);
            self.heads.set(self.heads.get() + 1);
            self.lines.set(0);
            return;
        }
        let Some(colon) = line.iter().position(|b| *b == b':').filter(|_| self.lines.get() > 1) else {
            return;
        };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.coded.set(true);
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // one that can't be read is refused by hyper
            self.length.set(std::str::from_utf8(value).ok().and_then(|v| v.parse().ok()).or(Some(0)));
        }
        if self.coded.get() && self.length.get().is_some() {
            self.fault.set(Some("Content-Length: beside a Transfer-Encoding"));
        }
    }
}

/// A stream that is followed.
pub struct Followed<S> {
    stream: S,
    heads: Rc<RequestFraming>,
}

impl<S> Followed<S> {
    /// What `heads` say is to be looked at by another; one of its own for each connection.
    pub fn new(stream: S, heads: Rc<RequestFraming>) -> Followed<S> {
        Followed { stream, heads }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Followed<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.heads.read(&buf.filled()[before..]);
        Poll::Ready(done)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Followed<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.heads.written(&done);
        done
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.heads.written(&done);
        done
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
