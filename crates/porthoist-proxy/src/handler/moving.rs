//! Decides when another target is looked for, because the one that has the request stalls or is too slow.

use super::ProxyHandler;
use super::types::{AdmittedRequest, SendHistory};
use crate::connection_pool::SendFailure;
use crate::dispatcher::TargetSlot;
use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::balancer::SendOutcome;
use porthoist_policy::proxy::moving::{MAX_MOVE_JITTER_MILLIS, MoveCause, PendingSend};
use slog::info;
use std::future;
use std::time::Duration;

/// Interval at which a request in flight is checked. It is half of the time that remains of a typical
/// latency target once a group is known to have stalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl ProxyHandler {
    /// Completes when another target should be looked for, after taking one retry from the budget unless one is left of an
    /// earlier move.
    /// `since` is when the request was sent or its last event arrived.
    pub(super) async fn wait_for_move(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        history: &SendHistory,
        since: UnixMillis,
        events: u64,
    ) -> MoveCause {
        let attempts_left = history.attempts() < admitted.rule.max_attempts;
        if !attempts_left || admitted.runs_once() || !admitted.ranked || history.suspect.is_some() {
            return future::pending().await;
        }
        let send = PendingSend {
            since,
            events,
            queued_until: UnixDeadline::default(),
            jitter_millis: xxhash_rust::xxh3::xxh3_64(admitted.metadata.attempt.as_bytes())
                % MAX_MOVE_JITTER_MILLIS,
            on_time_until: UnixDeadline::after(admitted.arrival, admitted.rule.target_latency_millis),
            deadline: admitted.deadline,
        };
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let Some(cause) = self.dispatcher.move_cause(slot, &send) else { continue };
            if !self.drain.may_start(admitted) {
                continue;
            }
            if history.unsent_move.is_some() {
                return cause;
            }
            let now = self.clock.now();
            let allowed = self.with_retry_share(&admitted.service, |share| match cause {
                // A stalled host would run the requests that it holds after their callers have left.
                MoveCause::TargetSilent => share.try_take(now),
                MoveCause::GroupStalled | MoveCause::GroupSlow => share.try_take_optional(now),
            });
            if allowed {
                return cause;
            }
        }
    }

    /// Records that another target is looked for. A target that is silent while its group is not receives no requests for a
    /// while, unless a report shows that it is alive.
    pub(super) fn record_move(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        cause: MoveCause,
        since: UnixMillis,
    ) -> SendFailure {
        let outcome = self.dispatcher.record_move(slot, cause);
        let alive = (cause == MoveCause::TargetSilent).then_some(outcome == SendOutcome::Unanswered);
        info!(self.logger, "target does not respond; trying another one"; "event" => "moved", "request" => &*admitted.metadata.attempt,
            "target" => slot.target.id.to_string(), "cause" => cause.as_str(), "alive" => alive,
            "waited_ms" => self.clock.now().since(since));
        SendFailure::moved(cause.as_str())
    }
}
