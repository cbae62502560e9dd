//! The table as a CSV sheet: one line per row, with the version at which the row was read.

use crate::error::ToolError;
use miette::{NamedSource, SourceSpan};
use porthoist_operator::{RowEdit, VersionedRow};
use porthoist_policy::table::{COLUMNS, CellError, RowCells, TableRow};

/// Name of the last column: the version at which the row was read.
pub const VERSION_COLUMN: &str = "version";

/// Writes rows as CSV.
pub fn to_csv(rows: &[VersionedRow]) -> Result<String, ToolError> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let write_error = |error: csv::Error| ToolError::File(error.to_string());
    let header = COLUMNS.iter().copied().chain([VERSION_COLUMN]);
    writer.write_record(header).map_err(write_error)?;
    for row in rows {
        let cell = |column: &&str| row.cells.get(*column).cloned().unwrap_or_default();
        let cells = COLUMNS.iter().map(cell).chain([row.version.to_string()]);
        writer.write_record(cells).map_err(write_error)?;
    }
    let bytes = writer.into_inner().map_err(|error| ToolError::File(error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| ToolError::File(error.to_string()))
}

/// Formats a row as one line of text.
pub fn row_line(row: &VersionedRow) -> String {
    let mut parts = Vec::new();
    for column in COLUMNS {
        if let Some(cell) = row.cells.get(*column).filter(|cell| !cell.is_empty()) {
            parts.push(format!("{column}={cell}"));
        }
    }
    parts.push(format!("{VERSION_COLUMN}={}", row.version));
    parts.join(" ")
}

/// Parses a CSV sheet; an invalid cell rejects the whole sheet.
pub fn from_csv(file: &str, text: &str) -> Result<Vec<RowEdit>, ToolError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let headers = reader.headers().map_err(|error| ToolError::File(format!("{file}: {error}")))?.clone();
    check_headers(file, &headers)?;
    let mut edits = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|error| ToolError::File(format!("{file}: {error}")))?;
        let edit =
            read_row(&headers, &record).map_err(|cell| imported_cell_error(file, text, &record, cell))?;
        edits.push(edit);
    }
    Ok(edits)
}

fn check_headers(file: &str, headers: &csv::StringRecord) -> Result<(), ToolError> {
    let known = |name: &str| COLUMNS.contains(&name) || name == VERSION_COLUMN;
    if let Some(unknown) = headers.iter().find(|name| !known(name)) {
        let columns = COLUMNS.join(", ");
        return Err(ToolError::File(format!(
            "{file}: line 1: unknown column {unknown:?}; known are {columns}"
        )));
    }
    let missing = ["kind", "name"].into_iter().find(|name| !headers.iter().any(|header| header == *name));
    match missing {
        Some(column) => Err(ToolError::File(format!("{file}: line 1: the column {column} is missing"))),
        None => Ok(()),
    }
}

fn read_row(headers: &csv::StringRecord, record: &csv::StringRecord) -> Result<RowEdit, CellError> {
    let mut cells = RowCells::new();
    let mut if_version = None;
    for (column, cell) in headers.iter().zip(record) {
        if column == VERSION_COLUMN {
            if_version = read_version(cell)?;
        } else if !cell.is_empty() {
            cells.insert(column.to_owned(), cell.to_owned());
        }
    }
    TableRow::from_cells(&cells)?;
    Ok(RowEdit { cells, if_version, remove: false })
}

fn read_version(cell: &str) -> Result<Option<u64>, CellError> {
    if cell.is_empty() {
        return Ok(None);
    }
    let invalid = |_parse| CellError {
        column: VERSION_COLUMN.to_owned(),
        given: cell.to_owned(),
        expected: "a whole number, or nothing for a new row".to_owned(),
    };
    cell.parse().map(Some).map_err(invalid)
}

fn imported_cell_error(file: &str, text: &str, record: &csv::StringRecord, cell: CellError) -> ToolError {
    let line = record.position().map_or(0, csv::Position::line);
    let start = record.position().map_or(0, |position| position.byte() as usize).min(text.len());
    let length = text[start..].find('\n').unwrap_or(text.len() - start);
    ToolError::ImportedCell {
        file: file.to_owned(),
        line,
        cell,
        source_text: NamedSource::new(file, text.to_owned()),
        span: SourceSpan::from((start, length)),
    }
}
