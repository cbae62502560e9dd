//! The digest that processes exchange by gossip.

use porthoist_core::{TargetName, ZoneName};
use porthoist_policy::adoption::ConfigChange;
use porthoist_table::HostEntry;

/// A summary of bounded size of what a process knows.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetDigest {
    /// The sender's name.
    pub node: TargetName,
    /// The sender's availability zone.
    pub zone: ZoneName,
    /// The configuration revision in force at the sender.
    pub revision: u64,
    /// A configuration change that the peer lacks.
    pub change: Option<ConfigChange>,
    /// Whether the sender lacks a host list.
    pub wants_hosts: bool,
    /// The host list, for a peer that lacks it.
    pub hosts: Vec<HostEntry>,
}
