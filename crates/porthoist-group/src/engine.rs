//! An engine's part in a rank group: it keeps the hold, the map and the fencing number, and counts its steps.

use futures::future::BoxFuture;
use hyper::{Method, StatusCode};
use porthoist_http::{CallError, HttpClient};
use porthoist_policy::switch::KeptRank;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An order to an engine: what it must hold from now on. The fencing number is the promised ballot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    /// Orders with a lower number than the highest seen are refused.
    pub fence: u32,
    /// What to hold; the engine takes armed and committed switch from it.
    pub hold: KeptRank,
}

/// The engine of one rank.
pub trait GroupEngine: fmt::Debug + Send + Sync {
    /// What it holds, and the last step that it started.
    fn kept(&self) -> BoxFuture<'_, Result<KeptRank, CallError>>;
    /// Gives an order; false where its fencing number is old or the switch's step has begun.
    fn order(&self, order: RankOrder) -> BoxFuture<'_, Result<bool, CallError>>;
}

/// An engine over HTTP: `GET /group` and `POST /group`.
#[derive(Debug, Clone)]
pub struct HttpGroupEngine {
    url: String,
    client: HttpClient,
}

impl HttpGroupEngine {
    /// The engine at `base`.
    pub fn new(base: &str) -> Self {
        Self { url: format!("{}/group", base.trim_end_matches('/')), client: HttpClient::new() }
    }
}

impl GroupEngine for HttpGroupEngine {
    fn kept(&self) -> BoxFuture<'_, Result<KeptRank, CallError>> {
        Box::pin(async move {
            let (_status, kept) = self.client.json(Method::GET, &self.url, None::<&()>).await?;
            Ok(kept)
        })
    }

    fn order(&self, order: RankOrder) -> BoxFuture<'_, Result<bool, CallError>> {
        Box::pin(async move {
            let (status, _kept): (StatusCode, serde_json::Value) =
                self.client.json(Method::POST, &self.url, Some(&order)).await?;
            Ok(status.is_success())
        })
    }
}
