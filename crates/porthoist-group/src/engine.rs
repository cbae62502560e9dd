//! Interface to the engine of a rank, which saves the state of switches and counts its steps.

use crate::planner::ExpertWindow;
use futures::future::BoxFuture;
use hyper::{Method, StatusCode};
use porthoist_http::{CallError, HttpClient};
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::switch::{MapVersion, SavedRank};
use serde::{Deserialize, Serialize};
use std::fmt;

/// An order that replaces an engine's saved state. The promised ballot is the fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankOrder {
    /// Fencing number: the engine refuses an order whose number is lower than the highest it has seen.
    pub fence: u32,
    /// The new state, from which the engine takes the armed and the committed switch.
    pub hold: SavedRank,
}

/// The engine of one rank.
pub trait GroupEngine: fmt::Debug + Send + Sync {
    /// Returns the engine's saved state and the last step that it started.
    fn saved_state(&self) -> BoxFuture<'_, Result<SavedRank, CallError>>;
    /// Returns what the engine counted since the last window.
    fn window(&self) -> BoxFuture<'_, Result<ExpertWindow, CallError>>;
    /// Loads a rank's experts of a map without blocking steps; returns true once they are loaded.
    fn load(&self, map: MapVersion, held: Vec<ExpertId>) -> BoxFuture<'_, Result<bool, CallError>>;
    /// Sends an order; returns false if its fencing number is outdated or the switch's step has begun.
    fn order(&self, order: RankOrder) -> BoxFuture<'_, Result<bool, CallError>>;
}

/// The experts that a rank is to load for a map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapLoad {
    /// The map.
    pub map: MapVersion,
    /// The rank's experts.
    pub held: Vec<ExpertId>,
}

/// An engine over HTTP: `GET` and `POST /group`, `GET /experts`, `POST /experts/load`.
#[derive(Debug, Clone)]
pub struct HttpGroupEngine {
    base: String,
    url: String,
    client: HttpClient,
}

impl HttpGroupEngine {
    /// Creates a client of the engine at the URL `base`.
    pub fn new(base: &str) -> Self {
        let base = base.trim_end_matches('/').to_owned();
        Self { url: format!("{base}/group"), base, client: HttpClient::new() }
    }
}

impl GroupEngine for HttpGroupEngine {
    fn saved_state(&self) -> BoxFuture<'_, Result<SavedRank, CallError>> {
        Box::pin(async move {
            let (_status, saved) = self.client.json(Method::GET, &self.url, None::<&()>).await?;
            Ok(saved)
        })
    }

    fn window(&self) -> BoxFuture<'_, Result<ExpertWindow, CallError>> {
        Box::pin(async move {
            let url = format!("{}/experts", self.base);
            let (_status, window) = self.client.json(Method::GET, &url, None::<&()>).await?;
            Ok(window)
        })
    }

    fn load(&self, map: MapVersion, held: Vec<ExpertId>) -> BoxFuture<'_, Result<bool, CallError>> {
        Box::pin(async move {
            let url = format!("{}/experts/load", self.base);
            let (status, _answer): (StatusCode, serde_json::Value) =
                self.client.json(Method::POST, &url, Some(&MapLoad { map, held })).await?;
            Ok(status.is_success())
        })
    }

    fn order(&self, order: RankOrder) -> BoxFuture<'_, Result<bool, CallError>> {
        Box::pin(async move {
            let (status, _saved): (StatusCode, serde_json::Value) =
                self.client.json(Method::POST, &self.url, Some(&order)).await?;
            Ok(status.is_success())
        })
    }
}
