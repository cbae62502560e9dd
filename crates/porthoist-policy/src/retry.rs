//! The retry budget and the decision whether a failed attempt is tried again.
//!
//! The budget is a share of first attempts, so that an outage is not multiplied by retries.

use porthoist_core::{RefusalReason, RepeatPolicy, RetryReason, RunVerdict, UnixDeadline, UnixMillis};

pub mod hedge;

/// Most attempts of one request, hedges included.
pub const MAX_ATTEMPTS: u32 = 4;

/// A share of traffic that may be spent on retries and hedges.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget of `share` retries for each first attempt, saved up to `burst`.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, tokens: burst }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Spends one retry if the budget has it.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Retries that could be spent now.
    pub fn available(&self) -> f64 {
        self.tokens
    }
}

/// An attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// Whether the request may run again.
    pub repeat: RepeatPolicy,
    /// Whether a part of the answer went to the caller.
    pub partly_delivered: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// When the answer is due.
    pub deadline: UnixDeadline,
}

/// Rules that the model checker breaks one at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RetryRules {
    /// What may have run is not tried again unless it may be repeated.
    pub never_after_unknown: bool,
}

impl RetryRules {
    /// The rules in force.
    pub const SOUND: Self = Self { never_after_unknown: true };
}

impl FailedAttempt {
    /// The reason for another attempt, or nothing if the failure is final.
    pub fn retry_reason(&self, now: UnixMillis) -> Option<RetryReason> {
        self.retry_reason_by(now, RetryRules::SOUND)
    }

    /// The same by given rules, for the model checker.
    pub fn retry_reason_by(&self, now: UnixMillis, rules: RetryRules) -> Option<RetryReason> {
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
