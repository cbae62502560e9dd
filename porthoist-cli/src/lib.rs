//! The operator command-line tool as a library: parse its arguments into [`ToolArgs`], then [`run`] them.
//!
//! Commands return the text to print. Most call the operator endpoint of one process; some read logs, metrics
//! or the table service.

pub mod client;
pub mod cmd;
pub mod error;
pub mod log_lines;
pub mod report;
pub mod sheet;

pub use error::ToolError;

use argh::FromArgs;
use client::OperatorClient;

#[expect(clippy::doc_markdown, rustdoc::bare_urls, reason = "the text is printed as the tool's help")]
/// Operate porthoist: edit its table of weights and limits, show its status, and explain requests.
/// Exit status: 0 success, 1 usage error, 2 unreadable cell or file, 3 conflict with another edit, 4 answer
/// missing or refused, 5 not in force everywhere before the timeout.
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

/// Runs a command and returns its output.
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
