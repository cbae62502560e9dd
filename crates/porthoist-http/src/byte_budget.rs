//! Counts the bytes that a process holds for its callers and bounds them.
//!
//! Request bodies may take three quarters of the bound. The last quarter is left to responses: if bodies could
//! take everything, no response could be read, and no request would end and release its body. Of the room for
//! bodies, an eighth is left to small ones, so that large bodies alone can't keep ordinary requests out.
//!
//! Large responses may take half of the bound together, and leave an eighth of it. One of them may take the rest, so that they
//! don't wait for each other: responses without an end would otherwise hold all room, and no request could be accepted.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
    /// Part of `held` that large responses hold.
    held_large: AtomicU64,
    /// Whether there is a large response that may take the rest of the bound.
    has_leader: AtomicBool,
    released: Notify,
}

impl ByteBudget {
    /// Creates a budget with a bound in bytes. With 0, nothing is bounded or counted.
    pub fn new(bound: u64) -> Arc<Self> {
        Arc::new(Self {
            bound,
            held: AtomicU64::new(0),
            held_large: AtomicU64::new(0),
            has_leader: AtomicBool::new(false),
            released: Notify::new(),
        })
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
        HeldBytes { budget: Arc::clone(self), bytes: 0, is_large: false, is_leader: false }
    }

    /// Bound on all held bytes up to which a body of this size may take more.
    fn request_bound(&self, body_bytes: u64) -> u64 {
        let for_requests = self.bound - self.bound / 4;
        if body_bytes <= SMALL_BODY_BYTES { for_requests } else { for_requests - for_requests / 8 }
    }

    fn try_take(&self, bytes: u64, bound: u64) -> bool {
        try_add(&self.held, bytes, bound)
    }

    /// Takes bytes of a response, of which `large` count as those of a large one.
    fn try_take_response(&self, bytes: u64, large: u64, is_leader: bool) -> bool {
        let (bound, large_bound) = if is_leader || large == 0 {
            (self.bound, u64::MAX)
        } else {
            (self.bound - self.bound / 8, self.bound / 2)
        };
        if !try_add(&self.held_large, large, large_bound) {
            return false;
        }
        let taken = self.try_take(bytes, bound);
        if !taken {
            self.held_large.fetch_sub(large, Ordering::Relaxed);
        }
        taken
    }

    /// Whether a response has become the leader, because there was none.
    fn try_lead(&self) -> bool {
        !self.has_leader.swap(true, Ordering::Relaxed)
    }

    fn end_lead(&self) {
        self.has_leader.store(false, Ordering::Relaxed);
        self.released.notify_waiters();
    }

    fn release(&self, bytes: u64, large: u64) {
        if bytes > 0 || large > 0 {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
            self.held_large.fetch_sub(large, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

/// Adds to a number unless the sum exceeds a bound.
fn try_add(number: &AtomicU64, added: u64, bound: u64) -> bool {
    let sum = |number: u64| number.checked_add(added).filter(|sum| added == 0 || *sum <= bound);
    number.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sum).is_ok()
}

/// Bytes counted in a budget until the guard is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<ByteBudget>,
    bytes: u64,
    /// Whether the bytes count as those of a large response.
    is_large: bool,
    /// Whether this response may take the rest of the bound.
    is_leader: bool,
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
        if !self.budget.bounded() {
            return Ok(());
        }
        let bytes = bytes as u64;
        let sum = self.bytes + bytes;
        let is_large = sum > SMALL_BODY_BYTES;
        if sum > self.budget.bound {
            return Err(BudgetExceeded(self.budget.bound));
        }
        let large = match (is_large, self.is_large) {
            (true, true) => bytes,
            (true, false) => sum,
            (false, _) => 0,
        };
        self.take(bytes, large).await;
        self.bytes = sum;
        self.is_large |= is_large;
        Ok(())
    }

    async fn take(&mut self, bytes: u64, large: u64) {
        let budget = Arc::clone(&self.budget);
        loop {
            let released = budget.released.notified();
            tokio::pin!(released);
            // Registered before the check, so that a release in between is not missed.
            released.as_mut().enable();
            if budget.try_take_response(bytes, large, self.is_leader) {
                return;
            }
            if large > 0 && !self.is_leader && budget.try_lead() {
                self.is_leader = true;
                continue;
            }
            released.await;
        }
    }

    /// Leaves the lead to another response.
    fn end_lead(&mut self) {
        if std::mem::take(&mut self.is_leader) {
            self.budget.end_lead();
        }
    }

    /// Releases all bytes.
    pub fn clear(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        let large = if std::mem::take(&mut self.is_large) { bytes } else { 0 };
        self.budget.release(bytes, large);
        self.end_lead();
    }

    /// Moves up to `bytes` bytes to another guard.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let moved = self.bytes.min(bytes as u64);
        let is_large = self.is_large;
        self.bytes -= moved;
        if self.is_large && self.bytes <= SMALL_BODY_BYTES {
            self.is_large = false;
            self.budget.release(0, self.bytes);
            self.end_lead();
        }
        Self { budget: Arc::clone(&self.budget), bytes: moved, is_large, is_leader: false }
    }

    /// Attaches the guard to a buffer. It is released when the last reference to the buffer is dropped.
    pub fn attach(mut self, buffer: Bytes) -> Bytes {
        self.end_lead();
        if self.bytes == 0 { buffer } else { Bytes::from_owner(HeldBuffer { buffer, _held: Arc::new(self) }) }
    }

    /// Attaches the guard to several buffers. It is released when the last reference to the last one is dropped.
    pub fn attach_all<I>(mut self, buffers: I) -> impl Iterator<Item = Bytes>
    where
        I: Iterator<Item = Bytes>,
    {
        self.end_lead();
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
