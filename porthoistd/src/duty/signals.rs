//! Signals: the first one stops gracefully, the second says what is cut off and ends the process.

use slog::{Logger, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Exit status after a second signal.
const CUT_OFF_STATUS: i32 = 3;

/// Sets `stopping` at the first signal and ends the process at the second.
pub async fn watch_signals<I>(stopping: watch::Sender<bool>, logger: Logger, in_flight: I)
where
    I: Fn() -> u64,
{
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        warn!(logger, "signals can't be watched");
        return std::future::pending().await;
    };
    tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
    info!(logger, "stopping gracefully"; "in_flight" => in_flight());
    stopping.send_replace(true);
    tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
    warn!(logger, "second signal: requests are cut off"; "in_flight" => in_flight());
    // The asynchronous logger needs a moment to write before the process ends.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    std::process::exit(CUT_OFF_STATUS);
}

/// Says in the log that the settings were read again. Nothing that a running process uses of them can change: what
/// changes comes from the table service.
pub async fn watch_reloads(logger: Logger) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        warn!(logger, "the reload signal can't be watched");
        return;
    };
    while hangup.recv().await.is_some() {
        info!(logger, "reloaded"; "event" => "reload", "changed" => 0);
    }
}
