//! Simulates several groups in zones behind several entry processes while one group or zone is
//! disturbed. Uses the entries' own decisions in virtual time and compares three ways: all ranks
//! treated as one group, each group judged by itself, and each group judged by itself with requests
//! moved as well.

mod entry;

use super::callers::{CallerLoad, CallerOutcome, SimulatedCaller};
use super::group::{GroupState, RankGroup};
use super::{DEADLINE_MILLIS, LATE_CREDIT, TICK_MILLIS};
use crate::report::rounded;
use entry::{EntryDecision, GroupReport, SimulatedEntry};
use porthoist_core::UnixMillis;
use porthoist_policy::proxy::pass_time::{GroupSample, PassTimer};
use porthoist_policy::roll_forward::{GroupEpoch, RankPace};
use porthoist_policy::switch::StepNumber;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of groups, one in each zone.
pub const GROUPS: usize = 3;
/// Number of ranks in a group.
pub const RANKS: usize = 12;
/// Maximum number of concurrent requests at a rank.
const SLOTS: u32 = 12;
/// Number of entry processes. The first third is in the first zone.
const ENTRIES: usize = 9;
/// Load as a fraction of the capacity of all groups.
const LOAD_FRACTION: f64 = 0.35;
/// Start of the disturbance, in milliseconds.
const DISTURBANCE_START_MILLIS: u64 = 6_000;
/// Interval in milliseconds between two checks whether a request should move, as in the daemon.
const MOVE_CHECK_MILLIS: u64 = 50;
/// Expert skew with a matching map.
const BALANCED_SKEW: f64 = 1.35;

/// Fault of the first group or zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupFault {
    /// No fault.
    None,
    /// A rank is slower by a factor of 12 for 8 s.
    Slow,
    /// The group is down for 4 s.
    Held,
    /// The zone's entries reach no other zone for 6 s, and learn it only from missing events.
    CutOff,
}

impl GroupFault {
    /// All faults.
    pub const ALL: [Self; 4] = [Self::None, Self::Slow, Self::Held, Self::CutOff];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Slow => "slow",
            Self::Held => "held",
            Self::CutOff => "cut off",
        }
    }

    fn duration_millis(self) -> u64 {
        match self {
            Self::None => 0,
            Self::Slow => 8_000,
            Self::Held => 4_000,
            Self::CutOff => 6_000,
        }
    }

    fn is_active(self, now: UnixMillis) -> bool {
        (DISTURBANCE_START_MILLIS..DISTURBANCE_START_MILLIS + self.duration_millis()).contains(&now.0)
    }

    fn state(self, group: usize, now: UnixMillis) -> GroupState {
        let disturbed = group == 0 && self.is_active(now);
        GroupState {
            skew: BALANCED_SKEW,
            down: disturbed && self == Self::Held,
            slowdown: if disturbed && self == Self::Slow { 12.0 } else { 1.0 },
        }
    }

    /// Whether an entry reaches a group.
    fn reaches(self, entry: usize, group: usize, now: UnixMillis) -> bool {
        let unreachable = self == Self::CutOff && self.is_active(now);
        !unreachable || (zone_of(entry) == 0) == (group == 0)
    }
}

fn zone_of(entry: usize) -> usize {
    entry * GROUPS / ENTRIES
}

/// How entries treat the groups of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupingMethod {
    /// All ranks of the service count as one group.
    Together,
    /// Each group is judged by itself.
    ByGroup,
    /// Each group is judged by itself, and requests move between groups.
    ByGroupMoving,
}

impl GroupingMethod {
    /// All methods.
    pub const ALL: [Self; 3] = [Self::Together, Self::ByGroup, Self::ByGroupMoving];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Together => "together",
            Self::ByGroup => "by group",
            Self::ByGroupMoving => "moving",
        }
    }
}

/// Outcome of a run for all callers.
#[derive(Debug, Clone, Serialize)]
pub struct GroupsReport {
    /// Number of requested streams.
    pub asked: usize,
    /// Fraction served on time.
    pub in_time: f64,
    /// Fraction served late.
    pub late: f64,
    /// Fraction refused or whose callers left.
    pub lost: f64,
    /// Mean number of moves per request.
    pub moves: f64,
    /// Mean credit per stream: 1 on time, [`LATE_CREDIT`] late.
    pub credit: f64,
}

/// Simulates a fault with every method, for a number of seconds.
pub fn compare(fault: GroupFault, seconds: u64, seed: u64) -> BTreeMap<&'static str, GroupsReport> {
    GroupingMethod::ALL
        .into_iter()
        .map(|method| (method.name(), simulate(fault, method, seconds, seed)))
        .collect()
}

/// Simulates a fault with one method.
pub fn simulate(fault: GroupFault, method: GroupingMethod, seconds: u64, seed: u64) -> GroupsReport {
    let mut simulation = GroupsSimulation::new(fault, method, seed);
    let ticks = seconds * 1_000 / TICK_MILLIS;
    for tick in 0..ticks + DEADLINE_MILLIS / TICK_MILLIS {
        simulation.tick(UnixMillis(tick * TICK_MILLIS), tick < ticks);
    }
    simulation.report()
}

/// A group and what its load reports contain.
struct SimulatedGroup {
    ranks: RankGroup,
    pass_timer: PassTimer,
    sent_revision: u64,
}

struct GroupsSimulation {
    fault: GroupFault,
    method: GroupingMethod,
    random: Pcg64Mcg,
    load: CallerLoad,
    groups: Vec<SimulatedGroup>,
    entries: Vec<SimulatedEntry>,
    callers: Vec<SimulatedCaller>,
    moves: usize,
}

