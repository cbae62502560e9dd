//! Retries: the route's attempt limit, the deadline and this process's retry budget.

use super::ProxyHandler;
use super::draining::shutdown_refusal;
use super::types::{AdmittedRequest, ProxyRefusal, SendHistory};
use crate::connection_pool::SendFailure;
use hyper::StatusCode;
use porthoist_core::{RefusalReason, RetryReason, ServiceName};
use porthoist_policy::proxy::retry_share::RetryShare;
use slog::info;

impl ProxyHandler {
    /// Whether another attempt is within the route's limit, the deadline and the retry budget. Takes it
    /// from the budget.
    pub(super) fn take_retry(&self, admitted: &AdmittedRequest, history: &SendHistory) -> bool {
        let attempts = history.attempts();
        let in_time = !admitted.deadline.passed(self.clock.now()) && self.drain.may_start(admitted);
        let now = self.clock.now();
        attempts < admitted.rule.max_attempts
            && in_time
            && self.with_retry_share(&admitted.service, |share| share.try_take(now))
    }

    pub(super) fn record_retry(&self, admitted: &AdmittedRequest, failure: &SendFailure) {
        self.metrics.record_retry(failure.reason);
        info!(self.logger, "request sent again"; "event" => "sent_again", "request" => &*admitted.metadata.attempt,
            "reason" => failure.reason.as_str());
    }

    /// Allows another attempt after a failure, or returns the refusal that ends the request.
    pub(super) fn allow_retry(
        &self,
        admitted: &AdmittedRequest,
        history: &SendHistory,
        failure: &SendFailure,
    ) -> Result<(), ProxyRefusal> {
        let repeatable = !history.may_have_run || !admitted.runs_once();
        // A move has already taken its retry from the budget.
        let moved = failure.reason == RetryReason::Moved;
        if moved || repeatable && self.take_retry(admitted, history) {
            self.record_retry(admitted, failure);
            return Ok(());
        }
        let timed_out = admitted.deadline.passed(self.clock.now());
        Err(match (history.may_have_run, timed_out) {
            (true, true) => ProxyRefusal::unknown(RefusalReason::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT),
            (true, false) => ProxyRefusal::unknown(RefusalReason::ConnectionLost, StatusCode::BAD_GATEWAY),
            (false, _) if !self.drain.may_start(admitted) => shutdown_refusal(false),
            (false, _) => {
                let reason = match failure.reason {
                    RetryReason::Unreachable => RefusalReason::Unreachable,
                    _ => RefusalReason::Overloaded,
                };
                ProxyRefusal::retryable(reason, self.plan_retry(admitted))
            }
        })
    }

    pub(super) fn with_retry_share<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryShare) -> T,
    ) -> T {
        let mut retry_shares = self.retry_shares.borrow_mut();
        let share =
            retry_shares.entry(service.clone()).or_insert_with(|| RetryShare::new(self.settings.retry_share));
        act(share)
    }
}
