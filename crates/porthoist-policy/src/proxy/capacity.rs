//! Free capacity of the groups of a contended service, and its division among entries.
//!
//! This handles more requests than the groups can serve on time, sent by many entries that see the same
//! free slots in late reports. Each entry derives from a report, in the same way, what all entries
//! together may send until the next one and to which ranks, and sends its own share of that.

use super::demand::{LevelDemand, PriorityLevel, ServiceDemand};
use super::group_capacity::{CapacityReport, GroupCapacity};
use super::groups::GroupIndex;
use super::priority_levels::{LevelAdmission, LevelGrant, LevelSupply};
use super::rank_spread::{RankFill, spread};
use super::send_turns::SenderPosition;
use porthoist_core::{RequestRate, UnixMillis};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Requests that a rank may hold in addition to those that it runs. A slot that ends between two
/// reports would stay idle until the next one; a request that waits for one is started some 150 ms
/// later, and a more urgent one goes ahead of it.
const REQUESTS_AHEAD: u32 = 1;
/// Minimum number of requests for which ranks are chosen, per rank. Fewer would all go to the few ranks
/// that seem to be the emptiest.
const MIN_SPREAD: f64 = 0.5;
/// Shortest interval in milliseconds between two stored send rates.
const RATE_INTERVAL_MILLIS: u64 = 50;
/// Number of stored send rates: 6 s, which covers one and a half times the usual slot time.
const MAX_RATES: usize = 128;
/// Fraction of a round by which the next send of an entry is moved on: successive multiples of the
/// golden ratio are spread evenly.
const ROUND_STEP: f64 = 0.618_034;

/// Priority of a request for a service whose capacity is divided: that of its team, and among equal ones
/// that of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PriorityRank {
    /// Priority of its team, or of its route if the team has none.
    pub team: u8,
    /// Priority of its route.
    pub route: u8,
}

/// What operators configure for a service whose capacity is divided among entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CapacityRule {
    /// Longest pause in milliseconds between two events that all routes of the service permit; `None`
    /// if no route specifies one.
    pub pause_millis: Option<u64>,
    /// Priorities that requests can have, the most urgent first.
    pub ranks: Arc<[PriorityRank]>,
}

impl CapacityRule {
    /// The level of a priority among those that requests can have. All entries with the same configuration
    /// agree on it.
    pub fn level(&self, rank: PriorityRank) -> PriorityLevel {
        let level = self.ranks.partition_point(|known| *known < rank);
        PriorityLevel(u8::try_from(level).unwrap_or(u8::MAX))
    }
}

/// Capacity of a service as valid reports show it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityState {
    /// Age in milliseconds of the oldest engine reading.
    pub age_millis: u64,
    /// Requests that the ranks run concurrently.
    pub slots: f64,
    /// Free slots at the readings.
    pub free: f64,
    /// This process's share of the demand, from 0 to 1.
    pub share: f64,
}

/// What a process may send of one priority, and the age of what it is derived from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantState {
    /// The priority.
    pub level: PriorityLevel,
    /// The grant.
    pub grant: LevelGrant,
    /// Requests that all entries ask for, at all priorities.
    pub asked: RequestRate,
    /// Age in milliseconds of the oldest engine reading.
    pub age_millis: u64,
}

/// What all entries are expected to send from a moment on, in requests per second.
#[derive(Debug, Clone)]
struct ExpectedSends {
    since: UnixMillis,
    total: f64,
    by_host: HashMap<Ipv4Addr, f64>,
}

