//! Tests of retries, the retry budget and hedges.

use porthoist_core::{RefusalReason, RepeatPolicy, RetryReason, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_policy::retry::hedge::HedgePolicy;
use porthoist_policy::retry::{FailedAttempt, MAX_ATTEMPTS, RetryBudget};
use test_case::test_case;

fn failed(reason: RefusalReason, verdict: RunVerdict, repeat: RepeatPolicy) -> FailedAttempt {
    let deadline = UnixDeadline(UnixMillis(100));
    FailedAttempt { reason, verdict, repeat, partly_delivered: false, attempts: 1, deadline }
}

#[test_case(RefusalReason::Draining, RunVerdict::NotRun, RepeatPolicy::Never => Some(RetryReason::Refused); "proof")]
#[test_case(RefusalReason::Unreachable, RunVerdict::NotRun, RepeatPolicy::Never => Some(RetryReason::Unreachable); "never sent")]
#[test_case(RefusalReason::ConnectionLost, RunVerdict::MayHaveRun, RepeatPolicy::Never => None; "never repeated")]
#[test_case(RefusalReason::ConnectionLost, RunVerdict::MayHaveRun, RepeatPolicy::Safe => Some(RetryReason::ConnectionLost); "safe")]
#[test_case(RefusalReason::BackendFailed, RunVerdict::MayHaveRun, RepeatPolicy::Safe => Some(RetryReason::BackendFailed); "engine failed")]
#[test_case(RefusalReason::KeyMismatch, RunVerdict::NotRun, RepeatPolicy::Safe => None; "no other target would accept")]
fn retry_reason(reason: RefusalReason, verdict: RunVerdict, repeat: RepeatPolicy) -> Option<RetryReason> {
    failed(reason, verdict, repeat).retry_reason(UnixMillis(0))
}

#[test]
fn attempts_and_deadline_end_retries() {
    let base = failed(RefusalReason::Draining, RunVerdict::NotRun, RepeatPolicy::Safe);
    assert_eq!(FailedAttempt { attempts: MAX_ATTEMPTS, ..base }.retry_reason(UnixMillis(0)), None);
    assert_eq!(base.retry_reason(UnixMillis(100)), None);
}

#[test]
fn budget_is_share_of_first_attempts() {
    let mut budget = RetryBudget::new(0.1, 2.0);
    assert!(budget.try_spend() && budget.try_spend() && !budget.try_spend());
    for _ in 0..11 {
        budget.first_attempt();
    }
    assert!(budget.try_spend() && !budget.try_spend());
}

#[test]
fn hedges_wait_for_enough_observations() {
    let mut hedges = HedgePolicy::default();
    for millis in 1..=199 {
        hedges.observe(millis);
    }
    assert_eq!(hedges.hedge_at(UnixMillis(0)), None);
    hedges.observe(200);
    let at = hedges.hedge_at(UnixMillis(1000)).unwrap();
    assert!(at >= UnixMillis(1390), "{at:?}");
}
