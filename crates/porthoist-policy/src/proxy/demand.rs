//! Requests asked of a service, by priority.
//!
//! Each entry measures its own demand and reports it to the processes that plan for the service's
//! groups. Their load reports carry the sum over all entries, so that each entry knows its share.

use porthoist_core::{RequestRate, UnixMillis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Time constant in milliseconds of a measured rate. With 1,000 ms, a rise of the demand fills the ranks
/// before it is known; the sum over all entries varies little even with 300 ms.
const RATE_MILLIS: f64 = 300.0;

/// Priority of a request; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PriorityLevel(pub u8);

impl fmt::Display for PriorityLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for PriorityLevel {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Demand of one priority.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LevelDemand {
    /// Requests asked per second.
    pub asked: RequestRate,
    /// Requests that run.
    pub running: u32,
}

/// Demand on one service, of one entry or summed over several.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Demand by priority; a priority without demand may be missing.
    pub levels: BTreeMap<PriorityLevel, LevelDemand>,
    /// Number of entries that it is summed over.
    pub entries: u32,
}

impl ServiceDemand {
    /// Requests asked per second at a priority.
    pub fn asked(&self, level: PriorityLevel) -> RequestRate {
        self.levels.get(&level).map_or(RequestRate(0.0), |demand| demand.asked)
    }

    /// Requests asked per second at all priorities.
    pub fn total_asked(&self) -> RequestRate {
        RequestRate(self.levels.values().map(|demand| demand.asked.0).sum())
    }

    /// Adds the demand of other entries.
    pub fn add(&mut self, other: &Self) {
        for (level, demand) in &other.levels {
            let sum =
                self.levels.entry(*level).or_insert(LevelDemand { asked: RequestRate(0.0), running: 0 });
            sum.asked.0 += demand.asked.0;
            sum.running = sum.running.saturating_add(demand.running);
        }
        self.entries = self.entries.saturating_add(other.entries);
    }
}

/// Demand of one priority as this process measures it.
#[derive(Debug, Clone, Copy, Default)]
struct MeasuredLevel {
    /// Requests asked per second, as of `updated`.
    per_second: f64,
    updated: UnixMillis,
    running: u32,
}

impl MeasuredLevel {
    fn rate(&self, now: UnixMillis) -> f64 {
        self.per_second * (-(now.since(self.updated) as f64) / RATE_MILLIS).exp()
    }
}

/// Measures this process's demand on one service.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    levels: BTreeMap<PriorityLevel, MeasuredLevel>,
}

impl DemandMeter {
    /// Records that a request was asked.
    pub fn record_asked(&mut self, level: PriorityLevel, now: UnixMillis) {
        let measured = self.levels.entry(level).or_default();
        measured.per_second = measured.rate(now) + 1_000.0 / RATE_MILLIS;
        measured.updated = now;
    }

    /// Records that a request got a slot.
    pub fn record_started(&mut self, level: PriorityLevel) {
        self.levels.entry(level).or_default().running += 1;
    }

    /// Records that a request released its slot.
    pub fn record_ended(&mut self, level: PriorityLevel) {
        let measured = self.levels.entry(level).or_default();
        measured.running = measured.running.saturating_sub(1);
    }

    /// The current demand of this process.
    pub fn demand(&self, now: UnixMillis) -> ServiceDemand {
        let level = |(level, measured): (&PriorityLevel, &MeasuredLevel)| {
            let asked = RequestRate(measured.rate(now));
            (*level, LevelDemand { asked, running: measured.running })
        };
        ServiceDemand { levels: self.levels.iter().map(level).collect(), entries: 1 }
    }
}
