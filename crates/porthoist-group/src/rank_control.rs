//! The ways to the engines of a group that hold it themselves: to the one beside this process, and over the processes
//! beside the others.

use futures::future::LocalBoxFuture;
use porthoist_core::StartMillis;
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::roll_forward::{EngineOrder, RankState, RankView};
use porthoist_policy::switch::MapVersion;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What an engine's own requests chose since it started, by set and expert.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpertCounts {
    /// When this life of the engine began.
    pub born: StartMillis,
    /// Counts, set after set.
    pub counts: Vec<u64>,
}

/// The map in use and one rank's experts by set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertLists {
    /// The map's version.
    pub version: MapVersion,
    /// Experts by set.
    pub experts: Vec<Vec<ExpertId>>,
}

/// The pending answer of an engine or of the process beside it.
pub type RankFuture<'a, T> = LocalBoxFuture<'a, Result<T, CallError>>;

/// The engine beside this process.
pub trait LocalEngine: fmt::Debug {
    /// What it reports of itself.
    fn state(&self) -> RankFuture<'_, RankState>;
    /// What its requests chose since it started.
    fn counts(&self) -> RankFuture<'_, ExpertCounts>;
    /// Its experts.
    fn lists(&self) -> RankFuture<'_, ExpertLists>;
    /// Gives an order, with the map that a prepare is about; `false` if it was refused.
    fn order<'a>(&'a self, order: EngineOrder, map: Option<&'a EqualShareMap>) -> RankFuture<'a, bool>;
}

/// One observation of a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankObservation {
    /// The engine's state.
    pub state: RankState,
    /// What its requests chose since the last observation with counts, by set and expert.
    pub counts: Vec<u32>,
}

/// How an engine took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether it was taken, or what it asks for holds already.
    pub taken: bool,
    /// What the engine reported right after it; nothing if it did not answer.
    pub view: Option<RankView>,
}

/// The way to the process beside a rank.
pub trait RankControl: fmt::Debug {
    /// Observes the rank.
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation>;
    /// The rank's experts.
    fn lists(&self) -> RankFuture<'_, ExpertLists>;
    /// Passes an order on.
    fn order<'a>(&'a self, order: EngineOrder, map: Option<&'a EqualShareMap>)
    -> RankFuture<'a, OrderAnswer>;
    /// Leaves the present connection behind, if there is one: it did not bring a reading in time.
    fn reset(&self) {}
}
