//! Sends a request to a target over a pooled connection and returns the head of the response.
//!
//! Every failure states whether the request may have run. A connection whose exchange did not complete is
//! closed at once, which also cancels the work at its target, and is never reused.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap, HeaderName};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use porthoist_core::{ClockSource, RetryReason, RunVerdict, UnixDeadline, UnixMillis};
use porthoist_http::{
    BoundedIo, MAX_HEAD_BYTES, PiecedBody, ReadAllowance, SocketPeer, configure_socket, ends_with_connection,
};
use porthoist_metrics::MetricsHub;
use porthoist_policy::proxy::targets::{TargetLife, TargetRecord};
use std::cell::RefCell;
use std::collections::HashMap;
use std::error::Error as _;
use std::fmt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::task::AbortHandle;

/// Connect timeout in milliseconds, some hundred times the latency between availability zones.
const CONNECT_MILLIS: u64 = 400;
/// Timeout in milliseconds of the connection that checks whether a target is alive. A refusal takes one
/// round trip.
const PROBE_MILLIS: u64 = 200;
/// How long an idle connection is reused if its target announces no limit, in milliseconds.
const IDLE_MILLIS: u64 = 4_000;
/// Safety margin subtracted from an announced limit, in milliseconds, for latency and for rounding to whole
/// seconds.
const IDLE_MARGIN_MILLIS: u64 = 1_000;
/// Maximum idle time in milliseconds of a connection for a request that may run only once. If the target
/// closes an idle connection, it is unknown whether the request ran.
const ONCE_IDLE_MILLIS: u64 = 1_500;
/// Maximum number of bytes read for a frame of a body: twice the extensions and trailers that hyper accepts. The last read
/// may exceed it.
const MAX_FRAMING_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 16;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A failed attempt.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{reason} ({verdict}): {detail}")]
pub struct SendFailure {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Reason for the retry metric.
    pub reason: RetryReason,
    /// Description for the log.
    pub detail: String,
    /// Whether the target closed the connection, as it does when it crashes.
    pub closed: bool,
}

impl SendFailure {
    fn not_sent(detail: impl fmt::Display) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            reason: RetryReason::Unreachable,
            detail: detail.to_string(),
            closed: false,
        }
    }

    /// The connection broke after the request was written, or the response is unusable.
    pub fn lost(detail: impl fmt::Display) -> Self {
        Self {
            verdict: RunVerdict::MayHaveRun,
            reason: RetryReason::ConnectionLost,
            detail: detail.to_string(),
            closed: false,
        }
    }

    /// The request was moved away from the target, which may have run it.
    pub fn moved(detail: impl fmt::Display) -> Self {
        Self { reason: RetryReason::Moved, ..Self::lost(detail) }
    }

    /// The target closed the connection after the request was written.
    pub fn closed(detail: impl fmt::Display) -> Self {
        Self { closed: true, ..Self::lost(detail) }
    }
}

/// Whether a target that closed a connection is still running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetLiveness {
    /// The target accepts connections.
    Alive,
    /// Nothing listens at the target's address: its process has ended.
    Dead,
    /// Undetermined: the network may be partitioned, or the host may be down.
    Unknown,
}

struct IdleConnection {
    sender: SendRequest<PiecedBody>,
    task: AbortHandle,
    allowance: ReadAllowance,
    idle_since: UnixMillis,
    usable_until: UnixDeadline,
}

/// Pool of idle connections to targets.
#[derive(Clone)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<TargetLife, Vec<IdleConnection>>>>,
    /// Probes in progress. Requests that fail together share one.
    probes: Rc<RefCell<HashMap<TargetLife, Rc<OnceCell<TargetLiveness>>>>>,
    /// Maximum size in bytes of a connection's read buffer; `None` for hyper's default.
    read_buffer: Option<usize>,
    /// Maximum number of idle connections to all targets.
    max_idle: usize,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<MetricsHub>,
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool").field("targets", &self.idle.borrow().len()).finish_non_exhaustive()
    }
}

/// A connection in use. Dropping it closes the connection.
pub struct ConnectionLease {
    sender: Option<SendRequest<PiecedBody>>,
    task: AbortHandle,
    /// Bytes that may be read until the head of the response or another frame of its body is complete.
    allowance: ReadAllowance,
    target: TargetLife,
    pool: ConnectionPool,
}

impl fmt::Debug for ConnectionLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionLease").field("target", &self.target).finish_non_exhaustive()
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl ConnectionLease {
    /// Closes the connection before the lease is dropped.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Returns the connection to the pool after a complete response.
    pub fn release(mut self, headers: &HeaderMap) {
        let Some(idle_millis) = reusable_millis(headers) else { return };
        let Some(sender) = self.sender.take() else { return };
        if sender.is_closed() {
            return;
        }
        let now = self.pool.clock.now();
        let connection = IdleConnection {
            sender,
            task: self.task.clone(),
            allowance: self.allowance.clone(),
            idle_since: now,
            usable_until: UnixDeadline::after(now, idle_millis),
        };
        let mut idle = self.pool.idle.borrow_mut();
        let connections = idle.entry(self.target.clone()).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0).task.abort();
        }
        connections.push(connection);
        if idle.values().map(Vec::len).sum::<usize>() > self.pool.max_idle {
            remove_longest_idle(&mut idle);
        }
    }
}

