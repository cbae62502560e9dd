//! `porthoist report`.

use super::{json_text, read_logs};
use crate::error::ToolError;
use crate::report::plot::draw_report;
use crate::report::read_report;
use crate::report::text::log_report_text;
use argh::FromArgs;
use std::path::Path;

/// Summarize the logs of all processes: what callers got, by service and second, and what groups did
/// meanwhile.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// process logs; - is standard input
    #[argh(positional)]
    files: Vec<String>,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
    /// write a plot of what callers got to an SVG file
    #[argh(option)]
    svg: Option<String>,
}

/// Runs the command.
pub fn run(args: &ReportArgs) -> Result<String, ToolError> {
    let files = if args.files.is_empty() { vec!["-".to_owned()] } else { args.files.clone() };
    let lines = read_logs(&files)?;
    let Some(report) = read_report(lines) else {
        return Err(ToolError::Missing(format!("no readable log lines in {}", files.join(", "))));
    };
    if let Some(path) = &args.svg {
        draw_report(Path::new(path), &report).map_err(ToolError::Missing)?;
    }
    if args.json { json_text(&report) } else { Ok(log_report_text(&report)) }
}
