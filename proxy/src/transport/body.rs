//! Bodies as they are read, and the memory that they may hold in sum.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It has more bytes than it may.
    TooLong,
    /// Its framing is wrong, or who sends it has left.
    Broken,
    /// There is no room for it now.
    NoMemory,
}

/// Reads a body of `largest` bytes at most. One that tells ahead that it is longer is not read at all.
pub async fn read_body(body: Incoming, largest: usize) -> Result<Bytes, BodyError> {
    read_body_with_budget(body, largest, |_| true).await
}

/// The same; `room` is told the bytes of each piece as it comes, and says whether there is room for it.
pub async fn read_body_with_budget(
    body: Incoming,
    largest: usize,
    mut room: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > largest as u64 {
        return Err(BodyError::TooLong);
    }
    let told = body.size_hint().exact().unwrap_or(0) as usize;
    let (mut body, mut read) = (Limited::new(body, largest), BytesMut::with_capacity(told));
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) if e.is::<LengthLimitError>() => return Err(BodyError::TooLong),
            Err(_) => return Err(BodyError::Broken),
        };
        let Ok(piece) = frame.into_data() else { continue };
        if !room(piece.len()) {
            return Err(BodyError::NoMemory);
        }
        read.extend_from_slice(&piece);
    }
    Ok(read.freeze())
}

/// Memory for bodies, taken and given back.
pub struct MemoryBudget {
    all: usize,
    left: AtomicUsize,
    freed: Notify,
}

impl MemoryBudget {
    /// So many bytes.
    pub fn new(bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { all: bytes, left: AtomicUsize::new(bytes), freed: Notify::new() })
    }

    /// Nothing yet; see [`Reservation::try_grow`].
    pub fn reserve_nothing(self: &Arc<MemoryBudget>) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    /// Takes so many bytes, if they are left.
    pub fn try_reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
        let mut taken = self.reserve_nothing();
        taken.try_grow(bytes).then_some(taken)
    }

    /// Takes so many bytes, or all there are if that is less, once they are left.
    pub async fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Reservation {
        loop {
            let freed = self.freed.notified();
            if let Some(taken) = self.try_reserve(bytes.min(self.all)) {
                return taken;
            }
            freed.await;
        }
    }
}

/// What was taken; given back when dropped.
pub struct Reservation {
    memory: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Takes so many bytes more, if they are left.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let less = |left: usize| left.checked_sub(bytes);
        let enough = self.memory.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok();
        self.bytes += if enough { bytes } else { 0 };
        enough
    }

    /// The same body, which gives the memory back once it is dropped.
    pub fn attach_to(self, body: Bytes) -> Bytes {
        Bytes::from_owner(Held { body, _taken: self })
    }
}

impl Drop for Reservation {
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
    _taken: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
