//! The end of a process that was told to stop: until when it takes connections and requests, and which requests it
//! still starts.
//!
//! A request that the end of the drain cuts may have run, so its caller can't repeat it unless its route allows that.
//! A request that is refused before has not run, and another entry serves it at once. Requests are therefore refused
//! where what is known says that they would be cut.

use super::steady_pass::SteadyPass;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::{HashMap, VecDeque};

/// Time in milliseconds after the stop signal during which the load balancer still sends new connections: it removes
/// a process after two failed checks, one second apart.
const LAG_MILLIS: u64 = 2_600;
/// Time in milliseconds before the end of the grace period at which unfinished requests are cut.
const CUT_MARGIN_MILLIS: u64 = 300;
/// Time in milliseconds before the end of the grace period at which the process ends. The answers of requests that are
/// cut are written before, and the last log lines after it.
const END_MARGIN_MILLIS: u64 = 100;

/// Minimum grace period in milliseconds.
pub const MIN_GRACE_MILLIS: u64 = 1_000;

/// Time left in milliseconds within which no request is expected to finish if nothing is known of its route. No
/// connections are accepted then.
const MIN_USEFUL_MILLIS: u64 = 200;

/// Number of durations that are kept for each route.
const RECENT_DURATIONS: usize = 64;
/// Share of a route's recent requests that took no longer than its usual duration. Some of the rest met a fault.
const USUAL_PERCENT: usize = 95;
/// Ratio to the next shorter duration above which the longest one counts as a fault of one request.
const OUTLIER_RATIO: u32 = 2;
/// Maximum number of routes with durations. The largest configurations have some 1,000 routes; more belong to removed
/// ones.
const MAX_ROUTES: usize = 4_096;

/// The course of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// When the listener closes, and connections that serve no request with it.
    pub close_at: UnixDeadline,
    /// When requests are cut.
    pub cut_at: UnixDeadline,
    /// When the process ends at the latest.
    pub end_at: UnixDeadline,
}

impl DrainSchedule {
    /// Returns the course of a drain that begins at `now` and must end within the grace period.
    pub fn new(now: UnixMillis, grace_millis: u64) -> Self {
        let after = |millis| UnixDeadline::after(now, millis);
        Self {
            close_at: after(
                LAG_MILLIS.min(grace_millis.saturating_sub(CUT_MARGIN_MILLIS + MIN_USEFUL_MILLIS)),
            ),
            cut_at: after(grace_millis.saturating_sub(CUT_MARGIN_MILLIS)),
            end_at: after(grace_millis.saturating_sub(END_MARGIN_MILLIS)),
        }
    }

    /// Returns until when a request with this deadline may be started, if requests of its route usually take
    /// `usual_millis`. Returns `None` if its deadline lies before the end of the drain: it is always answered in time.
    pub fn latest_start(&self, deadline: UnixDeadline, usual_millis: Option<u64>) -> Option<UnixDeadline> {
        if deadline <= self.cut_at {
            return None;
        }
        let needed_millis = usual_millis.unwrap_or(MIN_USEFUL_MILLIS);
        Some(UnixDeadline(UnixMillis(self.cut_at.0.0.saturating_sub(needed_millis))))
    }
}

/// How long a request took, and the pass time of the group that ran it, if one is known.
#[derive(Debug, Clone, Copy)]
struct RecordedDuration {
    millis: u32,
    pass: Option<SteadyPass>,
}

impl RecordedDuration {
    /// How long the same request would take at another pass time.
    fn millis_at(self, pass: Option<SteadyPass>) -> u32 {
        match (pass, self.pass) {
            (Some(now), Some(then)) => (f64::from(self.millis) * now.factor_since(then)) as u32,
            _ => self.millis,
        }
    }
}

/// Durations of the latest requests of each route, without the time for which they waited.
#[derive(Debug, Clone, Default)]
pub struct RouteDurations {
    routes: HashMap<Box<str>, VecDeque<RecordedDuration>>,
}

impl RouteDurations {
    /// Records how long an answered request took, and the pass time of the group that ran it.
    pub fn record(&mut self, route: &str, millis: u64, pass: Option<SteadyPass>) {
        let durations = self.route(route);
        if durations.len() >= RECENT_DURATIONS {
            durations.pop_front();
        }
        durations.push_back(RecordedDuration { millis: u32::try_from(millis).unwrap_or(u32::MAX), pass });
    }

    /// Returns the time in milliseconds within which nearly all recent requests of a route were answered, unless there
    /// were none. With few requests this is the longest time, unless no other request took nearly as long.
    pub fn usual_millis(&self, route: &str) -> Option<u64> {
        self.usual_millis_at(route, None)
    }

    /// Returns the same for requests at a group with this pass time: a group that has just become slow takes longer for
    /// each of them than it did.
    pub fn usual_millis_at(&self, route: &str, pass: Option<SteadyPass>) -> Option<u64> {
        let recorded = self.routes.get(route)?.iter();
        let mut durations: Vec<u32> = recorded.map(|duration| duration.millis_at(pass)).collect();
        durations.sort_unstable();
        let rank = (durations.len() * USUAL_PERCENT).div_ceil(100);
        let (&longest, shorter) = durations.get(..rank)?.split_last()?;
        let is_longest_of_all = rank == durations.len();
        let usual = match shorter.last() {
            Some(&next) if is_longest_of_all && longest > next.saturating_mul(OUTLIER_RATIO) => next,
            _ => longest,
        };
        Some(u64::from(usual))
    }

    fn route(&mut self, name: &str) -> &mut VecDeque<RecordedDuration> {
        if !self.routes.contains_key(name) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.clear();
            }
            self.routes.insert(name.into(), VecDeque::new());
        }
        self.routes.get_mut(name).expect("it was added above")
    }
}
