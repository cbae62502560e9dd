//! Reads request bodies, whose bytes are held until the request ends.

use super::ProxyHandler;
use super::types::ProxyRefusal;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use porthoist_core::{RefusalReason, UnixDeadline};
use porthoist_http::{BodyError, read_body};
use slog::info;

/// Retry delay for callers that are refused because too many bytes are held, in milliseconds. Most callers
/// retry at another entry, which may have room at once; requests that hold bytes here end within seconds.
const MEMORY_RETRY_MILLIS: u64 = 500;

/// Error of reading a body.
enum HeldBodyError {
    Body(BodyError),
    /// Holds the rest of the body, which has not been read.
    MemoryLimit(Incoming),
}

impl From<BodyError> for HeldBodyError {
    fn from(error: BodyError) -> Self {
        Self::Body(error)
    }
}

fn memory_refusal() -> ProxyRefusal {
    ProxyRefusal::retryable(RefusalReason::MemoryLimit, MEMORY_RETRY_MILLIS)
}

impl ProxyHandler {
    /// Refuses a request whose announced body does not fit the bytes that may be held. A body without a
    /// length counts as it arrives.
    pub(super) fn check_memory(
        &self,
        body: Incoming,
        deadline: UnixDeadline,
    ) -> Result<Incoming, ProxyRefusal> {
        if self.budget.fits_request(body.size_hint().lower()) {
            return Ok(body);
        }
        self.discard(body, deadline);
        Err(memory_refusal())
    }

    pub(super) async fn read_body(
        &self,
        body: Incoming,
        body_bytes: usize,
        deadline: UnixDeadline,
    ) -> Result<Bytes, ProxyRefusal> {
        let reading = self.read_held(body, body_bytes);
        let Ok(read) = tokio::time::timeout(self.remaining_time(deadline), reading).await else {
            let denied = ProxyRefusal::denied(RefusalReason::DeadlinePassed);
            return Err(ProxyRefusal { status: StatusCode::REQUEST_TIMEOUT, ..denied });
        };
        match read {
            Ok(body) => Ok(body),
            Err(HeldBodyError::MemoryLimit(rest)) => {
                self.discard(rest, deadline);
                Err(memory_refusal())
            }
            Err(HeldBodyError::Body(BodyError::TooLong(_limit))) => {
                Err(ProxyRefusal::denied(RefusalReason::BodyTooLong))
            }
            Err(HeldBodyError::Body(error)) => {
                info!(self.logger, "unreadable body"; "event" => "malformed", "error" => error.to_string());
                Err(ProxyRefusal::denied(RefusalReason::Malformed))
            }
        }
    }

    async fn read_held(&self, body: Incoming, limit: usize) -> Result<Bytes, HeldBodyError> {
        if !self.budget.bounded() {
            return Ok(read_body(body, limit).await?);
        }
        let (mut body, mut collected, mut held) = (body, BytesMut::new(), self.budget.guard());
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyError::from)?.into_data() else { continue };
            if collected.len() + data.len() > limit {
                drop((collected, held));
                // The rest is read, so that the caller receives the refusal.
                read_body(body, 0).await?;
                return Err(BodyError::TooLong(limit).into());
            }
            if held.try_grow(data.len()).is_err() {
                return Err(HeldBodyError::MemoryLimit(body));
            }
            collected.extend_from_slice(&data);
        }
        Ok(held.attach(collected.freeze()))
    }

    /// Reads and discards the rest of a body while the refusal is sent: a server that closes a connection
    /// with unread bytes resets it, and the caller may never see the refusal.
    fn discard(&self, body: Incoming, deadline: UnixDeadline) {
        let remaining = self.remaining_time(deadline);
        tokio::task::spawn_local(async move {
            // An error means that the caller has left.
            drop(tokio::time::timeout(remaining, read_body(body, 0)).await);
        });
    }
}
