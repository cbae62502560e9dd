//! Serves callers on an entry's public listener and drains it on shutdown.

use porthoist_caller::CallerServer;
use porthoist_http::{ServerSettings, serve_until};
use slog::{Logger, info};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Size in bytes of the read buffer of a connection. Twice the permitted size of headers: a caller with somewhat longer
/// ones is told the limit.
const HEADER_BYTES: usize = 32 * 1024;
/// Time left to the bodies that are arriving once the listener closes.
const BODY_GRACE: Duration = Duration::from_secs(3);
/// Interval at which shutdown checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves callers until shutdown has drained all requests. After the stop signal the listener keeps accepting
/// for `stop_lag`, because the load balancer notices the shutdown late.
pub async fn serve_callers(
    listener: TcpListener,
    server: CallerServer,
    max_connections: usize,
    mut stopping: watch::Receiver<bool>,
    stop_lag: Duration,
    logger: Logger,
) {
    let (close, closed) = watch::channel(false);
    let handler = server.clone();
    let intake = Some(Arc::clone(server.intake()));
    let settings =
        ServerSettings { header_bytes: HEADER_BYTES, max_connections, intake, ..ServerSettings::default() };
    let serving = serve_until(listener, settings, closed, move |request| handler.clone().handle(request));
    // Ends only with `serving`.
    let closing = async {
        if stopping.wait_for(|stop| *stop).await.is_ok() {
            info!(logger, "stopping"; "event" => "stop", "in_flight" => server.in_flight());
            tokio::time::sleep(stop_lag).await;
        }
        close.send_replace(true);
        tokio::time::sleep(BODY_GRACE).await;
        server.intake().close();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = serving => {}
        () = closing => {}
    }
    while server.in_flight() > 0 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!(logger, "all in-flight requests finished");
}
