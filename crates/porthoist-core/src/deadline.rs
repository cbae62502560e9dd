//! Timestamps, deadlines and the clock that supplies them.
//!
//! Deadlines are stored as points in time, never as durations, so that a delayed message can't extend one.

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A point in time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns this time plus `millis`, saturating.
    #[must_use]
    pub fn plus(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Returns the milliseconds from `earlier` to this time, 0 if this time is not later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The time by which an answer is due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnixDeadline(pub UnixMillis);

impl UnixDeadline {
    /// Returns the deadline `millis` after `now`.
    pub fn after(now: UnixMillis, millis: u64) -> Self {
        Self(now.plus(millis))
    }

    /// Whether the deadline is reached at `now`.
    pub fn passed(self, now: UnixMillis) -> bool {
        now >= self.0
    }

    /// Returns the time left at `now`, zero once the deadline has passed.
    pub fn remaining(self, now: UnixMillis) -> Duration {
        Duration::from_millis(self.0.since(now))
    }
}

impl fmt::Display for UnixDeadline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.0)
    }
}

/// Error of parsing a deadline.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a deadline: expected milliseconds since the Unix epoch")]
pub struct DeadlineError(String);

impl FromStr for UnixDeadline {
    type Err = DeadlineError;

    fn from_str(text: &str) -> Result<Self, DeadlineError> {
        let millis = text.parse().map_err(|_parse| DeadlineError(text.chars().take(64).collect()))?;
        Ok(Self(UnixMillis(millis)))
    }
}

/// A source of the current time.
pub trait ClockSource: fmt::Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> UnixMillis;
}

/// Wall-clock time read once at construction and advanced by the host's boot-time clock.
///
/// A step of the host's wall clock can't move it back, so a used ticket is never forgotten before its deadline. It counts
/// the time in which the host was suspended, which the runtime's timers don't: with those alone, a host that wakes up
/// after seconds would treat a proof, a lease or a kept connection from before the suspension as fresh.
#[derive(Debug)]
pub struct AnchoredClock {
    started_at: UnixMillis,
    start_reading: Duration,
    read_clock: fn() -> Duration,
}

impl AnchoredClock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        Self::with_reading(since_boot)
    }

    /// Creates a clock that is advanced by `read_clock`, which must never decrease.
    pub fn with_reading(read_clock: fn() -> Duration) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            started_at: UnixMillis(since_epoch.as_millis() as u64),
            start_reading: read_clock(),
            read_clock,
        }
    }
}

/// Returns the time since the host booted, including time in which it was suspended.
#[cfg(target_os = "linux")]
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME exists since Linux 2.6.39").into()
}

/// Returns the monotonic time, which may leave out suspended time; other systems are for development only.
#[cfg(not(target_os = "linux"))]
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC).expect("CLOCK_MONOTONIC exists on every Unix").into()
}

impl Default for AnchoredClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for AnchoredClock {
    fn now(&self) -> UnixMillis {
        let elapsed = (self.read_clock)().saturating_sub(self.start_reading);
        self.started_at.plus(elapsed.as_millis() as u64)
    }
}
