//! HTTP client whose errors say whether the request may have run.

use crate::bounded_io::{BoundedConnector, MAX_HEAD_BYTES};
use crate::framing::is_framed;
use crate::socket::{KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, KEEPALIVE_PROBES, SocketPeer};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use parking_lot::Mutex;
use porthoist_core::RunVerdict;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;

/// Largest answer body that a client reads unless it has a bound of its own, in bytes: the largest object of a platform.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size in bytes of a connection's read buffer, which the heads of an answer must fit.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Message of the error after an answer whose end proves nothing.
pub const UNFRAMED_ANSWER: &str = "the answer has no length and no chunks";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Error of a call without a usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message} ({verdict})")]
pub struct CallError {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// What went wrong.
    pub message: String,
}

impl CallError {
    /// Creates an error after which the request may have run.
    pub fn unknown(message: impl Into<String>) -> Self {
        Self { verdict: RunVerdict::MayHaveRun, message: message.into() }
    }

    /// Creates an error from before anything was sent.
    pub fn not_sent(message: impl Into<String>) -> Self {
        Self { verdict: RunVerdict::NotRun, message: message.into() }
    }
}

type PooledClient = Client<BoundedConnector, Full<Bytes>>;

/// HTTP client with a connection pool, which never sends a request twice. Clones share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Arc<Mutex<PooledClient>>,
    /// Maximum size of an answer body in bytes.
    answer_bytes: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Replaces the connection pool unless the call was answered.
struct CallGuard<'a> {
    client: &'a HttpClient,
    answered: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.client.drop_idle_connections();
        }
    }
}

fn pooled_client(answer_bytes: usize) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(KEEPALIVE_IDLE));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some(SocketPeer::Control.unacknowledged_timeout()));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .http1_max_buf_size(READ_BUFFER_BYTES)
        .build(BoundedConnector { connector, answer_bytes: MAX_HEAD_BYTES + answer_bytes })
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        Self::with_answer_bytes(MAX_ANSWER_BYTES)
    }

    /// Creates a client that reads answers with bodies of at most this many bytes.
    pub fn with_answer_bytes(answer_bytes: usize) -> Self {
        Self { client: Arc::new(Mutex::new(pooled_client(answer_bytes))), answer_bytes }
    }

    /// Drops the idle connections. Requests in flight keep theirs.
    pub fn drop_idle_connections(&self) {
        *self.client.lock() = pooled_client(self.answer_bytes);
    }

    /// Sends a request and returns the answer with its body unread.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        let client = self.client.lock().clone();
        client.request(request).await.map_err(|error| {
            let message = error_chain(&error);
            if error.is_connect() { CallError::not_sent(message) } else { CallError::unknown(message) }
        })
    }

    /// Sends a request and reads the answer. Its content must show whether it is complete, as JSON does; [`Self::fetch_framed`]
    /// is for others.
    ///
    /// A call that fails or is cancelled drops the idle connections: they may have stopped working for the same reason, and
    /// each of them could make another call time out.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, CallError> {
        self.fetch_checked(request, |_answer| true).await
    }

    /// Like [`Self::fetch`], but fails if the end of the body does not show that it is complete.
    pub async fn fetch_framed(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, CallError> {
        self.fetch_checked(request, |answer| is_framed(answer.headers(), answer.body())).await
    }

    async fn fetch_checked(
        &self,
        request: Request<Full<Bytes>>,
        is_usable: impl FnOnce(&Response<Incoming>) -> bool,
    ) -> Result<Response<Bytes>, CallError> {
        let mut guard = CallGuard { client: self, answered: false };
        let answer = self.send(request).await?;
        if !is_usable(&answer) {
            return Err(CallError::unknown(UNFRAMED_ANSWER));
        }
        let (head, body) = answer.into_parts();
        let collected = Limited::new(body, self.answer_bytes).collect().await;
        let bytes = collected.map_err(|error| CallError::unknown(error.to_string()))?.to_bytes();
        guard.answered = true;
        Ok(Response::from_parts(head, bytes))
    }

    /// Sends JSON, or an empty body, and reads a JSON answer with any status.
    pub async fn json<Q, A>(
        &self,
        method: Method,
        url: &str,
        body: Option<&Q>,
    ) -> Result<(StatusCode, A), CallError>
    where
        Q: Serialize + Sync + ?Sized,
        A: DeserializeOwned,
    {
        let bytes = match body {
            Some(value) => {
                serde_json::to_vec(value).map_err(|error| CallError::not_sent(error.to_string()))?
            }
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| CallError::not_sent(error.to_string()))?;
        let answer = self.fetch(request).await?;
        let status = answer.status();
        let value = serde_json::from_slice(answer.body()).map_err(|error| {
            let text = String::from_utf8_lossy(answer.body());
            let start: String = text.chars().take(200).collect();
            CallError::unknown(format!("status {status}, unreadable answer {start:?}: {error}"))
        })?;
        Ok((status, value))
    }
}

/// Formats an error with all its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
