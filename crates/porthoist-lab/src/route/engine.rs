//! Model of a target: the daemon's admission queue, a prefill server, slots and a prefix cache.

use super::workload::SimRequest;
use porthoist_core::{AttemptId, LoadReport, RequestPriority, TeamName, UnixDeadline, UnixMillis};
use porthoist_policy::admission::{AdmissionDecision, AdmissionQueue, AdmissionRequest, AdmissionSettings};
use porthoist_policy::router::BLOCK_TOKENS;
use porthoist_policy::router::prefix::PrefixView;
use std::collections::HashMap;

/// Maximum number of running requests.
pub const SLOTS: u32 = 32;
/// Maximum number of waiting requests.
const MAX_QUEUED: usize = 512;
/// Prompt tokens that a healthy target computes per second.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 24_000.0;
/// Duration of a step in microseconds.
pub const STEP_MICROS: f64 = 4500.0;
/// Capacity of a target's cache in blocks: a third of all shared prefixes.
const CACHE_BLOCKS: usize = 3000;

/// A started attempt, with the times of its first and last token in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct EngineStart {
    /// The attempt.
    pub attempt: AttemptId,
    /// Time of the first token.
    pub first_token: u64,
    /// Time of the last token.
    pub last_token: u64,
}

/// Change of a cache.
#[derive(Debug, Clone, Default)]
pub struct CacheChange {
    /// Blocks added.
    pub added: Vec<u64>,
    /// Blocks evicted.
    pub removed: Vec<u64>,
    /// Number of leading blocks of the prompt that were cached.
    pub hits: usize,
}

/// A simulated target.
#[derive(Debug)]
pub struct SimEngine {
    queue: AdmissionQueue,
    cache: PrefixView,
    prefill_free_at: f64,
    slowness: f64,
    team: TeamName,
    queued: HashMap<AttemptId, SimRequest>,
    /// Whether it is down after a crash.
    pub is_down: bool,
}

fn millis(micros: u64) -> UnixMillis {
    UnixMillis(micros / 1000)
}

impl SimEngine {
    /// Creates a target that is slower than a healthy one by the factor `slowness`.
    pub fn new(slowness: f64) -> Self {
        let rate = (PREFILL_TOKENS_PER_SECOND / slowness) as u32;
        let step = (STEP_MICROS * slowness) as u32;
        let settings = AdmissionSettings::builder()
            .slots(SLOTS)
            .queue(MAX_QUEUED)
            .prefill_rate(rate)
            .step_micros(step)
            .build();
        Self {
            queue: AdmissionQueue::new(settings),
            cache: PrefixView::new(CACHE_BLOCKS),
            prefill_free_at: 0.0,
            slowness,
            team: "all".parse().expect("the name is valid"),
            queued: HashMap::new(),
            is_down: false,
        }
    }

    /// Number of prompt tokens that are not cached.
    pub fn uncached(&self, request: &SimRequest) -> u32 {
        request.prompt_tokens - self.cache.cached_blocks(&request.blocks) as u32 * BLOCK_TOKENS
    }

    /// Actual time to first token in milliseconds if the request arrived now.
    pub fn actual_millis(&self, request: &SimRequest) -> f64 {
        self.queue.predicted_millis(RequestPriority::default(), self.uncached(request))
    }

    /// Offers a request to the admission queue. A queued request starts later.
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
                self.queued.insert(attempt, request.clone());
                None
            }
            AdmissionDecision::Refused(..) => None,
        };
        (decision, start)
    }

    fn start(&mut self, now: u64, attempt: AttemptId, request: &SimRequest) -> EngineStart {
        let prefill_micros =
            f64::from(self.uncached(request)) / PREFILL_TOKENS_PER_SECOND * 1e6 * self.slowness;
        self.prefill_free_at = self.prefill_free_at.max(now as f64) + prefill_micros;
        let step = STEP_MICROS * self.slowness;
        let first_token = self.prefill_free_at + step;
        let last_token = first_token + f64::from(request.answer_tokens) * step;
        EngineStart { attempt, first_token: first_token as u64, last_token: last_token as u64 }
    }

    /// Records the first token of an attempt and returns the change of the cache.
    pub fn first_token(&mut self, attempt: AttemptId, request: &SimRequest) -> CacheChange {
        self.queue.first_token(attempt);
        let hits = self.cache.cached_blocks(&request.blocks);
        let removed = self.cache.insert(&request.blocks);
        CacheChange { added: request.blocks.to_vec(), removed, hits }
    }

    /// Records that an attempt ended or was cancelled. Returns the waiting attempts that start now.
    pub fn finished(&mut self, now: u64, attempt: AttemptId) -> Vec<EngineStart> {
        self.queued.remove(&attempt);
        self.queue.finished(millis(now), attempt);
        let starts = self.queue.next_starts(millis(now));
        let mut started = Vec::with_capacity(starts.len());
        for next in starts {
            if let Some(request) = self.queued.remove(&next) {
                started.push(self.start(now, next, &request));
            }
        }
        started
    }

    /// Removes and returns waiting attempts whose deadline has passed.
    pub fn expired(&mut self, now: u64) -> Vec<AttemptId> {
        let expired = self.queue.expired(millis(now));
        for attempt in &expired {
            self.queued.remove(attempt);
        }
        expired
    }

    /// The load that the target reports.
    pub fn load(&self, now: u64) -> LoadReport {
        self.queue.load(millis(now), false)
    }

    /// The target after a restart, with an empty cache and queue.
    #[must_use]
    pub fn restarted(&self) -> Self {
        Self::new(self.slowness)
    }
}
