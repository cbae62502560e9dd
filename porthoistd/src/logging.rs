//! Structured logs: JSON lines on standard output, or text for a terminal on standard error.
//!
//! Logging never blocks the calling thread, and the number of lines per second is bounded. Panics are logged, and the last lines
//! are written before the process exits.

use crate::settings::LogFormat;
use slog::{Drain, Level, LevelFilter, Logger, Never, OwnedKVList, Record, error, o};
use slog_async::AsyncGuard;
use std::fmt;
use std::panic::PanicHookInfo;
use std::sync::{Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

/// Records buffered for a slow log reader; more are dropped and counted by slog.
const LOG_BACKLOG: usize = 4096;
/// Maximum number of log lines per second. An entry under production load writes about 60.
const MAX_LINES_PER_SECOND: u32 = 500;
/// Maximum number of warnings and errors per second. A process with as many connections as its host permits names each
/// request that the end of its grace period cuts.
const MAX_WARNINGS_PER_SECOND: u32 = 3_000;

/// Maximum time to write the lines that are left at the exit. Their reader may have stopped reading.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(80);

/// Writes the lines that are left when dropped, which ends the log.
#[must_use = "lines that are not written when the process exits are lost"]
pub struct LogFlush(Option<AsyncGuard>);

impl fmt::Debug for LogFlush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogFlush").finish_non_exhaustive()
    }
}

impl Drop for LogFlush {
    fn drop(&mut self) {
        let Some(guard) = self.0.take() else { return };
        let (sender, written) = mpsc::channel();
        let flushing = std::thread::Builder::new().name("log-flush".to_owned()).spawn(move || {
            drop(guard);
            let _given_up = sender.send(());
        });
        if flushing.is_ok() {
            // Without an answer in time, the rest of the lines is lost.
            let _timed_out = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Logs each panic of the process, including those that only end a task.
pub fn log_panics(logger: Logger) {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        error!(logger, "panicked"; "event" => "panic", "detail" => panic_text(panic),
            "thread" => std::thread::current().name(), "location" => panic.location().map(ToString::to_string));
        usual(panic);
    }));
}

fn panic_text<'a>(panic: &'a PanicHookInfo<'_>) -> &'a str {
    panic.payload_as_str().unwrap_or("not a text")
}

/// Creates a logger that never blocks the calling thread. Dropping the second value writes what is left.
pub fn logger(format: LogFormat, level: Level) -> (Logger, LogFlush) {
    let drain: Box<dyn Drain<Ok = (), Err = Never> + Send> = match format {
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stdout()).ignore_res()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            Box::new(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
    };
    flushed_logger(drain, level)
}

/// Creates a logger whose lines another thread writes to `drain`.
pub fn flushed_logger<D>(drain: D, level: Level) -> (Logger, LogFlush)
where
    D: Drain<Ok = (), Err = Never> + Send + 'static,
{
    let (drain, guard) = slog_async::Async::new(drain).chan_size(LOG_BACKLOG).build_with_guard();
    let drain = BoundedDrain::new(drain.ignore_res(), LOG_LIMITS);
    (Logger::root(LevelFilter::new(drain, level).ignore_res(), o!()), LogFlush(Some(guard)))
}

/// Maximum number of lines per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLimits {
    /// Of lines below the level of warnings.
    pub lines: u32,
    /// Of warnings and errors.
    pub warnings: u32,
}

const LOG_LIMITS: LogLimits = LogLimits { lines: MAX_LINES_PER_SECOND, warnings: MAX_WARNINGS_PER_SECOND };

/// Limits the lines per second, and logs how many were dropped.
#[derive(Debug)]
pub struct BoundedDrain<D> {
    drain: D,
    limits: LogLimits,
    second: Mutex<LogSecond>,
}

#[derive(Debug)]
struct LogSecond {
    end: Instant,
    /// Lines below the level of warnings.
    lines: u32,
    /// Lines of warnings and errors.
    warnings: u32,
    dropped: u32,
}

impl LogSecond {
    fn starting_at(now: Instant) -> Self {
        Self { end: now + Duration::from_secs(1), lines: 0, warnings: 0, dropped: 0 }
    }
}

impl<D> BoundedDrain<D> {
    /// Limits the lines that reach `drain`.
    pub fn new(drain: D, limits: LogLimits) -> Self {
        Self { drain, limits, second: Mutex::new(LogSecond::starting_at(Instant::now())) }
    }

    /// Whether one more line may pass, and how many were dropped in the previous second.
    fn admit(&self, level: Level) -> (bool, u32) {
        let now = Instant::now();
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if now >= second.end {
            dropped = second.dropped;
            *second = LogSecond::starting_at(now);
        }
        let (lines, limit) = if level.is_at_least(Level::Warning) {
            (&mut second.warnings, self.limits.warnings)
        } else {
            (&mut second.lines, self.limits.lines)
        };
        *lines += 1;
        let admitted = *lines <= limit;
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
        let (admitted, dropped) = self.admit(record.level());
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
