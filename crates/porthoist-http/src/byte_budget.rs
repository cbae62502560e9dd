//! Counts the bytes that a process holds for its callers and bounds them.
//!
//! Request bodies may take three quarters of the bound. The last quarter is left to responses: if bodies could
//! take everything, no response could be read, and no request would end and release its body. Of the room for
//! bodies, an eighth is left to small ones, so that large bodies alone can't keep ordinary requests out.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Maximum size in bytes of a body that may use the room left to small bodies.
pub const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Error returned when bytes do not fit the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the bound of {0} bytes held for callers would be passed")]
pub struct BudgetExceeded(pub u64);

/// Bytes held for all callers of a process, and their bound.
#[derive(Debug)]
pub struct ByteBudget {
    bound: u64,
    held: AtomicU64,
    released: Notify,
}

impl ByteBudget {
    /// Creates a budget with a bound in bytes. With 0, nothing is bounded or counted.
    pub fn new(bound: u64) -> Arc<Self> {
        Arc::new(Self { bound, held: AtomicU64::new(0), released: Notify::new() })
    }

    /// Whether there is a bound.
    pub fn bounded(&self) -> bool {
        self.bound > 0
    }

    /// Bytes held now.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether a request with a body of this many bytes fits, without taking them.
    pub fn fits_request(&self, body_bytes: u64) -> bool {
        self.fits_request_after(0, body_bytes)
    }

    /// Whether a request with a body of this many bytes fits once others have released `released` bytes.
    pub fn fits_request_after(&self, released: u64, body_bytes: u64) -> bool {
        let held = self.held().saturating_sub(released);
        !self.bounded() || held.saturating_add(body_bytes) <= self.request_bound(body_bytes)
    }

    /// Returns a guard that holds no bytes yet.
    pub fn guard(self: &Arc<Self>) -> HeldBytes {
        HeldBytes { budget: Arc::clone(self), bytes: 0 }
    }

    /// Bound on all held bytes up to which a body of this size may take more.
    fn request_bound(&self, body_bytes: u64) -> u64 {
        let for_requests = self.bound - self.bound / 4;
        if body_bytes <= SMALL_BODY_BYTES { for_requests } else { for_requests - for_requests / 8 }
    }

    fn try_take(&self, bytes: u64, bound: u64) -> bool {
        let taken = self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            held.checked_add(bytes).filter(|sum| *sum <= bound)
        });
        taken.is_ok()
    }

    async fn take(&self, bytes: u64) {
        loop {
            let released = self.released.notified();
            tokio::pin!(released);
            // Registered before the check, so that a release in between is not missed.
            released.as_mut().enable();
            if self.try_take(bytes, self.bound) {
                return;
            }
            released.await;
        }
    }

    fn release(&self, bytes: u64) {
        if bytes > 0 {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

/// Bytes counted in a budget until the guard is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    bytes: u64,
}

impl HeldBytes {
    /// Number of bytes held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds bytes of a request whose body has `body_bytes` bytes, or fails if they do not fit.
    pub fn try_grow(&mut self, bytes: usize, body_bytes: u64) -> Result<(), BudgetExceeded> {
        if self.budget.bounded() {
            if !self.budget.try_take(bytes as u64, self.budget.request_bound(body_bytes)) {
                return Err(BudgetExceeded(self.budget.bound));
            }
            self.bytes += bytes as u64;
        }
        Ok(())
    }

    /// Adds bytes of a response and waits until they fit. Fails if they can't fit because the guard alone
    /// would hold more than the bound.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        if self.budget.bounded() {
            if self.bytes + bytes as u64 > self.budget.bound {
                return Err(BudgetExceeded(self.budget.bound));
            }
            self.budget.take(bytes as u64).await;
            self.bytes += bytes as u64;
        }
        Ok(())
    }

    /// Releases all bytes.
    pub fn clear(&mut self) {
        self.budget.release(std::mem::take(&mut self.bytes));
    }

    /// Moves up to `bytes` bytes to another guard.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let moved = self.bytes.min(bytes as u64);
        self.bytes -= moved;
        Self { budget: Arc::clone(&self.budget), bytes: moved }
    }

    /// Attaches the guard to a buffer. It is released when the last reference to the buffer is dropped.
    pub fn attach(self, buffer: Bytes) -> Bytes {
        if self.bytes == 0 { buffer } else { Bytes::from_owner(HeldBuffer { buffer, _held: Arc::new(self) }) }
    }

    /// Attaches the guard to several buffers. It is released when the last reference to the last one is dropped.
    pub fn attach_all<I>(self, buffers: I) -> impl Iterator<Item = Bytes>
    where
        I: Iterator<Item = Bytes>,
    {
        let held = (self.bytes > 0).then(|| Arc::new(self));
        buffers.map(move |buffer| match &held {
            Some(held) => Bytes::from_owner(HeldBuffer { buffer, _held: Arc::clone(held) }),
            None => buffer,
        })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.clear();
    }
}

struct HeldBuffer {
    buffer: Bytes,
    _held: Arc<HeldBytes>,
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}
