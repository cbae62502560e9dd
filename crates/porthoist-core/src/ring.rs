//! Bounded rings that join the duties' threads.
//!
//! A full ring is an error to the sender, which refuses and counts; nothing queues without a bound.

use rtrb::{Consumer, Producer, RingBuffer};
use std::fmt;
use std::sync::Arc;
use tokio::sync::Notify;

/// The sending end of a ring.
pub struct RingSender<T> {
    producer: Producer<T>,
    wake: Arc<Notify>,
}

/// The receiving end of a ring.
pub struct RingReceiver<T> {
    consumer: Consumer<T>,
    wake: Arc<Notify>,
}

/// The value that a full ring gives back.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ring is full")]
pub struct RingFull<T>(pub T);

/// A ring that holds at most `capacity` values.
pub fn bounded_ring<T>(capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let wake = Arc::new(Notify::new());
    let sender = RingSender { producer, wake: Arc::clone(&wake) };
    (sender, RingReceiver { consumer, wake })
}

impl<T> RingSender<T> {
    /// Sends without waiting.
    pub fn try_send(&mut self, value: T) -> Result<(), RingFull<T>> {
        let pushed = self.producer.push(value);
        self.wake.notify_one();
        pushed.map_err(|rtrb::PushError::Full(value)| RingFull(value))
    }
}

impl<T> Drop for RingSender<T> {
    fn drop(&mut self) {
        self.wake.notify_one();
    }
}

impl<T> RingReceiver<T> {
    /// The next value if one is there.
    pub fn try_receive(&mut self) -> Option<T> {
        self.consumer.pop().ok()
    }

    /// The next value, or nothing once the sender is gone and the ring is empty.
    pub async fn receive(&mut self) -> Option<T> {
        loop {
            let abandoned = self.consumer.is_abandoned();
            if let Ok(value) = self.consumer.pop() {
                return Some(value);
            }
            if abandoned {
                return None;
            }
            self.wake.notified().await;
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
