//! Reads log lines, and selects those about one request from the logs of all processes.
//!
//! Lines are JSON objects as written by the daemon; anything before the object, such as a collector's prefix,
//! is skipped. Lines of the same hosts without a request are included if they were written shortly before or
//! during the request.

use serde_json::{Map, Value};
use std::fmt::Write as _;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// How long before the request's first line other lines are included, in milliseconds: as long as a proof of
/// the newest configuration is valid.
const CONTEXT_MILLIS: i64 = 5_000;
/// Fields that are not listed: they are shown elsewhere in the line or do not concern the request.
const HIDDEN_FIELDS: [&str; 7] = ["msg", "level", "ts", "host", "role", "event", "request"];

/// A log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time in Unix milliseconds.
    pub millis: i64,
    /// Host that wrote the line.
    pub host: String,
    /// The message.
    pub message: String,
    /// Request the line is about, if any.
    pub request: Option<String>,
    fields: Map<String, Value>,
}

impl LogLine {
    /// The kind of event.
    pub fn event(&self) -> &str {
        self.text("event")
    }

    /// A text field; empty if missing.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field that is an unsigned integer.
    pub fn unsigned(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// A field that is a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// A boolean field; false if missing.
    pub fn flag(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or_default()
    }
}

/// Parses the lines of a log. Also returns the numbers (from 1) of lines that are not JSON objects with a
/// time.
pub fn read_log(text: &str) -> (Vec<LogLine>, Vec<usize>) {
    let mut lines = Vec::new();
    let mut unreadable = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_index, line)| !line.trim().is_empty()) {
        match parse_line(line) {
            Some(line) => lines.push(line),
            None => unreadable.push(index + 1),
        }
    }
    (lines, unreadable)
}

fn parse_line(line: &str) -> Option<LogLine> {
    let object = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let millis = unix_millis(fields.get("ts")?.as_str()?)?;
    let request = fields.get("request").and_then(Value::as_str).map(str::to_owned);
    Some(LogLine { millis, host: text("host"), message: text("msg"), request, fields })
}

/// Converts an RFC 3339 time to Unix milliseconds.
fn unix_millis(text: &str) -> Option<i64> {
    let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    i64::try_from(time.unix_timestamp_nanos() / 1_000_000).ok()
}

/// The lines about a request and their context, sorted by time.
pub fn lines_about(request: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let own = |line: &&LogLine| line.request.as_deref() == Some(request);
    let Some(first) = lines.iter().filter(own).map(|line| line.millis).min() else { return Vec::new() };
    let last = lines.iter().filter(own).map(|line| line.millis).max().unwrap_or(first);
    let hosts: Vec<String> = lines.iter().filter(own).map(|line| line.host.clone()).collect();
    let is_context = |line: &LogLine| {
        let context = line.request.is_none() && hosts.contains(&line.host);
        context && (first - CONTEXT_MILLIS..=last).contains(&line.millis)
    };
    let mut selected: Vec<LogLine> = lines
        .into_iter()
        .filter(|line| line.request.as_deref() == Some(request) || is_context(line))
        .collect();
    selected.sort_by_key(|line| line.millis);
    selected
}

/// Formats the lines as text: milliseconds since the request's first line, host, message and fields.
pub fn lines_text(selected: &[LogLine]) -> String {
    let first = selected.iter().find(|line| line.request.is_some()).map_or(0, |line| line.millis);
    let mut text = String::new();
    for line in selected {
        let marker = if line.request.is_some() { ' ' } else { '.' };
        let LogLine { host, message, .. } = line;
        write!(text, "{:>+7} ms {marker} {host}  {message}", line.millis - first)
            .expect("writing to a string can't fail");
        for (name, value) in
            line.fields.iter().filter(|(name, _value)| !HIDDEN_FIELDS.contains(&name.as_str()))
        {
            write!(text, "  {name}={value}").expect("writing to a string can't fail");
        }
        text.push('\n');
    }
    text
}
