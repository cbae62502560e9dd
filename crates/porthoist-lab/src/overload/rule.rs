//! The compared rules: porthoist's request scheduler, a fixed wait, two random choices with a fixed
//! bound, and an omniscient rule.

use super::callers::SimulatedCaller;
use super::group::LoadView;
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

/// Fraction of the target latency that the fixed-wait rule lets a request wait, and its two retry
/// delays in milliseconds: with an event within [`SILENCE_MILLIS`], and without one.
const FIXED_WAIT_FRACTION: f64 = 0.24;
const BUSY_RETRY_MILLIS: u64 = 900;
const SILENT_RETRY_MILLIS: u64 = 2_600;
const SILENCE_MILLIS: u64 = 1_000;
/// Maximum number of requests at a rank under the two-choices rule, and its retry delay in
/// milliseconds.
const TWO_CHOICES_BOUND: u32 = 10;
const TWO_CHOICES_RETRY_MILLIS: u64 = 1_000;
/// Retry delay in milliseconds of the omniscient rule: as late as leaves callers time to be served.
const OMNISCIENT_RETRY_MILLIS: u64 = 2_600;

/// Kind of rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuleKind {
    /// Porthoist's request scheduler.
    Porthoist,
    /// Waits for a fixed fraction of the target latency, then refuses with one of two fixed retry
    /// delays.
    FixedWait,
    /// Takes the less loaded of two random ranks, up to a bound.
    TwoChoices,
    /// Knows the current loads and outages of the ranks.
    Omniscient,
}

impl RuleKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Porthoist, Self::FixedWait, Self::TwoChoices, Self::Omniscient];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Porthoist => "porthoist",
            Self::FixedWait => "fixed_wait",
            Self::TwoChoices => "two_choices",
            Self::Omniscient => "omniscient",
        }
    }

    /// Creates a rule for a group.
    pub fn build(self, ranks: usize, slots: u32, seed: u64) -> Box<dyn AdmissionRule> {
        match self {
            Self::Porthoist => Box::new(SchedulerRule::new(ranks, slots, seed)),
            Self::FixedWait | Self::TwoChoices | Self::Omniscient => {
                Box::new(FixedBoundRule::new(self, slots, seed))
            }
        }
    }
}

/// Decision of a rule on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RuleDecision {
    /// Send it to this rank.
    Assign(usize),
    /// Let it wait.
    Wait,
    /// Refuse it; the caller should retry after this time in milliseconds.
    Refuse(u64),
}

/// Admission rule of one entry process in front of one group.
pub trait AdmissionRule {
    /// Decides on a request.
    fn decide(
        &mut self,
        caller: usize,
        now: UnixMillis,
        deadline: UnixDeadline,
        is_retry: bool,
        load_view: LoadView,
    ) -> RuleDecision;
    /// Records the end of a request that occupied a slot for `held_millis`, and whether it was
    /// answered.
    fn ended(&mut self, rank: usize, held_millis: u64, answered: bool, now: UnixMillis);
    /// Records the first event of a request and its delay since the request was assigned.
    fn first_event_received(&mut self, millis: u64, now: UnixMillis);
    /// Records an event.
    fn event_received(&mut self, now: UnixMillis);
    /// Records that the group rejected a request.
    fn rejected(&mut self, rank: usize, now: UnixMillis);
    /// Delay in milliseconds after which a refused caller should retry.
    fn retry_after_millis(&mut self, deadline: UnixDeadline, now: UnixMillis) -> u64;
    /// Removes waiting requests that are now refused, with their retry delays in milliseconds.
    fn take_refused(&mut self, now: UnixMillis) -> Vec<(usize, u64)>;
    /// The next waiting request that gets a rank.
    fn next_ready(
        &mut self,
        now: UnixMillis,
        callers: &[SimulatedCaller],
        load_view: LoadView,
    ) -> Option<(usize, usize)>;
}

#[derive(Debug)]
struct SchedulerRule {
    scheduler: RequestScheduler<usize>,
    service: ServiceName,
    /// The first rank, which stands for the whole group in event signals.
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

impl SchedulerRule {
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
        let mut registry = TargetRegistry::default();
        registry.apply_listing((0..ranks).map(record), None);
        let mut scheduler = RequestScheduler::new(settings);
        scheduler.sync(&registry);
        let random = Pcg64Mcg::seed_from_u64(seed);
        let first = record(0);
        Self { scheduler, service, first, waiting: VecDeque::new(), revision: 0, random }
    }

