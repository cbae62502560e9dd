//! Rate and concurrency limits of each team in a zone.
//!
//! An entry admits requests with borrowed tokens or on a small credit, and settles with the team's coordinator: the live
//! entry of the zone that rendezvous hashing selects. The coordinator's token bucket limits the whole zone. An entry that
//! cannot reach it uses its fair share of the rate.

use porthoist_core::{RefusalReason, RequestRate, TeamName, UnixMillis};
use std::collections::HashMap;

pub mod bucket;
pub mod coordinator;

use bucket::TokenBucket;
use coordinator::{SettleAsk, SettleTold};

/// Burst of a team, in seconds of its rate.
pub const BURST_SECONDS: f64 = 0.25;
/// Burst of a coordinator's bucket, in seconds of the rate; it must hold the tokens between two settlements.
pub const COORDINATOR_BURST_SECONDS: f64 = 1.5;
/// Time without requests after which a team's state is dropped, in milliseconds.
pub const IDLE_MILLIS: u64 = 60_000;
/// Interval between settlements of a busy team, in milliseconds.
pub const SETTLE_MILLIS: u64 = 1000;
/// Small debts are settled at multiples of this time, in milliseconds, so that they share messages.
pub const LAZY_SETTLE_MILLIS: u64 = 120_000;
/// Minimum credit at an entry, in requests, for a team whose rate is not 0.
pub const MIN_CREDIT: u32 = 4;
/// Time for which an entry uses its fair share after it could not reach the coordinator, in milliseconds.
pub const FALLBACK_MILLIS: u64 = 2000;
/// Time constant of the moving average of demand, in milliseconds.
const DEMAND_MILLIS: f64 = 5000.0;
/// Settlement intervals for which tokens are borrowed in advance.
const INTERVALS_AHEAD: f64 = 1.5;

/// A team's limits in the configuration in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamLimit {
    /// Requests per second in the zone.
    pub rate: RequestRate,
    /// Requests in flight in the zone.
    pub concurrency: u32,
}

/// A refusal because of a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRefusal {
    /// The exceeded limit: rate or concurrency.
    pub reason: RefusalReason,
    /// Time from which a retry may succeed.
    pub retry_at: UnixMillis,
}

#[derive(Debug)]
struct TeamUsage {
    limit: TeamLimit,
    borrowed: f64,
    debt: u32,
    debt_since: UnixMillis,
    credit: u32,
    /// Exponentially decayed number of requests, admitted or not.
    demand: f64,
    demand_at: UnixMillis,
    last_settle_at: UnixMillis,
    awaiting_reply: bool,
    denied_until: UnixMillis,
    fallback_until: UnixMillis,
    fallback: TokenBucket,
    in_flight: u32,
    used_at: UnixMillis,
}

/// Limiter of one entry.
#[derive(Debug)]
pub struct EntryLimiter {
    entries: u32,
    teams: HashMap<TeamName, TeamUsage>,
}

impl EntryLimiter {
    /// Creates a limiter for a zone with `entries` live entries.
    pub fn new(entries: u32) -> Self {
        Self { entries: entries.max(1), teams: HashMap::new() }
    }

    /// Sets the number of live entries in the zone.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Returns the number of teams with state.
    pub fn teams(&self) -> usize {
        self.teams.len()
    }

