//! The event loop: arrivals, offers, answers, late reports, a death.

use super::chooser::{ChooseCase, TargetChooser, chooser};
use super::engine::{EngineFake, EngineStart};
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

/// One way between an entry and a target of the same zone, in microseconds.
const SAME_ZONE_MICROS: u64 = 300;
/// One way to another zone.
const OTHER_ZONE_MICROS: u64 = 1500;
/// Targets report so often, in microseconds.
const REPORT_MICROS: u64 = 500_000;
/// Queues look for passed deadlines so often, in microseconds.
const EXPIRY_MICROS: u64 = 20_000;
/// Length of the death in microseconds.
pub const DEATH_MICROS: u64 = 10_000_000;
/// Part of the run that warms the caches and is not counted.
pub const WARM_PART: u64 = 5;
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
    Die { target: usize },
    Revive { target: usize },
}

#[derive(Debug)]
struct OpenRequest {
    request: SimRequest,
    deadline: UnixDeadline,
    attempts: u32,
    open: Vec<(AttemptId, usize)>,
    exclude: Vec<usize>,
    answered: bool,
    counted: bool,
}

struct Simulation<'a> {
    settings: &'a RouteSettings,
    hedging: bool,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    next_event: u64,
    engines: Vec<EngineFake>,
    lives: Vec<u32>,
    choosers: Vec<Box<dyn TargetChooser>>,
    budgets: Vec<RetryBudget>,
    hedges: Vec<HedgePolicy>,
    workload: SimWorkload,
    upcoming: Option<SimRequest>,
    requests: HashMap<u64, OpenRequest>,
    next_request: u64,
    reports: Vec<LoadReport>,
    changes: Vec<(Vec<u64>, Vec<u64>)>,
    random: Pcg64Mcg,
    result: RouteResult,
}

/// Runs a policy at a rate of requests a second.
pub fn run(settings: &RouteSettings, policy: &str, rate: f64) -> RouteResult {
    let slowness = |target: usize| if target == 1 { settings.straggler } else { 1.0 };
    let mut simulation = Simulation {
        settings,
        hedging: policy == "porthoist",
        now: 0,
        events: BinaryHeap::new(),
        next_event: 0,
        engines: (0..settings.targets).map(|target| EngineFake::new(slowness(target))).collect(),
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
        changes: Vec::new(),
        random: Pcg64Mcg::seed_from_u64(settings.seed ^ 0x5eed),
        result: RouteResult::default(),
    };
    simulation.run();
    simulation.result
}

