//! The callers' listener: accepts connections, serves requests and shuts down gracefully.

use crate::caller_connections::{CallerConnections, ConnectionEvent, ConnectionSlot};
use crate::caller_stream::{CallerConnection, CallerStream};
use crate::connection_end::ConnectionEnds;
use crate::handler::ProxyHandler;
use crate::reply::CallerReply;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use porthoist_core::{RefusalReason, RunVerdict};
use porthoist_http::{SocketPeer, bound_send_buffer, configure_socket};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::drain::DrainSchedule;
use slog::{Logger, info, warn};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum size in bytes of request line and headers until a configuration is known; also the minimum that
/// hyper accepts.
const MIN_HEADER_BYTES: usize = 8_192;
/// Maximum idle time of a connection in milliseconds until a configuration is known.
const IDLE_MILLIS: u64 = 15_000;

/// Size in bytes of the system's send buffer of a caller's connection if held bytes or the unread time are
/// bounded. The system reports room to write once a third of the buffer is free: with a large one, a caller
/// that reads slowly would seem to read nothing for longer than the unread time.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Pause until connections may have closed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Dependencies and settings of the listener.
#[derive(Debug, Clone)]
pub struct ProxyServer {
    /// Handles each request.
    pub handler: Rc<ProxyHandler>,
    /// Becomes `true` when the process should stop.
    pub stopping: watch::Receiver<bool>,
    /// Grace period: time in milliseconds after the stop signal within which the process must end.
    pub grace_millis: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Counters.
    pub metrics: Arc<MetricsHub>,
    /// Logger.
    pub logger: Logger,
}

