//! How many requests a process may have in a group, found from the pauses between the events that it relays.
//!
//! All ranks of a group execute each pass together, so every process sees the same pauses without being told of the
//! others. Too long ones lower the limit by a part, short ones raise it by a little (additive increase, multiplicative
//! decrease).

use porthoist_core::{UnixDeadline, UnixMillis};

/// Length of a window in milliseconds: two to four passes.
const WINDOW_MILLIS: u64 = 250;
/// Part of the longest pause that is on time at which the limit goes down.
const LONG_PART: f64 = 0.95;
/// Windows in a row with a long pause after which the limit goes down: the first second after a shift of demand is
/// slow whatever runs.
const LONG_WINDOWS: u32 = 4;
/// What is left of the limit after a window with a long pause.
const DECREASE: f64 = 0.9;
/// What a window without one adds.
const INCREASE: f64 = 1.0;
/// The limit never goes below this part of the requests that the group was seen to bear, so that a moment of slow
/// passes (another demand for experts, a rank that stalls) does not empty it.
const LEAST_PART: f64 = 0.5;

/// The limit of one process in one group.
#[derive(Debug, Clone)]
pub struct GroupPace {
    limit: f64,
    most: f64,
    window_end: UnixDeadline,
    longest: f64,
    long_windows: u32,
}

impl GroupPace {
    /// Begins with a limit, which is also the highest.
    pub fn new(most: u32) -> Self {
        let most = f64::from(most);
        Self { limit: most, most, window_end: UnixDeadline::default(), longest: 0.0, long_windows: 0 }
    }

    /// Requests that may be in the group.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Takes a pause between two events, as a part of the longest that is on time, with the requests in the group now.
    pub fn paused(&mut self, part: f64, in_flight: u32, now: UnixMillis) {
        self.longest = self.longest.max(part);
        if !self.window_end.passed(now) {
            return;
        }
        let long = self.longest > LONG_PART;
        self.long_windows = if long { self.long_windows + 1 } else { 0 };
        if self.long_windows >= LONG_WINDOWS {
            let present = self.limit.min(f64::from(in_flight));
            self.limit = (present * DECREASE).max(self.limit * LEAST_PART).max(1.0);
        } else if !long {
            self.limit = (self.limit + INCREASE).min(self.most);
        }
        self.longest = 0.0;
        self.window_end = UnixDeadline::after(now, WINDOW_MILLIS);
    }
}
