//! Requests that an entry offers to a target, and the target's answers.

use crate::deadline::{UnixDeadline, UnixMillis};
use crate::ids::{AttemptId, IncarnationId, ServiceName, TeamName};
use crate::reason::RefusalReason;
use crate::ticket::TicketText;
use crate::verdict::RunVerdict;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// Whether a request may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// Idempotent: a second run is harmless.
    Safe,
    /// Runs at most once.
    Never,
}

/// What kind of back end serves a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// Error of parsing one of this module's enums.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not known: expected {expected}")]
pub struct OfferParseError {
    text: String,
    expected: &'static str,
}

macro_rules! text_enum {
    ($name:ident, $expected:literal, $($variant:ident = $text:literal),*) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $text,)* })
            }
        }

        impl FromStr for $name {
            type Err = OfferParseError;

            fn from_str(text: &str) -> Result<Self, OfferParseError> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    other => Err(OfferParseError {
                        text: other.chars().take(64).collect(),
                        expected: $expected,
                    }),
                }
            }
        }
    };
}

text_enum!(RepeatPolicy, "safe or never", Safe = "safe", Never = "never");
text_enum!(ServiceKind, "model or plain", Model = "model", Plain = "plain");

/// Priority in a target's queue: 0 is the least urgent, 9 the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestPriority(pub u8);

impl RequestPriority {
    /// The most urgent priority.
    pub const MAX: Self = Self(9);
}

impl Default for RequestPriority {
    fn default() -> Self {
        Self(5)
    }
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestPriority {
    type Err = OfferParseError;

    fn from_str(text: &str) -> Result<Self, OfferParseError> {
        let error = || OfferParseError { text: text.chars().take(64).collect(), expected: "0 to 9" };
        let level = text.parse().map_err(|_parse| error())?;
        if level <= Self::MAX.0 { Ok(Self(level)) } else { Err(error()) }
    }
}

/// A request as an entry offers it to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestOffer {
    /// Identifies the attempt; every answer frame carries it.
    pub attempt: AttemptId,
    /// The team whose limits the request counts against.
    pub team: TeamName,
    /// The service that is requested.
    pub service: ServiceName,
    /// The kind of the service.
    pub kind: ServiceKind,
    /// HTTP method.
    pub method: String,
    /// Path and query at the back end.
    pub path: String,
    /// Headers to pass on, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: UnixDeadline,
    /// Priority in the target's queue.
    pub priority: RequestPriority,
    /// Whether the request may be run again.
    pub repeat: RepeatPolicy,
    /// Permission to run the request once, minted by the target.
    pub ticket: Option<TicketText>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The last event that the caller already received, for a resumed stream.
    pub resume_after: Option<u64>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefix blocks, the longest prefix last.
    pub prefix_blocks: Vec<u64>,
}

impl RequestOffer {
    /// Returns a fingerprint of everything that a repeated request under the same key must share.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for part in [self.team.as_str(), self.service.as_str(), &self.method, &self.path] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&self.body);
        hasher.digest()
    }
}

/// Load of a target, which it reports with every answer and refusal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Running requests.
    pub running: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Prompt tokens waiting to be processed.
    pub queued_tokens: u64,
    /// Duration of one decoding step in microseconds; a slow rank raises it for its whole group.
    pub step_micros: u32,
    /// Mean time between two slots becoming free, in microseconds, while all are taken.
    pub slot_micros: u32,
    /// Prompt tokens processed per second.
    pub prefill_rate: u32,
    /// When the load was measured.
    pub at: UnixMillis,
    /// Whether the target is draining.
    pub draining: bool,
}

/// The status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on, names in lower case.
    pub headers: Vec<(String, String)>,
}

/// One event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerFrame {
    /// The attempt that the frame belongs to.
    pub attempt: AttemptId,
    /// Position of the frame in the attempt's stream, from 0.
    pub sequence: u64,
    /// The engine's event identifier: the position in the whole answer, from 1.
    pub event: u64,
    /// The event's data.
    pub data: Bytes,
}

/// How an offer ended.
#[derive(Debug, Clone, PartialEq)]
pub enum OfferOutcome {
    /// The target refused the request.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// The earliest time at which a retry is useful.
        retry_at: Option<UnixMillis>,
    },
    /// A complete answer.
    Whole {
        /// Status and headers.
        head: AnswerHead,
        /// The body.
        body: Bytes,
        /// Digest of the body.
        digest: u64,
    },
    /// The end of a stream, after all its frames.
    StreamEnd {
        /// Frames sent in this attempt.
        frames: u64,
        /// Digest of the data of those frames.
        digest: u64,
    },
}

/// A target's introduction to a peer that connects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetHello {
    /// Identifies this run of the target's process.
    pub incarnation: IncarnationId,
    /// Services that the target runs.
    pub services: Vec<ServiceName>,
    /// Its current load.
    pub load: LoadReport,
    /// The configuration revision in force at the target.
    pub revision: u64,
}

/// Incremental digest of a byte sequence.
#[derive(Default, Clone)]
pub struct AnswerDigest(Xxh3);

impl fmt::Debug for AnswerDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AnswerDigest({:016x})", self.0.digest())
    }
}

impl AnswerDigest {
    /// Appends bytes to the sequence.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of all bytes so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }

    /// Returns the digest of `bytes` alone.
    pub fn of(bytes: &[u8]) -> u64 {
        xxhash_rust::xxh3::xxh3_64(bytes)
    }
}
