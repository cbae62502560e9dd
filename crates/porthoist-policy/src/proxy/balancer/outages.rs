//! What the reports of a service's groups say about an outage.

use super::LoadBalancer;
use crate::proxy::groups::GroupIndex;
use crate::proxy::returns::GroupReport;
use porthoist_core::ServiceName;
use std::collections::BTreeSet;

impl LoadBalancer {
    /// Maximum number of bytes of the requests to one service that wait during an outage.
    pub fn outage_wait_bytes(&self) -> u64 {
        self.settings.outage_wait_bytes
    }

    /// What the last reports of a service's groups say; `None` while no group is known.
    pub fn group_report(&self, service: &ServiceName) -> Option<GroupReport> {
        let loads = self.loads.values().filter(|load| load.record.service == *service);
        let groups: BTreeSet<GroupIndex> = loads.filter_map(|load| load.group).collect();
        (!groups.is_empty()).then(|| GroupReport {
            stalled: groups.iter().all(|index| self.groups.reported_stalled(*index)),
            forming: groups.iter().all(|index| self.groups.is_broken(*index)),
        })
    }
}
