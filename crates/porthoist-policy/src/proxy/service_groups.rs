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
pub struct ServiceGroups {
    groups: Vec<Option<GroupStatus>>,
    /// Pass time in milliseconds of the best group that is not stalled; `None` if all are stalled.
    best_millis: Option<f64>,
    /// Fraction of slots that are occupied in the groups that are not stalled.
    occupancy: f64,
}

impl ServiceGroups {
    pub(super) fn new(groups: Vec<Option<GroupStatus>>) -> Self {
        let usable = groups.iter().flatten().filter(|status| !status.stalled);
        let best_millis = usable.map(|status| status.millis).min_by(f64::total_cmp);
        Self { groups, best_millis, occupancy: 0.0 }
    }

    pub(super) fn with_occupancy(self, occupancy: f64) -> Self {
        Self { occupancy, ..self }
    }

    /// Whether a group is known and not stalled.
    pub(super) fn is_working(&self, group: GroupIndex) -> bool {
        self.status(group).is_some_and(|status| !status.stalled)
    }

    /// State of a group.
    pub fn status(&self, group: GroupIndex) -> Option<GroupStatus> {
        self.groups.get(group.as_usize()).copied().flatten()
    }

    /// Pass time in milliseconds of the best group that is not stalled, other than this one.
    pub fn best_other_millis(&self, group: GroupIndex) -> Option<f64> {
        let others = self.groups.iter().enumerate().filter(|(index, _status)| *index != group.as_usize());
        let usable = others.filter_map(|(_index, status)| *status).filter(|status| !status.stalled);
        usable.map(|status| status.millis).min_by(f64::total_cmp)
    }

    /// Fraction of slots that are occupied in the groups that are not stalled.
    pub fn occupancy(&self) -> f64 {
        self.occupancy
    }

    /// Whether a rank of a group may get a request. Stalled groups get only probes while others work.
    pub(super) fn is_open(&self, group: Option<GroupIndex>) -> bool {
        let status = group.and_then(|group| self.status(group));
        status.is_none_or(|status| !status.stalled || status.probe_due || self.best_millis.is_none())
    }

    /// Whether the passes of a group make its streams late while another group's do not.
    pub(super) fn is_late(&self, group: Option<GroupIndex>) -> bool {
        let late = |millis: f64| millis > LATE_PASS_MILLIS;
        let status = group.and_then(|group| self.status(group)).filter(|status| !status.probe_due);
        status.is_some_and(|status| late(status.millis)) && self.best_millis.is_some_and(|best| !late(best))
    }

    /// Factor by which requests at a rank of a group cost more than at the best group.
    pub(super) fn cost_factor(&self, group: Option<GroupIndex>) -> f64 {
        let status = group.and_then(|group| self.status(group)).filter(|status| !status.probe_due);
        match (status, self.best_millis) {
            (Some(status), Some(best)) => status.slowness(best),
            _ => 1.0,
        }
    }
}
