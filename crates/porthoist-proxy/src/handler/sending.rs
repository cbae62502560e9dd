//! Sends a request to a target once and classifies the response.

use super::types::{AdmittedRequest, AnswerEnd, CompleteAnswer, SendHistory, TargetAnswer};
use super::{LAST_EVENT_ID, MAX_BUFFERED_ANSWER_BYTES, ProxyHandler};
use crate::connection_pool::{OpenAnswer, SendFailure, TargetBody};
use crate::dispatcher::TargetSlot;
use crate::headers::SendMetadata;
use crate::reply::strip_hop_headers;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Request, StatusCode};
use porthoist_core::{RetryReason, RunVerdict, UnixMillis};
use porthoist_http::{PieceCollector, PiecedBody, has_foreign_coding};
use porthoist_policy::proxy::backpressure::SignalValue;
use porthoist_policy::proxy::balancer::SendOutcome;
use slog::info;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of the body of a rejection whose connection is used again, in bytes.
const MAX_REJECTION_BYTES: usize = 64 * 1024;
/// Time in milliseconds within which such a body must be complete.
const REJECTION_MILLIS: u64 = 50;

impl ProxyHandler {
    /// Records an attempt and returns its request.
    pub(super) fn begin_send(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        after_event: Option<u64>,
        history: &mut SendHistory,
        sent_at: UnixMillis,
    ) -> Request<PiecedBody> {
        if history.tried.is_empty() {
            self.with_retry_share(&admitted.service, |share| share.record_first_send(sent_at));
        }
        if let Some(failure) = history.unsent_move.take() {
            self.record_retry(admitted, &failure);
        }
        history.tried.push(slot.target.id.clone());
        admitted.progress.begin_send(&slot.target.id);
        self.build_request(admitted, slot, after_event, sent_at)
    }

