//! Planner of a group's expert map, from windows of delayed token counts and rank speeds.

use porthoist_policy::placement::estimate::GroupEstimator;
use porthoist_policy::placement::map::ExpertMap;
use porthoist_policy::placement::{
    GroupEstimate, PlacementPlan, PlannerSettings, peak, place_from_scratch, plan,
};
use porthoist_policy::table::PolicyRow;
use serde::{Deserialize, Serialize};

/// Least gain of the slowest rank, as part of the mean rank time, for which new shares alone are worth a switch.
const MIN_SHARE_GAIN: f64 = 0.02;

/// What an engine counted in a window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ExpertWindow {
    /// Tokens routed to each expert.
    pub tokens: Vec<f64>,
    /// Speed of each rank relative to a healthy one.
    pub speeds: Vec<f64>,
    /// Expert slots per rank.
    pub slots: usize,
}

/// Plans the expert map of one group.
#[derive(Debug)]
pub struct GroupPlanner {
    estimator: GroupEstimator,
    map: ExpertMap,
}

impl ExpertWindow {
    /// Whether the window has token counts, rank speeds and a slot for every expert.
    pub fn usable(&self) -> bool {
        let experts = self.tokens.len();
        experts > 0 && self.slots * self.speeds.len() >= experts && self.tokens.iter().sum::<f64>() > 0.0
    }

    fn estimate(&self) -> GroupEstimate {
        let total: f64 = self.tokens.iter().sum();
        let popularity = self.tokens.iter().map(|tokens| tokens / total).collect();
        GroupEstimate { popularity, speed: self.speeds.clone() }
    }
}

impl GroupPlanner {
    /// Creates a planner for a group that uses `map`; without a map, all experts are placed by the first window.
    pub fn new(first: &ExpertWindow, map: Option<ExpertMap>) -> Self {
        let estimate = first.estimate();
        let placed = || place_from_scratch(&estimate, first.speeds.len(), first.slots);
        let map = map.unwrap_or_else(placed);
        Self { estimator: GroupEstimator::new(&estimate), map }
    }

    /// Returns the map that plans start from.
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Adds a window and plans; returns `None` if neither moves nor new shares are worth a switch.
    pub fn plan_window(&mut self, window: &ExpertWindow, row: &PolicyRow) -> Option<PlacementPlan> {
        self.estimator.counts(&window.tokens);
        self.estimator.speeds(&window.speeds);
        let estimate = self.estimator.estimate();
        let next = plan(&self.map, &estimate, &PlannerSettings::from_row(row));
        let gain = peak(&self.map, &estimate) - next.peak_after;
        (!next.moves.is_empty() || gain >= MIN_SHARE_GAIN).then_some(next)
    }

    /// Sets the map that the group has switched to.
    pub fn set_map(&mut self, map: ExpertMap) {
        self.map = map;
    }
}
