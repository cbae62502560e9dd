//! `porthoist report`.

use super::{json_text, read_logs};
use crate::error::ToolError;
use crate::report::plot::draw_day;
use crate::report::read_day;
use crate::report::text::day_text;
use argh::FromArgs;
use std::path::Path;

/// Say what callers got, by service and second, and what groups did meanwhile, out of the logs of all processes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// logs of processes; standard input as -
    #[argh(positional)]
    files: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// draw what callers got into an SVG file
    #[argh(option)]
    svg: Option<String>,
}

/// Runs the command.
pub fn run(args: &ReportArgs) -> Result<String, ToolError> {
    let files = if args.files.is_empty() { vec!["-".to_owned()] } else { args.files.clone() };
    let lines = read_logs(&files)?;
    let Some(day) = read_day(lines) else {
        return Err(ToolError::Missing(format!("no log lines in {}", files.join(", "))));
    };
    if let Some(path) = &args.svg {
        draw_day(Path::new(path), &day).map_err(ToolError::Missing)?;
    }
    if args.json { json_text(&day) } else { Ok(day_text(&day)) }
}
