//! `porthoist status`.

use super::{OutputFormat, json_text};
use crate::client::OperatorClient;
use crate::error::ToolError;
use argh::FromArgs;
use porthoist_operator::{StatusReport, TargetStatus};
use std::fmt::Write as _;

/// Show zones, entries and targets as the queried entry sees them, and what it cannot reach.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// output format: text or json
    #[argh(option, default = "OutputFormat::Text")]
    format: OutputFormat,
}

/// Runs the command.
pub async fn run(client: &OperatorClient, args: StatusArgs) -> Result<String, ToolError> {
    let report = client.status().await?;
    match args.format {
        OutputFormat::Json => json_text(&report),
        OutputFormat::Text => Ok(report_text(&report)),
    }
}

/// Formats the report as text.
pub fn report_text(report: &StatusReport) -> String {
    let mut text = String::new();
    let platform = if report.platform_heard { "heard" } else { "NOT HEARD" };
    push_line(
        &mut text,
        format_args!(
            "entry {} in {}: revision {}, platform {platform}, {} in flight",
            report.node, report.zone, report.revision, report.in_flight
        ),
    );
    for (zone, status) in report.zones() {
        let revision =
            status.revision.map_or("none heard".to_owned(), |revision| format!("revision {revision}"));
        push_line(&mut text, format_args!("zone {zone}: {revision}, {} processes heard", status.heard));
        if !status.silent.is_empty() {
            push_line(&mut text, format_args!("  NOT HEARD: {}", status.silent.join(", ")));
        }
    }
    for entry in &report.entries {
        push_line(
            &mut text,
            format_args!(
                "entry {} in {}: {}",
                entry.node,
                entry.zone,
                revision_text(entry.heard, entry.revision)
            ),
        );
    }
    for target in &report.targets {
        push_line(&mut text, format_args!("{}", target_line(target)));
    }
    text
}

fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string can't fail");
}

fn revision_text(heard: bool, revision: u64) -> String {
    if heard { format!("revision {revision}") } else { "NOT HEARD".to_owned() }
}

fn target_line(target: &TargetStatus) -> String {
    let services: Vec<_> = target.services.iter().map(ToString::to_string).collect();
    let state = if target.draining { ", draining" } else { "" };
    let life = target.incarnation.map_or("never heard".to_owned(), |life| format!("incarnation {life}"));
    let load = &target.load;
    format!(
        "target {} in {}: {}{state}, {life}, {} running of {}, {} queued, step {} us, services {}",
        target.target,
        target.zone,
        revision_text(target.heard, target.revision),
        load.running,
        load.slots,
        load.queued,
        load.step_micros,
        services.join(",")
    )
}
