//! A stream that counts what the machine has taken of each message written, so that the outcome of a broken
//! connection can be told: a req whose last byte was never written has never run.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// How far the message now being written has come.
#[derive(Debug, Default)]
pub struct Meter {
    /// Bytes of the head's end seen so far; all four once the head is written.
    head_end: Cell<usize>,
    body_left: Cell<usize>,
    started: Cell<bool>,
}

impl Meter {
    /// A message with a body of that many bytes comes next.
    pub fn begin(&self, body: usize) {
        self.head_end.set(0);
        self.body_left.set(body);
        self.started.set(false);
    }
    pub fn started(&self) -> bool {
        self.started.get()
    }
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

pub struct Counted<S> {
    stream: S,
    meter: Rc<Meter>,
}

impl<S> Counted<S> {
    pub fn new(stream: S) -> (Counted<S>, Rc<Meter>) {
        let meter = Rc::new(Meter::default());
        (Counted { stream, meter: meter.clone() }, meter)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = done {
            self.meter.wrote(&buf[..n]);
        }
        done
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(mut n)) = done {
            for b in bufs {
                let part = n.min(b.len());
                self.meter.wrote(&b[..part]);
                n -= part;
            }
        }
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
mod tests {
    use super::*;

    /// A head's end split over writes, or with a line end before it, is found; the body is counted after it.
    #[test]
    fn whole_only_with_the_last_byte() {
        let m = Meter::default();
        m.begin(3);
        assert!(!m.started());
        for part in ["POST / HTTP/1.1\r", "\na: b\r\n\r", "\nxy"] {
            m.wrote(part.as_bytes());
            assert!(m.started() && !m.whole(), "after {part:?}");
        }
        m.wrote(b"z");
        assert!(m.whole());
        m.begin(0);
        m.wrote(b"GET / HTTP/1.1\r\n\r\r\n\r");
        assert!(!m.whole());
        m.wrote(b"\n");
        assert!(m.whole());
    }
}
