//! Loads of a group's ranks, as the process that plans for the group last saw them at their engines.
//!
//! A process alone knows only what it has sent itself. With a report it also knows what the others have there: what was
//! reported less its own share at that moment.

use super::pass_time::GroupPass;
use crate::roll_forward::RankPace;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::net::Ipv4Addr;

/// How long a report counts, in milliseconds: some three rounds of the process that plans. Without a newer one a process
/// goes by its own sends again.
pub const REPORT_VALIDITY_MILLIS: u64 = 1_200;

/// Number of a report within one life of the process that made it; a newer one has a higher number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadRevision(pub u64);

/// Load of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankLoad {
    /// Host of its engine; a host has one.
    pub host: Ipv4Addr,
    /// Requests that run or wait there, of all processes.
    pub requests: u32,
    /// Whether the process beside it is not heard: its host may stand still. What reaches such a host lies there, and
    /// runs when the host wakes, after its callers have left.
    pub silent: bool,
}

/// Requests that load a healthy rank as these load a slow one: a step takes as long as so many requests more, and all
/// of it is `pace` times as long. Entry processes that fill ranks by level then give a slow rank what it bears, and one
/// that is 12 times slower nothing, since all ranks wait for it.
pub fn equivalent_requests(requests: u32, step_requests: f64, pace: RankPace) -> u32 {
    let weighed = (f64::from(requests) + step_requests) * pace.factor() - step_requests;
    (weighed.round() as u32).max(requests)
}

/// Loads of all ranks of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupLoads {
    /// Number of this report.
    pub revision: LoadRevision,
    /// How long its passes take.
    pub pass: GroupPass,
    /// The ranks.
    pub ranks: Vec<RankLoad>,
}

/// What other processes have at one rank, until a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OthersLoad {
    requests: u32,
    silent: bool,
    fresh_until: UnixDeadline,
}

impl OthersLoad {
    /// From a report that came now, with this process's own requests there.
    pub(crate) fn reported(rank: &RankLoad, own: u32, now: UnixMillis) -> Self {
        Self {
            requests: rank.requests.saturating_sub(own),
            silent: rank.silent,
            fresh_until: UnixDeadline::after(now, REPORT_VALIDITY_MILLIS),
        }
    }

    /// Whether the process beside the target was not heard, while the report counts.
    pub(crate) fn silent(&self, now: UnixMillis) -> bool {
        self.silent && !self.fresh_until.passed(now)
    }

    /// How old the report is, in milliseconds.
    pub(crate) fn age(&self, now: UnixMillis) -> u64 {
        REPORT_VALIDITY_MILLIS.saturating_sub(self.fresh_until.0.since(now))
    }

    /// The others' requests while the report counts.
    pub(crate) fn requests(&self, now: UnixMillis) -> Option<u32> {
        (!self.fresh_until.passed(now)).then_some(self.requests)
    }
}
