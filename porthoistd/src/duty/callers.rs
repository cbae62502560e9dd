//! The callers' duty of an entry: the public listener, and its graceful stop.

use porthoist_caller::CallerServer;
use porthoist_http::{ServerSettings, serve_until};
use slog::{Logger, info};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Requests in flight are looked at so often while the process stops.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Serves callers. After the signal it goes on accepting for `stop_lag`, since the balancer learns of it late.
pub async fn serve_callers(
    listener: TcpListener,
    server: CallerServer,
    mut stopping: watch::Receiver<bool>,
    stop_lag: Duration,
    logger: Logger,
) {
    let (close, closed) = watch::channel(false);
    let handler = server.clone();
    let serving = serve_until(listener, ServerSettings::default(), closed, move |request| {
        handler.clone().handle(request)
    });
    let closing = async {
        if stopping.wait_for(|stop| *stop).await.is_ok() {
            tokio::time::sleep(stop_lag).await;
        }
        close.send_replace(true);
    };
    tokio::join!(serving, closing);
    while server.in_flight() > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    info!(logger, "nothing is in flight any more");
}
