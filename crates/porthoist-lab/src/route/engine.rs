//! A target as a queueing fake: the daemon's admission queue, a prefill server, slots and a prefix cache.

use super::workload::SimRequest;
use porthoist_core::{AttemptId, LoadReport, RequestPriority, TeamName, UnixDeadline, UnixMillis};
use porthoist_policy::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionSettings};
use porthoist_policy::router::BLOCK_TOKENS;
use porthoist_policy::router::prefix::PrefixView;
use std::collections::HashMap;

/// Requests that a target runs at once.
pub const SLOTS: u32 = 32;
/// Requests that wait at most.
const QUEUE: usize = 512;
/// Prompt tokens that a healthy target computes a second.
pub const PREFILL_RATE: f64 = 24_000.0;
/// Time of a step in microseconds.
pub const STEP_MICROS: f64 = 4500.0;
/// Blocks that a target's cache holds: a third of all shared prefixes.
const CACHE_BLOCKS: usize = 3000;

/// A request that starts, with the times of its first and last token in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct EngineStart {
    /// The attempt.
    pub attempt: AttemptId,
    /// First token.
    pub first_token: u64,
    /// Last token.
    pub last_token: u64,
}

/// What a cache gained and lost.
#[derive(Debug, Clone, Default)]
pub struct CacheChange {
    /// Blocks that came.
    pub added: Vec<u64>,
    /// Blocks that had to go.
    pub removed: Vec<u64>,
    /// Leading blocks of the prompt that were there.
    pub hits: usize,
}

/// The fake.
#[derive(Debug)]
pub struct EngineFake {
    queue: AdmissionQueue,
    cache: PrefixView,
    prefill_free: f64,
    slowness: f64,
    team: TeamName,
    waiting: HashMap<AttemptId, SimRequest>,
    /// Whether it is dead.
    pub dead: bool,
}

fn millis(micros: u64) -> UnixMillis {
    UnixMillis(micros / 1000)
}

impl EngineFake {
    /// A target that is so many times slower than a healthy one.
    pub fn new(slowness: f64) -> Self {
        let rate = (PREFILL_RATE / slowness) as u32;
        let step = (STEP_MICROS * slowness) as u32;
        let settings = AdmissionSettings::builder()
            .slots(SLOTS)
            .queue(QUEUE)
            .prefill_rate(rate)
            .step_micros(step)
            .build();
        Self {
            queue: AdmissionQueue::new(settings),
            cache: PrefixView::new(CACHE_BLOCKS),
            prefill_free: 0.0,
            slowness,
            team: "all".parse().expect("the name is valid"),
            waiting: HashMap::new(),
            dead: false,
        }
    }

    /// Prompt tokens that are not cached.
    pub fn uncached(&self, request: &SimRequest) -> u32 {
        request.prompt_tokens - self.cache.cached_blocks(&request.blocks) as u32 * BLOCK_TOKENS
    }

    /// The true time to the first token if the request came now, in milliseconds.
    pub fn true_millis(&self, request: &SimRequest) -> f64 {
        self.queue.predicted_millis(RequestPriority::default(), self.uncached(request))
    }

    /// Takes an offer; a queued one starts later.
    pub fn offer(
        &mut self,
        now: u64,
        attempt: AttemptId,
        request: &SimRequest,
        deadline: UnixDeadline,
    ) -> (AdmissionDecision, Option<EngineStart>) {
        let admission = AdmissionRequest {
            attempt,
            team: self.team.clone(),
            weight: 1.0,
            priority: RequestPriority::default(),
            prompt_tokens: self.uncached(request),
            deadline,
        };
        let decision = self.queue.offer(millis(now), admission);
        let start = match decision {
            AdmissionDecision::Start => Some(self.start(now, attempt, request)),
            AdmissionDecision::Queued => {
                self.waiting.insert(attempt, request.clone());
                None
            }
            AdmissionDecision::Refused(..) => None,
        };
        (decision, start)
    }

    fn start(&mut self, now: u64, attempt: AttemptId, request: &SimRequest) -> EngineStart {
        let compute = f64::from(self.uncached(request)) / PREFILL_RATE * 1e6 * self.slowness;
        self.prefill_free = self.prefill_free.max(now as f64) + compute;
        let step = STEP_MICROS * self.slowness;
        let first_token = self.prefill_free + step;
        let last_token = first_token + f64::from(request.answer_tokens) * step;
        EngineStart { attempt, first_token: first_token as u64, last_token: last_token as u64 }
    }

    /// The first token of an attempt is out; returns what the cache gained.
    pub fn first_token(&mut self, attempt: AttemptId, request: &SimRequest) -> CacheChange {
        self.queue.first_token(attempt);
        let hits = self.cache.cached_blocks(&request.blocks);
        let removed = self.cache.insert(&request.blocks);
        CacheChange { added: request.blocks.to_vec(), removed, hits }
    }

    /// An attempt is over or given up; returns the waiting ones that start.
    pub fn finished(&mut self, now: u64, attempt: AttemptId) -> Vec<EngineStart> {
        self.waiting.remove(&attempt);
        self.queue.finished(millis(now), attempt);
        let starts = self.queue.next_starts(millis(now));
        let mut started = Vec::with_capacity(starts.len());
        for next in starts {
            if let Some(request) = self.waiting.remove(&next) {
                started.push(self.start(now, next, &request));
            }
        }
        started
    }

    /// Waiting attempts whose deadline passed.
    pub fn expired(&mut self, now: u64) -> Vec<AttemptId> {
        let late = self.queue.expired(millis(now));
        for attempt in &late {
            self.waiting.remove(attempt);
        }
        late
    }

    /// The load as the target states it.
    pub fn load(&self, now: u64) -> LoadReport {
        self.queue.load(millis(now), false)
    }

    /// It comes back after a death, with an empty cache and queue.
    #[must_use]
    pub fn reborn(&self) -> Self {
        Self::new(self.slowness)
    }
}
