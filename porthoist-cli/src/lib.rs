//! The operators' tool as a library: parse its arguments into [`ToolArgs`], then [`run`] them.
//!
//! Every command talks to the operator endpoint of one process and returns the text to print.

pub mod client;
pub mod cmd;
pub mod error;
pub mod report;
pub mod sheet;
pub mod story;

pub use error::ToolError;

use argh::FromArgs;
use client::OperatorClient;

#[expect(clippy::doc_markdown, rustdoc::bare_urls, reason = "the text is printed as the tool's help")]
/// Operate porthoist: its table of weights and limits, its status, and what became of a request.
/// Exit status: 0 done, 1 usage, 2 a cell or file can't be read, 3 another edit came first, 4 the answer is missing
/// or refused, 5 not in force everywhere in time.
#[derive(Debug, FromArgs)]
pub struct ToolArgs {
    /// operator endpoint of an entry, http://IP:PORT (PORTHOIST_OPERATOR; default http://127.0.0.1:8081)
    #[argh(option)]
    pub operator: Option<String>,
    /// operator token (PORTHOIST_OPERATOR_TOKEN)
    #[argh(option)]
    pub token: Option<String>,
    #[argh(subcommand)]
    command: ToolCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum ToolCommand {
    Table(cmd::table::TableArgs),
    Status(cmd::status::StatusArgs),
    Explain(cmd::explain::ExplainArgs),
    Report(cmd::report::ReportArgs),
    Drain(cmd::drain::DrainArgs),
    Quarantine(cmd::quarantine::QuarantineArgs),
    Entries(cmd::entries::EntriesArgs),
}

const DEFAULT_OPERATOR: &str = "http://127.0.0.1:8081";

/// Runs a command and returns what it prints.
pub async fn run(args: ToolArgs) -> Result<String, ToolError> {
    let setting = |given: Option<String>, variable| given.or_else(|| std::env::var(variable).ok());
    let operator =
        setting(args.operator, "PORTHOIST_OPERATOR").unwrap_or_else(|| DEFAULT_OPERATOR.to_owned());
    let token = setting(args.token, "PORTHOIST_OPERATOR_TOKEN").unwrap_or_default();
    let client = OperatorClient::new(operator, token);
    match args.command {
        ToolCommand::Table(args) => cmd::table::run(&client, args).await,
        ToolCommand::Status(args) => cmd::status::run(&client, args).await,
        ToolCommand::Explain(args) => cmd::explain::run(&client, args).await,
        ToolCommand::Report(args) => cmd::report::run(&args),
        ToolCommand::Drain(args) => cmd::drain::run(&client, args).await,
        ToolCommand::Quarantine(args) => cmd::quarantine::run(args).await,
        ToolCommand::Entries(args) => cmd::entries::run(&args).await,
    }
}
