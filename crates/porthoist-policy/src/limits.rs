//! Limits of teams: a rate and a concurrency for each team in a zone.
//!
//! An entry admits on borrowed tokens or a small credit and settles with the team's coordinator, found by rendezvous among
//! the zone's live entries. The coordinator's one bucket bounds the zone; an entry that can't hear it uses its fair share.

use porthoist_core::{RefusalReason, RequestRate, TeamName, UnixMillis};
use std::collections::HashMap;

pub mod bucket;
pub mod coordinator;

use bucket::TokenBucket;
use coordinator::{SettleAsk, SettleTold};

/// Seconds of a team's rate that may be used in one burst.
pub const BURST_SECONDS: f64 = 0.25;
/// The same for a coordinator's bucket, which must hold what comes between two settlements.
pub const COORDINATOR_BURST_SECONDS: f64 = 1.5;
/// An entry keeps no state of a team that was silent for so long, in milliseconds.
pub const IDLE_MILLIS: u64 = 60_000;
/// A busy team is settled so often, in milliseconds.
pub const SETTLE_MILLIS: u64 = 1000;
/// Small debts are settled at every multiple of this, in milliseconds, so that they share messages.
pub const LAZY_SETTLE_MILLIS: u64 = 120_000;
/// An entry's credit is at least so many requests of a team that has a rate at all.
pub const MIN_CREDIT: u32 = 4;
/// After the coordinator was not heard an entry uses its fair share for so long, in milliseconds.
pub const FALLBACK_MILLIS: u64 = 2000;
/// Time over which demand is averaged, in milliseconds.
const DEMAND_MILLIS: f64 = 5000.0;
/// Tokens are borrowed ahead for so many settlements.
const AHEAD: f64 = 1.5;

/// A team's limits as the configuration in force has them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    /// Requests a second in the zone.
    pub rate: RequestRate,
    /// Requests in flight in the zone.
    pub concurrency: u32,
}

/// A refusal by a limit, with the time after which another try makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Rate or concurrency.
    pub reason: RefusalReason,
    /// When a token is there again.
    pub retry_at: UnixMillis,
}

#[derive(Debug)]
struct TeamUse {
    limit: TeamLimit,
    stock: f64,
    debt: u32,
    debt_since: UnixMillis,
    credit: u32,
    /// Requests asked for, averaged.
    demand: f64,
    demand_at: UnixMillis,
    asked_at: UnixMillis,
    waiting: bool,
    denied_until: UnixMillis,
    fallback_until: UnixMillis,
    fallback: TokenBucket,
    in_flight: u32,
    used_at: UnixMillis,
}

