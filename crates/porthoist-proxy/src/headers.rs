//! Content of request and response headers, independent of the header format.

use hyper::StatusCode;
use hyper::header::HeaderMap;
use porthoist_core::{TargetName, TeamName};
use porthoist_policy::proxy::backpressure::BackpressureSignals;
use std::fmt;
use std::sync::Arc;

/// Content of a caller's headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of this attempt, unique per attempt. Responses repeat it.
    pub attempt: Arc<str>,
    /// Milliseconds for which the caller still waits.
    pub remaining_millis: Option<u64>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// Identifies the session or subject: a hash of the last part of the prompt.
    pub session: Option<u64>,
    /// Identifiers of the other parts of the prompt, each once.
    pub shared_parts: Box<[Box<str>]>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the response.
    pub output_tokens: u64,
}

/// Error returned when a header is unreadable.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {problem}")]
pub struct HeaderError {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// Headers that the proxy sends to a target in addition to the caller's.
#[derive(Debug, Clone, Copy)]
pub struct SendMetadata<'a> {
    /// The only target that may run the request.
    pub target: &'a TargetName,
    /// The caller's team.
    pub team: Option<&'a TeamName>,
    /// Milliseconds after which no caller waits for the response any more.
    pub remaining_millis: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
}

/// Content of a target's headers and status.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerMetadata {
    /// Whether the response names the attempt that was sent; `None` if it names no attempt.
    pub matches_attempt: Option<bool>,
    /// Whether the response has the target's signature.
    pub signed: bool,
    /// Whether the response states that the request did not run.
    pub not_executed: bool,
    /// Whether the request did not run because another target has the address.
    pub misdirected: bool,
    /// Backpressure signals of the target.
    pub signals: BackpressureSignals,
}

/// Parses and writes headers of one format.
pub trait HeaderCodec: fmt::Debug {
    /// Parses a caller's headers.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestMetadata, HeaderError>;
    /// Turns the caller's headers into those for a target: removes the key and adds the proxy's own
    /// headers.
    fn write_send_headers(&self, headers: &mut HeaderMap, metadata: &SendMetadata<'_>);
    /// Parses a target's response to the given attempt.
    fn parse_answer(&self, attempt: &str, status: StatusCode, headers: &HeaderMap) -> AnswerMetadata;
    /// Writes the attempt into a response of the proxy itself.
    fn write_attempt(&self, attempt: &str, headers: &mut HeaderMap);
}
