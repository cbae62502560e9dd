//! The accept loop of every HTTP listener.
//!
//! On shutdown it accepts no more connections, lets requests in flight finish, and returns.

use crate::body::HttpResponse;
use crate::socket::{SocketPeer, configure_socket};
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerSettings {
    /// Largest accepted size of request line and headers in bytes; larger ones are answered with 431.
    pub header_bytes: usize,
    /// Timeout for receiving the headers of a request.
    pub header_timeout: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self { header_bytes: 64 * 1024, header_timeout: Duration::from_secs(10) }
    }
}

/// Serves connections until `stop` holds `true`, then waits for the requests in flight.
pub async fn serve_until<F, R>(
    listener: TcpListener,
    settings: ServerSettings,
    mut stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = HttpResponse> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok((stream, _address)) = accepted else {
            // The process may have run out of file descriptors: give connections time to close.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        // Without these options, latency is higher and a dead caller is noticed later.
        drop(configure_socket(&stream, SocketPeer::Caller));
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(settings.header_timeout)
            .max_buf_size(settings.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection needs no handling: its request was answered or is abandoned.
            drop(connection.await);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
