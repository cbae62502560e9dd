//! `porthoist drain`.

use super::table::set::{EditWait, edit_row, wait_in_force};
use crate::client::OperatorClient;
use crate::error::ToolError;
use argh::FromArgs;
use porthoist_policy::table::RowCells;

/// Take a target out of service, or put it back, by its row's drain cell.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// name of the target
    #[argh(positional)]
    target: String,
    /// put the target back in service
    #[argh(switch)]
    undo: bool,
    /// wait until the row is in force everywhere
    #[argh(switch)]
    wait: bool,
    /// maximum number of seconds to wait (default 16)
    #[argh(option, default = "16")]
    timeout: u64,
}

/// Runs the command.
pub async fn run(client: &OperatorClient, args: DrainArgs) -> Result<String, ToolError> {
    let drain = if args.undo { "no" } else { "yes" };
    let cells = RowCells::from([("drain".to_owned(), drain.to_owned())]);
    let answer = edit_row(client, &format!("target/{}", args.target), cells, None).await?;
    let verb = if args.undo { "back in service" } else { "draining" };
    let message = format!("target {} is {verb}, revision {}\n", args.target, answer.revision);
    let wait = EditWait { enabled: args.wait, seconds: args.timeout };
    Ok(message + &wait_in_force(client, answer.revision, wait).await?)
}
