//! The rules that are compared: porthoist's own desk, a fixed wait, two choices with a fixed bound, and one that knows all.

use super::callers::PlayedCaller;
use super::group::KnownLoads;
use super::{LATENCY_MILLIS, deadline};
use porthoist_core::{ServiceName, StartMillis, TargetName, UnixDeadline, UnixMillis};
use porthoist_policy::proxy::balancer::{BalancerSettings, RequestWork, SendOutcome};
use porthoist_policy::proxy::cold_start::ColdStatus;
use porthoist_policy::proxy::group_loads::{GroupLoads, LoadRevision, RankLoad};
use porthoist_policy::proxy::scheduler::{RequestScheduler, SlotDecision, SlotRequest};
use porthoist_policy::proxy::targets::{TargetRecord, TargetRegistry, TargetState};
use porthoist_policy::proxy::wait_queue::QueueClass;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

/// Part of the target latency that the fixed wait allows, and its two times to come back, in milliseconds, after an answer
/// within [`SILENT_MILLIS`] and without.
const FIXED_WAIT_PART: f64 = 0.24;
const FIXED_BUSY_MILLIS: u64 = 900;
const FIXED_SILENT_MILLIS: u64 = 2_600;
const SILENT_MILLIS: u64 = 1_000;
/// Requests at a rank that two choices allow, and when they send callers back, in milliseconds.
const CHOICES_BOUND: u32 = 10;
const CHOICES_MILLIS: u64 = 1_000;
/// How the omniscient rule sends callers back, in milliseconds: as late as leaves them time to be served.
const OMNISCIENT_MILLIS: u64 = 2_600;

/// Which rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuleKind {
    /// Porthoist's desk.
    Forecast,
    /// A fixed part of the target latency, then one of two fixed times to come back.
    FixedWait,
    /// The better of two random ranks, up to a bound.
    TwoChoices,
    /// Knows the ranks' loads and outages as they are.
    Omniscient,
}

impl RuleKind {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Forecast, Self::FixedWait, Self::TwoChoices, Self::Omniscient];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Forecast => "porthoist",
            Self::FixedWait => "fixed_wait",
            Self::TwoChoices => "two_choices",
            Self::Omniscient => "omniscient",
        }
    }

    /// A rule for a group.
    pub fn build(self, ranks: usize, slots: u32, seed: u64) -> Box<dyn EntryRule> {
        match self {
            Self::Forecast => Box::new(DeskRule::new(ranks, slots, seed)),
            Self::FixedWait | Self::TwoChoices | Self::Omniscient => {
                Box::new(BoundRule::new(self, slots, seed))
            }
        }
    }
}

/// What a rule does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuleAnswer {
    /// It goes to this rank.
    Place(usize),
    /// It waits.
    Wait,
    /// It is refused; its caller should come back after so many milliseconds.
    Refuse(u64),
}

/// Decides for one entry process in front of one group.
pub trait EntryRule {
    /// What becomes of a request.
    fn ask(
        &mut self,
        caller: usize,
        now: UnixMillis,
        deadline: UnixDeadline,
        came_back: bool,
        known: KnownLoads,
    ) -> RuleAnswer;
    /// A place is free after so many milliseconds; whether an answer had taken it.
    fn ended(&mut self, rank: usize, held_millis: u64, answered: bool, now: UnixMillis);
    /// A first event came so many milliseconds after its request had a place.
    fn began(&mut self, millis: u64, now: UnixMillis);
    /// An event came.
    fn heard(&mut self, now: UnixMillis);
    /// The group gave a request back.
    fn returned(&mut self, rank: usize, now: UnixMillis);
    /// When a caller whose request was given back should come back, in milliseconds.
    fn return_millis(&mut self, deadline: UnixDeadline, now: UnixMillis) -> u64;
    /// Those that wait and are refused now, with the time to come back.
    fn refuse_waiting(&mut self, now: UnixMillis) -> Vec<(usize, u64)>;
    /// One that waited and has a place now.
    fn next_served(
        &mut self,
        now: UnixMillis,
        callers: &[PlayedCaller],
        known: KnownLoads,
    ) -> Option<(usize, usize)>;
}

#[derive(Debug)]
struct DeskRule {
    desk: RequestScheduler<usize>,
    service: ServiceName,
    /// The first rank, which speaks for the group.
    first: TargetRecord,
    waiting: VecDeque<(usize, UnixDeadline)>,
    revision: u64,
    random: Pcg64Mcg,
}

