//! Parsing and validation of callers' requests. An invalid request is refused with the verdict "not run".

use crate::ports::{CallerRefusal, ConfigPort};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use porthoist_core::secret::matches_sha256_hex;
use porthoist_core::{
    RefusalReason, RepeatPolicy, RequestPriority, ServiceKind, ServiceName, TeamName, TicketText,
    UnixDeadline, UnixMillis,
};
use porthoist_policy::router::BLOCK_TOKENS;
use serde::Deserialize;
use serde_json::Value;
use std::str::FromStr;
use std::sync::Arc;

/// Longest `Idempotency-Key`, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// Largest number of prefix blocks that are hashed for a prompt.
pub const MAX_PREFIX_BLOCKS: usize = 64;
/// Estimated bytes of text per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Longest time until a deadline, in milliseconds; later deadlines are shortened.
pub const MAX_DEADLINE_MILLIS: u64 = 10 * 60 * 1000;

/// The caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerKey {
    /// A ticket that a target minted.
    Ticket(TicketText),
    /// A key of the caller's own.
    Own(String),
}

/// A valid request, ready to be offered.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The team that sent the request.
    pub team: TeamName,
    /// The requested service.
    pub service: ServiceName,
    /// The kind of the service.
    pub kind: ServiceKind,
    /// HTTP method.
    pub method: String,
    /// Path and query at the back end.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: UnixDeadline,
    /// Priority in the target's queue.
    pub priority: RequestPriority,
    /// Whether the request may be run again.
    pub repeat: RepeatPolicy,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The last event that the caller already received, for a resumed stream.
    pub resume_after: Option<u64>,
    /// The idempotency key.
    pub key: Option<CallerKey>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefix blocks.
    pub prefix_blocks: Arc<[u64]>,
}

/// Defaults for values that a request does not specify.
#[derive(Debug, Clone, Copy)]
pub struct RequestDefaults {
    /// Default deadline, in milliseconds from the arrival of the request.
    pub deadline_millis: u64,
}

fn malformed(detail: impl Into<String>) -> CallerRefusal {
    CallerRefusal::not_run(RefusalReason::Malformed, detail)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerRefusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_text| malformed(format!("header {name} is not text")))
}

fn header_value<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, CallerRefusal>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    text.trim().parse().map(Some).map_err(|error: T::Err| malformed(format!("header {name}: {error}")))
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    stream: bool,
}

/// What a request's path and body address.
struct AddressedService {
    service: ServiceName,
    path: String,
    stream: bool,
    prompt: Vec<u8>,
    kind: ServiceKind,
}

fn addressed_service(parts: &Parts, body: &Bytes) -> Result<AddressedService, CallerRefusal> {
    let path = parts.uri.path();
    match path {
        "/v1/completions" | "/v1/chat/completions" => completion_service(path, parts, body),
        _ => plain_service(path, parts),
    }
}

fn completion_service(path: &str, parts: &Parts, body: &Bytes) -> Result<AddressedService, CallerRefusal> {
    if parts.method != hyper::Method::POST {
        return Err(malformed("completions are asked for by POST"));
    }
    let parsed: CompletionBody = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("the body is not a completion request: {error}")))?;
    let service = parsed.model.parse().map_err(|error| malformed(format!("field model: {error}")))?;
    let mut prompt = parsed.prompt.into_bytes();
    for message in &parsed.messages {
        prompt.extend_from_slice(message.to_string().as_bytes());
    }
    Ok(AddressedService {
        service,
        path: path.to_owned(),
        stream: parsed.stream,
        prompt,
        kind: ServiceKind::Model,
    })
}

fn plain_service(path: &str, parts: &Parts) -> Result<AddressedService, CallerRefusal> {
    let unknown = || CallerRefusal::not_run(RefusalReason::UnknownService, format!("no such path: {path}"));
    let rest = path.strip_prefix("/services/").ok_or_else(unknown)?;
    let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let service = name.parse().map_err(|error| malformed(format!("service in the path: {error}")))?;
    let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let path = format!("/{tail}{query}");
    Ok(AddressedService { service, path, stream: false, prompt: Vec::new(), kind: ServiceKind::Plain })
}

/// Headers that concern only this system or the caller's connection, and are not passed on.
const UNFORWARDED_HEADERS: [&str; 11] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "last-event-id",
    "te",
    "transfer-encoding",
    "upgrade",
];

fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    let unforwarded = |name: &str| UNFORWARDED_HEADERS.contains(&name) || name.starts_with("porthoist-");
    let mut forwarded = Vec::new();
    for (name, value) in headers {
        if unforwarded(name.as_str()) {
            continue;
        }
        if let Ok(text) = value.to_str() {
            forwarded.push((name.as_str().to_owned(), text.to_owned()));
        }
    }
    forwarded
}

