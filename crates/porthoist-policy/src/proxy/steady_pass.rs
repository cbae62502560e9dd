//! The pass time of a group without the peaks of single passes: the least that reports have shown for a while.

use super::groups::GOOD_PASS_MILLIS;
use super::pass_time::GroupPass;
use porthoist_core::UnixMillis;
use std::collections::VecDeque;

/// Time in milliseconds for which passes must be slow before a group counts as slow. Even a long switch of expert maps is
/// over by then.
const MIN_SLOW_MILLIS: u64 = 400;

/// Pass time of a group in milliseconds, at least 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SteadyPass(u16);

impl SteadyPass {
    /// Creates a pass time from milliseconds; less than 1 counts as 1.
    pub fn new(millis: u16) -> Self {
        Self(millis.max(1))
    }

    /// The time halfway between two.
    #[must_use]
    pub fn mean(self, other: Self) -> Self {
        Self(u16::midpoint(self.0, other.0))
    }

    /// Factor by which a request that begins at this pass time takes longer than the same request did at `then`. Groups
    /// whose passes are good count as equally fast. A group returns to its pace within seconds, so over the course of a
    /// request the mean of both pass times applies.
    pub fn factor_since(self, then: Self) -> f64 {
        let (now, then) = (f64::from(self.0), f64::from(then.0));
        let present = if now > GOOD_PASS_MILLIS { now } else { then.min(GOOD_PASS_MILLIS) };
        f64::midpoint(present, then) / then
    }
}

/// The pass times that recent reports have shown.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentPasses {
    reports: VecDeque<(UnixMillis, SteadyPass)>,
}

impl RecentPasses {
    /// Records the pass time of a report. One that shows none ends what was known.
    pub(crate) fn record(&mut self, pass: GroupPass, now: UnixMillis) {
        let Some(millis) = pass.millis() else {
            self.reports.clear();
            return;
        };
        self.reports.retain(|(at, _pass)| now.since(*at) <= MIN_SLOW_MILLIS);
        self.reports.push_back((now, SteadyPass::new(millis)));
    }

    /// The least pass time of the recent reports, or `None` without any.
    pub(crate) fn steady(&self, now: UnixMillis) -> Option<SteadyPass> {
        let recent = self.reports.iter().filter(|(at, _pass)| now.since(*at) <= MIN_SLOW_MILLIS);
        recent.map(|(_at, pass)| *pass).min()
    }
}
