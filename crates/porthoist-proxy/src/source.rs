//! Interface of the service that provides routes and targets.

use crate::revision::TableRevision;
use crate::rows::ANSWER_TIMEOUT_MILLIS;
use crate::table_reader::GapAges;
use futures::future::LocalBoxFuture;
use porthoist_core::UnixMillis;
use porthoist_policy::proxy::routes::RouteTable;
use porthoist_policy::proxy::targets::TargetChange;
use porthoist_policy::proxy::zones::ZoneUpdate;
use std::fmt;
use std::time::Duration;

/// A response of the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceAnswer<T> {
    /// Content of the response.
    pub value: T,
    /// Revision from which the next call continues.
    pub revision: TableRevision,
    /// The source's monotonic clock, in milliseconds.
    pub stamp: u64,
    /// Where the response comes from.
    pub origin: AnswerOrigin,
}

impl<T> SourceAnswer<T> {
    /// Creates a response of the source itself.
    pub fn of(value: T, revision: TableRevision, stamp: u64) -> Self {
        Self { value, revision, stamp, origin: AnswerOrigin::Source }
    }

    /// Converts the content of the response.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> SourceAnswer<U> {
        let Self { value, revision, stamp, origin } = self;
        SourceAnswer { value: convert(value), revision, stamp, origin }
    }
}

/// Where a response comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOrigin {
    /// The source itself.
    Source,
    /// A response of the source to an earlier call of this process, or to a call about another table. It may
    /// have been made before the current call.
    EarlierCall,
    /// Another process that relays the source's response.
    Peer {
        /// The latest outage that the process saw.
        gap: Option<GapAges>,
        /// When this process's own call was sent, if the source has left it unanswered meanwhile.
        unanswered: Option<UnixMillis>,
    },
}

impl AnswerOrigin {
    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Source | Self::EarlierCall => "service",
            Self::Peer { .. } => "peer",
        }
    }
}

/// A failed call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The source no longer has the changes after the revision.
    #[error("the history is no longer available")]
    HistoryGone,
    /// The source refused the call.
    #[error("refused with status {0}")]
    Refused(u16),
    /// There is no response, or it is unreadable.
    #[error("{0}")]
    Unavailable(String),
}

/// Pending response of a source.
pub type SourceFuture<'a, T> = LocalBoxFuture<'a, Result<SourceAnswer<T>, SourceError>>;

/// An update of the operators' settings.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// The latest routes, if they have changed.
    pub routes: Option<RouteTable>,
    /// Zones that must receive no new requests.
    pub zones: ZoneUpdate,
}

impl OperatorUpdate {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.routes.is_none() && self.zones.is_empty()
    }
}

impl From<Option<RouteTable>> for OperatorUpdate {
    fn from(routes: Option<RouteTable>) -> Self {
        Self { routes, zones: ZoneUpdate::default() }
    }
}

/// The service that provides routes and targets.
pub trait ControlSource: fmt::Debug {
    /// Lists the latest routes, if there are any, and all emptied zones.
    fn list_routes(&self) -> SourceFuture<'_, OperatorUpdate>;
    /// Waits for changes of the operators' settings after a revision. Returns none after the wait.
    fn routes_after(&self, revision: TableRevision, wait: Duration) -> SourceFuture<'_, OperatorUpdate>;
    /// Lists the rows of all targets, oldest first, without removals.
    fn list_targets(&self) -> SourceFuture<'_, Vec<TargetChange>>;
    /// Waits for changes of targets after a revision. Returns none after the wait.
    fn targets_after(&self, revision: TableRevision, wait: Duration) -> SourceFuture<'_, Vec<TargetChange>>;
    /// Whether the source makes the pauses between failed calls itself.
    fn handles_backoff(&self) -> bool {
        false
    }
    /// When the latest call to the service that failed was sent, if the source makes other calls before it.
    fn failed_call(&self) -> Option<UnixMillis> {
        None
    }
    /// Whether other processes poll for this one, as often as its waits require. Its own short waits would
    /// then shorten all their polls.
    fn is_shared(&self) -> bool {
        false
    }
    /// Maximum time for a response to a call that waits for the given time.
    fn answer_timeout(&self, wait: Duration) -> Duration {
        wait + Duration::from_millis(ANSWER_TIMEOUT_MILLIS)
    }
}
