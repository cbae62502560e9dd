//! `porthoist-lab storm`.

use crate::report::{ReportFormat, ratio, rounded};
use crate::route::simulation::{OUTAGE_MICROS, run as simulate};
use crate::route::{RouteResult, RouteSettings, capacity};
use argh::FromArgs;
use serde::Serialize;

/// Measure what an outage of a whole zone does: offers sent for each request, and the time to recover.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "storm")]
pub struct StormArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// load as a percentage of capacity (default 60)
    #[argh(option, default = "60")]
    load: u32,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
}

#[derive(Debug, Serialize)]
struct StormReport {
    seed: u64,
    load: u32,
    /// Offers for each request in the whole run.
    offers_per_request: f64,
    /// The same while the zone is dead.
    offers_per_request_outage: f64,
    /// Part of the requests out of the contract while the zone is dead.
    misses_outage: f64,
    /// Seconds after the zone's return until at most one in a hundred is out of the contract, for good.
    recovery_seconds: u64,
}

const SECONDS: u64 = 90;
const ACCEPTED_MISSES: f64 = 0.01;
/// Requests of the run's last seconds have not all been answered when it ends.
const TAIL_SECONDS: usize = 3;

/// Runs the command.
pub fn run(args: &StormArgs) -> miette::Result<String> {
    let settings = RouteSettings::builder()
        .seed(args.seed)
        .seconds(SECONDS)
        .target_crash(false)
        .zone_outage(true)
        .build();
    let steady = RouteSettings { zone_outage: false, ..settings };
    let rate = capacity(&steady) * f64::from(args.load) / 100.0;
    let result = simulate(&settings, "porthoist", rate);
    let report = report(args, &result);
    Ok(args.format.show(&report, || format!(
            "seed {}, {}% of capacity, a third of the targets dead for 10 s: {} offers a request, {} in the outage, \
             {} out of contract in it, recovered after {} s",
            report.seed,
            report.load,
            report.offers_per_request,
            report.offers_per_request_outage,
            report.misses_outage,
            report.recovery_seconds
        )))
}

fn report(args: &StormArgs, result: &RouteResult) -> StormReport {
    let outage_start = (SECONDS / 2) as usize;
    let outage_end = outage_start + (OUTAGE_MICROS / 1_000_000) as usize;
    let all: u64 = result.seconds.iter().map(|second| second.0).sum();
    let outage_seconds = &result.seconds[outage_start..outage_end];
    let asked: u64 = outage_seconds.iter().map(|second| second.0).sum();
    let missed: u64 = outage_seconds.iter().map(|second| second.1).sum();
    let last = result.seconds.len().saturating_sub(TAIL_SECONDS);
    let bad = |second: &(u64, u64)| second.1 as f64 > ACCEPTED_MISSES * second.0 as f64;
    let after = result.seconds.get(outage_end..last).unwrap_or_default();
    let recovery = after.iter().rposition(bad).map_or(0, |second| second as u64 + 1);
    StormReport {
        seed: args.seed,
        load: args.load,
        offers_per_request: ratio(result.attempts as f64, all as f64),
        offers_per_request_outage: ratio(result.outage.1 as f64, result.outage.0 as f64),
        misses_outage: rounded(missed as f64 / asked.max(1) as f64),
        recovery_seconds: recovery,
    }
}
