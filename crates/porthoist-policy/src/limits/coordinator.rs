//! Coordinator of a team's limit: one token bucket for the whole zone, lent to the entries in batches.
//!
//! A new coordinator starts with few tokens, so that a change of coordinators admits only slightly more than the rate.

use super::{COORDINATOR_BURST_SECONDS, TeamLimit};
use porthoist_core::{TeamName, UnixMillis};
use std::collections::HashMap;

/// Hash of a team's name, which identifies the team in messages between entries.
pub fn team_key(team: &TeamName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(team.as_str().as_bytes())
}

/// Message of an entry to a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleAsk {
    /// Key of the team.
    pub team: u64,
    /// Requests admitted on credit since the last settlement.
    pub debt: u32,
    /// Tokens to borrow in advance.
    pub wanted: u32,
}

/// Reply of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleTold {
    /// Key of the team.
    pub team: u64,
    /// Tokens lent.
    pub granted: u32,
    /// Time during which the entry admits nothing on credit, in milliseconds.
    pub wait_millis: u32,
}

/// Initial tokens of a new coordinator, in seconds of the rate.
const INITIAL_SECONDS: f64 = 0.3;

#[derive(Debug)]
struct TeamBucket {
    tokens: f64,
    filled_at: UnixMillis,
    used_at: UnixMillis,
}

/// Buckets of the teams that one entry coordinates.
#[derive(Debug, Default)]
pub struct LimitCoordinator {
    buckets: HashMap<u64, TeamBucket>,
}

impl LimitCoordinator {
    /// Creates a coordinator without buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Settles an entry's debt and lends tokens. The debt is always deducted, even below zero; nothing is lent until the
    /// bucket is positive again.
    pub fn settle(&mut self, now: UnixMillis, ask: SettleAsk, limit: TeamLimit) -> SettleTold {
        let rate = limit.rate.0;
        let initial = TeamBucket { tokens: rate * INITIAL_SECONDS, filled_at: now, used_at: now };
        let bucket = self.buckets.entry(ask.team).or_insert(initial);
        let elapsed = now.since(bucket.filled_at) as f64 / 1000.0;
        bucket.tokens = (bucket.tokens + elapsed * rate).min((rate * COORDINATOR_BURST_SECONDS).max(1.0));
        bucket.filled_at = now;
        bucket.used_at = now;
        bucket.tokens -= f64::from(ask.debt);
        let granted = f64::from(ask.wanted).min(bucket.tokens.floor()).max(0.0);
        bucket.tokens -= granted;
        let wait = if bucket.tokens < 0.0 && rate > 0.0 { -bucket.tokens / rate * 1000.0 } else { 0.0 };
        SettleTold { team: ask.team, granted: granted as u32, wait_millis: wait.ceil() as u32 }
    }

    /// Drops idle buckets.
    pub fn forget_idle(&mut self, now: UnixMillis) {
        self.buckets.retain(|_team, bucket| now.since(bucket.used_at) < super::IDLE_MILLIS);
    }
}
