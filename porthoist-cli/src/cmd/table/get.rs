//! `porthoist table get`.

use crate::client::OperatorClient;
use crate::cmd::{OutputFormat, json_text};
use crate::error::ToolError;
use crate::sheet::row_line;
use argh::FromArgs;
use porthoist_operator::VersionedRow;
use porthoist_policy::table::RowKey;

/// Show one row.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// the row as KIND/NAME, for example team/border
    #[argh(positional)]
    row: String,
    /// output format: text or json
    #[argh(option, default = "OutputFormat::Text")]
    format: OutputFormat,
}

/// Runs the command.
pub async fn run(client: &OperatorClient, args: GetArgs) -> Result<String, ToolError> {
    let key: RowKey = args.row.parse()?;
    let row = find_row(client, &key)
        .await?
        .ok_or_else(|| ToolError::Missing(format!("the table has no row {key}")))?;
    match args.format {
        OutputFormat::Json => json_text(&row),
        OutputFormat::Text => Ok(row_line(&row) + "\n"),
    }
}

/// Finds a row of the table.
pub(crate) async fn find_row(
    client: &OperatorClient,
    key: &RowKey,
) -> Result<Option<VersionedRow>, ToolError> {
    let table = client.table().await?;
    let kind = key.kind.to_string();
    let has_key =
        |row: &VersionedRow| row.cells.get("kind") == Some(&kind) && row.cells.get("name") == Some(&key.name);
    Ok(table.rows.into_iter().find(has_key))
}
