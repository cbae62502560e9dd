//! The `capacity` subcommand.

use crate::capacity::{CapacitySlope, measure};
use crate::report::ReportFormat;
use argh::FromArgs;
use std::fmt::Write as _;

/// Measure the slopes of docs/CAPACITY.md: memory, processor time and message sizes of the daemon's
/// own types.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
}

/// Runs the subcommand and returns its report.
pub fn run(args: &CapacityArgs) -> miette::Result<String> {
    let slopes = measure();
    Ok(args.format.render(&slopes, || text(&slopes)))
}

fn text(slopes: &[CapacitySlope]) -> String {
    let mut text = String::new();
    for slope in slopes {
        writeln!(text, "{:<64} {:>12.2} {}", slope.name, slope.value, slope.unit)
            .expect("writing to a string can't fail");
    }
    text
}
