//! `porthoist explain`.

use super::{OutputFormat, json_text, read_logs};
use crate::client::OperatorClient;
use crate::error::ToolError;
use crate::log_lines::{lines_about, lines_text};
use argh::FromArgs;
use porthoist_policy::decision_log::{DecisionKind, DecisionRecord};
use std::fmt::Write as _;

/// Explain what happened to a request: each offer, refusal and retry with its reason and numbers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// value of the response's porthoist-request header; with --log, the request's identifier in the logs
    #[argh(positional)]
    request: String,
    /// read process logs from a file, or from standard input as -; may be repeated
    #[argh(option)]
    log: Vec<String>,
    /// output format: text or json
    #[argh(option, default = "OutputFormat::Text")]
    format: OutputFormat,
}

/// Runs the command.
pub async fn run(client: &OperatorClient, args: ExplainArgs) -> Result<String, ToolError> {
    if !args.log.is_empty() {
        return explain_logs(&args.request, &args.log);
    }
    let decisions = client.explain(&args.request).await?;
    match args.format {
        OutputFormat::Json => json_text(&decisions),
        OutputFormat::Text => Ok(decisions_text(&decisions)),
    }
}

/// Formats the log lines about a request from all given logs.
fn explain_logs(request: &str, files: &[String]) -> Result<String, ToolError> {
    let lines = read_logs(files)?;
    let selected = lines_about(request, lines);
    if selected.is_empty() {
        return Err(ToolError::Missing(format!("the logs have no line about request {request}")));
    }
    Ok(lines_text(&selected))
}

/// Formats decisions as text, with milliseconds since the first.
pub fn decisions_text(decisions: &[DecisionRecord]) -> String {
    let Some(first) = decisions.first() else {
        return String::new();
    };
    let mut text = String::new();
    for decision in decisions {
        let elapsed = decision.at.since(first.at);
        writeln!(text, "+{elapsed} ms  {}", kind_text(&decision.kind))
            .expect("writing to a string can't fail");
    }
    text
}

fn kind_text(kind: &DecisionKind) -> String {
    match kind {
        DecisionKind::Received { team, service, prompt_tokens } => {
            format!("received from team {team} for {service}, about {prompt_tokens} prompt tokens")
        }
        DecisionKind::Offered { attempt, target, cost_millis, cached_tokens, candidates } => format!(
            "attempt {attempt}: offered to {target}, the cheapest of {candidates} at {cost_millis:.1} ms, \
             {cached_tokens} tokens expected in its cache"
        ),
        DecisionKind::Failed { attempt, reason, verdict } => {
            format!("attempt {attempt}: failed, {reason} ({verdict})")
        }
        DecisionKind::Retried { reason } => format!("tried again: {reason}"),
        DecisionKind::Answered { first_byte_millis } => {
            format!("answered whole, first byte after {first_byte_millis} ms")
        }
        DecisionKind::Refused { reason, verdict } => format!("refused: {reason} ({verdict})"),
    }
}
