//! The subcommands, a file for each.

pub mod drain;
pub mod explain;
pub mod status;
pub mod table;

use crate::error::ToolError;
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
