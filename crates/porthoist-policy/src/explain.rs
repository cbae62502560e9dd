//! The decisions of recent requests, kept in a bounded ring so that an operator can ask why.

use porthoist_core::{
    RefusalReason, RequestId, RetryReason, RunVerdict, ServiceName, TargetName, TeamName, UnixMillis,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Decisions kept by default; about 200 bytes each.
pub const DEFAULT_DECISIONS: usize = 50_000;

/// One decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum DecisionKind {
    /// The request was read.
    Received {
        /// Who sent it.
        team: TeamName,
        /// The service asked for.
        service: ServiceName,
        /// Estimated prompt length.
        prompt_tokens: u32,
    },
    /// It was offered to a target.
    Offered {
        /// The attempt's number.
        attempt: u32,
        /// The target.
        target: TargetName,
        /// Predicted time to the first token in milliseconds.
        cost_millis: f64,
        /// Prompt tokens expected in the target's cache.
        cached_tokens: u32,
        /// Targets compared.
        candidates: usize,
    },
    /// An attempt failed.
    Failed {
        /// The attempt's number.
        attempt: u32,
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        verdict: RunVerdict,
    },
    /// Another attempt was decided on.
    Retried {
        /// Why.
        reason: RetryReason,
    },
    /// The whole answer went out.
    Answered {
        /// Time to the first byte in milliseconds.
        first_byte_millis: u64,
    },
    /// The final refusal went out.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        verdict: RunVerdict,
    },
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    pub request: RequestId,
    /// When it was decided.
    pub at: UnixMillis,
    /// What.
    #[serde(flatten)]
    pub kind: DecisionKind,
}

/// The ring.
#[derive(Debug)]
pub struct DecisionLog {
    capacity: usize,
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// A ring of at most `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), records: VecDeque::new() }
    }

    /// Adds a decision; the oldest goes when the ring is full.
    pub fn record(&mut self, at: UnixMillis, request: RequestId, kind: DecisionKind) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(DecisionRecord { request, at, kind });
    }

    /// All decisions kept on a request, oldest first.
    pub fn for_request(&self, request: RequestId) -> Vec<DecisionRecord> {
        self.records.iter().filter(|record| record.request == request).cloned().collect()
    }
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self::new(DEFAULT_DECISIONS)
    }
}
