//! Types shared by the stages of request handling.

use super::request_guard::RequestProgress;
use super::stream_reader::{StreamReader, StreamStep};
use super::{LAST_EVENT_ID, header_text, host_of};
use crate::connection_pool::{OpenAnswer, SendFailure};
use crate::headers::RequestMetadata;
use crate::quarantine::{MarkedRequest, SuspectRun};
use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use porthoist_core::{
    MarkedHead, PartMark, RefusalReason, RequestMark, RetryReason, RunVerdict, ServiceName, TargetName,
    UnixDeadline, UnixMillis,
};
use porthoist_http::PiecedBody;
use porthoist_policy::proxy::balancer::RequestWork;
use porthoist_policy::proxy::capacity::{GrantState, PriorityRank};
use porthoist_policy::proxy::demand::PriorityLevel;
use porthoist_policy::proxy::returns::RefusedCaller;
use porthoist_policy::proxy::routes::{RouteRule, TeamGrant};
use porthoist_policy::proxy::steady_pass::SteadyPass;
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord};
use porthoist_policy::proxy::wait_queue::QueueClass;
use std::cell::{OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of attempts per request that don't count against the route's limit because a target asked
/// for backoff.
const MAX_BACKOFF_REJECTIONS: u32 = 3;

/// An admitted request with its body.
pub(super) struct AdmittedRequest {
    pub(super) metadata: RequestMetadata,
    pub(super) head: Parts,
    pub(super) body: PiecedBody,
    pub(super) rule: Arc<RouteRule>,
    pub(super) grant: Option<TeamGrant>,
    pub(super) service: ServiceName,
    pub(super) ranked: bool,
    pub(super) arrival: UnixMillis,
    pub(super) progress: Rc<RequestProgress>,
    pub(super) deadline: UnixDeadline,
    /// Whether the caller was refused before and is retrying.
    pub(super) is_caller_retry: bool,
    /// Its priority level if the capacity of its service is divided among entries.
    pub(super) level: Option<PriorityLevel>,
    /// Digest of the request, computed on demand.
    pub(super) cached_mark: OnceCell<RequestMark>,
    /// Digests of the parts of its prompt that other requests may share.
    pub(super) parts: Box<[PartMark]>,
    /// Where it was sent last.
    pub(super) last_send: RefCell<Option<GroupSend>>,
}

/// A send to a target that may be a rank of a group.
#[derive(Debug, Clone)]
pub(super) struct GroupSend {
    pub(super) target: TargetLife,
    /// Pass time of the group when the request was sent, if one was known.
    pub(super) pass: Option<SteadyPass>,
}

pub(super) fn priority_rank(rule: &RouteRule, grant: Option<&TeamGrant>) -> PriorityRank {
    let team = grant.and_then(|grant| grant.priority).unwrap_or(rule.priority);
    PriorityRank { team, route: rule.priority }
}

impl AdmittedRequest {
    /// Its level among the priorities of a service whose capacity is divided, or else its own priority: that
    /// of its team, or of its route if the team has none.
    pub(super) fn priority(&self) -> u8 {
        self.level.map_or_else(|| self.rank().team, |level| level.0)
    }

    pub(super) fn rank(&self) -> PriorityRank {
        priority_rank(&self.rule, self.grant.as_ref())
    }

    /// Class of a request that is a resend or not.
    pub(super) fn queue_class(&self, is_resend: bool) -> QueueClass {
        match (is_resend, self.is_caller_retry) {
            (true, _) => QueueClass::Resent,
            (false, true) => QueueClass::CallerRetry,
            (false, false) => QueueClass::First,
        }
    }

    /// What is known about the caller if its request is refused.
    pub(super) fn refused_caller(&self) -> RefusedCaller {
        RefusedCaller { class: self.queue_class(false), deadline: self.deadline }
    }

    pub(super) fn work(&self) -> RequestWork {
        RequestWork {
            prompt_tokens: self.metadata.prompt_tokens,
            body_bytes: self.body.len() as u64,
            priority: PriorityLevel(self.priority()),
        }
    }

    /// Identifier of the last event that its caller has.
    pub(super) fn last_event_id(&self) -> Option<u64> {
        header_text(&self.head.headers, LAST_EVENT_ID)?.trim().parse().ok()
    }

    pub(super) fn runs_once(&self) -> bool {
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
        self.cached_mark.get().map_or_else(|| self.marked_head().digest(), |mark| mark.head)
    }

    fn mark(&self) -> RequestMark {
        *self.cached_mark.get_or_init(|| self.marked_head().mark_pieces(self.body.pieces()))
    }

    fn body_bytes(&self) -> usize {
        self.body.len()
    }

    fn parts(&self) -> &[PartMark] {
        &self.parts
    }

    fn attempt(&self) -> &str {
        &self.metadata.attempt
    }

    fn ranked(&self) -> bool {
        self.ranked
    }
}

/// A response of the proxy itself, without an answer from a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProxyRefusal {
    pub(super) reason: RefusalReason,
    pub(super) status: StatusCode,
    pub(super) verdict: RunVerdict,
    pub(super) retry_millis: Option<u64>,
    /// What this process might send, where the service's capacity is divided among entries.
    pub(super) grant: Option<GrantState>,
}

