//! Requests a slot from the dispatcher and turns a refusal into a response.

use super::ProxyHandler;
use super::draining::shutdown_refusal;
use super::grant_fields::GrantFields;
use super::types::{AdmittedRequest, ProxyRefusal, SendHistory};
use crate::dispatcher::{SlotError, SlotRequest, TargetSlot};
use hyper::StatusCode;
use porthoist_core::RefusalReason;
use porthoist_policy::proxy::demand::PriorityLevel;
use slog::info;

impl ProxyHandler {
    pub(super) async fn request_slot(
        &self,
        admitted: &AdmittedRequest,
        history: &SendHistory,
    ) -> Result<TargetSlot, ProxyRefusal> {
        let now = self.clock.now();
        let is_resend = !history.tried.is_empty();
        let class = admitted.queue_class(is_resend);
        let slot_request = SlotRequest {
            service: admitted.service.clone(),
            ranked: admitted.ranked,
            work: admitted.work(),
            priority: admitted.priority(),
            tried: self.targets_to_avoid(admitted, history),
            arrival: if is_resend { now } else { admitted.arrival },
            latency_millis: admitted.rule.target_latency_millis,
            deadline: admitted.deadline,
            class,
        };
        let assigned = tokio::select! {
            biased;
            assigned = self.dispatcher.acquire_slot(slot_request) => assigned,
            () = self.drain.until_too_late(admitted) => return Err(shutdown_refusal(history.may_have_run)),
        };
        let waited = self.clock.now().since(now);
        self.metrics.record_queue_wait(waited as f64);
        let level = PriorityLevel(admitted.priority());
        let granted = self.dispatcher.capacity_grant(&admitted.service, level);
        match assigned {
            Ok(slot) => {
                info!(self.logger, "placed"; "event" => "placed", "request" => &*admitted.metadata.attempt,
                    "target" => slot.target.id.to_string(), "zone" => slot.target.zone.to_string(),
                    "group" => slot.group.map(|group| group.index.as_usize()),
                    "pass_ms" => slot.group.map(|group| group.status.millis), "in_flight" => slot.in_flight,
                    "reported" => slot.report.map(|report| report.requests),
                    "report_age_ms" => slot.report.map(|report| report.age_millis), "waited_ms" => waited,
                    "rate" => slot.rate.map(|rate| rate.to_string()), GrantFields(granted));
                Ok(slot)
            }
            Err(error) => Err(ProxyRefusal { grant: granted, ..self.slot_refusal(admitted, history, error) }),
        }
    }

    fn slot_refusal(
        &self,
        admitted: &AdmittedRequest,
        history: &SendHistory,
        error: SlotError,
    ) -> ProxyRefusal {
        let reason = match error {
            SlotError::Busy | SlotError::Full | SlotError::Down => RefusalReason::Overloaded,
            SlotError::Limited => RefusalReason::TargetLimits,
            SlotError::Cold => RefusalReason::TargetsCold,
            SlotError::Priority => RefusalReason::PriorityCapacity,
            SlotError::Resting => RefusalReason::TargetsResting,
            SlotError::Emptied => RefusalReason::ZonesEmptied,
            SlotError::NoTarget => RefusalReason::NoTarget,
        };
        if history.may_have_run {
            return ProxyRefusal::unknown(reason, StatusCode::BAD_GATEWAY);
        }
        ProxyRefusal::retryable(reason, self.plan_retry(admitted))
    }

    /// Plans the caller's retry; returns its delay in milliseconds.
    pub(super) fn plan_retry(&self, admitted: &AdmittedRequest) -> u64 {
        let plan = self.dispatcher.plan_retry(&admitted.service, admitted.refused_caller());
        if let Some(when) = plan.when {
            self.metrics.record_planned_retry(when.as_str());
        }
        plan.after_millis
    }
}