    fn update_loads(&mut self, load_view: &LoadView, now: UnixMillis) {
        if load_view.revision == self.revision {
            return;
        }
        self.revision = load_view.revision;
        let ranks = load_view.requests.iter().enumerate();
        let ranks =
            ranks.map(|(rank, requests)| RankLoad { host: host(rank), requests: *requests, silent: false });
        let loads = GroupLoads {
            revision: LoadRevision(load_view.revision),
            ranks: ranks.collect(),
            ..GroupLoads::default()
        };
        self.scheduler.update_loads(&loads, now);
    }

    fn rank(record: &TargetRecord) -> usize {
        let digits = record.id.as_str().trim_start_matches('t');
        digits.parse().expect("targets are named by their rank")
    }
}

impl AdmissionRule for SchedulerRule {
    fn decide(
        &mut self,
        caller: usize,
        now: UnixMillis,
        deadline: UnixDeadline,
        is_retry: bool,
        load_view: LoadView,
    ) -> RuleDecision {
        self.update_loads(&load_view, now);
        let request = SlotRequest {
            service: self.service.clone(),
            ranked: true,
            work: RequestWork::default(),
            priority: 1,
            tried: Vec::new(),
            arrival: now,
            latency_millis: LATENCY_MILLIS,
            deadline,
            class: if is_retry { QueueClass::CallerRetry } else { QueueClass::First },
        };
        match self.scheduler.decide(&request, now) {
            SlotDecision::Assign(chosen) => RuleDecision::Assign(Self::rank(&chosen.record)),
            SlotDecision::Wait(until) => {
                self.scheduler.enqueue(request, caller);
                self.waiting.push_back((caller, until));
                RuleDecision::Wait
            }
            SlotDecision::Refuse(_reason) => RuleDecision::Refuse(self.retry_after_millis(deadline, now)),
        }
    }

    fn ended(&mut self, rank: usize, held_millis: u64, answered: bool, now: UnixMillis) {
        let outcome =
            if answered { SendOutcome::Answered(held_millis as f64) } else { SendOutcome::Abandoned };
        let service = self.service.clone();
        self.scheduler.ended(
            &service,
            &target(rank).into(),
            RequestWork::default(),
            outcome,
            held_millis,
            now,
        );
    }

    fn first_event_received(&mut self, millis: u64, now: UnixMillis) {
        self.scheduler.first_event_received(&self.first, millis as f64, now);
    }

    fn event_received(&mut self, now: UnixMillis) {
        self.scheduler.event_received(&self.first, now);
    }

    fn rejected(&mut self, rank: usize, now: UnixMillis) {
        self.scheduler.refused(&self.service, now);
        let service = self.service.clone();
        self.scheduler.ended(
            &service,
            &target(rank).into(),
            RequestWork::default(),
            SendOutcome::Shed,
            0,
            now,
        );
    }

    fn retry_after_millis(&mut self, deadline: UnixDeadline, now: UnixMillis) -> u64 {
        let point = self.random.random_range(0.0..1.0);
        self.scheduler.retry_after_millis(&self.service, deadline, point, now)
    }

    fn take_refused(&mut self, now: UnixMillis) -> Vec<(usize, u64)> {
        let unservable = self.scheduler.take_unservable(&self.service, now);
        let expired = self.waiting.iter().filter(|(_caller, until)| until.passed(now));
        let refused: Vec<usize> = expired.map(|(caller, _until)| *caller).chain(unservable).collect();
        self.waiting.retain(|(caller, _until)| !refused.contains(caller));
        refused.into_iter().map(|caller| (caller, self.retry_after_millis(deadline(now), now))).collect()
    }

    fn next_ready(
        &mut self,
        now: UnixMillis,
        callers: &[SimulatedCaller],
        load_view: LoadView,
    ) -> Option<(usize, usize)> {
        self.update_loads(&load_view, now);
        let is_waiting = |caller: &usize| callers[*caller].is_waiting();
        let (caller, chosen, _work) = self.scheduler.next_ready(&self.service, is_waiting, now)?;
        self.waiting.retain(|(waiting, _until)| *waiting != caller);
        Some((caller, Self::rank(&chosen.record)))
    }
}

