//! The `storm` subcommand.

use crate::report::{ReportFormat, ratio, rounded};
use crate::route::simulation::{OUTAGE_MICROS, run as simulate};
use crate::route::{RouteResult, RouteSettings, capacity};
use argh::FromArgs;
use serde::Serialize;

/// Measure the effect of the outage of a whole zone: offers sent per request, and the time to
/// recover.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "storm")]
pub struct StormArgs {
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// load in percent of capacity (default 60)
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
    /// Offers per request in the whole run.
    offers_per_request: f64,
    /// Offers per request during the outage.
    offers_per_request_outage: f64,
    /// Fraction of requests not answered within the contract during the outage.
    misses_outage: f64,
    /// Seconds after the end of the outage until at most 1% of the requests in every later second
    /// are not answered within the contract.
    recovery_seconds: u64,
}

const RUN_SECONDS: u64 = 90;
const MAX_MISS_FRACTION: f64 = 0.01;
/// The last seconds of the run are left out, since their requests are not all answered when it
/// ends.
const TAIL_SECONDS: usize = 3;

/// Runs the subcommand and returns its report.
pub fn run(args: &StormArgs) -> miette::Result<String> {
    let settings = RouteSettings::builder()
        .seed(args.seed)
        .seconds(RUN_SECONDS)
        .target_crash(false)
        .zone_outage(true)
        .build();
    let steady = RouteSettings { zone_outage: false, ..settings };
    let rate = capacity(&steady) * f64::from(args.load) / 100.0;
    let result = simulate(&settings, "porthoist", rate);
    let report = report(args, &result);
    Ok(args.format.render(&report, || format!(
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
    let outage_start = (RUN_SECONDS / 2) as usize;
    let outage_end = outage_start + (OUTAGE_MICROS / 1_000_000) as usize;
    let requests: u64 = result.seconds.iter().map(|second| second.0).sum();
    let outage_seconds = &result.seconds[outage_start..outage_end];
    let asked: u64 = outage_seconds.iter().map(|second| second.0).sum();
    let missed: u64 = outage_seconds.iter().map(|second| second.1).sum();
    let measured_end = result.seconds.len().saturating_sub(TAIL_SECONDS);
    let exceeds_limit = |second: &(u64, u64)| second.1 as f64 > MAX_MISS_FRACTION * second.0 as f64;
    let seconds_after = result.seconds.get(outage_end..measured_end).unwrap_or_default();
    let recovery_seconds =
        seconds_after.iter().rposition(exceeds_limit).map_or(0, |second| second as u64 + 1);
    StormReport {
        seed: args.seed,
        load: args.load,
        offers_per_request: ratio(result.attempts as f64, requests as f64),
        offers_per_request_outage: ratio(result.outage.1 as f64, result.outage.0 as f64),
        misses_outage: rounded(missed as f64 / asked.max(1) as f64),
        recovery_seconds,
    }
}
