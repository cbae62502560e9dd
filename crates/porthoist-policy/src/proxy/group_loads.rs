//! Loads of a group's ranks, as the process that plans for the group last read them from the engines.
//!
//! Without a report, a process knows only its own requests. With one, it also knows those of the other
//! processes: the reported ones minus its own when the engines were read.

use super::demand::ServiceDemand;
use super::pass_time::GroupPass;
use crate::roll_forward::RankPace;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::VecDeque;
use std::net::Ipv4Addr;

/// Time in milliseconds for which a report is valid: about three rounds of the planning process. After
/// that, a process uses only its own requests again.
pub const REPORT_VALIDITY_MILLIS: u64 = 1_200;
/// Number of sends to a target and ends of sends that are remembered. A target of 10 slots with requests of
/// one second has about 20 in a second, and a report is rarely older.
const MAX_CHANGES: usize = 64;

/// Number of a report within one life of the process that made it. Newer reports have higher numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadRevision(pub u64);

/// Load of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankLoad {
    /// Host of its engine. A host has one engine.
    pub host: Ipv4Addr,
    /// Running and waiting requests of all processes.
    pub requests: u32,
    /// Whether the process next to the engine is unreachable. Its host may have stalled; requests sent
    /// there run only after it recovers, when their callers have left.
    pub silent: bool,
}

/// Number of requests at a healthy rank that cause the same load as `requests` at a slow one.
/// `step_requests` is the duration of an empty step, expressed in requests; a slow rank stretches the
/// whole step by `pace`. Entry processes that balance by this number give a slow rank what it can
/// handle, and nothing to one that is 12 times slower, since all ranks wait for it.
pub fn equivalent_requests(requests: u32, step_requests: f64, pace: RankPace) -> u32 {
    let equivalent = (f64::from(requests) + step_requests) * pace.factor() - step_requests;
    (equivalent.round() as u32).max(requests)
}

/// Loads of all ranks of one group.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GroupLoads {
    /// Number of this report.
    pub revision: LoadRevision,
    /// Time in milliseconds since the oldest engine reading in it; 0 from a process that does not report
    /// it.
    pub age_millis: u64,
    /// Demand on the service, summed over the entries that report theirs; `None` if none does.
    pub demand: Option<ServiceDemand>,
    /// How long its passes take.
    pub pass: GroupPass,
    /// The ranks.
    pub ranks: Vec<RankLoad>,
}

impl GroupLoads {
    /// When the oldest engine reading in a report that arrives now was taken.
    pub(crate) fn read_at(&self, now: UnixMillis) -> UnixMillis {
        UnixMillis(now.0.saturating_sub(self.age_millis))
    }
}

/// A change of the number of this process's requests at a target.
#[derive(Debug, Clone, Copy)]
struct OwnChange {
    at: UnixMillis,
    /// The number before it.
    before: u32,
}

/// This process's recent requests at one target, to tell which of them a report contains.
#[derive(Debug, Clone, Default)]
pub(crate) struct OwnHistory {
    changes: VecDeque<OwnChange>,
}

impl OwnHistory {
    /// Records a send or the end of one; `before` is the number of requests before it.
    pub(crate) fn record(&mut self, before: u32, at: UnixMillis) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(OwnChange { at, before });
    }

    /// Number of requests that a reading contains: those sent before it that had not ended by then. `current`
    /// is the present number. Changes that are no longer remembered count as earlier than the reading.
    pub(crate) fn contained(&self, read_at: UnixMillis, current: u32) -> u32 {
        let first_later = self.changes.iter().find(|change| change.at >= read_at);
        first_later.map_or(current, |change| change.before)
    }
}

/// Requests of other processes at one rank, valid until a deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OthersLoad {
    requests: u32,
    silent: bool,
    read_at: UnixMillis,
    fresh_until: UnixDeadline,
}

impl OthersLoad {
    /// From a report that arrives now of a reading at `read_at`; `own` is the number of this process's own
    /// requests in that reading.
    pub(crate) fn reported(rank: &RankLoad, own: u32, read_at: UnixMillis, now: UnixMillis) -> Self {
        Self {
            requests: rank.requests.saturating_sub(own),
            silent: rank.silent,
            read_at,
            fresh_until: UnixDeadline::after(now, REPORT_VALIDITY_MILLIS),
        }
    }

    /// Whether the process next to the target was unreachable, while the report is valid.
    pub(crate) fn silent(&self, now: UnixMillis) -> bool {
        self.silent && !self.fresh_until.passed(now)
    }

    /// Time in milliseconds since the reading.
    pub(crate) fn age(&self, now: UnixMillis) -> u64 {
        now.since(self.read_at)
    }

    /// Requests of the other processes while the report is valid.
    pub(crate) fn requests(&self, now: UnixMillis) -> Option<u32> {
        (!self.fresh_until.passed(now)).then_some(self.requests)
    }
}
