//! What the headers of requests and answers say, apart from how they spell it.

use hyper::StatusCode;
use hyper::header::HeaderMap;
use porthoist_core::{TargetName, TeamName};
use porthoist_policy::proxy::backpressure::BackpressureSignals;
use std::fmt;
use std::sync::Arc;

/// What a caller's headers say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFacts {
    /// Identifier of this attempt of the caller, new for each; answers repeat it.
    pub attempt: Arc<str>,
    /// Milliseconds that the caller still waits.
    pub remaining_millis: Option<u64>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// Names the session or subject: the last shared part of the prompt.
    pub session: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer at most.
    pub output_tokens: u64,
}

/// Headers that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {problem}")]
pub struct FactsError {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// What a target is told beside the caller's own headers.
#[derive(Debug, Clone, Copy)]
pub struct SendFacts<'a> {
    /// The only target that may run the request.
    pub target: &'a TargetName,
    /// The caller's team.
    pub team: Option<&'a TeamName>,
    /// Milliseconds after which nobody waits for the answer any more.
    pub remaining_millis: u64,
    /// Rank of the request, 0 first.
    pub priority: u8,
}

/// What a target's headers and status say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerFacts {
    /// Whether the answer names the attempt that was sent; nothing if it names none.
    pub own: Option<bool>,
    /// Whether it bears the target's signature.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_executed: bool,
    /// Whether that is because another target has the address.
    pub misdirected: bool,
    /// What the target says of itself.
    pub word: BackpressureSignals,
}

/// Reads and writes the facts. One implementation knows one spelling.
pub trait WireCodec: fmt::Debug {
    /// Reads a caller's request.
    fn request_facts(&self, headers: &HeaderMap) -> Result<RequestFacts, FactsError>;
    /// Turns the caller's headers into those for a target: the key goes, the facts come.
    fn write_send(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);
    /// Reads a target's answer to the named attempt.
    fn answer_facts(&self, attempt: &str, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;
    /// Names the attempt in an answer of our own.
    fn write_own_answer(&self, attempt: &str, headers: &mut HeaderMap);
}
