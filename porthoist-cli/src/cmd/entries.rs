//! `porthoist entries`.

use crate::error::ToolError;
use argh::FromArgs;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Request;
use porthoist_core::{AnchoredClock, ClockSource as _, UnixMillis};
use porthoist_http::HttpClient;
use std::cmp::Reverse;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a query to an entry.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Show the state of entries of the proxy role, those that lag behind first: the configuration in force, how
/// long ago it was confirmed as the newest, cold targets, and zones that operators have emptied.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct EntriesArgs {
    /// metrics address of an entry, IP:PORT; may be repeated
    #[argh(option)]
    metrics: Vec<SocketAddr>,
}

/// A zone that an entry considers emptied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EmptiedZone {
    /// The zone.
    pub zone: String,
    /// Since when, as known to the entry.
    pub since: UnixMillis,
}

/// The state of one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryState {
    /// Version of the configuration in force; 0 before the first.
    pub version: u64,
    /// Milliseconds since the routes were last confirmed as the newest; `None` if they never were.
    pub routes_age: Option<u64>,
    /// Milliseconds since the targets were last confirmed as the newest; `None` if they never were.
    pub targets_age: Option<u64>,
    /// Queries that this entry sent to the table service although other processes could have answered them.
    pub queries: u64,
    /// Number of targets considered cold.
    pub cold: u64,
    /// Zones considered emptied.
    pub emptied: Vec<EmptiedZone>,
}

/// Runs the command.
pub async fn run(args: &EntriesArgs) -> Result<String, ToolError> {
    if args.metrics.is_empty() {
        return Err(ToolError::Missing("no entry given: pass --metrics IP:PORT".to_owned()));
    }
    let queries = args.metrics.iter().map(|address| async move { (*address, query_entry(*address).await) });
    Ok(entries_text(join_all(queries).await, AnchoredClock::new().now()))
}

/// Maximum size of an entry's metrics in bytes. All entries are asked at once.
const MAX_METRICS_BYTES: usize = 1024 * 1024;

async fn query_entry(address: SocketAddr) -> Result<EntryState, String> {
    let request = Request::get(format!("http://{address}/metrics")).body(Full::default());
    let request = request.map_err(|error| error.to_string())?;
    let client = HttpClient::with_answer_bytes(MAX_METRICS_BYTES);
    let answer = tokio::time::timeout(QUERY_TIMEOUT, client.fetch_framed(request)).await;
    let answer = answer.map_err(|_elapsed| "no answer in time".to_owned())?;
    let answer = answer.map_err(|error| error.to_string())?;
    Ok(read_metrics(&String::from_utf8_lossy(answer.body())))
}

/// Parses the metrics exported by an entry.
pub fn read_metrics(text: &str) -> EntryState {
    let mut state = EntryState::default();
    for (name, label, number) in text.lines().filter_map(parse_sample) {
        match (name, label) {
            ("porthoist_config_revision", _) => state.version = number,
            ("porthoist_belief_age_milliseconds", "routes") => state.routes_age = Some(number),
            ("porthoist_belief_age_milliseconds", "targets") => state.targets_age = Some(number),
            ("porthoist_table_asked_total", _) => state.queries += number,
            ("porthoist_cold_targets", _) => state.cold = number,
            ("porthoist_zone_emptied_since_milliseconds", zone) if number > 0 => {
                state.emptied.push(EmptiedZone { zone: zone.to_owned(), since: UnixMillis(number) });
            }
            _ => {}
        }
    }
    state
}

/// Name, first label value and number of a metrics line; `None` for comments and negative numbers.
fn parse_sample(line: &str) -> Option<(&str, &str, u64)> {
    let (series, number) = line.rsplit_once(' ')?;
    let number: f64 = number.parse().ok()?;
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    let label = labels.split('"').nth(1).unwrap_or_default();
    (number >= 0.0).then_some((name, label, number as u64))
}

/// Formats the states of entries as text.
pub fn entries_text(mut entries: Vec<(SocketAddr, Result<EntryState, String>)>, now: UnixMillis) -> String {
    // Entries without an answer first, then by version and by the age of the routes.
    entries.sort_by_key(|(address, state)| {
        let rank = state.as_ref().ok().map(|state| (state.version, Reverse(state.routes_age)));
        (rank, *address)
    });
    let mut text =
        "entry                  version  routes (ms)  targets (ms)  own questions  cold  emptied zones\n"
            .to_owned();
    for (address, state) in &entries {
        let line = match state {
            Ok(state) => entry_line(state, now),
            Err(problem) => problem.clone(),
        };
        writeln!(text, "{:<21}  {line}", address.to_string()).expect("writing to a string can't fail");
    }
    text
}

fn entry_line(state: &EntryState, now: UnixMillis) -> String {
    let age = |age: Option<u64>| age.map_or_else(|| "-".to_owned(), |age| age.to_string());
    let emptied = state.emptied.iter().map(|emptied| {
        let EmptiedZone { zone, since } = emptied;
        format!("{zone} for {} s", now.since(*since) / 1_000)
    });
    let emptied: Vec<String> = emptied.collect();
    let emptied = if emptied.is_empty() { "-".to_owned() } else { emptied.join(", ") };
    let EntryState { version, routes_age, targets_age, queries, cold, .. } = state;
    let (routes, targets) = (age(*routes_age), age(*targets_age));
    format!("{version:>7}  {routes:>11}  {targets:>12}  {queries:>13}  {cold:>4}  {emptied}")
}
