//! Free capacity of the groups of a contended service, and its division among entries.
//!
//! This handles more requests than the groups can serve on time, sent by many entries that see the same
//! free slots in late reports. Each entry derives from a report, in the same way, what all entries
//! together may send until the next one, and sends its own share of that.

use super::demand::{LevelDemand, PriorityLevel, ServiceDemand};
use super::group_loads::{GroupLoads, LoadRevision, REPORT_VALIDITY_MILLIS};
use super::groups::GroupIndex;
use super::pass_time::GroupPass;
use super::priority_levels::{LevelAdmission, LevelGrant, LevelSupply};
use super::send_turns::SenderPosition;
use porthoist_core::{RequestRate, UnixMillis};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;

/// Maximum number of stored sends of this process to one group. A reading is at most
/// [`REPORT_VALIDITY_MILLIS`] old, in which a single entry sends fewer to a group of 72 ranks.
const MAX_SENDS: usize = 1_024;
/// Number of stored send rates, one per report. Three groups report some 30 times a second in total.
const MAX_RATES: usize = 64;
/// Interval in milliseconds between two reports that is assumed before a second one has arrived.
const INITIAL_INTERVAL_MILLIS: f64 = 100.0;
/// Weight of a new interval in the mean interval between two reports of a group.
const INTERVAL_WEIGHT: f64 = 0.2;
/// Range in milliseconds of the time until a report can show the effect of a send.
const RESPONSE_MILLIS: (f64, f64) = (100.0, 400.0);

/// What operators configure for a service whose capacity is divided among entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityRule {
    /// Longest pause in milliseconds between two events that all routes of the service permit; `None`
    /// if no route specifies one.
    pub pause_millis: Option<u64>,
}

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

/// Free slots of one group as of its last report.
#[derive(Debug, Clone)]
struct GroupCapacity {
    revision: LoadRevision,
    /// When the oldest engine reading of the report was made.
    reading: UnixMillis,
    arrived: UnixMillis,
    age_millis: u64,
    /// Mean time between two reports.
    interval_millis: f64,
    ranks: Vec<RankRoom>,
    /// This process's sends, oldest first.
    sends: VecDeque<(UnixMillis, Ipv4Addr)>,
}

impl GroupCapacity {
    fn is_fresh(&self, now: UnixMillis) -> bool {
        now.since(self.reading) < REPORT_VALIDITY_MILLIS
    }

    /// Time in milliseconds until a report can show the effect of a send.
    fn response_millis(&self) -> f64 {
        (self.age_millis as f64 + self.interval_millis).clamp(RESPONSE_MILLIS.0, RESPONSE_MILLIS.1)
    }

    fn slots(&self) -> u32 {
        self.ranks.iter().map(|rank| rank.limit).sum()
    }

    /// Free slots if each rank may hold `ahead` requests more than it runs.
    fn free(&self, ahead: u32) -> u32 {
        self.ranks.iter().map(|rank| (rank.limit + ahead).saturating_sub(rank.requests)).sum()
    }

    /// This process's sends to a host since the reading.
    fn own_sends(&self, host: Ipv4Addr) -> u32 {
        let recent = self.sends.iter().rev().take_while(|(sent, _host)| *sent > self.reading);
        recent.filter(|(_sent, to)| *to == host).count() as u32
    }
}

/// Capacity of one service and this process's part of it.
#[derive(Debug, Clone)]
pub struct ServiceCapacity {
    groups: BTreeMap<GroupIndex, GroupCapacity>,
    /// Demand of all entries, as last reported.
    demand: Option<ServiceDemand>,
    admission: LevelAdmission,
    sender: SenderPosition,
    /// Requests per second that all entries are expected to send, from each moment on.
    rates: VecDeque<(UnixMillis, RequestRate)>,
    /// Sends of this process since the last report.
    sends: u64,
}

