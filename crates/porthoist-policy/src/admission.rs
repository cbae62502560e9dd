//! Admission queue of one target: orders waiting requests and refuses those that cannot meet their deadline.
//!
//! Requests are ordered by priority, then by weighted fair queueing between teams. A request whose first token is
//! predicted to come after its deadline is refused on arrival, so that the caller can try elsewhere in time.

use porthoist_core::{
    AttemptId, LoadReport, RefusalReason, RequestPriority, TeamName, UnixDeadline, UnixMillis,
};
use std::collections::{BTreeMap, HashMap};

/// Weight of the newest observation in the moving average of the service time.
const EWMA_WEIGHT: f64 = 0.05;
/// Service time assumed before the first observation, in milliseconds.
const INITIAL_SERVICE_MILLIS: f64 = 50.0;
/// Shortest retry delay given to a refused request, in milliseconds.
pub const MIN_RETRY_MILLIS: u64 = 50;

/// Settings of an [`AdmissionQueue`].
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct AdmissionSettings {
    /// Maximum number of running requests.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub queue: usize,
    /// Prompt tokens computed per second; 0 if prompts cost nothing.
    #[builder(default = 0)]
    pub prefill_rate: u32,
    /// Initial duration of an engine step, in microseconds.
    #[builder(default = 4500)]
    pub step_micros: u32,
}

/// A request offered to the queue.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Team that the request counts against.
    pub team: TeamName,
    /// The team's weight in fair queueing.
    pub weight: f64,
    /// Priority; higher ones start first.
    pub priority: RequestPriority,
    /// Prompt tokens to compute.
    pub prompt_tokens: u32,
    /// Deadline of the first token.
    pub deadline: UnixDeadline,
}

/// Decision on an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start now.
    Start,
    /// Wait until [`AdmissionQueue::next_starts`] or [`AdmissionQueue::expired`] returns the attempt.
    Queued,
    /// Refused, with the time from which a retry may succeed.
    Refused(RefusalReason, UnixMillis),
}

/// Sort key in the queue, smallest first. `finish_bits` are the bits of the virtual finish time; for non-negative
/// floats they sort in the same order as the values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
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