fn target(rank: usize) -> TargetName {
    format!("t{rank}").parse().expect("a valid name")
}

fn host(rank: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, rank as u8 + 1)
}

impl DeskRule {
    fn new(ranks: usize, slots: u32, seed: u64) -> Self {
        let service: ServiceName = "s".parse().expect("a valid name");
        let zone: porthoist_core::ZoneName = "z".parse().expect("a valid name");
        let settings =
            BalancerSettings::builder().zone(zone.clone()).per_rank(3).rank_limit(slots).seed(seed).build();
        let record = |rank: usize| TargetRecord {
            id: target(rank),
            born: StartMillis::default(),
            service: service.clone(),
            address: (host(rank), 9).into(),
            zone: zone.clone(),
            slots,
            state: TargetState::Ready,
            cold: ColdStatus::Unknown,
        };
        let mut book = TargetRegistry::default();
        book.apply_listing((0..ranks).map(record), None);
        let mut desk = RequestScheduler::new(settings);
        desk.sync(&book);
        let random = Pcg64Mcg::seed_from_u64(seed);
        let first = record(0);
        Self { desk, service, first, waiting: VecDeque::new(), revision: 0, random }
    }

    fn hear_loads(&mut self, known: &KnownLoads, now: UnixMillis) {
        if known.revision == self.revision {
            return;
        }
        self.revision = known.revision;
        let ranks = known.requests.iter().enumerate();
        let ranks =
            ranks.map(|(rank, requests)| RankLoad { host: host(rank), requests: *requests, silent: false });
        let loads = GroupLoads {
            revision: LoadRevision(known.revision),
            ranks: ranks.collect(),
            ..GroupLoads::default()
        };
        self.desk.update_loads(&loads, now);
    }

    fn rank(record: &TargetRecord) -> usize {
        let digits = record.id.as_str().trim_start_matches('t');
        digits.parse().expect("targets are named by their rank")
    }
}

impl EntryRule for DeskRule {
    fn ask(
        &mut self,
        caller: usize,
        now: UnixMillis,
        deadline: UnixDeadline,
        came_back: bool,
        known: KnownLoads,
    ) -> RuleAnswer {
        self.hear_loads(&known, now);
        let demand = SlotRequest {
            service: self.service.clone(),
            ranked: true,
            work: RequestWork::default(),
            priority: 1,
            tried: Vec::new(),
            arrival: now,
            latency_millis: LATENCY_MILLIS,
            deadline,
            class: if came_back { QueueClass::CallerRetry } else { QueueClass::First },
        };
        match self.desk.decide(&demand, now) {
            SlotDecision::Assign(chosen) => RuleAnswer::Place(Self::rank(&chosen.record)),
            SlotDecision::Wait(until) => {
                self.desk.enqueue(demand, caller);
                self.waiting.push_back((caller, until));
                RuleAnswer::Wait
            }
            SlotDecision::Refuse(_reason) => RuleAnswer::Refuse(self.return_millis(deadline, now)),
        }
    }

    fn ended(&mut self, rank: usize, held_millis: u64, answered: bool, now: UnixMillis) {
        let outcome =
            if answered { SendOutcome::Answered(held_millis as f64) } else { SendOutcome::Abandoned };
        let service = self.service.clone();
        self.desk.ended(&service, &target(rank).into(), RequestWork::default(), outcome, held_millis, now);
    }

    fn began(&mut self, millis: u64, now: UnixMillis) {
        self.desk.first_event_received(&self.first, millis as f64, now);
    }

    fn heard(&mut self, now: UnixMillis) {
        self.desk.event_received(&self.first, now);
    }

    fn returned(&mut self, rank: usize, now: UnixMillis) {
        self.desk.refused(&self.service, now);
        let service = self.service.clone();
        self.desk.ended(&service, &target(rank).into(), RequestWork::default(), SendOutcome::Shed, 0, now);
    }

    fn return_millis(&mut self, deadline: UnixDeadline, now: UnixMillis) -> u64 {
        let point = self.random.random_range(0.0..1.0);
        self.desk.retry_after_millis(&self.service, deadline, point, now)
    }

    fn refuse_waiting(&mut self, now: UnixMillis) -> Vec<(usize, u64)> {
        let hopeless = self.desk.take_unservable(&self.service, now);
        let over = self.waiting.iter().filter(|(_caller, until)| until.passed(now));
        let refused: Vec<usize> = over.map(|(caller, _until)| *caller).chain(hopeless).collect();
        self.waiting.retain(|(caller, _until)| !refused.contains(caller));
        refused.into_iter().map(|caller| (caller, self.return_millis(deadline(now), now))).collect()
    }