impl ServiceCapacity {
    /// Creates the capacity of a service without reports.
    pub fn new(sender: SenderPosition) -> Self {
        Self {
            groups: BTreeMap::new(),
            demand: None,
            admission: LevelAdmission::new(sender.phase()),
            sender,
            rates: VecDeque::new(),
            sends: 0,
        }
    }

    /// Sets this process's position among all senders.
    pub fn set_sender(&mut self, sender: SenderPosition) {
        self.sender = sender;
    }

    /// Whether a valid report of any open group shows what is free.
    pub fn is_known(&self, is_open: impl Fn(GroupIndex) -> bool, now: UnixMillis) -> bool {
        self.groups.iter().any(|(index, group)| group.is_fresh(now) && is_open(*index))
    }

    /// Applies a report of a group; `ranks` are those that can take requests.
    pub fn apply_report(
        &mut self,
        index: GroupIndex,
        loads: &GroupLoads,
        ranks: Vec<RankRoom>,
        now: UnixMillis,
    ) {
        let reading = UnixMillis(now.0.saturating_sub(loads.age_millis));
        let known = self.groups.remove(&index);
        let interval_millis = known.as_ref().map_or(INITIAL_INTERVAL_MILLIS, |group| {
            let interval = (now.since(group.arrived) as f64).min(RESPONSE_MILLIS.1);
            group.interval_millis + INTERVAL_WEIGHT * (interval - group.interval_millis)
        });
        let mut sends = known.map(|group| group.sends).unwrap_or_default();
        while sends.front().is_some_and(|(sent, _host)| *sent <= reading) {
            sends.pop_front();
        }
        let ranks = if loads.pass == GroupPass::Broken { Vec::new() } else { ranks };
        let (revision, age_millis) = (loads.revision, loads.age_millis);
        let group =
            GroupCapacity { revision, reading, arrived: now, age_millis, interval_millis, ranks, sends };
        self.groups.insert(index, group);
        if loads.demand.is_some() {
            self.demand.clone_from(&loads.demand);
        }
        self.sends = 0;
    }

    /// Divides what is free in the open groups among the priorities. `own` is this process's demand and
    /// `waiting` the number of its waiting requests by priority.
    pub fn divide(
        &mut self,
        own: &ServiceDemand,
        waiting: &BTreeMap<PriorityLevel, usize>,
        is_open: impl Fn(GroupIndex) -> bool,
        now: UnixMillis,
    ) {
        let open: Vec<&GroupCapacity> = self
            .groups
            .iter()
            .filter(|(index, group)| group.is_fresh(now) && is_open(**index))
            .map(|(_index, group)| group)
            .collect();
        let slots: f64 = open.iter().map(|group| f64::from(group.slots())).sum();
        if slots == 0.0 {
            self.admission.close();
            return;
        }
        let mean = |value: fn(&GroupCapacity) -> f64| {
            open.iter().map(|group| value(group) * f64::from(group.slots())).sum::<f64>() / slots
        };
        let sent: f64 = open
            .iter()
            .map(|group| self.expected_sends(group.reading, now) * f64::from(group.slots()) / slots)
            .sum();
        let free = |ahead: u32| open.iter().map(|group| f64::from(group.free(ahead))).sum::<f64>() - sent;
        let demand = self.all_demand(own);
        let supply = LevelSupply {
            free: free(0),
            free_ahead: free(1),
            response_millis: mean(GroupCapacity::response_millis),
            interval_millis: mean(|group| group.interval_millis),
            demand: &demand,
            own,
            waiting,
        };
        self.admission.divide(&supply, now);
        let rate = self.admission.expected_rate(&demand);
        if self.rates.len() == MAX_RATES {
            self.rates.pop_front();
        }
        self.rates.push_back((now, rate));
    }

