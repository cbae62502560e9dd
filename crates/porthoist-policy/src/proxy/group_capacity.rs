//! Slots of one group as of its last report, and this process's sends since.

use super::group_loads::{LoadRevision, REPORT_VALIDITY_MILLIS};
use porthoist_core::UnixMillis;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

/// Maximum number of stored sends and ends of this process in one group. A reading is at most
/// [`REPORT_VALIDITY_MILLIS`] old, in which a single entry sends fewer to a group of 72 ranks.
const MAX_CHANGES: usize = 1_024;
/// Interval in milliseconds between two reports that is assumed before a second one has arrived.
const INITIAL_INTERVAL_MILLIS: f64 = 100.0;
/// Weight of a new interval in the mean interval between two reports of a group.
const INTERVAL_WEIGHT: f64 = 0.2;
/// Shortest and longest time in milliseconds until a report can show the effect of a send.
const RESPONSE_MILLIS: (f64, f64) = (100.0, 400.0);

/// A rank that can take requests, as of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankRoom {
    /// Host of its engine.
    pub host: Ipv4Addr,
    /// Number of requests that it runs concurrently.
    pub limit: u32,
    /// Requests of all processes.
    pub requests: u32,
}

/// A report as the capacity uses it.
#[derive(Debug, Clone)]
pub struct CapacityReport {
    /// Number of the report.
    pub revision: LoadRevision,
    /// When the oldest engine reading in it was made.
    pub reading: UnixMillis,
    /// Ranks that can take requests.
    pub ranks: Vec<RankRoom>,
}

/// Slots of one group.
#[derive(Debug, Clone)]
pub struct GroupCapacity {
    pub(super) report: CapacityReport,
    arrived: UnixMillis,
    /// Mean time between two reports.
    interval_millis: f64,
    /// Hosts to which this process sent a request, or where one ended, oldest first.
    changes: VecDeque<(UnixMillis, Ipv4Addr, i32)>,
}

impl GroupCapacity {
    /// Creates the capacity from the first report of a group.
    pub fn new(report: CapacityReport, now: UnixMillis) -> Self {
        Self { report, arrived: now, interval_millis: INITIAL_INTERVAL_MILLIS, changes: VecDeque::new() }
    }

    /// Applies a report. Nothing is carried over from the last one.
    pub fn apply(&mut self, report: CapacityReport, now: UnixMillis) {
        let interval = (now.since(self.arrived) as f64).min(RESPONSE_MILLIS.1);
        self.interval_millis += INTERVAL_WEIGHT * (interval - self.interval_millis);
        self.arrived = now;
        while self.changes.front().is_some_and(|(at, _host, _change)| *at <= report.reading) {
            self.changes.pop_front();
        }
        self.report = report;
    }

    /// Whether the report shows the current state.
    pub fn is_fresh(&self, now: UnixMillis) -> bool {
        now.since(self.report.reading) < REPORT_VALIDITY_MILLIS
    }

    /// Time in milliseconds between two reports.
    pub fn interval_millis(&self) -> f64 {
        self.interval_millis
    }

    /// Time in milliseconds until a report can show the effect of a send.
    pub fn response_millis(&self) -> f64 {
        let age = self.arrived.since(self.report.reading) as f64;
        (age + self.interval_millis).clamp(RESPONSE_MILLIS.0, RESPONSE_MILLIS.1)
    }

    /// Number of requests that its ranks can run concurrently.
    pub fn slots(&self) -> f64 {
        self.report.ranks.iter().map(|rank| f64::from(rank.limit)).sum()
    }

    /// Requests that its ranks ran at the reading.
    pub fn running(&self) -> f64 {
        self.report.ranks.iter().map(|rank| f64::from(rank.requests.min(rank.limit))).sum()
    }

    /// Free slots at the reading if each rank may hold `ahead` requests more than it runs.
    pub fn free(&self, ahead: u32) -> f64 {
        let free = |rank: &RankRoom| (rank.limit + ahead).saturating_sub(rank.requests);
        self.report.ranks.iter().map(|rank| f64::from(free(rank))).sum()
    }

    /// This process's sends less its ended requests since the reading, at all hosts or at one.
    pub fn own_change(&self, host: Option<Ipv4Addr>) -> i32 {
        let recent = self.changes.iter().rev().take_while(|(at, _host, _change)| *at > self.report.reading);
        let here = recent.filter(|(_at, at_host, _change)| host.is_none_or(|host| host == *at_host));
        here.map(|(_at, _host, change)| change).sum()
    }

    /// Records a send of this process (1) or the end of one of its requests (-1).
    pub fn record_change(&mut self, host: Ipv4Addr, change: i32, now: UnixMillis) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, host, change));
    }
}
