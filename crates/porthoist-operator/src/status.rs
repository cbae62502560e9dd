//! What an entry knows of the fleet, for `porthoist status`.

use porthoist_core::{IncarnationId, LoadReport, ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A target as the answering entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Its name.
    pub target: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the entry hears it.
    pub heard: bool,
    /// Its life, if it was ever heard.
    pub incarnation: Option<IncarnationId>,
    /// The configuration revision in force there.
    pub revision: u64,
    /// Whether it is leaving.
    pub draining: bool,
    /// The services it runs.
    pub services: Vec<ServiceName>,
    /// Its last load report.
    pub load: LoadReport,
}

/// Another entry as the answering entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its name.
    pub node: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether the entry hears it.
    pub heard: bool,
    /// The configuration revision in force there.
    pub revision: u64,
}

/// An availability zone, summed up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Lowest revision in force on any process that is heard; absent where none is.
    pub revision: Option<u64>,
    /// Processes heard.
    pub heard: u32,
    /// Processes on the host list that are not heard.
    pub silent: Vec<String>,
}

/// The status report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The answering process.
    pub node: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its life.
    pub incarnation: IncarnationId,
    /// The configuration revision in force there.
    pub revision: u64,
    /// Whether the platform answered the last call.
    pub platform_heard: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Other entries.
    pub entries: Vec<NodeStatus>,
    /// Targets.
    pub targets: Vec<TargetStatus>,
}

impl StatusReport {
    /// Sums the report up by availability zone.
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
