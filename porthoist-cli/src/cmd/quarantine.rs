//! `porthoist quarantine`.

use crate::error::ToolError;
use argh::FromArgs;
use porthoist_core::{AnchoredClock, ClockSource as _, SuspectMark, UnixMillis};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::quarantine::{CrashRows, QuarantineTracker};
use porthoist_proxy::crashes::parse_crash_row;
use porthoist_proxy::{ControlTable, RowChange, RowSource, RowWriter, SourceError};
use porthoist_turist::StoreClient;
use slog::{Discard, Logger, o};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;

/// Show the requests and parts of prompts that crashed targets, and how long they are withheld from targets; or lift one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArgs {
    /// address of the platform's table service, IP:PORT
    #[argh(option)]
    table: SocketAddr,
    /// allow this request or part again: its mark or the first digits of the mark, as shown here and in the logs
    #[argh(option)]
    lift: Option<String>,
}

/// Runs the command.
pub async fn run(args: QuarantineArgs) -> Result<String, ToolError> {
    let metrics = MetricsHub::new().map_err(|error| ToolError::Endpoint(error.to_string()))?;
    let store = StoreClient::new(args.table, Arc::new(metrics), Logger::root(Discard, o!()));
    let rows = list_crashes(&store).await?;
    match args.lift {
        None => Ok(quarantine_text(&rows, AnchoredClock::new().now())),
        Some(digits) => lift_quarantine(&store, &rows, &digits).await,
    }
}

async fn list_crashes(store: &impl RowSource) -> Result<CrashRows, ToolError> {
    let listed = store.list(ControlTable::Crashes).await.map_err(|error| store_error(&error))?;
    let mut rows = CrashRows::new();
    for row in &listed.value {
        match parse_crash_row(row) {
            Ok((key, Some(report))) => drop(rows.insert(key, report)),
            Ok((_removed, None)) => {}
            Err(problem) => eprintln!("ignored unreadable crash row {}: {problem}", row.key),
        }
    }
    Ok(rows)
}

fn store_error(error: &SourceError) -> ToolError {
    ToolError::Endpoint(format!("failed to reach the table service: {error}"))
}

/// Removes the crash rows of the one request or part whose mark begins with `digits`.
async fn lift_quarantine(
    store: &impl RowWriter,
    rows: &CrashRows,
    digits: &str,
) -> Result<String, ToolError> {
    let mark = find_mark(rows, digits)?;
    let named = rows.keys().filter(|key| key.mark == mark);
    let changes: Vec<RowChange> = named.map(|key| RowChange { key: key.to_string(), value: None }).collect();
    let crashes = changes.len();
    store.write(changes).await.map_err(|error| store_error(&error))?;
    Ok(format!(
        "lifted the quarantine of {}, removed {crashes} crashes; takes effect at the entries within seconds\n",
        mark.short()
    ))
}

/// The request or part whose mark begins with `digits`, if exactly one does.
pub fn find_mark(rows: &CrashRows, digits: &str) -> Result<SuspectMark, ToolError> {
    let matches = |mark: &SuspectMark| !digits.is_empty() && mark.to_string().starts_with(digits);
    let mut marks: Vec<SuspectMark> = rows.keys().map(|key| key.mark).filter(matches).collect();
    marks.sort_unstable();
    marks.dedup();
    match marks[..] {
        [mark] => Ok(mark),
        [] => Err(ToolError::Missing(format!("no crash is recorded under a mark {digits:?}"))),
        _ => Err(ToolError::Missing(format!("{digits:?} is ambiguous: it begins {} marks", marks.len()))),
    }
}

/// Formats the requests and parts as text, those with the most crashes first.
pub fn quarantine_text(rows: &CrashRows, now: UnixMillis) -> String {
    let mut tracker = QuarantineTracker::default();
    tracker.apply_rows(rows, true, now);
    let mut crashes: BTreeMap<SuspectMark, Vec<String>> = BTreeMap::new();
    for (key, report) in rows {
        crashes.entry(key.mark).or_default().push(format!("{} ({})", key.target, report.by));
    }
    let mut lines: Vec<(std::cmp::Reverse<usize>, String)> = Vec::new();
    for (mark, mut targets) in crashes {
        targets.sort_unstable();
        let Some(block) = tracker.status(&mark, now) else { continue };
        let seconds = block.until.0.since(now).div_ceil(1_000);
        let (level, crashes) = (block.level.as_str(), targets.len());
        let line = format!("{}  {level:<11} {crashes:>6}  {seconds:>8}  {}", mark.short(), targets.join(" "));
        lines.push((std::cmp::Reverse(crashes), line));
    }
    if lines.is_empty() {
        return "nothing is held or quarantined\n".to_owned();
    }
    lines.sort();
    let mut text = "mark          level       deaths  kept (s)  targets that died (seen by)\n".to_owned();
    for (_crashes, line) in lines {
        writeln!(text, "{line}").expect("writing to a string can't fail");
    }
    text
}
