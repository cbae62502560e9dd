//! Reads request bodies, whose bytes are held until the request ends.

use super::ProxyHandler;
use super::draining::shutdown_refusal;
use super::types::ProxyRefusal;
use hyper::StatusCode;
use hyper::body::Incoming;
use porthoist_core::{RefusalReason, UnixDeadline};
use porthoist_http::{IntakeError, PiecedBody};
use slog::info;

/// Retry delay for callers that are refused because too many bytes are held, in milliseconds. Most callers
/// retry at another entry, which may have room at once; requests that hold bytes here end within seconds.
const MEMORY_RETRY_MILLIS: u64 = 500;

impl ProxyHandler {
    pub(super) async fn read_body(
        &self,
        body: Incoming,
        body_bytes: usize,
        deadline: UnixDeadline,
    ) -> Result<PiecedBody, ProxyRefusal> {
        self.intake.read(body, body_bytes, deadline).await.map_err(|error| self.body_refusal(&error))
    }

    fn body_refusal(&self, error: &IntakeError) -> ProxyRefusal {
        let timed_out = |refusal| ProxyRefusal { status: StatusCode::REQUEST_TIMEOUT, ..refusal };
        match error {
            IntakeError::TooLong(_limit) => ProxyRefusal::denied(RefusalReason::BodyTooLong),
            IntakeError::Late => timed_out(ProxyRefusal::denied(RefusalReason::DeadlinePassed)),
            IntakeError::NoRoom => ProxyRefusal::retryable(RefusalReason::MemoryLimit, MEMORY_RETRY_MILLIS),
            IntakeError::Stalled => {
                timed_out(ProxyRefusal::retryable(RefusalReason::BodyStalled, MEMORY_RETRY_MILLIS))
            }
            IntakeError::Closed => shutdown_refusal(false),
            IntakeError::Broken(error) => {
                info!(self.logger, "unreadable body"; "event" => "malformed", "error" => error.to_string());
                ProxyRefusal::denied(RefusalReason::Malformed)
            }
        }
    }
}
