//! Several groups in zones behind several entry processes, one of them disturbed: the very decisions of the entries in
//! virtual time, judging all ranks as one group, judging groups, and moving requests as well.

mod entry;

use super::callers::{CallerLoad, CallerOutcome, PlayedCaller};
use super::group::{GroupState, RankGroup};
use super::{DEADLINE_MILLIS, LATE_CREDIT, TICK_MILLIS};
use crate::report::rounded;
use entry::{EntryAnswer, EntryDesk, GroupReport};
use porthoist_core::UnixMillis;
use porthoist_policy::proxy::pass_time::{GroupSample, PassTimer};
use porthoist_policy::roll_forward::{GroupEpoch, RankPace};
use porthoist_policy::switch::StepNumber;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::BTreeMap;

/// Groups, one in each zone.
pub const GROUPS: usize = 3;
/// Ranks of a group.
pub const RANKS: usize = 12;
/// Requests that a rank runs at once.
const SLOTS: u32 = 12;
/// Entry processes; the first third is in the first zone.
const ENTRIES: usize = 9;
/// Part of what the groups bear that callers ask for.
const LOAD_PART: f64 = 0.35;
/// When the disturbance begins, in milliseconds.
const DISTURBED_AT: u64 = 6_000;
/// Time between two looks whether a request should move, in milliseconds, as in the daemon.
const LOOK_MILLIS: u64 = 50;
/// Expert skew with a good map.
const GOOD_SKEW: f64 = 1.35;

/// What happens to the first group or zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupFault {
    /// Nothing.
    None,
    /// A rank is slow by 12 for 8 s.
    Slow,
    /// The group is held for 4 s.
    Held,
    /// The entries of the zone reach no other zone for 6 s, and learn it by silence only.
    CutOff,
}

impl GroupFault {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::None, Self::Slow, Self::Held, Self::CutOff];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Slow => "slow",
            Self::Held => "held",
            Self::CutOff => "cut off",
        }
    }

    fn millis(self) -> u64 {
        match self {
            Self::None => 0,
            Self::Slow => 8_000,
            Self::Held => 4_000,
            Self::CutOff => 6_000,
        }
    }

    fn acts(self, now: UnixMillis) -> bool {
        (DISTURBED_AT..DISTURBED_AT + self.millis()).contains(&now.0)
    }

    fn state(self, group: usize, now: UnixMillis) -> GroupState {
        let disturbed = group == 0 && self.acts(now);
        GroupState {
            skew: GOOD_SKEW,
            down: disturbed && self == Self::Held,
            pace: if disturbed && self == Self::Slow { 12.0 } else { 1.0 },
        }
    }

    /// Whether an entry reaches a group.
    fn reaches(self, entry: usize, group: usize, now: UnixMillis) -> bool {
        let cut = self == Self::CutOff && self.acts(now);
        !cut || (zone_of(entry) == 0) == (group == 0)
    }
}

fn zone_of(entry: usize) -> usize {
    entry * GROUPS / ENTRIES
}

/// How entries judge groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JudgeWay {
    /// All ranks of the service as one group.
    Together,
    /// Each group by itself.
    ByGroup,
    /// Each group by itself, and requests move.
    ByGroupMoving,
}

impl JudgeWay {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Together, Self::ByGroup, Self::ByGroupMoving];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Together => "together",
            Self::ByGroup => "by group",
            Self::ByGroupMoving => "moving",
        }
    }
}

/// What callers got.
#[derive(Debug, Clone, Serialize)]
pub struct GroupsReport {
    /// Streams asked for.
    pub asked: usize,
    /// Part on time.
    pub in_time: f64,
    /// Part served late.
    pub late: f64,
    /// Part refused, or whose callers left.
    pub lost: f64,
    /// Moves by request.
    pub moves: f64,
    /// Credit a stream: on time 1, late [`LATE_CREDIT`].
    pub credit: f64,
}

/// Plays a fault under every way, for so many seconds.
pub fn compare(fault: GroupFault, seconds: u64, seed: u64) -> BTreeMap<&'static str, GroupsReport> {
    JudgeWay::ALL.into_iter().map(|way| (way.name(), play(fault, way, seconds, seed))).collect()
}

/// Plays a fault under one way.
pub fn play(fault: GroupFault, way: JudgeWay, seconds: u64, seed: u64) -> GroupsReport {
    let mut world = GroupsWorld::new(fault, way, seed);
    let ticks = seconds * 1_000 / TICK_MILLIS;
    for tick in 0..ticks + DEADLINE_MILLIS / TICK_MILLIS {
        world.tick(UnixMillis(tick * TICK_MILLIS), tick < ticks);
    }
    world.report()
}

/// A group with what is told of it.
struct PlayedGroup {
    ranks: RankGroup,
    timer: PassTimer,
    told: u64,
}

