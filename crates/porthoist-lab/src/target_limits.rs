//! Compares methods to enforce a target's rate limit across entries that can't communicate: the
//! daemon's turns and simpler ones.
//!
//! All callers use the same target. They arrive in rushes, which shows how much an entry may save
//! up while there are no callers.

use porthoist_core::{RequestRate, UnixMillis, ZoneName};
use porthoist_policy::proxy::send_turns::{
    EntryPosition, RateSource, SendTurns, SenderPosition, TargetRate, TurnRound, UncountedEntry,
    assumed_entries,
};
use porthoist_policy::proxy::targets::TargetLife;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// Number of targets from which entries estimate the number of sending entries if nobody counts
/// them.
const ASSUMED_TARGETS: usize = 100;
/// Window in milliseconds over which requests are counted.
const COUNT_WINDOW_MILLIS: u64 = 4_000;
/// Period of the rushes in milliseconds. A rush lasts half of it.
const RUSH_PERIOD_MILLIS: u64 = 20_000;
/// Requests per second and entry during a rush.
const RUSH_RATE_PER_ENTRY: f64 = 10.0;
/// Fraction of the limit at which buckets are refilled, the same as for the daemon's turns.
const USABLE_FRACTION: f64 = 0.75;
/// Number of entries that share the limit if they are chosen by hash.
const CHOSEN_ENTRIES: usize = 3;

/// A method to enforce a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitMethod {
    /// The daemon's method: each entry sends at its turns, which follow from its position.
    Turns,
    /// The daemon's method if entries don't know their position.
    TurnsUncounted,
    /// Each entry has a bucket for one request, refilled at its share of the limit.
    Buckets,
    /// A few entries, the same for everyone, each have a bucket for one request, refilled at their
    /// share of the limit.
    Chosen,
    /// Each entry enforces the limit on its own.
    Alone,
}

impl LimitMethod {
    /// All methods in report order.
    pub const ALL: [Self; 5] = [Self::Turns, Self::TurnsUncounted, Self::Buckets, Self::Chosen, Self::Alone];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Turns => "turns",
            Self::TurnsUncounted => "turns, number unknown",
            Self::Buckets => "a bucket of one each",
            Self::Chosen => "three chosen entries",
            Self::Alone => "each for itself",
        }
    }
}

/// Settings of the simulation.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct TargetLimitSettings {
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of entries, all in one zone.
    pub entries: u32,
    /// Rate limit of the target.
    pub limit: RequestRate,
    /// Duration in simulated seconds.
    pub seconds: u64,
    /// Maximum clock offset between entries, in milliseconds.
    #[builder(default)]
    pub max_clock_offset_millis: u64,
}

/// Result of one method.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct TargetLimitReport {
    /// The method.
    pub way: LimitMethod,
    /// Maximum number of requests in any window of 4 s.
    pub most: usize,
    /// Number of requests allowed in such a window: 1.5 times the limit, plus 5.
    pub allowed: usize,
    /// Fraction of the limit that is used during rushes.
    pub used: f64,
}

/// Limits the requests that one entry sends.
enum SendLimiter {
    Turns(SendTurns),
    Bucket { filled: f64, last: u64, per_milli: f64 },
    Blocked,
}

impl SendLimiter {
    fn take(&mut self, now: u64) -> bool {
        match self {
            Self::Turns(turns) => {
                let has_turn = turns.free(UnixMillis(now));
                if has_turn {
                    turns.take(UnixMillis(now));
                }
                has_turn
            }
            Self::Bucket { filled, last, per_milli } => {
                *filled = (*filled + now.saturating_sub(*last) as f64 * *per_milli).min(1.0);
                *last = now;
                let full = *filled >= 1.0;
                *filled -= if full { 1.0 } else { 0.0 };
                full
            }
            Self::Blocked => false,
        }
    }
}

/// Simulates one method.
pub fn simulate(settings: &TargetLimitSettings, method: LimitMethod) -> TargetLimitReport {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let start_millis = 1_700_000_000_000;
    let mut entries: Vec<(SendLimiter, u64)> = (0..settings.entries)
        .map(|index| {
            let clock_offset_millis = random.random_range(0..=settings.max_clock_offset_millis);
            (
                new_limiter(settings, method, index, UnixMillis(start_millis + clock_offset_millis)),
                clock_offset_millis,
            )
        })
        .collect();
    let mut sends = Vec::new();
    for milli in 0..settings.seconds * 1_000 {
        if !is_rush(milli) {
            continue;
        }
        for (limiter, clock_offset_millis) in &mut entries {
            let arrives = random.random::<f64>() < RUSH_RATE_PER_ENTRY / 1_000.0;
            if arrives && limiter.take(start_millis + milli + *clock_offset_millis) {
                sends.push(milli);
            }
        }
    }
    report(settings, method, &sends)
}

fn is_rush(milli: u64) -> bool {
    milli % RUSH_PERIOD_MILLIS >= RUSH_PERIOD_MILLIS / 2
}

fn new_limiter(
    settings: &TargetLimitSettings,
    method: LimitMethod,
    index: u32,
    now: UnixMillis,
) -> SendLimiter {
    let TargetLimitSettings { entries, limit, seed, .. } = *settings;
    let bucket = |rate: f64| SendLimiter::Bucket { filled: 0.0, last: now.0, per_milli: rate / 1_000.0 };
    let turns = |position: Option<EntryPosition>| {
        let zone: ZoneName = "z".parse().expect("a valid name");
        let life = TargetLife::from("t".parse::<porthoist_core::TargetName>().expect("a valid name"));
        let uncounted = UncountedEntry {
            entries: assumed_entries(ASSUMED_TARGETS),
            seed: seed * 1_000 + u64::from(index),
        };
        let sender = SenderPosition::new(position, &zone, std::slice::from_ref(&zone), uncounted);
        let mut turns = SendTurns::default();
        let rate = TargetRate { rate: limit, source: RateSource::Announced };
        turns.set(TurnRound::new(rate, sender, &life), now);
        SendLimiter::Turns(turns)
    };
    match method {
        LimitMethod::Turns => turns(Some(EntryPosition { index, entries })),
        LimitMethod::TurnsUncounted => turns(None),
        LimitMethod::Buckets => bucket(USABLE_FRACTION * limit.0 / f64::from(entries)),
        LimitMethod::Chosen if (index as usize) < CHOSEN_ENTRIES => {
            bucket(USABLE_FRACTION * limit.0 / CHOSEN_ENTRIES.min(entries as usize) as f64)
        }
        LimitMethod::Chosen => SendLimiter::Blocked,
        LimitMethod::Alone => bucket(USABLE_FRACTION * limit.0),
    }
}

fn report(settings: &TargetLimitSettings, method: LimitMethod, sends: &[u64]) -> TargetLimitReport {
    let within = |from: u64| {
        sends.partition_point(|at| *at < from + COUNT_WINDOW_MILLIS) - sends.partition_point(|at| *at < from)
    };
    let rush_seconds = (0..settings.seconds * 1_000).filter(|milli| is_rush(*milli)).count() as f64 / 1_000.0;
    let window_seconds = COUNT_WINDOW_MILLIS as f64 / 1_000.0;
    TargetLimitReport {
        way: method,
        most: sends.iter().map(|at| within(*at)).max().unwrap_or_default(),
        allowed: (1.5 * settings.limit.0 * window_seconds + 5.0) as usize,
        used: crate::report::rounded(sends.len() as f64 / rush_seconds / settings.limit.0),
    }
}
