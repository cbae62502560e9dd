//! Client of the platform, over HTTP.

use crate::feeds::{FeedError, parse_change_feed, parse_host_feed};
use crate::wire::{ChangeFeed, HostEntry, HostFeed, ItemRead, TableWrite, TransactAnswer, TransactRequest};
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use porthoist_core::UnixDeadline;
use porthoist_core::{AnchoredClock, ClockSource};
use porthoist_http::{CallError, HttpClient};
use std::fmt;
use std::sync::Arc;

/// Pending result of a platform call.
pub type PlatformFuture<'a, T> = BoxFuture<'a, Result<T, CallError>>;

/// The platform, independent of its protocol.
pub trait PlatformClient: fmt::Debug + Send + Sync {
    /// Writes items in one transaction. After an error with the verdict "may have run", it may still take effect.
    fn transact(&self, atomic: bool, writes: Vec<TableWrite>) -> PlatformFuture<'_, TransactAnswer>;
    /// Reads one item.
    fn item(&self, key: String) -> PlatformFuture<'_, Option<ItemRead>>;
    /// Reads the items with the key prefix `prefix` that changed since a revision.
    fn changes(&self, prefix: &'static str, since: u64) -> PlatformFuture<'_, ChangeFeed>;
    /// Reads the host list if it changed since the revision `known`. The list lags behind the actual state.
    fn hosts(&self, known: u64) -> PlatformFuture<'_, HostFeed>;
    /// Adds this process to the host list.
    fn register(&self, host: HostEntry) -> PlatformFuture<'_, ()>;
    /// Reads an object.
    fn object(&self, name: String) -> PlatformFuture<'_, Option<Bytes>>;
    /// Writes an object.
    fn put_object(&self, name: String, bytes: Bytes) -> PlatformFuture<'_, ()>;
}

/// Timeout of a platform call, in milliseconds.
pub const CALL_TIMEOUT_MILLIS: u64 = 2000;

/// Client of the platform over HTTP and JSON.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    base: String,
    client: HttpClient,
    clock: Arc<AnchoredClock>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `base`, for example `http://127.0.0.1:7000`.
    pub fn new(base: impl Into<String>) -> Self {
        let base = base.into().trim_end_matches('/').to_owned();
        Self { base, client: HttpClient::new(), clock: Arc::new(AnchoredClock::new()) }
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = Result<T, CallError>>,
    ) -> Result<T, CallError> {
        let deadline = UnixDeadline::after(self.clock.now(), CALL_TIMEOUT_MILLIS);
        let remaining = deadline.remaining(self.clock.now());
        match tokio::time::timeout(remaining, call).await {
            Ok(result) => result,
            Err(_elapsed) => Err(CallError::unknown(format!("no answer in {CALL_TIMEOUT_MILLIS} ms"))),
        }
    }

    async fn call<Q, A>(&self, method: Method, path: &str, body: Option<&Q>) -> Result<A, CallError>
    where
        Q: serde::Serialize + Sync,
        A: serde::de::DeserializeOwned,
    {
        let url = format!("{}{path}", self.base);
        let (status, value): (StatusCode, serde_json::Value) =
            self.with_timeout(self.client.json(method, &url, body)).await?;
        if !status.is_success() {
            return Err(CallError::unknown(format!("status {status} from {path}: {value}")));
        }
        serde_json::from_value(value).map_err(|error| CallError::unknown(error.to_string()))
    }

    /// Reads a feed, whose items are parsed one by one.
    async fn feed<A>(
        &self,
        path: &str,
        parse: impl FnOnce(&[u8]) -> Result<A, FeedError>,
    ) -> Result<A, CallError> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("{}{path}", self.base))
            .body(Full::default())
            .map_err(|error| CallError::not_sent(error.to_string()))?;
        let answer = self.with_timeout(self.client.fetch(request)).await?;
        let status = answer.status();
        if !status.is_success() {
            return Err(CallError::unknown(format!("status {status} from {path}")));
        }
        parse(answer.body()).map_err(|error| CallError::unknown(format!("{path}: {error}")))
    }

    async fn object_call(
        &self,
        method: Method,
        name: String,
        bytes: Bytes,
    ) -> Result<Option<Bytes>, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}/v1/objects/{name}", self.base))
            .body(Full::new(bytes))
            .map_err(|error| CallError::not_sent(error.to_string()))?;
        let answer = self.with_timeout(self.client.fetch(request)).await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => Ok(Some(answer.into_body())),
            status => Err(CallError::unknown(format!("status {status} from object {name}"))),
        }
    }
}

const NO_BODY: Option<&()> = None;

impl PlatformClient for HttpPlatform {
    fn transact(&self, atomic: bool, writes: Vec<TableWrite>) -> PlatformFuture<'_, TransactAnswer> {
        Box::pin(async move {
            let request = TransactRequest { atomic, writes };
            self.call(Method::POST, "/v1/table/transact", Some(&request)).await
        })
    }

    fn item(&self, key: String) -> PlatformFuture<'_, Option<ItemRead>> {
        Box::pin(async move {
            let query: String = url::form_urlencoded::byte_serialize(key.as_bytes()).collect();
            self.call(Method::GET, &format!("/v1/table/item?key={query}"), NO_BODY).await
        })
    }

    fn changes(&self, prefix: &'static str, since: u64) -> PlatformFuture<'_, ChangeFeed> {
        Box::pin(async move {
            let path = format!("/v1/table/changes?prefix={prefix}&since={since}");
            self.feed(&path, parse_change_feed).await
        })
    }

    fn hosts(&self, known: u64) -> PlatformFuture<'_, HostFeed> {
        Box::pin(async move { self.feed(&format!("/v1/hosts?known={known}"), parse_host_feed).await })
    }

    fn register(&self, host: HostEntry) -> PlatformFuture<'_, ()> {
        Box::pin(async move {
            let _hosts: serde_json::Value = self.call(Method::POST, "/v1/hosts", Some(&host)).await?;
            Ok(())
        })
    }

    fn object(&self, name: String) -> PlatformFuture<'_, Option<Bytes>> {
        Box::pin(self.object_call(Method::GET, name, Bytes::new()))
    }

    fn put_object(&self, name: String, bytes: Bytes) -> PlatformFuture<'_, ()> {
        Box::pin(async move { self.object_call(Method::PUT, name, bytes).await.map(drop) })
    }
}
