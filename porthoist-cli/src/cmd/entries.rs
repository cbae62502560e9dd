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

/// Time in which an entry must answer.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// Show what entries of the platform's roles believe, those that are behind first: the configuration in force, how old their
/// proofs are, cold targets, and zones that operators have emptied.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct EntriesArgs {
    /// metrics address of an entry, IP:PORT; may be given often
    #[argh(option)]
    metrics: Vec<SocketAddr>,
}

/// A zone that an entry takes for emptied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EmptiedSince {
    /// The zone.
    pub zone: String,
    /// Since when, as far as the entry knows.
    pub since: UnixMillis,
}

/// What one entry believes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryBelief {
    /// Version of the configuration in force; 0 before the first.
    pub version: u64,
    /// Milliseconds since the routes were proved to be the newest; nothing before that.
    pub routes_age: Option<u64>,
    /// The same for the targets.
    pub targets_age: Option<u64>,
    /// Questions to the table service that others could have spared it.
    pub asked: u64,
    /// Targets that it takes for cold.
    pub cold: u64,
    /// Zones that it takes for emptied.
    pub emptied: Vec<EmptiedSince>,
}

/// Runs the command.
pub async fn run(args: &EntriesArgs) -> Result<String, ToolError> {
    if args.metrics.is_empty() {
        return Err(ToolError::Missing("no entry is given: --metrics IP:PORT".to_owned()));
    }
    let asked = args.metrics.iter().map(|address| async move { (*address, ask(*address).await) });
    Ok(entries_text(join_all(asked).await, AnchoredClock::new().now()))
}

async fn ask(address: SocketAddr) -> Result<EntryBelief, String> {
    let request = Request::get(format!("http://{address}/metrics")).body(Full::default());
    let request = request.map_err(|error| error.to_string())?;
    let client = HttpClient::new();
    let answer = tokio::time::timeout(ANSWER_TIME, client.fetch(request)).await;
    let answer = answer.map_err(|_elapsed| "no answer in time".to_owned())?;
    let answer = answer.map_err(|error| error.to_string())?;
    Ok(read_metrics(&String::from_utf8_lossy(answer.body())))
}

/// Reads an entry's metrics as it exports them.
pub fn read_metrics(text: &str) -> EntryBelief {
    let mut belief = EntryBelief::default();
    for (name, label, number) in text.lines().filter_map(sample) {
        match (name, label) {
            ("porthoist_config_revision", _) => belief.version = number,
            ("porthoist_belief_age_milliseconds", "routes") => belief.routes_age = Some(number),
            ("porthoist_belief_age_milliseconds", "targets") => belief.targets_age = Some(number),
            ("porthoist_table_asked_total", _) => belief.asked += number,
            ("porthoist_cold_targets", _) => belief.cold = number,
            ("porthoist_zone_emptied_since_milliseconds", zone) if number > 0 => {
                belief.emptied.push(EmptiedSince { zone: zone.to_owned(), since: UnixMillis(number) });
            }
            _ => {}
        }
    }
    belief
}

/// Name, first label's value and number of a line; nothing of comments and what is no whole number.
fn sample(line: &str) -> Option<(&str, &str, u64)> {
    let (series, number) = line.rsplit_once(' ')?;
    let number: f64 = number.parse().ok()?;
    let (name, labels) = series.split_once('{').unwrap_or((series, ""));
    let label = labels.split('"').nth(1).unwrap_or_default();
    (number >= 0.0).then_some((name, label, number as u64))
}

/// What entries believe, for people.
pub fn entries_text(mut entries: Vec<(SocketAddr, Result<EntryBelief, String>)>, now: UnixMillis) -> String {
    // Those without an answer first, then by version and by how old the proof of the routes is.
    entries.sort_by_key(|(address, belief)| {
        let rank = belief.as_ref().ok().map(|belief| (belief.version, Reverse(belief.routes_age)));
        (rank, *address)
    });
    let mut text =
        "entry                  version  routes (ms)  targets (ms)  own questions  cold  emptied zones\n"
            .to_owned();
    for (address, belief) in &entries {
        let line = match belief {
            Ok(belief) => belief_line(belief, now),
            Err(problem) => problem.clone(),
        };
        writeln!(text, "{:<21}  {line}", address.to_string()).expect("a string takes all");
    }
    text
}

fn belief_line(belief: &EntryBelief, now: UnixMillis) -> String {
    let age = |age: Option<u64>| age.map_or_else(|| "-".to_owned(), |age| age.to_string());
    let emptied = belief.emptied.iter().map(|emptied| {
        let EmptiedSince { zone, since } = emptied;
        format!("{zone} for {} s", now.since(*since) / 1_000)
    });
    let emptied: Vec<String> = emptied.collect();
    let emptied = if emptied.is_empty() { "-".to_owned() } else { emptied.join(", ") };
    let EntryBelief { version, routes_age, targets_age, asked, cold, .. } = belief;
    let (routes, targets) = (age(*routes_age), age(*targets_age));
    format!("{version:>7}  {routes:>11}  {targets:>12}  {asked:>13}  {cold:>4}  {emptied}")
}
