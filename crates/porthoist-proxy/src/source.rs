//! The service that holds routes and targets, as porthoist asks it.

use crate::reader::GapAges;
use crate::revision::TableRevision;
use crate::rows::ANSWER_MILLIS;
use futures::future::LocalBoxFuture;
use porthoist_policy::proxy::routes::RouteTable;
use porthoist_policy::proxy::targets::TargetChange;
use porthoist_policy::proxy::zones::ZoneUpdate;
use std::fmt;
use std::time::Duration;

/// An answer of the source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stamped<T> {
    /// What it says.
    pub value: T,
    /// Revision from which the next question goes on.
    pub revision: TableRevision,
    /// The source's steady clock, in milliseconds.
    pub stamp: u64,
    /// Who gave it.
    pub origin: AnswerOrigin,
}

impl<T> Stamped<T> {
    /// An answer of the source itself.
    pub fn of(value: T, revision: TableRevision, stamp: u64) -> Self {
        Self { value, revision, stamp, origin: AnswerOrigin::Source }
    }

    /// The same answer with what its value stands for.
    pub fn map<U>(self, read: impl FnOnce(T) -> U) -> Stamped<U> {
        let Self { value, revision, stamp, origin } = self;
        Stamped { value: read(value), revision, stamp, origin }
    }
}

/// Who gave an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerOrigin {
    /// The source.
    Source,
    /// Another process, as the source had answered it.
    Peer {
        /// The last time in which that process had no answers.
        gap: Option<GapAges>,
    },
}

/// A question without an answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The source has forgotten the changes after the revision.
    #[error("the history is gone")]
    HistoryGone,
    /// The source refused the question.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No answer, or one that can't be read.
    #[error("{0}")]
    Unavailable(String),
}

/// The pending answer of a source.
pub type SourceFuture<'a, T> = LocalBoxFuture<'a, Result<Stamped<T>, SourceError>>;

/// What operators say.
#[derive(Debug, Default)]
pub struct OperatorUpdate {
    /// The newest routes, if they are new.
    pub routes: Option<RouteTable>,
    /// Zones that are to get nothing new.
    pub zones: ZoneUpdate,
}

impl OperatorUpdate {
    /// Whether it says nothing new.
    pub fn is_empty(&self) -> bool {
        self.routes.is_none() && self.zones.is_empty()
    }
}

impl From<Option<RouteTable>> for OperatorUpdate {
    fn from(routes: Option<RouteTable>) -> Self {
        Self { routes, zones: ZoneUpdate::default() }
    }
}

/// The service that holds routes and targets.
pub trait ControlSource: fmt::Debug {
    /// The newest routes, if there are any, and all emptied zones.
    fn list_routes(&self) -> SourceFuture<'_, OperatorUpdate>;
    /// What operators have changed after a revision, nothing after the wait.
    fn routes_after(&self, revision: TableRevision, wait: Duration) -> SourceFuture<'_, OperatorUpdate>;
    /// All rows of targets, older ones first; none of them removed.
    fn list_targets(&self) -> SourceFuture<'_, Vec<TargetChange>>;
    /// Changes of targets after a revision, none after the wait.
    fn targets_after(&self, revision: TableRevision, wait: Duration) -> SourceFuture<'_, Vec<TargetChange>>;
    /// Whether it makes the pauses between questions that fail.
    fn paces_itself(&self) -> bool {
        false
    }
    /// How long an answer may take to a question that waits for so long.
    fn patience(&self, wait: Duration) -> Duration {
        wait + Duration::from_millis(ANSWER_MILLIS)
    }
}
