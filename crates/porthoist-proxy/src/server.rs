//! The callers' listener: accepts connections, serves their requests, and stops without cutting one off.

use crate::course::ProxyHandler;
use crate::reply::Reply;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use porthoist_core::{RefusalReason, RunVerdict, UnixDeadline};
use porthoist_http::{SocketPeer, configure_socket};
use porthoist_metrics::MetricsHub;
use slog::{Logger, info};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes of request line and headers before a configuration says otherwise; also the least that hyper takes.
const MIN_HEADER_BYTES: usize = 8_192;
/// Milliseconds that a connection may stay idle before a configuration says otherwise.
const IDLE_MILLIS: u64 = 15_000;

/// What a listener needs to stop in order.
#[derive(Debug, Clone)]
pub struct ProxyServer {
    /// The course of each request.
    pub handler: Rc<ProxyHandler>,
    /// Turns `true` when the process should stop.
    pub stopping: watch::Receiver<bool>,
    /// Milliseconds after the stop in which the balancer still sends new connections.
    pub stop_lag_millis: u64,
    /// Milliseconds after the stop within which the process must have ended.
    pub grace_millis: u64,
    /// For counts.
    pub metrics: Arc<MetricsHub>,
    /// For the log.
    pub logger: Logger,
}

/// Serves callers until the process should stop and nothing is in flight.
pub async fn serve_proxy(listener: TcpListener, server: ProxyServer) {
    let graceful = GracefulShutdown::new();
    let mut stopping = server.stopping.clone();
    let mut stop_at: Option<UnixDeadline> = None;
    let clock = porthoist_core::AnchoredClock::new();
    let now = || porthoist_core::ClockSource::now(&clock);
    let mut grace_end = None;
    loop {
        let lag = stop_at.map(|deadline| deadline.remaining(now()));
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _address)) => accept(stream, &server, &graceful),
                Err(error) => {
                    info!(server.logger, "can't accept"; "event" => "accept_failed", "error" => error.to_string());
                    // Out of file descriptors, for example: give connections time to close.
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            _ = stopping.wait_for(|stopping| *stopping), if stop_at.is_none() => {
                server.handler.stop();
                stop_at = Some(UnixDeadline::after(now(), server.stop_lag_millis));
                grace_end = Some(UnixDeadline::after(now(), server.grace_millis));
                info!(server.logger, "stopping"; "event" => "stop", "in_flight" => server.handler.in_flight());
            }
            () = sleep_or_never(lag) => break,
        }
    }
    drop(listener);
    let patience = grace_end.map(|deadline| deadline.remaining(now())).unwrap_or_default();
    let ended = tokio::time::timeout(patience, graceful.shutdown()).await;
    info!(server.logger, "stopped"; "event" => "stopped", "cut_off" => server.handler.in_flight(),
        "in_time" => ended.is_ok());
}

async fn sleep_or_never(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => std::future::pending().await,
    }
}

fn accept(stream: TcpStream, server: &ProxyServer, graceful: &GracefulShutdown) {
    // The work of a caller that is gone without a sign ends with its connection. An error here only costs time.
    drop(configure_socket(&stream, SocketPeer::Caller));
    let limits = server.handler.limits();
    let header_bytes = limits.map_or(MIN_HEADER_BYTES, |limits| limits.header_bytes.max(MIN_HEADER_BYTES));
    let idle_millis = limits.map_or(IDLE_MILLIS, |limits| limits.idle_millis);
    let course = Rc::clone(&server.handler);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = Rc::clone(&course).serve(request);
        async move { Ok::<Reply, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The time for a request's headers includes the idle time before them.
        .header_read_timeout(Duration::from_millis(idle_millis))
        .max_buf_size(header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    let metrics = Arc::clone(&server.metrics);
    tokio::task::spawn_local(async move {
        let Err(error) = connection.await else { return };
        // hyper has answered these itself.
        if error.is_parse_too_large() {
            metrics.refusal(RefusalReason::HeaderTooLong, RunVerdict::NotRun);
        } else if error.is_parse() {
            metrics.refusal(RefusalReason::Malformed, RunVerdict::NotRun);
        }
    });
}
