//! Loads of a group whose age keeps counting while a process holds them.

use porthoist_policy::proxy::group_loads::GroupLoads;
use std::time::Duration;
use tokio::time::Instant;

/// Loads of a group, and when their age was measured. Ages are durations, so that the clocks of hosts need not agree.
#[derive(Debug, Clone, PartialEq)]
pub struct AgedLoads {
    loads: GroupLoads,
    measured: Instant,
}

impl AgedLoads {
    /// Wraps loads whose age is up to date.
    pub fn new(loads: GroupLoads) -> Self {
        Self { loads, measured: Instant::now() }
    }

    /// Wraps loads of which the oldest engine reading was taken at `read_at`.
    pub fn read_at(loads: GroupLoads, read_at: Instant) -> Self {
        Self { loads: GroupLoads { age_millis: 0, ..loads }, measured: read_at }
    }

    /// The loads as received, without the time for which this process has held them.
    pub fn received(&self) -> &GroupLoads {
        &self.loads
    }

    /// The loads with their present age.
    pub fn current(&self) -> GroupLoads {
        let mut loads = self.loads.clone();
        loads.age_millis = loads.age_millis.saturating_add(millis(self.measured.elapsed()));
        loads
    }
}

impl From<GroupLoads> for AgedLoads {
    fn from(loads: GroupLoads) -> Self {
        Self::new(loads)
    }
}

pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
