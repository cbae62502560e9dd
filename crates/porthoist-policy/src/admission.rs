//! The queue of one target: who starts next, and who is refused at once.
//!
//! Requests are ordered by priority, then by weighted fair queueing between teams. One whose first token is
//! predicted after its deadline is refused when it arrives, not when the deadline has passed.

use porthoist_core::{
    AttemptId, LoadReport, RefusalReason, RequestPriority, TeamName, UnixDeadline, UnixMillis,
};
use std::collections::{BTreeMap, HashMap};

/// Weight of the newest observation in moving averages.
const EWMA_SHARE: f64 = 0.05;
/// Assumed service time before any was observed, in milliseconds.
const INITIAL_SERVICE_MILLIS: f64 = 50.0;
/// Refused requests are told to come back no sooner than this, in milliseconds.
pub const MIN_RETRY_MILLIS: u64 = 50;

/// Settings of the queue.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct AdmissionSettings {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that wait at most.
    pub queue: usize,
    /// Prompt tokens computed a second, 0 where prompts cost nothing.
    #[builder(default = 0)]
    pub prefill_rate: u32,
    /// Duration of a step at the start, in microseconds.
    #[builder(default = 4500)]
    pub step_micros: u32,
}

/// A request that asks to run.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Its attempt.
    pub attempt: AttemptId,
    /// Who pays.
    pub team: TeamName,
    /// The team's weight.
    pub weight: f64,
    /// Its priority.
    pub priority: RequestPriority,
    /// Prompt tokens to compute.
    pub prompt_tokens: u32,
    /// When the first token is due.
    pub deadline: UnixDeadline,
}

/// Answer to a request that asks to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start now.
    Start,
    /// Wait: it is named by a later [`AdmissionQueue::next_starts`] or [`AdmissionQueue::expired`].
    Queued,
    /// Refused; another try makes sense at that time.
    Refused(RefusalReason, UnixMillis),
}

/// Order in the queue, smallest first; the finish time is not negative, so that its bits order as it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    urgency: u8,
    finish_bits: u64,
    arrival: u64,
}

#[derive(Debug)]
struct QueuedRequest {
    attempt: AttemptId,
    tokens: u32,
    deadline: UnixDeadline,
}

#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    started: UnixMillis,
    tokens: u32,
    prefilled: bool,
}

/// The queue.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    running: HashMap<AttemptId, RunningRequest>,
    queue: BTreeMap<QueueRank, QueuedRequest>,
    ranks: HashMap<AttemptId, QueueRank>,
    finish_times: HashMap<TeamName, f64>,
    virtual_time: f64,
    arrivals: u64,
    backlog_tokens: u64,
    service_millis: f64,
    step_micros: u32,
}

