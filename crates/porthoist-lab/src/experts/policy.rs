//! The compared policies: static map, full re-balance, oracle, and porthoist's planner.

use super::drift::DelayedWindow;
use super::{ExpertsSettings, PolicyResult};
use porthoist_policy::placement::estimate::GroupEstimator;
use porthoist_policy::placement::map::ExpertMap;
use porthoist_policy::placement::{GroupEstimate, PlannerSettings, place_from_scratch, plan, reshare};
use porthoist_policy::table::PolicyRow;

/// Interval between two full re-balances in milliseconds.
pub const REBALANCE_INTERVAL_MILLIS: u64 = 10_000;
/// Interval in milliseconds at which the oracle computes a new map.
const ORACLE_INTERVAL_MILLIS: u64 = 500;

/// Kind of policy.
#[derive(Debug, Clone)]
pub enum PolicyKind {
    /// Keeps the initial map.
    Static,
    /// Computes a new map in every interval, from the same delayed counts as the planner.
    Full,
    /// Knows the actual popularity and speeds without delay and moves experts at no cost: the lower
    /// bound of the skew.
    Oracle,
    /// Porthoist's planner with a policy row.
    Porthoist(PolicyRow),
}

/// A map whose experts are being loaded.
#[derive(Debug)]
struct PendingMap {
    ready_at: u64,
    map: ExpertMap,
    loads: usize,
}

/// A group with one policy.
#[derive(Debug)]
pub struct GroupPolicy {
    kind: PolicyKind,
    settings: ExpertsSettings,
    estimator: GroupEstimator,
    map: ExpertMap,
    pending: Option<PendingMap>,
    next_rebalance: u64,
    result: PolicyResult,
}

impl GroupPolicy {
    /// Creates a group with an initial map.
    pub fn new(
        kind: PolicyKind,
        settings: &ExpertsSettings,
        initial: &GroupEstimate,
        map: ExpertMap,
    ) -> Self {
        Self {
            kind,
            settings: settings.clone(),
            estimator: GroupEstimator::new(initial),
            map,
            pending: None,
            next_rebalance: REBALANCE_INTERVAL_MILLIS,
            result: PolicyResult::default(),
        }
    }

    /// Advances to a time in milliseconds. `actual` is for the oracle only; `observed` are the
    /// windows that became known.
    pub fn advance(&mut self, now: u64, actual: &GroupEstimate, observed: &[DelayedWindow]) {
        if self.pending.as_ref().is_some_and(|pending| pending.ready_at <= now) {
            self.switch();
        }
        for window in observed {
            self.estimator.counts(&window.tokens);
            self.estimator.speeds(&window.speeds);
        }
        match self.kind.clone() {
            PolicyKind::Static | PolicyKind::Porthoist(_) if observed.is_empty() => {}
            PolicyKind::Static => {}
            PolicyKind::Full => self.rebalance(now),
            PolicyKind::Oracle => self.place_by_actual(now, actual),
            PolicyKind::Porthoist(row) => self.apply_plan(now, &row),
        }
    }

    fn switch(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        self.map = pending.map;
        self.result.record_switch(&self.settings, pending.loads);
    }

    /// Loads the experts that the next map needs. The map takes effect once all are loaded.
    fn load(&mut self, now: u64, map: ExpertMap) {
        let loads = map.replicas_missing_in(&self.map);
        if loads == 0 {
            self.map = map;
            return;
        }
        let bytes = loads as u64 * self.settings.expert_bytes;
        let ready_at = now + bytes * 1000 / self.settings.store_bytes_per_second;
        self.pending = Some(PendingMap { ready_at, map, loads });
    }

    fn rebalance(&mut self, now: u64) {
        if now < self.next_rebalance || self.pending.is_some() {
            return;
        }
        self.next_rebalance = now + REBALANCE_INTERVAL_MILLIS;
        let map = place_from_scratch(&self.estimator.estimate(), self.settings.ranks, self.settings.slots);
        self.load(now, map);
    }

    fn place_by_actual(&mut self, now: u64, actual: &GroupEstimate) {
        if now.is_multiple_of(ORACLE_INTERVAL_MILLIS) {
            self.map = place_from_scratch(actual, self.settings.ranks, self.settings.slots);
        }
        self.map = reshare(&self.map, actual);
    }

    fn apply_plan(&mut self, now: u64, row: &PolicyRow) {
        let estimate = self.estimator.estimate();
        self.map = reshare(&self.map, &estimate);
        if self.pending.is_some() {
            return;
        }
        let next = plan(&self.map, &estimate, &PlannerSettings::from_row(row));
        if !next.moves.is_empty() {
            self.load(now, next.map);
        }
    }

    /// Records one step.
    pub fn record_step(&mut self, now: u64, step: &GroupEstimate) {
        self.result.record_step(now, &self.map, step);
    }

    /// Returns the result.
    pub fn finish(self) -> PolicyResult {
        self.result
    }
}
