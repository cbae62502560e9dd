//! State of groups of targets that fail and slow down together.
//!
//! One process hears from a single target too rarely to assess it: with 42 processes and 72 targets,
//! each sends a request to a given target every six seconds. All ranks of a group run each pass
//! together, so an event from any of them, or a report of the process that plans for the group,
//! describes the whole group. Time without events or reports counts as a pass of that duration, whether
//! the group has stalled, is broken or is behind a cut link.

use super::group_loads::GroupLoads;
use super::pass_time::GroupPass;
use super::steady_pass::{RecentPasses, SteadyPass};
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

/// Time in milliseconds without reports that is ignored while this process has fewer than
/// [`MIN_CONCLUSIVE_STREAMS`] streams in a group. Reports arrive every 80 to 350 ms.
const REPORT_GRACE_MILLIS: u64 = 400;
/// Time in milliseconds without events that is ignored while this process has streams in a group: three
/// passes of a busy group.
const EVENT_GRACE_MILLIS: u64 = 200;
/// Number of this process's streams in a group from which on a lack of events counts. A single stream
/// may have just been sent.
const MIN_CONCLUSIVE_STREAMS: u32 = 2;
/// Pass time in milliseconds from which a group counts as stalled. An answer of 20 events would take
/// 8 s, after which its caller leaves.
pub const STALLED_PASS_MILLIS: u64 = 400;
/// Pass time in milliseconds above which streams are late: their pauses exceed what most routes allow
/// (120 to 200 ms).
pub const LATE_PASS_MILLIS: f64 = 160.0;
/// Pass time in milliseconds below which groups count as equally good: first events arrive within three
/// passes, and pauses of 120 ms or more are allowed. If shorter pass times were distinguished,
/// measurement errors would shift load back and forth.
pub const GOOD_PASS_MILLIS: f64 = 80.0;
/// Interval in milliseconds between probes of a silent group. Its reports resume without probes unless
/// its planning process has gone.
const PROBE_MILLIS: u64 = 3_000;

/// Index of a group in a [`GroupTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupIndex(usize);

impl GroupIndex {
    /// The group with this index.
    pub fn new(index: usize) -> Self {
        Self(index)
    }

    /// The index as a number.
    pub fn as_usize(self) -> usize {
        self.0
    }
}

/// Observed state of one group.
#[derive(Debug, Clone)]
struct TrackedGroup {
    pass: GroupPass,
    recent_passes: RecentPasses,
    reported: UnixMillis,
    /// When an event from any of its targets arrived at this process.
    last_event: UnixMillis,
    next_probe: UnixDeadline,
    /// Since when reports have shown passes that make streams late.
    late_since: Option<UnixMillis>,
    /// Whether it was last reported as stalled.
    reported_stalled: bool,
}

impl TrackedGroup {
    /// Time in milliseconds without reports and events.
    fn silence(&self, now: UnixMillis) -> u64 {
        now.since(self.reported.max(self.last_event))
    }
}

/// Whether a report must not end a silence: a process that has just begun to plan has seen no pass, so the silence may be
/// that of a group that stalls with its requests.
fn hides_stall(loads: &GroupLoads, silence: u64) -> bool {
    let is_busy = loads.ranks.iter().any(|rank| rank.requests > 0);
    loads.pass == GroupPass::Unknown && is_busy && silence >= STALLED_PASS_MILLIS
}

/// State of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupStatus {
    /// Pass time in milliseconds, as far as known. Time without events or reports counts as a pass.
    pub millis: f64,
    /// Whether its passes are too slow to serve a request, or it runs none.
    pub stalled: bool,
    /// Milliseconds for which reports have shown passes that make streams late.
    pub slow_for_millis: u64,
    /// Whether a request may probe it although it is stalled.
    pub probe_due: bool,
}

impl GroupStatus {
    /// Pass time relative to that of the best group, at least 1.
    pub fn slowness(&self, best_millis: f64) -> f64 {
        (self.millis / best_millis.max(GOOD_PASS_MILLIS)).max(1.0)
    }
}

/// State of all groups, as one process knows it.
#[derive(Debug, Clone, Default)]
pub struct GroupTracker {
    groups: Vec<TrackedGroup>,
    by_host: HashMap<Ipv4Addr, GroupIndex>,
}

