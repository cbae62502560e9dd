//! `porthoist table set`.

use super::get::find_row;
use crate::client::OperatorClient;
use crate::error::ToolError;
use argh::FromArgs;
use porthoist_operator::{EditAnswer, RowEdit, StatusReport};
use porthoist_policy::table::{CellError, RowCells, RowKey};
use std::fmt::Write as _;
use std::time::Duration;
use tokio::time::Instant;

/// Set cells of one row, conditional on the version read; a missing row is created.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetArgs {
    /// the row as KIND/NAME, for example team/border
    #[argh(positional)]
    row: String,
    /// cells as COLUMN=VALUE; an empty value clears the cell
    #[argh(positional)]
    cells: Vec<String>,
    /// version that the row must have (default: the current one); 0 if it must not exist
    #[argh(option)]
    if_version: Option<u64>,
    /// wait until the row is in force everywhere, and report where it is not
    #[argh(switch)]
    wait: bool,
    /// maximum number of seconds to wait (default 16)
    #[argh(option, default = "16")]
    timeout: u64,
}

/// Whether and how long to wait until an edit is in force.
#[derive(Debug, Clone, Copy)]
pub struct EditWait {
    /// Whether to wait.
    pub enabled: bool,
    /// Maximum number of seconds to wait.
    pub seconds: u64,
}

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the command.
pub async fn run(client: &OperatorClient, args: SetArgs) -> Result<String, ToolError> {
    let mut cells = RowCells::new();
    for given in &args.cells {
        let (column, cell) = given.split_once('=').ok_or_else(|| CellError {
            column: given.clone(),
            given: given.clone(),
            expected: "COLUMN=VALUE".to_owned(),
        })?;
        cells.insert(column.to_owned(), cell.to_owned());
    }
    let answer = edit_row(client, &args.row, cells, args.if_version).await?;
    let read_back = if answer.read_back { " (the platform's answer was lost; read back)" } else { "" };
    let message = format!("{} is in the table, revision {}{read_back}\n", args.row, answer.revision);
    let wait = EditWait { enabled: args.wait, seconds: args.timeout };
    Ok(message + &wait_in_force(client, answer.revision, wait).await?)
}

/// Sets cells of a row, conditional on `if_version` or, by default, on the version just read.
pub(crate) async fn edit_row(
    client: &OperatorClient,
    row: &str,
    changes: RowCells,
    if_version: Option<u64>,
) -> Result<EditAnswer, ToolError> {
    let key: RowKey = row.parse()?;
    let found = find_row(client, &key).await?;
    let read_version = found.as_ref().map(|row| row.version);
    let mut cells = found.map(|row| row.cells).unwrap_or_default();
    cells.insert("kind".to_owned(), key.kind.to_string());
    cells.insert("name".to_owned(), key.name);
    cells.extend(changes);
    cells.retain(|_column, cell| !cell.is_empty());
    let if_version = match if_version {
        Some(0) => None,
        Some(version) => Some(version),
        None => read_version,
    };
    Ok(client.edit(vec![RowEdit { cells, if_version, remove: false }]).await?)
}

/// Waits until a revision is in force in every zone; the error lists where it is not.
pub async fn wait_in_force(
    client: &OperatorClient,
    revision: u64,
    wait: EditWait,
) -> Result<String, ToolError> {
    if !wait.enabled {
        return Ok(String::new());
    }
    let deadline = Instant::now() + Duration::from_secs(wait.seconds);
    loop {
        let report = client.status().await?;
        let (everywhere, text) = in_force(&report, revision);
        if everywhere {
            return Ok(text);
        }
        if Instant::now() >= deadline {
            return Err(ToolError::NotInForce(format!(
                "revision {revision} after {} s:\n{text}",
                wait.seconds
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether a revision is in force in all zones, with one line of text for each.
pub fn in_force(report: &StatusReport, revision: u64) -> (bool, String) {
    let mut everywhere = true;
    let mut text = String::new();
    for (zone, status) in report.zones() {
        let adopted = status.revision.is_some_and(|lowest| lowest >= revision);
        everywhere &= adopted && status.silent.is_empty();
        let state = match status.revision {
            Some(_) if adopted => "in force".to_owned(),
            Some(lowest) => format!("not yet, revision {lowest} is"),
            None => "can't be heard".to_owned(),
        };
        let silent = if status.silent.is_empty() {
            String::new()
        } else {
            format!("; can't hear {}", status.silent.join(", "))
        };
        writeln!(text, "zone {zone}: {state}{silent}").expect("writing to a string can't fail");
    }
    (everywhere, text)
}
