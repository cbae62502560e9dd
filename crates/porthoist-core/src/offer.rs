//! What an entry offers to a target, and what the target answers.

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
    /// Idempotent: a second run does no harm.
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

/// Order in a target's queue: 0 is the least urgent, 9 the most.
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
    /// Who pays.
    pub team: TeamName,
    /// The service that runs it.
    pub service: ServiceName,
    /// Model engine or plain service.
    pub kind: ServiceKind,
    /// HTTP method.
    pub method: String,
    /// Path and query at the back end.
    pub path: String,
    /// Headers to pass on, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, whole.
    pub body: Bytes,
    /// When the answer is due.
    pub deadline: UnixDeadline,
    /// Order in the target's queue.
    pub priority: RequestPriority,
    /// Whether it may be run again.
    pub repeat: RepeatPolicy,
    /// Permission to run once, minted by the target.
    pub ticket: Option<TicketText>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The last event that the caller already has, for a resumed stream.
    pub resume_after: Option<u64>,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefix blocks, longest prefix last.
    pub prefix_blocks: Vec<u64>,
}

impl RequestOffer {
    /// Fingerprint of everything that a repeat under the same key must share.
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

/// Load as a target states it; it travels on every answer and refusal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Prompt tokens that wait to be computed.
    pub queued_tokens: u64,
    /// Duration of one decoding step in microseconds; a straggling rank raises it for its whole group.
    pub step_micros: u32,
    /// Mean time between two slots coming free, in microseconds, while all are taken.
    pub slot_micros: u32,
    /// Prompt tokens computed a second.
    pub prefill_rate: u32,
    /// When the load was read.
    pub at: UnixMillis,
    /// Whether the target is leaving.
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
    /// The attempt that it belongs to.
    pub attempt: AttemptId,
    /// Position in the attempt's stream, from 0.
    pub sequence: u64,
    /// The engine's event identifier: position in the whole answer, from 1.
    pub event: u64,
    /// The event's data.
    pub data: Bytes,
}

/// How an offer ended.
#[derive(Debug, Clone, PartialEq)]
pub enum OfferOutcome {
    /// The target refused it.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        verdict: RunVerdict,
        /// When another try makes sense.
        retry_at: Option<UnixMillis>,
    },
    /// A whole answer.
    Whole {
        /// Status and headers.
        head: AnswerHead,
        /// The body.
        body: Bytes,
        /// Digest of the body.
        digest: u64,
    },
    /// The stream's end, after all its frames.
    StreamEnd {
        /// Frames sent in this attempt.
        frames: u64,
        /// Digest over the data of those frames.
        digest: u64,
    },
}

/// What a target tells a peer that connects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetHello {
    /// The life of the process.
    pub incarnation: IncarnationId,
    /// Services that it runs.
    pub services: Vec<ServiceName>,
    /// Its present load.
    pub load: LoadReport,
    /// The configuration revision in force there.
    pub revision: u64,
}

/// Digest of a byte sequence, given piece by piece.
#[derive(Default, Clone)]
pub struct AnswerDigest(Xxh3);

impl fmt::Debug for AnswerDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AnswerDigest({:016x})", self.0.digest())
    }
}

impl AnswerDigest {
    /// Adds a piece.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// The digest of all pieces so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }

    /// The digest of one piece.
    pub fn of(bytes: &[u8]) -> u64 {
        xxhash_rust::xxh3::xxh3_64(bytes)
    }
}
