//! Retry budget, and the decision whether a failed attempt is retried.
//!
//! The budget is a share of first attempts, so that retries do not multiply the load during an outage.

use porthoist_core::{RefusalReason, RepeatPolicy, RetryReason, RunVerdict, UnixDeadline, UnixMillis};

pub mod hedge;

/// Maximum number of attempts of one request, including hedges.
pub const MAX_ATTEMPTS: u32 = 4;

/// Budget for retries and hedges, as a share of first attempts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget of `share` retries per first attempt, which accumulates up to `burst`.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, tokens: burst }
    }

    /// Records a first attempt.
    pub fn first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Spends one retry if the budget allows it.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of retries left in the budget.
    pub fn available(&self) -> f64 {
        self.tokens
    }
}

/// A failed attempt and the limits on a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Reason of the failure.
    pub reason: RefusalReason,
    /// Whether the attempt may have run.
    pub verdict: RunVerdict,
    /// Whether the request may be repeated.
    pub repeat: RepeatPolicy,
    /// Whether part of the answer was delivered to the caller.
    pub partly_delivered: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Deadline of the request.
    pub deadline: UnixDeadline,
}

/// Rules of retries; the model checker disables them one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryRules {
    /// An attempt that may have run is not retried unless the request may be repeated.
    pub never_after_unknown: bool,
}

impl RetryRules {
    /// All rules enabled.
    pub const SOUND: Self = Self { never_after_unknown: true };
}

impl FailedAttempt {
    /// Returns the reason for another attempt, or `None` if the failure is final.
    pub fn retry_reason(&self, now: UnixMillis) -> Option<RetryReason> {
        self.retry_reason_with(now, RetryRules::SOUND)
    }

    /// Like [`Self::retry_reason`] with the given rules, for the model checker.
    pub fn retry_reason_with(&self, now: UnixMillis, rules: RetryRules) -> Option<RetryReason> {
        if self.attempts >= MAX_ATTEMPTS || self.deadline.passed(now) {
            return None;
        }
        if !self.reason.another_target_may_accept() {
            return None;
        }
        match (self.verdict, self.repeat) {
            (RunVerdict::NotRun, _) if self.reason == RefusalReason::Unreachable => {
                Some(RetryReason::Unreachable)
            }
            (RunVerdict::NotRun, _) => Some(RetryReason::Refused),
            (_, RepeatPolicy::Never) if rules.never_after_unknown => None,
            _ if self.partly_delivered => Some(RetryReason::StreamResumed),
            _ if self.reason == RefusalReason::BackendFailed => Some(RetryReason::BackendFailed),
            _ => Some(RetryReason::ConnectionLost),
        }
    }
}