impl GroupsSimulation {
    fn new(fault: GroupFault, method: GroupingMethod, seed: u64) -> Self {
        let group = || SimulatedGroup {
            ranks: RankGroup::new(RANKS, SLOTS),
            pass_timer: PassTimer::default(),
            sent_revision: 0,
        };
        Self {
            fault,
            method,
            random: Pcg64Mcg::seed_from_u64(seed),
            load: CallerLoad::Steady(LOAD_FRACTION * GROUPS as f64),
            groups: (0..GROUPS).map(|_group| group()).collect(),
            entries: (0..ENTRIES)
                .map(|entry| SimulatedEntry::new(zone_of(entry), SLOTS, seed + entry as u64))
                .collect(),
            callers: Vec::new(),
            moves: 0,
        }
    }

    fn tick(&mut self, now: UnixMillis, arriving: bool) {
        if arriving {
            self.add_arrivals(now);
        }
        self.advance(now);
        self.send_reports(now);
        self.remove_timed_out(now);
        if self.method == GroupingMethod::ByGroupMoving && now.0.is_multiple_of(MOVE_CHECK_MILLIS) {
            self.move_requests(now);
        }
    }

    fn add_arrivals(&mut self, now: UnixMillis) {
        for _caller in 0..self.load.arrivals(now, &mut self.random) {
            let events = self.load.events(&mut self.random);
            self.callers.push(SimulatedCaller::new(events, now));
            self.submit(self.callers.len() - 1, now);
        }
    }

    fn submit(&mut self, caller: usize, now: UnixMillis) {
        let simulated = &mut self.callers[caller];
        let entry = caller % ENTRIES;
        match self.entries[entry].decide(caller, simulated, now) {
            EntryDecision::Assign(rank_index) => {
                simulated.assign(rank_index, now);
                let events = simulated.events_remaining();
                let (group, rank) = (rank_index / RANKS, rank_index % RANKS);
                if self.fault.reaches(entry, group, now) {
                    self.groups[group].ranks.add(caller, rank, events);
                }
            }
            EntryDecision::Refuse => {
                simulated.refuse(DEADLINE_MILLIS, now);
            }
        }
    }

    fn advance(&mut self, now: UnixMillis) {
        for group in 0..GROUPS {
            let state = self.fault.state(group, now);
            self.groups[group].ranks.set_state(state);
            for event in self.groups[group].ranks.advance(now) {
                let (entry, rank_index) = (event.caller % ENTRIES, group * RANKS + event.rank);
                if !self.fault.reaches(entry, group, now) || self.callers[event.caller].has_ended() {
                    continue;
                }
                let caller = &mut self.callers[event.caller];
                let first = caller.receive_event(now);
                self.entries[entry].event_received(
                    rank_index,
                    first.then(|| now.since(caller.assigned_at())),
                    now,
                );
                if event.last {
                    caller.finish(now);
                    self.entries[entry].stream_ended(event.caller, caller.events(), now);
                }
            }
        }
    }

    /// Sends the load reports of each group to the entries that can reach it.
    fn send_reports(&mut self, now: UnixMillis) {
        for (index, group) in self.groups.iter_mut().enumerate() {
            let load_view = group.ranks.load_view();
            let slowdown = self.fault.state(index, now).slowdown;
            let sample = GroupSample {
                epoch: GroupEpoch(1),
                step: StepNumber(group.ranks.passes()),
                busy: load_view.requests.iter().any(|requests| *requests > 0),
                slowest: RankPace::from_factor(slowdown),
            };
            group.pass_timer.observe(sample, now);
            if load_view.revision == group.sent_revision {
                continue;
            }
            group.sent_revision = load_view.revision;
            let report = GroupReport {
                group: index,
                requests: &load_view.requests,
                pass: group.pass_timer.pass(now),
                single_group: self.method == GroupingMethod::Together,
            };
            for (entry, simulated_entry) in self.entries.iter_mut().enumerate() {
                if self.fault.reaches(entry, index, now) {
                    simulated_entry.apply_report(&report, now);
                }
            }
        }
    }

    fn remove_timed_out(&mut self, now: UnixMillis) {
        for caller in 0..self.callers.len() {
            let Some(rank_index) = self.callers[caller].leave_on_timeout(now) else { continue };
            self.groups[rank_index / RANKS].ranks.cancel(caller);
            self.entries[caller % ENTRIES].request_abandoned(caller, now);
        }
    }

    fn move_requests(&mut self, now: UnixMillis) {
        for entry in 0..ENTRIES {
            for caller in self.entries[entry].requests_to_move(&self.callers, now) {
                let Some(rank_index) = self.callers[caller].assigned_rank() else { continue };
                self.groups[rank_index / RANKS].ranks.cancel(caller);
                self.entries[entry].request_abandoned(caller, now);
                self.moves += 1;
                self.submit(caller, now);
            }
        }
    }

    fn report(&self) -> GroupsReport {
        let asked = self.callers.len().max(1);
        let fraction = |outcome: CallerOutcome| {
            let count = self.callers.iter().filter(|caller| caller.outcome() == outcome).count();
            count as f64 / asked as f64
        };
        let (in_time, late) = (fraction(CallerOutcome::InTime), fraction(CallerOutcome::Late));
        GroupsReport {
            asked,
            in_time: rounded(in_time),
            late: rounded(late),
            lost: rounded(1.0 - in_time - late),
            moves: rounded(self.moves as f64 / asked as f64),
            credit: rounded(in_time + LATE_CREDIT * late),
        }
    }
}
