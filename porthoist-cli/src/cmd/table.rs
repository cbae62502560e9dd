//! `porthoist table`: the operators' table of weights and limits.

pub mod export;
pub mod get;
pub mod import;
pub mod set;
pub mod show;

use crate::client::OperatorClient;
use crate::error::ToolError;
use argh::FromArgs;

/// Read and edit the table of weights and limits.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "table")]
pub struct TableArgs {
    #[argh(subcommand)]
    command: TableCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum TableCommand {
    Show(show::ShowArgs),
    Get(get::GetArgs),
    Set(set::SetArgs),
    Export(export::ExportArgs),
    Import(import::ImportArgs),
}

/// Runs the command.
pub async fn run(client: &OperatorClient, args: TableArgs) -> Result<String, ToolError> {
    match args.command {
        TableCommand::Show(args) => show::run(client, args).await,
        TableCommand::Get(args) => get::run(client, args).await,
        TableCommand::Set(args) => set::run(client, args).await,
        TableCommand::Export(args) => export::run(client, args).await,
        TableCommand::Import(args) => import::run(client, args).await,
    }
}
