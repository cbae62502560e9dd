//! The `groups` subcommand.

use crate::overload::groups::{GroupFault, GroupsReport, compare};
use crate::plot::{PlotLabels, draw_lines, named_series};
use crate::report::ReportFormat;
use argh::FromArgs;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Compare ways to treat the groups of a service while one of three is slow, held or cut off.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "groups")]
pub struct GroupsArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated seconds (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
    /// SVG file for a plot of the credit by fault, in the order of the text report
    #[argh(option)]
    plot: Option<String>,
}

#[derive(Debug, Serialize)]
struct FaultRows {
    fault: &'static str,
    ways: BTreeMap<&'static str, GroupsReport>,
}

/// Runs the subcommand and returns its report.
pub fn run(args: &GroupsArgs) -> miette::Result<String> {
    let simulate =
        |fault: GroupFault| FaultRows { fault: fault.name(), ways: compare(fault, args.seconds, args.seed) };
    let all: Vec<FaultRows> = GroupFault::ALL.into_iter().map(simulate).collect();
    if let Some(path) = &args.plot {
        plot(path, &all).map_err(miette::Report::msg)?;
    }
    Ok(args.format.render(&all, || text(args, &all)))
}

fn plot(path: &str, all: &[FaultRows]) -> Result<(), String> {
    let labels = PlotLabels {
        title: "Credit a stream while one of three groups is disturbed".to_owned(),
        x_label: all.iter().map(|rows| rows.fault).collect::<Vec<_>>().join(", "),
        y_label: "credit".to_owned(),
    };
    let names: Vec<&'static str> =
        all.first().map_or_else(Vec::new, |rows| rows.ways.keys().copied().collect());
    let points = |name: &'static str| {
        all.iter().enumerate().map(|(index, rows)| (index as f64, rows.ways[name].credit)).collect()
    };
    draw_lines(Path::new(path), &labels, &named_series(&names, points))
}

fn text(args: &GroupsArgs, all: &[FaultRows]) -> String {
    let mut text = format!("seed {}, {} s\n", args.seed, args.seconds);
    text.push_str("fault     way        credit in time   late   lost  moves\n");
    for rows in all {
        for (name, row) in &rows.ways {
            let GroupsReport { credit, in_time, late, lost, moves, .. } = row;
            writeln!(
                text,
                "{:<9} {name:<10} {credit:>6.3} {in_time:>7.3} {late:>6.3} {lost:>6.3} {moves:>6.3}",
                rows.fault
            )
            .expect("writing to a string can't fail");
        }
    }
    text
}
