//! One process's share of the repeats that all processes together may send to a service.
//!
//! Nothing is coordinated: the shares of all processes add up to less than the whole, whoever is alive.

use porthoist_core::UnixMillis;
use std::collections::VecDeque;

/// Part of the share that requests which are not lost without a repeat may use. A crash of one of three groups repeats
/// a third of what runs, some 20 of a process's 70 requests in a window of 10 s, of which the share bears 14.
const SPARE_PART: f64 = 0.6;

/// Settings of a share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryShareSettings {
    /// Repeats allowed for each first send of this process.
    pub ratio: f64,
    /// Repeats in a window that are allowed beside the ratio.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_millis: u64,
}

/// First sends and repeats of the last window.
#[derive(Debug, Clone)]
pub struct RetryShare {
    settings: RetryShareSettings,
    firsts: VecDeque<UnixMillis>,
    repeats: VecDeque<UnixMillis>,
}

impl RetryShare {
    /// An empty window.
    pub fn new(settings: RetryShareSettings) -> Self {
        Self { settings, firsts: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Changes the slack, for example because more processes share it.
    pub fn set_slack(&mut self, slack: f64) {
        self.settings.slack = slack;
    }

    /// Counts the first send of a request.
    pub fn first(&mut self, now: UnixMillis) {
        self.forget(now);
        self.firsts.push_back(now);
    }

    /// Takes one repeat from the share; `false` when it is spent.
    pub fn take(&mut self, now: UnixMillis) -> bool {
        self.take_part(1.0, now)
    }

    /// Takes one repeat for a request that is not lost without it; `false` when only the reserve for failures is left.
    pub fn take_optional(&mut self, now: UnixMillis) -> bool {
        self.take_part(SPARE_PART, now)
    }

    fn take_part(&mut self, part: f64, now: UnixMillis) -> bool {
        self.forget(now);
        let allowed = part * (self.settings.ratio * self.firsts.len() as f64 + self.settings.slack);
        if self.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: UnixMillis) {
        let window = self.settings.window_millis;
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) > window) {
                times.pop_front();
            }
        }
    }
}