    /// Sends a request once and classifies the response.
    pub(super) async fn send(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        request: Request<PiecedBody>,
        sent_at: UnixMillis,
    ) -> Result<TargetAnswer, SendFailure> {
        let open = self.pool.send(&slot.target, request, admitted.runs_once(), admitted.deadline).await;
        let answer = match open {
            Ok(open) => self.read_answer(admitted, slot, open, sent_at).await,
            Err(failure) => Err(failure),
        };
        let millis = self.clock.now().since(sent_at) as f64;
        if matches!(&answer, Ok(TargetAnswer::Complete(answer)) if answer.end == AnswerEnd::Proven) {
            self.quarantine.record_answer(admitted);
        }
        match &answer {
            Ok(TargetAnswer::Complete(answer)) if answer.status.is_server_error() => {
                slot.set_outcome(SendOutcome::Failed);
            }
            Ok(TargetAnswer::Complete(_answer)) => {
                self.dispatcher.first_event_received(&slot.target, millis);
                slot.set_outcome(SendOutcome::Answered(millis));
            }
            Ok(TargetAnswer::Stream(_answer)) => slot.set_outcome(SendOutcome::Answered(millis)),
            Err(failure) => {
                if failure.verdict == RunVerdict::NotRun {
                    admitted.progress.record_not_run();
                }
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
                    "request" => &*admitted.metadata.attempt, "target" => slot.target.id.to_string(),
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
    ) -> Request<PiecedBody> {
        let mut request = Request::new(admitted.body.clone());
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
        let metadata = SendMetadata {
            target: &slot.target.id,
            team: admitted.grant.as_ref().map(|grant| &grant.team),
            remaining_millis: admitted.deadline.0.since(now),
            priority: admitted.priority().min(9),
        };
        self.codec.write_send_headers(&mut headers, &metadata);
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
        let metadata = self.codec.parse_answer(&admitted.metadata.attempt, status, &answer.head.headers);
        if metadata.matches_attempt == Some(false) {
            return Err(SendFailure::lost("response names another request"));
        }
        if !metadata.misdirected {
            self.apply_signals(&slot.target, &metadata.signals, sent);
        }
        if metadata.not_executed {
            let detail = read_rejection(answer).await;
            let reason = match (metadata.misdirected, metadata.signals.rest_millis) {
                (true, _) => RetryReason::Misdirected,
                (false, SignalValue::Present(_millis)) => RetryReason::Resting,
                (false, SignalValue::Absent | SignalValue::Unreadable) => RetryReason::Refused,
            };
            return Err(SendFailure { verdict: RunVerdict::NotRun, reason, detail, closed: false });
        }
        check_head(&answer)?;
        if status.is_success() && !(metadata.signed && metadata.matches_attempt == Some(true)) {
            return Err(SendFailure::lost("success without a signature or the request's identifier"));
        }
        if status.is_success() && admitted.rule.kind.streams() {
            return Ok(TargetAnswer::Stream(answer));
        }
        let claims_not_run = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT
        );
        if claims_not_run {
            // Callers treat these statuses as a statement that the request did not run, which the target
            // has not made.
            return Err(SendFailure::lost(format!("status {} without proof", status.as_u16())));
        }
        let unframed = answer.ends_with_connection();
        let mut answer = self.read_complete(admitted, slot, answer).await?;
        if unframed {
            answer.end = self.check_unframed_end(&slot.target).await?;
        }
        Ok(TargetAnswer::Complete(answer))
    }

    async fn read_complete(
        &self,
        admitted: &AdmittedRequest,
        slot: &TargetSlot,
        answer: OpenAnswer,
    ) -> Result<CompleteAnswer, SendFailure> {
        let OpenAnswer { head, body, lease } = answer;
        let remaining = admitted.deadline.remaining(self.clock.now());
        let collected = tokio::time::timeout(remaining, self.collect(body)).await;
        let body = collected.map_err(|_elapsed| SendFailure::lost("response not complete in time"))??;
        lease.release(&head.headers);
        Ok(CompleteAnswer {
            target: Arc::clone(&slot.target),
            assigned: slot.assigned,
            status: head.status,
            headers: head.headers,
            body,
            end: AnswerEnd::Proven,
        })
    }

    /// Collects a body, whose bytes are held until the caller's connection has taken them.
    async fn collect(&self, body: TargetBody) -> Result<PiecedBody, SendFailure> {
        let mut body = body;
        let announced = body.size();
        if announced.is_some_and(|announced| announced > MAX_BUFFERED_ANSWER_BYTES as u64) {
            return Err(too_long());
        }
        let mut collector = PieceCollector::new(self.budget.guard(), announced);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if collector.len() + data.len() > MAX_BUFFERED_ANSWER_BYTES {
                return Err(too_long());
            }
            collector.push_when_free(&data).await.map_err(SendFailure::lost)?;
        }
        Ok(collector.finish())
    }
}

/// Checks that a head announces the content of a response.
fn check_head(answer: &OpenAnswer) -> Result<(), SendFailure> {
    // No request asks for another protocol.
    if answer.head.status.is_informational() {
        return Err(SendFailure::lost("a response that is not final"));
    }
    if has_foreign_coding(&answer.head.headers) {
        return Err(SendFailure::lost("a transfer coding that was not asked for"));
    }
    Ok(())
}

/// A target whose answer is too long is running.
fn too_long() -> SendFailure {
    SendFailure::lost(format!("the body is longer than {MAX_BUFFERED_ANSWER_BYTES} bytes"))
}

/// Reads the body of a rejection, so that its connection can be used again; its head says everything. Returns a
/// description.
async fn read_rejection(answer: OpenAnswer) -> String {
    let OpenAnswer { head, mut body, lease } = answer;
    let reading = async {
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            bytes += frame.ok()?.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_REJECTION_BYTES {
                return None;
            }
        }
        Some(())
    };
    let read = tokio::time::timeout(Duration::from_millis(REJECTION_MILLIS), reading).await;
    if matches!(read, Ok(Some(()))) {
        lease.release(&head.headers);
    }
    format!("status {}", head.status)
}
