//! The `route` subcommand.

use crate::plot::{PlotLabels, PlotSeries, draw_lines};
use crate::report::{ReportFormat, rounded};
use crate::route::{POLICIES, RouteReport, RouteSettings, capacity, compare};
use argh::FromArgs;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Compare routing with delayed load reports with simple policies and an omniscient one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "route")]
pub struct RouteArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds (default 120)
    #[argh(option, default = "120")]
    seconds: u64,
    /// loads in percent of capacity, separated by commas (default 50,80,95,120)
    #[argh(option, default = "String::from(\"50,80,95,120\")")]
    loads: String,
    /// maximum delay of reports and cache events in milliseconds (default 2000)
    #[argh(option, default = "2000")]
    max_lag_ms: u64,
    /// factor by which the straggling target is slower (default 1.6)
    #[argh(option, default = "1.6")]
    straggler: f64,
    /// number of independent entries (default 3)
    #[argh(option, default = "3")]
    entries: usize,
    /// don't crash a target
    #[argh(switch)]
    no_death: bool,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
    /// SVG file for a plot of the p99 time to first token
    #[argh(option)]
    plot: Option<String>,
}

#[derive(Debug, Serialize)]
struct RouteComparison {
    seed: u64,
    capacity: f64,
    loads: BTreeMap<u32, BTreeMap<&'static str, RouteReport>>,
}

/// Runs the subcommand and returns its report.
pub fn run(args: &RouteArgs) -> miette::Result<String> {
    let settings = RouteSettings::builder()
        .seed(args.seed)
        .seconds(args.seconds)
        .max_lag_millis(args.max_lag_ms)
        .straggler(args.straggler)
        .entries(args.entries)
        .target_crash(!args.no_death)
        .build();
    let capacity = capacity(&settings);
    let mut loads = BTreeMap::new();
    for text in args.loads.split(',') {
        let percent: u32 =
            text.trim().parse().map_err(|_parse| miette::miette!("--loads: {text:?} is not a percentage"))?;
        loads.insert(percent, compare(&settings, capacity, f64::from(percent) / 100.0));
    }
    let comparison = RouteComparison { seed: args.seed, capacity: rounded(capacity), loads };
    if let Some(path) = &args.plot {
        plot(path, &comparison).map_err(miette::Report::msg)?;
    }
    Ok(args.format.render(&comparison, || text(&comparison)))
}

fn plot(path: &str, comparison: &RouteComparison) -> Result<(), String> {
    let labels = PlotLabels {
        title: "First token at the 99th percentile".to_owned(),
        x_label: "load (% of capacity)".to_owned(),
        y_label: "first token (ms)".to_owned(),
    };
    let line = |policy: &&'static str| PlotSeries {
        name: (*policy).to_owned(),
        points: comparison
            .loads
            .iter()
            .map(|(load, rows)| (f64::from(*load), rows[policy].first_token_p99))
            .collect(),
    };
    let series: Vec<PlotSeries> = POLICIES.iter().map(line).collect();
    draw_lines(Path::new(path), &labels, &series)
}

fn text(comparison: &RouteComparison) -> String {
    let mut text = format!("seed {}, capacity {:.1} requests/s\n", comparison.seed, comparison.capacity);
    for (load, rows) in &comparison.loads {
        writeln!(
            text,
            "{load}%: first token ms p50 p95 p99, of omniscient, misses, hits, refused, retries, hedges, goodput, refusal p99"
        )
        .expect("writing to a string can't fail");
        for policy in POLICIES {
            let row = &rows[policy];
            writeln!(
                text,
                "  {policy:<15} {:>7.1} {:>7.1} {:>7.1} {:>6.2} {:>7.4} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.1}",
                row.first_token_p50,
                row.first_token_p95,
                row.first_token_p99,
                row.ratio_omniscient,
                row.contract_misses,
                row.hit_rate,
                row.refused,
                row.retries,
                row.hedges,
                row.goodput,
                row.refusal_p99,
            )
            .expect("writing to a string can't fail");
        }
    }
    text
}