struct GroupsWorld {
    fault: GroupFault,
    way: JudgeWay,
    random: Pcg64Mcg,
    load: CallerLoad,
    groups: Vec<PlayedGroup>,
    entries: Vec<EntryDesk>,
    callers: Vec<PlayedCaller>,
    moves: usize,
}

impl GroupsWorld {
    fn new(fault: GroupFault, way: JudgeWay, seed: u64) -> Self {
        let group =
            || PlayedGroup { ranks: RankGroup::new(RANKS, SLOTS), timer: PassTimer::default(), told: 0 };
        Self {
            fault,
            way,
            random: Pcg64Mcg::seed_from_u64(seed),
            load: CallerLoad::Steady(LOAD_PART * GROUPS as f64),
            groups: (0..GROUPS).map(|_group| group()).collect(),
            entries: (0..ENTRIES)
                .map(|entry| EntryDesk::new(zone_of(entry), SLOTS, seed + entry as u64))
                .collect(),
            callers: Vec::new(),
            moves: 0,
        }
    }

    fn tick(&mut self, now: UnixMillis, asking: bool) {
        if asking {
            self.arrive(now);
        }
        self.advance(now);
        self.tell(now);
        self.leave(now);
        if self.way == JudgeWay::ByGroupMoving && now.0.is_multiple_of(LOOK_MILLIS) {
            self.move_requests(now);
        }
    }

    fn arrive(&mut self, now: UnixMillis) {
        for _caller in 0..self.load.arrivals(now, &mut self.random) {
            let events = self.load.events(&mut self.random);
            self.callers.push(PlayedCaller::new(events, now));
            self.ask(self.callers.len() - 1, now);
        }
    }

    fn ask(&mut self, caller: usize, now: UnixMillis) {
        let played = &mut self.callers[caller];
        let entry = caller % ENTRIES;
        match self.entries[entry].ask(caller, played, now) {
            EntryAnswer::Place(place) => {
                played.place(place, now);
                let events = played.events_left();
                let (group, rank) = (place / RANKS, place % RANKS);
                if self.fault.reaches(entry, group, now) {
                    self.groups[group].ranks.add(caller, rank, events);
                }
            }
            EntryAnswer::Refuse => {
                played.refuse(DEADLINE_MILLIS, now);
            }
        }
    }

    fn advance(&mut self, now: UnixMillis) {
        for group in 0..GROUPS {
            let state = self.fault.state(group, now);
            self.groups[group].ranks.set_state(state);
            for event in self.groups[group].ranks.advance(now) {
                let (entry, place) = (event.caller % ENTRIES, group * RANKS + event.rank);
                if !self.fault.reaches(entry, group, now) || self.callers[event.caller].left() {
                    continue;
                }
                let caller = &mut self.callers[event.caller];
                let first = caller.event(now);
                self.entries[entry].heard(place, first.then(|| now.since(caller.placed())), now);
                if event.last {
                    caller.finish(now);
                    self.entries[entry].finished(event.caller, caller.events(), now);
                }
            }
        }
    }

    /// Tells the entries what each group reported, or all together.
    fn tell(&mut self, now: UnixMillis) {
        for (index, group) in self.groups.iter_mut().enumerate() {
            let known = group.ranks.known();
            let slow = self.fault.state(index, now).pace;
            let seen = GroupSample {
                epoch: GroupEpoch(1),
                step: StepNumber(group.ranks.passes()),
                busy: known.requests.iter().any(|requests| *requests > 0),
                slowest: RankPace::from_factor(slow),
            };
            group.timer.observe(seen, now);
            if known.revision == group.told {
                continue;
            }
            group.told = known.revision;
            let report = GroupReport {
                group: index,
                requests: &known.requests,
                pass: group.timer.pass(now),
                together: self.way == JudgeWay::Together,
            };
            for (entry, desk) in self.entries.iter_mut().enumerate() {
                if self.fault.reaches(entry, index, now) {
                    desk.take_report(&report, now);
                }
            }
        }
    }

    fn leave(&mut self, now: UnixMillis) {
        for caller in 0..self.callers.len() {
            let Some(place) = self.callers[caller].lose_patience(now) else { continue };
            self.groups[place / RANKS].ranks.cancel(caller);
            self.entries[caller % ENTRIES].left(caller, now);
        }
    }

    fn move_requests(&mut self, now: UnixMillis) {
        for entry in 0..ENTRIES {
            for caller in self.entries[entry].moving(&self.callers, now) {
                let Some(place) = self.callers[caller].place_now() else { continue };
                self.groups[place / RANKS].ranks.cancel(caller);
                self.entries[entry].left(caller, now);
                self.moves += 1;
                self.ask(caller, now);
            }
        }
    }

    fn report(&self) -> GroupsReport {
        let asked = self.callers.len().max(1);
        let part = |outcome: CallerOutcome| {
            let count = self.callers.iter().filter(|caller| caller.outcome() == outcome).count();
            count as f64 / asked as f64
        };
        let (in_time, late) = (part(CallerOutcome::InTime), part(CallerOutcome::Late));
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
