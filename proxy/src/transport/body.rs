//! Reads message bodies, and limits the memory that they use in total.

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// Its framing is invalid, or the sender closed the connection.
    Broken,
    /// The memory budget has no room for it now.
    NoMemory,
}

/// Reads a body of at most `max_bytes`. Nothing is read of a body that announces a greater length.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    read_body_with_budget(body, max_bytes, |_| true).await
}

/// Like [`read_body`]; `reserve` is called with the length of each received piece, and returns whether there is memory
/// for it.
pub async fn read_body_with_budget(
    body: Incoming,
    max_bytes: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let announced = body.size_hint().exact().unwrap_or(0) as usize;
    let (mut body, mut read) = (Limited::new(body, max_bytes), BytesMut::with_capacity(announced));
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(e) if e.is::<LengthLimitError>() => return Err(BodyError::TooLong),
            Err(_) => return Err(BodyError::Broken),
        };
        let Ok(piece) = frame.into_data() else { continue };
        if !reserve(piece.len()) {
            return Err(BodyError::NoMemory);
        }
        read.extend_from_slice(&piece);
    }
    Ok(read.freeze())
}

/// A budget of memory for bodies.
pub struct MemoryBudget {
    total: usize,
    free: AtomicUsize,
    freed: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget { total: bytes, free: AtomicUsize::new(bytes), freed: Notify::new() })
    }

    /// An empty reservation, to be extended by [`Reservation::try_grow`].
    pub fn reserve_nothing(self: &Arc<MemoryBudget>) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    /// Reserves `bytes` if they are free.
    pub fn try_reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reserve_nothing();
        reservation.try_grow(bytes).then_some(reservation)
    }

    /// Waits until `bytes`, or the whole budget if it is smaller, are free, and reserves them.
    pub async fn reserve(self: &Arc<MemoryBudget>, bytes: usize) -> Reservation {
        loop {
            let freed = self.freed.notified();
            if let Some(reservation) = self.try_reserve(bytes.min(self.total)) {
                return reservation;
            }
            freed.await;
        }
    }
}

/// Reserved memory; returned to the budget when dropped.
pub struct Reservation {
    memory: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more if they are free.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let subtract = |free: usize| free.checked_sub(bytes);
        let enough = self.memory.free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract).is_ok();
        self.bytes += if enough { bytes } else { 0 };
        enough
    }

    /// Ties the reservation to a body: the memory is returned once the body is dropped.
    pub fn attach_to(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // a waiting task must not be woken by its own failed attempt
        if self.bytes > 0 {
            self.memory.free.fetch_add(self.bytes, Ordering::Relaxed);
            self.memory.freed.notify_waiters();
        }
    }
}

struct ReservedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
