//! The planner of a group in the daemon: late windows of counts and speeds in, the next expert map out.

use porthoist_policy::placement::estimate::GroupEstimator;
use porthoist_policy::placement::map::ExpertMap;
use porthoist_policy::placement::{
    GroupEstimate, PlacementPlan, PlannerSettings, peak, place_from_scratch, plan,
};
use porthoist_policy::table::PolicyRow;
use serde::{Deserialize, Serialize};

/// New shares alone are worth a switch when the slowest rank wins such a part of the mean rank time.
const SHARE_GAIN: f64 = 0.02;

/// What an engine counted in a window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ExpertWindow {
    /// Tokens that each expert got.
    pub tokens: Vec<f64>,
    /// Speed of each rank relative to a healthy one.
    pub speeds: Vec<f64>,
    /// Expert slots of each rank.
    pub slots: usize,
}

/// The planner.
#[derive(Debug)]
pub struct GroupPlanner {
    estimator: GroupEstimator,
    map: ExpertMap,
}

impl ExpertWindow {
    /// Whether it has counts for experts and speeds for ranks, and a slot for every expert.
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
    /// A planner for a group that uses `map`; without one the first window places all experts.
    pub fn new(first: &ExpertWindow, map: Option<ExpertMap>) -> Self {
        let estimate = first.estimate();
        let placed = || place_from_scratch(&estimate, first.speeds.len(), first.slots);
        let map = map.unwrap_or_else(placed);
        Self { estimator: GroupEstimator::new(&estimate), map }
    }

    /// The map that is planned on.
    pub fn map(&self) -> &ExpertMap {
        &self.map
    }

    /// Takes a window and plans; nothing where neither moves nor new shares are worth a switch.
    pub fn plan_window(&mut self, window: &ExpertWindow, row: &PolicyRow) -> Option<PlacementPlan> {
        self.estimator.counts(&window.tokens);
        self.estimator.speeds(&window.speeds);
        let estimate = self.estimator.estimate();
        let next = plan(&self.map, &estimate, &PlannerSettings::from_row(row));
        let gain = peak(&self.map, &estimate) - next.peak_after;
        (!next.moves.is_empty() || gain >= SHARE_GAIN).then_some(next)
    }

    /// The group has switched to a map.
    pub fn set_map(&mut self, map: ExpertMap) {
        self.map = map;
    }
}
