//! Bounded ring buffers that connect the daemon's threads.
//!
//! Sending to a full ring fails, so that the sender refuses and counts the value; no queue grows without bound.

use rtrb::{Consumer, Producer, RingBuffer};
use std::fmt;
use std::sync::Arc;
use tokio::sync::Notify;

/// The sending end of a ring.
pub struct RingSender<T> {
    producer: Producer<T>,
    notify: Arc<Notify>,
}

/// The receiving end of a ring.
pub struct RingReceiver<T> {
    consumer: Consumer<T>,
    notify: Arc<Notify>,
}

/// Error of sending to a full ring; it returns the value.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ring is full")]
pub struct RingFull<T>(pub T);

/// Creates a ring that holds at most `capacity` values.
pub fn bounded_ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let notify = Arc::new(Notify::new());
    let sender = RingSender { producer, notify: Arc::clone(&notify) };
    (sender, RingReceiver { consumer, notify })
}

impl<T> RingSender<T> {
    /// Sends a value without waiting; fails if the ring is full.
    pub fn try_send(&mut self, value: T) -> Result<(), RingFull<T>> {
        let pushed = self.producer.push(value);
        self.notify.notify_one();
        pushed.map_err(|rtrb::PushError::Full(value)| RingFull(value))
    }
}

impl<T> Drop for RingSender<T> {
    fn drop(&mut self) {
        self.notify.notify_one();
    }
}

impl<T> RingReceiver<T> {
    /// Returns the next value without waiting, if there is one.
    pub fn try_receive(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// Waits for the next value; `None` once the sender is dropped and the ring is empty.
    pub async fn receive(&mut self) -> Option<T> {
        loop {
            let sender_dropped = self.consumer.is_abandoned();
            if let Ok(value) = self.consumer.pop() {
                return Some(value);
            }
            if sender_dropped {
                return None;
            }
            self.notify.notified().await;
        }
    }
}

impl<T> fmt::Debug for RingSender<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RingSender")
    }
}

impl<T> fmt::Debug for RingReceiver<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RingReceiver")
    }
}
