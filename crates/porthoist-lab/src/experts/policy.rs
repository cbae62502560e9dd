//! The policies: static map, full re-balance, oracle, and porthoist's planner.

use super::drift::LateWindow;
use super::{ExpertsSettings, PolicyResult};
use porthoist_policy::placement::estimate::GroupEstimator;
use porthoist_policy::placement::map::ExpertMap;
use porthoist_policy::placement::{GroupEstimate, PlannerSettings, place_from_scratch, plan, reshare};
use porthoist_policy::table::PolicyRow;

/// Time between two full re-balances in milliseconds.
pub const FULL_MILLIS: u64 = 10_000;
/// The oracle finds its map anew so often, in milliseconds.
const ORACLE_MILLIS: u64 = 500;

/// Which policy.
#[derive(Debug, Clone)]
pub enum PolicyKind {
    /// The first map for ever.
    Static,
    /// Everything placed anew in every interval, from the same late counts.
    Full,
    /// Sees the true popularity and speed at once and moves for nothing: the limit.
    Oracle,
    /// Porthoist's planner with a policy row.
    Porthoist(PolicyRow),
}

/// A map that is being loaded.
#[derive(Debug)]
struct PendingMap {
    ready_at: u64,
    map: ExpertMap,
    loads: usize,
}

/// One group under one policy.
#[derive(Debug)]
pub struct GroupPolicy {
    kind: PolicyKind,
    settings: ExpertsSettings,
    estimator: GroupEstimator,
    map: ExpertMap,
    pending: Option<PendingMap>,
    next_full: u64,
    result: PolicyResult,
}

impl GroupPolicy {
    /// A group on its first map.
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
            next_full: FULL_MILLIS,
            result: PolicyResult::default(),
        }
    }

    /// Moves on to a time, with the truth (for the oracle) and what became known.
    pub fn advance(&mut self, now: u64, truth: &GroupEstimate, observed: &[LateWindow]) {
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
            PolicyKind::Full => self.full(now),
            PolicyKind::Oracle => self.oracle(now, truth),
            PolicyKind::Porthoist(row) => self.planned(now, &row),
        }
    }

    fn switch(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        self.map = pending.map;
        self.result.switched(&self.settings, pending.loads);
    }

    /// Loads what the next map needs; it is used when all is there.
    fn load(&mut self, now: u64, map: ExpertMap) {
        let loads = map.replicas_missing_in(&self.map);
        if loads == 0 {
            self.map = map;
            return;
        }
        let bytes = loads as u64 * self.settings.expert_bytes;
        let ready_at = now + bytes * 1000 / self.settings.store_rate;
        self.pending = Some(PendingMap { ready_at, map, loads });
    }

    fn full(&mut self, now: u64) {
        if now < self.next_full || self.pending.is_some() {
            return;
        }
        self.next_full = now + FULL_MILLIS;
        let map = place_from_scratch(&self.estimator.estimate(), self.settings.ranks, self.settings.slots);
        self.load(now, map);
    }

    fn oracle(&mut self, now: u64, truth: &GroupEstimate) {
        if now.is_multiple_of(ORACLE_MILLIS) {
            self.map = place_from_scratch(truth, self.settings.ranks, self.settings.slots);
        }
        self.map = reshare(&self.map, truth);
    }

    fn planned(&mut self, now: u64, row: &PolicyRow) {
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

    /// Takes one step.
    pub fn step(&mut self, now: u64, step: &GroupEstimate) {
        self.result.step(now, &self.map, step);
    }

    /// What it came to.
    pub fn finish(self) -> PolicyResult {
        self.result
    }
}
