//! `porthoist table show`.

use crate::client::OperatorClient;
use crate::cmd::{OutputFormat, json_text};
use crate::error::ToolError;
use crate::sheet::row_line;
use argh::FromArgs;

/// Show all rows in the table.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// output format: text or json
    #[argh(option, default = "OutputFormat::Text")]
    format: OutputFormat,
}

/// Runs the command.
pub async fn run(client: &OperatorClient, args: ShowArgs) -> Result<String, ToolError> {
    let table = client.table().await?;
    if args.format == OutputFormat::Json {
        return json_text(&table);
    }
    let mut text = format!("revision {}\n", table.revision);
    for row in &table.rows {
        text.push_str(&row_line(row));
        text.push('\n');
    }
    Ok(text)
}
