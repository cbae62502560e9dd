//! Rows of the platform's tables as keys and bytes, before they are interpreted.

use crate::revision::TableRevision;
use crate::source::{SourceAnswer, SourceError, SourceFuture};
use futures::future::LocalBoxFuture;
use porthoist_core::UnixMillis;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A table of the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ControlTable {
    /// The operators' routes.
    Routes,
    /// The targets.
    Targets,
    /// Crashes of targets that are recorded against requests.
    Crashes,
}

impl ControlTable {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Routes, Self::Targets, Self::Crashes];

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Targets => "targets",
            Self::Crashes => "crashes",
        }
    }
}

/// Value of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RowValue {
    /// The bytes.
    Bytes(Vec<u8>),
    /// A value of another writer that is not bytes in the table's encoding, with a description of the
    /// problem.
    Unreadable(String),
    /// The row was removed.
    Removed,
}

/// A row, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: RowValue,
    /// Version of the row. Rows with higher versions were written later.
    pub version: TableRevision,
}

/// Source of rows.
pub trait RowSource: fmt::Debug {
    /// Lists all rows of a table.
    fn list(&self, table: ControlTable) -> SourceFuture<'_, Vec<TableRow>>;
    /// Waits for rows that changed after a revision. Returns none after the wait.
    fn changes_after(
        &self,
        table: ControlTable,
        revision: TableRevision,
        wait: Duration,
    ) -> SourceFuture<'_, Vec<TableRow>>;
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
    /// Makes the next calls use new connections, if idle ones may have fallen silent.
    fn drop_idle_connections(&self) {}
    /// Maximum time for a response to a call that waits for the given time.
    fn answer_timeout(&self, wait: Duration) -> Duration {
        wait + Duration::from_millis(ANSWER_TIMEOUT_MILLIS)
    }
}

/// A row to write or to remove.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// New bytes, or `None` to remove the row.
    pub value: Option<Vec<u8>>,
}

/// Destination of written rows.
pub trait RowWriter: fmt::Debug {
    /// Writes and removes rows of the crash table atomically. A write without a response may still be
    /// applied later.
    fn write(&self, changes: Vec<RowChange>) -> LocalBoxFuture<'_, Result<(), SourceError>>;
}

/// Time in milliseconds beyond a call's wait within which the table service must respond.
pub const ANSWER_TIMEOUT_MILLIS: u64 = 900;

/// Awaits a response with a timeout.
pub async fn answer_within<T>(
    answer_timeout: Duration,
    call: SourceFuture<'_, T>,
) -> Result<SourceAnswer<T>, SourceError> {
    match tokio::time::timeout(answer_timeout, call).await {
        Ok(answer) => answer,
        Err(_elapsed) => Err(SourceError::Unavailable("no response in time".to_owned())),
    }
}
