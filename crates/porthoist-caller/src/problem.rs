//! Refusals as RFC 9457 problem details.

use crate::ports::CallerRefusal;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use porthoist_core::UnixMillis;
use porthoist_http::{HttpResponse, full_body};
use serde::{Deserialize, Serialize};

/// Header that carries the verdict of a refusal.
pub const VERDICT_HEADER: HeaderName = HeaderName::from_static("porthoist-verdict");
/// Header that carries the request's identifier, for `porthoist explain`.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("porthoist-request");

/// The body of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemDetails {
    /// Identifies the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Explanation of the refusal.
    pub detail: String,
    /// The reason, as counted in metrics.
    pub reason: String,
    /// The verdict: not-run, may-have-run or ran.
    pub verdict: String,
    /// The request's identifier.
    pub request: String,
}

/// Creates the response for a refusal.
pub fn problem_response(now: UnixMillis, request: &str, refusal: &CallerRefusal) -> HttpResponse {
    let status = refusal.reason.status();
    let reason = refusal.reason.as_str();
    let details = ProblemDetails {
        kind: format!("urn:porthoist:refusal:{reason}"),
        title: reason.replace('_', " "),
        status,
        detail: refusal.detail.clone(),
        reason: reason.to_owned(),
        verdict: refusal.verdict.to_string(),
        request: request.to_owned(),
    };
    let bytes = serde_json::to_vec(&details).unwrap_or_default();
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/problem+json"));
    headers.insert(VERDICT_HEADER, HeaderValue::from_static(refusal.verdict.as_str()));
    if let Some(retry_at) = refusal.retry_at {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_at.since(now).div_ceil(1000)));
    }
    response
}
