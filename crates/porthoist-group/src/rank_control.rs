//! Interfaces to the ranks of a group whose engines themselves hold the group for a switch: to the engine next to this
//! process, and to the other ranks through the processes next to their engines.

use futures::future::LocalBoxFuture;
use porthoist_core::StartMillis;
use porthoist_http::CallError;
use porthoist_policy::placement::equal_shares::EqualShareMap;
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::proxy::demand::ServiceDemand;
use porthoist_policy::roll_forward::{EngineOrder, RankState, RankView};
use porthoist_policy::switch::MapVersion;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How often the engine's own requests chose each expert since it started, by set and expert.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpertCounts {
    /// When the engine started.
    pub born: StartMillis,
    /// Counts, one set after another.
    pub counts: Vec<u64>,
}

/// The experts of one rank in the map in use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertLists {
    /// The map's version.
    pub version: MapVersion,
    /// Experts by set.
    pub experts: Vec<Vec<ExpertId>>,
}

/// Pending answer of an engine or of the process next to it.
pub type RankFuture<'a, T> = LocalBoxFuture<'a, Result<T, CallError>>;

/// The engine next to this process.
pub trait LocalEngine: fmt::Debug {
    /// Reads the engine's state.
    fn state(&self) -> RankFuture<'_, RankState>;
    /// Reads the counts since the engine started.
    fn counts(&self) -> RankFuture<'_, ExpertCounts>;
    /// Reads the engine's experts.
    fn expert_lists(&self) -> RankFuture<'_, ExpertLists>;
    /// Sends an order, with the map if the order prepares one; returns `false` if it was refused.
    fn order<'a>(&'a self, order: EngineOrder, map: Option<&'a EqualShareMap>) -> RankFuture<'a, bool>;
}

/// One observation of a rank.
#[derive(Debug, Clone, PartialEq)]
pub struct RankObservation {
    /// The engine's state.
    pub state: RankState,
    /// How often its requests chose each expert since the last observation with counts, by set and expert.
    pub counts: Vec<u32>,
    /// Demand of the entries that report theirs to the process next to the rank.
    pub demand: Option<ServiceDemand>,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether the order was accepted, or what it asks for was already the case.
    pub taken: bool,
    /// The engine's state right after the order; `None` if the engine did not report it.
    pub view: Option<RankView>,
}

/// Control over one rank through the process next to it.
pub trait RankControl: fmt::Debug {
    /// Reads the rank's state, with counts if asked for.
    fn observe(&self, counts: bool) -> RankFuture<'_, RankObservation>;
    /// Reads the rank's experts.
    fn expert_lists(&self) -> RankFuture<'_, ExpertLists>;
    /// Sends an order, with the map if the order prepares one.
    fn order<'a>(&'a self, order: EngineOrder, map: Option<&'a EqualShareMap>)
    -> RankFuture<'a, OrderAnswer>;
    /// Drops the current connection, if there is one, after it did not deliver a reading in time.
    fn reset(&self) {}
}
