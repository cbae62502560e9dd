//! One process's share of the retries that all processes together may send to a service.
//!
//! The processes don't coordinate. Their shares add up to less than the total, whichever of them are
//! running.

use porthoist_core::UnixMillis;
use std::collections::VecDeque;

/// Fraction of the share for retries of requests that would succeed without them. A crash of one of
/// three groups causes retries for a third of the running requests: some 20 of a process's 70 requests
/// in a window of 10 s, of which the share permits 14.
const OPTIONAL_FRACTION: f64 = 0.6;

/// Settings of a retry share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShareSettings {
    /// Retries permitted per first send of this process.
    pub ratio: f64,
    /// Retries permitted per window in addition to the ratio.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_millis: u64,
}

/// First sends and retries within the window.
#[derive(Debug, Clone)]
pub struct RetryShare {
    settings: RetryShareSettings,
    first_sends: VecDeque<UnixMillis>,
    retries: VecDeque<UnixMillis>,
}

impl RetryShare {
    /// Creates a share without sends.
    pub fn new(settings: RetryShareSettings) -> Self {
        Self { settings, first_sends: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Changes the slack, for example because more processes share it.
    pub fn set_slack(&mut self, slack: f64) {
        self.settings.slack = slack;
    }

    /// Records the first send of a request.
    pub fn record_first_send(&mut self, now: UnixMillis) {
        self.drop_expired(now);
        self.first_sends.push_back(now);
    }

    /// Takes one retry from the share; `false` if it is used up.
    pub fn try_take(&mut self, now: UnixMillis) -> bool {
        self.try_take_fraction(1.0, now)
    }

    /// Takes one retry for a request that would succeed without it; `false` if only the reserve for
    /// failed requests is left.
    pub fn try_take_optional(&mut self, now: UnixMillis) -> bool {
        self.try_take_fraction(OPTIONAL_FRACTION, now)
    }

    fn try_take_fraction(&mut self, fraction: f64, now: UnixMillis) -> bool {
        self.drop_expired(now);
        let allowed = fraction * (self.settings.ratio * self.first_sends.len() as f64 + self.settings.slack);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: UnixMillis) {
        let window = self.settings.window_millis;
        for times in [&mut self.first_sends, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) > window) {
                times.pop_front();
            }
        }
    }
}
