//! Reasons for refusals and retries; each is a metric label.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Error of parsing a reason.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a known reason")]
pub struct ReasonError(String);

macro_rules! reason_type {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// Every reason, in declaration order.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the reason as a metric label.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = ReasonError;

            fn from_str(text: &str) -> Result<Self, ReasonError> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    other => Err(ReasonError(other.chars().take(64).collect())),
                }
            }
        }
    };
}

reason_type!(
    /// Why a request was refused.
    RefusalReason {
        /// The request could not be read.
        Malformed = "malformed",
        /// The headers exceed the size limit.
        HeaderTooLong = "header_too_long",
        /// The body exceeds the size limit.
        BodyTooLong = "body_too_long",
        /// The team is unknown or its token is wrong.
        Unauthorized = "unauthorized",
        /// The service is not configured.
        UnknownService = "unknown_service",
        /// The process holds as many bytes for callers as it may.
        MemoryLimit = "memory_limit",
        /// The body made no progress while room for other requests was short.
        BodyStalled = "body_stalled",
        /// The deadline passed before the answer was complete.
        DeadlinePassed = "deadline_passed",
        /// The first token is predicted to come after the deadline.
        DeadlineUnreachable = "deadline_unreachable",
        /// The team's rate limit is reached.
        RateLimit = "rate_limit",
        /// The team's concurrency limit is reached.
        ConcurrencyLimit = "concurrency_limit",
        /// A bounded ring or queue was full.
        Overloaded = "overloaded",
        /// All targets reported limits that leave no free slot in time.
        TargetLimits = "target_limits",
        /// All targets are cold and can take no more requests in time.
        TargetsCold = "targets_cold",
        /// What is free of the service's capacity is needed for more urgent requests.
        PriorityCapacity = "priority_capacity",
        /// All targets have asked to receive no requests for a while.
        TargetsResting = "targets_resting",
        /// Operators have emptied the zones of all targets.
        ZonesEmptied = "zones_emptied",
        /// No target serves the service.
        NoTarget = "no_target",
        /// The target is draining.
        Draining = "draining",
        /// The process is shutting down.
        ShuttingDown = "shutting_down",
        /// No configuration is in force yet.
        NotReady = "not_ready",
        /// The target could not be reached; nothing was sent.
        Unreachable = "unreachable",
        /// The connection to the target broke after the request was sent.
        ConnectionLost = "connection_lost",
        /// The target's engine or service failed.
        BackendFailed = "backend_failed",
        /// The ticket was minted by another incarnation.
        TicketForeign = "ticket_foreign",
        /// The ticket was refused before and can't be used again.
        TicketSpent = "ticket_spent",
        /// The ticket is forged, or was given to another team.
        TicketInvalid = "ticket_invalid",
        /// The key was used with a different request.
        KeyMismatch = "key_mismatch",
        /// The key was closed without running the request.
        KeyClosed = "key_closed",
        /// The stored answer is no longer available.
        AnswerGone = "answer_gone",
        /// The table service could not be reached to claim the key.
        ClaimUnavailable = "claim_unavailable",
        /// The answer's frame count or digest was wrong.
        AnswerCorrupt = "answer_corrupt",
        /// The retry budget is exhausted.
        RetryBudget = "retry_budget",
        /// Several targets crashed while running the same request.
        Quarantined = "quarantined",
    }
);

reason_type!(
    /// Why a request was sent again.
    RetryReason {
        /// The target refused; the request did not run.
        Refused = "refused",
        /// The target asked to receive no requests for a while; the request did not run.
        Resting = "resting",
        /// Another target now uses the address; the request did not run.
        Misdirected = "misdirected",
        /// The target could not be reached; nothing was sent.
        Unreachable = "unreachable",
        /// The connection broke; the request may be repeated.
        ConnectionLost = "connection_lost",
        /// The engine failed; the request may be repeated.
        BackendFailed = "backend_failed",
        /// The target or its group stalled or was too slow; the request was moved to another target.
        Moved = "moved",
        /// A stream broke and is resumed after its last event.
        StreamResumed = "stream_resumed",
        /// The same ticket is offered again to fetch its stored answer.
        TicketReplay = "ticket_replay",
        /// A second attempt runs in parallel to a slow first one.
        Hedge = "hedge",
    }
);

impl RefusalReason {
    /// Returns the HTTP status for the reason.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthorized => 401,
            Self::UnknownService => 404,
            Self::KeyMismatch | Self::TicketInvalid => 422,
            Self::HeaderTooLong => 431,
            Self::BodyTooLong => 413,
            Self::BodyStalled => 408,
            Self::RateLimit | Self::ConcurrencyLimit => 429,
            Self::ConnectionLost | Self::BackendFailed | Self::AnswerCorrupt => 502,
            Self::DeadlinePassed | Self::DeadlineUnreachable => 504,
            Self::TicketForeign | Self::TicketSpent | Self::KeyClosed | Self::AnswerGone => 409,
            Self::Overloaded
            | Self::TargetLimits
            | Self::PriorityCapacity
            | Self::TargetsResting
            | Self::TargetsCold
            | Self::ZonesEmptied
            | Self::NoTarget
            | Self::Draining
            | Self::ShuttingDown
            | Self::NotReady
            | Self::Unreachable
            | Self::ClaimUnavailable
            | Self::RetryBudget
            | Self::Quarantined
            | Self::MemoryLimit => 503,
        }
    }

    /// Whether another target could accept a request that was refused for this reason.
    pub fn another_target_may_accept(self) -> bool {
        matches!(
            self,
            Self::DeadlineUnreachable
                | Self::Overloaded
                | Self::TargetLimits
                | Self::PriorityCapacity
                | Self::TargetsResting
                | Self::TargetsCold
                | Self::ZonesEmptied
                | Self::NoTarget
                | Self::Draining
                | Self::ShuttingDown
                | Self::NotReady
                | Self::Unreachable
                | Self::ConnectionLost
                | Self::BackendFailed
                | Self::AnswerCorrupt
        )
    }
}
