//! The subcommands, one per file.

pub mod drain;
pub mod entries;
pub mod explain;
pub mod quarantine;
pub mod report;
pub mod status;
pub mod table;

use crate::error::ToolError;
use crate::log_lines::{LogLine, read_log};
use serde::Serialize;
use std::str::FromStr;

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// JSON.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not a format: expected text or json")),
        }
    }
}

pub(crate) fn json_text<T: Serialize>(value: &T) -> Result<String, ToolError> {
    let text = serde_json::to_string_pretty(value).map_err(|error| ToolError::Endpoint(error.to_string()))?;
    Ok(text + "\n")
}

/// Maximum number of unreadable lines whose numbers are printed per file.
const MAX_PRINTED_LINES: usize = 3;

/// Reads the lines of log files; `-` is standard input. Lines that cannot be parsed are reported on standard
/// error and skipped.
pub(crate) fn read_logs(files: &[String]) -> Result<Vec<LogLine>, ToolError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_text(file).map_err(|error| ToolError::Missing(format!("{file}: {error}")))?;
        let (read, unreadable) = read_log(&text);
        lines.extend(read);
        if unreadable.is_empty() {
            continue;
        }
        let line_numbers: Vec<String> =
            unreadable.iter().take(MAX_PRINTED_LINES).map(usize::to_string).collect();
        eprintln!(
            "{file}: skipped {} unreadable lines, the first at {}",
            unreadable.len(),
            line_numbers.join(", ")
        );
    }
    Ok(lines)
}

fn read_text(file: &str) -> std::io::Result<String> {
    if file == "-" { std::io::read_to_string(std::io::stdin()) } else { std::fs::read_to_string(file) }
}
