//! Types shared by every porthoist package.
//!
//! They are identifiers, quantities, deadlines, tickets, and the verdict that says whether a request may have run.
//! Nothing here performs network I/O.

pub mod deadline;
pub mod ids;
pub mod mark;
pub mod offer;
pub mod quantity;
pub mod reason;
pub mod ring;
pub mod secret;
pub mod suspect;
pub mod ticket;
pub mod verdict;

pub use deadline::{AnchoredClock, ClockSource, UnixDeadline, UnixMillis};
pub use ids::{AttemptId, HostName, IncarnationId, RequestId, ServiceName, TargetName, TeamName, ZoneName};
pub use mark::{MarkedHead, RequestMark};
pub use offer::{
    AnswerFrame, AnswerHead, LoadReport, OfferOutcome, RepeatPolicy, RequestOffer, RequestPriority,
    ServiceKind,
};
pub use quantity::{ByteSize, LinkRate, RequestRate, StartMillis, TokenCount};
pub use reason::{RefusalReason, RetryReason};
pub use ring::{RingReceiver, RingSender, bounded_ring};
pub use suspect::{PartMark, SuspectMark};
pub use ticket::{TicketKey, TicketText};
pub use verdict::RunVerdict;
