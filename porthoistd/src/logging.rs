//! Structured logs on standard error, as JSON lines or for a terminal.

use crate::settings::LogFormat;
use slog::{Drain as _, Level, LevelFilter, Logger, o};

/// Records that wait for a slow reader of the log; more are dropped and counted by slog.
const LOG_BACKLOG: usize = 4096;

/// A logger that never blocks the thread that logs.
pub fn logger(format: LogFormat, level: Level) -> Logger {
    let drain: Box<dyn slog::Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stderr()).ignore_res()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            Box::new(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
    };
    let drain = slog_async::Async::new(drain).chan_size(LOG_BACKLOG).build().ignore_res();
    Logger::root(LevelFilter::new(drain, level).ignore_res(), o!())
}