impl ProxyRefusal {
    /// Whether the request was refused before its body was complete. Its connection then can't carry another one.
    pub(super) fn leaves_body_unread(&self) -> bool {
        let is_body_refused = matches!(
            self.reason,
            RefusalReason::BodyTooLong | RefusalReason::MemoryLimit | RefusalReason::BodyStalled
        );
        is_body_refused || self.status == StatusCode::REQUEST_TIMEOUT
    }

    /// Refuses a request that fails unless the caller changes it.
    pub(super) fn denied(reason: RefusalReason) -> Self {
        let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_REQUEST);
        Self { reason, status, verdict: RunVerdict::NotRun, retry_millis: None, grant: None }
    }

    /// Refuses a request that did not run and may be retried.
    pub(super) fn retryable(reason: RefusalReason, retry_millis: u64) -> Self {
        Self {
            reason,
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: RunVerdict::NotRun,
            retry_millis: Some(retry_millis),
            grant: None,
        }
    }

    /// Ends a request that may have run.
    pub(super) fn unknown(reason: RefusalReason, status: StatusCode) -> Self {
        Self { reason, status, verdict: RunVerdict::MayHaveRun, retry_millis: None, grant: None }
    }
}

/// A complete response of a target.
pub(super) struct CompleteAnswer {
    pub(super) target: Arc<TargetRecord>,
    /// When the target got its slot.
    pub(super) assigned: UnixMillis,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: PiecedBody,
    pub(super) end: AnswerEnd,
}

/// How well the end of a complete response is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// By its framing, or because its target still runs.
    Proven,
    /// The connection ended, and it is not known whether the target still runs.
    Assumed,
}

/// A target's response to one attempt.
pub(super) enum TargetAnswer {
    Complete(CompleteAnswer),
    /// The head of an event stream.
    Stream(OpenAnswer),
}

/// A request that a target answered.
pub(super) enum SentRequest {
    Complete(CompleteAnswer),
    /// An event stream, whose target stays occupied, and its first step if that is known.
    Stream(Box<StreamReader>, Option<StreamStep>),
}

/// Attempts of one request so far.
#[derive(Debug, Default)]
pub(super) struct SendHistory {
    pub(super) tried: Vec<TargetName>,
    pub(super) may_have_run: bool,
    /// Attempts rejected by targets that asked for backoff.
    backoff_rejections: u32,
    pub(super) last_reason: Option<RetryReason>,
    /// The exclusive run of a suspected request.
    pub(super) suspect: Option<SuspectRun>,
    /// A move whose retry was taken from the budget, and for which nothing has been sent.
    pub(super) unsent_move: Option<SendFailure>,
}

impl SendHistory {
    pub(super) fn record_failure(&mut self, failure: &SendFailure) {
        self.may_have_run |= failure.verdict != RunVerdict::NotRun;
        self.last_reason = Some(failure.reason);
        self.backoff_rejections += u32::from(failure.reason == RetryReason::Resting);
    }

    /// Attempts that count against the route's limit. If several targets begin to back off at the same
    /// time, their rejections would otherwise use up the attempts although other targets have capacity.
    pub(super) fn attempts(&self) -> u32 {
        self.tried.len() as u32 - self.backoff_rejections.min(MAX_BACKOFF_REJECTIONS)
    }
}
