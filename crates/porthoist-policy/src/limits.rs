//! Limits of teams: a rate and a concurrency for each team in a zone.
//!
//! A team's keeper, found by rendezvous among the zone's live entries, lends batches of tokens by demand. An entry
//! that can't hear the keeper falls back to its fair share.

use porthoist_core::{RefusalReason, RequestRate, TeamName, UnixMillis};
use std::collections::HashMap;

pub mod bucket;

use bucket::TokenBucket;

/// Seconds of a team's rate that may be used in one burst.
pub const BURST_SECONDS: f64 = 0.25;
/// An entry keeps no state of a team that was silent for so long, in milliseconds.
pub const IDLE_MILLIS: u64 = 60_000;

/// A team's limits as the configuration in force has them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    /// Requests a second in the zone.
    pub rate: RequestRate,
    /// Requests in flight in the zone.
    pub concurrency: u32,
}

#[derive(Debug)]
struct TeamUse {
    bucket: TokenBucket,
    in_flight: u32,
    used_at: UnixMillis,
}

/// The limiter of one entry.
#[derive(Debug)]
pub struct EntryLimiter {
    entries: u32,
    teams: HashMap<TeamName, TeamUse>,
}

/// A refusal by a limit, with the time after which another try makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Rate or concurrency.
    pub reason: RefusalReason,
    /// When a token is there again.
    pub retry_at: UnixMillis,
}

impl EntryLimiter {
    /// A limiter in a zone with so many live entries.
    pub fn new(entries: u32) -> Self {
        Self { entries: entries.max(1), teams: HashMap::new() }
    }

    /// Sets the number of live entries in the zone.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Teams with state.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }

    /// Admits one request of a team, or refuses it.
    pub fn admit(&mut self, now: UnixMillis, team: &TeamName, limit: TeamLimit) -> Result<(), LimitRefusal> {
        let share = limit.rate.0 / f64::from(self.entries);
        let concurrency = limit.concurrency.div_ceil(self.entries);
        let team_use = self.teams.entry(team.clone()).or_insert_with(|| TeamUse {
            bucket: TokenBucket::full(now, share, burst(share)),
            in_flight: 0,
            used_at: now,
        });
        team_use.used_at = now;
        if team_use.in_flight >= concurrency {
            let retry_at = now.plus(bucket::MIN_WAIT_MILLIS);
            return Err(LimitRefusal { reason: RefusalReason::ConcurrencyLimit, retry_at });
        }
        team_use.bucket.set_rate(now, share, burst(share));
        if let Err(retry_at) = team_use.bucket.take(now) {
            return Err(LimitRefusal { reason: RefusalReason::RateLimit, retry_at });
        }
        team_use.in_flight += 1;
        Ok(())
    }

    /// A request that was admitted is over.
    pub fn release(&mut self, team: &TeamName) {
        if let Some(team_use) = self.teams.get_mut(team) {
            team_use.in_flight = team_use.in_flight.saturating_sub(1);
        }
    }

    /// Forgets teams that were silent for long.
    pub fn forget_idle(&mut self, now: UnixMillis) {
        self.teams
            .retain(|_team, team_use| team_use.in_flight > 0 || now.since(team_use.used_at) < IDLE_MILLIS);
    }
}

/// Tokens that may be saved up at a rate.
pub fn burst(rate: f64) -> f64 {
    if rate > 0.0 { (rate * BURST_SECONDS).max(1.0) } else { 0.0 }
}
