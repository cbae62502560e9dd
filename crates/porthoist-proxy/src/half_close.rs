//! Bounds how long a connection is kept whose caller has closed its sending side.
//!
//! A caller that left looks the same as one that only sends nothing more, until something is written: a closed socket
//! answers that with a reset.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time in milliseconds without a written byte after which the caller counts as having left. Work must end half a second
/// after a caller has left, which may show only this time after a written byte.
const SILENCE_MILLIS: u64 = 200;

/// A connection whose caller has closed its sending side.
pub(crate) struct HalfClose {
    silent_at: Instant,
    /// Whether bytes wait for room in the connection: they tell whether the caller is there.
    blocked: bool,
    timer: Pin<Box<Sleep>>,
}

impl fmt::Debug for HalfClose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HalfClose").field("silent_at", &self.silent_at).finish_non_exhaustive()
    }
}

impl HalfClose {
    pub(crate) fn new(blocked: bool) -> Self {
        let silent_at = next_silence();
        Self { silent_at, blocked, timer: Box::pin(sleep_until(silent_at)) }
    }

    /// Notes whether bytes were written or wait for room.
    pub(crate) fn record_write(&mut self, blocked: bool) {
        self.blocked = blocked;
        self.silent_at = next_silence();
    }

    /// Is ready once nothing was written for too long.
    pub(crate) fn poll_silent(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(cx));
            if self.blocked {
                self.silent_at = next_silence();
            } else if self.silent_at <= Instant::now() {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(self.silent_at);
        }
    }
}

fn next_silence() -> Instant {
    Instant::now() + Duration::from_millis(SILENCE_MILLIS)
}