    /// The demand of all entries: as reported, or else as if all had this process's demand.
    fn all_demand(&self, own: &ServiceDemand) -> ServiceDemand {
        if let Some(demand) = self.demand.as_ref().filter(|demand| demand.entries > 0) {
            return demand.clone();
        }
        let entries = self.sender.count();
        let scaled = |(level, demand): (&PriorityLevel, &LevelDemand)| {
            (*level, LevelDemand { asked: RequestRate(demand.asked.0 * entries), running: 0 })
        };
        ServiceDemand { levels: own.levels.iter().map(scaled).collect(), entries: entries as u32 }
    }

    /// Number of requests that all entries have probably sent to the open groups since `from`.
    fn expected_sends(&self, from: UnixMillis, now: UnixMillis) -> f64 {
        let mut until = now;
        let mut sends = 0.0;
        for (since, rate) in self.rates.iter().rev() {
            let begin = (*since).max(from);
            sends += rate.0 * until.since(begin) as f64 / 1_000.0;
            until = until.min(*since);
            if *since <= from {
                break;
            }
        }
        sends
    }

    /// Whether this process may send one more request of a priority now; uses its grant if so.
    pub fn try_admit(&mut self, level: PriorityLevel) -> bool {
        self.admission.try_admit(level)
    }

    /// Whether a waiting request of a priority may be sent now; uses its grant if so.
    pub fn try_admit_waiting(&mut self, level: PriorityLevel) -> bool {
        self.admission.try_admit_waiting(level)
    }

    /// Expected time in milliseconds between two waiting requests of a priority that get a slot.
    pub fn millis_per_waiting(&self, level: PriorityLevel) -> f64 {
        self.admission.millis_per_waiting(level)
    }

    /// Returns a grant that was not used.
    pub fn return_grant(&mut self, level: PriorityLevel) {
        self.admission.return_grant(level);
    }

    /// What this process may send of a priority.
    pub fn grant(&self, level: PriorityLevel) -> LevelGrant {
        self.admission.grant(level)
    }

    /// Chooses one of `hosts` for a request of a priority. The free slots are ordered by how full their
    /// rank would be. The next sends of all entries are spread over the first of them, each entry
    /// beginning at its own position.
    pub fn choose_host(&self, hosts: &[Ipv4Addr], level: PriorityLevel) -> Option<usize> {
        let ahead = self.admission.ahead(level);
        let mut rooms: HashMap<Ipv4Addr, (&RankRoom, &GroupCapacity)> = HashMap::new();
        for group in self.groups.values() {
            rooms.extend(group.ranks.iter().map(|rank| (rank.host, (rank, group))));
        }
        let mut slots: Vec<(u32, u64, usize)> = Vec::new();
        for (index, host) in hosts.iter().enumerate() {
            let Some((rank, group)) = rooms.get(host) else { continue };
            let tie = xxhash_rust::xxh3::xxh3_64_with_seed(&host.octets(), group.revision.0);
            let held = rank.requests + group.own_sends(*host);
            slots.extend((held..rank.limit + ahead).map(|held| (held * 1_000 / rank.limit, tie, index)));
        }
        slots.sort_unstable();
        let used = (self.admission.sends_per_response().ceil() as usize).clamp(1, slots.len().max(1));
        let position = (self.sender.phase() + self.sends as f64 * 0.618_034).fract();
        slots.get((position * used as f64) as usize).map(|(_fullness, _tie, index)| *index)
    }

    /// Records a send of this process.
    pub fn record_send(&mut self, index: GroupIndex, host: Ipv4Addr, now: UnixMillis) {
        self.sends += 1;
        let Some(group) = self.groups.get_mut(&index) else { return };
        if group.sends.len() == MAX_SENDS {
            group.sends.pop_front();
        }
        group.sends.push_back((now, host));
    }

    /// Age in milliseconds of the oldest reading of a group with a valid report.
    pub fn age_millis(&self, now: UnixMillis) -> Option<u64> {
        let fresh = self.groups.values().filter(|group| group.is_fresh(now));
        fresh.map(|group| now.since(group.reading)).max()
    }
}
