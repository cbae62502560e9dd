//! Comparison of the groups of one service.

use super::groups::{GroupIndex, GroupStatus, LATE_PASS_MILLIS};

/// A group and its state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GroupSnapshot {
    /// The group.
    pub index: GroupIndex,
    /// Its state.
    pub status: GroupStatus,
}

/// State of a service's groups by group index; `None` for groups of other services.
#[derive(Debug, Clone, Default)]
pub struct ServicePaces {
    groups: Vec<Option<GroupStatus>>,
    /// Pass time in milliseconds of the best group that is not stalled; `None` if all are stalled.
    best_millis: Option<f64>,
    /// Fraction of slots that are occupied in the groups that are not stalled.
    taken: f64,
}

impl ServicePaces {
    pub(super) fn new(groups: Vec<Option<GroupStatus>>) -> Self {
        let usable = groups.iter().flatten().filter(|pace| !pace.stalled);
        let best_millis = usable.map(|pace| pace.millis).min_by(f64::total_cmp);
        Self { groups, best_millis, taken: 0.0 }
    }

    pub(super) fn with_taken(self, taken: f64) -> Self {
        Self { taken, ..self }
    }

    /// Whether a group is known and not stalled.
    pub(super) fn goes_on(&self, group: GroupIndex) -> bool {
        self.pace(group).is_some_and(|pace| !pace.stalled)
    }

    /// State of a group.
    pub fn pace(&self, group: GroupIndex) -> Option<GroupStatus> {
        self.groups.get(group.place()).copied().flatten()
    }

    /// Pass time in milliseconds of the best group that is not stalled, other than this one.
    pub fn best_other(&self, group: GroupIndex) -> Option<f64> {
        let others = self.groups.iter().enumerate().filter(|(place, _pace)| *place != group.place());
        let usable = others.filter_map(|(_place, pace)| *pace).filter(|pace| !pace.stalled);
        usable.map(|pace| pace.millis).min_by(f64::total_cmp)
    }

    /// Fraction of slots that are occupied in the groups that are not stalled.
    pub fn taken(&self) -> f64 {
        self.taken
    }

    /// Whether a rank of a group may get a request. Stalled groups get only probes while others work.
    pub(super) fn open(&self, group: Option<GroupIndex>) -> bool {
        let pace = group.and_then(|group| self.pace(group));
        pace.is_none_or(|pace| !pace.stalled || pace.probe_due || self.best_millis.is_none())
    }

    /// Whether the passes of a group make its streams late while another group's do not.
    pub(super) fn late(&self, group: Option<GroupIndex>) -> bool {
        let late = |millis: f64| millis > LATE_PASS_MILLIS;
        let pace = group.and_then(|group| self.pace(group)).filter(|pace| !pace.probe_due);
        pace.is_some_and(|pace| late(pace.millis)) && self.best_millis.is_some_and(|best| !late(best))
    }

    /// Factor by which requests at a rank of a group cost more than at the best group.
    pub(super) fn factor(&self, group: Option<GroupIndex>) -> f64 {
        let pace = group.and_then(|group| self.pace(group)).filter(|pace| !pace.probe_due);
        match (pace, self.best_millis) {
            (Some(pace), Some(best)) => pace.factor(best),
            _ => 1.0,
        }
    }
}