impl GroupTracker {
    /// Applies a report; returns its group.
    pub fn apply_report(&mut self, loads: &GroupLoads, now: UnixMillis) -> GroupIndex {
        let index = self.known_group(loads).unwrap_or(GroupIndex(self.groups.len()));
        if index.0 == self.groups.len() {
            self.groups.push(TrackedGroup {
                pass: GroupPass::Unknown,
                recent_passes: RecentPasses::default(),
                reported: now,
                last_event: now,
                next_probe: UnixDeadline::default(),
                late_since: None,
                reported_stalled: false,
            });
        }
        for rank in &loads.ranks {
            self.by_host.insert(rank.host, index);
        }
        let group = &mut self.groups[index.0];
        group.pass = loads.pass;
        group.recent_passes.record(loads.pass, now);
        if !hides_stall(loads, group.silence(now)) {
            group.reported = now;
        }
        let late = loads.pass.millis().is_some_and(|millis| f64::from(millis) > LATE_PASS_MILLIS);
        group.late_since = if late { Some(group.late_since.unwrap_or(now)) } else { None };
        index
    }

    /// The group that most hosts of a report belonged to; single ranks may have moved between groups.
    fn known_group(&self, loads: &GroupLoads) -> Option<GroupIndex> {
        let mut hosts: BTreeMap<GroupIndex, usize> = BTreeMap::new();
        for index in loads.ranks.iter().filter_map(|rank| self.by_host.get(&rank.host)) {
            *hosts.entry(*index).or_default() += 1;
        }
        hosts.into_iter().max_by_key(|(_index, count)| *count).map(|(index, _count)| index)
    }

    /// Records an event from a target.
    pub fn event_received(&mut self, host: Ipv4Addr, now: UnixMillis) {
        let Some(index) = self.by_host.get(&host) else { return };
        let group = &mut self.groups[index.0];
        group.last_event = now;
        if group.pass == GroupPass::Broken {
            // It runs again, and its next report is on its way.
            group.pass = GroupPass::Unknown;
        }
    }

    /// Records that a request probes a stalled group.
    pub fn record_probe(&mut self, index: GroupIndex, now: UnixMillis) {
        self.groups[index.0].next_probe = UnixDeadline::after(now, PROBE_MILLIS);
    }

    /// Records whether a group is stalled; returns whether that changed.
    pub fn update_stalled(&mut self, index: GroupIndex, stalled: bool) -> bool {
        std::mem::replace(&mut self.groups[index.0].reported_stalled, stalled) != stalled
    }

    /// Whether the last report says that a group is stalled or not formed.
    pub fn reported_stalled(&self, index: GroupIndex) -> bool {
        let pass = self.groups[index.0].pass;
        pass == GroupPass::Broken
            || pass.millis().is_some_and(|millis| u64::from(millis) >= STALLED_PASS_MILLIS)
    }

    /// Whether the last report says that a group is not formed.
    pub fn is_broken(&self, index: GroupIndex) -> bool {
        self.groups[index.0].pass == GroupPass::Broken
    }

    /// The pass time of a group without the peaks of single passes, as far as recent reports show it.
    pub fn steady_pass(&self, index: GroupIndex, now: UnixMillis) -> Option<SteadyPass> {
        self.groups[index.0].recent_passes.steady(now)
    }

    /// Number of known groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Whether no group is known.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// State of a group in which this process has `running` requests.
    pub fn status(&self, index: GroupIndex, running: u32, now: UnixMillis) -> GroupStatus {
        let group = &self.groups[index.0];
        let silence = group.silence(now);
        let grace = if running >= MIN_CONCLUSIVE_STREAMS { EVENT_GRACE_MILLIS } else { REPORT_GRACE_MILLIS };
        let pass = u64::from(group.pass.millis().unwrap_or(0));
        let millis = if silence > grace { pass.max(silence) } else { pass };
        let stalled = group.pass == GroupPass::Broken || millis >= STALLED_PASS_MILLIS;
        let long_silent = silence > PROBE_MILLIS / 2;
        GroupStatus {
            millis: millis as f64,
            stalled,
            slow_for_millis: group.late_since.map_or(0, |since| now.since(since)),
            probe_due: stalled && long_silent && group.next_probe.passed(now),
        }
    }
}
