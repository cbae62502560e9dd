//! Edits of the operators' table. They are conditional and atomic, and are read back if the answer is lost.

use porthoist_core::RunVerdict;
use porthoist_policy::adoption::ConfigChange;
use porthoist_policy::table::{CellError, RowCells, RowKey, TableRow};
use porthoist_table::{CONFIG_PREFIX, CallError, PlatformClient, TableWrite, TransactAnswer, WriteResult};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A row as stored in the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// The cells as the operator wrote them.
    pub cells: RowCells,
    /// Identifies the edit that wrote the row, so that its writer recognizes it.
    pub edit: String,
}

/// A row with its version, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The version to name in a conditional edit.
    pub version: u64,
    /// The cells.
    pub cells: RowCells,
}

/// One row of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowEdit {
    /// The complete row; its kind and name identify it.
    pub cells: RowCells,
    /// Version that the row must have; if absent, the row must not exist.
    pub if_version: Option<u64>,
    /// Whether to remove the row.
    #[serde(default)]
    pub remove: bool,
}

/// A committed edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// The table's revision after the edit. The edit is in force at a process once this or a later revision is.
    pub revision: u64,
    /// Whether the platform's answer was lost and the edit was confirmed by reading it back.
    pub read_back: bool,
}

/// Error of an edit that failed, or whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "problem", rename_all = "snake_case")]
pub enum EditProblem {
    /// A cell is not valid.
    Cell {
        /// Index of the row in the edit, from 0.
        row: usize,
        /// The column.
        column: String,
        /// The given value.
        given: String,
        /// The accepted values.
        expected: String,
    },
    /// Another edit was committed first; nothing was changed.
    Conflict {
        /// The rows in force, for those whose version did not match.
        in_force: Vec<Option<VersionedRow>>,
    },
    /// The platform did not answer.
    Platform {
        /// Whether the edit may have been committed.
        verdict: RunVerdict,
        /// What happened.
        message: String,
    },
}

/// Edits the operators' table through the platform.
#[derive(Debug, Clone)]
pub struct TableEditor {
    platform: Arc<dyn PlatformClient>,
}

fn platform_problem(error: CallError) -> EditProblem {
    EditProblem::Platform { verdict: error.verdict, message: error.message }
}

fn cell_problem(row: usize, error: CellError) -> EditProblem {
    let CellError { column, given, expected } = error;
    EditProblem::Cell { row, column, given, expected }
}

fn config_key(key: &RowKey) -> String {
    format!("{CONFIG_PREFIX}{key}")
}

impl TableEditor {
    /// Creates an editor that uses `platform`.
    pub fn new(platform: Arc<dyn PlatformClient>) -> Self {
        Self { platform }
    }

    /// Reads all rows and the table's revision.
    pub async fn rows(&self) -> Result<(u64, Vec<VersionedRow>), CallError> {
        let feed = self.platform.changes(CONFIG_PREFIX, 0).await?;
        let mut rows = Vec::with_capacity(feed.items.len());
        for item in feed.items {
            let Some(value) = item.value else { continue };
            let stored: StoredRow = serde_json::from_value(value)
                .map_err(|error| CallError::unknown(format!("{}: {error}", item.key)))?;
            rows.push(VersionedRow { version: item.version, cells: stored.cells });
        }
        Ok((feed.revision, rows))
    }

    /// Commits all row edits or none. `edit` identifies the edit and must be new for each one.
    pub async fn commit(&self, edits: &[RowEdit], edit: &str) -> Result<EditAnswer, EditProblem> {
        let mut writes = Vec::with_capacity(edits.len());
        for (index, row) in edits.iter().enumerate() {
            let (key, _parsed) =
                TableRow::from_cells(&row.cells).map_err(|error| cell_problem(index, error))?;
            let stored = StoredRow { cells: row.cells.clone(), edit: edit.to_owned() };
            let value = if row.remove { None } else { serde_json::to_value(stored).ok() };
            writes.push(TableWrite {
                key: config_key(&key),
                if_version: row.if_version,
                unconditional: false,
                value,
            });
        }
        match self.platform.transact(true, writes.clone()).await {
            Ok(answer) => commit_answer(&answer),
            Err(error) if error.verdict == RunVerdict::NotRun => Err(platform_problem(error)),
            Err(error) => self.read_back(&writes, edit, error).await,
        }
    }

    /// Checks whether an edit whose answer was lost was committed: it was if the table has its identifier.
    async fn read_back(
        &self,
        writes: &[TableWrite],
        edit: &str,
        error: CallError,
    ) -> Result<EditAnswer, EditProblem> {
        let Some(written) = writes.iter().find(|write| write.value.is_some()) else {
            return Err(platform_problem(error));
        };
        let item = self
            .platform
            .item(written.key.clone())
            .await
            .map_err(|_error| platform_problem(error.clone()))?;
        let Some(item) = item else {
            return Err(platform_problem(error));
        };
        let stored: Option<StoredRow> = item.value.and_then(|value| serde_json::from_value(value).ok());
        if stored.is_some_and(|stored| stored.edit == edit) {
            return Ok(EditAnswer { revision: item.version, read_back: true });
        }
        // The row was overwritten since or not written yet, which can't be distinguished here.
        Err(platform_problem(error))
    }
}

fn commit_answer(answer: &TransactAnswer) -> Result<EditAnswer, EditProblem> {
    if answer.committed {
        return Ok(EditAnswer { revision: answer.revision, read_back: false });
    }
    let mut in_force = Vec::with_capacity(answer.results.len());
    for result in &answer.results {
        let WriteResult::Conflict { version, value } = result else {
            continue;
        };
        let stored: Option<StoredRow> = value.clone().and_then(|value| serde_json::from_value(value).ok());
        in_force.push(
            stored.zip(*version).map(|(stored, version)| VersionedRow { version, cells: stored.cells }),
        );
    }
    Err(EditProblem::Conflict { in_force })
}

/// Converts the table's feed to a configuration change and the keys of unreadable rows, whose rows in force stay.
pub fn config_change(feed: porthoist_table::ChangeFeed) -> (ConfigChange, Vec<String>) {
    let mut rows = Vec::with_capacity(feed.items.len());
    let mut unreadable = Vec::new();
    for item in feed.items {
        let name = item.key.strip_prefix(CONFIG_PREFIX).unwrap_or(&item.key);
        let Ok(key) = name.parse::<RowKey>() else {
            unreadable.push(item.key);
            continue;
        };
        let Some(value) = item.value else {
            rows.push((key, None));
            continue;
        };
        let parsed = serde_json::from_value::<StoredRow>(value).ok();
        match parsed.and_then(|stored| TableRow::from_cells(&stored.cells).ok()) {
            Some((_key, row)) => rows.push((key, Some(row))),
            None => unreadable.push(item.key),
        }
    }
    (ConfigChange { since: feed.since, revision: feed.revision, rows }, unreadable)
}
