//! The course of one request out of the logs of all processes.
//!
//! Lines are JSON objects as the daemon writes them; what a collector puts before the object is passed over. Lines of
//! the same hosts that change a belief are shown too, from shortly before the request on.

use serde_json::{Map, Value};
use std::fmt::Write as _;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Lines without a request are shown from so long before the request's first line on, in milliseconds: as long as a
/// proof of the newest configuration counts.
const CONTEXT_MILLIS: i64 = 5_000;
/// Fields that are shown in other places of a line, or say nothing of a request.
const HIDDEN: [&str; 7] = ["msg", "level", "ts", "host", "role", "event", "request"];

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Milliseconds of the Unix epoch.
    pub millis: i64,
    /// The host that wrote it.
    pub host: String,
    /// The message.
    pub message: String,
    /// The request, if it is about one.
    pub request: Option<String>,
    fields: Map<String, Value>,
}

impl LogLine {
    /// What kind of event it tells of.
    pub fn event(&self) -> &str {
        self.text("event")
    }

    /// A field that is text; empty if it is not there.
    pub fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field that is a whole number.
    pub fn whole(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// A field that is a number.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name).and_then(Value::as_f64)
    }

    /// A field that is true.
    pub fn flag(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or_default()
    }
}

/// Reads the lines of a log, and the numbers (from 1) of lines that are no JSON objects with a time.
pub fn read_log(text: &str) -> (Vec<LogLine>, Vec<usize>) {
    let mut lines = Vec::new();
    let mut unreadable = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_index, line)| !line.trim().is_empty()) {
        match read_line(line) {
            Some(line) => lines.push(line),
            None => unreadable.push(index + 1),
        }
    }
    (lines, unreadable)
}

fn read_line(line: &str) -> Option<LogLine> {
    let object = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let millis = unix_millis(fields.get("ts")?.as_str()?)?;
    let request = fields.get("request").and_then(Value::as_str).map(str::to_owned);
    Some(LogLine { millis, host: text("host"), message: text("msg"), request, fields })
}

/// Milliseconds of the Unix epoch of a time in RFC 3339.
fn unix_millis(text: &str) -> Option<i64> {
    let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
    i64::try_from(time.unix_timestamp_nanos() / 1_000_000).ok()
}

/// The lines that tell of a request, in the order of their times.
pub fn course_of(request: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let own = |line: &&LogLine| line.request.as_deref() == Some(request);
    let Some(first) = lines.iter().filter(own).map(|line| line.millis).min() else { return Vec::new() };
    let last = lines.iter().filter(own).map(|line| line.millis).max().unwrap_or(first);
    let hosts: Vec<String> = lines.iter().filter(own).map(|line| line.host.clone()).collect();
    let near = |line: &LogLine| {
        let context = line.request.is_none() && hosts.contains(&line.host);
        context && (first - CONTEXT_MILLIS..=last).contains(&line.millis)
    };
    let mut course: Vec<LogLine> =
        lines.into_iter().filter(|line| line.request.as_deref() == Some(request) || near(line)).collect();
    course.sort_by_key(|line| line.millis);
    course
}

/// The course for people: milliseconds since the request's first line, host, message and what decided.
pub fn course_text(course: &[LogLine]) -> String {
    let first = course.iter().find(|line| line.request.is_some()).map_or(0, |line| line.millis);
    let mut text = String::new();
    for line in course {
        let about = if line.request.is_some() { ' ' } else { '.' };
        let LogLine { host, message, .. } = line;
        write!(text, "{:>+7} ms {about} {host}  {message}", line.millis - first).expect("a string takes all");
        for (name, value) in line.fields.iter().filter(|(name, _value)| !HIDDEN.contains(&name.as_str())) {
            write!(text, "  {name}={value}").expect("a string takes all");
        }
        text.push('\n');
    }
    text
}
