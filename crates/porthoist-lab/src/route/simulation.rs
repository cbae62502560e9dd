//! Event loop of the simulation: arrivals, offers, answers, delayed reports and target crashes.

use super::chooser::{ChoiceContext, TargetChooser, chooser};
use super::engine::{EngineStart, SimEngine};
use super::workload::{SimRequest, SimWorkload};
use super::{RouteResult, RouteSettings};
use porthoist_core::{
    AttemptId, IncarnationId, LoadReport, RefusalReason, RepeatPolicy, RequestId, RunVerdict, UnixDeadline,
    UnixMillis,
};
use porthoist_policy::admission::AdmissionDecision;
use porthoist_policy::retry::hedge::HedgePolicy;
use porthoist_policy::retry::{FailedAttempt, RetryBudget};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// One-way latency between an entry and a target in the same zone, in microseconds.
const SAME_ZONE_LATENCY_MICROS: u64 = 300;
/// One-way latency between different zones, in microseconds.
const OTHER_ZONE_LATENCY_MICROS: u64 = 1500;
/// Interval between the load reports of a target, in microseconds.
const REPORT_INTERVAL_MICROS: u64 = 500_000;
/// Interval between two checks for expired requests, in microseconds.
const EXPIRY_INTERVAL_MICROS: u64 = 20_000;
/// Duration of a target's outage in microseconds.
pub const OUTAGE_MICROS: u64 = 10_000_000;
/// The first `1 / WARM_UP_DIVISOR` of the run warms the caches and is not measured.
pub const WARM_UP_DIVISOR: u64 = 5;
const RETRY_SHARE: f64 = 0.1;
const RETRY_BURST: f64 = 20.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Offer { attempt: AttemptId, target: usize },
    FirstToken { attempt: AttemptId, target: usize, life: u32 },
    Finish { attempt: AttemptId, target: usize, life: u32 },
    Refused { attempt: AttemptId, target: usize, verdict: RunVerdict, reason: RefusalReason },
    Report { entry: usize, target: usize, report: usize },
    Cache { entry: usize, target: usize, change: usize },
    Heartbeat { target: usize },
    Expire,
    Hedge { request: u64 },
    Crash { target: usize },
    Restart { target: usize },
}

#[derive(Debug)]
struct ActiveRequest {
    request: SimRequest,
    deadline: UnixDeadline,
    attempts: u32,
    in_flight: Vec<(AttemptId, usize)>,
    exclude: Vec<usize>,
    answered: bool,
    measured: bool,
}

struct Simulation<'a> {
    settings: &'a RouteSettings,
    hedging: bool,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    next_event: u64,
    engines: Vec<SimEngine>,
    lives: Vec<u32>,
    choosers: Vec<Box<dyn TargetChooser>>,
    budgets: Vec<RetryBudget>,
    hedges: Vec<HedgePolicy>,
    workload: SimWorkload,
    upcoming: Option<SimRequest>,
    requests: HashMap<u64, ActiveRequest>,
    next_request: u64,
    reports: Vec<LoadReport>,
    cache_changes: Vec<(Vec<u64>, Vec<u64>)>,
    random: Pcg64Mcg,
    result: RouteResult,
}

/// Simulates a policy at a rate in requests per second.
pub fn run(settings: &RouteSettings, policy: &str, rate: f64) -> RouteResult {
    let slowness = |target: usize| if target == 1 { settings.straggler } else { 1.0 };
    let mut simulation = Simulation {
        settings,
        hedging: policy == "porthoist",
        now: 0,
        events: BinaryHeap::new(),
        next_event: 0,
        engines: (0..settings.targets).map(|target| SimEngine::new(slowness(target))).collect(),
        lives: vec![0; settings.targets],
        choosers: (0..settings.entries)
            .map(|entry| chooser(policy, entry, settings.entries, settings.targets, settings.seed))
            .collect(),
        budgets: vec![RetryBudget::new(RETRY_SHARE, RETRY_BURST); settings.entries],
        hedges: (0..settings.entries).map(|_| HedgePolicy::default()).collect(),
        workload: SimWorkload::new(settings.seed, rate, settings.entries),
        upcoming: None,
        requests: HashMap::new(),
        next_request: 0,
        reports: Vec::new(),
        cache_changes: Vec::new(),
        random: Pcg64Mcg::seed_from_u64(settings.seed ^ 0x5eed),
        result: RouteResult::default(),
    };
    simulation.run();
    simulation.result
}

