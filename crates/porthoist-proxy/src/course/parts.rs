//! What the parts of a course hand to each other.

use super::host_of;
use crate::exchange::{OpenAnswer, SendFailure};
use crate::quarantine::{MarkedRequest, SuspectRun};
use crate::wire::RequestFacts;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use porthoist_core::{
    MarkedHead, RefusalReason, RequestMark, RetryReason, RunVerdict, ServiceName, TargetName, UnixDeadline,
    UnixMillis,
};
use porthoist_policy::proxy::balancer::RequestWork;
use porthoist_policy::proxy::routes::{RouteRule, TeamGrant};
use std::cell::OnceCell;
use std::sync::Arc;

/// Sends that don't count against the route's attempts, at most.
const MAX_RESTED: u32 = 3;

/// A request that is allowed, with its body read.
pub(super) struct AdmittedRequest {
    pub(super) facts: RequestFacts,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) rule: Arc<RouteRule>,
    pub(super) grant: Option<TeamGrant>,
    pub(super) service: ServiceName,
    pub(super) ranked: bool,
    pub(super) arrival: UnixMillis,
    pub(super) deadline: UnixDeadline,
    /// Whether its caller was refused before.
    pub(super) came_back: bool,
    /// Its mark, once it was needed.
    pub(super) marked: OnceCell<RequestMark>,
}

impl AdmittedRequest {
    pub(super) fn priority(&self) -> u8 {
        self.grant.as_ref().and_then(|grant| grant.priority).unwrap_or(self.rule.priority)
    }

    pub(super) fn work(&self) -> RequestWork {
        RequestWork { prompt_tokens: self.facts.prompt_tokens }
    }

    pub(super) fn once(&self) -> bool {
        !self.rule.kind.repeatable()
    }
}

impl AdmittedRequest {
    fn marked_head(&self) -> MarkedHead<'_> {
        MarkedHead {
            host: host_of(&self.head),
            path: self.head.uri.path_and_query().map_or("/", PathAndQuery::as_str),
            team: self.grant.as_ref().map(|grant| grant.team.as_str()),
            body_bytes: self.body.len(),
        }
    }
}

impl MarkedRequest for AdmittedRequest {
    fn head_digest(&self) -> u64 {
        self.marked.get().map_or_else(|| self.marked_head().digest(), |mark| mark.head)
    }

    fn mark(&self) -> RequestMark {
        *self.marked.get_or_init(|| self.marked_head().mark(&self.body))
    }

    fn body_bytes(&self) -> usize {
        self.body.len()
    }

    fn attempt(&self) -> &str {
        &self.facts.attempt
    }

    fn ranked(&self) -> bool {
        self.ranked
    }
}

/// An end without a target's answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct CourseRefusal {
    pub(super) reason: RefusalReason,
    pub(super) status: StatusCode,
    pub(super) verdict: RunVerdict,
    pub(super) retry_millis: Option<u64>,
}

impl CourseRefusal {
    /// A refusal of a request that the caller must change.
    pub(super) fn denied(reason: RefusalReason) -> Self {
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_REQUEST);
        Self { reason, status, verdict: RunVerdict::NotRun, retry_millis: None }
    }

    /// A refusal of a request that did not run and may come back.
    pub(super) fn later(reason: RefusalReason, retry_millis: u64) -> Self {
        Self {
            reason,
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: RunVerdict::NotRun,
            retry_millis: Some(retry_millis),
        }
    }

    /// The end of a request that may have run.
    pub(super) fn unknown(reason: RefusalReason, status: StatusCode) -> Self {
        Self { reason, status, verdict: RunVerdict::MayHaveRun, retry_millis: None }
    }
}

/// An answer of a target that was read to its end.
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A target's answer to one send.
pub(super) enum TargetAnswer {
    Whole(WholeAnswer),
    Events(OpenAnswer),
}

/// Sends of one request so far.
#[derive(Debug, Default)]
pub(super) struct SendRecord {
    pub(super) tried: Vec<TargetName>,
    pub(super) may_have_run: bool,
    /// Sends that targets turned away which asked for rest.
    rested: u32,
    pub(super) last_reason: Option<RetryReason>,
    /// The run of a suspected request.
    pub(super) suspect: Option<SuspectRun>,
}

impl SendRecord {
    pub(super) fn failed(&mut self, failure: &SendFailure) {
        self.may_have_run |= failure.verdict != RunVerdict::NotRun;
        self.last_reason = Some(failure.reason);
        self.rested += u32::from(failure.reason == RetryReason::Resting);
    }

    /// Sends that count against the route's attempts. Targets that begin to rest together would otherwise use up the attempts of
    /// callers whom others have room for.
    pub(super) fn attempts(&self) -> u32 {
        self.tried.len() as u32 - self.rested.min(MAX_RESTED)
    }
}