/// The limiter of one entry.
#[derive(Debug)]
pub struct EntryLimiter {
    entries: u32,
    teams: HashMap<TeamName, TeamUse>,
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
        let entries = self.entries;
        let concurrency = limit.concurrency.div_ceil(entries);
        let team_use = self.teams.entry(team.clone()).or_insert_with(|| TeamUse::new(now, limit, entries));
        team_use.used_at = now;
        team_use.limit = limit;
        team_use.credit = credit(limit.rate, entries);
        team_use.note_demand(now);
        if team_use.in_flight >= concurrency {
            let retry_at = now.plus(bucket::MIN_WAIT_MILLIS);
            return Err(LimitRefusal { reason: RefusalReason::ConcurrencyLimit, retry_at });
        }
        if let Err(retry_at) = team_use.take(now, entries) {
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

    /// Teams to settle now, each with its coordinator.
    pub fn due(&mut self, now: UnixMillis) -> Vec<(TeamName, SettleAsk)> {
        let mut asks = Vec::new();
        for (team, team_use) in &mut self.teams {
            if let Some((debt, wanted)) = team_use.due(now) {
                asks.push((team.clone(), SettleAsk { team: coordinator::team_key(team), debt, wanted }));
            }
        }
        asks
    }

    /// The coordinator's answer.
    pub fn settled(&mut self, now: UnixMillis, team: &TeamName, ask: SettleAsk, told: SettleTold) {
        let Some(team_use) = self.teams.get_mut(team) else { return };
        team_use.waiting = false;
        team_use.debt = team_use.debt.saturating_sub(ask.debt);
        team_use.stock += f64::from(told.granted);
        team_use.denied_until = now.plus(u64::from(told.wait_millis));
        team_use.fallback_until = UnixMillis(0);
    }

    /// The coordinator could not be heard: the fair share holds for a while.
    pub fn coordinator_unreachable(&mut self, now: UnixMillis, team: &TeamName) {
        let entries = self.entries;
        let Some(team_use) = self.teams.get_mut(team) else { return };
        team_use.waiting = false;
        if team_use.fallback_until <= now {
            let share = fair_share(team_use.limit.rate, entries);
            team_use.fallback = TokenBucket::empty(now, share, burst(share));
        }
        team_use.fallback_until = now.plus(FALLBACK_MILLIS);
    }

    /// Forgets teams that were silent for long.
    pub fn forget_idle(&mut self, now: UnixMillis) {
        self.teams.retain(|_team, team_use| {
            team_use.in_flight > 0 || team_use.debt > 0 || now.since(team_use.used_at) < IDLE_MILLIS
        });
    }
}

impl TeamUse {
    fn new(now: UnixMillis, limit: TeamLimit, entries: u32) -> Self {
        let share = fair_share(limit.rate, entries);
        Self {
            limit,
            stock: 0.0,
            debt: 0,
            debt_since: now,
            credit: credit(limit.rate, entries),
            demand: 0.0,
            demand_at: now,
            asked_at: UnixMillis(0),
            waiting: false,
            denied_until: UnixMillis(0),
            fallback_until: UnixMillis(0),
            fallback: TokenBucket::full(now, share, burst(share)),
            in_flight: 0,
            used_at: now,
        }
    }

    fn note_demand(&mut self, now: UnixMillis) {
        self.demand = self.demand_rate(now) * DEMAND_MILLIS + 1.0;
        self.demand_at = now;
    }

    /// Requests asked for in a millisecond.
    fn demand_rate(&self, now: UnixMillis) -> f64 {
        let age = now.since(self.demand_at) as f64;
        self.demand * (-age / DEMAND_MILLIS).exp() / DEMAND_MILLIS
    }

    fn take(&mut self, now: UnixMillis, entries: u32) -> Result<(), UnixMillis> {
        if self.stock >= 1.0 {
            self.stock -= 1.0;
            return Ok(());
        }
        if now < self.fallback_until {
            let share = fair_share(self.limit.rate, entries);
            self.fallback.set_rate(now, share, burst(share));
            return self.fallback.take(now);
        }
        if now >= self.denied_until && self.debt < self.credit {
            if self.debt == 0 {
                self.debt_since = now;
            }
            self.debt += 1;
            return Ok(());
        }
        Err(self.denied_until.max(now.plus(SETTLE_MILLIS)))
    }

    fn due(&mut self, now: UnixMillis) -> Option<(u32, u32)> {
        let since_asked = now.since(self.asked_at);
        if self.waiting || since_asked < SETTLE_MILLIS {
            return None;
        }
        let ahead = self.demand_rate(now) * SETTLE_MILLIS as f64 * AHEAD;
        let wanted = (ahead - self.stock).floor().max(0.0) as u32;
        let busy = wanted >= 1 || self.debt * 2 >= self.credit;
        let period = |at: UnixMillis| at.0 / LAZY_SETTLE_MILLIS;
        let old = self.debt > 0 && period(now) > period(self.debt_since);
        if !busy && !old {
            return None;
        }
        self.asked_at = now;
        self.waiting = true;
        Some((self.debt, wanted))
    }
}

/// Tokens that may be saved up at a rate.
pub fn burst(rate: f64) -> f64 {
    if rate > 0.0 { (rate * BURST_SECONDS).max(1.0) } else { 0.0 }
}

fn fair_share(rate: RequestRate, entries: u32) -> f64 {
    rate.0 / f64::from(entries)
}

/// Requests that an entry admits before it has settled: its fair share of two settlements, and at least a few.
fn credit(rate: RequestRate, entries: u32) -> u32 {
    if rate.0 <= 0.0 {
        return 0;
    }
    let share = fair_share(rate, entries) * SETTLE_MILLIS as f64 * 2.0 / 1000.0;
    (share.ceil() as u32).max(MIN_CREDIT)
}
