//! An entry's knowledge of the fleet, for `porthoist status`.

use porthoist_core::{IncarnationId, LoadReport, ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A target as seen by the reporting entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The name of the process.
    pub target: TargetName,
    /// The availability zone of the process.
    pub zone: ZoneName,
    /// Whether the reporting entry can reach the process.
    pub heard: bool,
    /// Identifies the run of the process, if it was ever reached.
    pub incarnation: Option<IncarnationId>,
    /// The configuration revision in force at the process.
    pub revision: u64,
    /// Whether the target is draining.
    pub draining: bool,
    /// The services that the target runs.
    pub services: Vec<ServiceName>,
    /// The last load report of the target.
    pub load: LoadReport,
}

/// Another entry as seen by the reporting entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of the process.
    pub node: TargetName,
    /// The availability zone of the process.
    pub zone: ZoneName,
    /// Whether the reporting entry can reach the process.
    pub heard: bool,
    /// The configuration revision in force at the process.
    pub revision: u64,
}

/// Summary of an availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Lowest revision in force at any reachable process; absent if none is reachable.
    pub revision: Option<u64>,
    /// Number of reachable processes.
    pub heard: u32,
    /// Names of the unreachable processes on the host list.
    pub silent: Vec<String>,
}

/// Status report of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The name of the reporting process.
    pub node: TargetName,
    /// The availability zone of the process.
    pub zone: ZoneName,
    /// Identifies the run of the reporting process.
    pub incarnation: IncarnationId,
    /// The configuration revision in force at the process.
    pub revision: u64,
    /// Whether the platform answered the last call.
    pub platform_heard: bool,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// The other entries.
    pub entries: Vec<NodeStatus>,
    /// The targets.
    pub targets: Vec<TargetStatus>,
}

impl StatusReport {
    /// Summarizes the report by availability zone.
    pub fn zones(&self) -> BTreeMap<ZoneName, ZoneStatus> {
        let mut zones: BTreeMap<ZoneName, ZoneStatus> = BTreeMap::new();
        let own = (self.zone.clone(), self.node.to_string(), true, self.revision);
        let entries = self
            .entries
            .iter()
            .map(|node| (node.zone.clone(), node.node.to_string(), node.heard, node.revision));
        let targets = self
            .targets
            .iter()
            .map(|target| (target.zone.clone(), target.target.to_string(), target.heard, target.revision));
        for (zone, name, heard, revision) in std::iter::once(own).chain(entries).chain(targets) {
            let status = zones.entry(zone).or_default();
            if heard {
                status.heard += 1;
                status.revision = Some(status.revision.map_or(revision, |lowest| lowest.min(revision)));
            } else {
                status.silent.push(name);
            }
        }
        zones
    }
}
