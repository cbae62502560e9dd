//! `porthoist table import`.

use super::set::{EditWait, wait_in_force};
use crate::client::OperatorClient;
use crate::error::ToolError;
use crate::sheet::from_csv;
use argh::FromArgs;
use porthoist_operator::{RowEdit, VersionedRow};

/// Import a CSV sheet, completely or not at all. Rows are conditional on their version column; rows that are
/// not in the sheet are kept.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "import")]
pub struct ImportArgs {
    /// path of the sheet
    #[argh(positional)]
    file: String,
    /// wait until the rows are in force everywhere
    #[argh(switch)]
    wait: bool,
    /// maximum number of seconds to wait (default 16)
    #[argh(option, default = "16")]
    timeout: u64,
}

/// Runs the command.
pub async fn run(client: &OperatorClient, args: ImportArgs) -> Result<String, ToolError> {
    let text = std::fs::read_to_string(&args.file)
        .map_err(|error| ToolError::File(format!("failed to read {}: {error}", args.file)))?;
    let edits = from_csv(&args.file, &text)?;
    let table = client.table().await?;
    let changed: Vec<RowEdit> = edits.into_iter().filter(|edit| !is_unchanged(edit, &table.rows)).collect();
    if changed.is_empty() {
        return Ok("no changes: the sheet matches the table\n".to_owned());
    }
    let count = changed.len();
    let answer = client.edit(changed).await?;
    let message = format!("{count} rows are in the table, revision {}\n", answer.revision);
    let wait = EditWait { enabled: args.wait, seconds: args.timeout };
    Ok(message + &wait_in_force(client, answer.revision, wait).await?)
}

fn is_unchanged(edit: &RowEdit, rows: &[VersionedRow]) -> bool {
    rows.iter().any(|row| row.cells == edit.cells)
}
