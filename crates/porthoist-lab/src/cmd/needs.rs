//! The `needs` subcommand.

use crate::report::ReportFormat;
use crate::target_limits::{LimitMethod, TargetLimitReport, TargetLimitSettings, simulate};
use argh::FromArgs;
use porthoist_core::RequestRate;
use serde::Serialize;
use std::fmt::Write as _;

/// Compare methods to enforce the rate limit that a target announces across 3 to 600 entries that
/// can't communicate.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "needs")]
pub struct NeedsArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// the limit, in requests per second (default 1)
    #[argh(option, default = "RequestRate(1.0)")]
    limit: RequestRate,
    /// simulated seconds (default 300)
    #[argh(option, default = "300")]
    seconds: u64,
    /// maximum clock offset between entries, in milliseconds (default 0)
    #[argh(option, default = "0")]
    clocks_apart: u64,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
}

/// Simulated numbers of entries, from the present size to the size expected in two years.
const ENTRY_COUNTS: [u32; 5] = [3, 7, 42, 149, 600];

#[derive(Debug, Serialize)]
struct EntriesCase {
    entries: u32,
    ways: Vec<TargetLimitReport>,
}

/// Runs the subcommand and returns its report.
pub fn run(args: &NeedsArgs) -> miette::Result<String> {
    let cases = ENTRY_COUNTS.map(|entries| {
        let settings = TargetLimitSettings::builder().seed(args.seed).entries(entries).limit(args.limit);
        let settings = settings.seconds(args.seconds).max_clock_offset_millis(args.clocks_apart).build();
        EntriesCase { entries, ways: LimitMethod::ALL.map(|method| simulate(&settings, method)).into() }
    });
    Ok(args.format.render(&cases, || text(args, &cases)))
}

fn text(args: &NeedsArgs, cases: &[EntriesCase]) -> String {
    let mut text = format!("seed {}, limit {}: most in 4 s (allowed), part used\n", args.seed, args.limit);
    for EntriesCase { entries, ways } in cases {
        for TargetLimitReport { way, most, allowed, used } in ways {
            writeln!(text, "  {entries:>4} entries  {:<24} {most:>5} ({allowed})  {used:.3}", way.as_str())
                .expect("writing to a string can't fail");
        }
    }
    text
}
