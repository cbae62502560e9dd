//! Signal handling: the first signal starts a graceful shutdown, the second logs the number of interrupted
//! requests and exits.

use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Exit status after the second signal.
const SECOND_SIGNAL_STATUS: i32 = 3;

/// Sets `stopping` at the first SIGTERM or SIGINT and exits the process at the second.
pub async fn watch_signals<I>(stopping: watch::Sender<bool>, logger: Logger, in_flight: I)
where
    I: Fn() -> u64,
{
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        warn!(logger, "failed to install the handlers for SIGTERM and SIGINT");
        return std::future::pending().await;
    };
    tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
    info!(logger, "graceful shutdown started"; "in_flight" => in_flight());
    stopping.send_replace(true);
    tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
    warn!(logger, "second signal: interrupting requests in flight"; "in_flight" => in_flight());
    // The asynchronous logger needs time to write before the process exits.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    std::process::exit(SECOND_SIGNAL_STATUS);
}

/// Logs a reload on SIGHUP. No setting of a running process can change: everything that changes comes from
/// the table service.
pub async fn watch_reloads(logger: Logger) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        warn!(logger, "failed to install the handler for SIGHUP");
        return;
    };
    while hangup.recv().await.is_some() {
        info!(logger, "reloaded"; "event" => "reload", "changed" => 0);
    }
}