impl Simulation<'_> {
    fn schedule(&mut self, time: u64, event: SimEvent) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event, event)));
    }

    fn run(&mut self) {
        let end = self.settings.seconds * 1_000_000;
        self.schedule_arrival();
        for target in 0..self.engines.len() {
            self.schedule(target as u64 * 10_000, SimEvent::Heartbeat { target });
        }
        self.schedule(EXPIRY_INTERVAL_MICROS, SimEvent::Expire);
        if self.settings.target_crash {
            self.schedule(end / 2, SimEvent::Crash { target: 2 });
        }
        if self.settings.zone_outage {
            for target in (0..self.engines.len()).step_by(3) {
                self.schedule(end / 2, SimEvent::Crash { target });
            }
        }
        while let Some(Reverse((time, _number, event))) = self.events.pop() {
            if time > end {
                return;
            }
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive => self.arrive(),
            SimEvent::Offer { attempt, target } => self.offer(attempt, target),
            SimEvent::FirstToken { attempt, target, life } => self.first_token(attempt, target, life),
            SimEvent::Finish { attempt, target, life } => self.finish(attempt, target, life),
            SimEvent::Refused { attempt, target, verdict, reason } => {
                self.failed(attempt, target, verdict, reason);
            }
            SimEvent::Report { entry, target, report } => {
                self.choosers[entry].report(target, self.reports[report]);
            }
            SimEvent::Cache { entry, target, change } => {
                let (added, removed) = &self.cache_changes[change];
                self.choosers[entry].cache_event(target, added, removed);
            }
            SimEvent::Heartbeat { target } => self.heartbeat(target),
            SimEvent::Expire => self.expire(),
            SimEvent::Hedge { request } => self.hedge(request),
            SimEvent::Crash { target } => self.crash(target),
            SimEvent::Restart { target } => self.engines[target] = self.engines[target].restarted(),
        }
    }

    fn in_outage(&self) -> bool {
        in_outage(self.settings, self.now)
    }

    /// Counts an arriving request as not answered within the contract, and removes it from that
    /// count once it is.
    fn record_second(&mut self, at: u64, asked: bool) {
        record_second(&mut self.result, at, asked);
    }

    fn schedule_arrival(&mut self) {
        let request = self.workload.next_request();
        let at = request.at;
        self.upcoming = Some(request);
        self.schedule(at, SimEvent::Arrive);
    }

    fn arrive(&mut self) {
        let Some(request) = self.upcoming.take() else { return };
        let id = self.next_request;
        self.next_request += 1;
        let entry = request.entry;
        let measured = request.at >= self.settings.seconds * 1_000_000 / WARM_UP_DIVISOR;
        let deadline = UnixDeadline(UnixMillis(self.now / 1000 + self.settings.contract_millis));
        let active = ActiveRequest {
            request,
            deadline,
            attempts: 0,
            in_flight: Vec::new(),
            exclude: Vec::new(),
            answered: false,
            measured,
        };
        self.requests.insert(id, active);
        self.result.asked += u64::from(measured);
        self.result.outage.0 += u64::from(self.in_outage());
        self.record_second(self.now, true);
        self.budgets[entry].first_attempt();
        self.send(id);
        if self.hedging
            && let Some(at) = self.hedges[entry].hedge_at(UnixMillis(self.now / 1000))
        {
            self.schedule(at.0 * 1000, SimEvent::Hedge { request: id });
        }
        self.schedule_arrival();
    }

    /// Sends an attempt, or refuses the request if no target is left.
    fn send(&mut self, id: u64) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let entry = active.request.entry;
        let context = ChoiceContext {
            now: self.now,
            request: &active.request,
            deadline: active.deadline,
            exclude: &active.exclude,
        };
        let Some(target) = self.choosers[entry].choose(&context, &self.engines) else {
            return self.refuse(id);
        };
        let attempt = AttemptId {
            entry: IncarnationId(entry as u64),
            request: RequestId(id),
            attempt: active.attempts,
        };
        self.choosers[entry].sent(&context, target, attempt);
        active.attempts += 1;
        active.in_flight.push((attempt, target));
        self.result.attempts += 1;
        self.result.outage.1 += u64::from(in_outage(self.settings, self.now));
        let at = self.now + one_way_micros(entry, target);
        self.schedule(at, SimEvent::Offer { attempt, target });
    }

    fn offer(&mut self, attempt: AttemptId, target: usize) {
        let Some(active) = self.requests.get(&attempt.request.0) else { return };
        if !active.in_flight.contains(&(attempt, target)) {
            return;
        }
        let refused_at = self.now + one_way_micros(active.request.entry, target);
        let engine = &mut self.engines[target];
        if engine.is_down {
            let (verdict, reason) = (RunVerdict::NotRun, RefusalReason::Unreachable);
            return self.schedule(refused_at, SimEvent::Refused { attempt, target, verdict, reason });
        }
        let uncached = engine.uncached(&active.request);
        if active.measured {
            self.result.prompt_tokens += u64::from(active.request.prompt_tokens);
            self.result.cached_tokens += u64::from(active.request.prompt_tokens - uncached);
        }
        match engine.offer(self.now, attempt, &active.request, active.deadline) {
            (AdmissionDecision::Refused(reason, _retry_at), _) => {
                let verdict = RunVerdict::NotRun;
                self.schedule(refused_at, SimEvent::Refused { attempt, target, verdict, reason });
            }
            (_, Some(start)) => self.schedule_tokens(target, start),
            (_, None) => {}
        }
    }

    fn schedule_tokens(&mut self, target: usize, start: EngineStart) {
        let EngineStart { attempt, first_token, last_token } = start;
        let life = self.lives[target];
        self.schedule(first_token, SimEvent::FirstToken { attempt, target, life });
        self.schedule(last_token, SimEvent::Finish { attempt, target, life });
    }

    fn first_token(&mut self, attempt: AttemptId, target: usize, life: u32) {
        if life != self.lives[target] {
            return;
        }
        let Some(active) = self.requests.get_mut(&attempt.request.0) else { return };
        if !active.in_flight.contains(&(attempt, target)) {
            return;
        }
        let entry = active.request.entry;
        let change = self.engines[target].first_token(attempt, &active.request);
        self.choosers[entry].first_token(self.now, target, attempt);
        if !active.answered {
            active.answered = true;
            let first_token_millis =
                (self.now + one_way_micros(entry, target) - active.request.at) as f64 / 1000.0;
            self.hedges[entry].observe(first_token_millis as u64);
            if active.measured {
                self.result.answered += 1;
                self.result.first_token.add(first_token_millis);
                self.result.in_contract +=
                    u64::from(first_token_millis <= self.settings.contract_millis as f64);
            }
            let (asked_at, in_contract) =
                (active.request.at, first_token_millis <= self.settings.contract_millis as f64);
            if in_contract {
                record_second(&mut self.result, asked_at, false);
            }
            let superseded: Vec<_> =
                active.in_flight.iter().copied().filter(|other| other.0 != attempt).collect();
            active.in_flight.retain(|other| other.0 == attempt);
            for (superseded_attempt, superseded_target) in superseded {
                self.cancel(entry, superseded_attempt, superseded_target);
            }
        }
        self.send_cache_change(target, change.added, change.removed);
    }

    fn cancel(&mut self, entry: usize, attempt: AttemptId, target: usize) {
        self.choosers[entry].done(target, attempt);
        for start in self.engines[target].finished(self.now, attempt) {
            self.schedule_tokens(target, start);
        }
    }

    fn finish(&mut self, attempt: AttemptId, target: usize, life: u32) {
        if life != self.lives[target] {
            return;
        }
        let Some(active) = self.requests.get(&attempt.request.0) else { return };
        if !active.in_flight.contains(&(attempt, target)) {
            return;
        }
        let entry = active.request.entry;
        self.requests.remove(&attempt.request.0);
        self.cancel(entry, attempt, target);
        self.send_load_report(entry, target);
    }

    fn failed(&mut self, attempt: AttemptId, target: usize, verdict: RunVerdict, reason: RefusalReason) {
        let id = attempt.request.0;
        let Some(active) = self.requests.get_mut(&id) else { return };
        let entry = active.request.entry;
        active.in_flight.retain(|other| other.0 != attempt);
        active.exclude.push(target);
        self.choosers[entry].done(target, attempt);
        if matches!(reason, RefusalReason::Unreachable | RefusalReason::ConnectionLost) {
            self.choosers[entry].connection_lost(self.now, target);
        }
        let failed = FailedAttempt {
            reason,
            verdict,
            repeat: RepeatPolicy::Safe,
            partly_delivered: active.answered,
            attempts: active.attempts,
            deadline: active.deadline,
        };
        let has_other_attempts = !active.in_flight.is_empty();
        let was_answered = active.answered;
        self.send_load_report(entry, target);
        if has_other_attempts {
            return;
        }
        if was_answered {
            // A stream that would resume at another target; its first token was already counted.
            self.requests.remove(&id);
            return;
        }
        let now = UnixMillis(self.now / 1000);
        if failed.retry_reason(now).is_some() && self.budgets[entry].try_spend() {
            self.result.retries += 1;
            self.send(id);
        } else {
            self.refuse(id);
        }
    }

    fn refuse(&mut self, id: u64) {
        let Some(active) = self.requests.remove(&id) else { return };
        if active.measured && !active.answered {
            self.result.refused += 1;
            self.result.refusal_time.add((self.now - active.request.at) as f64 / 1000.0);
        }
    }

    fn hedge(&mut self, id: u64) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        if active.answered || active.in_flight.len() != 1 {
            return;
        }
        let entry = active.request.entry;
        let first = active.in_flight[0].1;
        if !active.exclude.contains(&first) {
            active.exclude.push(first);
        }
        if self.budgets[entry].try_spend() {
            self.result.hedges += 1;
            self.send(id);
        }
    }

    fn expire(&mut self) {
        for target in 0..self.engines.len() {
            for attempt in self.engines[target].expired(self.now) {
                let (verdict, reason) = (RunVerdict::NotRun, RefusalReason::DeadlinePassed);
                self.failed(attempt, target, verdict, reason);
            }
        }
        self.schedule(self.now + EXPIRY_INTERVAL_MICROS, SimEvent::Expire);
    }

    fn crash(&mut self, target: usize) {
        self.lives[target] += 1;
        self.engines[target].is_down = true;
        let mut lost_attempts: Vec<AttemptId> = Vec::new();
        for active in self.requests.values() {
            lost_attempts
                .extend(active.in_flight.iter().filter(|other| other.1 == target).map(|other| other.0));
        }
        lost_attempts.sort_unstable();
        for attempt in lost_attempts {
            let (verdict, reason) = (RunVerdict::MayHaveRun, RefusalReason::ConnectionLost);
            let at = self.now + OTHER_ZONE_LATENCY_MICROS;
            self.schedule(at, SimEvent::Refused { attempt, target, verdict, reason });
        }
        self.schedule(self.now + OUTAGE_MICROS, SimEvent::Restart { target });
    }

    fn heartbeat(&mut self, target: usize) {
        if !self.engines[target].is_down {
            for entry in 0..self.choosers.len() {
                self.send_load_report(entry, target);
            }
        }
        self.schedule(self.now + REPORT_INTERVAL_MICROS, SimEvent::Heartbeat { target });
    }

    fn lag(&mut self) -> u64 {
        1000 * self.random.random_range(self.settings.min_lag_millis..=self.settings.max_lag_millis)
    }

    fn send_load_report(&mut self, entry: usize, target: usize) {
        let report = self.reports.len();
        self.reports.push(self.engines[target].load(self.now));
        let at = self.now + self.lag();
        self.schedule(at, SimEvent::Report { entry, target, report });
    }

    fn send_cache_change(&mut self, target: usize, added: Vec<u64>, removed: Vec<u64>) {
        let change = self.cache_changes.len();
        self.cache_changes.push((added, removed));
        for entry in 0..self.choosers.len() {
            if self.random.random_bool(self.settings.lost_events) {
                continue;
            }
            let at = self.now + self.lag();
            self.schedule(at, SimEvent::Cache { entry, target, change });
        }
    }
}

fn in_outage(settings: &RouteSettings, now: u64) -> bool {
    let outage_start = settings.seconds * 1_000_000 / 2;
    settings.zone_outage && (outage_start..outage_start + OUTAGE_MICROS).contains(&now)
}

fn record_second(result: &mut RouteResult, at: u64, asked: bool) {
    let second = (at / 1_000_000) as usize;
    if result.seconds.len() <= second {
        result.seconds.resize(second + 1, (0, 0));
    }
    if asked {
        result.seconds[second].0 += 1;
        result.seconds[second].1 += 1;
    } else {
        result.seconds[second].1 -= 1;
    }
}

fn one_way_micros(entry: usize, target: usize) -> u64 {
    if entry % 3 == target % 3 { SAME_ZONE_LATENCY_MICROS } else { OTHER_ZONE_LATENCY_MICROS }
}
