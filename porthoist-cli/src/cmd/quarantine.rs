//! `porthoist quarantine`.

use crate::error::ToolError;
use argh::FromArgs;
use porthoist_core::{AnchoredClock, ClockSource as _, RequestMark, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::quarantine::{CrashRows, QuarantineTracker};
use porthoist_proxy::crashes::read_row;
use porthoist_proxy::{ControlTable, RowChange, RowSource, RowWriter, SourceError};
use porthoist_turist::StoreClient;
use slog::{Discard, Logger, o};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;

/// Show the requests that targets died under, and until when they are kept from targets; or lift one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArgs {
    /// the platform's table service, IP:PORT
    #[argh(option)]
    table: SocketAddr,
    /// send this request to targets again: its mark or the mark's first digits, as shown and as in the logs
    #[argh(option)]
    lift: Option<String>,
}

/// Runs the command.
pub async fn run(args: QuarantineArgs) -> Result<String, ToolError> {
    let metrics = MetricsHub::new().map_err(|error| ToolError::Endpoint(error.to_string()))?;
    let store = StoreClient::new(args.table, Arc::new(metrics), Logger::root(Discard, o!()));
    let rows = deaths(&store).await?;
    match args.lift {
        None => Ok(quarantine_text(&rows, AnchoredClock::new().now())),
        Some(digits) => lift(&store, &rows, &digits).await,
    }
}

async fn deaths(store: &impl RowSource) -> Result<CrashRows, ToolError> {
    let listed = store.list(ControlTable::Crashes).await.map_err(|error| unreached(&error))?;
    let mut rows = CrashRows::new();
    for row in &listed.value {
        match read_row(row) {
            Ok((key, Some(report))) => drop(rows.insert(key, report)),
            Ok((_removed, None)) => {}
            Err(problem) => eprintln!("{} can't be read and accuses nobody: {problem}", row.key),
        }
    }
    Ok(rows)
}

fn unreached(error: &SourceError) -> ToolError {
    ToolError::Endpoint(format!("the table service does not answer: {error}"))
}

/// Removes the rows of the one request whose mark begins with some digits.
async fn lift(store: &impl RowWriter, rows: &CrashRows, digits: &str) -> Result<String, ToolError> {
    let mark = find_mark(rows, digits)?;
    let named = rows.keys().filter(|key| key.mark == mark);
    let changes: Vec<RowChange> = named.map(|key| RowChange { key: key.to_string(), value: None }).collect();
    let deaths = changes.len();
    store.write(changes).await.map_err(|error| unreached(&error))?;
    Ok(format!("{} is lifted, {deaths} deaths removed; entries hear of it within seconds\n", mark.short()))
}

/// The request whose mark begins with some digits, if they name one and no other.
pub fn find_mark(rows: &CrashRows, digits: &str) -> Result<RequestMark, ToolError> {
    let begins = |mark: &RequestMark| !digits.is_empty() && mark.to_string().starts_with(digits);
    let mut marks: Vec<RequestMark> = rows.keys().map(|key| key.mark).filter(begins).collect();
    marks.sort_unstable();
    marks.dedup();
    match marks[..] {
        [mark] => Ok(mark),
        [] => Err(ToolError::Missing(format!("nothing is held against a request {digits:?}"))),
        _ => Err(ToolError::Missing(format!("{digits:?} begins the marks of {} requests", marks.len()))),
    }
}

/// The requests for people, those with most deaths first.
pub fn quarantine_text(rows: &CrashRows, now: UnixMillis) -> String {
    let mut book = QuarantineTracker::default();
    book.apply_rows(rows, true, now);
    let mut targets: BTreeMap<RequestMark, Vec<&str>> = BTreeMap::new();
    for key in rows.keys() {
        targets.entry(key.mark).or_default().push(&key.target);
    }
    let mut lines: Vec<(std::cmp::Reverse<usize>, String)> = Vec::new();
    for (mark, mut targets) in targets {
        targets.sort_unstable();
        let Some(kept) = book.status(&mark, now) else { continue };
        let seconds = kept.until.0.since(now).div_ceil(1_000);
        let (level, deaths) = (kept.level.as_str(), targets.len());
        let line = format!("{}  {level:<11} {deaths:>6}  {seconds:>8}  {}", mark.short(), targets.join(" "));
        lines.push((std::cmp::Reverse(deaths), line));
    }
    if lines.is_empty() {
        return "nothing is held against any request\n".to_owned();
    }
    lines.sort();
    let mut text = "request       level       deaths  kept (s)  targets that died\n".to_owned();
    for (_deaths, line) in lines {
        writeln!(text, "{line}").expect("a string takes all");
    }
    text
}
