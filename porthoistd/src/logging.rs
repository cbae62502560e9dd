//! Structured logs: JSON lines on standard output, or text for a terminal on standard error.
//!
//! Logging never blocks the calling thread, and the number of lines per second is bounded.

use crate::settings::LogFormat;
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, o};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Records buffered for a slow log reader; more are dropped and counted by slog.
const LOG_BACKLOG: usize = 4096;
/// Maximum number of log lines per second. An entry under production load writes about 60.
const MAX_LINES_PER_SECOND: u32 = 500;

/// Creates a logger that never blocks the calling thread.
pub fn logger(format: LogFormat, level: Level) -> Logger {
    let drain: Box<dyn Drain<Ok = (), Err = Never> + Send> = match format {
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stdout()).ignore_res()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            Box::new(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
    };
    let drain = slog_async::Async::new(drain).chan_size(LOG_BACKLOG).build().ignore_res();
    let drain = BoundedDrain::new(drain, MAX_LINES_PER_SECOND);
    Logger::root(LevelFilter::new(drain, level).ignore_res(), o!())
}

/// Limits the lines per second, and logs how many were dropped.
#[derive(Debug)]
pub struct BoundedDrain<D> {
    drain: D,
    limit: u32,
    second: Mutex<LogSecond>,
}

#[derive(Debug)]
struct LogSecond {
    end: Instant,
    lines: u32,
    dropped: u32,
}

impl<D> BoundedDrain<D> {
    /// Limits `drain` to `limit` lines per second.
    pub fn new(drain: D, limit: u32) -> Self {
        let second = LogSecond { end: Instant::now(), lines: 0, dropped: 0 };
        Self { drain, limit, second: Mutex::new(second) }
    }

    /// Whether one more line may pass, and how many were dropped in the previous second.
    fn admit(&self) -> (bool, u32) {
        let now = Instant::now();
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if now >= second.end {
            dropped = second.dropped;
            *second = LogSecond { end: now + Duration::from_secs(1), lines: 0, dropped: 0 };
        }
        second.lines += 1;
        let admitted = second.lines <= self.limit;
        if !admitted {
            second.dropped += 1;
        }
        (admitted, dropped)
    }
}

impl<D: Drain<Ok = (), Err = Never>> Drain for BoundedDrain<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let (admitted, dropped) = self.admit();
        if dropped > 0 {
            let location = record.location();
            let warning = slog::RecordStatic { location, tag: "", level: Level::Warning };
            let text = format_args!("log lines dropped");
            let pairs = slog::b!("event" => "log_lines_dropped", "count" => dropped);
            self.drain.log(&Record::new(&warning, &text, pairs), values)?;
        }
        if admitted { self.drain.log(record, values) } else { Ok(()) }
    }
}
