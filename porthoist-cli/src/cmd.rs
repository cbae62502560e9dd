//! The subcommands, a file for each.

pub mod drain;
pub mod entries;
pub mod explain;
pub mod quarantine;
pub mod report;
pub mod status;
pub mod table;

use crate::error::ToolError;
use crate::story::{LogLine, read_log};
use serde::Serialize;
use std::str::FromStr;

/// How a command prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// For scripts.
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

/// Lines of logs of which so many that can't be read are named.
const NAMED_LINES: usize = 3;

/// Reads the lines of log files, standard input as `-`. What is no log line is counted on standard error, not fatal.
pub(crate) fn read_logs(files: &[String]) -> Result<Vec<LogLine>, ToolError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_text(file).map_err(|error| ToolError::Missing(format!("{file}: {error}")))?;
        let (read, unreadable) = read_log(&text);
        lines.extend(read);
        if unreadable.is_empty() {
            continue;
        }
        let named: Vec<String> = unreadable.iter().take(NAMED_LINES).map(usize::to_string).collect();
        eprintln!(
            "{file}: {} lines are no log lines and were passed over, the first at {}",
            unreadable.len(),
            named.join(", ")
        );
    }
    Ok(lines)
}

fn read_text(file: &str) -> std::io::Result<String> {
    if file == "-" { std::io::read_to_string(std::io::stdin()) } else { std::fs::read_to_string(file) }
}
