//! Tracks the request framing in the raw bytes of a client's connection. Hyper removes a `Content-Length` next to a
//! `Transfer-Encoding` before the service sees the request, and a request framed in this way may smuggle another one
//! in its body.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

/// The bytes of a line that are kept: enough for the two header names and any length that fits a number.
const MAX_LINE_BYTES: usize = 96;

/// The part of a request that the next byte belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Position {
    /// Before the first byte of a request.
    #[default]
    Between,
    Head,
    /// In a body with this number of bytes left.
    Body(u64),
    /// In a body with a `Transfer-Encoding`, whose length is unknown: its connection is not used again.
    EncodedBody,
}

/// The framing of the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestFraming {
    position: Cell<Position>,
    line: RefCell<Vec<u8>>,
    /// The last byte read of an incomplete head.
    last_byte: Cell<u8>,
    line_count: Cell<u32>,
    length: Cell<Option<u64>>,
    encoded: Cell<bool>,
    head_started: Cell<Option<Instant>>,
    complete_heads: Cell<u64>,
    fault: Cell<Option<&'static str>>,
    last_written: Cell<Option<Instant>>,
}

impl RequestFraming {
    /// When a byte was last written. The connection counts as used until a response is written.
    pub fn last_written(&self) -> Option<Instant> {
        self.last_written.get()
    }
    /// When the first byte of the current, incomplete head was received.
    pub fn head_started(&self) -> Option<Instant> {
        self.head_started.get()
    }
    /// The framing error, if any, after which no bytes on the connection can be trusted.
    pub fn fault(&self) -> Option<&'static str> {
        self.fault.get()
    }
    /// Whether the connection must be closed after the current request.
    pub fn must_close(&self) -> bool {
        self.position.get() == Position::EncodedBody || self.fault.get().is_some()
    }

    fn on_written(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.last_written.set(Some(Instant::now()));
        }
    }

    fn on_read(&self, mut bytes: &[u8]) {
        while let Some(&first) = bytes.first() {
            match self.position.get() {
                Position::EncodedBody => return,
                Position::Body(left) => {
                    let n = left.min(bytes.len() as u64);
                    bytes = &bytes[n as usize..];
                    self.position.set(if n < left { Position::Body(left - n) } else { Position::Between });
                }
                Position::Between if first == b'\r' || first == b'\n' => bytes = &bytes[1..],
                Position::Between => {
                    // the body continues past its length, and this is not another request
                    if self.complete_heads.get() > 0 && !first.is_ascii_uppercase() {
                        self.fault.set(Some("Content-Length: not the body's"));
                    }
                    self.head_started.set(Some(Instant::now()));
                    self.position.set(Position::Head);
                }
                Position::Head => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let (part, rest) = bytes.split_at(end.map_or(bytes.len(), |n| n + 1));
                    let mut line = self.line.borrow_mut();
                    let room = MAX_LINE_BYTES - line.len();
                    line.extend_from_slice(&part[..part.len().min(room)]);
                    if end.is_some() {
                        let before = part.iter().rev().nth(1).copied().unwrap_or(self.last_byte.get());
                        if before != b'\r' {
                            self.fault.set(Some("head: a line that ends in LF alone"));
                        }
                        self.on_line(&line);
                        line.clear();
                    }
                    self.last_byte.set(part[part.len() - 1]);
                    bytes = rest;
                }
            }
        }
    }

    fn on_line(&self, line: &[u8]) {
        self.line_count.set(self.line_count.get() + 1);
        if line.trim_ascii().is_empty() {
            let (length, encoded) = (self.length.take().unwrap_or(0), self.encoded.take());
            self.position.set(match encoded {
                true => Position::EncodedBody,
                false if length > 0 => Position::Body(length),
                false => Position::Between,
            });
            self.head_started.set(None);
            self.complete_heads.set(self.complete_heads.get() + 1);
            self.line_count.set(0);
            return;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':').filter(|_| self.line_count.get() > 1)
        else {
            return;
        };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.encoded.set(true);
        } else if name.eq_ignore_ascii_case(b"content-length") {
            // hyper refuses a length that can't be parsed
            self.length.set(std::str::from_utf8(value).ok().and_then(|v| v.parse().ok()).or(Some(0)));
        }
        if self.encoded.get() && self.length.get().is_some() {
            self.fault.set(Some("Content-Length: beside a Transfer-Encoding"));
        }
    }
}

/// A stream that tracks the framing of what it reads.
pub struct FramingStream<S> {
    stream: S,
    framing: Rc<RequestFraming>,
}

impl<S> FramingStream<S> {
    /// Wraps a stream. `framing` is shared with the reader of its results, and must be used for one connection only.
    pub fn new(stream: S, framing: Rc<RequestFraming>) -> FramingStream<S> {
        FramingStream { stream, framing }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FramingStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        self.framing.on_read(&buf.filled()[before..]);
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FramingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.framing.on_written(&result);
        result
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.framing.on_written(&result);
        result
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
