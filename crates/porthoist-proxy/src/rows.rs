//! Rows of the platform's tables as they are passed between our processes: keys and bytes, not yet what they mean.

use crate::revision::TableRevision;
use crate::source::{SourceError, SourceFuture, Stamped};
use futures::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A table that processes follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ControlTable {
    /// The operators' routes.
    Routes,
    /// The targets.
    Targets,
    /// Deaths of targets that are held against requests.
    Crashes,
}

impl ControlTable {
    /// All.
    pub const ALL: [Self; 3] = [Self::Routes, Self::Targets, Self::Crashes];

    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Targets => "targets",
            Self::Crashes => "crashes",
        }
    }
}

/// What a row holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowValue {
    /// Its bytes.
    Bytes(Vec<u8>),
    /// Something that another writer left and that is not bytes in the table's encoding; says why.
    Unreadable(String),
    /// Nothing: the row was removed.
    Removed,
}

/// A row, or that it was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// What it holds.
    pub value: RowValue,
    /// Its version: rows with higher ones were written later.
    pub version: TableRevision,
}

/// Where rows come from.
pub trait RowSource: fmt::Debug {
    /// All rows of a table.
    fn list(&self, table: ControlTable) -> SourceFuture<'_, Vec<TableRow>>;
    /// Rows that changed after a revision, none after the wait.
    fn after(
        &self,
        table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> SourceFuture<'_, Vec<TableRow>>;
    /// Whether it makes the pauses between questions that fail.
    fn paces_itself(&self) -> bool {
        false
    }
    /// How long an answer may take to a question that waits for so long.
    fn patience(&self, wait: Duration) -> Duration {
        wait + Duration::from_millis(ANSWER_MILLIS)
    }
}

/// A row to write or to remove.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Its key.
    pub key: String,
    /// Its bytes; nothing removes it.
    pub value: Option<Vec<u8>>,
}

/// Where rows are written.
pub trait RowWriter: fmt::Debug {
    /// Writes and removes rows of the table of deaths, all or none. Without an answer they may be written later.
    fn write(&self, changes: Vec<RowChange>) -> LocalBoxFuture<'_, Result<(), SourceError>>;
}

/// Time in milliseconds beyond a question's wait in which the table service must answer.
pub const ANSWER_MILLIS: u64 = 900;

/// The answer to a question, unless none comes in time.
pub async fn answer_within<T>(
    patience: Duration,
    question: SourceFuture<'_, T>,
) -> Result<Stamped<T>, SourceError> {
    match tokio::time::timeout(patience, question).await {
        Ok(answer) => answer,
        Err(_elapsed) => Err(SourceError::Unavailable("no answer in time".to_owned())),
    }
}
