//! Requests that leave a target which stands still or is too slow, while it has them.

use super::ProxyHandler;
use super::parts::{AdmittedRequest, SendRecord};
use crate::broker::TargetPlace;
use crate::exchange::SendFailure;
use porthoist_core::{UnixDeadline, UnixMillis};
use porthoist_policy::proxy::balancer::SendOutcome;
use porthoist_policy::proxy::moving::{MAX_MOVE_JITTER_MILLIS, MoveCause, PendingSend};
use slog::info;
use std::future;
use std::time::Duration;

/// Time between two looks whether a request should leave its target: half of what is left of a usual target latency once
/// a group is known to stand.
const LOOK_TIME: Duration = Duration::from_millis(50);

impl ProxyHandler {
    /// Ends when a request should leave its target, with one repeat taken from the share for it. `since` is when the
    /// request was sent or its last event came.
    pub(super) async fn move_due(
        &self,
        admitted: &AdmittedRequest,
        place: &TargetPlace,
        record: &SendRecord,
        since: UnixMillis,
        events: u64,
    ) -> MoveCause {
        let attempts_left = record.attempts() < admitted.rule.max_attempts;
        if !attempts_left || admitted.once() || !admitted.ranked || record.suspect.is_some() {
            return future::pending().await;
        }
        let send = PendingSend {
            since,
            events,
            jitter_millis: xxhash_rust::xxh3::xxh3_64(admitted.facts.attempt.as_bytes())
                % MAX_MOVE_JITTER_MILLIS,
            on_time_until: UnixDeadline::after(admitted.arrival, admitted.rule.target_latency_millis),
            deadline: admitted.deadline,
        };
        loop {
            tokio::time::sleep(LOOK_TIME).await;
            let Some(cause) = self.dispatcher.move_cause(&place.record, &send) else { continue };
            let now = self.clock.now();
            let allowed = self.share_of(&admitted.service, |share| match cause {
                // What a host that stands still has kept would run after its caller has left.
                MoveCause::TargetSilent => share.take(now),
                MoveCause::GroupStalled | MoveCause::GroupSlow => share.take_optional(now),
            });
            if allowed {
                return cause;
            }
        }
    }

    /// Notes that a request leaves its target. A target that is silent alone gets nothing for a while.
    pub(super) fn note_moved(
        &self,
        admitted: &AdmittedRequest,
        place: &TargetPlace,
        cause: MoveCause,
        since: UnixMillis,
    ) -> SendFailure {
        if cause == MoveCause::TargetSilent {
            place.ended(SendOutcome::Lost);
            self.dispatcher.died(&place.record.life());
        }
        info!(self.logger, "left a target"; "event" => "moved", "request" => &*admitted.facts.attempt,
            "target" => place.record.id.to_string(), "cause" => cause.as_str(),
            "waited_ms" => self.clock.now().since(since));
        SendFailure::moved(cause.as_str())
    }
}
