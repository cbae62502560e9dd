//! The `experts` subcommand.

use crate::experts::{ExpertsSettings, PolicyReport, PolicyResult, report, run as run_policies};
use crate::plot::{PlotLabels, PlotSeries, draw_lines};
use crate::report::ReportFormat;
use argh::FromArgs;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Compare expert placement under drifting popularity with a static map, a full re-balance and an
/// oracle.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "experts")]
pub struct ExpertsArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of ranks: 8 or 64 (default both)
    #[argh(option)]
    ranks: Option<usize>,
    /// simulated seconds (default 1800)
    #[argh(option, default = "1800")]
    seconds: u64,
    /// delay after which popularity is known, in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    lag_ms: u64,
    /// factor on the mean time between jumps and between stragglers (default 1)
    #[argh(option, default = "1.0")]
    calm: f64,
    /// factor on the cost of loading experts: bytes and stalls (default 1)
    #[argh(option, default = "1.0")]
    cost: f64,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
    /// SVG file for a plot of the skew over time; RANKS in its name is replaced by the number of
    /// ranks
    #[argh(option)]
    plot: Option<String>,
}

#[derive(Debug, Serialize)]
struct ExpertsReport {
    seed: u64,
    seconds: u64,
    lag_ms: u64,
    groups: BTreeMap<usize, BTreeMap<String, PolicyReport>>,
}

fn settings(args: &ExpertsArgs, ranks: usize) -> ExpertsSettings {
    // A quarter more slots than experts in total; with 64 ranks, three slots per rank.
    let slots = if ranks >= 64 { 3 } else { 128 * 5 / 4 / ranks };
    let mut drift = crate::experts::drift::DriftSettings::default();
    drift.jump_interval_seconds *= args.calm;
    drift.straggler_interval_seconds *= args.calm;
    let defaults = ExpertsSettings::builder().ranks(ranks).slots(slots).seed(args.seed).build();
    ExpertsSettings {
        seconds: args.seconds,
        lag_millis: args.lag_ms,
        expert_bytes: (defaults.expert_bytes as f64 * args.cost) as u64,
        switch_stall_millis: defaults.switch_stall_millis * args.cost,
        load_stall_millis: defaults.load_stall_millis * args.cost,
        drift,
        ..defaults
    }
}

/// Runs the subcommand and returns its report.
pub fn run(args: &ExpertsArgs) -> miette::Result<String> {
    let sizes = args.ranks.map_or_else(|| vec![8, 64], |ranks| vec![ranks]);
    let mut groups = BTreeMap::new();
    for ranks in sizes {
        let results = run_policies(&settings(args, ranks));
        if let Some(path) = &args.plot {
            plot(&path.replace("RANKS", &ranks.to_string()), ranks, &results).map_err(miette::Report::msg)?;
        }
        groups.insert(ranks, report(&results));
    }
    let comparison = ExpertsReport { seed: args.seed, seconds: args.seconds, lag_ms: args.lag_ms, groups };
    Ok(args.format.render(&comparison, || text(&comparison)))
}

fn plot(path: &str, ranks: usize, results: &BTreeMap<String, PolicyResult>) -> Result<(), String> {
    let labels = PlotLabels {
        title: format!("Step-time skew of {ranks} ranks, mean of ten seconds"),
        x_label: "time (s)".to_owned(),
        y_label: "skew (ms)".to_owned(),
    };
    let line = |(name, result): (&String, &PolicyResult)| PlotSeries {
        name: name.clone(),
        points: result.skew_over_time.clone(),
    };
    let series: Vec<PlotSeries> = results.iter().map(line).collect();
    draw_lines(Path::new(path), &labels, &series)
}

fn text(comparison: &ExpertsReport) -> String {
    let mut text = format!(
        "seed {}, {} s, popularity {} ms late\n",
        comparison.seed, comparison.seconds, comparison.lag_ms
    );
    for (ranks, rows) in &comparison.groups {
        writeln!(
            text,
            "{ranks} ranks: skew ms p50 p99, step ms p99, GB moved, stall ms, gap closed, bytes of full"
        )
        .expect("writing to a string can't fail");
        for (name, row) in rows {
            let bytes = row.ratio_full.get("bytes_moved").copied().unwrap_or(0.0);
            writeln!(
                text,
                "  {name:<10} {:>7.3} {:>7.3} {:>7.3} {:>8.2} {:>8.1} {:>6.3} {bytes:>6.3}",
                row.skew_p50,
                row.skew_p99,
                row.step_time_p99,
                row.bytes_moved as f64 / 1e9,
                row.stall_ms,
                row.gap_closed_p99,
            )
            .expect("writing to a string can't fail");
        }
    }
    text
}