    /// Admits or refuses a request of a team.
    pub fn admit(&mut self, now: UnixMillis, team: &TeamName, limit: TeamLimit) -> Result<(), LimitRefusal> {
        let entries = self.entries;
        let concurrency = limit.concurrency.div_ceil(entries);
        let usage = self.teams.entry(team.clone()).or_insert_with(|| TeamUsage::new(now, limit, entries));
        usage.used_at = now;
        usage.limit = limit;
        usage.credit = credit(limit.rate, entries);
        usage.record_demand(now);
        if usage.in_flight >= concurrency {
            let retry_at = now.plus(bucket::MIN_WAIT_MILLIS);
            return Err(LimitRefusal { reason: RefusalReason::ConcurrencyLimit, retry_at });
        }
        if let Err(retry_at) = usage.admit_by_rate(now, entries) {
            return Err(LimitRefusal { reason: RefusalReason::RateLimit, retry_at });
        }
        usage.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, team: &TeamName) {
        if let Some(usage) = self.teams.get_mut(team) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Returns the teams to settle now, each with the message to its coordinator.
    pub fn due(&mut self, now: UnixMillis) -> Vec<(TeamName, SettleAsk)> {
        let mut asks = Vec::new();
        for (team, usage) in &mut self.teams {
            if let Some((debt, wanted)) = usage.settlement_due(now) {
                asks.push((team.clone(), SettleAsk { team: coordinator::team_key(team), debt, wanted }));
            }
        }
        asks
    }

    /// Applies the coordinator's reply.
    pub fn settled(&mut self, now: UnixMillis, team: &TeamName, ask: SettleAsk, reply: SettleTold) {
        let Some(usage) = self.teams.get_mut(team) else { return };
        usage.awaiting_reply = false;
        usage.debt = usage.debt.saturating_sub(ask.debt);
        usage.borrowed += f64::from(reply.granted);
        usage.denied_until = now.plus(u64::from(reply.wait_millis));
        usage.fallback_until = UnixMillis(0);
    }

    /// Falls back to the fair share for [`FALLBACK_MILLIS`] because the coordinator could not be reached.
    pub fn coordinator_unreachable(&mut self, now: UnixMillis, team: &TeamName) {
        let entries = self.entries;
        let Some(usage) = self.teams.get_mut(team) else { return };
        usage.awaiting_reply = false;
        if usage.fallback_until <= now {
            let share = fair_share(usage.limit.rate, entries);
            usage.fallback = TokenBucket::empty(now, share, burst(share));
        }
        usage.fallback_until = now.plus(FALLBACK_MILLIS);
    }

    /// Drops the state of idle teams.
    pub fn forget_idle(&mut self, now: UnixMillis) {
        self.teams.retain(|_team, usage| {
            usage.in_flight > 0 || usage.debt > 0 || now.since(usage.used_at) < IDLE_MILLIS
        });
    }
}

impl TeamUsage {
    fn new(now: UnixMillis, limit: TeamLimit, entries: u32) -> Self {
        let share = fair_share(limit.rate, entries);
        Self {
            limit,
            borrowed: 0.0,
            debt: 0,
            debt_since: now,
            credit: credit(limit.rate, entries),
            demand: 0.0,
            demand_at: now,
            last_settle_at: UnixMillis(0),
            awaiting_reply: false,
            denied_until: UnixMillis(0),
            fallback_until: UnixMillis(0),
            fallback: TokenBucket::full(now, share, burst(share)),
            in_flight: 0,
            used_at: now,
        }
    }

    fn record_demand(&mut self, now: UnixMillis) {
        self.demand = self.demand_rate(now) * DEMAND_MILLIS + 1.0;
        self.demand_at = now;
    }

    /// Returns the demand in requests per millisecond.
    fn demand_rate(&self, now: UnixMillis) -> f64 {
        let age = now.since(self.demand_at) as f64;
        self.demand * (-age / DEMAND_MILLIS).exp() / DEMAND_MILLIS
    }

    fn admit_by_rate(&mut self, now: UnixMillis, entries: u32) -> Result<(), UnixMillis> {
        if self.borrowed >= 1.0 {
            self.borrowed -= 1.0;
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

    /// Returns the debt and the tokens wanted if a settlement is due now, and marks it as sent.
    fn settlement_due(&mut self, now: UnixMillis) -> Option<(u32, u32)> {
        let since_settle = now.since(self.last_settle_at);
        if self.awaiting_reply || since_settle < SETTLE_MILLIS {
            return None;
        }
        let expected = self.demand_rate(now) * SETTLE_MILLIS as f64 * INTERVALS_AHEAD;
        let wanted = (expected - self.borrowed).floor().max(0.0) as u32;
        let busy = wanted >= 1 || self.debt * 2 >= self.credit;
        let period = |at: UnixMillis| at.0 / LAZY_SETTLE_MILLIS;
        let overdue = self.debt > 0 && period(now) > period(self.debt_since);
        if !busy && !overdue {
            return None;
        }
        self.last_settle_at = now;
        self.awaiting_reply = true;
        Some((self.debt, wanted))
    }
}

/// Returns the burst at a rate, in tokens.
pub fn burst(rate: f64) -> f64 {
    if rate > 0.0 { (rate * BURST_SECONDS).max(1.0) } else { 0.0 }
}

fn fair_share(rate: RequestRate, entries: u32) -> f64 {
    rate.0 / f64::from(entries)
}

/// Returns the number of requests that an entry admits before it settles: its fair share of two settlement intervals, but
/// at least [`MIN_CREDIT`].
fn credit(rate: RequestRate, entries: u32) -> u32 {
    if rate.0 <= 0.0 {
        return 0;
    }
    let share = fair_share(rate, entries) * SETTLE_MILLIS as f64 * 2.0 / 1000.0;
    (share.ceil() as u32).max(MIN_CREDIT)
}