/// Running and waiting requests of one target.
#[derive(Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    running: HashMap<AttemptId, RunningRequest>,
    queue: BTreeMap<QueuePosition, QueuedRequest>,
    positions: HashMap<AttemptId, QueuePosition>,
    finish_times: HashMap<TeamName, f64>,
    virtual_time: f64,
    arrivals: u64,
    backlog_tokens: u64,
    service_millis: f64,
    step_micros: u32,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            running: HashMap::new(),
            queue: BTreeMap::new(),
            positions: HashMap::new(),
            finish_times: HashMap::new(),
            virtual_time: 0.0,
            arrivals: 0,
            backlog_tokens: 0,
            service_millis: INITIAL_SERVICE_MILLIS,
            step_micros: settings.step_micros,
        }
    }

    /// Updates the step duration and prefill rate from the engine's report.
    pub fn set_pace(&mut self, step_micros: u32, prefill_rate: u32) {
        self.step_micros = step_micros;
        self.settings.prefill_rate = prefill_rate;
    }

    /// Predicts the time to first token of a request with `prompt_tokens`, in milliseconds.
    pub fn predicted_millis(&self, priority: RequestPriority, prompt_tokens: u32) -> f64 {
        let ahead = self.queue.keys().filter(|position| position.urgency <= urgency(priority)).count();
        let free_slots = self.settings.slots as usize - self.running.len().min(self.settings.slots as usize);
        let completions_needed = (ahead + 1).saturating_sub(free_slots);
        let slot_wait = completions_needed as f64 * self.slot_millis();
        let step = f64::from(self.step_micros) / 1000.0;
        if self.settings.prefill_rate == 0 {
            return slot_wait + step;
        }
        let tokens = self.backlog_tokens as f64 + f64::from(prompt_tokens);
        slot_wait + tokens * 1000.0 / f64::from(self.settings.prefill_rate) + step
    }

    /// Starts, queues or refuses a request.
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

    /// Time at which a refused request should retry: when half of the queue is expected to have drained.
    pub fn retry_at(&self, now: UnixMillis) -> UnixMillis {
        let drain = self.queue.len() as f64 / 2.0 * self.slot_millis();
        now.plus(MIN_RETRY_MILLIS.max(drain as u64))
    }

    fn enqueue(&mut self, request: AdmissionRequest) {
        let last = self.finish_times.get(&request.team).copied().unwrap_or(0.0);
        let finish = last.max(self.virtual_time) + 1.0 / request.weight.max(1e-6);
        self.finish_times.insert(request.team, finish);
        self.arrivals += 1;
        let position = QueuePosition {
            urgency: urgency(request.priority),
            finish_bits: finish.to_bits(),
            arrival: self.arrivals,
        };
        self.positions.insert(request.attempt, position);
        let AdmissionRequest { attempt, prompt_tokens, deadline, .. } = request;
        self.queue.insert(position, QueuedRequest { attempt, tokens: prompt_tokens, deadline });
    }

    fn start(&mut self, now: UnixMillis, attempt: AttemptId, tokens: u32) {
        self.running.insert(attempt, RunningRequest { started: now, tokens, prefilled: false });
    }

    /// Records the first token of a running request, whose prompt then leaves the backlog.
    pub fn first_token(&mut self, attempt: AttemptId) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        if !running.prefilled {
            running.prefilled = true;
            self.backlog_tokens -= u64::from(running.tokens);
        }
    }

    /// Removes a running request that ended, or a waiting one that its caller cancelled.
    pub fn finished(&mut self, now: UnixMillis, attempt: AttemptId) {
        if let Some(running) = self.running.remove(&attempt) {
            if !running.prefilled {
                self.backlog_tokens -= u64::from(running.tokens);
            }
            let elapsed_millis = now.since(running.started) as f64;
            self.service_millis += EWMA_WEIGHT * (elapsed_millis - self.service_millis);
            return;
        }
        if let Some(position) = self.positions.remove(&attempt) {
            self.remove_queued(position);
        }
    }

    fn remove_queued(&mut self, position: QueuePosition) -> Option<QueuedRequest> {
        let queued = self.queue.remove(&position)?;
        self.backlog_tokens -= u64::from(queued.tokens);
        Some(queued)
    }

    /// Returns whether a request still waits for a slot.
    pub fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.positions.contains_key(&attempt)
    }

    /// Starts waiting requests while slots are free, and returns them.
    pub fn next_starts(&mut self, now: UnixMillis) -> Vec<AttemptId> {
        let mut starts = Vec::new();
        while self.running.len() < self.settings.slots as usize {
            let Some((position, queued)) = self.queue.pop_first() else {
                break;
            };
            self.positions.remove(&queued.attempt);
            self.virtual_time = self.virtual_time.max(f64::from_bits(position.finish_bits));
            self.start(now, queued.attempt, queued.tokens);
            starts.push(queued.attempt);
        }
        if self.queue.is_empty() {
            self.finish_times.clear();
        }
        starts
    }

    /// Removes and returns waiting requests whose deadline has passed; the caller refuses them.
    pub fn expired(&mut self, now: UnixMillis) -> Vec<AttemptId> {
        let overdue: Vec<QueuePosition> = self
            .queue
            .iter()
            .filter(|(_position, queued)| queued.deadline.passed(now))
            .map(|(position, _)| *position)
            .collect();
        let mut attempts = Vec::with_capacity(overdue.len());
        for position in overdue {
            if let Some(queued) = self.remove_queued(position) {
                self.positions.remove(&queued.attempt);
                attempts.push(queued.attempt);
            }
        }
        attempts
    }

    /// Returns the load report that is sent with every answer.
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
