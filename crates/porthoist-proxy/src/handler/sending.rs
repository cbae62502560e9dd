//! Sends a request to a target once and classifies the response.

use super::types::{AdmittedRequest, SendRecord, TargetAnswer, WholeAnswer};
use super::{LAST_EVENT_ID, MAX_WHOLE_ANSWER_BYTES, ProxyHandler};
use crate::dispatcher::TargetSlot;
use crate::exchange::{OpenAnswer, SendFailure};
use crate::reply::strip_hop_headers;
use crate::wire::SendFacts;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Request, StatusCode};
use porthoist_core::{RetryReason, RunVerdict, UnixMillis};
use porthoist_policy::proxy::backpressure::SignalValue;
use porthoist_policy::proxy::balancer::SendOutcome;
use slog::info;

impl ProxyHandler {
    /// Sends a request once and classifies the response.
    pub(super) async fn send(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        after_event: Option<u64>,
        record: &mut SendRecord,
    ) -> Result<TargetAnswer, SendFailure> {
        let began = self.clock.now();
        let request = self.build_request(admitted, slot, after_event, began);
        if record.tried.is_empty() {
            self.with_retry_share(&admitted.service, |share| share.record_first_send(began));
        }
        record.tried.push(slot.record.id.clone());
        let sent = async {
            let open = self.pool.send(&slot.record, request, admitted.runs_once(), admitted.deadline).await?;
            self.read_answer(admitted, slot, open, began).await
        };
        let answer = tokio::select! {
            answer = sent => answer,
            cause = self.wait_for_move(admitted, slot, record, began, 0) => {
                return Err(self.record_move(admitted, slot, cause, began));
            }
        };
        let millis = self.clock.now().since(began) as f64;
        if matches!(answer, Ok(TargetAnswer::Whole(_))) {
            self.quarantine.record_answer(admitted);
        }
        match &answer {
            Ok(TargetAnswer::Whole(whole)) if whole.status.is_server_error() => {
                slot.set_outcome(SendOutcome::Failed);
            }
            Ok(TargetAnswer::Whole(_whole)) => {
                self.dispatcher.first_event_received(&slot.record, millis);
                slot.set_outcome(SendOutcome::Answered(millis));
            }
            Ok(TargetAnswer::Events(_answer)) => slot.set_outcome(SendOutcome::Answered(millis)),
            Err(failure) => {
                // A service whose targets back off is not down.
                if !matches!(failure.reason, RetryReason::Misdirected | RetryReason::Resting) {
                    self.dispatcher.refused(&admitted.service);
                }
                slot.set_outcome(match failure.reason {
                    RetryReason::Refused | RetryReason::Resting => SendOutcome::Shed,
                    RetryReason::Misdirected => SendOutcome::Gone,
                    _ => SendOutcome::Lost,
                });
                info!(self.logger, "send failed"; "event" => "send_failed",
                    "request" => &*admitted.facts.attempt, "target" => slot.record.id.to_string(),
                    "reason" => failure.reason.as_str(), "verdict" => failure.verdict.as_str(),
                    "detail" => &failure.detail, "took_ms" => millis);
            }
        }
        answer
    }

    fn build_request(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        after_event: Option<u64>,
        now: UnixMillis,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(admitted.body.clone()));
        *request.method_mut() = admitted.head.method.clone();
        *request.uri_mut() = admitted.head.uri.clone();
        let mut headers = admitted.head.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        if !admitted.body.is_empty() {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(admitted.body.len()));
        }
        if let Some(id) = after_event {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
        }
        let facts = SendFacts {
            target: &slot.record.id,
            team: admitted.grant.as_ref().map(|grant| &grant.team),
            remaining_millis: admitted.deadline.0.since(now),
            priority: admitted.priority().min(9),
        };
        self.codec.write_send(&mut headers, &facts);
        *request.headers_mut() = headers;
        request
    }

    async fn read_answer(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        answer: OpenAnswer,
        sent: UnixMillis,
    ) -> Result<TargetAnswer, SendFailure> {
        let status = answer.head.status;
        let facts = self.codec.answer_facts(&admitted.facts.attempt, status, &answer.head.headers);
        if facts.own == Some(false) {
            return Err(SendFailure::lost("response names another request"));
        }
        if !facts.misdirected {
            self.apply_signals(&slot.record, &facts.signals, sent);
        }
        if facts.not_executed {
            let whole = self.read_whole(admitted, answer).await;
            let detail =
                whole.map_or_else(|failure| failure.detail, |whole| format!("status {}", whole.status));
            let reason = match (facts.misdirected, facts.signals.rest_millis) {
                (true, _) => RetryReason::Misdirected,
                (false, SignalValue::Present(_millis)) => RetryReason::Resting,
                (false, SignalValue::Absent | SignalValue::Unreadable) => RetryReason::Refused,
            };
            return Err(SendFailure { verdict: RunVerdict::NotRun, reason, detail, closed: false });
        }
        if status.is_success() && !(facts.signed && facts.own == Some(true)) {
            return Err(SendFailure::lost("success without a signature or the request's identifier"));
        }
        if status.is_success() && admitted.rule.kind.streams() {
            return Ok(TargetAnswer::Events(answer));
        }
        let promise = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT
        );
        if promise {
            // Callers treat these statuses as a statement that the request did not run, which the target
            // has not made.
            return Err(SendFailure::lost(format!("status {} without proof", status.as_u16())));
        }
        self.read_whole(admitted, answer).await.map(TargetAnswer::Whole)
    }

    async fn read_whole(
        &self,
        admitted: &AdmittedRequest,
        answer: OpenAnswer,
    ) -> Result<WholeAnswer, SendFailure> {
        let OpenAnswer { head, body, lease } = answer;
        let remaining = admitted.deadline.remaining(self.clock.now());
        let reading = Limited::new(body, MAX_WHOLE_ANSWER_BYTES).collect();
        let collected = tokio::time::timeout(remaining, reading).await;
        let body = collected
            .map_err(|_elapsed| SendFailure::lost("response not complete in time"))?
            .map_err(SendFailure::closed)?
            .to_bytes();
        lease.release(&head.headers);
        Ok(WholeAnswer { status: head.status, headers: head.headers, body })
    }
}
