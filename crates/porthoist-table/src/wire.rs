//! The platform's messages in JSON.
//!
//! These shapes are ours until the users' bench brings its own; see docs/INTERFACES.md.

use porthoist_core::{HostName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A conditional write of one item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableWrite {
    /// The item's key.
    pub key: String,
    /// Version that the item must have; absent: the item must not exist.
    pub if_version: Option<u64>,
    /// Writes whatever the version is.
    #[serde(default)]
    pub unconditional: bool,
    /// The new value; absent: the item is removed.
    pub value: Option<Value>,
}

/// Several writes in one transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactRequest {
    /// All or none; otherwise each write stands for itself.
    pub atomic: bool,
    /// The writes.
    pub writes: Vec<TableWrite>,
}

/// What became of one write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "lowercase")]
pub enum WriteResult {
    /// Took effect with this version.
    Written {
        /// The item's new version.
        version: u64,
    },
    /// The condition failed, or that of another write in an atomic transaction.
    Conflict {
        /// Version in force, if the item exists.
        version: Option<u64>,
        /// Value in force.
        value: Option<Value>,
    },
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactAnswer {
    /// The table's revision after it.
    pub revision: u64,
    /// Whether the writes took effect (for an atomic one: all of them).
    pub committed: bool,
    /// One for each write, in order.
    pub results: Vec<WriteResult>,
}

/// An item as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemRead {
    /// Its key.
    pub key: String,
    /// Its version: the revision that wrote it.
    pub version: u64,
    /// Its value; absent: it was removed.
    pub value: Option<Value>,
}

/// Items changed since a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeFeed {
    /// The revision asked since; 0 makes it a snapshot.
    pub since: u64,
    /// The revision that the feed leads to.
    pub revision: u64,
    /// The items.
    pub items: Vec<ItemRead>,
}

/// What a host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostRole {
    /// An entry process.
    Entry,
    /// A target process.
    Target,
}

/// Whether a host is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// The host list, whole if it changed since the revision that the asker knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFeed {
    /// The list's revision.
    pub revision: u64,
    /// The list; absent where it has not changed.
    pub hosts: Option<Vec<HostEntry>>,
}

/// One line of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host.
    pub host: HostName,
    /// The process's name: the target's, or the entry's.
    pub name: TargetName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it runs.
    pub role: HostRole,
    /// Address of its fleet listener, as IP:PORT.
    pub address: String,
    /// Whether it is leaving.
    pub state: HostState,
}
