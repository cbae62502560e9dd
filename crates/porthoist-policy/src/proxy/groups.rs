//! What is known of groups of targets that fail and slow down together.
//!
//! One process hears from one target too seldom to judge it: 42 processes before 72 targets send each target a request
//! every six seconds. All ranks of a group run each pass together, so an event of any one speaks for all, and so do
//! the reports of the process that plans for the group. Silence counts in the same unit as a pass: a group that nothing was
//! heard of for a time has passes of at least that time, whether it is held, broken, or behind a link that is cut.

use super::loads::GroupLoads;
use super::pass_time::GroupPass;
use porthoist_core::{UnixDeadline, UnixMillis};
use std::collections::{BTreeMap, HashMap};
use std::net::Ipv4Addr;

/// Silence in milliseconds that says nothing while no stream of this process runs in a group: reports come every 80 to 350.
const REPORT_GRACE_MILLIS: u64 = 400;
/// Silence in milliseconds that says nothing while streams of this process run there: three passes of a busy group.
const EVENT_GRACE_MILLIS: u64 = 200;
/// Streams of this process in a group from which on their silence speaks for the group: a single one may have been sent just
/// now.
const SURE_STREAMS: u32 = 2;
/// A group with passes so long in milliseconds counts as standing: an answer of 20 events would take the 8 s after which
/// its caller leaves.
pub const STANDING_MILLIS: u64 = 400;
/// Streams with passes of more milliseconds are late: their pauses are longer than most routes allow (120 to 200).
pub const LATE_PASS_MILLIS: f64 = 160.0;
/// A pass time in milliseconds that is as good as any shorter one: first events come within three passes, and pauses of 120
/// and more are in time. Were shorter ones told apart, the error of the measure would move load to and fro.
pub const GOOD_PASS_MILLIS: f64 = 80.0;
/// How often in milliseconds a request may try a group that nothing is heard of: its reports come back by themselves
/// unless the process that plans for it has gone.
const PROBE_MILLIS: u64 = 3_000;

/// Number of a group in a book.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupIndex(usize);

impl GroupIndex {
    /// The group at a place in the book.
    pub fn at(place: usize) -> Self {
        Self(place)
    }

    /// Its place in the book.
    pub fn place(self) -> usize {
        self.0
    }
}

/// What is known of one group.
#[derive(Debug, Clone)]
struct GroupEvidence {
    pass: GroupPass,
    reported: UnixMillis,
    /// When an event of any of its targets came to this process.
    heard: UnixMillis,
    next_probe: UnixDeadline,
    /// Since when reports have shown passes that make streams late.
    slow_since: Option<UnixMillis>,
    /// Whether it was last said to stand.
    said_standing: bool,
}

/// How a group does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupStatus {
    /// How long its passes take in milliseconds, as far as known; silence counts as a pass.
    pub millis: f64,
    /// Whether it runs no passes that could still serve a request.
    pub stalled: bool,
    /// For how many milliseconds reports have shown passes that make streams late.
    pub slow_for_millis: u64,
    /// Whether a request may try it although it stands.
    pub probe_due: bool,
}

impl GroupStatus {
    /// How many times longer its passes take than the best one's.
    pub fn factor(&self, best_millis: f64) -> f64 {
        (self.millis / best_millis.max(GOOD_PASS_MILLIS)).max(1.0)
    }
}

/// What one process knows of all groups.
#[derive(Debug, Clone, Default)]
pub struct DomainBook {
    groups: Vec<GroupEvidence>,
    by_host: HashMap<Ipv4Addr, GroupIndex>,
}

impl DomainBook {
    /// Takes a report; returns the group that it is about.
    pub fn take_report(&mut self, loads: &GroupLoads, now: UnixMillis) -> GroupIndex {
        let index = self.known_group(loads).unwrap_or(GroupIndex(self.groups.len()));
        if index.0 == self.groups.len() {
            self.groups.push(GroupEvidence {
                pass: GroupPass::Unknown,
                reported: now,
                heard: now,
                next_probe: UnixDeadline::default(),
                slow_since: None,
                said_standing: false,
            });
        }
        for rank in &loads.ranks {
            self.by_host.insert(rank.host, index);
        }
        let group = &mut self.groups[index.0];
        group.pass = loads.pass;
        group.reported = now;
        let slow = loads.pass.millis().is_some_and(|millis| f64::from(millis) > LATE_PASS_MILLIS);
        group.slow_since = if slow { Some(group.slow_since.unwrap_or(now)) } else { None };
        index
    }

    /// The group that most hosts of a report were in: a rank may have moved from one group to another.
    fn known_group(&self, loads: &GroupLoads) -> Option<GroupIndex> {
        let mut hosts: BTreeMap<GroupIndex, usize> = BTreeMap::new();
        for index in loads.ranks.iter().filter_map(|rank| self.by_host.get(&rank.host)) {
            *hosts.entry(*index).or_default() += 1;
        }
        hosts.into_iter().max_by_key(|(_index, count)| *count).map(|(index, _count)| index)
    }

    /// Takes that an event of a target came.
    pub fn heard(&mut self, host: Ipv4Addr, now: UnixMillis) {
        let Some(index) = self.by_host.get(&host) else { return };
        let group = &mut self.groups[index.0];
        group.heard = now;
        if group.pass == GroupPass::Broken {
            // It runs again, and its next report is on its way.
            group.pass = GroupPass::Unknown;
        }
    }

    /// Takes that a request tries a group that stands.
    pub fn probed(&mut self, index: GroupIndex, now: UnixMillis) {
        self.groups[index.0].next_probe = UnixDeadline::after(now, PROBE_MILLIS);
    }

    /// Takes whether a group stands; returns whether that is new.
    pub fn take_standing(&mut self, index: GroupIndex, standing: bool) -> bool {
        std::mem::replace(&mut self.groups[index.0].said_standing, standing) != standing
    }

    /// Groups known of.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Whether no group is known of.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// How a group does in which so many requests of this process run.
    pub fn pace(&self, index: GroupIndex, running: u32, now: UnixMillis) -> GroupStatus {
        let group = &self.groups[index.0];
        let heard = group.reported.max(group.heard);
        let silence = now.since(heard);
        let grace = if running >= SURE_STREAMS { EVENT_GRACE_MILLIS } else { REPORT_GRACE_MILLIS };
        let pass = u64::from(group.pass.millis().unwrap_or(0));
        let millis = if silence > grace { pass.max(silence) } else { pass };
        let standing = group.pass == GroupPass::Broken || millis >= STANDING_MILLIS;
        let unheard = silence > PROBE_MILLIS / 2;
        GroupStatus {
            millis: millis as f64,
            stalled: standing,
            slow_for_millis: group.slow_since.map_or(0, |since| now.since(since)),
            probe_due: standing && unheard && group.next_probe.passed(now),
        }
    }
}
