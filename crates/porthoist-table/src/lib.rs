//! Client of the platform that the roles `entry`, `target` and `local` use: table service, object store and host list. The
//! Rambursa Turist platform is a different one: see the package porthoist-turist.
//!
//! All persistent data is stored there. The platform is behind the [`PlatformClient`] trait, so that a different protocol
//! affects only this package.

pub mod client;
pub mod feeds;
pub mod wire;

pub use client::{HttpPlatform, PlatformClient, PlatformFuture};
pub use porthoist_http::CallError;
pub use wire::{
    ChangeFeed, HostEntry, HostFeed, HostRole, HostState, ItemRead, TableWrite, TransactAnswer, WriteResult,
};

/// Key prefix of the operators' configuration rows.
pub const CONFIG_PREFIX: &str = "config/";
/// Key prefix of claims of idempotency keys.
pub const CLAIM_PREFIX: &str = "claim/";
/// Name of the object that contains a snapshot of the configuration.
pub const SNAPSHOT_OBJECT: &str = "porthoist-config";
