//! The platform's JSON messages.
//!
//! Their format is this project's own until the users' test bench defines one; see docs/INTERFACES.md.

use porthoist_core::{HostName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A conditional write of one item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableWrite {
    /// The item's key.
    pub key: String,
    /// Version that the item must have; if absent, the item must not exist.
    pub if_version: Option<u64>,
    /// Whether to write regardless of the version.
    #[serde(default)]
    pub unconditional: bool,
    /// The new value; if absent, the item is removed.
    pub value: Option<Value>,
}

/// Several writes in one transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactRequest {
    /// Whether all writes take effect or none; otherwise each one is independent.
    pub atomic: bool,
    /// The writes.
    pub writes: Vec<TableWrite>,
}

/// The result of one write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "lowercase")]
pub enum WriteResult {
    /// The write took effect.
    Written {
        /// The item's new version.
        version: u64,
    },
    /// The condition of the write failed, or that of another write in the same atomic transaction.
    Conflict {
        /// The item's current version, if it exists.
        version: Option<u64>,
        /// The item's current value.
        value: Option<Value>,
    },
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactAnswer {
    /// The table's revision after the transaction.
    pub revision: u64,
    /// Whether the writes took effect; in an atomic transaction, whether all did.
    pub committed: bool,
    /// The result of each write, in order.
    pub results: Vec<WriteResult>,
}

/// An item as read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemRead {
    /// The item's key.
    pub key: String,
    /// The item's version: the revision that wrote it.
    pub version: u64,
    /// The item's value; absent if it was removed.
    pub value: Option<Value>,
}

/// Items changed since a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeFeed {
    /// The revision that the feed starts after; 0 for a snapshot.
    pub since: u64,
    /// The revision that the feed leads to.
    pub revision: u64,
    /// The changed items.
    pub items: Vec<ItemRead>,
}

/// The kind of process that a host runs.
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
    /// About to leave.
    Leaving,
}

/// The host list, if it changed since the revision that the caller knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFeed {
    /// The list's revision.
    pub revision: u64,
    /// The complete list; absent if it has not changed.
    pub hosts: Option<Vec<HostEntry>>,
    /// Number of further entries that can't be read.
    #[serde(default, skip_serializing)]
    pub unreadable: usize,
}

/// One entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host.
    pub host: HostName,
    /// Name of the target or entry process.
    pub name: TargetName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The kind of process that the host runs.
    pub role: HostRole,
    /// Address of the process's fleet listener, as IP:PORT.
    pub address: String,
    /// Whether the host is leaving.
    pub state: HostState,
}