/// Serves callers until the process should stop and no request is in flight.
pub async fn serve_proxy(listener: TcpListener, server: ProxyServer) {
    let mut stopping = server.stopping.clone();
    let mut begun: Option<DrainSchedule> = None;
    let clock = Arc::clone(server.handler.clock());
    let now = || clock.now();
    let connections = CallerConnections::new(
        server.max_connections,
        Arc::clone(server.handler.intake()),
        Arc::clone(&clock),
        Arc::clone(&server.metrics),
        server.logger.clone(),
    );
    let ends =
        Rc::new(ConnectionEnds::new(Arc::clone(&clock), Arc::clone(&server.metrics), server.logger.clone()));
    let schedule = loop {
        let until_close = begun.map(|schedule| schedule.close_at.remaining(now()));
        let can_decide = connections.can_decide();
        tokio::select! {
            () = tokio::time::sleep(ACCEPT_PAUSE), if !can_decide => {}
            accepted = listener.accept(), if can_decide => match accepted {
                Ok((stream, _address)) => accept(stream, &server, &connections, &ends),
                Err(error) => {
                    connections.record(ConnectionEvent::Failed, &error.to_string());
                    // The process may be out of file descriptors: leave time for connections to close.
                    connections.evict();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = stopping.wait_for(|stopping| *stopping), if begun.is_none() => {
                let schedule = DrainSchedule::new(now(), server.grace_millis);
                server.handler.stop(schedule);
                ends.begin_drain();
                begun = Some(schedule);
                info!(server.logger, "stopping"; "event" => "stop", "in_flight" => server.handler.in_flight());
            }
            () = sleep_or_never(until_close) => {}
        }
        if let Some(schedule) = begun.filter(|schedule| schedule.close_at.passed(now())) {
            break schedule;
        }
    };
    drop(listener);
    let mut ended = pin!(connections.shut_down());
    let all_ended = tokio::time::timeout(schedule.cut_at.remaining(now()), ended.as_mut()).await.is_ok();
    let in_time = all_ended || connections.all_linger();
    if !in_time {
        server.handler.cut();
    }
    if !all_ended {
        // What callers have not taken by then is dropped with their connections.
        drop(tokio::time::timeout(schedule.end_at.remaining(now()), ended).await);
    }
    log_stopped(&server, &ends, in_time);
}

fn log_stopped(server: &ProxyServer, ends: &ConnectionEnds, in_time: bool) {
    let handler = &server.handler;
    let (cut_off, streams_unfinished) = (handler.cut_off(), handler.unfinished_streams());
    let (callers_left, connections_failed) = (ends.left(), ends.failed());
    if in_time {
        info!(server.logger, "stopped"; "event" => "stopped", "cut_off" => cut_off, "in_time" => in_time,
            "streams_unfinished" => streams_unfinished, "callers_left" => callers_left,
            "connections_failed" => connections_failed);
    } else {
        warn!(server.logger, "stopped with unfinished requests"; "event" => "stopped", "cut_off" => cut_off,
            "in_time" => in_time, "streams_unfinished" => streams_unfinished, "callers_left" => callers_left,
            "connections_failed" => connections_failed);
    }
}

async fn sleep_or_never(pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => std::future::pending().await,
    }
}

fn accept(
    stream: TcpStream,
    server: &ProxyServer,
    connections: &Rc<CallerConnections>,
    ends: &Rc<ConnectionEnds>,
) {
    let caller = Rc::new(CallerConnection::default());
    let Some(slot) = connections.add(&caller) else { return };
    // Detects callers that disappeared, whose work ends with the connection. Best effort.
    drop(configure_socket(&stream, SocketPeer::Caller));
    let limits = server.handler.limits();
    let header_bytes = limits.map_or(MIN_HEADER_BYTES, |limits| limits.header_bytes.max(MIN_HEADER_BYTES));
    let idle_millis = limits.map_or(IDLE_MILLIS, |limits| limits.idle_millis);
    let handler = Rc::clone(&server.handler);
    let (held_bytes, unread_millis) = (handler.settings().held_bytes, handler.settings().unread_millis);
    if held_bytes > 0 || unread_millis > 0 {
        // Best effort: on error, the system chooses the size.
        drop(bound_send_buffer(&stream, SEND_BUFFER_BYTES));
    }
    let stream = CallerStream::new(stream, Rc::clone(&caller), Duration::from_millis(unread_millis));
    let shared_caller = Rc::clone(&caller);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = Rc::clone(&handler).serve(request, Rc::clone(&shared_caller));
        async move { Ok::<CallerReply, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timeout includes the idle time before a request's headers.
        .header_read_timeout(Duration::from_millis(idle_millis))
        .max_buf_size(header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let (server, ends) = (server.clone(), Rc::clone(ends));
    tokio::task::spawn_local(async move {
        let _slot: ConnectionSlot = slot;
        let mut connection = connection;
        let ended = tokio::select! {
            ended = &mut connection => ended,
            () = caller.closed() => {
                Pin::new(&mut connection).graceful_shutdown();
                // Hyper would wait for the rest of a head.
                if caller.is_evicted() && !caller.has_begun() {
                    let ended = tokio::time::timeout(Duration::ZERO, &mut connection).await;
                    if ended.is_ok() || !caller.has_begun() {
                        return;
                    }
                }
                (&mut connection).await
            }
        };
        // Ends the request that is being served.
        let stream = connection.into_parts().io.into_inner();
        if let Err(error) = ended {
            ends.record(&error, &caller);
            record_error(&error, &caller, &server);
        }
        stream.linger().await;
    });
}

/// Records an error that ended a connection.
fn record_error(error: &hyper::Error, caller: &CallerConnection, server: &ProxyServer) {
    if caller.is_cut() {
        server.metrics.record_cut_response();
        info!(server.logger, "response cut because its caller reads nothing"; "event" => "response_cut",
            "request" => caller.attempt().as_deref(), "unread_ms" => server.handler.settings().unread_millis);
    }
    // hyper has already answered these.
    if error.is_parse_too_large() {
        server.metrics.record_refusal(RefusalReason::HeaderTooLong, RunVerdict::NotRun);
    } else if error.is_parse() {
        server.metrics.record_refusal(RefusalReason::Malformed, RunVerdict::NotRun);
    }
}
