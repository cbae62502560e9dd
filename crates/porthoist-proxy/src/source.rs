//! The service that holds routes and targets, as porthoist asks it.

use futures::future::LocalBoxFuture;
use porthoist_policy::proxy::routes::RouteTable;
use porthoist_policy::proxy::targets::TargetChange;
use std::fmt;
use std::time::Duration;

/// An answer of the source.
#[derive(Debug, Clone)]
pub struct Stamped<T> {
    /// What it says.
    pub value: T,
    /// Revision from which the next question goes on.
    pub revision: u64,
    /// The source's steady clock, in milliseconds.
    pub stamp: u64,
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

/// The service that holds routes and targets.
pub trait ControlSource: fmt::Debug {
    /// The newest routes; nothing if there are none yet.
    fn list_routes(&self) -> SourceFuture<'_, Option<RouteTable>>;
    /// The routes if they have changed after a revision, else nothing after the wait.
    fn routes_after(&self, revision: u64, wait: Duration) -> SourceFuture<'_, Option<RouteTable>>;
    /// All rows of targets, older ones first; none of them removed.
    fn list_targets(&self) -> SourceFuture<'_, Vec<TargetChange>>;
    /// Changes of targets after a revision, none after the wait.
    fn targets_after(&self, revision: u64, wait: Duration) -> SourceFuture<'_, Vec<TargetChange>>;
}