impl AdmissionQueue {
    /// An empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            running: HashMap::new(),
            queue: BTreeMap::new(),
            ranks: HashMap::new(),
            finish_times: HashMap::new(),
            virtual_time: 0.0,
            arrivals: 0,
            backlog_tokens: 0,
            service_millis: INITIAL_SERVICE_MILLIS,
            step_micros: settings.step_micros,
        }
    }

    /// Takes the step duration and prefill rate that the engine reports.
    pub fn set_pace(&mut self, step_micros: u32, prefill_rate: u32) {
        self.step_micros = step_micros;
        self.settings.prefill_rate = prefill_rate;
    }

    /// Predicted time to the first token of a request with so many prompt tokens, in milliseconds.
    pub fn predicted_millis(&self, priority: RequestPriority, prompt_tokens: u32) -> f64 {
        let ahead = self.queue.keys().filter(|rank| rank.urgency <= urgency(priority)).count();
        let free = self.settings.slots as usize - self.running.len().min(self.settings.slots as usize);
        let waits = (ahead + 1).saturating_sub(free);
        let slot_wait = waits as f64 * self.slot_millis();
        let step = f64::from(self.step_micros) / 1000.0;
        if self.settings.prefill_rate == 0 {
            return slot_wait + step;
        }
        let tokens = self.backlog_tokens as f64 + f64::from(prompt_tokens);
        slot_wait + tokens * 1000.0 / f64::from(self.settings.prefill_rate) + step
    }

    /// Decides on a request.
    pub fn offer(&mut self, now: UnixMillis, request: AdmissionRequest) -> AdmissionDecision {
        let predicted = self.predicted_millis(request.priority, request.prompt_tokens);
        if request.deadline.passed(now) {
            return AdmissionDecision::Refused(RefusalReason::DeadlinePassed, now);
        }
        let first_token = now.plus(predicted.ceil() as u64);
        if request.deadline.passed(first_token) {
            return AdmissionDecision::Refused(RefusalReason::DeadlineUnreachable, self.retry_at(now));
        }
        self.backlog_tokens += u64::from(request.prompt_tokens);
        if self.running.len() < self.settings.slots as usize {
            self.start(now, request.attempt, request.prompt_tokens);
            return AdmissionDecision::Start;
        }
        if self.queue.len() >= self.settings.queue {
            self.backlog_tokens -= u64::from(request.prompt_tokens);
            return AdmissionDecision::Refused(RefusalReason::Overloaded, self.retry_at(now));
        }
        self.enqueue(request);
        AdmissionDecision::Queued
    }

    /// When a refused request may find room: the time in which half of the queue drains.
    pub fn retry_at(&self, now: UnixMillis) -> UnixMillis {
        let drain = self.queue.len() as f64 / 2.0 * self.slot_millis();
        now.plus(MIN_RETRY_MILLIS.max(drain as u64))
    }

    fn enqueue(&mut self, request: AdmissionRequest) {
        let last = self.finish_times.get(&request.team).copied().unwrap_or(0.0);
        let finish = last.max(self.virtual_time) + 1.0 / request.weight.max(1e-6);
        self.finish_times.insert(request.team, finish);
        self.arrivals += 1;
        let rank = QueueRank {
            urgency: urgency(request.priority),
            finish_bits: finish.to_bits(),
            arrival: self.arrivals,
        };
        self.ranks.insert(request.attempt, rank);
        let AdmissionRequest { attempt, prompt_tokens, deadline, .. } = request;
        self.queue.insert(rank, QueuedRequest { attempt, tokens: prompt_tokens, deadline });
    }

    fn start(&mut self, now: UnixMillis, attempt: AttemptId, tokens: u32) {
        self.running.insert(attempt, RunningRequest { started: now, tokens, prefilled: false });
    }

    /// The first token of a running request came: its prompt is no longer in the backlog.
    pub fn first_token(&mut self, attempt: AttemptId) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        if !running.prefilled {
            running.prefilled = true;
            self.backlog_tokens -= u64::from(running.tokens);
        }
    }

    /// A running request is over, or a waiting one is given up by its caller.
    pub fn finished(&mut self, now: UnixMillis, attempt: AttemptId) {
        if let Some(running) = self.running.remove(&attempt) {
            if !running.prefilled {
                self.backlog_tokens -= u64::from(running.tokens);
            }
            let took = now.since(running.started) as f64;
            self.service_millis += EWMA_SHARE * (took - self.service_millis);
            return;
        }
        if let Some(rank) = self.ranks.remove(&attempt) {
            self.drop_queued(rank);
        }
    }

    fn drop_queued(&mut self, rank: QueueRank) -> Option<QueuedRequest> {
        let queued = self.queue.remove(&rank)?;
        self.backlog_tokens -= u64::from(queued.tokens);
        Some(queued)
    }

    /// Whether a request still waits for a slot.
    pub fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.ranks.contains_key(&attempt)
    }

    /// Waiting requests that start now.
    pub fn next_starts(&mut self, now: UnixMillis) -> Vec<AttemptId> {
        let mut starts = Vec::new();
        while self.running.len() < self.settings.slots as usize {
            let Some((rank, queued)) = self.queue.pop_first() else {
                break;
            };
            self.ranks.remove(&queued.attempt);
            self.virtual_time = self.virtual_time.max(f64::from_bits(rank.finish_bits));
            self.start(now, queued.attempt, queued.tokens);
            starts.push(queued.attempt);
        }
        if self.queue.is_empty() {
            self.finish_times.clear();
        }
        starts
    }

    /// Waiting requests whose deadline passed; they are refused.
    pub fn expired(&mut self, now: UnixMillis) -> Vec<AttemptId> {
        let late: Vec<QueueRank> = self
            .queue
            .iter()
            .filter(|(_rank, queued)| queued.deadline.passed(now))
            .map(|(rank, _)| *rank)
            .collect();
        let mut attempts = Vec::with_capacity(late.len());
        for rank in late {
            if let Some(queued) = self.drop_queued(rank) {
                self.ranks.remove(&queued.attempt);
                attempts.push(queued.attempt);
            }
        }
        attempts
    }

    /// The load that goes out with every answer.
    pub fn load(&self, now: UnixMillis, draining: bool) -> LoadReport {
        LoadReport {
            queued: self.queue.len() as u32,
            running: self.running.len() as u32,
            slots: self.settings.slots,
            queued_tokens: self.backlog_tokens,
            step_micros: self.step_micros,
            slot_micros: (self.slot_millis() * 1000.0) as u32,
            prefill_rate: self.settings.prefill_rate,
            at: now,
            draining,
        }
    }

    fn slot_millis(&self) -> f64 {
        self.service_millis / f64::from(self.settings.slots.max(1))
    }
}

fn urgency(priority: RequestPriority) -> u8 {
    RequestPriority::MAX.0 - priority.0
}
