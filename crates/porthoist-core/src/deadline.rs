//! Points in time and the clock that gives them.
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
    /// This point plus a number of milliseconds.
    #[must_use]
    pub fn plus(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// Milliseconds from `earlier` to this point, 0 if it is not later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The time by which an answer is due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnixDeadline(pub UnixMillis);

impl UnixDeadline {
    /// The deadline that lies `millis` after `now`.
    pub fn after(now: UnixMillis, millis: u64) -> Self {
        Self(now.plus(millis))
    }

    /// Whether the deadline is reached at `now`.
    pub fn passed(self, now: UnixMillis) -> bool {
        now >= self.0
    }

    /// Time left at `now`.
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

/// Where the time comes from.
pub trait ClockSource: fmt::Debug + Send + Sync {
    /// The present time.
    fn now(&self) -> UnixMillis;
}

/// Wall time read once at construction and carried on by the clock of the time since the host booted.
///
/// A step of the host's wall clock can't move it back, so a used ticket is never forgotten before its deadline. It counts the
/// time in which the host was suspended, which the runtime's own timers do not: with them alone, a host that wakes after
/// seconds would take a proof, a lease or a kept connection from before for fresh.
#[derive(Debug)]
pub struct AnchoredClock {
    wall: UnixMillis,
    start: Duration,
    reading: fn() -> Duration,
}

impl AnchoredClock {
    /// Reads the wall clock.
    pub fn new() -> Self {
        Self::carried_on_by(since_boot)
    }

    /// With another reading of a time that only grows.
    pub fn carried_on_by(reading: fn() -> Duration) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { wall: UnixMillis(since_epoch.as_millis() as u64), start: reading(), reading }
    }
}

/// The time since the host booted, with that in which it was suspended.
#[cfg(target_os = "linux")]
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the clock is there since Linux 2.6.39").into()
}

/// The steady time; other systems are for development only.
#[cfg(not(target_os = "linux"))]
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_MONOTONIC).expect("the clock is there on each Unix").into()
}

impl Default for AnchoredClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for AnchoredClock {
    fn now(&self) -> UnixMillis {
        let elapsed = (self.reading)().saturating_sub(self.start);
        self.wall.plus(elapsed.as_millis() as u64)
    }
}