/// Closes the connection that has been idle for the longest.
fn remove_longest_idle(idle: &mut HashMap<TargetLife, Vec<IdleConnection>>) {
    let since = |connections: &Vec<IdleConnection>| connections.first().map(|first| first.idle_since);
    let oldest = idle.values_mut().filter(|connections| !connections.is_empty()).min_by_key(|c| since(c));
    if let Some(connections) = oldest {
        connections.remove(0).task.abort();
    }
}

/// Returns how long a connection may be reused after a response with these headers, or `None` if it may
/// not.
fn reusable_millis(headers: &HeaderMap) -> Option<u64> {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    if text(&CONNECTION).is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let announced = text(&KEEP_ALIVE).and_then(|value| {
        let field = value.split(',').find_map(|field| field.trim().strip_prefix("timeout="))?;
        field.trim().parse::<u64>().ok()
    });
    match announced {
        Some(seconds) => {
            let millis = seconds.saturating_mul(1_000).saturating_sub(IDLE_MARGIN_MILLIS);
            (millis > 0).then_some(millis)
        }
        None => Some(IDLE_MILLIS),
    }
}

/// The body of a response, of which only a bounded number of bytes is read for each frame of data.
///
/// Hyper reads any number of zeros before the size of a chunk, for which nobody can wait in the meantime.
#[derive(Debug)]
pub struct TargetBody {
    body: Incoming,
    allowance: ReadAllowance,
}

impl TargetBody {
    /// Announced size in bytes.
    pub fn size(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the next frame, or nothing at the end.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, SendFailure>> {
        let frame = self.body.frame().await?;
        self.allowance.reset(MAX_FRAMING_BYTES);
        Some(frame.map_err(|error| classify_error(&error)))
    }
}

/// A response whose body has not been read.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: TargetBody,
    /// The connection.
    pub lease: ConnectionLease,
}

impl OpenAnswer {
    /// Whether only the end of the connection shows where the body ends.
    pub fn ends_with_connection(&self) -> bool {
        ends_with_connection(&self.head.headers, &self.body.body)
    }
}

impl ConnectionPool {
    /// Creates an empty pool. `read_buffer` is the maximum size in bytes of a connection's read buffer, which
    /// a response head must fit; `None` leaves hyper's default. `max_idle` is the maximum number of idle connections to all
    /// targets.
    pub fn new(
        read_buffer: Option<usize>,
        max_idle: usize,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<MetricsHub>,
    ) -> Self {
        Self { idle: Rc::default(), probes: Rc::default(), read_buffer, max_idle, clock, metrics }
    }

    /// Sends a request and waits for the response head until the deadline.
    pub async fn send(
        &self,
        target: &TargetRecord,
        request: Request<PiecedBody>,
        runs_once: bool,
        deadline: UnixDeadline,
    ) -> Result<OpenAnswer, SendFailure> {
        let mut request = request;
        let life = target.life();
        // If the target has closed an idle connection, the request is returned unsent.
        while let Some(mut lease) = self.idle_lease(&life, runs_once) {
            match self.exchange(&mut lease, request, deadline).await {
                Ok(answer) => return Ok(open_answer(answer, lease)),
                Err(ExchangeFailure::Unsent(unsent)) => request = *unsent,
                Err(ExchangeFailure::Failed(failure)) => return Err(failure),
            }
        }
        let mut lease = self.connect(target, deadline).await?;
        match self.exchange(&mut lease, request, deadline).await {
            Ok(answer) => Ok(open_answer(answer, lease)),
            Err(ExchangeFailure::Unsent(_request)) => {
                Err(SendFailure::not_sent("connection closed before the request was sent"))
            }
            Err(ExchangeFailure::Failed(failure)) => Err(failure),
        }
    }

