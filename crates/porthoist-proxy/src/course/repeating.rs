//! Whether a request may be sent once more: the route's attempts, its deadline, and this process's share of repeats.

use super::ProxyHandler;
use super::parts::{AdmittedRequest, CourseRefusal, SendRecord};
use crate::exchange::SendFailure;
use hyper::StatusCode;
use porthoist_core::{RefusalReason, RetryReason, ServiceName};
use porthoist_policy::proxy::retry_share::RetryShare;
use slog::info;

impl ProxyHandler {
    /// Whether one more send is within the route's attempts and the deadline.
    pub(super) fn may_repeat(&self, admitted: &AdmittedRequest, record: &SendRecord) -> bool {
        let attempts = record.attempts();
        let in_time = !admitted.deadline.passed(self.clock.now());
        let now = self.clock.now();
        attempts < admitted.rule.max_attempts
            && in_time
            && self.share_of(&admitted.service, |share| share.take(now))
    }

    pub(super) fn repeat(&self, admitted: &AdmittedRequest, failure: &SendFailure) {
        self.metrics.retry(failure.reason);
        info!(self.logger, "sent again"; "event" => "sent_again", "request" => &*admitted.facts.attempt,
            "reason" => failure.reason.as_str());
    }

    /// Allows one more send after a failure, or says how the request ends.
    pub(super) fn allow_repeat(
        &self,
        admitted: &AdmittedRequest,
        record: &SendRecord,
        failure: &SendFailure,
    ) -> Result<(), CourseRefusal> {
        let repeatable = !record.may_have_run || !admitted.once();
        // A move has taken its repeat already.
        let moved = failure.reason == RetryReason::Moved;
        if moved || repeatable && self.may_repeat(admitted, record) {
            self.repeat(admitted, failure);
            return Ok(());
        }
        let timed_out = admitted.deadline.passed(self.clock.now());
        Err(match (record.may_have_run, timed_out) {
            (true, true) => {
                CourseRefusal::unknown(RefusalReason::DeadlinePassed, StatusCode::GATEWAY_TIMEOUT)
            }
            (true, false) => CourseRefusal::unknown(RefusalReason::ConnectionLost, StatusCode::BAD_GATEWAY),
            (false, _) => {
                let reason = match failure.reason {
                    RetryReason::Unreachable => RefusalReason::Unreachable,
                    _ => RefusalReason::Overloaded,
                };
                CourseRefusal::later(
                    reason,
                    self.dispatcher.return_millis(&admitted.service, admitted.deadline),
                )
            }
        })
    }

    pub(super) fn share_of<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryShare) -> T) -> T {
        let mut shares = self.shares.borrow_mut();
        let share = shares.entry(service.clone()).or_insert_with(|| RetryShare::new(self.settings.share));
        act(share)
    }
}
