//! What reports show of a target that does not respond: whether it is alive, and how long its queue is.

use super::LoadBalancer;
use crate::proxy::targets::TargetLife;
use porthoist_core::UnixMillis;

impl LoadBalancer {
    /// Whether a valid report shows that a target's host is heard and that its group works.
    pub fn is_alive(&self, life: &TargetLife, now: UnixMillis) -> bool {
        let Some(load) = self.loads.get(life) else { return false };
        let Some(group) = load.group.filter(|_group| load.others(now).is_some() && !load.silent(now)) else {
            return false;
        };
        self.service_groups(&load.record.service, now).is_working(group)
    }

    /// Number of known requests of all processes beyond a target's slots; 0 without a valid report.
    pub fn beyond_slots(&self, life: &TargetLife, now: UnixMillis) -> u32 {
        self.loads.get(life).map_or(0, |load| load.beyond_slots(now))
    }
}