/// The rules with a fixed bound on the requests at a rank.
#[derive(Debug)]
struct FixedBoundRule {
    kind: RuleKind,
    bound: u32,
    waiting: VecDeque<(usize, UnixDeadline)>,
    last_event: UnixMillis,
    random: Pcg64Mcg,
}

impl FixedBoundRule {
    fn new(kind: RuleKind, slots: u32, seed: u64) -> Self {
        let bound = match kind {
            RuleKind::TwoChoices => TWO_CHOICES_BOUND,
            RuleKind::Porthoist | RuleKind::FixedWait | RuleKind::Omniscient => slots,
        };
        let random = Pcg64Mcg::seed_from_u64(seed);
        Self { kind, bound, waiting: VecDeque::new(), last_event: UnixMillis(0), random }
    }

    fn choose(&mut self, load_view: &LoadView) -> Option<usize> {
        let ranks = load_view.current_requests.len();
        let candidates: Vec<usize> = match self.kind {
            RuleKind::TwoChoices => (0..2).map(|_choice| self.random.random_range(0..ranks)).collect(),
            _ => (0..ranks).collect(),
        };
        if self.kind == RuleKind::Omniscient && load_view.down {
            return None;
        }
        let least = candidates.into_iter().min_by_key(|rank| load_view.current_requests[*rank])?;
        (load_view.current_requests[least] < self.bound).then_some(least)
    }
}

impl AdmissionRule for FixedBoundRule {
    fn decide(
        &mut self,
        caller: usize,
        now: UnixMillis,
        deadline: UnixDeadline,
        _came_back: bool,
        load_view: LoadView,
    ) -> RuleDecision {
        if self.waiting.is_empty()
            && let Some(rank) = self.choose(&load_view)
        {
            return RuleDecision::Assign(rank);
        }
        let wait = match self.kind {
            RuleKind::FixedWait => (LATENCY_MILLIS as f64 * FIXED_WAIT_FRACTION) as u64,
            _ => return RuleDecision::Refuse(self.retry_after_millis(deadline, now)),
        };
        self.waiting.push_back((caller, UnixDeadline::after(now, wait)));
        RuleDecision::Wait
    }

    fn ended(&mut self, _rank: usize, _held_millis: u64, _answered: bool, _now: UnixMillis) {}

    fn first_event_received(&mut self, _millis: u64, now: UnixMillis) {
        self.last_event = now;
    }

    fn event_received(&mut self, now: UnixMillis) {
        self.last_event = now;
    }

    fn rejected(&mut self, _rank: usize, _now: UnixMillis) {}

    fn retry_after_millis(&mut self, deadline: UnixDeadline, now: UnixMillis) -> u64 {
        let silent = now.since(self.last_event) > SILENCE_MILLIS;
        let millis = match self.kind {
            RuleKind::TwoChoices => TWO_CHOICES_RETRY_MILLIS,
            RuleKind::Omniscient => OMNISCIENT_RETRY_MILLIS,
            RuleKind::Porthoist | RuleKind::FixedWait if silent => SILENT_RETRY_MILLIS,
            RuleKind::Porthoist | RuleKind::FixedWait => BUSY_RETRY_MILLIS,
        };
        millis.min(deadline.0.since(now) / 3)
    }

    fn take_refused(&mut self, now: UnixMillis) -> Vec<(usize, u64)> {
        let expired = self.waiting.iter().filter(|(_caller, until)| until.passed(now));
        let refused: Vec<usize> = expired.map(|(caller, _until)| *caller).collect();
        self.waiting.retain(|(_caller, until)| !until.passed(now));
        refused.into_iter().map(|caller| (caller, self.retry_after_millis(deadline(now), now))).collect()
    }

    fn next_ready(
        &mut self,
        _now: UnixMillis,
        callers: &[SimulatedCaller],
        load_view: LoadView,
    ) -> Option<(usize, usize)> {
        while let Some((caller, _until)) = self.waiting.front().copied() {
            if !callers[caller].is_waiting() {
                self.waiting.pop_front();
                continue;
            }
            let rank = self.choose(&load_view)?;
            self.waiting.pop_front();
            return Some((caller, rank));
        }
        None
    }
}
