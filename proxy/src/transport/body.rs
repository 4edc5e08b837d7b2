//! Bodies as they are read, and the memory that they may hold in sum.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// It has more bytes than it may.
    TooLong,
    /// Its framing is wrong, or who sends it has left.
    Broken,
    /// There is no room for it now.
    NoRoom,
}

/// Reads a body of `largest` bytes at most. One that tells ahead that it is longer is not read at all.
pub async fn whole(body: Incoming, largest: usize) -> Result<Bytes, Unread> {
    whole_counted(body, largest, |_| true).await
}

/// The same; `room` is told the bytes of each piece as it comes, and says whether there is room for it.
pub async fn whole_counted(
    body: Incoming,
    largest: usize,
    mut room: impl FnMut(usize) -> bool,
) -> Result<Bytes, Unread> {
    if body.size_hint().lower() > largest as u64 {
        return Err(Unread::TooLong);
    }
    let told = body.size_hint().exact().unwrap_or(0) as usize;
    let (mut body, mut read) = (Limited::new(body, largest), BytesMut::with_capacity(told));
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) if e.is::<LengthLimitError>() => return Err(Unread::TooLong),
            Err(_) => return Err(Unread::Broken),
        };
        let Ok(piece) = frame.into_data() else { continue };
        if !room(piece.len()) {
            return Err(Unread::NoRoom);
        }
        read.extend_from_slice(&piece);
    }
    Ok(read.freeze())
}

/// Memory for bodies, taken and given back.
pub struct Memory {
    all: usize,
    left: AtomicUsize,
    freed: Notify,
}

impl Memory {
    /// So many bytes.
    pub fn of(bytes: usize) -> Arc<Memory> {
        Arc::new(Memory { all: bytes, left: AtomicUsize::new(bytes), freed: Notify::new() })
    }

    /// Nothing yet; see [`Taken::grow`].
    pub fn none(self: &Arc<Memory>) -> Taken {
        Taken { memory: self.clone(), bytes: 0 }
    }

    /// Takes so many bytes, if they are left.
    pub fn take(self: &Arc<Memory>, bytes: usize) -> Option<Taken> {
        let mut taken = self.none();
        taken.grow(bytes).then_some(taken)
    }

    /// Takes so many bytes, or all there are if that is less, once they are left.
    pub async fn wait(self: &Arc<Memory>, bytes: usize) -> Taken {
        loop {
            let freed = self.freed.notified();
            if let Some(taken) = self.take(bytes.min(self.all)) {
                return taken;
            }
            freed.await;
        }
    }
}

/// What was taken; given back when dropped.
pub struct Taken {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Taken {
    /// Takes so many bytes more, if they are left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let less = |left: usize| left.checked_sub(bytes);
        let enough = self.memory.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok();
        self.bytes += if enough { bytes } else { 0 };
        enough
    }

    /// The same body, which gives the memory back once it is dropped.
    pub fn hold(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Held { body, _taken: self })
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        // who waits is not to be woken by its own vain try
        if self.bytes > 0 {
            self.memory.left.fetch_add(self.bytes, Ordering::Relaxed);
            self.memory.freed.notify_waiters();
        }
    }
}

struct Held {
    body: Bytes,
    _taken: Taken,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
