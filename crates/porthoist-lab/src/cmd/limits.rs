//! The `limits` subcommand.

use crate::limits::{LimitReport, LimitSettings, run as run_case};
use crate::report::ReportFormat;
use argh::FromArgs;
use serde::Serialize;
use std::fmt::Write as _;

/// Measure team limits under skewed arrivals, a network partition and replaced entries, with 10 and
/// with 41,000 teams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "limits")]
pub struct LimitsArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds (default 300)
    #[argh(option, default = "300")]
    seconds: u64,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
}

#[derive(Debug, Serialize)]
struct LimitComparison {
    seed: u64,
    cases: Vec<LimitReport>,
}

/// Runs the subcommand and returns its report.
pub fn run(args: &LimitsArgs) -> miette::Result<String> {
    let small = |skew: f64| {
        let base = LimitSettings::builder().seed(args.seed).seconds(args.seconds);
        base.teams(10).entries(3).rate(600.0).skew(skew)
    };
    // One zone at the size expected in two years: a ninth of 570 entries and of 10,000 requests per
    // second.
    let large =
        LimitSettings::builder().seed(args.seed).seconds(args.seconds).teams(41_000).entries(63).rate(1111.0);
    let cases = vec![
        run_case(&small(0.0).build(), "10 teams, 3 entries, even"),
        run_case(&small(0.9).build(), "10 teams, 3 entries, 9 in 10 at one entry"),
        run_case(&small(0.9).partition(true).build(), "10 teams, 3 entries, skewed, cut for 10 s"),
        run_case(&small(0.9).replace(true).build(), "10 teams, 3 entries, skewed, one replaced every 5 s"),
        run_case(&large.skew(0.3).build(), "41,000 teams, 63 entries, 3 in 10 at one entry"),
    ];
    let comparison = LimitComparison { seed: args.seed, cases };
    Ok(args.format.render(&comparison, || text(&comparison)))
}

fn text(comparison: &LimitComparison) -> String {
    let mut text = format!(
        "seed {}: over, over in the cut, unused, refused below limit, messages/s, bytes/s\n",
        comparison.seed
    );
    for case in &comparison.cases {
        writeln!(
            text,
            "  {:<48} {:>7.4} {:>7.4} {:>7.4} {:>7.4} {:>7.2} {:>8.1}",
            case.case,
            case.over_admission,
            case.over_admission_cut,
            case.unused,
            case.refused_below_limit,
            case.messages_per_second,
            case.bytes_per_second,
        )
        .expect("writing to a string can't fail");
    }
    text
}