    fn next_served(
        &mut self,
        now: UnixMillis,
        callers: &[PlayedCaller],
        known: KnownLoads,
    ) -> Option<(usize, usize)> {
        self.hear_loads(&known, now);
        let waits = |caller: &usize| callers[*caller].waits();
        let (caller, chosen, _work) = self.desk.next_ready(&self.service, waits, now)?;
        self.waiting.retain(|(waiting, _until)| *waiting != caller);
        Some((caller, Self::rank(&chosen.record)))
    }
}

/// Rules with a fixed bound on the requests at a rank.
#[derive(Debug)]
struct BoundRule {
    kind: RuleKind,
    bound: u32,
    waiting: VecDeque<(usize, UnixDeadline)>,
    heard: UnixMillis,
    random: Pcg64Mcg,
}

impl BoundRule {
    fn new(kind: RuleKind, slots: u32, seed: u64) -> Self {
        let bound = match kind {
            RuleKind::TwoChoices => CHOICES_BOUND,
            RuleKind::Forecast | RuleKind::FixedWait | RuleKind::Omniscient => slots,
        };
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { kind, bound, waiting: VecDeque::new(), heard: UnixMillis(0), random }
    }

    fn choose(&mut self, known: &KnownLoads) -> Option<usize> {
        let ranks = known.present.len();
        let candidates: Vec<usize> = match self.kind {
            RuleKind::TwoChoices => (0..2).map(|_choice| self.random.random_range(0..ranks)).collect(),
            _ => (0..ranks).collect(),
        };
        if self.kind == RuleKind::Omniscient && known.down {
            return None;
        }
        let least = candidates.into_iter().min_by_key(|rank| known.present[*rank])?;
        (known.present[least] < self.bound).then_some(least)
    }
}

impl EntryRule for BoundRule {
    fn ask(
        &mut self,
        caller: usize,
        now: UnixMillis,
        deadline: UnixDeadline,
        _came_back: bool,
        known: KnownLoads,
    ) -> RuleAnswer {
        if self.waiting.is_empty()
            && let Some(rank) = self.choose(&known)
        {
            return RuleAnswer::Place(rank);
        }
        let wait = match self.kind {
            RuleKind::FixedWait => (LATENCY_MILLIS as f64 * FIXED_WAIT_PART) as u64,
            _ => return RuleAnswer::Refuse(self.return_millis(deadline, now)),
        };
        self.waiting.push_back((caller, UnixDeadline::after(now, wait)));
        RuleAnswer::Wait
    }

    fn ended(&mut self, _rank: usize, _held_millis: u64, _answered: bool, _now: UnixMillis) {}

    fn began(&mut self, _millis: u64, now: UnixMillis) {
        self.heard = now;
    }

    fn heard(&mut self, now: UnixMillis) {
        self.heard = now;
    }

    fn returned(&mut self, _rank: usize, _now: UnixMillis) {}

    fn return_millis(&mut self, deadline: UnixDeadline, now: UnixMillis) -> u64 {
        let silent = now.since(self.heard) > SILENT_MILLIS;
        let millis = match self.kind {
            RuleKind::TwoChoices => CHOICES_MILLIS,
            RuleKind::Omniscient => OMNISCIENT_MILLIS,
            RuleKind::Forecast | RuleKind::FixedWait if silent => FIXED_SILENT_MILLIS,
            RuleKind::Forecast | RuleKind::FixedWait => FIXED_BUSY_MILLIS,
        };
        millis.min(deadline.0.since(now) / 3)
    }

    fn refuse_waiting(&mut self, now: UnixMillis) -> Vec<(usize, u64)> {
        let over = self.waiting.iter().filter(|(_caller, until)| until.passed(now));
        let refused: Vec<usize> = over.map(|(caller, _until)| *caller).collect();
        self.waiting.retain(|(_caller, until)| !until.passed(now));
        refused.into_iter().map(|caller| (caller, self.return_millis(deadline(now), now))).collect()
    }

    fn next_served(
        &mut self,
        _now: UnixMillis,
        callers: &[PlayedCaller],
        known: KnownLoads,
    ) -> Option<(usize, usize)> {
        while let Some((caller, _until)) = self.waiting.front().copied() {
            if !callers[caller].waits() {
                self.waiting.pop_front();
                continue;
            }
            let rank = self.choose(&known)?;
            self.waiting.pop_front();
            return Some((caller, rank));
        }
        None
    }
}