/// Returns the hashes of a prompt's prefixes. Each covers all blocks up to its own.
pub fn prefix_blocks(prompt: &[u8]) -> Arc<[u64]> {
    let block = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut hash = 0;
    let chained = prompt.chunks_exact(block).take(MAX_PREFIX_BLOCKS).map(|bytes| {
        hash = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, hash);
        hash
    });
    chained.collect()
}

fn caller_key(headers: &HeaderMap) -> Result<Option<CallerKey>, CallerRefusal> {
    let Some(text) = header_text(headers, "idempotency-key")? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(malformed(format!("header idempotency-key: expected 1 to {MAX_KEY_BYTES} bytes")));
    }
    match text.parse() {
        Ok(ticket) => Ok(Some(CallerKey::Ticket(ticket))),
        Err(error) if text.starts_with("pt1:") => Err(malformed(format!("header idempotency-key: {error}"))),
        Err(_own) => Ok(Some(CallerKey::Own(text.to_owned()))),
    }
}

fn request_repeat_policy(
    parts: &Parts,
    kind: ServiceKind,
    row: Option<RepeatPolicy>,
) -> Result<RepeatPolicy, CallerRefusal> {
    if let Some(named) = header_value(&parts.headers, "porthoist-repeat")? {
        return Ok(named);
    }
    if let Some(configured) = row {
        return Ok(configured);
    }
    let idempotent = kind == ServiceKind::Model || parts.method.is_idempotent();
    Ok(if idempotent { RepeatPolicy::Safe } else { RepeatPolicy::Never })
}

/// Returns when the answer to a request is due.
pub fn request_deadline(
    headers: &HeaderMap,
    now: UnixMillis,
    defaults: RequestDefaults,
) -> Result<UnixDeadline, CallerRefusal> {
    let named = header_value::<UnixDeadline>(headers, "porthoist-deadline")?;
    let deadline = named.unwrap_or(UnixDeadline::after(now, defaults.deadline_millis));
    if deadline.passed(now) {
        let detail = "header porthoist-deadline lies in the past";
        return Err(CallerRefusal::not_run(RefusalReason::DeadlinePassed, detail));
    }
    Ok(deadline.min(UnixDeadline::after(now, MAX_DEADLINE_MILLIS)))
}

/// Checks the team and its token. An error does not reveal which of the two was wrong.
pub fn authorized_team(
    headers: &HeaderMap,
    config: &dyn ConfigPort,
) -> Result<(TeamName, RequestPriority), CallerRefusal> {
    let refused = || CallerRefusal::not_run(RefusalReason::Unauthorized, "team unknown or token wrong");
    let team: TeamName = header_value(headers, "porthoist-team")?.ok_or_else(refused)?;
    let row = config.team(&team).ok_or_else(refused)?;
    let bearer = header_text(headers, "authorization")?.and_then(|text| text.strip_prefix("Bearer "));
    let allowed = row.token.is_empty() || matches_sha256_hex(bearer.unwrap_or("").as_bytes(), &row.token);
    if allowed { Ok((team, row.priority)) } else { Err(refused()) }
}

/// Parses and validates a request with its complete body.
pub fn read_request(
    parts: &Parts,
    body: Bytes,
    now: UnixMillis,
    config: &dyn ConfigPort,
    defaults: RequestDefaults,
) -> Result<CallerRequest, CallerRefusal> {
    let (team, row_priority) = authorized_team(&parts.headers, config)?;
    let deadline = request_deadline(&parts.headers, now, defaults)?;
    let AddressedService { service, path, stream, prompt, kind } = addressed_service(parts, &body)?;
    let row = config.service(&service).filter(|row| row.mode == kind).ok_or_else(|| {
        CallerRefusal::not_run(RefusalReason::UnknownService, format!("no {kind} service named {service}"))
    })?;
    Ok(CallerRequest {
        team,
        service,
        kind,
        method: parts.method.as_str().to_owned(),
        path,
        headers: forwarded_headers(&parts.headers),
        deadline,
        priority: header_value(&parts.headers, "porthoist-priority")?.unwrap_or(row_priority),
        repeat: request_repeat_policy(parts, kind, row.repeat)?,
        stream,
        resume_after: header_value(&parts.headers, "last-event-id")?,
        key: caller_key(&parts.headers)?,
        prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN) as u32,
        prefix_blocks: prefix_blocks(&prompt),
        body,
    })
}
