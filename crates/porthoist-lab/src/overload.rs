//! Simulates queueing and refusals under overload: the daemon's own entry-side decisions in virtual
//! time, in front of a modelled group of ranks whose streams slow each other down, with callers who
//! retry.
//!
//! One pass of the group produces one event for every running stream. It takes as long as its most
//! loaded rank needs, so more concurrent streams, a demand shift or a stalled rank delay all
//! streams.

pub mod callers;
pub mod group;
pub mod groups;
pub mod rule;

use crate::report::{Distribution, rounded};
use callers::{CallerLoad, CallerOutcome, SimulatedCaller};
use group::RankGroup;
use porthoist_core::{UnixDeadline, UnixMillis};
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use rule::{AdmissionRule, RuleDecision, RuleKind};
use serde::Serialize;
use std::collections::BTreeMap;

/// Simulation step in milliseconds.
pub const TICK_MILLIS: u64 = 5;
/// Time in milliseconds within which a first event is on time, as on the users' routes.
pub const LATENCY_MILLIS: u64 = 500;
/// Maximum time in milliseconds between two events of a stream that is on time.
pub const MAX_PAUSE_MILLIS: f64 = 120.0;
/// Time in milliseconds after its arrival at which a caller gives up.
pub const DEADLINE_MILLIS: u64 = 8_000;
/// A caller leaves after this time in milliseconds without an event.
pub const ABANDON_MILLIS: u64 = 2_000;
/// Credit of a stream that is served late. A stream on time has credit 1, and a second refusal
/// costs [`REFUSED_TWICE_COST`].
pub const LATE_CREDIT: f64 = 0.5;
/// Credit that a request loses when it is refused a second time.
pub const REFUSED_TWICE_COST: f64 = 0.3;

/// Settings of a simulation run.
#[derive(Debug, Clone, bon::Builder)]
pub struct OverloadSettings {
    /// Seed of the random generator.
    pub seed: u64,
    /// Load on the group.
    pub load: CallerLoad,
    /// Duration of arrivals in simulated seconds.
    #[builder(default = 40)]
    pub seconds: u64,
    /// Number of ranks in the group.
    #[builder(default = 12)]
    pub ranks: usize,
    /// Maximum number of concurrent requests at a rank.
    #[builder(default = 12)]
    pub slots: u32,
}

/// Outcome of a run for all callers under one rule.
#[derive(Debug, Clone, Serialize)]
pub struct OverloadReport {
    /// Number of requested streams.
    pub asked: usize,
    /// Fraction served on time.
    pub in_time: f64,
    /// Fraction served late.
    pub late: f64,
    /// Fraction refused once without time left for a retry.
    pub refused_once: f64,
    /// Fraction refused twice.
    pub refused_twice: f64,
    /// Fraction whose callers left.
    pub left: f64,
    /// 99th percentile of the waiting time in milliseconds of requests that were then refused.
    pub refused_wait_p99: f64,
    /// Mean credit per stream: 1 on time, [`LATE_CREDIT`] late, minus [`REFUSED_TWICE_COST`] if
    /// refused twice.
    pub credit: f64,
}

/// Simulates a load under one rule.
pub fn simulate(settings: &OverloadSettings, kind: RuleKind) -> OverloadReport {
    let mut simulation = OverloadSimulation::new(settings, kind);
    let ticks = settings.seconds * 1_000 / TICK_MILLIS;
    for tick in 0..ticks {
        simulation.tick(UnixMillis(tick * TICK_MILLIS), true);
    }
    // Continues without new callers, so that the remaining requests can finish.
    for tick in ticks..ticks + 2 * DEADLINE_MILLIS / TICK_MILLIS {
        simulation.tick(UnixMillis(tick * TICK_MILLIS), false);
    }
    simulation.report()
}

/// Simulates a load under every rule.
pub fn compare(settings: &OverloadSettings) -> BTreeMap<&'static str, OverloadReport> {
    RuleKind::ALL.into_iter().map(|kind| (kind.name(), simulate(settings, kind))).collect()
}

struct OverloadSimulation {
    load: CallerLoad,
    random: Pcg64Mcg,
    group: RankGroup,
    rule: Box<dyn AdmissionRule>,
    callers: Vec<SimulatedCaller>,
    refused_waits: Distribution,
}

impl OverloadSimulation {
    fn new(settings: &OverloadSettings, kind: RuleKind) -> Self {
        Self {
            load: settings.load,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            group: RankGroup::new(settings.ranks, settings.slots),
            rule: kind.build(settings.ranks, settings.slots, settings.seed),
            callers: Vec::new(),
            refused_waits: Distribution::default(),
        }
    }

