//! Errors of the tool and their exit statuses.

use miette::{Diagnostic, NamedSource, SourceSpan};
use porthoist_policy::table::CellError;

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum ToolError {
    /// An invalid cell in an imported file.
    #[error("{file}: line {line}, column {}: {:?} is not valid", cell.column, cell.given)]
    #[diagnostic(code(porthoist::table::cell), help("expected {}; nothing was imported", cell.expected))]
    ImportedCell {
        /// The file.
        file: String,
        /// Line in the file, from 1.
        line: u64,
        /// The invalid cell.
        cell: CellError,
        /// Contents of the file.
        #[source_code]
        source_text: NamedSource<String>,
        /// Position of the line.
        #[label("this row")]
        span: SourceSpan,
    },
    /// An invalid cell on the command line.
    #[error("{0}")]
    #[diagnostic(code(porthoist::table::cell), help("nothing was changed"))]
    Cell(CellError),
    /// A file that is not a valid table.
    #[error("{0}")]
    #[diagnostic(code(porthoist::table::file), help("nothing was imported"))]
    File(String),
    /// Another edit changed the row first.
    #[error("conflict with an earlier edit; nothing was changed\n{0}")]
    #[diagnostic(code(porthoist::table::conflict), help("check the row in force and repeat the edit"))]
    Conflict(String),
    /// The edit may or may not be in the table.
    #[error("the platform did not confirm the edit: {0}")]
    #[diagnostic(
        code(porthoist::table::unknown),
        help("it may have been committed: `porthoist table get` shows the row in force")
    )]
    Unconfirmed(String),
    /// The endpoint was unreachable or refused the call.
    #[error("{0}")]
    #[diagnostic(code(porthoist::operator), help("check --operator and PORTHOIST_OPERATOR_TOKEN"))]
    Endpoint(String),
    /// The requested item does not exist.
    #[error("{0}")]
    #[diagnostic(code(porthoist::missing))]
    Missing(String),
    /// The edit is in the table, but was not in force everywhere before the timeout.
    #[error("{0}")]
    #[diagnostic(code(porthoist::table::wait), help("the edit is in the table and will be adopted"))]
    NotInForce(String),
}

impl From<CellError> for ToolError {
    fn from(cell: CellError) -> Self {
        Self::Cell(cell)
    }
}

impl ToolError {
    /// The exit status of the tool.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::ImportedCell { .. } | Self::Cell(_) | Self::File(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unconfirmed(_) | Self::Endpoint(_) | Self::Missing(_) => 4,
            Self::NotInForce(_) => 5,
        }
    }
}
