//! `porthoist table export`.

use crate::client::OperatorClient;
use crate::error::ToolError;
use crate::sheet::to_csv;
use argh::FromArgs;

/// Print the table as CSV, with the version of each row.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "export")]
#[expect(clippy::empty_structs_with_brackets, reason = "argh derives only for structs with named fields")]
pub struct ExportArgs {}

/// Runs the command.
pub async fn run(client: &OperatorClient, _args: ExportArgs) -> Result<String, ToolError> {
    to_csv(&client.table().await?.rows)
}