    /// Closes expired idle connections, and all connections to targets for which `keep` returns `false`.
    pub fn prune(&self, keep: impl Fn(&TargetLife) -> bool) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for (target, connections) in idle.iter_mut() {
            let known = keep(target);
            connections.retain(|connection| {
                let usable = known && !connection.sender.is_closed() && !connection.usable_until.passed(now);
                if !usable {
                    connection.task.abort();
                }
                usable
            });
        }
        idle.retain(|_target, connections| !connections.is_empty());
    }

    fn idle_lease(&self, target: &TargetLife, runs_once: bool) -> Option<ConnectionLease> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            let recent = !runs_once || now.since(connection.idle_since) <= ONCE_IDLE_MILLIS;
            if connection.sender.is_ready() && recent && !connection.usable_until.passed(now) {
                return Some(ConnectionLease {
                    sender: Some(connection.sender),
                    task: connection.task,
                    allowance: connection.allowance,
                    target: target.clone(),
                    pool: self.clone(),
                });
            }
            connection.task.abort();
        }
        None
    }

    async fn connect(
        &self,
        target: &TargetRecord,
        deadline: UnixDeadline,
    ) -> Result<ConnectionLease, SendFailure> {
        let timeout_after = deadline.remaining(self.clock.now()).min(Duration::from_millis(CONNECT_MILLIS));
        let connected = tokio::time::timeout(timeout_after, TcpStream::connect(target.address)).await;
        let stream = connected
            .map_err(|_elapsed| SendFailure::not_sent("no connection in time"))?
            .map_err(SendFailure::not_sent)?;
        self.handshake(target, stream).await
    }

    /// Checks whether a target is still running after its connection ended. The address of a crashed
    /// process refuses connections; a target that only closed a connection or dropped a request accepts a
    /// new one, which is kept for the next request.
    pub async fn probe(&self, target: &TargetRecord) -> TargetLiveness {
        let life = target.life();
        let probe = Rc::clone(self.probes.borrow_mut().entry(life.clone()).or_default());
        let liveness = *probe.get_or_init(|| self.connect_probe(target)).await;
        // The next failure probes again: where targets announce no start time, another process may run
        // under the same identity by then.
        self.probes.borrow_mut().remove(&life);
        liveness
    }

    async fn connect_probe(&self, target: &TargetRecord) -> TargetLiveness {
        let timeout_after = Duration::from_millis(PROBE_MILLIS);
        let stream = match tokio::time::timeout(timeout_after, TcpStream::connect(target.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return TargetLiveness::Dead;
            }
            Ok(Err(_)) | Err(_) => return TargetLiveness::Unknown,
        };
        match self.handshake(target, stream).await {
            Ok(lease) => lease.release(&HeaderMap::new()),
            Err(_failure) => return TargetLiveness::Unknown,
        }
        TargetLiveness::Alive
    }

    async fn handshake(
        &self,
        target: &TargetRecord,
        stream: TcpStream,
    ) -> Result<ConnectionLease, SendFailure> {
        // Best effort: on error, only latency and the detection of silent targets suffer.
        drop(configure_socket(&stream, SocketPeer::Target));
        // Closing then resets the connection: data of an abandoned request that is still buffered at a
        // partitioned link or a suspended host is dropped, not delivered seconds later. Best effort.
        drop(stream.set_zero_linger());
        let mut builder = http1::Builder::new();
        if let Some(bytes) = self.read_buffer {
            builder.max_buf_size(bytes);
        }
        let allowance = ReadAllowance::new(MAX_HEAD_BYTES);
        let stream = BoundedIo::new(stream, allowance.clone());
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(SendFailure::not_sent)?;
        self.metrics.record_connection();
        let task = tokio::task::spawn_local(async move {
            // Errors are reported by the exchange that uses the connection.
            drop(connection.await);
        });
        Ok(ConnectionLease {
            sender: Some(sender),
            task: task.abort_handle(),
            allowance,
            target: target.life(),
            pool: self.clone(),
        })
    }

    async fn exchange(
        &self,
        lease: &mut ConnectionLease,
        request: Request<PiecedBody>,
        deadline: UnixDeadline,
    ) -> Result<Response<Incoming>, ExchangeFailure> {
        let sender = lease.sender.as_mut().expect("a lease in use has its sender");
        let timeout_after = deadline.remaining(self.clock.now());
        lease.allowance.reset(MAX_HEAD_BYTES);
        let answered = tokio::time::timeout(timeout_after, sender.try_send_request(request)).await;
        lease.allowance.reset(MAX_FRAMING_BYTES);
        match answered {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(mut failure)) => match failure.take_message() {
                Some(unsent) => Err(ExchangeFailure::Unsent(Box::new(unsent))),
                None => Err(ExchangeFailure::Failed(classify_error(&failure.into_error()))),
            },
            Err(_elapsed) => Err(ExchangeFailure::Failed(SendFailure::lost("no response in time"))),
        }
    }
}

/// A response that can't be parsed, or whose head is too large, comes from a running target.
fn classify_error(error: &hyper::Error) -> SendFailure {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    let is_too_large = cause.is_some_and(|cause| cause.kind() == io::ErrorKind::InvalidData);
    if error.is_parse() || is_too_large { SendFailure::lost(error) } else { SendFailure::closed(error) }
}

enum ExchangeFailure {
    Unsent(Box<Request<PiecedBody>>),
    Failed(SendFailure),
}

fn open_answer(answer: Response<Incoming>, lease: ConnectionLease) -> OpenAnswer {
    let (head, body) = answer.into_parts();
    let body = TargetBody { body, allowance: lease.allowance.clone() };
    OpenAnswer { head, body, lease }
}
