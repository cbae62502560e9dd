//! The `load` subcommand.

use crate::load::{LoadPlan, LoadResult, send};
use crate::report::{ReportFormat, rounded};
use argh::FromArgs;
use miette::IntoDiagnostic as _;
use serde::Serialize;

/// Measure an entry and its target in comparison with direct requests to the engine, in turns, on
/// loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// URL of the entry's listener for callers, http://127.0.0.1:PORT
    #[argh(option)]
    entry: String,
    /// URL of the engine
    #[argh(option)]
    direct: String,
    /// team (default demo)
    #[argh(option, default = "String::from(\"demo\")")]
    team: String,
    /// model (default demo-model)
    #[argh(option, default = "String::from(\"demo-model\")")]
    model: String,
    /// requests per second (default 2000)
    #[argh(option, default = "2000")]
    rate: u64,
    /// number of connections (default 32)
    #[argh(option, default = "32")]
    connections: usize,
    /// duration of each turn in milliseconds (default 4000)
    #[argh(option, default = "4000")]
    turn_ms: u64,
    /// number of turns for each side (default 3)
    #[argh(option, default = "3")]
    turns: usize,
    /// request streamed answers
    #[argh(switch)]
    stream: bool,
    /// tokens per answer (default 4)
    #[argh(option, default = "4")]
    tokens: u32,
    /// text or json
    #[argh(option, default = "ReportFormat::Text")]
    format: ReportFormat,
}

#[derive(Debug, Serialize)]
struct LoadReport {
    rate: u64,
    direct: Vec<LoadResult>,
    entry: Vec<LoadResult>,
    added_p50_ms: f64,
    added_p99_ms: f64,
    flat_out: LoadResult,
    flat_out_direct: LoadResult,
}

/// Maximum number of requests per second. The load is bounded because it is for loopback only.
const MAX_RATE: u64 = 50_000;

fn loopback_url(text: &str) -> miette::Result<String> {
    let uri: hyper::Uri = text.parse().into_diagnostic()?;
    let host = uri.host().unwrap_or("");
    if !matches!(host, "127.0.0.1" | "localhost" | "[::1]") {
        return Err(miette::miette!("{text:?}: load is sent to loopback only"));
    }
    Ok(text.trim_end_matches('/').to_owned() + "/v1/completions")
}

fn plan(args: &LoadArgs, url: String, team: &str) -> LoadPlan {
    let body = serde_json::json!({
        "model": args.model, "prompt": "receipt", "max_tokens": args.tokens, "stream": args.stream,
    });
    LoadPlan {
        url,
        team: team.to_owned(),
        body: body.to_string(),
        rate: args.rate.min(MAX_RATE),
        connections: args.connections,
        millis: args.turn_ms,
    }
}

/// Runs the subcommand and returns its report.
pub fn run(args: &LoadArgs) -> miette::Result<String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .into_diagnostic()?;
    let direct = plan(args, loopback_url(&args.direct)?, "");
    let entry = plan(args, loopback_url(&args.entry)?, &args.team);
    let report = runtime.block_on(measure(args, direct, entry));
    Ok(args.format.render(&report, || text(&report)))
}

async fn measure(args: &LoadArgs, direct: LoadPlan, entry: LoadPlan) -> LoadReport {
    let (mut direct_turns, mut entry_turns) = (Vec::new(), Vec::new());
    // The first turn of each side warms up connections and is not reported.
    send(&LoadPlan { millis: 500, ..direct.clone() }).await;
    send(&LoadPlan { millis: 500, ..entry.clone() }).await;
    for _ in 0..args.turns {
        direct_turns.push(send(&direct).await);
        entry_turns.push(send(&entry).await);
    }
    let flat_out_direct = send(&LoadPlan { rate: 0, ..direct }).await;
    let flat_out = send(&LoadPlan { rate: 0, ..entry }).await;
    let added_latency =
        |value: fn(&LoadResult) -> f64| rounded(median(&entry_turns, value) - median(&direct_turns, value));
    LoadReport {
        rate: args.rate,
        added_p50_ms: added_latency(|turn| turn.p50_ms),
        added_p99_ms: added_latency(|turn| turn.p99_ms),
        direct: direct_turns,
        entry: entry_turns,
        flat_out,
        flat_out_direct,
    }
}

fn median(turns: &[LoadResult], value: fn(&LoadResult) -> f64) -> f64 {
    let mut values: Vec<f64> = turns.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn line(name: &str, turn: &LoadResult) -> String {
    format!(
        "  {name:<9} {:>8.0} answers/s  p50 {:>7.3} ms  p99 {:>7.3} ms  p99.9 {:>7.3} ms  refused {}  failed {}\n",
        turn.answers_per_second, turn.p50_ms, turn.p99_ms, turn.p999_ms, turn.refused, turn.failed
    )
}

fn text(report: &LoadReport) -> String {
    let mut text = format!("{} requests/s, in turns\n", report.rate);
    for (direct, entry) in report.direct.iter().zip(&report.entry) {
        text += &line("direct", direct);
        text += &line("entry", entry);
    }
    let (p50, p99) = (report.added_p50_ms, report.added_p99_ms);
    text.push_str("added (median of turns): ");
    text.push_str(&[format!("p50 {p50:.3} ms"), format!("p99 {p99:.3} ms\n")].join(", "));
    text += "as fast as the connections allow\n";
    text += &line("direct", &report.flat_out_direct);
    text += &line("entry", &report.flat_out);
    text
}
