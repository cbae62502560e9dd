//! What two entries tell each other in one exchange.

use porthoist_core::{IncarnationId, TargetName, ZoneName};
use porthoist_platform::HostEntry;
use porthoist_policy::adoption::ConfigChange;

/// Most leaving marks in one digest.
pub const MAX_LEAVING: usize = 64;

/// A target that is leaving, in one of its lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingMark {
    /// The target.
    pub target: TargetName,
    /// The life that is leaving.
    pub incarnation: IncarnationId,
}

/// A bounded summary of what one process knows.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDigest {
    /// The sender's name.
    pub node: TargetName,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// The configuration revision in force there.
    pub revision: u64,
    /// Targets that are leaving.
    pub leaving: Vec<LeavingMark>,
    /// A change that the peer lacks.
    pub change: Option<ConfigChange>,
    /// Whether the sender accepts work.
    pub ready: bool,
    /// Whether the sender lacks a host list.
    pub wants_hosts: bool,
    /// The host list, for a peer that lacks it.
    pub hosts: Vec<HostEntry>,
}
