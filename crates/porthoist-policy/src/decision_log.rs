//! Bounded log of recent decisions on requests, which operators can query.

use porthoist_core::{
    RefusalReason, RequestId, RetryReason, RunVerdict, ServiceName, TargetName, TeamName, UnixMillis,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Default capacity of the log, in decisions of about 200 bytes each.
pub const DEFAULT_DECISIONS: usize = 50_000;

/// One decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum DecisionKind {
    /// The request was received.
    Received {
        /// Team that sent it.
        team: TeamName,
        /// Requested service.
        service: ServiceName,
        /// Estimated prompt length in tokens.
        prompt_tokens: u32,
    },
    /// The request was offered to a target.
    Offered {
        /// Number of the attempt.
        attempt: u32,
        /// The target.
        target: TargetName,
        /// Predicted time to first token, in milliseconds.
        cost_millis: f64,
        /// Prompt tokens expected in the target's prefix cache.
        cached_tokens: u32,
        /// Number of targets compared.
        candidates: usize,
    },
    /// An attempt failed.
    Failed {
        /// Number of the attempt.
        attempt: u32,
        /// Reason.
        reason: RefusalReason,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
    /// Another attempt follows.
    Retried {
        /// Reason.
        reason: RetryReason,
    },
    /// The complete answer was sent.
    Answered {
        /// Time to first byte, in milliseconds.
        first_byte_millis: u64,
    },
    /// The final refusal was sent.
    Refused {
        /// Reason.
        reason: RefusalReason,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
}

/// A decision with its request and time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Request that the decision is about.
    pub request: RequestId,
    /// Time of the decision.
    pub at: UnixMillis,
    /// The decision.
    #[serde(flatten)]
    pub kind: DecisionKind,
}

/// Ring buffer of decisions.
#[derive(Debug)]
pub struct DecisionLog {
    capacity: usize,
    records: VecDeque<DecisionRecord>,
}

impl DecisionLog {
    /// Creates a log of at most `capacity` decisions.
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), records: VecDeque::new() }
    }

    /// Adds a decision, and drops the oldest one if the log is full.
    pub fn record(&mut self, at: UnixMillis, request: RequestId, kind: DecisionKind) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(DecisionRecord { request, at, kind });
    }

    /// Returns the decisions about a request, oldest first.
    pub fn for_request(&self, request: RequestId) -> Vec<DecisionRecord> {
        self.records.iter().filter(|record| record.request == request).cloned().collect()
    }
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self::new(DEFAULT_DECISIONS)
    }
}
