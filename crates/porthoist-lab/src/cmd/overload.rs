//! The `overload` subcommand.

use crate::overload::callers::CallerLoad;
use crate::overload::{OverloadReport, OverloadSettings, compare};
use crate::plot::{PlotLabels, draw_lines, named_series};
use crate::report::ReportFormat;
use argh::FromArgs;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Simulated steady loads as fractions of the group's capacity.
const STEADY_LOADS: [f64; 6] = [0.6, 0.8, 1.0, 1.2, 1.4, 1.6];
/// Simulated outages, in seconds.
const OUTAGE_SECONDS: [u64; 4] = [1, 3, 6, 10];

/// Compare queueing and refusals under overload with fixed rules and an omniscient one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct OverloadArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds (default 40)
    #[argh(option, default = "40")]
    seconds: u64,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
    /// SVG file for a plot of the credit against the steady load
    #[argh(option)]
    plot: Option<String>,
}

#[derive(Debug, Serialize)]
struct LoadRows {
    load: String,
    #[serde(skip)]
    steady: Option<f64>,
    rules: BTreeMap<&'static str, OverloadReport>,
}

fn loads() -> Vec<(String, CallerLoad)> {
    let steady = STEADY_LOADS.map(|fraction| (format!("steady {fraction:.1}"), CallerLoad::Steady(fraction)));
    let outages = OUTAGE_SECONDS.map(|seconds| (format!("down {seconds} s"), CallerLoad::Outage(seconds)));
    let others = [
        ("rush".to_owned(), CallerLoad::Rush),
        ("shifts".to_owned(), CallerLoad::Shifts),
        ("impatient 1.3".to_owned(), CallerLoad::Impatient),
    ];
    steady.into_iter().chain(others).chain(outages).collect()
}

/// Runs the subcommand and returns its report.
pub fn run(args: &OverloadArgs) -> miette::Result<String> {
    let simulate = |(name, load): (String, CallerLoad)| {
        let settings = OverloadSettings::builder().seed(args.seed).load(load).seconds(args.seconds).build();
        let steady = if let CallerLoad::Steady(fraction) = load { Some(fraction) } else { None };
        LoadRows { load: name, steady, rules: compare(&settings) }
    };
    let all: Vec<LoadRows> = loads().into_iter().map(simulate).collect();
    if let Some(path) = &args.plot {
        plot(path, &all).map_err(miette::Report::msg)?;
    }
    Ok(args.format.render(&all, || text(args, &all)))
}

fn plot(path: &str, all: &[LoadRows]) -> Result<(), String> {
    let labels = PlotLabels {
        title: "Credit a stream under steady load".to_owned(),
        x_label: "load, as part of what the group bears".to_owned(),
        y_label: "credit".to_owned(),
    };
    let names: Vec<&'static str> =
        all.first().map_or_else(Vec::new, |rows| rows.rules.keys().copied().collect());
    let points = |name: &'static str| {
        all.iter().filter_map(|rows| Some((rows.steady?, rows.rules[name].credit))).collect()
    };
    draw_lines(Path::new(path), &labels, &named_series(&names, points))
}

fn text(args: &OverloadArgs, all: &[LoadRows]) -> String {
    let mut text = format!("seed {}, {} s\n", args.seed, args.seconds);
    text.push_str("load          rule          credit in time   late refused  twice   left  wait p99 ms\n");
    for rows in all {
        for (name, row) in &rows.rules {
            writeln!(
                text,
                "{:<13} {name:<12} {:>7.3} {:>7.3} {:>6.3} {:>7.3} {:>6.3} {:>6.3} {:>8.1}",
                rows.load,
                row.credit,
                row.in_time,
                row.late,
                row.refused_once,
                row.refused_twice,
                row.left,
                row.refused_wait_p99,
            )
            .expect("writing to a string can't fail");
        }
    }
    text
}
