//! The table of the product's own operators as a peer: table service, object store and host list, as the roles `entry`, `target`
//! and `local` speak to them. The Rambursa Turist platform is another one: see the package porthoist-turist.
//!
//! Everything that must last lives there. The service is behind the [`PlatformClient`] trait, so that another wire
//! changes this package only.

pub mod client;
pub mod wire;

pub use client::{HttpPlatform, PlatformClient, PlatformFuture};
pub use porthoist_http::CallError;
pub use wire::{
    ChangeFeed, HostEntry, HostFeed, HostRole, HostState, ItemRead, TableWrite, TransactAnswer, WriteResult,
};

/// Prefix of the keys of the operators' rows.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the keys of claims.
pub const CLAIM_PREFIX: &str = "claim/";
/// Name of the object that holds a snapshot of the configuration.
pub const SNAPSHOT_OBJECT: &str = "porthoist-config";