    fn tick(&mut self, now: UnixMillis, arriving: bool) {
        if arriving {
            self.add_arrivals(now);
        }
        self.retry_callers(now);
        self.group.set_state(self.load.group_state(now));
        for event in self.group.advance(now) {
            let caller = &mut self.callers[event.caller];
            if caller.has_ended() {
                self.group.cancel(event.caller);
                self.rule.ended(event.rank, now.since(caller.assigned_at()), false, now);
                continue;
            }
            caller.receive_event(now);
            if event.first {
                self.rule.first_event_received(now.since(caller.assigned_at()), now);
            } else {
                self.rule.event_received(now);
            }
            if event.last {
                caller.finish(now);
                self.rule.ended(event.rank, now.since(caller.assigned_at()), true, now);
            }
        }
        self.remove_timed_out(now);
        self.serve_waiting(now);
    }

    fn add_arrivals(&mut self, now: UnixMillis) {
        for _caller in 0..self.load.arrivals(now, &mut self.random) {
            let events = self.load.events(&mut self.random);
            self.callers.push(SimulatedCaller::new(events, now));
            self.submit(self.callers.len() - 1, now);
        }
    }

    fn retry_callers(&mut self, now: UnixMillis) {
        for caller in 0..self.callers.len() {
            if self.callers[caller].retry_due(now) {
                self.submit(caller, now);
            }
        }
    }

    fn submit(&mut self, caller: usize, now: UnixMillis) {
        let simulated = &mut self.callers[caller];
        simulated.submit(now);
        let (deadline, is_retry) = (simulated.deadline(), simulated.is_retry());
        match self.rule.decide(caller, now, deadline, is_retry, self.group.load_view()) {
            RuleDecision::Assign(rank) => self.assign(caller, rank, now),
            RuleDecision::Wait => {}
            RuleDecision::Refuse(millis) => self.refuse(caller, millis, now),
        }
    }

    fn assign(&mut self, caller: usize, rank: usize, now: UnixMillis) {
        let simulated = &mut self.callers[caller];
        simulated.assign(rank, now);
        let events = simulated.events();
        if self.group.add(caller, rank, events) {
            return;
        }
        // A group that has been down for a while rejects requests at once.
        self.rule.rejected(rank, now);
        let deadline = self.callers[caller].deadline();
        let millis = self.rule.retry_after_millis(deadline, now);
        self.refuse(caller, millis, now);
    }

    fn refuse(&mut self, caller: usize, millis: u64, now: UnixMillis) {
        let retries_at_once = self.load.retries_at_once(&mut self.random);
        let waited_millis = self.callers[caller].refuse(if retries_at_once { 0 } else { millis }, now);
        self.refused_waits.add(waited_millis as f64);
    }

    /// Removes callers that timed out and stops their streams.
    fn remove_timed_out(&mut self, now: UnixMillis) {
        for caller in 0..self.callers.len() {
            let Some(rank) = self.callers[caller].leave_on_timeout(now) else { continue };
            self.group.cancel(caller);
            self.rule.ended(rank, now.since(self.callers[caller].assigned_at()), false, now);
        }
    }

    fn serve_waiting(&mut self, now: UnixMillis) {
        for (caller, millis) in self.rule.take_refused(now) {
            if self.callers[caller].is_waiting() {
                self.refuse(caller, millis, now);
            }
        }
        while let Some((caller, rank)) = self.rule.next_ready(now, &self.callers, self.group.load_view()) {
            self.assign(caller, rank, now);
        }
    }

    fn report(&self) -> OverloadReport {
        let asked = self.callers.len();
        let fraction = |outcome: CallerOutcome| {
            let count = self.callers.iter().filter(|caller| caller.outcome() == outcome).count();
            count as f64 / asked.max(1) as f64
        };
        let (in_time, late, refused_twice) = (
            fraction(CallerOutcome::InTime),
            fraction(CallerOutcome::Late),
            fraction(CallerOutcome::RefusedTwice),
        );
        OverloadReport {
            asked,
            in_time: rounded(in_time),
            late: rounded(late),
            refused_once: rounded(fraction(CallerOutcome::RefusedOnce)),
            refused_twice: rounded(refused_twice),
            left: rounded(fraction(CallerOutcome::Left)),
            refused_wait_p99: rounded(self.refused_waits.value_at(0.99)),
            credit: rounded(in_time + LATE_CREDIT * late - REFUSED_TWICE_COST * refused_twice),
        }
    }
}

/// Deadline of a caller with the given arrival time.
pub(crate) fn deadline(arrival: UnixMillis) -> UnixDeadline {
    UnixDeadline::after(arrival, DEADLINE_MILLIS)
}
