//! State of the groups that a service's targets belong to.

use super::LoadBalancer;
use crate::proxy::groups::GroupIndex;
use crate::proxy::service_groups::{GroupSnapshot, ServiceGroups};
use crate::proxy::steady_pass::SteadyPass;
use crate::proxy::targets::TargetLife;
use porthoist_core::{ServiceName, UnixMillis};

impl LoadBalancer {
    /// State of a service's groups.
    pub fn service_groups(&self, service: &ServiceName, now: UnixMillis) -> ServiceGroups {
        let loads = || self.loads.values().filter(|load| load.record.service == *service);
        let mut running: Vec<Option<u32>> = vec![None; self.groups.len()];
        for load in loads() {
            let Some(group) = load.group else { continue };
            *running[group.as_usize()].get_or_insert(0) += load.in_flight;
        }
        let status = |(index, running): (usize, &Option<u32>)| {
            running.map(|running| self.groups.status(GroupIndex::new(index), running, now))
        };
        let groups = ServiceGroups::new(running.iter().enumerate().map(status).collect());
        let (mut occupied, mut slots) = (0, 0);
        // Targets that apply backpressure can't absorb requests that leave other groups.
        let usable = loads().filter(|load| load.rate(now).is_none() && !load.is_closed(now));
        for load in usable.filter(|load| load.group.is_some_and(|group| groups.is_working(group))) {
            occupied += load.requests(None, now).count;
            slots += self.settings.rank_limit.min(load.record.slots);
        }
        groups.with_occupancy(if slots == 0 { 1.0 } else { f64::from(occupied) / f64::from(slots) })
    }

    /// The pass time of a target's group without the peaks of single passes, as far as recent reports show it.
    pub fn steady_pass(&self, life: &TargetLife, now: UnixMillis) -> Option<SteadyPass> {
        self.groups.steady_pass(self.group_of(life)?, now)
    }

    /// Services with known groups.
    pub fn grouped_services(&self) -> Vec<ServiceName> {
        self.shares.keys().cloned().collect()
    }

    /// The groups that stalled or recovered since the last call.
    pub fn group_changes(&mut self, service: &ServiceName, now: UnixMillis) -> Vec<GroupSnapshot> {
        let groups = self.service_groups(service, now);
        let indices = (0..self.groups.len()).map(GroupIndex::new);
        let snapshots: Vec<GroupSnapshot> = indices
            .filter_map(|index| Some(GroupSnapshot { index, status: groups.status(index)? }))
            .collect();
        let changed = snapshots
            .into_iter()
            .filter(|group| self.groups.update_stalled(group.index, group.status.stalled));
        changed.collect()
    }
}