impl Simulation<'_> {
    fn at(&mut self, time: u64, event: SimEvent) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event, event)));
    }

    fn run(&mut self) {
        let end = self.settings.seconds * 1_000_000;
        self.schedule_arrival();
        for target in 0..self.engines.len() {
            self.at(target as u64 * 10_000, SimEvent::Heartbeat { target });
        }
        self.at(EXPIRY_MICROS, SimEvent::Expire);
        if self.settings.death {
            self.at(end / 2, SimEvent::Die { target: 2 });
        }
        if self.settings.zone_death {
            for target in (0..self.engines.len()).step_by(3) {
                self.at(end / 2, SimEvent::Die { target });
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
                let (added, removed) = &self.changes[change];
                self.choosers[entry].cache_event(target, added, removed);
            }
            SimEvent::Heartbeat { target } => self.heartbeat(target),
            SimEvent::Expire => self.expire(),
            SimEvent::Hedge { request } => self.hedge(request),
            SimEvent::Die { target } => self.die(target),
            SimEvent::Revive { target } => self.engines[target] = self.engines[target].reborn(),
        }
    }

    fn in_outage(&self) -> bool {
        in_outage(self.settings, self.now)
    }

    /// Counts a request as asked, and not answered until it is.
    fn note_second(&mut self, at: u64, asked: bool) {
        note_second(&mut self.result, at, asked);
    }

    fn schedule_arrival(&mut self) {
        let request = self.workload.next_request();
        let at = request.at;
        self.upcoming = Some(request);
        self.at(at, SimEvent::Arrive);
    }

    fn arrive(&mut self) {
        let Some(request) = self.upcoming.take() else { return };
        let id = self.next_request;
        self.next_request += 1;
        let entry = request.entry;
        let counted = request.at >= self.settings.seconds * 1_000_000 / WARM_PART;
        let deadline = UnixDeadline(UnixMillis(self.now / 1000 + self.settings.contract_millis));
        let open = OpenRequest {
            request,
            deadline,
            attempts: 0,
            open: Vec::new(),
            exclude: Vec::new(),
            answered: false,
            counted,
        };
        self.requests.insert(id, open);
        self.result.asked += u64::from(counted);
        self.result.outage.0 += u64::from(self.in_outage());
        self.note_second(self.now, true);
        self.budgets[entry].first_attempt();
        self.send(id);
        if self.hedging
            && let Some(at) = self.hedges[entry].hedge_at(UnixMillis(self.now / 1000))
        {
            self.at(at.0 * 1000, SimEvent::Hedge { request: id });
        }
        self.schedule_arrival();
    }

    /// Sends an attempt, or refuses for good if nobody is left.
    fn send(&mut self, id: u64) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let entry = open.request.entry;
        let case = ChooseCase {
            now: self.now,
            request: &open.request,
            deadline: open.deadline,
            exclude: &open.exclude,
        };
        let Some(target) = self.choosers[entry].choose(&case, &self.engines) else {
            return self.refuse(id);
        };
        let attempt =
            AttemptId { entry: IncarnationId(entry as u64), request: RequestId(id), attempt: open.attempts };
        self.choosers[entry].sent(&case, target, attempt);
        open.attempts += 1;
        open.open.push((attempt, target));
        self.result.attempts += 1;
        self.result.outage.1 += u64::from(in_outage(self.settings, self.now));
        let at = self.now + one_way(entry, target);
        self.at(at, SimEvent::Offer { attempt, target });
    }

    fn offer(&mut self, attempt: AttemptId, target: usize) {
        let Some(open) = self.requests.get(&attempt.request.0) else { return };
        if !open.open.contains(&(attempt, target)) {
            return;
        }
        let back = self.now + one_way(open.request.entry, target);
        let engine = &mut self.engines[target];
        if engine.dead {
            let (verdict, reason) = (RunVerdict::NotRun, RefusalReason::Unreachable);
            return self.at(back, SimEvent::Refused { attempt, target, verdict, reason });
        }
        let uncached = engine.uncached(&open.request);
        if open.counted {
            self.result.prompt_tokens += u64::from(open.request.prompt_tokens);
            self.result.cached_tokens += u64::from(open.request.prompt_tokens - uncached);
        }
        match engine.offer(self.now, attempt, &open.request, open.deadline) {
            (AdmissionDecision::Refused(reason, _retry_at), _) => {
                let verdict = RunVerdict::NotRun;
                self.at(back, SimEvent::Refused { attempt, target, verdict, reason });
            }
            (_, Some(start)) => self.started(target, start),
            (_, None) => {}
        }
    }

    fn started(&mut self, target: usize, start: EngineStart) {
        let EngineStart { attempt, first_token, last_token } = start;
        let life = self.lives[target];
        self.at(first_token, SimEvent::FirstToken { attempt, target, life });
        self.at(last_token, SimEvent::Finish { attempt, target, life });
    }

    fn first_token(&mut self, attempt: AttemptId, target: usize, life: u32) {
        if life != self.lives[target] {
            return;
        }
        let Some(open) = self.requests.get_mut(&attempt.request.0) else { return };
        if !open.open.contains(&(attempt, target)) {
            return;
        }
        let entry = open.request.entry;
        let change = self.engines[target].first_token(attempt, &open.request);
        self.choosers[entry].first_token(self.now, target, attempt);
        if !open.answered {
            open.answered = true;
            let took = (self.now + one_way(entry, target) - open.request.at) as f64 / 1000.0;
            self.hedges[entry].observe(took as u64);
            if open.counted {
                self.result.answered += 1;
                self.result.first_token.add(took);
                self.result.in_contract += u64::from(took <= self.settings.contract_millis as f64);
            }
            let (asked_at, kept) = (open.request.at, took <= self.settings.contract_millis as f64);
            if kept {
                note_second(&mut self.result, asked_at, false);
            }
            let losers: Vec<_> = open.open.iter().copied().filter(|other| other.0 != attempt).collect();
            open.open.retain(|other| other.0 == attempt);
            for (loser, loser_target) in losers {
                self.cancel(entry, loser, loser_target);
            }
        }
        self.tell_cache(target, change.added, change.removed);
    }

    fn cancel(&mut self, entry: usize, attempt: AttemptId, target: usize) {
        self.choosers[entry].done(target, attempt);
        for start in self.engines[target].finished(self.now, attempt) {
            self.started(target, start);
        }
    }

    fn finish(&mut self, attempt: AttemptId, target: usize, life: u32) {
        if life != self.lives[target] {
            return;
        }
        let Some(open) = self.requests.get(&attempt.request.0) else { return };
        if !open.open.contains(&(attempt, target)) {
            return;
        }
        let entry = open.request.entry;
        self.requests.remove(&attempt.request.0);
        self.cancel(entry, attempt, target);
        self.tell_load(entry, target);
    }

    fn failed(&mut self, attempt: AttemptId, target: usize, verdict: RunVerdict, reason: RefusalReason) {
        let id = attempt.request.0;
        let Some(open) = self.requests.get_mut(&id) else { return };
        let entry = open.request.entry;
        open.open.retain(|other| other.0 != attempt);
        open.exclude.push(target);
        self.choosers[entry].done(target, attempt);
        if matches!(reason, RefusalReason::Unreachable | RefusalReason::ConnectionLost) {
            self.choosers[entry].lost(self.now, target);
        }
        let failed = FailedAttempt {
            reason,
            verdict,
            repeat: RepeatPolicy::Safe,
            partly_delivered: open.answered,
            attempts: open.attempts,
            deadline: open.deadline,
        };
        let others = !open.open.is_empty();
        let done = open.answered;
        self.tell_load(entry, target);
        if others {
            return;
        }
        if done {
            // A stream that is resumed elsewhere: its first token is out already.
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
        let Some(open) = self.requests.remove(&id) else { return };
        if open.counted && !open.answered {
            self.result.refused += 1;
            self.result.refusal_time.add((self.now - open.request.at) as f64 / 1000.0);
        }
    }

    fn hedge(&mut self, id: u64) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answered || open.open.len() != 1 {
            return;
        }
        let entry = open.request.entry;
        let first = open.open[0].1;
        if !open.exclude.contains(&first) {
            open.exclude.push(first);
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
        self.at(self.now + EXPIRY_MICROS, SimEvent::Expire);
    }

    fn die(&mut self, target: usize) {
        self.lives[target] += 1;
        self.engines[target].dead = true;
        let mut lost: Vec<AttemptId> = Vec::new();
        for open in self.requests.values() {
            lost.extend(open.open.iter().filter(|other| other.1 == target).map(|other| other.0));
        }
        lost.sort_unstable();
        for attempt in lost {
            let (verdict, reason) = (RunVerdict::MayHaveRun, RefusalReason::ConnectionLost);
            let at = self.now + OTHER_ZONE_MICROS;
            self.at(at, SimEvent::Refused { attempt, target, verdict, reason });
        }
        self.at(self.now + DEATH_MICROS, SimEvent::Revive { target });
    }

    fn heartbeat(&mut self, target: usize) {
        if !self.engines[target].dead {
            for entry in 0..self.choosers.len() {
                self.tell_load(entry, target);
            }
        }
        self.at(self.now + REPORT_MICROS, SimEvent::Heartbeat { target });
    }

    fn lag(&mut self) -> u64 {
        1000 * self.random.random_range(self.settings.min_lag..=self.settings.max_lag)
    }

    fn tell_load(&mut self, entry: usize, target: usize) {
        let report = self.reports.len();
        self.reports.push(self.engines[target].load(self.now));
        let at = self.now + self.lag();
        self.at(at, SimEvent::Report { entry, target, report });
    }

    fn tell_cache(&mut self, target: usize, added: Vec<u64>, removed: Vec<u64>) {
        let change = self.changes.len();
        self.changes.push((added, removed));
        for entry in 0..self.choosers.len() {
            if self.random.random_bool(self.settings.lost_events) {
                continue;
            }
            let at = self.now + self.lag();
            self.at(at, SimEvent::Cache { entry, target, change });
        }
    }
}

fn in_outage(settings: &RouteSettings, now: u64) -> bool {
    let begins = settings.seconds * 1_000_000 / 2;
    settings.zone_death && (begins..begins + DEATH_MICROS).contains(&now)
}

fn note_second(result: &mut RouteResult, at: u64, asked: bool) {
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

fn one_way(entry: usize, target: usize) -> u64 {
    if entry % 3 == target % 3 { SAME_ZONE_MICROS } else { OTHER_ZONE_MICROS }
}