/// Capacity of one service and this process's part of it.
#[derive(Debug, Clone)]
pub struct ServiceCapacity {
    groups: BTreeMap<GroupIndex, GroupCapacity>,
    /// Demand of all entries, as last reported.
    demand: Option<ServiceDemand>,
    admission: LevelAdmission,
    sender: SenderPosition,
    expected: VecDeque<ExpectedSends>,
    /// Fractions of a priority's sends that each host gets, in an order that changes with each report.
    spreads: BTreeMap<PriorityLevel, Vec<(Ipv4Addr, f64)>>,
    /// Requests that all entries ask for, at all priorities.
    asked: RequestRate,
    /// Probable requests of each rank at the last division.
    fills: HashMap<Ipv4Addr, RankFill>,
    /// Sends of this process.
    sends: u64,
    /// This process's share of the demand.
    share: f64,
}

impl ServiceCapacity {
    /// Creates the capacity of a service without reports.
    pub fn new(sender: SenderPosition) -> Self {
        Self {
            groups: BTreeMap::new(),
            demand: None,
            admission: LevelAdmission::new(sender.phase()),
            sender,
            expected: VecDeque::new(),
            spreads: BTreeMap::new(),
            fills: HashMap::new(),
            asked: RequestRate::default(),
            sends: 0,
            share: 0.0,
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

    /// Applies a report of a group.
    pub fn apply_report(
        &mut self,
        index: GroupIndex,
        report: CapacityReport,
        demand: Option<&ServiceDemand>,
        now: UnixMillis,
    ) {
        match self.groups.get_mut(&index) {
            Some(group) => group.apply(report, now),
            None => {
                self.groups.insert(index, GroupCapacity::new(report, now));
            }
        }
        if let Some(demand) = demand {
            self.demand = Some(demand.clone());
        }
    }

    /// Divides what is free in the open groups among the priorities. `own` is this process's demand and
    /// `waiting` the number of its waiting requests by priority.
    pub fn divide(
        &mut self,
        own: &ServiceDemand,
        waiting: &BTreeMap<PriorityLevel, usize>,
        is_open: impl Fn(GroupIndex) -> bool,
        slot_millis: Option<f64>,
        now: UnixMillis,
    ) {
        let open = self.groups.iter().filter(|(index, group)| group.is_fresh(now) && is_open(**index));
        let open: Vec<&GroupCapacity> = open.map(|(_index, group)| group).collect();
        let slots: f64 = open.iter().map(|group| group.slots()).sum();
        if slots == 0.0 {
            self.admission.close();
            self.spreads.clear();
            self.fills.clear();
            return;
        }
        let mean = |value: fn(&GroupCapacity) -> f64| {
            open.iter().map(|group| value(group) * group.slots()).sum::<f64>() / slots
        };
        let end_rate = slot_millis.map_or(0.0, |millis| self.end_rate(&open, millis, now));
        let others = 1.0 - 1.0 / self.sender.count().max(1.0);
        let change: f64 = open
            .iter()
            .map(|group| {
                let reading = group.report.reading;
                let sent = self.expected_sends(reading, now) * group.slots() / slots;
                let ended = end_rate * group.running() * now.since(reading) as f64;
                f64::from(group.own_change(None)) + others * (sent - ended)
            })
            .sum();
        let free = |ahead: u32| open.iter().map(|group| group.free(ahead)).sum::<f64>() - change;
        let demand = self.all_demand(own);
        let (own_asked, all_asked) = (own.total_asked().0, demand.total_asked().0);
        self.asked = RequestRate(all_asked);
        self.share = if all_asked > 0.0 { (own_asked / all_asked).min(1.0) } else { 0.0 };
        let supply = LevelSupply {
            free: free(0),
            free_ahead: free(REQUESTS_AHEAD),
            response_millis: mean(GroupCapacity::response_millis),
            interval_millis: mean(GroupCapacity::interval_millis),
            demand: &demand,
            own,
            waiting,
        };
        self.admission.divide(&supply, now);
        let fills = self.rank_fills(&open, end_rate, others, now);
        self.spread_sends(&fills, &demand, now);
    }

    /// Hosts of ranks with their limits and probable requests.
    fn rank_fills(
        &self,
        groups: &[&GroupCapacity],
        end_rate: f64,
        others: f64,
        now: UnixMillis,
    ) -> Vec<(u64, Ipv4Addr, RankFill)> {
        let mut fills = Vec::new();
        for group in groups {
            let report = &group.report;
            for rank in &report.ranks {
                let sent = self.expected_sends_to(rank.host, report.reading, now);
                let running = f64::from(rank.requests.min(rank.limit));
                let ended = end_rate * running * now.since(report.reading) as f64;
                let own = f64::from(group.own_change(Some(rank.host)));
                let held = f64::from(rank.requests) + own + others * (sent - ended);
                let order = xxhash_rust::xxh3::xxh3_64_with_seed(&rank.host.octets(), report.revision.0);
                let limit = f64::from(rank.limit + REQUESTS_AHEAD);
                let fill = RankFill { held: held.max(0.0), limit };
                fills.push((order, rank.host, fill));
            }
        }
        fills.sort_by_key(|(order, _host, _fill)| *order);
        fills
    }

    /// Spreads the sends over the ranks, the most urgent ones over the emptiest, and notes what all entries
    /// will send.
    fn spread_sends(&mut self, fills: &[(u64, Ipv4Addr, RankFill)], demand: &ServiceDemand, now: UnixMillis) {
        let mut expected = ExpectedSends { since: now, total: 0.0, by_host: HashMap::new() };
        let mut ranks: Vec<RankFill> = fills.iter().map(|(_order, _host, fill)| *fill).collect();
        self.fills = fills.iter().map(|(_order, host, fill)| (*host, *fill)).collect();
        self.spreads.clear();
        for level in self.admission.levels().collect::<Vec<PriorityLevel>>() {
            let rate = self.admission.expected_rate(level, demand);
            let requests = self.admission.sends_per_response(level);
            let fractions = spread(&ranks, requests.max(fills.len() as f64 * MIN_SPREAD));
            expected.total += rate;
            for (((_order, host, _fill), fraction), rank) in fills.iter().zip(&fractions).zip(&mut ranks) {
                *expected.by_host.entry(*host).or_default() += rate * fraction;
                rank.held += requests * fraction;
            }
            let hosts = fills.iter().map(|(_order, host, _fill)| *host);
            self.spreads.insert(level, hosts.zip(fractions).collect());
        }
        match self.expected.back_mut() {
            Some(last) if now.since(last.since) < RATE_INTERVAL_MILLIS => {
                *last = ExpectedSends { since: last.since, ..expected };
            }
            _ => self.expected.push_back(expected),
        }
        if self.expected.len() > MAX_RATES {
            self.expected.pop_front();
        }
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

    /// Fraction of the running requests that end in one millisecond. As many end as were sent one slot
    /// time before; while the load rises, that is less than those that run would suggest.
    fn end_rate(&self, groups: &[&GroupCapacity], slot_millis: f64, now: UnixMillis) -> f64 {
        let before = |factor: f64| UnixMillis(now.0.saturating_sub((factor * slot_millis) as u64));
        let sent = self.expected_sends(before(1.5), now) - self.expected_sends(before(0.5), now);
        let running: f64 = groups.iter().map(|group| group.running()).sum();
        if running > 0.0 { (sent / running).clamp(0.0, 1.0) / slot_millis } else { 0.0 }
    }

    /// Requests that all entries ask for, at all priorities, as of the last division.
    pub fn asked(&self) -> RequestRate {
        self.asked
    }

    /// Number of requests that all entries have probably sent since `from`.
    fn expected_sends(&self, from: UnixMillis, now: UnixMillis) -> f64 {
        self.sum_expected(|sends| sends.total, from, now)
    }

    fn expected_sends_to(&self, host: Ipv4Addr, from: UnixMillis, now: UnixMillis) -> f64 {
        self.sum_expected(|sends| sends.by_host.get(&host).copied().unwrap_or_default(), from, now)
    }

    fn sum_expected(&self, rate: impl Fn(&ExpectedSends) -> f64, from: UnixMillis, now: UnixMillis) -> f64 {
        let (mut until, mut sum) = (now, 0.0);
        for sends in self.expected.iter().rev() {
            sum += rate(sends) * until.since(sends.since.max(from)) as f64 / 1_000.0;
            until = until.min(sends.since);
            if sends.since <= from {
                break;
            }
        }
        sum
    }

    /// Whether this process may send one more request of a priority now; uses its grant if so.
    pub fn try_admit(&mut self, level: PriorityLevel) -> bool {
        self.admission.try_admit(level)
    }

    /// Whether this process may send a request of a priority while no report shows what is free.
    pub fn try_admit_blindly(&mut self, level: PriorityLevel) -> bool {
        self.admission.try_admit_blindly(level)
    }

    /// Whether reports have been received that are no longer valid.
    pub fn is_outdated(&self, is_open: impl Fn(GroupIndex) -> bool, now: UnixMillis) -> bool {
        let mut open = self.groups.iter().filter(|(index, _group)| is_open(**index)).peekable();
        open.peek().is_some() && open.all(|(_index, group)| !group.is_fresh(now))
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

    /// Whether no less urgent priority is known.
    pub fn is_least_urgent(&self, level: PriorityLevel) -> bool {
        self.admission.is_least(level)
    }

    /// Chooses one of `hosts` for a request: each entry begins at its own position in the spread, and its
    /// further sends are spread evenly.
    pub fn choose_host(&self, hosts: &[Ipv4Addr], level: PriorityLevel) -> Option<usize> {
        let level = self.spreads.range(level..).next().map(|(level, _spread)| level)?;
        let shares: Vec<(usize, f64)> = self.spreads[level]
            .iter()
            .filter_map(|(host, share)| Some((hosts.iter().position(|other| other == host)?, *share)))
            .collect();
        let total: f64 = shares.iter().map(|(_index, share)| share).sum();
        let mut left = (self.sender.phase() + self.sends as f64 * ROUND_STEP).fract() * total;
        let chosen = shares.iter().filter(|(_index, share)| *share > 0.0).find(|(_index, share)| {
            left -= share;
            left < 0.0
        });
        chosen.map(|(index, _share)| *index).or_else(|| self.emptiest_host(hosts))
    }

    /// The host with the fewest probable requests among those that have a free slot. The emptiest ranks, over
    /// which sends are spread, may all be cold, ejected or already tried.
    fn emptiest_host(&self, hosts: &[Ipv4Addr]) -> Option<usize> {
        let fills = hosts.iter().enumerate().filter_map(|(index, host)| Some((index, self.fills.get(host)?)));
        let free = fills.filter(|(_index, fill)| fill.held + 1.0 <= fill.limit);
        let emptiest = free.min_by(|(_left, left), (_right, right)| left.held.total_cmp(&right.held));
        emptiest.map(|(index, _fill)| index)
    }

    /// Records a send of this process.
    pub fn record_send(&mut self, index: GroupIndex, host: Ipv4Addr, now: UnixMillis) {
        self.sends += 1;
        if let Some(group) = self.groups.get_mut(&index) {
            group.record_change(host, 1, now);
        }
    }

    /// Records the end of a request of this process.
    pub fn record_end(&mut self, index: GroupIndex, host: Ipv4Addr, now: UnixMillis) {
        if let Some(group) = self.groups.get_mut(&index) {
            group.record_change(host, -1, now);
        }
    }

    /// The capacity as valid reports show it, or `None` without one.
    pub fn state(&self, now: UnixMillis) -> Option<CapacityState> {
        let fresh = || self.groups.values().filter(|group| group.is_fresh(now));
        Some(CapacityState {
            age_millis: fresh().map(|group| now.since(group.report.reading)).max()?,
            slots: fresh().map(GroupCapacity::slots).sum(),
            free: fresh().map(|group| group.free(0)).sum(),
            share: self.share,
        })
    }
}
