//! The coordinator of a team's limit: one bucket for the whole zone, lent out in batches.
//!
//! A new coordinator begins with little in its bucket, so that a change of coordinators admits hardly more than the rate.

use super::{COORDINATOR_BURST_SECONDS, TeamLimit};
use porthoist_core::{TeamName, UnixMillis};
use std::collections::HashMap;

/// Hash of a team's name, which stands for it between entries.
pub fn team_key(team: &TeamName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(team.as_str().as_bytes())
}

/// What an entry asks of a coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleAsk {
    /// The team.
    pub team: u64,
    /// Requests admitted on credit.
    pub debt: u32,
    /// Tokens wanted ahead.
    pub wanted: u32,
}

/// What a coordinator answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettleTold {
    /// The team.
    pub team: u64,
    /// Tokens lent.
    pub granted: u32,
    /// Nothing more is admitted on credit for so long, in milliseconds.
    pub wait_millis: u32,
}

/// Seconds of the rate that a new coordinator begins with.
const FRESH_SECONDS: f64 = 0.3;

#[derive(Debug)]
struct KeptBucket {
    tokens: f64,
    filled_at: UnixMillis,
    used_at: UnixMillis,
}

/// The buckets of the teams that one entry keeps.
#[derive(Debug, Default)]
pub struct LimitCoordinator {
    buckets: HashMap<u64, KeptBucket>,
}

impl LimitCoordinator {
    /// A coordinator without buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Buckets kept.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no bucket is kept.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Settles an entry's debt and lends tokens. A debt is always taken; the bucket may go below zero by it, and
    /// nothing is lent until it is above again.
    pub fn settle(&mut self, now: UnixMillis, ask: SettleAsk, limit: TeamLimit) -> SettleTold {
        let rate = limit.rate.0;
        let fresh = KeptBucket { tokens: rate * FRESH_SECONDS, filled_at: now, used_at: now };
        let kept = self.buckets.entry(ask.team).or_insert(fresh);
        let elapsed = now.since(kept.filled_at) as f64 / 1000.0;
        kept.tokens = (kept.tokens + elapsed * rate).min((rate * COORDINATOR_BURST_SECONDS).max(1.0));
        kept.filled_at = now;
        kept.used_at = now;
        kept.tokens -= f64::from(ask.debt);
        let granted = f64::from(ask.wanted).min(kept.tokens.floor()).max(0.0);
        kept.tokens -= granted;
        let wait = if kept.tokens < 0.0 && rate > 0.0 { -kept.tokens / rate * 1000.0 } else { 0.0 };
        SettleTold { team: ask.team, granted: granted as u32, wait_millis: wait.ceil() as u32 }
    }

    /// Forgets buckets that nobody used for long.
    pub fn forget_idle(&mut self, now: UnixMillis) {
        self.buckets.retain(|_team, kept| now.since(kept.used_at) < super::IDLE_MILLIS);
    }
}
