//! Requests a slot from the dispatcher and turns a refusal into a response.

use super::ProxyHandler;
use super::parts::{AdmittedRequest, CourseRefusal, SendRecord};
use crate::broker::{SlotError, SlotRequest, TargetPlace};
use hyper::StatusCode;
use porthoist_core::RefusalReason;
use porthoist_policy::proxy::waiting::QueueClass;
use slog::info;

impl ProxyHandler {
    pub(super) async fn find_place(
        &self,
        admitted: &AdmittedRequest,
        record: &SendRecord,
    ) -> Result<TargetPlace, CourseRefusal> {
        let now = self.clock.now();
        let again = !record.tried.is_empty();
        let turn = match (again, admitted.came_back) {
            (true, _) => QueueClass::Resent,
            (false, true) => QueueClass::CallerRetry,
            (false, false) => QueueClass::First,
        };
        let demand = SlotRequest {
            service: admitted.service.clone(),
            ranked: admitted.ranked,
            work: admitted.work(),
            priority: admitted.priority(),
            tried: self.places_to_avoid(admitted, record),
            arrival: if again { now } else { admitted.arrival },
            latency_millis: admitted.rule.target_latency_millis,
            deadline: admitted.deadline,
            class: turn,
        };
        let placed = self.dispatcher.place(demand).await;
        let waited = self.clock.now().since(now);
        self.metrics.queue_wait(waited as f64);
        match placed {
            Ok(place) => {
                info!(self.logger, "placed"; "event" => "placed", "request" => &*admitted.facts.attempt,
                    "target" => place.record.id.to_string(), "zone" => place.record.zone.to_string(),
                    "group" => place.group.map(|group| group.index.place()),
                    "pass_ms" => place.group.map(|group| group.status.millis), "in_flight" => place.in_flight,
                    "reported" => place.report.map(|report| report.requests),
                    "report_age_ms" => place.report.map(|report| report.age_millis), "waited_ms" => waited,
                    "rate" => place.rate.map(|rate| rate.to_string()));
                Ok(place)
            }
            Err(error) => Err(self.no_place(admitted, record, error)),
        }
    }

    fn no_place(&self, admitted: &AdmittedRequest, record: &SendRecord, error: SlotError) -> CourseRefusal {
        let reason = match error {
            SlotError::Busy | SlotError::Full | SlotError::Down => RefusalReason::Overloaded,
            SlotError::Limited => RefusalReason::TargetLimits,
            SlotError::Cold => RefusalReason::TargetsCold,
            SlotError::Resting => RefusalReason::TargetsResting,
            SlotError::Emptied => RefusalReason::ZonesEmptied,
            SlotError::NoTarget => RefusalReason::NoTarget,
        };
        if record.may_have_run {
            return CourseRefusal::unknown(reason, StatusCode::BAD_GATEWAY);
        }
        CourseRefusal::later(reason, self.dispatcher.return_millis(&admitted.service, admitted.deadline))
    }
}
